"""Decisions that need no state of a node."""
