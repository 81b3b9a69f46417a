"""HTTP client sessions that control whether a request is resent and record whether it was sent."""

import asyncio
import logging
import sys
from contextlib import contextmanager
from contextvars import ContextVar
from fcntl import ioctl
from functools import partial
from termios import TIOCOUTQ

from aiohttp import (
    ClientError,
    ClientRequest,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    DummyCookieJar,
    TCPConnector,
)
from aiohttp.abc import AbstractResolver
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from medlarbeam.daemon.paced_reading import PIECE_BYTES, PacedReading
from medlarbeam.daemon.read_turns import ReadTurns
from medlarbeam.exceptions import FormatError, MedlarbeamError

__all__ = [
    "CALL_ERRORS",
    "CheckedResponse",
    "IncompleteResponseError",
    "InvalidStatusError",
    "NoDnsResolver",
    "NotSentError",
    "SendGuard",
    "apply_send_guard",
    "describe_error",
    "open_session",
    "read_body",
]

log = logging.getLogger(__name__)

CALL_ERRORS = (ClientError, asyncio.TimeoutError, OSError, ValueError, MedlarbeamError)

MAX_MESSAGES = 16  # heads in the response to one request, interim ones included
PARSED_BYTES = 4096  # at a time; 4 KB hold some 200 heads, which take about 1 ms

MIN_STATUS, MAX_STATUS = 200, 599  # of a final response; RFC 9110, section 15

IDLE_TIMEOUT_S = 15.0

CURRENT_GUARD = ContextVar("medlarbeam_current_call")


class NotSentError(MedlarbeamError):
    """A request was dropped after the connection was established and before it was written."""


class InvalidStatusError(MedlarbeamError):
    """The status of a response is that of no final response, so the server is faulty."""


class IncompleteResponseError(MedlarbeamError):
    """A response ended in a way that does not show that it is complete."""


class SendGuard:
    """Permits or refuses to send one request, and records whether it was sent.

    Parameters
    ----------
    read_clock : callable or None
        Returns the monotonic time (s); required with `not_after`.
    not_after : float or None
        Monotonic time (s) after which the request is dropped instead of written.
    allow_resend : bool
        Whether the HTTP library may send the request again on a new connection.
    target : str or None
        Request target to send in place of that of the URL.

    Attributes
    ----------
    connected_at : float or None
        Time (s) at which the connection on which the request was sent was established.

    Notes
    -----
    `sent` becomes True just before the first byte is written.
    """

    __slots__ = ("allow_resend", "connected_at", "not_after", "read_clock", "sent", "target")

    def __init__(self, read_clock=None, not_after=None, allow_resend=False, target=None):
        self.target = target
        self.read_clock = read_clock
        self.not_after = not_after
        self.allow_resend = allow_resend
        self.connected_at = None
        self.sent = False

    def permit_send(self):
        """Record that the request is being written; raise NotSentError if it must not be."""
        if self.sent and not self.allow_resend:
            raise NotSentError("the request was already sent and must not be sent again")
        if self.not_after is not None and self.read_clock() > self.not_after:
            raise NotSentError("the order expired before it was sent")
        self.sent = True


@contextmanager
def apply_send_guard(guard):
    """Apply a `SendGuard` to the requests that the current task sends in this context."""
    token = CURRENT_GUARD.set(guard)
    try:
        yield guard
    finally:
        CURRENT_GUARD.reset(token)


class SentTarget:
    """Stands for the URL of a request whose target is sent as it is."""

    __slots__ = ("raw_path_qs",)

    def __init__(self, target):
        self.raw_path_qs = target


class GuardedRequest(ClientRequest):
    """Request that consults the current `SendGuard` once the connection is established.

    The check follows the connection setup, which may take longer than an order is valid.
    """

    __slots__ = ()

    async def send(self, conn):
        """Send the request over `conn` if the guard permits it."""
        guard = CURRENT_GUARD.get()
        guard.permit_send()
        guard.connected_at = conn.protocol.connected_at
        if guard.target is not None:
            self.url = SentTarget(guard.target)
        return await super().send(conn)


