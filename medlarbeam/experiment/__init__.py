"""Discrete-event simulation of nodes, engines and callers for comparing policies."""
