"""Connections of callers, with and without sockets.

Guards against refusals of callers within the limits, against errors in the protocol on any bytes,
and against an account that does not match what is held.
"""

import asyncio

import pytest
from aiohttp.web import Response, Server
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarbeam.daemon.paced_reading import PIECE_BYTES
from medlarbeam.daemon.read_turns import ReadTurns
from medlarbeam.platform.caller_account import CONNECTION_BYTES, CallerAccount, CallerLimits
from medlarbeam.platform.caller_connection import CallerConnection
from medlarbeam.platform.tests.raw_caller import RawCaller
from medlarbeam.platform.tests.test_whole_path import HOST, run

EXAMPLES = 150
LIMITS = CallerLimits(head_bytes=1024, body_bytes=65536, account_bytes=1 << 20)

HEAD = (
    f"POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nX-Deadline-Ms: 9000\r\n".encode()
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = HEAD + b"Content-Length: 5\r\n\r\norder"
LINES = b"".join(b"X-%d: %s\r\n" % (n, b"f" * 1000) for n in range(16))
UPGRADE = HEAD + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
LARGE = HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000
HONEST = [
    ("head-of-nearly-the-maximum-is-refused", HEAD + LINES + b"Content-Length: 0\r\n\r\n", 1),
    ("chunks-of-one-byte-are-refused", CHUNKED + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n", 1),
    ("largest-body-is-refused", HEAD + b"Content-Length: 3145728\r\n\r\n" + b"x" * 3_145_728, 1),
    ("trailers-are-refused", CHUNKED + b"5\r\norder\r\n0\r\n" + LINES + b"\r\n", 1),
    ("pipelined-requests-are-refused", WHOLE * 100, 100),
    ("pipelined-bodies-are-refused", LARGE * 3, 3),
    ("request-behind-an-upgrade-is-refused", UPGRADE + LARGE + WHOLE, 3),
]


@pytest.mark.parametrize(("data", "count"), [h[1:] for h in HONEST], ids=[h[0] for h in HONEST])
def test_caller_within_the_limits_is_served(data, count):
    async def scenario(deployment, session):
        caller = RawCaller(deployment.front, HOST)
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(caller.sock, data))
        statuses = [(await caller.receive())[0] for _ in range(count)]
        await sending
        caller.close()
        return statuses

    assert run(scenario) == [200] * count


class RecordingTransport(asyncio.Transport):
    """Transport that is always writable, and records whether it is closed."""

    __slots__ = ("is_closed",)

    def __init__(self):
        super().__init__()
        self.is_closed = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True


async def respond(request):
    """Respond as the front end does, once the body has arrived."""
    try:
        await request.read()
        return Response()
    finally:
        request.protocol.end_request(0.0)


FRAGMENTS = [
    *(HEAD, CHUNKED, WHOLE, UPGRADE, b"Content-Length: 9\r\n", b"\r\n", b"\r\n\r\n", b"\n", b"\0"),
    *(b"5\r\norder\r\n", b"1\r\nx\r\n" * 50, b"0\r\n", b"0\r\n\r\n", b"0" * 600, b"f" * 600),
    *(b"5;a=", b"X-Fill: ", b"X-Fill: 1\r\n", b"-1\r\n", b"9" * 1000, b"Expect: 100-continue\r\n"),
    *(b"Transfer-Encoding: chunked\r\n", b"Upgrade: h2c\r\n", b"GET / HTTP/1.0\r\n\r\n"),
]
SENT = st.lists(st.sampled_from(FRAGMENTS) | st.binary(max_size=40), max_size=30).map(b"".join)


@given(data=SENT, sizes=st.lists(st.integers(1, PIECE_BYTES), min_size=1, max_size=8))
@settings(max_examples=EXAMPLES, deadline=None)
def test_any_bytes_are_accounted_for(data, sizes):
    async def execute():
        loop = asyncio.get_running_loop()
        account = CallerAccount(lambda: LIMITS)
        server = Server(respond, handler_cancellation=True)
        turns = ReadTurns(loop.call_soon)
        buffer = memoryview(bytearray(PIECE_BYTES))
        connection = CallerConnection(server, buffer, turns, account, loop=loop, access_log=None)
        transport = RecordingTransport()
        connection.connection_made(transport)
        await asyncio.sleep(0)
        start = 0
        while start < len(data) and not transport.is_closed:
            size = sizes[start % len(sizes)]
            piece = data[start : start + size]
            connection.get_buffer(-1)[: len(piece)] = piece
            connection.buffer_updated(len(piece))
            start += size
            assert 0 <= account.held_bytes <= CONNECTION_BYTES + 4 * start
            for _ in range(4):
                await asyncio.sleep(0)
        connection.connection_lost(None)
        await asyncio.sleep(0)
        return account

    account = asyncio.run(execute())
    assert account.held_bytes == 0
    assert not account.usages
