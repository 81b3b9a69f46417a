"""Peer links: handshakes are authenticated, and no message is lost silently when a link fails."""

import asyncio
import logging
import random
from contextlib import asynccontextmanager

import pytest

from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.classes.peer_messages import AttemptChunk, Leaving, Ping
from medlarbeam.daemon.link_auth import NONCE_BYTES, challenge_mac, proof_mac
from medlarbeam.daemon.peer_link import LinkListener, LinkSettings
from medlarbeam.daemon.peer_links import PeerLinks, backoff_delay, parse_address
from medlarbeam.exceptions import SettingsError
from medlarbeam.readwrite.peer_frames import MAX_FRAME_BYTES, FrameReader, encode_peer_message

SECRET = b"s3cret"
NONCE = b"n" * NONCE_BYTES
SEED = 20261204
TEST_TIMEOUT_S = 30  # limits a test that hangs; passing tests need far less time
UNUSED_ADDRESS = "127.0.0.1:9"  # for a peer that is never dialled


class Recorder(LinkListener):
    """Queues the events of the links of a node in order."""

    __slots__ = ("events",)

    def __init__(self):
        self.events = asyncio.Queue()

    def on_message(self, sender, message):
        self.events.put_nowait((sender, message))

    def on_link_up(self, node, incarnation):
        self.events.put_nowait(("up", node, incarnation))

    def on_link_down(self, node):
        self.events.put_nowait(("down", node))

    async def expect(self, *events):
        for event in events:
            assert await self.events.get() == event


@asynccontextmanager
async def running_links(name, peers, incarnation=5, port=0, secret=SECRET, **options):
    """Run the links of a node, with a `Recorder` as their listener."""
    options = {"backoff_base_s": 0.001, "backoff_max_s": 0.01, "flush_timeout_s": 0.0} | options
    settings = LinkSettings(name, incarnation, f"127.0.0.1:{port}", peers, **options)
    links = PeerLinks(settings, secret, random.Random(SEED), Recorder())
    await links.start()
    try:
        yield links
    finally:
        await links.stop()


class RawPeer:
    """Remote end of a link that sends any frames, also invalid ones."""

    __slots__ = ("messages", "reader", "stream", "writer")

    def __init__(self, stream, writer):
        self.stream = stream
        self.writer = writer
        self.reader = FrameReader()
        self.messages = []

    async def read(self):
        """Return the next message, None at the end of the connection."""
        while not self.messages:
            try:
                data = await self.stream.read(65536)
            except ConnectionError:
                return None
            if not data:
                return None
            self.messages = self.reader.feed(data)
        return self.messages.pop(0)

    def write(self, message):
        self.writer.write(message if isinstance(message, bytes) else encode_peer_message(message))


async def connect(links, hello=None, secret=SECRET, incarnation=5):
    """Dial a node as n1 and complete the handshake as far as the node responds."""
    raw_peer = RawPeer(*await asyncio.open_connection("127.0.0.1", links.port))
    hello = hello or Hello("n1", incarnation, "n2", NONCE)
    raw_peer.write(hello)
    challenge = await raw_peer.read()
    if isinstance(challenge, Challenge):
        assert challenge.mac == challenge_mac(SECRET, hello, challenge)
        raw_peer.write(Proof(proof_mac(secret, hello, challenge)))
    return raw_peer


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


def logged_warnings(caplog):
    return [r.getMessage() for r in caplog.records if r.levelno >= logging.WARNING]


HELLO = ("n1", 5, "n2", NONCE)
REJECTED_HANDSHAKES = [
    ("unknown-name", {"hello": Hello("x\n", *HELLO[1:])}, "node 'x\\n' is not a known peer"),
    ("own-name", {"hello": Hello("n2", *HELLO[1:])}, "node 'n2' is not a known peer"),
    ("other-target", {"hello": Hello("n1", 5, "n3", NONCE)}, "is meant for node 'n3'"),
    ("both-ends-dial", {"hello": Hello("n3", *HELLO[1:])}, "n3 must not dial this node"),
    ("short-nonce", {"hello": Hello(*HELLO[:3], b"")}, "nonce has 0 bytes"),
    ("wrong-secret", {"secret": b"guess"}, "MAC mismatch"),
    ("message-first", {"hello": Ping(1, "a", 1)}, "unexpected Ping"),
    (
        "large-frame-first",
        {"hello": AttemptChunk("r", 1, 0, "x" * 1100)},
        "not within 1 to 1024 bytes",
    ),
]


