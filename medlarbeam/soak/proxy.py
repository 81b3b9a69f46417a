"""Loopback proxy whose connections are delayed, reset, cut one way or silenced."""

import asyncio
import logging
import socket
import struct

__all__ = ["MODES", "FaultProxy"]

log = logging.getLogger(__name__)

DELAY_S = 0.15
PIECE_BYTES = 1 << 16
POLL_S = 0.02  # a direction that is cut looks this often whether it is open again
# Directions that pass bytes in each mode: to the server, to the client.
MODES = {
    "good": (True, True),
    "delayed": (True, True),
    "cut_to_server": (False, True),
    "cut_to_client": (True, False),
    "silent": (False, False),
}


class FaultProxy:
    """Passes TCP connections on to `target` as its `mode` says.

    Parameters
    ----------
    target : str
        ``ip:port``.

    Notes
    -----
    Bytes of a direction that is cut wait, as they do in front of a network partition.
    """

    __slots__ = ("address", "mode", "server", "target", "writers")

    def __init__(self, target):
        self.target = target
        self.mode = "good"
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self):
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Close the listener and the connections."""
        self.server.close()
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            linger = struct.pack("ii", 1, 0)  # makes the kernel send a reset in place of an end
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            log.debug("target %s: %s", self.target, error)
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, 0), self._pass(far_reader, writer, 1)
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            log.debug("connection to %s: %s", self.target, error)
        finally:
            self.writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pass(self, reader, writer, direction):
        while data := await reader.read(PIECE_BYTES):
            while not MODES[self.mode][direction]:
                await asyncio.sleep(POLL_S)
            if self.mode == "delayed":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
