"""Connection of a caller to the gateway, with bounds on the work that its bytes cause."""

import asyncio
import logging
import re
from http import HTTPStatus

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

from medlarbeam.daemon.paced_reading import PacedReading
from medlarbeam.exceptions import ERROR_RESPONSES
from medlarbeam.platform.caller_account import PieceReport

__all__ = ["CallerConnection"]

log = logging.getLogger(__name__)

REFUSAL = b"HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
MAX_ERROR_CHARACTERS = 80


class CallerConnection(PacedReading, RequestHandler, asyncio.BufferedProtocol):
    """Connection of a caller that knows whether a request is arriving or being served.

    Parameters
    ----------
    manager : aiohttp.web.Server
    buffer : memoryview
    turns : ReadTurns
        See `PacedReading`.
    account : CallerAccount

    Attributes
    ----------
    has_open_request : bool
        Whether bytes of a request have arrived that has no response yet.
    quiet_since : float
        Time (s) of the end of the last request, or of the start of the connection.
    payload : aiohttp.StreamReader or None
        Body of the request whose head was parsed last.
    seen_count : int
        Heads that are recorded in the account.
    usage : CallerUsage
    waits_for_turn : bool
        Whether reading is paused until the turn of this connection.
    """

    __slots__ = (
        "account",
        "buffer",
        "has_open_request",
        "payload",
        "quiet_since",
        "seen_count",
        "turns",
        "usage",
        "waits_for_turn",
    )

    def __init__(self, manager, buffer, turns, account, **options):
        super().__init__(manager, **options)
        self.buffer = buffer
        self.turns = turns
        self.has_open_request = False
        self.quiet_since = options["loop"].time()
        self.payload = None
        self.waits_for_turn = False
        self.seen_count = 0
        self.account = account
        self.usage = None

    def connection_made(self, transport):
        """Open the account of the connection."""
        self.usage = self.account.open(self)
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Forget what the connection held."""
        self.account.close(self.usage)
        super().connection_lost(exc)

    def data_received(self, data):
        """Note that a request arrives; its handler starts some turns of the event loop later."""
        self.has_open_request = True
        payload_before = self._count_payload()
        super().data_received(data)
        heads = self._request_count - self.seen_count
        if heads:
            self._note_message()
            payload_before = 0
        self.record_piece(len(data), self._count_payload() - payload_before)
        self._record(PieceReport(len(data), heads, self._count_payload(), self._is_complete()))

    def _note_message(self):
        """Find the last message; it is in service where the parser was fed by its handler."""
        self.seen_count = self._request_count
        if self._messages:
            message, self.payload = self._messages[-1]
            error = getattr(message, "exc", None)
            if error is not None:
                # The traceback refers to the bytes and, in a cycle, to the error; such cycles held
                # hundreds of megabytes until the next garbage collection.
                error.__traceback__ = None
        elif self._current_request is not None:
            self.payload = self._current_request.content

    def _count_payload(self):
        return self.payload.total_bytes if self.payload is not None else 0

    def _is_complete(self):
        return self.payload is None or self.payload.is_eof()

    def _record(self, piece):
        if self._upgraded and not piece.heads:
            return  # the bytes behind an upgrade are bounded by the flow control, and parsed later
        refusal = self.account.record_piece(self.usage, piece)
        if refusal is not None:
            self.refuse(refusal)
        self._make_room()

    def _make_room(self):
        """Close connections, this one too, until the account has room."""
        while (excess := self.account.select_excess()) is not None:
            usage, refusal = excess
            usage.connection.refuse(refusal)

    def refuse(self, refusal):
        """Carry out a `Refusal` and close the connection."""
        reason = refusal.failure.reason
        log.info("connection closed: %s", reason, extra={"event": "caller_closed"})
        transport = self.transport
        if transport is None:
            return
        if refusal.is_answerable and not transport.get_write_buffer_size():
            status = ERROR_RESPONSES[refusal.failure.kind].status
            transport.write(REFUSAL % (status, HTTPStatus(status).phrase.encode()))
        if self.payload is not None and not self.payload.is_eof():
            self.payload.set_exception(ConnectionResetError("the request was refused"))
        self.force_close()
        if transport.get_write_buffer_size():
            transport.abort()  # a caller that does not read would keep the connection open

    def _resume_transport_reading(self):
        if not self._paused:
            super()._resume_transport_reading()

    def pause_writing(self):
        """Read no further requests while responses are not read."""
        super().pause_writing()
        self.account.record_unread(self.usage, self.transport.get_write_buffer_size())
        self._make_room()
        self._pause_transport_reading()

    def resume_writing(self):
        """Read requests again."""
        super().resume_writing()
        self.account.record_unread(self.usage, 0)
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def log_exception(self, *args, **options):
        """Log errors that a caller causes in one short line, and others with their traceback."""
        error = options.get("exc_info")
        if isinstance(error, ConnectionError):
            log.info("connection closed within a request", extra={"event": "request_cut"})
        elif isinstance(error, HttpProcessingError):
            text = describe_malformed(error)
            log.info("malformed request: %s", text, extra={"event": "request_malformed"})
        else:
            super().log_exception(*args, **options)

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer without the text of an error, which may quote a key of the caller."""
        return super().handle_error(request, status, exc, f"{status} {HTTPStatus(status).phrase}")

    def end_request(self, now):
        """Note at `now` (s) that the response to a request is decided."""
        self.account.record_response(self.usage)
        self.has_open_request = False
        self.quiet_since = now

    def is_idle(self, now, quiet_s):
        """Return whether nothing was read or is left to be written for `quiet_s` (s)."""
        return (
            not self.has_open_request
            and now - self.quiet_since >= quiet_s
            and self.transport is not None
            and not self.transport.get_write_buffer_size()
        )


def describe_malformed(error):
    """Return what is wrong with a request, without what the parser quotes of it.

    The quotation follows the first colon or quotation mark; it may contain a key.
    """
    text = re.split("[:'\"\n]", error.message or "")[0].strip()
    return f"{type(error).__name__}: {ascii(text[:MAX_ERROR_CHARACTERS])}"