@pytest.mark.parametrize(
    ("attempt", "reason"),
    [r[1:] for r in REJECTED_HANDSHAKES],
    ids=[r[0] for r in REJECTED_HANDSHAKES],
)
def test_connection_is_rejected(attempt, reason, caplog):
    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS, "n3": UNUSED_ADDRESS}) as links:
            raw_peer = await connect(links, **attempt)
            assert await raw_peer.read() is None
            lines = [line for line in logged_warnings(caplog) if "n3: cannot connect" not in line]
            assert len(lines) == 1 and reason in lines[0]
            raw_peer = await connect(links)  # the first link event is that of a valid node
            await links.listener.expect(("up", "n1", 5))
            raw_peer.writer.close()

    run(scenario())


BROKEN_STREAMS = [
    ("oversize", (MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "frame of 2097153 bytes"),
    ("garbage", b"\0\0\0\3\1\2\3", "invalid frame: message has more"),
    ("second-hello", Hello(*HELLO), "unexpected Hello"),
    ("closed", None, "closed by the peer"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in BROKEN_STREAMS], ids=[b[0] for b in BROKEN_STREAMS]
)
def test_link_is_closed(data, reason, caplog):
    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS}) as links:
            raw_peer = await connect(links)
            ping = Ping(1, "a", 1)
            raw_peer.write(ping)  # delivered although the next frame is invalid
            if data is None:
                raw_peer.writer.close()
            else:
                raw_peer.write(data)
            await links.listener.expect(("up", "n1", 5), ("n1", ping), ("down", "n1"))
            assert await raw_peer.read() is None
            assert len(logged_warnings(caplog)) == 1 and reason in logged_warnings(caplog)[0]
            assert not links.send("n1", ping)

    run(scenario())


def make_answer(name="n2", secret=SECRET, incarnation=5, **fields):
    def answer(hello):
        challenge = Challenge(name, incarnation, NONCE, b"")
        challenge.mac = challenge_mac(secret, hello, challenge)
        for field, value in fields.items():
            setattr(challenge, field, value)
        return challenge

    return answer


def reflect_mac(hello):
    """Respond with the MAC of the dialling node instead of the accepting one."""
    challenge = Challenge("n2", 5, NONCE, b"")
    challenge.mac = proof_mac(SECRET, hello, challenge)
    return challenge


REJECTED_ANSWERS = [
    ("wrong-secret", make_answer(secret=b"guess"), "MAC mismatch"),
    ("other-node", make_answer(name="n3"), "node 'n3' answers instead of n2"),
    ("changed-incarnation", make_answer(incarnation=5, mac=b"m" * 32), "MAC mismatch"),
    ("reflected", reflect_mac, "MAC mismatch"),
    ("hello-back", lambda hello: hello, "unexpected Hello"),
    ("early-message", lambda hello: Ping(1, "a", 1), "unexpected Ping"),
]


