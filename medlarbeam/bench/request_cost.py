"""Processor time of requests and chunks in the node logic, without sockets."""

import gc
from random import Random
from typing import Annotated

import cappa

from medlarbeam.bench.fleet import Fleet
from medlarbeam.bench.peers import list_resident_models
from medlarbeam.bench.report import Stopwatch, print_report
from medlarbeam.classes.effects import RunOnServer, SendPeer
from medlarbeam.classes.messages import CallerRequest, EngineChunk, EngineEnd, PeerMessage
from medlarbeam.classes.peer_messages import AttemptChunk, AttemptEnd, Forward
from medlarbeam.classes.record import Record
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.readwrite.peer_frames import FrameReader, encode_peer_message

__all__ = ["RequestRow", "main", "measure"]

WARM_UP_S = 6.0
CELL_SIZE = 8
SLOTS = 4
SERVERS_PER_NODE = 4
TOKEN = "word "
BODY = "x" * 2000
DEADLINE_S = 30.0


class RequestRow(Record):
    """Processor time of requests in one node.

    Parameters
    ----------
    role : str
        ``entry`` forwards requests to the owner of the backend server, ``owner`` serves requests
        forwarded by another node, ``both`` serves callers on a backend server that it owns.
    peers, servers : int

    Attributes
    ----------
    start_us, chunk_us, end_us : float
        Processor time (us) of the node for the first message of a request, a chunk, and the end.
    frame_us, chunk_frame_us : float
        Processor time (us) for the peer frames of a request without its chunks, and for that of a
        chunk.
    chunk_bytes : float
        Size of the peer frame of a chunk.
    """

    __slots__ = (
        "role",
        "peers",
        "servers",
        "start_us",
        "chunk_us",
        "end_us",
        "frame_us",
        "chunk_frame_us",
        "chunk_bytes",
    )

    def __init__(self, role, peers, servers):
        self.role = role
        self.peers = peers
        self.servers = servers


class RequestDriver:
    """Drives requests through the measured node of a fleet in one role.

    Parameters
    ----------
    fleet : Fleet
    rng : random.Random
    chunks : int
        Number of chunks per response.
    """

    __slots__ = (
        "chunk",
        "chunk_bytes",
        "chunk_frame",
        "chunks",
        "end",
        "fleet",
        "frame",
        "next_id",
        "rng",
        "start",
    )

    def __init__(self, fleet, rng, chunks):
        self.fleet = fleet
        self.rng = rng
        self.chunks = chunks
        self.next_id = 0
        self.chunk_bytes = 0
        self.start, self.chunk, self.end = Stopwatch(), Stopwatch(), Stopwatch()
        self.frame, self.chunk_frame = Stopwatch(), Stopwatch()

    def make_request(self, own, prefix="n0-1"):
        """Return a request for a model on a server that the node owns, or does not own."""
        servers = [s for record in self.fleet.records for s in record.servers]
        owned = self.fleet.node.ownership.is_owner
        server = self.rng.choice([s for s in servers if owned(s.name) == own])
        model = self.rng.choice(list_resident_models(server.name, SLOTS))
        self.next_id += 1
        request_id = f"{prefix}-{self.next_id}"
        deadline = self.fleet.now + DEADLINE_S
        return Request(request_id, "bench", Rank.ORDINARY, deadline, [model], BODY, stream=True)

    def handle(self, watch, message):
        """Deliver a message to the node and return the effects."""
        with watch:
            return self.fleet.node.handle(message, self.fleet.now)

    def round_trip_frame(self, watch, body):
        """Encode and decode a message; return the decoded message and the size of its frame."""
        with watch:
            frame = encode_peer_message(body)
        with watch:
            (decoded,) = FrameReader().feed(frame)
        return decoded, len(frame)

    def run_entry(self):
        """Forward one request to another node and handle its response."""
        effects = self.handle(self.start, CallerRequest(self.make_request(own=False)))
        sent = find_effect(effects, SendPeer)
        if sent is None:
            return False
        forward = sent.body
        self.round_trip_frame(self.frame, forward)
        request_id, attempt = forward.request.request_id, forward.attempt
        for position in range(self.chunks):
            body = AttemptChunk(request_id, attempt, position, TOKEN)
            body, size = self.round_trip_frame(self.chunk_frame, body)
            self.chunk_bytes = size
            self.handle(self.chunk, PeerMessage(sent.node, body))
        end = AttemptEnd(request_id, attempt, self.chunks, forward.model, forward.server)
        self.round_trip_frame(self.frame, end)
        self.handle(self.end, PeerMessage(sent.node, end))
        return True

    def run_owner(self):
        """Serve a request forwarded by another node."""
        peer = next(n for n in self.fleet.participants if n != "n0")
        request = self.make_request(own=True, prefix=f"{peer}-1")
        server = find_resident_server(self.fleet, request.models[0])
        forward = Forward(request, 1, server, request.models[0], DEADLINE_S)
        forward, _ = self.round_trip_frame(self.frame, forward)
        effects = self.handle(self.start, PeerMessage(peer, forward))
        return self._run_engine(effects, remote=True)

    def run_both(self):
        """Serve a request of a caller on a server that the node owns."""
        effects = self.handle(self.start, CallerRequest(self.make_request(own=True)))
        return self._run_engine(effects, remote=False)

    def _run_engine(self, effects, remote):
        run = find_effect(effects, RunOnServer)
        if run is None:
            return False
        for position in range(self.chunks):
            message = EngineChunk(run.run_id, position, TOKEN, run.model)
            effects = self.handle(self.chunk, message)
            if remote:
                body = find_effect(effects, SendPeer).body
                _, self.chunk_bytes = self.round_trip_frame(self.chunk_frame, body)
        effects = self.handle(self.end, EngineEnd(run.run_id, self.chunks, run.model))
        if remote:
            self.round_trip_frame(self.frame, find_effect(effects, SendPeer).body)
        return True


