"""Peer links: who may connect, and what happens to messages when a link breaks."""

import asyncio
import logging
import random
from contextlib import asynccontextmanager

import pytest

from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.classes.peer_messages import Chunk, Leaving, Ping
from medlarbeam.daemon.link_auth import NONCE_BYTES, accepting_mac, dialling_mac
from medlarbeam.daemon.peer_link import LinkListener, LinkSettings
from medlarbeam.daemon.peer_links import PeerLinks, backoff_delay, split_address
from medlarbeam.exceptions import SettingsError
from medlarbeam.readwrite.peer_frames import MAX_FRAME_BYTES, FrameReader, encode_peer_message

SECRET = b"s3cret"
NONCE = b"n" * NONCE_BYTES
SEED = 20261204
GUARD_S = 30  # ends a test that hangs; no test waits this long when the code is right
NOWHERE = "127.0.0.1:9"  # the address of a node that dials and is never dialled


class Recorder(LinkListener):
    """Keeps the events of a node's links in order."""

    __slots__ = ("events",)

    def __init__(self):
        self.events = asyncio.Queue()

    def on_message(self, sender, body):
        self.events.put_nowait((sender, body))

    def on_up(self, node, incarnation):
        self.events.put_nowait(("up", node, incarnation))

    def on_down(self, node):
        self.events.put_nowait(("down", node))

    async def expect(self, *events):
        for event in events:
            assert await self.events.get() == event


@asynccontextmanager
async def running(name, peers, incarnation=5, port=0, secret=SECRET, **options):
    """Run the links of a node; `links.listener` is its Recorder."""
    options = {"backoff_base_s": 0.001, "backoff_max_s": 0.01, "flush_s": 0.0} | options
    settings = LinkSettings(name, incarnation, f"127.0.0.1:{port}", peers, **options)
    links = PeerLinks(settings, secret, random.Random(SEED), Recorder())
    await links.start()
    try:
        yield links
    finally:
        await links.stop()


class Raw:
    """The other end of a link, written by hand."""

    __slots__ = ("bodies", "reader", "stream", "writer")

    def __init__(self, stream, writer):
        self.stream = stream
        self.writer = writer
        self.reader = FrameReader()
        self.bodies = []

    async def read(self):
        """Return the next message, None at the end of the connection."""
        while not self.bodies:
            try:
                data = await self.stream.read(65536)
            except ConnectionError:
                return None
            if not data:
                return None
            self.bodies = self.reader.feed(data)
        return self.bodies.pop(0)

    def write(self, body):
        self.writer.write(body if isinstance(body, bytes) else encode_peer_message(body))


async def connect(links, hello=None, secret=SECRET, incarnation=5):
    """Dial a node as n1 and go through the handshake as far as it goes."""
    raw = Raw(*await asyncio.open_connection("127.0.0.1", links.port))
    hello = hello or Hello("n1", incarnation, "n2", NONCE)
    raw.write(hello)
    challenge = await raw.read()
    if isinstance(challenge, Challenge):
        assert challenge.mac == accepting_mac(SECRET, hello, challenge)
        raw.write(Proof(dialling_mac(secret, hello, challenge)))
    return raw


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, GUARD_S))


def warnings_of(caplog):
    return [r.getMessage() for r in caplog.records if r.levelno >= logging.WARNING]


HELLO = ("n1", 5, "n2", NONCE)
REFUSED = [
    ("unknown-name", {"hello": Hello("x\n", *HELLO[1:])}, "node 'x\\n' is not a known peer"),
    ("own-name", {"hello": Hello("n2", *HELLO[1:])}, "node 'n2' is not a known peer"),
    ("other-target", {"hello": Hello("n1", 5, "n3", NONCE)}, "means to reach node 'n3'"),
    ("both-ends-dial", {"hello": Hello("n3", *HELLO[1:])}, "n3 has to be dialled from here"),
    ("short-nonce", {"hello": Hello(*HELLO[:3], b"")}, "nonce has 0 bytes"),
    ("wrong-secret", {"secret": b"guess"}, "the secret is another one"),
    ("message-first", {"hello": Ping(1, "a", 1)}, "unexpected Ping"),
    ("large-frame-first", {"hello": Chunk("r", 1, 0, "x" * 1100)}, "1 to 1024 are allowed"),
]


