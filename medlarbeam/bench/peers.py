"""Peers of a measured node: full nodes, or stubs that only exchange heartbeats."""

from abc import ABC, abstractmethod

from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.messages import PeerMessage
from medlarbeam.classes.peer_messages import CellRecordUpdate, Ping, Pong, ServerSummary
from medlarbeam.node.assembly import build_node

__all__ = ["HeartbeatPeer", "Participant", "RealNode", "list_resident_models"]

PING_INTERVAL_S = 1.0


def list_resident_models(server, slots):
    """Return the models that are loaded on a simulated engine."""
    number = int(server.removeprefix("e"))
    return [f"adapter-{number * slots + i:06}@1" for i in range(slots)]


class Participant(ABC):
    """A node or a stub that takes part in a `Fleet`."""

    __slots__ = ()

    @abstractmethod
    def handle(self, message, now):
        """Handle a message and return the list of effects."""

    @abstractmethod
    def tick(self, now):
        """Run the actions that are due and return the list of effects."""

    @abstractmethod
    def next_deadline(self):
        """Return the time (s) at which `tick` has to be called next."""


class RealNode(Participant):
    """A node with the components of the daemon."""

    __slots__ = ("node",)

    def __init__(self, settings, rng):
        self.node = build_node(settings, rng)

    def handle(self, message, now):
        """Pass a message to the node."""
        return self.node.handle(message, now)

    def tick(self, now):
        """Call the tick of the node."""
        return self.node.tick(now)

    def next_deadline(self):
        """Return the deadline of the node."""
        return self.node.next_deadline()


class HeartbeatPeer(Participant):
    """Stub that pings one node and responds to its pings like a healthy owner of engines.

    Parameters
    ----------
    name, target : str
    record : CellRecord
        Record of the cell to which this peer belongs.
    revision : int
        Catalog revision reported in its pongs.
    starts_at : float
        Time (s) of its first ping.
    """

    __slots__ = ("next_ping", "record", "revision", "seq", "summaries", "target")

    def __init__(self, name, target, record, revision, starts_at):
        self.target = target
        self.record = record
        self.revision = revision
        self.seq = 0
        self.next_ping = starts_at
        owned = [s for s in record.servers if record.owners[s.name] == name]
        self.summaries = [
            ServerSummary(s.name, True, 1, 4, list_resident_models(s.name, s.slots)) for s in owned
        ]

    def handle(self, message, now):
        """Respond to a ping, or adopt a newer record of the own cell."""
        body = message.body if isinstance(message, PeerMessage) else None
        if isinstance(body, CellRecordUpdate) and body.record.cell == self.record.cell:
            if body.record.epoch > self.record.epoch:
                self.record = body.record
        if not isinstance(body, Ping):
            return []
        record = self.record
        pong = Pong(body.seq, 1, record.cell, record.epoch, self.revision, 0.5, [], self.summaries)
        return [SendPeer(message.sender, pong)]

    def tick(self, now):
        """Send the ping that is due."""
        self.next_ping += PING_INTERVAL_S
        self.seq += 1
        return [SendPeer(self.target, Ping(self.seq, self.record.cell, self.record.epoch))]

    def next_deadline(self):
        """Return the time of the next ping."""
        return self.next_ping
