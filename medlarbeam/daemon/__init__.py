"""The daemon: sockets, clients, settings, logs and metrics of a node process."""
