"""Stand-in for a worker of the users' platform, with the faults of its answers, for tests."""

import asyncio
import socket
import struct

from orjson import dumps, loads

__all__ = ["ANSWERS", "PlatformWorker", "event"]

STAMP = b"X-Server-Stamp: s.1\r\n"


class PlatformWorker:
    """Answers requests byte by byte as its `behaviour` says.

    Parameters
    ----------
    name : str
    events : int
        Events of a stream.

    Attributes
    ----------
    behaviour : str
        One of the keys of `ANSWERS`.
    ran : list of str
        Attempt ids of the requests that ran, in order.
    orders : int
    adapters : set of str
    """

    __slots__ = ("adapters", "address", "behaviour", "events", "name", "orders", "ran", "server")

    def __init__(self, name, events=3):
        self.name = name
        self.events = events
        self.behaviour = "good"
        self.ran = []
        self.orders = 0
        self.adapters = set()
        self.server = None
        self.address = ""

    async def start(self):
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Close the listener."""
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = dict(line.split(": ", 1) for line in head[1:] if line)
                headers = {name.lower(): value for name, value in headers.items()}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path = head[0].split(" ")[1]
                if not await self._answer(writer, path, headers, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, writer, path, headers, body):
        """Answer one request; return whether the connection stays open."""
        if path == "/report":
            return self.write(writer, 200, b"", dumps(self._build_state()))
        if path == "/order":
            return self.write(writer, self.take_order(loads(body)), b"", b"")
        return await self.answer_request(writer, path, headers, body)

    async def answer_request(self, writer, path, headers, body):
        """Answer a caller's request; return whether the connection stays open."""
        attempt = headers["x-attempt-id"]
        if self.behaviour == "refuse":
            return self.write(writer, 503, b"X-Not-Executed: 1\r\n", b"")
        self.ran.append(attempt)
        answer = ANSWERS[self.behaviour]
        if headers.get("accept-stream") or "x-model" in headers:
            first = int(headers.get("last-event-id", 0)) + 1
            pieces = [event(number) for number in range(first, self.events + 1)]
        else:
            pieces = [b"paid"]
        return await answer(self, writer, attempt, pieces)

    def _build_state(self):
        model = {"name": "m0", "version": 1, "adapters": [f"{a}@1" for a in self.adapters]}
        return {"models": [model], "seq": self.orders, "busy": False, "coming": []}

    def take_order(self, order):
        """Carry out an order and return the status of its answer."""
        if order["expected"] != self.orders:
            return 409
        self.orders += 1
        if order["op"] == "load":
            self.adapters.add(order["adapter"])
            return 202
        self.adapters.discard(order["adapter"])
        return 200

    def write(self, writer, status, headers, body):
        """Write a whole answer; return whether the connection stays open."""
        writer.write(
            b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)
        )
        return True


def event(number):
    """Return the bytes of an event."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def head(attempt, status=200, headers=b"", stamp=STAMP):
    """Return the head of an answer."""
    return b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%s%s" % (
        status,
        attempt.encode(),
        stamp,
        headers,
    )


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer):
    """Reset the connection; without lingering the kernel sends a reset in place of an end."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    return False


async def answer_good(worker, writer, attempt, pieces):
    """Answer in chunks."""
    writer.write(head(attempt, headers=b"Transfer-Encoding: chunked\r\n\r\n"))
    for piece in pieces:
        writer.write(chunk(piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


async def answer_error(worker, writer, attempt, pieces):
    """Answer with an error of the worker itself."""
    writer.write(head(attempt, 500, b"Content-Length: 3\r\n\r\n") + b"bad")
    return True


async def answer_reset(worker, writer, attempt, pieces):
    """Run the request and lose the answer."""
    return reset(writer)


async def answer_half(worker, writer, attempt, pieces):
    """Break off in the middle of an event or body."""
    writer.write(head(attempt, headers=b"Transfer-Encoding: chunked\r\n\r\n"))
    writer.write(chunk(pieces[0]) + chunk(pieces[-1][:4]))
    await writer.drain()
    await asyncio.sleep(0.05)
    return reset(writer)


async def answer_unframed(worker, writer, attempt, pieces):
    """Answer without a length; the end of the connection is the end of the body."""
    writer.write(head(attempt, headers=b"Connection: close\r\n\r\n") + b"".join(pieces))
    await writer.drain()
    return False


async def answer_unframed_reset(worker, writer, attempt, pieces):
    """Answer without a length and reset the connection."""
    writer.write(head(attempt, headers=b"Connection: close\r\n\r\n") + pieces[0])
    await writer.drain()
    await asyncio.sleep(0.05)
    return reset(writer)


async def answer_other_id(worker, writer, attempt, pieces):
    """Answer another request."""
    writer.write(head("other", headers=b"Content-Length: 5\r\n\r\n") + b"wrong")
    return True


async def answer_unsigned(worker, writer, attempt, pieces):
    """Answer without a signature."""
    writer.write(head(attempt, headers=b"Content-Length: 4\r\n\r\n", stamp=b"") + b"paid")
    return True


async def answer_encoded(worker, writer, attempt, pieces):
    """Answer in an encoding that nobody asked for."""
    headers = b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\n"
    writer.write(head(attempt, headers=headers) + b"paid")
    return True


async def answer_twice(worker, writer, attempt, pieces):
    """Answer, and send the answer of another request behind it."""
    await answer_good(worker, writer, attempt, pieces)
    writer.write(head("other", headers=b"Content-Length: 5\r\n\r\n") + b"wrong")
    return True


async def answer_garbage(worker, writer, attempt, pieces):
    """Send bytes that are no answer."""
    writer.write(b"\x00\xff not http\r\n\r\n")
    return True


async def answer_never(worker, writer, attempt, pieces):
    """Leave the request without an answer."""
    await asyncio.sleep(3600)


ANSWERS = {
    "good": answer_good,
    "error": answer_error,
    "reset": answer_reset,
    "half": answer_half,
    "unframed": answer_unframed,
    "unframed_reset": answer_unframed_reset,
    "other_id": answer_other_id,
    "unsigned": answer_unsigned,
    "encoded": answer_encoded,
    "twice": answer_twice,
    "garbage": answer_garbage,
    "never": answer_never,
}
