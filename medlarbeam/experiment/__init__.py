"""Timed experiments with the node, on fakes of everything around it."""