@pytest.mark.parametrize(
    ("attempt", "reason"), [r[1:] for r in REFUSED], ids=[r[0] for r in REFUSED]
)
def test_connection_is_refused(attempt, reason, caplog):
    async def scenario():
        async with running("n2", {"n1": NOWHERE, "n3": NOWHERE}) as links:
            raw = await connect(links, **attempt)
            assert await raw.read() is None
            lines = [line for line in warnings_of(caplog) if "n3: cannot connect" not in line]
            assert len(lines) == 1 and reason in lines[0]
            raw = await connect(links)  # a good node still gets through, and first
            await links.listener.expect(("up", "n1", 5))
            raw.writer.close()

    run(scenario())


BROKEN = [
    ("oversize", (MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "frame of 2097153 bytes"),
    ("garbage", b"\0\0\0\3\1\2\3", "bad frame: message has more"),
    ("second-hello", Hello(*HELLO), "unexpected Hello"),
    ("closed", None, "closed by the peer"),
]


@pytest.mark.parametrize(("data", "reason"), [b[1:] for b in BROKEN], ids=[b[0] for b in BROKEN])
def test_link_is_closed(data, reason, caplog):
    async def scenario():
        async with running("n2", {"n1": NOWHERE}) as links:
            raw = await connect(links)
            ping = Ping(1, "a", 1)
            raw.write(ping)  # arrives although the next frame is bad
            if data is None:
                raw.writer.close()
            else:
                raw.write(data)
            await links.listener.expect(("up", "n1", 5), ("n1", ping), ("down", "n1"))
            assert await raw.read() is None
            assert len(warnings_of(caplog)) == 1 and reason in warnings_of(caplog)[0]
            assert not links.send("n1", ping)

    run(scenario())


def answer_as(name="n2", secret=SECRET, incarnation=5, **fields):
    def answer(hello):
        challenge = Challenge(name, incarnation, NONCE, b"")
        challenge.mac = accepting_mac(secret, hello, challenge)
        for field, value in fields.items():
            setattr(challenge, field, value)
        return challenge

    return answer


def reflect(hello):
    """Answer with the MAC that belongs to the other side."""
    challenge = Challenge("n2", 5, NONCE, b"")
    challenge.mac = dialling_mac(SECRET, hello, challenge)
    return challenge


BAD_ANSWERS = [
    ("wrong-secret", answer_as(secret=b"guess"), "the secret is another one"),
    ("other-node", answer_as(name="n3"), "node 'n3' answers instead of n2"),
    ("changed-incarnation", answer_as(incarnation=5, mac=b"m" * 32), "the secret is another one"),
    ("reflected", reflect, "the secret is another one"),
    ("hello-back", lambda hello: hello, "unexpected Hello"),
    ("early-message", lambda hello: Ping(1, "a", 1), "unexpected Ping"),
]


@pytest.mark.parametrize(
    ("answer", "reason"), [b[1:] for b in BAD_ANSWERS], ids=[b[0] for b in BAD_ANSWERS]
)
def test_answer_is_refused(answer, reason, caplog):
    async def scenario():
        accepted = asyncio.Queue()
        server = await asyncio.start_server(
            lambda *ends: accepted.put_nowait(Raw(*ends)), "127.0.0.1", 0
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running("n1", {"n2": address}) as links:
            raw = await accepted.get()
            raw.write(answer(await raw.read()))
            assert await raw.read() is None
            assert [reason in line for line in warnings_of(caplog)] == [True]
            raw = await accepted.get()  # it dials again
            raw.write(answer_as()(await raw.read()))
            assert isinstance(await raw.read(), Proof)
            await links.listener.expect(("up", "n2", 5))
            raw.writer.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("restarted", ["n1", "n2"], ids=["dialling-end", "accepting-end"])
def test_reconnect_after_restart(restarted):
    large = {"queue_bytes": 2**25, "flush_s": GUARD_S}

    async def scenario():
        async with running("n2", {"n1": NOWHERE}, **large) as n2:
            port, address = n2.port, f"127.0.0.1:{n2.port}"
            async with running("n1", {"n2": address}, **large) as n1:
                await n1.listener.expect(("up", "n2", 5))
                await n2.listener.expect(("up", "n1", 5))
                assert n1.send("n2", Ping(1, "a", 1)) and n2.send("n1", Ping(2, "b", 1))
                await n1.listener.expect(("n2", Ping(2, "b", 1)))
                await n2.listener.expect(("n1", Ping(1, "a", 1)))
                stopped, other = (n1, n2) if restarted == "n1" else (n2, n1)
                # More than the kernel buffers, so that a part still waits when the node stops.
                sent = [*[Chunk("r", 1, i, "x" * 2_000_000) for i in range(8)], Leaving(restarted)]
                assert all(stopped.send(other.settings.name, body) for body in sent)
                await stopped.stop()  # what was sent before arrives
                arrived = [(restarted, body) for body in sent]
                await other.listener.expect(*arrived, ("down", restarted))
                options = {"peers": stopped.settings.peers, "incarnation": 6}
                if restarted == "n2":
                    options["port"] = port
                async with running(restarted, **options) as again:
                    await other.listener.expect(("up", restarted, 6))
                    assert other.send(restarted, Ping(3, "c", 1))
                    await again.listener.expect(
                        ("up", other.settings.name, 5),
                        (other.settings.name, Ping(3, "c", 1)),
                    )

    run(scenario())


TAKEOVERS = [("newer-incarnation", 5, 6), ("same-incarnation", 5, 5)]


@pytest.mark.parametrize(
    ("first", "second"), [t[1:] for t in TAKEOVERS], ids=[t[0] for t in TAKEOVERS]
)
def test_takeover(first, second, caplog):
    async def scenario():
        async with running("n2", {"n1": NOWHERE}) as links:
            old = await connect(links, incarnation=first)
            await links.listener.expect(("up", "n1", first))
            # A handshake of the first process that is still open completes too late.
            hello = Hello("n1", first - 1, "n2", NONCE)
            new = await connect(links, incarnation=second)
            await links.listener.expect(("down", "n1"), ("up", "n1", second))
            old.write(Ping(9, "late", 1))
            assert links.send("n1", Ping(1, "a", 1))
            assert await new.read() == Ping(1, "a", 1)
            assert await old.read() is None
            stale = await connect(links, hello=hello)
            assert await stale.read() is None
            assert "is older than" in warnings_of(caplog)[-1]
            assert links.listener.events.empty()

    run(scenario())


@pytest.mark.parametrize("first", [3], ids=["older-handshake-completes-late"])
def test_late_proof(first, caplog):
    async def scenario():
        async with running("n2", {"n1": NOWHERE}) as links:
            late = Raw(*await asyncio.open_connection("127.0.0.1", links.port))
            hello = Hello("n1", first, "n2", NONCE)
            late.write(hello)
            challenge = await late.read()
            new = await connect(links, incarnation=first + 1)
            await links.listener.expect(("up", "n1", first + 1))
            late.write(Proof(dialling_mac(SECRET, hello, challenge)))
            assert await late.read() is None
            assert f"incarnation {first} is older" in warnings_of(caplog)[-1]
            assert links.send("n1", Ping(1, "a", 1))
            assert await new.read() == Ping(1, "a", 1)

    run(scenario())


@pytest.mark.parametrize("size", [1_000_000], ids=["peer-that-does-not-read"])
def test_overflow_closes_the_link(size, caplog):
    async def scenario():
        async with running("n2", {"n1": NOWHERE}) as links:
            raw = await connect(links)
            await links.listener.expect(("up", "n1", 5))
            chunk = Chunk("r", 1, 0, "x" * size)
            sent = [links.send("n1", chunk) for _ in range(100)]
            assert links.listener.events.empty()  # send() itself calls nobody back
            assert sent == sorted(sent, reverse=True) and links.dropped == sent.count(False) > 0
            await links.listener.expect(("down", "n1"))
            assert len(warnings_of(caplog)) == 1 and "send queue" in warnings_of(caplog)[0]
            raw.writer.close()

    run(scenario())


DROPPED = [
    ("unknown-node", "n9", Ping(1, "a", 1)),
    ("no-link", "n0", Ping(1, "a", 1)),
    ("too-long", "n1", Chunk("r", 1, 0, "x" * MAX_FRAME_BYTES)),
    ("not-encodable", "n1", Ping(-1, "a", 1)),
]


@pytest.mark.parametrize(("node", "body"), [d[1:] for d in DROPPED], ids=[d[0] for d in DROPPED])
def test_message_is_dropped(node, body):
    async def scenario():
        async with running("n2", {"n1": NOWHERE, "n0": NOWHERE}) as links:
            raw = await connect(links)
            await links.listener.expect(("up", "n1", 5))
            assert not links.send(node, body)
            assert links.dropped == 1
            assert links.send("n1", Ping(1, "a", 1))
            assert await raw.read() == Ping(1, "a", 1)

    run(scenario())


IDLE = [
    ("silent-peer", {"handshake_timeout_s": 0.01}, "handshake timed out"),
    ("flood-of-connections", {"max_handshakes": 0}, "more than 0 handshakes"),
]


@pytest.mark.parametrize(("options", "reason"), [i[1:] for i in IDLE], ids=[i[0] for i in IDLE])
def test_unfinished_handshake_is_closed(options, reason, caplog):
    async def scenario():
        async with running("n2", {"n1": NOWHERE}, **options) as links:
            raw = Raw(*await asyncio.open_connection("127.0.0.1", links.port))
            assert await raw.read() is None
            assert [reason in line for line in warnings_of(caplog)] == [True]

    run(scenario())


DELAYS = [("first", 0, 0.05, 0.1), ("doubled", 3, 0.4, 0.8), ("capped", 10**6, 1.5, 3.0)]


@pytest.mark.parametrize(
    ("attempt", "low", "high"), [d[1:] for d in DELAYS], ids=[d[0] for d in DELAYS]
)
def test_backoff(attempt, low, high):
    rng = random.Random(SEED)
    delays = [backoff_delay(attempt, 0.1, 3.0, rng) for _ in range(50)]
    assert low <= min(delays) < max(delays) <= high


SETTINGS = [
    ("no-secret", {"secret": b""}, "secret"),
    ("bad-listen", {"listen": "localhost:80"}, "'localhost:80' is not ip:port"),
    ("bad-peer", {"peers": {"n1": "127.0.0.1"}}, "'127.0.0.1' is not ip:port"),
    ("queue-below-a-frame", {"queue_bytes": 1000}, "queue_bytes"),
]


@pytest.mark.parametrize(
    ("change", "reason"), [s[1:] for s in SETTINGS], ids=[s[0] for s in SETTINGS]
)
def test_bad_settings(change, reason):
    fields = {"listen": "[::1]:0", "peers": {}, "secret": SECRET} | change
    secret = fields.pop("secret")
    with pytest.raises(SettingsError, match=reason):
        PeerLinks(LinkSettings("n2", 5, **fields), secret, random.Random(SEED), None)


@pytest.mark.parametrize("text", ["[::1]:70"], ids=["ipv6-brackets-stay"])
def test_split_address(text):
    assert split_address(text) == ("::1", 70)