def find_effect(effects, kind):
    """Return the first effect of the given class, or None."""
    return next((e for e in effects if isinstance(e, kind)), None)


def find_resident_server(fleet, model):
    """Return the name of the server on which a model is loaded."""
    names = (s.name for record in fleet.records for s in record.servers)
    return next(name for name in names if model in list_resident_models(name, SLOTS))


def measure(seed, peers, servers, requests, chunks):
    """Return the list of `RequestRow`, one for each role.

    Raises
    ------
    RuntimeError
        If the node did not run a request, since the figures would then be meaningless.
    """
    fleet = Fleet(seed, peers + 1, servers, CELL_SIZE, SLOTS * servers)
    fleet.run(WARM_UP_S)
    gc.collect()
    gc.freeze()
    rows = []
    for role, method in (
        ("entry", RequestDriver.run_entry),
        ("owner", RequestDriver.run_owner),
        ("both", RequestDriver.run_both),
    ):
        driver = RequestDriver(fleet, Random(seed), chunks)
        for _ in range(requests):
            if not method(driver):
                raise RuntimeError(f"role {role}: the node did not run a request")
        rows.append(_make_row(role, peers, servers, driver))
    gc.unfreeze()
    return rows


def _make_row(role, peers, servers, driver):
    row = RequestRow(role, peers, servers)
    row.start_us = driver.start.mean_us()
    row.chunk_us = driver.chunk.mean_us()
    row.end_us = driver.end.mean_us()
    # A frame is encoded on one node and decoded on another, so it costs each of them half of the
    # two spans, which is the mean. A request has two frames besides its chunks.
    row.frame_us = driver.frame.mean_us() * 2 if driver.frame.spans else 0.0
    row.chunk_frame_us = driver.chunk_frame.mean_us()
    row.chunk_bytes = float(driver.chunk_bytes)
    return row


def main(
    servers: Annotated[list[int], cappa.Arg(long=True, help="Number of servers; repeatable.")] = (
        9,
        100,
        500,
        1000,
    ),
    peers: Annotated[list[int], cappa.Arg(long=True, help="Number of peers; repeatable.")] = (
        4,
        16,
        64,
        128,
    ),
    fleets: Annotated[
        list[int], cappa.Arg(long="fleet", help="Number of nodes with 4 servers each; repeatable.")
    ] = (
        8,
        32,
        128,
        250,
    ),
    requests: Annotated[int, cappa.Arg(long=True, help="Requests per role.")] = 200,
    chunks: Annotated[int, cappa.Arg(long=True, help="Chunks per response.")] = 50,
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure requests by number of servers, of peers (with 100 servers) and of nodes."""
    points = [(peers[0], n) for n in servers] + [(n, 100) for n in peers[1:]]
    points += [(nodes - 1, SERVERS_PER_NODE * nodes) for nodes in fleets]
    rows = [row for p, s in points for row in measure(seed, p, s, requests, chunks)]
    print_report("request_cost", seed, rows, as_json)


if __name__ == "__main__":
    cappa.invoke(main)
