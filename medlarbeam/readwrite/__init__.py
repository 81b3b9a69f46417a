"""Encodings of messages and stored values."""