@pytest.mark.parametrize(
    ("answer", "reason"), [b[1:] for b in REJECTED_ANSWERS], ids=[b[0] for b in REJECTED_ANSWERS]
)
def test_answer_is_rejected(answer, reason, caplog):
    async def scenario():
        accepted = asyncio.Queue()
        server = await asyncio.start_server(
            lambda *ends: accepted.put_nowait(RawPeer(*ends)), "127.0.0.1", 0
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with running_links("n1", {"n2": address}) as links:
            raw_peer = await accepted.get()
            raw_peer.write(answer(await raw_peer.read()))
            assert await raw_peer.read() is None
            assert [reason in line for line in logged_warnings(caplog)] == [True]
            raw_peer = await accepted.get()  # the node dials again
            raw_peer.write(make_answer()(await raw_peer.read()))
            assert isinstance(await raw_peer.read(), Proof)
            await links.listener.expect(("up", "n2", 5))
            raw_peer.writer.close()
        server.close()

    run(scenario())


@pytest.mark.parametrize("restarted", ["n1", "n2"], ids=["dialling-end", "accepting-end"])
def test_reconnect_after_restart(restarted):
    large_queue = {"queue_bytes": 2**25, "flush_timeout_s": TEST_TIMEOUT_S}

    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS}, **large_queue) as n2:
            port, address = n2.port, f"127.0.0.1:{n2.port}"
            async with running_links("n1", {"n2": address}, **large_queue) as n1:
                await n1.listener.expect(("up", "n2", 5))
                await n2.listener.expect(("up", "n1", 5))
                assert n1.send("n2", Ping(1, "a", 1)) and n2.send("n1", Ping(2, "b", 1))
                await n1.listener.expect(("n2", Ping(2, "b", 1)))
                await n2.listener.expect(("n1", Ping(1, "a", 1)))
                stopped, other = (n1, n2) if restarted == "n1" else (n2, n1)
                # More than the kernel buffers, so that a part is still queued when the node stops.
                sent = [
                    *[AttemptChunk("r", 1, i, "x" * 2_000_000) for i in range(8)],
                    Leaving(restarted),
                ]
                assert all(stopped.send(other.settings.name, message) for message in sent)
                await stopped.stop()  # must not discard the queued messages
                arrived = [(restarted, message) for message in sent]
                await other.listener.expect(*arrived, ("down", restarted))
                options = {"peers": stopped.settings.peers, "incarnation": 6}
                if restarted == "n2":
                    options["port"] = port
                async with running_links(restarted, **options) as restarted_links:
                    await other.listener.expect(("up", restarted, 6))
                    assert other.send(restarted, Ping(3, "c", 1))
                    await restarted_links.listener.expect(
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
        async with running_links("n2", {"n1": UNUSED_ADDRESS}) as links:
            old_peer = await connect(links, incarnation=first)
            await links.listener.expect(("up", "n1", first))
            # A Hello of an older incarnation than the connected one is rejected.
            hello = Hello("n1", first - 1, "n2", NONCE)
            new_peer = await connect(links, incarnation=second)
            await links.listener.expect(("down", "n1"), ("up", "n1", second))
            old_peer.write(Ping(9, "late", 1))
            assert links.send("n1", Ping(1, "a", 1))
            assert await new_peer.read() == Ping(1, "a", 1)
            assert await old_peer.read() is None
            stale_peer = await connect(links, hello=hello)
            assert await stale_peer.read() is None
            assert "is older than" in logged_warnings(caplog)[-1]
            assert links.listener.events.empty()

    run(scenario())


@pytest.mark.parametrize("first", [3], ids=["older-handshake-completes-late"])
def test_late_proof(first, caplog):
    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS}) as links:
            late_peer = RawPeer(*await asyncio.open_connection("127.0.0.1", links.port))
            hello = Hello("n1", first, "n2", NONCE)
            late_peer.write(hello)
            challenge = await late_peer.read()
            new_peer = await connect(links, incarnation=first + 1)
            await links.listener.expect(("up", "n1", first + 1))
            late_peer.write(Proof(proof_mac(SECRET, hello, challenge)))
            assert await late_peer.read() is None
            assert f"incarnation {first} is older" in logged_warnings(caplog)[-1]
            assert links.send("n1", Ping(1, "a", 1))
            assert await new_peer.read() == Ping(1, "a", 1)

    run(scenario())


