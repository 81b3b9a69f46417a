"""The drivable node: all decisions of an entry node, without sockets, tasks or clocks."""
