"""Stand-in for a worker that answers a request before it has read the body, for tests."""

import asyncio
import os
import socket

from medlarbeam.standins.platform_worker import PlatformWorker, reset_connection
from medlarbeam.standins.worker_framing import build_head, encode_chunk, encode_event

__all__ = ["EarlyAnswer", "EarlyWorker"]

RECEIVE_BYTES = 1 << 14  # of the socket, so that little of a body is taken from the sender
BODY = b"paid"
FRAMINGS = {
    "none": b"Connection: close\r\n\r\n",
    "length": b"Content-Length: %d\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n",
}


class EarlyAnswer:
    """What an `EarlyWorker` does with a request of a caller.

    Parameters
    ----------
    framing : str
        ``none``, ``length`` or ``chunks``.
    end : str
        ``reset``; ``close``, upon which the system resets the connection if bytes are unread;
        ``exhaust`` to read all that has arrived and then close, as the system does for a killed
        process that had no unread bytes; ``half_close`` to close the sending direction and read
        nothing more; ``keep`` to read the rest of the request and serve the connection further.
    is_whole : bool
        Whether the whole body is sent, or all but its last part; parts of streams are events.
    read_bytes : int
        Bytes of the body of the request that are read before the answer, at most all.
    turns : int
        Turns of the event loop from the answer to its end.
    status : int
    """

    __slots__ = ("end", "framing", "is_whole", "read_bytes", "status", "turns")

    def __init__(self, framing, end, is_whole=False, read_bytes=0, turns=0, status=200):
        self.framing = framing
        self.end = end
        self.is_whole = is_whole
        self.read_bytes = read_bytes
        self.turns = turns
        self.status = status


class EarlyWorker(PlatformWorker):
    """Worker that answers requests of callers as `early_answer` says.

    Attributes
    ----------
    early_answer : EarlyAnswer or None
        None reads all bodies first.
    request_lines : list of str
        First lines of all requests.
    bodies : list of bytes
        Bodies of the requests that were answered early and then read to their end.
    """

    __slots__ = ("bodies", "early_answer", "request_lines")

    def __init__(self, name, events=3):
        super().__init__(name, events)
        self.early_answer = None
        self.request_lines = []
        self.bodies = []

    async def start(self):
        """Listen on a free port of the loopback interface, with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve, sock=sock, limit=RECEIVE_BYTES)
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"

    async def serve_request(self, reader, writer, head_lines):
        """Answer a request of a caller early, and any other one like `PlatformWorker`."""
        self.request_lines.append(head_lines[0])
        headers = dict(line.lower().split(": ", 1) for line in head_lines[1:] if line)
        attempt = headers.get("x-attempt-id", headers.get("x-request-id"))
        answer = self.early_answer
        if answer is None or attempt is None:  # orders and reports have no id
            return await super().serve_request(reader, writer, head_lines)
        size = int(headers.get("content-length", 0))
        self.executed_attempts.append(attempt)
        body = await reader.readexactly(min(size, answer.read_bytes))
        self._write_answer(writer, answer, attempt, "x-model" in headers)
        for _ in range(answer.turns):
            await asyncio.sleep(0)
        if answer.end == "reset":
            return reset_connection(writer)
        if answer.end == "keep":
            self.bodies.append(body + await reader.readexactly(size - len(body)))
            return True
        if answer.end == "half_close":
            writer.write_eof()
            writer.transport.pause_reading()
            await writer.wait_closed()
        if answer.end == "exhaust":
            exhaust(writer)
        return False

    def _write_answer(self, writer, answer, attempt, is_stream):
        events = [encode_event(number, self.padding) for number in range(1, self.events + 1)]
        parts = events if is_stream else [BODY[:2], BODY[2:]]
        framing = FRAMINGS[answer.framing]
        if answer.framing == "length":
            framing %= sum(len(part) for part in parts)
        sent = parts if answer.is_whole else parts[:-1]
        if answer.framing == "chunks":
            sent = [encode_chunk(part) for part in sent]
            if answer.is_whole:
                sent.append(b"0\r\n\r\n")
        writer.write(build_head(self, attempt, answer.status, framing) + b"".join(sent))


def exhaust(writer):
    """Read all bytes that have arrived on a connection, without a turn of the event loop."""
    writer.transport.pause_reading()
    descriptor = writer.get_extra_info("socket").fileno()
    try:
        while os.read(descriptor, 1 << 20):
            pass
    except BlockingIOError:
        return
