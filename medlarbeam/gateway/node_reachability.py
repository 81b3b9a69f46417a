"""Which other nodes are heard."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.node.component import Component

__all__ = ["NodeReachability"]

REPLY_TIMEOUT_S = 0.15  # a node in reach answers a demand within some ms; one datagram may be lost
CLEANUP_INTERVAL_S = 30.0


class NodeReachability(Component):
    """Notes when datagrams of each node came, and which demand was not answered.

    Attributes
    ----------
    unanswered_since : dict of str to float
        Time (s) of the first demand to a node since it was heard last.
    """

    __slots__ = ("cleanup_at", "unanswered_since")

    def __init__(self, node):
        super().__init__(node)
        self.unanswered_since = {}
        self.cleanup_at = 0.0

    def handlers(self):
        """Return the methods by message class."""
        return {NodeDatagram: self.handle_datagram}

    def handle_datagram(self, message, now, out):
        """Note that a node is heard."""
        unanswered_since = self.unanswered_since.pop(message.body.node, inf)
        if now - unanswered_since > REPLY_TIMEOUT_S:
            out.emit(LogEvent("node_heard", f"node={message.body.node}"))

    def record_demand(self, name, now, out):
        """Note that a node should answer now."""
        unanswered_since = self.unanswered_since.setdefault(name, now)
        if REPLY_TIMEOUT_S < now - unanswered_since <= 2 * REPLY_TIMEOUT_S:
            out.emit(LogEvent("node_silent", f"node={name} asked_s={now - unanswered_since:.3f}"))

    def is_unresponsive(self, name, now):
        """Return whether a node has left a demand without an answer."""
        return now - self.unanswered_since.get(name, inf) > REPLY_TIMEOUT_S

    def tick(self, now, out):
        """Forget nodes that are gone."""
        self.cleanup_at = now + CLEANUP_INTERVAL_S
        for name in [n for n in self.unanswered_since if n not in self.node.book.nodes]:
            del self.unanswered_since[name]

    def next_deadline(self):
        """Return the time of the next cleanup."""
        return self.cleanup_at
