"""Encodings of peer messages, key-value service values, release note files and the VM list."""
