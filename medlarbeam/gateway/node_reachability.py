"""Reachability of the other nodes, judged by replies to demands."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.node.component import Component

__all__ = ["NodeReachability"]

REPLY_TIMEOUT_S = 0.15  # a reachable node replies within some ms; one datagram may be lost
CLEANUP_INTERVAL_S = 30.0


class NodeReachability(Component):
    """Tracks the demands to other nodes that have not been followed by a datagram.

    Attributes
    ----------
    asked_at : dict of str to float
        Time (s) of the first demand to a node since its last datagram.
    """

    __slots__ = ("asked_at", "cleanup_at")

    def __init__(self, node):
        super().__init__(node)
        self.asked_at = {}
        self.cleanup_at = 0.0

    def handlers(self):
        """Return the handler method of each message class."""
        return {NodeDatagram: self.handle_datagram}

    def handle_datagram(self, message, now, out):
        """Record that a datagram of a node has arrived."""
        asked_at = self.asked_at.pop(message.body.node, inf)
        if now - asked_at > REPLY_TIMEOUT_S:
            out.emit(LogEvent("node_heard", f"node={message.body.node}"))

    def record_demand(self, name, now, out):
        """Record that a demand was sent to a node, which should reply."""
        asked_at = self.asked_at.setdefault(name, now)
        if REPLY_TIMEOUT_S < now - asked_at <= 2 * REPLY_TIMEOUT_S:
            out.emit(LogEvent("node_silent", f"node={name} asked_s={now - asked_at:.3f}"))

    def is_unresponsive(self, name, now):
        """Return whether a node has not replied to a demand in time."""
        return now - self.asked_at.get(name, inf) > REPLY_TIMEOUT_S

    def tick(self, now, out):
        """Delete the records of nodes that are no longer registered."""
        self.cleanup_at = now + CLEANUP_INTERVAL_S
        for name in [n for n in self.asked_at if n not in self.node.fleet.nodes]:
            del self.asked_at[name]

    def next_deadline(self):
        """Return the time (s) of the next cleanup."""
        return self.cleanup_at
