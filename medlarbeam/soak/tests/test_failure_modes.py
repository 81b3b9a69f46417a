"""What gateways see of a worker that fails, of the bytes that it wrote, and of its return."""

import asyncio
import socket
from random import Random

import pytest

from medlarbeam.soak import faults
from medlarbeam.soak.deployment import Deployment
from medlarbeam.soak.failure_modes import FAILURE_MODES
from medlarbeam.soak.faults import HarmfulPart
from medlarbeam.soak.framings import FRAMINGS
from medlarbeam.soak.links import WorkerLinks
from medlarbeam.soak.worker import HARMFUL_PART, SoakWorker

WAIT_S = 0.3


class Worker:
    """Server that writes a byte for each that it gets."""

    __slots__ = ("address", "server", "writers")

    def __init__(self):
        self.server = None
        self.address = ""
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while data := await reader.read(1):
                writer.write(data)
        except ConnectionError:
            return


async def connect(link):
    host, _, port = link.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_end(reader, writer, request=b""):
    """Return what a connection gives after a request, and how it ends."""
    data = b""
    try:
        async with asyncio.timeout(WAIT_S):
            writer.write(request)
            while piece := await reader.read(64):
                data += piece
        return data, "closed"
    except ConnectionError:
        return data, "reset"
    except TimeoutError:
        return data, "open"


async def try_connection(link):
    """Return what a new connection gives for a byte, and how it ends."""
    try:
        async with asyncio.timeout(WAIT_S):
            reader, writer = await connect(link)
    except ConnectionRefusedError:
        return b"", "refused"
    except TimeoutError:
        return b"", "hangs"
    return await read_end(reader, writer, b"n")


# Bytes and end of an open connection whose worker has just written "w", and of a new one.
# Guards against a failure mode that gateways see as another one.
MODES = [
    ("reset-that-looks-like-an-end", "reset", (b"", "reset"), (b"", "refused")),
    ("close-that-loses-written-bytes", "closed", (b"w", "closed"), (b"", "refused")),
    ("dark-machine-that-answers", "dark", (b"", "open"), (b"", "hangs")),
    ("proxy-that-refuses", "proxied", (b"w", "closed"), (b"", "closed")),
]


@pytest.mark.parametrize("cut", ["", "silent", "refused"], ids=lambda cut: cut or "no-cut")
@pytest.mark.parametrize(("name", "old", "new"), [m[1:] for m in MODES], ids=[m[0] for m in MODES])
def test_connections_to_a_worker_that_fails(name, old, new, cut):
    async def run():
        worker = Worker()
        await worker.start()
        links = WorkerLinks(worker.address, ["gw-0", "gw-1"])
        await links.start()
        link = links.links["gw-0"]
        reader, writer = await connect(link)
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        worker.writers[0].write(b"w")
        FAILURE_MODES[name].fail(links)
        seen = await read_end(reader, writer), await try_connection(link)
        if cut:  # of another gateway, which must not change whether the worker comes back
            links.links["gw-1"].cut(cut)
            await links.links["gw-1"].restore()
        await links.start()
        former = await read_end(reader, writer, b"f")
        back = [await try_connection(one) for one in links.links.values()]
        links.stop()
        worker.server.close()
        return seen, former, back

    seen, (data, end), back = asyncio.run(run())
    assert seen == (old, new)
    assert data == b"" and end != "open"
    assert back == [(b"n", "open")] * 2


HEAD = b"HTTP/1.1 200 X\r\nX-Attempt-Id: a\r\nX-Server-Stamp: s.1\r\n"
EVENT = b"id: 1\ndata: x1 a\n\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"

# Guards against a crash before the bytes that make it look like the end of a response.
RESPONSES = [
    ("no-head", "unframed", None, b""),
    ("head-only", "chunked", 0, CHUNKED),
    ("head-without-length", "unframed", 0, UNFRAMED),
    ("stream-has-no-length", "length", 1, CHUNKED + b"12\r\n" + EVENT + b"\r\n"),
    ("event-without-chunk", "unframed", 1, UNFRAMED + EVENT),
]


@pytest.mark.parametrize(
    ("framing", "events", "expected"), [r[1:] for r in RESPONSES], ids=[r[0] for r in RESPONSES]
)
def test_bytes_of_a_harmful_response(framing, events, expected):
    request = (
        "POST /chat/x HTTP/1.1\r\nX-Expect-Instance: engine-0\r\nX-Attempt-Id: a\r\n"
        f"X-Model: m0/a0\r\nX-Prompt-Prefix: 5e5e:1,{HARMFUL_PART}:1,f0:1\r\n\r\n"
    )

    async def run():
        worker = SoakWorker("engine-0", Random(1), [], [], [])
        worker.adapters.add("a0")
        worker.set_behaviour(FAILURE_MODES["closed"], FRAMINGS[framing], events)
        await worker.start()
        reader, writer = await connect(worker)
        result = await read_end(reader, writer, request.encode())
        worker.stop()
        return result, worker.crashed.is_set()

    assert asyncio.run(run()) == ((expected, "closed"), True)


# Guards against a body whose end a gateway cannot find, or finds although there is none.
BODIES = [
    ("chunked", CHUNKED + b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"),
    ("length", HEAD + b"Content-Length: 3\r\n\r\nabc"),
    ("unframed", UNFRAMED + b"abc"),
]


@pytest.mark.parametrize(("name", "expected"), BODIES, ids=[f"{b[0]}-has-no-end" for b in BODIES])
def test_complete_responses(name, expected):
    async def run():
        near, far = socket.socketpair()
        reader, far_writer = await asyncio.open_connection(sock=far)
        near_reader, writer = await asyncio.open_connection(sock=near)
        worker = SoakWorker("engine-0", Random(1), [], [], [])
        framing = FRAMINGS[name].choose(worker.rng, False)
        keeps_open = await framing.send(worker, writer, "a", [b"a", b"", b"bc"])
        writer.close()
        data = await reader.read()
        far_writer.close()
        return data, keeps_open

    assert asyncio.run(run()) == (expected, name != "unframed")


@pytest.mark.parametrize("is_stream", [True, False], ids=["all-streams-alike", "all-calls-alike"])
def test_share_of_unframed_responses(is_stream):
    rng = Random(1)
    names = [FRAMINGS["mixed"].choose(rng, is_stream).name for _ in range(1000)]
    assert 250 < names.count("unframed") < 350
    assert names.count("chunked") + names.count("unframed") == 1000


@pytest.mark.parametrize("duration_s", [0.2, 1.37, 2.999], ids="lasts-{}-s".format)
def test_harmful_part_leaves_the_draws_of_other_faults(duration_s, tmp_path, monkeypatch):
    monkeypatch.setattr(faults, "HARMFUL_S", -1.0)
    rng, expected = Random(7), Random(7)
    deployment = Deployment(tmp_path, Random(1), gateways=0)
    deployment.gateways["gw-0"] = None
    asyncio.run(HarmfulPart().apply(deployment, "callers", rng, duration_s))
    for _ in range(faults.HARMFUL_CALLERS):
        expected.random()
    assert rng.random() == expected.random()
    for worker in deployment.workers.values():
        behaviour = (worker.failure_mode.name, worker.framing.name, worker.harmful_events)
        assert behaviour == ("reset", "chunked", None)
