"""Connections of callers: accepting them, and closing them without losing requests."""

import asyncio
import logging
import select
import socket

from aiohttp.web import Server

from medlarbeam.daemon.paced_reading import PIECE_BYTES
from medlarbeam.daemon.read_turns import ReadTurns
from medlarbeam.platform.caller_connection import CallerConnection

__all__ = ["CallerListener"]

log = logging.getLogger(__name__)

# Callers close idle connections as configured; this longer timeout leaves the closing to them.
KEEP_ALIVE_TIMEOUT_S = 120.0
LISTEN_BACKLOG = 1024
# Connections that are accepted in one turn of the event loop. All that waited were accepted before;
# callers that reset theirs at once filled the process with connections not yet known to be closed.
ACCEPTS_PER_TURN = 8
MAX_HEADER_LINE_BYTES = 16384
READ_BUFFER_BYTES = 16384  # of a body, above which reading from its connection is paused
ACCEPT_RETRY_S = 1.0  # pause after an error such as a lack of file descriptors


class CallerListener:
    """Listens for callers, and closes the listener and the connections in a planned stop.

    Parameters
    ----------
    handle : callable
        Coroutine function that responds to a request.
    spawn : callable
        Starts a coroutine as a task.
    account : CallerAccount

    Notes
    -----
    `asyncio.Server` resets the connections that wait in the backlog when it is closed, and drops
    those that it has accepted in the same turn. This class accepts them itself.
    """

    __slots__ = ("account", "buffer", "loop", "pending_count", "server", "sock", "spawn", "turns")

    def __init__(self, handle, spawn, account):
        self.account = account
        self.loop = asyncio.get_running_loop()
        self.server = Server(handle, handler_cancellation=True)
        self.spawn = spawn
        self.sock = None
        self.pending_count = 0
        self.buffer = memoryview(bytearray(PIECE_BYTES))
        self.turns = ReadTurns(self.loop.call_soon)

    def open(self, host, port):
        """Listen on an address."""
        self.sock = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept, ACCEPTS_PER_TURN)

    def accept(self, limit):
        """Accept up to `limit` connections that wait in the backlog."""
        for _ in range(limit):
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
            self.loop.add_reader(self.sock, self.accept, ACCEPTS_PER_TURN)

    async def _connect(self, connection):
        try:
            await self.loop.connect_accepted_socket(self._build_connection, connection)
        except OSError as error:
            log.error("cannot use a connection: %s", error, extra={"event": "accept_failed"})
            connection.close()
        finally:
            self.pending_count -= 1

    def _build_connection(self):
        line_bytes = max(MAX_HEADER_LINE_BYTES, self.account.read_limits().head_bytes)
        return CallerConnection(
            self.server,
            self.buffer,
            self.turns,
            self.account,
            loop=self.loop,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            auto_decompress=False,
            access_log=None,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=line_bytes,
            max_field_size=line_bytes,
        )

    def close(self):
        """Accept the connections that wait in the backlog, then close the listener."""
        if self.sock is not None:
            self.accept(LISTEN_BACKLOG)
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
