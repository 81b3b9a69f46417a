"""Processor time of a request and of a chunk in the node alone, without sockets."""

import gc
from random import Random
from typing import Annotated

import cappa

from medlarbeam.bench.fleet import Fleet
from medlarbeam.bench.peers import make_resident
from medlarbeam.bench.report import Stopwatch, print_report
from medlarbeam.classes.effects import RunOnServer, SendPeer
from medlarbeam.classes.messages import CallerRequest, EngineChunk, EngineEnd, PeerMessage
from medlarbeam.classes.peer_messages import Chunk, End, Forward
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
    """Processor time in one node.

    Parameters
    ----------
    role : str
        ``entry`` sends the request to the owner of the backend server, ``owner`` serves another
        entry node, ``both`` serves a caller on a backend server of its own.
    peers, servers : int

    Attributes
    ----------
    start_us, chunk_us, end_us : float
        Processor time (us) of the node: a request's first message, a chunk, and the end.
    frame_us, chunk_frame_us : float
        Processor time (us) for the peer frames of a request without its chunks, and of a chunk.
    chunk_bytes : float
        Length of the peer frame of a chunk.
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


class Course:
    """Sends requests through the measured node of a fleet in one role.

    Parameters
    ----------
    fleet : Fleet
    rng : random.Random
    chunks : int
        Chunks of an answer.
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
        """Return a request for a model that is resident at an own, or at another, server."""
        servers = [s for record in self.fleet.records for s in record.servers]
        owned = self.fleet.node.ownership.is_owner
        server = self.rng.choice([s for s in servers if owned(s.name) == own])
        model = self.rng.choice(make_resident(server.name, SLOTS))
        self.next_id += 1
        request_id = f"{prefix}-{self.next_id}"
        deadline = self.fleet.now + DEADLINE_S
        return Request(request_id, "bench", Rank.ORDINARY, deadline, [model], BODY, stream=True)

    def handle(self, watch, message):
        """Pass a message to the node and return the effects."""
        with watch:
            return self.fleet.node.handle(message, self.fleet.now)

    def pass_frame(self, watch, body):
        """Encode and decode a message; return it with the length of its frame."""
        with watch:
            frame = encode_peer_message(body)
        with watch:
            (decoded,) = FrameReader().feed(frame)
        return decoded, len(frame)

    def run_entry(self):
        """Send one request on to another node and take its answer."""
        effects = self.handle(self.start, CallerRequest(self.make_request(own=False)))
        sent = find_effect(effects, SendPeer)
        if sent is None:
            return False
        forward = sent.body
        self.pass_frame(self.frame, forward)
        request_id, attempt = forward.request.request_id, forward.attempt
        for position in range(self.chunks):
            body = Chunk(request_id, attempt, position, TOKEN)
            body, size = self.pass_frame(self.chunk_frame, body)
            self.chunk_bytes = size
            self.handle(self.chunk, PeerMessage(sent.node, body))
        end = End(request_id, attempt, self.chunks, forward.model, forward.server)
        self.pass_frame(self.frame, end)
        self.handle(self.end, PeerMessage(sent.node, end))
        return True

    def run_owner(self):
        """Serve a request that another node sent on."""
        peer = next(n for n in self.fleet.participants if n != "n0")
        request = self.make_request(own=True, prefix=f"{peer}-1")
        server = find_home(self.fleet, request.models[0])
        forward = Forward(request, 1, server, request.models[0], DEADLINE_S)
        forward, _ = self.pass_frame(self.frame, forward)
        effects = self.handle(self.start, PeerMessage(peer, forward))
        return self._run_engine(effects, remote=True)

    def run_both(self):
        """Serve a caller on a server that the node owns."""
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
                _, self.chunk_bytes = self.pass_frame(self.chunk_frame, body)
        effects = self.handle(self.end, EngineEnd(run.run_id, self.chunks, run.model))
        if remote:
            self.pass_frame(self.frame, find_effect(effects, SendPeer).body)
        return True


def find_effect(effects, kind):
    """Return the first effect of a class, or None."""
    return next((e for e in effects if isinstance(e, kind)), None)


def find_home(fleet, model):
    """Return the name of the server at which a model is resident."""
    names = (s.name for record in fleet.records for s in record.servers)
    return next(name for name in names if model in make_resident(name, SLOTS))


def measure(seed, peers, servers, requests, chunks):
    """Return the list of `RequestRow` of the three roles.

    Raises
    ------
    RuntimeError
        If the node did not run a request, as the figures would then be of something else.
    """
    fleet = Fleet(seed, peers + 1, servers, CELL_SIZE, SLOTS * servers)
    fleet.run(WARM_UP_S)
    gc.collect()
    gc.freeze()
    rows = []
    for role, method in (
        ("entry", Course.run_entry),
        ("owner", Course.run_owner),
        ("both", Course.run_both),
    ):
        course = Course(fleet, Random(seed), chunks)
        for _ in range(requests):
            if not method(course):
                raise RuntimeError(f"{role}: a request was not run, so there is no figure")
        rows.append(_make_row(role, peers, servers, course))
    gc.unfreeze()
    return rows


def _make_row(role, peers, servers, course):
    row = RequestRow(role, peers, servers)
    row.start_us = course.start.mean_us()
    row.chunk_us = course.chunk.mean_us()
    row.end_us = course.end.mean_us()
    # A frame is encoded at one side of a link and decoded at the other: half of the two spans.
    row.frame_us = course.frame.mean_us() * 2 if course.frame.spans else 0.0
    row.chunk_frame_us = course.chunk_frame.mean_us()
    row.chunk_bytes = float(course.chunk_bytes)
    return row


def main(
    servers: Annotated[list[int], cappa.Arg(long=True, help="in view; repeatable")] = (
        9,
        100,
        500,
        1000,
    ),
    peers: Annotated[list[int], cappa.Arg(long=True, help="repeatable")] = (4, 16, 64, 128),
    fleets: Annotated[list[int], cappa.Arg(long="fleet", help="nodes with 4 servers each")] = (
        8,
        32,
        128,
        250,
    ),
    requests: Annotated[int, cappa.Arg(long=True, help="in each role")] = 200,
    chunks: Annotated[int, cappa.Arg(long=True, help="of an answer")] = 50,
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure requests by the number of servers, of peers (with 100 servers), and of both."""
    points = [(peers[0], n) for n in servers] + [(n, 100) for n in peers[1:]]
    points += [(nodes - 1, SERVERS_PER_NODE * nodes) for nodes in fleets]
    rows = [row for p, s in points for row in measure(seed, p, s, requests, chunks)]
    print_report("request_cost", seed, rows, as_json)


if __name__ == "__main__":
    cappa.invoke(main)