@pytest.mark.parametrize("size", [1_000_000], ids=["peer-that-does-not-read"])
def test_overflow_closes_the_link(size, caplog):
    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS}) as links:
            raw_peer = await connect(links)
            await links.listener.expect(("up", "n1", 5))
            chunk = AttemptChunk("r", 1, 0, "x" * size)
            sent = [links.send("n1", chunk) for _ in range(100)]
            assert links.listener.events.empty()  # send() itself calls no listener
            assert sent == sorted(sent, reverse=True) and links.dropped == sent.count(False) > 0
            await links.listener.expect(("down", "n1"))
            assert len(logged_warnings(caplog)) == 1 and "send queue" in logged_warnings(caplog)[0]
            raw_peer.writer.close()

    run(scenario())


DROPPED_MESSAGES = [
    ("unknown-node", "n9", Ping(1, "a", 1)),
    ("no-link", "n0", Ping(1, "a", 1)),
    ("too-long", "n1", AttemptChunk("r", 1, 0, "x" * MAX_FRAME_BYTES)),
    ("not-encodable", "n1", Ping(-1, "a", 1)),
]


@pytest.mark.parametrize(
    ("node", "message"), [d[1:] for d in DROPPED_MESSAGES], ids=[d[0] for d in DROPPED_MESSAGES]
)
def test_message_is_dropped(node, message):
    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS, "n0": UNUSED_ADDRESS}) as links:
            raw_peer = await connect(links)
            await links.listener.expect(("up", "n1", 5))
            assert not links.send(node, message)
            assert links.dropped == 1
            assert links.send("n1", Ping(1, "a", 1))
            assert await raw_peer.read() == Ping(1, "a", 1)

    run(scenario())


INCOMPLETE_HANDSHAKES = [
    ("silent-peer", {"handshake_timeout_s": 0.01}, "handshake timed out"),
    ("flood-of-connections", {"max_handshakes": 0}, "more than 0 handshakes"),
]


@pytest.mark.parametrize(
    ("options", "reason"),
    [i[1:] for i in INCOMPLETE_HANDSHAKES],
    ids=[i[0] for i in INCOMPLETE_HANDSHAKES],
)
def test_unfinished_handshake_is_closed(options, reason, caplog):
    async def scenario():
        async with running_links("n2", {"n1": UNUSED_ADDRESS}, **options) as links:
            raw_peer = RawPeer(*await asyncio.open_connection("127.0.0.1", links.port))
            assert await raw_peer.read() is None
            assert [reason in line for line in logged_warnings(caplog)] == [True]

    run(scenario())


BACKOFF_DELAYS = [("first", 0, 0.05, 0.1), ("doubled", 3, 0.4, 0.8), ("capped", 10**6, 1.5, 3.0)]


@pytest.mark.parametrize(
    ("attempt", "low", "high"), [d[1:] for d in BACKOFF_DELAYS], ids=[d[0] for d in BACKOFF_DELAYS]
)
def test_backoff(attempt, low, high):
    rng = random.Random(SEED)
    delays = [backoff_delay(attempt, 0.1, 3.0, rng) for _ in range(50)]
    assert low <= min(delays) < max(delays) <= high


INVALID_SETTINGS = [
    ("no-secret", {"secret": b""}, "secret"),
    ("host-name-in-listen", {"listen": "localhost:80"}, "'localhost:80' is not ip:port"),
    ("peer-without-port", {"peers": {"n1": "127.0.0.1"}}, "'127.0.0.1' is not ip:port"),
    ("queue-below-a-frame", {"queue_bytes": 1000}, "queue_bytes"),
]


@pytest.mark.parametrize(
    ("change", "reason"), [s[1:] for s in INVALID_SETTINGS], ids=[s[0] for s in INVALID_SETTINGS]
)
def test_invalid_settings(change, reason):
    fields = {"listen": "[::1]:0", "peers": {}, "secret": SECRET} | change
    secret = fields.pop("secret")
    with pytest.raises(SettingsError, match=reason):
        PeerLinks(LinkSettings("n2", 5, **fields), secret, random.Random(SEED), None)


@pytest.mark.parametrize("text", ["[::1]:70"], ids=["ipv6-brackets-stay"])
def test_split_address(text):
    assert parse_address(text) == ("::1", 70)
