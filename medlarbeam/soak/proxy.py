"""Loopback TCP proxy that delays, resets or blocks connections in one or both directions."""

import asyncio
import logging
import socket
import struct

__all__ = ["MODES", "FaultProxy"]

log = logging.getLogger(__name__)

DELAY_S = 0.15
CHUNK_BYTES = 1 << 16
REOPEN_POLL_S = 0.02  # interval at which a blocked direction checks whether it may forward again
# Time in which bytes that a target wrote before its crash pass through the proxy.
PASS_ON_S = 0.01
# Whether each mode forwards bytes: to the server, to the client.
MODES = {
    "good": (True, True),
    "delayed": (True, True),
    "cut_to_server": (False, True),
    "cut_to_client": (True, False),
    "silent": (False, False),
}


def reset_writer(writer):
    """Reset a connection: with a linger time of 0 the kernel sends RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def close_pairs(pairs):
    """Close connections to clients in order, and reset those to the target behind them."""
    for writer, upstream_writer in pairs:
        writer.close()
        reset_writer(upstream_writer)


class FaultProxy:
    """Forwards TCP connections to `target` according to the current `mode`.

    Parameters
    ----------
    target : str
        ``ip:port``.

    Notes
    -----
    Bytes of a blocked direction are held back until it is open again, like packets that are
    retransmitted during a network partition.

    Attributes
    ----------
    silent : set of asyncio.StreamWriter
        Both sides of the connections that drop all bytes without a reset.
    lost_connections : set of int
        Directions of silent connections on which bytes were dropped.
    upstreams : dict of asyncio.StreamWriter to asyncio.StreamWriter
        Connection to the target by that of the client.
    """

    __slots__ = (
        "address",
        "lost_connections",
        "mode",
        "server",
        "silent",
        "target",
        "upstreams",
        "writers",
    )

    def __init__(self, target):
        self.target = target
        self.mode = "good"
        self.server = None
        self.address = ""
        self.writers = set()
        self.silent = set()
        self.lost_connections = set()
        self.upstreams = {}

    async def start(self):
        """Listen on a free port chosen by the operating system, or on that of before."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Close the listener and reset all connections."""
        self.server.close()
        self.reset()

    def is_blocked(self, direction):
        """Return whether bytes to the server (0) or to the client (1) are held back."""
        return not MODES[self.mode][direction]

    def silence(self):
        """Let the open connections go silent for good; new ones work. Return their number."""
        self.silent |= self.writers
        return len(self.writers) // 2

    def reset(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            reset_writer(writer)

    def close_in_order(self):
        """Close all open connections to clients with FIN, after what the target has written."""
        pairs = list(self.upstreams.items())
        asyncio.get_running_loop().call_later(PASS_ON_S, close_pairs, pairs)

    def admit(self, writer, upstream_writer):
        """Return whether a new connection may forward bytes; if not, it is closed."""
        return True

    def drop_bytes(self, writer, direction):
        """Drop bytes of a silent connection."""
        self.lost_connections.add(id(writer))

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            log.debug("cannot connect to target %s: %s", self.target, error)
            writer.transport.abort()
            return
        if not self.admit(writer, upstream_writer):
            writer.close()
            upstream_writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        self.upstreams[writer] = upstream_writer
        try:
            await asyncio.gather(
                self._relay(reader, upstream_writer, 0), self._relay(upstream_reader, writer, 1)
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            log.debug("connection to target %s failed: %s", self.target, error)
            for side in (writer, upstream_writer):
                reset_writer(side)  # a reset is no regular end of a response without a length
        finally:
            self.writers -= {writer, upstream_writer}
            self.silent -= {writer, upstream_writer}
            del self.upstreams[writer]
            if not writer.is_closing():  # a connection that closes sends its last bytes first
                writer.transport.abort()
            upstream_writer.transport.abort()

    async def _relay(self, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            while self.is_blocked(direction) and writer not in self.silent:
                await asyncio.sleep(REOPEN_POLL_S)
            if self.mode == "delayed":
                await asyncio.sleep(DELAY_S)
            if writer in self.silent:
                self.drop_bytes(writer, direction)
                continue
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof() and writer not in self.silent:
            writer.write_eof()
