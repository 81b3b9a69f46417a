"""Connection of a caller to the gateway, with bounds on the work that its bytes cause."""

import asyncio
import logging

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

__all__ = ["PIECE_BYTES", "CallerConnection"]

log = logging.getLogger(__name__)

# Bytes that are read and parsed at once. An asyncio transport reads up to 256 KB, whose parsing
# takes about 60 ms in chunks of one byte.
PIECE_BYTES = 8192
# Bytes of a piece that are neither small nor mostly payload make the piece costly to parse.
COSTLY_BYTES = 2048
MAX_QUOTED_CHARACTERS = 120  # of a parser's error, which quotes the caller


class CallerConnection(RequestHandler, asyncio.BufferedProtocol):
    """Connection of a caller that knows whether a request is arriving or being served.

    Parameters
    ----------
    manager : aiohttp.web.Server
    buffer : memoryview
        Receives the bytes of each read; all connections of a loop share it.
    turns : ReadTurns

    Attributes
    ----------
    has_open_request : bool
        Whether bytes of a request have arrived that has no response yet.
    quiet_since : float
        Time (s) of the end of the last request, or of the start of the connection.
    payload : aiohttp.StreamReader or None
        Body of the request whose head was parsed last.
    waits_for_turn : bool
        Whether reading is paused until the turn of this connection.
    """

    __slots__ = (
        "buffer",
        "has_open_request",
        "payload",
        "quiet_since",
        "turns",
        "waits_for_turn",
    )

    def __init__(self, manager, buffer, turns, **options):
        super().__init__(manager, **options)
        self.buffer = buffer
        self.turns = turns
        self.has_open_request = False
        self.quiet_since = options["loop"].time()
        self.payload = None
        self.waits_for_turn = False

    def get_buffer(self, sizehint):
        """Return the buffer for the next read, which bounds its size."""
        return self.buffer

    def buffer_updated(self, nbytes):
        """Parse the bytes that were read."""
        self.data_received(bytes(self.buffer[:nbytes]))

    def data_received(self, data):
        """Note that a request arrives; its handler starts some turns of the event loop later."""
        self.has_open_request = True
        payload_before = self._count_payload()
        count_before = self._request_count
        super().data_received(data)
        if self._request_count > count_before and self._messages:
            self._note_message(*self._messages[-1])
            payload_before = 0
        grown = self._count_payload() - payload_before
        if len(data) - grown > max(COSTLY_BYTES, grown):
            self._wait_for_turn()

    def _note_message(self, message, payload):
        self.payload = payload
        error = getattr(message, "exc", None)
        if error is not None:
            # The traceback refers to the bytes and, in a cycle, to the error; such cycles held
            # hundreds of megabytes until the next garbage collection.
            error.__traceback__ = None

    def _count_payload(self):
        return self.payload.total_bytes if self.payload is not None else 0

    def _wait_for_turn(self):
        if not self.waits_for_turn and self.transport is not None:
            self.waits_for_turn = True
            self._pause_transport_reading()
            self.turns.add(self._resume_in_turn)

    def _resume_in_turn(self):
        self.waits_for_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self):
        if not self.waits_for_turn and not self._paused:
            super()._resume_transport_reading()

    def pause_writing(self):
        """Read no further requests while responses are not read."""
        super().pause_writing()
        self._pause_transport_reading()

    def resume_writing(self):
        """Read requests again."""
        super().resume_writing()
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def log_exception(self, *args, **options):
        """Log a malformed request in one short line, and other errors with their traceback."""
        error = options.get("exc_info")
        if isinstance(error, HttpProcessingError):
            text = " ".join(str(error).split())[:MAX_QUOTED_CHARACTERS]
            log.info("malformed request: %s", ascii(text), extra={"event": "request_malformed"})
        else:
            super().log_exception(*args, **options)

    def end_request(self, now):
        """Note at `now` (s) that the response to a request is decided."""
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
