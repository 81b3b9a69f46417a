"""Decisions behind abstract base classes, each with a naive version for comparison."""
