"""I/O shell of the entry daemon: sockets in, messages to the node, effects out."""
