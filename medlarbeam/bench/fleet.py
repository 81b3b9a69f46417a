"""Simulation of one measured node and its peers in a single process with simulated time."""

import heapq
from collections import Counter
from itertools import count
from random import Random

from medlarbeam.bench.peers import HeartbeatPeer, RealNode, list_resident_models
from medlarbeam.bench.platform import BenchPlatform
from medlarbeam.bench.report import Stopwatch
from medlarbeam.bench.samples import make_catalog, make_cells
from medlarbeam.classes.effects import LoadAdapter, PollServer, ReadVmList, SendPeer
from medlarbeam.classes.key_value import KvCall
from medlarbeam.classes.messages import EngineReport, LoadResult, PeerMessage, PeerUp, VmList
from medlarbeam.classes.peer_messages import CellRecordUpdate
from medlarbeam.node.settings import NodeSettings
from medlarbeam.readwrite.peer_frames import FrameReader, encode_peer_message
from medlarbeam.readwrite.vm_list import parse_vm_list

__all__ = ["Fleet", "Meter"]

LINK_DELAY_S = 0.001


class Meter:
    """Costs of the measured node since the last call of `Fleet.start_measuring`."""

    __slots__ = (
        "bytes_in",
        "bytes_out",
        "calls",
        "decode",
        "encode",
        "kv_bytes",
        "messages_in",
        "messages_out",
        "node",
        "vm_bytes",
        "vm_parse",
    )

    def __init__(self):
        self.node = Stopwatch()
        self.encode = Stopwatch()
        self.decode = Stopwatch()
        self.vm_parse = Stopwatch()
        self.bytes_in = self.bytes_out = 0
        self.messages_in = self.messages_out = 0
        self.kv_bytes = self.vm_bytes = 0
        self.calls = Counter()


class Fleet:
    """A measured node ``n0`` and its peers.

    Parameters
    ----------
    seed : int
    nodes, servers, cell_size : int
        See `make_cells`; every node is a peer of every other node.
    adapters : int
        Number of adapters in the catalog.
    real_peers : bool
        Whether the peers are `RealNode` instead of `HeartbeatPeer`.
    """

    __slots__ = ("due", "events", "meter", "now", "participants", "platform", "records", "sequence")

    def __init__(self, seed, nodes, servers, cell_size, adapters, real_peers=False):
        rng = Random(seed)
        self.records = make_cells(nodes, servers, cell_size)
        change = make_catalog(adapters)
        self.platform = BenchPlatform(self.records, change)
        self.meter = Meter()
        self.now = 0.0
        self.sequence = count()
        self.events = []
        self.due = {}
        names = [f"n{i}" for i in range(nodes)]
        record_by_node = {m.node: r for r in self.records for m in r.members}
        self.participants = {}
        for name in names:
            record = record_by_node[name]
            if name == "n0" or real_peers:
                peers = [n for n in names if n != name]
                settings = NodeSettings(name, 1, record.cell, record.cell, peers)
                peer = RealNode(settings, Random(rng.getrandbits(32)))
            else:
                revision = change.head.revision
                peer = HeartbeatPeer(name, "n0", record, revision, rng.random())
            self.participants[name] = peer
        self._connect(names)

    @property
    def node(self):
        """The measured node."""
        return self.participants["n0"].node

    def _connect(self, names):
        for name in names:
            self._schedule_tick(name)
            for other in names:
                if other != name:
                    self._schedule(0.01, self.deliver, name, PeerUp(other, 1))
        for record in self.records:
            self._schedule(
                0.02, self.deliver, "n0", PeerMessage(names[-1], CellRecordUpdate(record))
            )

    def start_measuring(self):
        """Reset the costs."""
        self.meter = Meter()

    # Simulated time

    def _schedule(self, delay_s, action, *arguments):
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action, arguments))

    def run(self, seconds):
        """Process all events of the next `seconds` of simulated time."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = end

    def _schedule_tick(self, name):
        deadline = max(self.participants[name].next_deadline(), self.now)
        if deadline < self.due.get(name, float("inf")):
            self.due[name] = deadline
            self._schedule(deadline - self.now, self._tick, name, deadline)

    def _tick(self, name, deadline):
        if self.due.get(name) != deadline:
            return
        del self.due[name]
        self._dispatch(name, self.participants[name].tick, self.now)

    def deliver(self, name, message):
        """Deliver a message to a participant and apply the resulting effects."""
        self._dispatch(name, self.participants[name].handle, message, self.now)

    def _dispatch(self, name, method, *arguments):
        if name == "n0":
            with self.meter.node:
                effects = method(*arguments)
        else:
            effects = method(*arguments)
        for effect in effects:
            action = self.ACTIONS.get(type(effect))
            if action is not None:
                action(self, name, effect)
        self._schedule_tick(name)

    # Effects

    def _send(self, name, effect):
        if effect.node not in self.participants:
            return
        body = effect.body
        meter = self.meter
        if name == "n0":
            with meter.encode:
                frame = encode_peer_message(body)
            meter.bytes_out += len(frame)
            meter.messages_out += 1
        elif effect.node == "n0":
            frame = encode_peer_message(body)
            with meter.decode:
                (body,) = FrameReader().feed(frame)
            meter.bytes_in += len(frame)
            meter.messages_in += 1
        self._schedule(LINK_DELAY_S, self.deliver, effect.node, PeerMessage(name, body))

    def _call_kv(self, name, call):
        result = self.platform.execute(call)
        if name == "n0":
            self.meter.calls[f"{type(call.op).__name__} {call.op.key}"] += 1
            self.meter.kv_bytes += sum(len(e.value) for e in result.entries)
        self._schedule(LINK_DELAY_S, self.deliver, name, result)

    def _read_vms(self, name, effect):
        document = self.platform.vm_document
        if name == "n0":
            self.meter.calls["ReadVmList"] += 1
            self.meter.vm_bytes += len(document)
            with self.meter.vm_parse:
                vms = parse_vm_list(document)
        else:
            vms = parse_vm_list(document)
        self._schedule(LINK_DELAY_S, self.deliver, name, VmList(effect.requested_at, vms))

    def _poll(self, name, effect):
        server = effect.server
        if name == "n0":
            self.meter.calls["PollServer"] += 1
        resident = list_resident_models(server.name, server.slots)
        report = EngineReport(server.name, effect.requested_at, "1", resident)
        self._schedule(LINK_DELAY_S, self.deliver, name, report)

    def _load(self, name, effect):
        result = LoadResult(effect.server.name, effect.model)
        self._schedule(LINK_DELAY_S, self.deliver, name, result)

    ACTIONS = {
        SendPeer: _send,
        KvCall: _call_kv,
        ReadVmList: _read_vms,
        PollServer: _poll,
        LoadAdapter: _load,
    }