class CheckedResponse(ClientResponse):
    """Response whose status is that of a final response, and whose end shows that it is complete.

    Attributes
    ----------
    protocol : BoundedResponseHandler
        The connection, which the response keeps after its end.
    """

    __slots__ = ("protocol",)

    async def start(self, connection):
        """Read the head; raise InvalidStatusError, which closes the connection."""
        self.protocol = connection.protocol
        await super().start(connection)
        if not MIN_STATUS <= self.status <= MAX_STATUS:
            raise InvalidStatusError(f"HTTP status {self.status:03d}")
        return self

    async def read(self):
        """Return the body; raise IncompleteResponseError if it may have been cut short."""
        body = await super().read()
        self.check_end()
        return body

    def is_framed(self):
        """Return whether the response tells by itself where it ends."""
        headers = self.headers
        is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
        return is_chunked or "Content-Length" in headers or self.status in (204, 304)

    def check_end(self):
        """Raise IncompleteResponseError if the end of the connection may have cut the body short.

        aiohttp takes any end of a connection for that of a response without a length. A reset is
        none. Neither is an end at which the server had not received the whole request: the system
        of a server whose process is killed closes the connection in order if the process had read
        all that had arrived, and resets it only when more of the request arrives.
        """
        if self.is_framed():
            return
        if self.protocol.is_reset:
            raise IncompleteResponseError("connection reset in a response without a length")
        if self.protocol.unreceived_bytes:
            raise IncompleteResponseError(
                "connection closed in a response without a length, with "
                f"{self.protocol.unreceived_bytes} bytes of the request not received"
            )


class BoundedResponseHandler(PacedReading, ResponseHandler, asyncio.BufferedProtocol):
    """Connection of a client that closes it when heads of responses arrive without end.

    aiohttp parses all bytes that have arrived before anything else runs, and skips any number of
    interim responses.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    read_clock : callable
        Returns the monotonic time (s).
    buffer : memoryview
    turns : ReadTurns
        See `PacedReading`.

    Attributes
    ----------
    connected_at : float or None
        Time (s) at which the connection was established.
    is_reset : bool
        Whether the connection ended with an error. aiohttp's own record of it is cleared when the
        sending of a request is cancelled.
    message_count : int
        Heads that have arrived since the last request.
    received_at : float or None
        Time (s) at which bytes have last arrived.
    received_bytes : int
        Bytes that have arrived on the connection.
    unreceived_bytes : int
        Bytes of requests that the server had not received when it closed the connection.
    """

    __slots__ = (
        "buffer",
        "connected_at",
        "is_reset",
        "message_count",
        "read_clock",
        "received_at",
        "received_bytes",
        "turns",
        "unreceived_bytes",
        "waits_for_turn",
    )

    def __init__(self, loop, read_clock, buffer, turns):
        super().__init__(loop)
        self.buffer = buffer
        self.turns = turns
        self.waits_for_turn = False
        self.read_clock = read_clock
        self.connected_at = None
        self.is_reset = False
        self.message_count = 0
        self.received_at = None
        self.received_bytes = 0
        self.unreceived_bytes = 0

    def connection_made(self, transport):
        """Record the time."""
        self.connected_at = self.read_clock()
        super().connection_made(transport)

    def eof_received(self):
        """Record what the server has not received, and stop sending it."""
        super().eof_received()
        self.unreceived_bytes = count_unreceived(self.transport)
        if self.unreceived_bytes:
            self.transport.abort()  # it would be closed only once all is sent

    def connection_lost(self, exc):
        """Record a reset."""
        self.is_reset = exc is not None
        super().connection_lost(exc)

    def set_response_params(self, **options):
        """Expect the response to the next request."""
        self.message_count = 0
        super().set_response_params(**options)

    def feed_data(self, data, *arguments):
        """Count a head, and pass it on unless there are too many."""
        self.message_count += 1
        if self.message_count <= MAX_MESSAGES:
            super().feed_data(data, *arguments)

    def data_received(self, data):
        """Parse what has arrived, up to the limit of heads."""
        if data:
            self.received_at = self.read_clock()
        self.received_bytes += len(data)
        payload_before = self._count_payload()
        self._parse(data)
        self.record_piece(len(data), self._count_payload() - payload_before)

    def _count_payload(self):
        return self._payload.total_bytes if self._payload is not None else 0

    def _parse(self, data):
        for start in range(0, len(data) or 1, PARSED_BYTES):
            super().data_received(data[start : start + PARSED_BYTES])
            if self.transport is None or self.exception() is not None:
                return
            if self.message_count > MAX_MESSAGES:
                self.set_exception(HttpProcessingError(message="too many heads of responses"))
                self.transport.abort()
                return


