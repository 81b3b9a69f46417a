"""The decisions of an entry node, without sockets, tasks or clocks."""
