"""I/O shell around a node: sockets, clients, settings, logs and metrics."""
