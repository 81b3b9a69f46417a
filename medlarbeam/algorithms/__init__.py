"""Decisions that are stateless or behind an abstract base class, each beside a naive version."""
