"""Encodings: peer frames, key-value values, release note files and the VM list."""
