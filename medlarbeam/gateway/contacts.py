"""Which other nodes are heard."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.node.component import Component

__all__ = ["Contacts"]

ANSWER_S = 0.15  # a node in reach answers a demand within some ms; one datagram may be lost
CLEANUP_S = 30.0


class Contacts(Component):
    """Notes when datagrams of each node came, and which demand was not answered.

    Attributes
    ----------
    asked_at : dict of str to float
        Time (s) of the first demand to a node since it was heard last.
    """

    __slots__ = ("asked_at", "cleanup_at")

    def __init__(self, node):
        super().__init__(node)
        self.asked_at = {}
        self.cleanup_at = 0.0

    def handlers(self):
        """Return the methods by message class."""
        return {NodeDatagram: self.take_datagram}

    def take_datagram(self, message, now, out):
        """Note that a node is heard."""
        asked_at = self.asked_at.pop(message.body.node, inf)
        if now - asked_at > ANSWER_S:
            out.emit(LogEvent("node_heard", f"node={message.body.node}"))

    def note_demand(self, name, now, out):
        """Note that a node should answer now."""
        asked_at = self.asked_at.setdefault(name, now)
        if ANSWER_S < now - asked_at <= 2 * ANSWER_S:
            out.emit(LogEvent("node_silent", f"node={name} asked_s={now - asked_at:.3f}"))

    def is_silent(self, name, now):
        """Return whether a node has left a demand without an answer."""
        return now - self.asked_at.get(name, inf) > ANSWER_S

    def tick(self, now, out):
        """Forget nodes that are gone."""
        self.cleanup_at = now + CLEANUP_S
        for name in [n for n in self.asked_at if n not in self.node.book.nodes]:
            del self.asked_at[name]

    def next_deadline(self):
        """Return the time of the next cleanup."""
        return self.cleanup_at
