"""Caller that writes its requests to a socket itself, to choose when each byte is sent."""

import asyncio
import socket

__all__ = ["RawCaller"]

RESPONSE_LIMIT_S = 15.0


class RawCaller:
    """A connection of a caller to a gateway; it sends at once, without a turn of the event loop.

    Parameters
    ----------
    address : str
        ``ip:port`` of the gateway.
    host : str
        Value of the ``Host`` header.
    receive_bytes : int
        Size of the receive buffer of the socket, 0 for that of the system.
    """

    __slots__ = ("host", "received", "sock")

    def __init__(self, address, host, receive_bytes=0):
        ip, _, port = address.rpartition(":")
        self.sock = socket.socket()
        if receive_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.sock.connect((ip, int(port)))
        self.sock.setblocking(False)
        self.host = host
        self.received = b""

    def build_request(self, route, attempt, deadline_ms=2000, headers=""):
        """Return the bytes of a request as ``(head, body)``."""
        method = "GET" if route == "read" else "POST"
        head = (
            f"{method} /{route}/1 HTTP/1.1\r\nHost: {self.host}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n{headers}Content-Length: 5\r\n\r\n"
        )
        return head.encode(), b"order"

    def send(self, data):
        """Write all of `data`; a few hundred bytes fit into the buffer of the socket."""
        assert self.sock.send(data) == len(data)

    def send_request(self, route, attempt, deadline_ms=2000, headers=""):
        """Write a whole request."""
        self.send(b"".join(self.build_request(route, attempt, deadline_ms, headers)))

    async def receive(self):
        """Return ``(status, head, body)`` of the next response; 0 if there is none."""
        async with asyncio.timeout(RESPONSE_LIMIT_S):
            head = await self._receive_until(b"\r\n\r\n")
            if not head:
                return 0, "", b""
            text = head.decode("latin-1").lower()
            if "transfer-encoding: chunked" in text:
                body = await self._receive_until(b"0\r\n\r\n")
            else:
                length = text.partition("content-length: ")[2].partition("\r\n")[0]
                body = await self._receive_exactly(int(length))
        return int(text.split(" ")[1]), text, body

    async def is_closed_cleanly(self):
        """Return whether the connection ends now, with nothing more and without a reset."""
        try:
            async with asyncio.timeout(RESPONSE_LIMIT_S):
                return not self.received and not await self.read()
        except ConnectionError:
            return False

    def close(self):
        """Close the connection."""
        self.sock.close()

    async def _receive_until(self, end):
        while end not in self.received:
            data = await self._read_or_nothing()
            if not data:
                return b""
            self.received += data
        found, _, self.received = self.received.partition(end)
        return found + end

    async def _receive_exactly(self, size):
        while len(self.received) < size:
            data = await self._read_or_nothing()
            if not data:
                return b""
            self.received += data
        found, self.received = self.received[:size], self.received[size:]
        return found

    async def read(self):
        """Return the bytes that have arrived, none at the end of the connection."""
        return await asyncio.get_running_loop().sock_recv(self.sock, 1 << 16)

    async def _read_or_nothing(self):
        try:
            return await self.read()
        except ConnectionError:
            return b""