class BoundedConnector(TCPConnector):
    """Connector whose connections are instances of `BoundedResponseHandler`."""

    __slots__ = ()

    def __init__(self, read_clock, **options):
        super().__init__(**options)
        loop = asyncio.get_running_loop()
        buffer = memoryview(bytearray(PIECE_BYTES))
        turns = ReadTurns(loop.call_soon)
        self._factory = partial(BoundedResponseHandler, loop, read_clock, buffer, turns)


class NoDnsResolver(AbstractResolver):
    """Rejects host names, because a DNS lookup would need a thread.

    IP addresses are not passed to the resolver.
    """

    __slots__ = ()

    async def resolve(self, host, port=0, family=0):
        """Raise OSError."""
        raise OSError(f"{host!r} is not an IP address")

    async def close(self):
        """Do nothing."""


def open_session(timeout, keep_alive=True, idle_timeout_s=IDLE_TIMEOUT_S, read_clock=None):
    """Return a client session.

    Parameters
    ----------
    timeout : aiohttp.ClientTimeout
    keep_alive : bool
        False opens a new connection for each request, so that no request is written to a reused
        connection that the server is about to close.
    idle_timeout_s : float
        Time (s) after which an idle connection is not used again.
    read_clock : callable or None
        Returns the monotonic time (s) for `SendGuard.connected_at`; that of the loop by default.

    Notes
    -----
    The number of connections is unlimited, because the node limits its requests in flight.
    """
    idle = {"keepalive_timeout": idle_timeout_s} if keep_alive else {}
    connector = BoundedConnector(
        read_clock or asyncio.get_running_loop().time,
        limit=0,
        resolver=NoDnsResolver(),
        force_close=not keep_alive,
        **idle,
    )
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        request_class=GuardedRequest,
        response_class=CheckedResponse,
        timeout=timeout,
    )


def describe_error(error):
    """Return a one-line description of an exception.

    Only the type is named where the message may quote data from the server.
    """
    may_quote_peer = isinstance(error, (ClientResponseError, ValueError))
    if may_quote_peer and not isinstance(error, MedlarbeamError):
        return type(error).__name__
    text = " ".join(str(error).split())
    return f"{type(error).__name__}: {text}" if text else type(error).__name__


def count_unreceived(transport):
    """Return the number of bytes sent on a TCP connection that the peer has not acknowledged.

    Those that are still in the buffers of this process are included. Where the system does not
    tell, those in its own buffers are not.
    """
    buffered = transport.get_write_buffer_size()
    try:
        answer = ioctl(transport.get_extra_info("socket").fileno(), TIOCOUTQ, bytes(4))
    except OSError as error:
        log.debug("unacknowledged bytes are not known: %s", error)
        return buffered
    return buffered + int.from_bytes(answer, sys.byteorder)


async def read_body(response, limit):
    """Return the body of a response.

    Raises
    ------
    FormatError
        If it exceeds `limit` bytes.
    IncompleteResponseError
        If it may have been cut short.
    """
    blocks = []
    size = 0
    async for block in response.content.iter_any():
        size += len(block)
        if size > limit:
            response.close()
            raise FormatError(f"response is larger than the limit of {limit} bytes")
        blocks.append(block)
    response.check_end()
    return b"".join(blocks)
