"""Reachability of the other nodes, judged by responses to demands."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.node.component import Component

__all__ = ["NodeReachability"]

RESPONSE_TIMEOUT_S = 0.15  # a reachable node responds within some ms; one datagram may be lost
CLEANUP_INTERVAL_S = 30.0


class NodeReachability(Component):
    """Tracks the demands to other nodes that have not been followed by a datagram.

    Attributes
    ----------
    demanded_at : dict of str to float
        Time (s) of the first demand to a node since its last datagram.
    heard_at : float
        Time (s) of the last datagram of any other node.
    """

    __slots__ = ("cleanup_at", "demanded_at", "heard_at")

    def __init__(self, node):
        super().__init__(node)
        self.demanded_at = {}
        self.heard_at = -inf
        self.cleanup_at = 0.0

    def handlers(self):
        """Return the handler method of each message class."""
        return {NodeDatagram: self.handle_datagram}

    def handle_datagram(self, message, now, out):
        """Record that a datagram of a node has arrived."""
        self.heard_at = now
        demanded_at = self.demanded_at.pop(message.body.node, inf)
        if now - demanded_at > RESPONSE_TIMEOUT_S:
            out.emit(LogEvent("node_heard", f"node={message.body.node}"))

    def record_demand(self, name, now, out):
        """Record that a demand was sent to a node, which should respond."""
        demanded_at = self.demanded_at.setdefault(name, now)
        if RESPONSE_TIMEOUT_S < now - demanded_at <= 2 * RESPONSE_TIMEOUT_S:
            out.emit(LogEvent("node_silent", f"node={name} asked_s={now - demanded_at:.3f}"))

    def is_unresponsive(self, name, now):
        """Return whether a node has not responded to a demand in time."""
        return now - self.demanded_at.get(name, inf) > RESPONSE_TIMEOUT_S

    def tick(self, now, out):
        """Delete the records of nodes that are no longer registered."""
        self.cleanup_at = now + CLEANUP_INTERVAL_S
        for name in [n for n in self.demanded_at if n not in self.node.fleet.nodes]:
            del self.demanded_at[name]

    def next_deadline(self):
        """Return the time (s) of the next cleanup."""
        return self.cleanup_at
