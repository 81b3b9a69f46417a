"""Encodings of messages between nodes and of values on the platform."""
