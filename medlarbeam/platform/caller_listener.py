"""Connections of callers: accepting them, and closing them without losing requests."""

import asyncio
import logging
import select
import socket

from aiohttp.web import Server
from aiohttp.web_protocol import RequestHandler

__all__ = ["CallerConnection", "CallerListener"]

log = logging.getLogger(__name__)

# Callers close idle connections as configured; this longer timeout leaves the closing to them.
KEEP_ALIVE_TIMEOUT_S = 120.0
LISTEN_BACKLOG = 1024
MAX_HEADER_LINE_BYTES = 16384
ACCEPT_RETRY_S = 1.0  # pause after an error such as a lack of file descriptors


class CallerConnection(RequestHandler):
    """Connection of a caller that knows whether a request is arriving or being served.

    Attributes
    ----------
    has_open_request : bool
        Whether bytes of a request have arrived that has no response yet.
    quiet_since : float
        Time (s) of the end of the last request, or of the start of the connection.
    """

    __slots__ = ("has_open_request", "quiet_since")

    def __init__(self, manager, **options):
        super().__init__(manager, **options)
        self.has_open_request = False
        self.quiet_since = options["loop"].time()

    def data_received(self, data):
        """Note that a request arrives; its handler starts some turns of the event loop later."""
        self.has_open_request = True
        super().data_received(data)

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


class CallerListener:
    """Listens for callers, and closes the listener and the connections in a planned stop.

    Parameters
    ----------
    handle : callable
        Coroutine function that responds to a request.
    spawn : callable
        Starts a coroutine as a task.

    Notes
    -----
    `asyncio.Server` resets the connections that wait in the backlog when it is closed, and drops
    those that it has accepted in the same turn. This class accepts them itself.
    """

    __slots__ = ("loop", "pending_count", "server", "sock", "spawn")

    def __init__(self, handle, spawn):
        self.loop = asyncio.get_running_loop()
        self.server = Server(handle, handler_cancellation=True)
        self.spawn = spawn
        self.sock = None
        self.pending_count = 0

    def open(self, host, port):
        """Listen on an address."""
        self.sock = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)

    def accept(self):
        """Accept the connections that wait in the backlog."""
        for _ in range(LISTEN_BACKLOG):
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.error("cannot accept: %s", error, extra={"event": "accept_failed"})
                self.loop.remove_reader(self.sock)
                self.loop.call_later(ACCEPT_RETRY_S, self._resume)
                return
            self.pending_count += 1
            self.spawn(self._connect(connection))

    def _resume(self):
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)

    async def _connect(self, connection):
        try:
            await self.loop.connect_accepted_socket(self._build_connection, connection)
        except OSError as error:
            log.error("cannot use a connection: %s", error, extra={"event": "accept_failed"})
            connection.close()
        finally:
            self.pending_count -= 1

    def _build_connection(self):
        return CallerConnection(
            self.server,
            loop=self.loop,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            auto_decompress=False,
            access_log=None,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )

    def close(self):
        """Accept the connections that wait in the backlog, then close the listener."""
        if self.sock is not None:
            self.accept()
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def close_idle(self, now, quiet_s):
        """Close the connections that are idle for `quiet_s` (s), unless bytes wait to be read.

        A connection that is closed with unread bytes is reset, and its caller gets no response.
        """
        idle = [c for c in self.server.connections if c.is_idle(now, quiet_s)]
        poll = select.poll()
        for connection in idle:
            poll.register(find_descriptor(connection), select.POLLIN)
        readable = {descriptor for descriptor, _ in poll.poll(0)} if idle else set()
        for connection in idle:
            if find_descriptor(connection) not in readable:
                connection.force_close()  # `close` would leave it open without reading from it

    def count_connections(self):
        """Return the number of open connections."""
        return self.pending_count + len(self.server.connections)


def find_descriptor(connection):
    """Return the file descriptor of an open connection."""
    return connection.transport.get_extra_info("socket").fileno()
