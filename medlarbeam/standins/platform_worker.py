"""Stand-in for a worker of the users' platform with faulty responses, for tests and the soak."""

import asyncio
import socket
import struct
from collections import deque
from weakref import WeakKeyDictionary

from orjson import dumps, loads

from medlarbeam.standins.endless_responses import ENDLESS_RESPONDERS
from medlarbeam.standins.odd_heads import ODD_HEADS
from medlarbeam.standins.received_request import ReceivedRequest
from medlarbeam.standins.worker_framing import (
    STAMP_HEADER,
    build_head,
    encode_chunk,
    encode_event,
)

__all__ = [
    "HEAD_STARTS",
    "INVALID_STATUSES",
    "LEAVING_HEADER",
    "RESPONDERS",
    "PlatformWorker",
    "encode_event",
]

LEAVING_HEADER = b"Server-Leaving: 1\r\n"
MAX_RECEIVED = 10_000
# Status codes that no final response has.
INVALID_STATUSES = ("000", "099", "0", "101", "600", "999", "1000", "2x0", "-200", "0200")
PIECE_PAUSE_S = 0.15
TRICKLE_PAUSE_S = 0.05
OK_HEAD_START = b"HTTP/1.1 200 X\r\nX-Attempt-Id: {attempt}\r\n"
HEAD_STARTS = {
    "in_status": b"HTTP/1.1 20",
    "after_status": b"HTTP/1.1 200 X\r\n",
    "in_attempt_id": b"HTTP/1.1 200 X\r\nX-Attempt-Id: {attempt}",
    "in_length": OK_HEAD_START + STAMP_HEADER + b"Content-Length: 4",
    "before_length": OK_HEAD_START + STAMP_HEADER,
    "after_length": OK_HEAD_START + STAMP_HEADER + b"Content-Length: 4\r\n",
    "after_length_zero": OK_HEAD_START + STAMP_HEADER + b"Content-Length: 0\r\n",
    "after_chunked": OK_HEAD_START + STAMP_HEADER + b"Transfer-Encoding: chunked\r\n",
    "after_close": OK_HEAD_START + STAMP_HEADER + b"Connection: close\r\n",
    "before_stamp": OK_HEAD_START + b"Content-Length: 4\r\n",
    "in_stamp": OK_HEAD_START + b"Content-Length: 4\r\nX-Server-St",
    "in_blank_line": OK_HEAD_START + STAMP_HEADER + b"Content-Length: 4\r\n\r",
}


class PlatformWorker:
    """Worker that writes its responses as raw bytes, as selected by `response_mode`.

    Parameters
    ----------
    name : str
    events : int
        Number of events in a stream.

    Attributes
    ----------
    response_mode : str
        ``refuse`` or ``misdirect``, to reject requests before they run, or a key of `RESPONDERS`.
    executed_attempts : list of str
        Attempt ids of the requests that ran, in order.
    fences : list of int
        Fencing tokens of the orders, in order of arrival.
    order_count : int
        Number of orders carried out.
    adapters : set of str
        Loaded adapters.
    harmful_part : str
        Part of a prompt under which the worker crashes, "" for none.
    padding : int
        Bytes that are added to each event.
    leaving_header : bytes
        Header lines of all responses; `LEAVING_HEADER` for a worker that leaves.
    refusal_limit : int or None
        Refusals per second that all responses name, above which the worker crashes.
    rate_limit : float or None
        Requests per second that complete responses name.
    paused_until : float
        Time (s) of the loop until which requests are turned away with ``Retry-After``.
    pause_values : tuple of str
        Values of that header, one for each time that it is written; empty for the rest of the
        pause.
    request_count : int
        Number of requests of callers that have arrived.
    received : collections.deque of ReceivedRequest
        Latest requests of callers that have arrived.
    incarnation : int or None
        Start that its reports state, None to state none.
    """

    __slots__ = (
        "adapters",
        "address",
        "connections",
        "events",
        "executed_attempts",
        "fences",
        "harmful_part",
        "incarnation",
        "leaving_header",
        "name",
        "order_count",
        "padding",
        "pause_values",
        "paused_until",
        "rate_limit",
        "received",
        "refusal_limit",
        "request_count",
        "response_mode",
        "server",
    )

    def __init__(self, name, events=3):
        self.name = name
        self.events = events
        self.response_mode = "good"
        self.executed_attempts = []
        self.order_count = 0
        self.fences = []
        self.adapters = set()
        self.harmful_part = ""
        self.incarnation = 1
        self.leaving_header = b""
        self.rate_limit = None
        self.refusal_limit = None
        self.padding = 0
        self.paused_until = 0.0
        self.pause_values = ()
        self.request_count = 0
        self.received = deque(maxlen=MAX_RECEIVED)
        self.connections = set()
        self.server = None
        self.address = ""

    async def start(self):
        """Listen on a free port of the loopback interface."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Close the listener."""
        self.server.close()

    def crash(self):
        """Reset all connections and close the listener; return False, like `reset_connection`."""
        self.stop()
        for writer in list(self.connections):
            reset_connection(writer)
        return False

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head_lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                if not await self.serve_request(reader, writer, head_lines):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_request(self, reader, writer, head_lines):
        """Read and handle the request with this head; return whether the connection stays open."""
        fields = [tuple(line.split(": ", 1)) for line in head_lines[1:] if line]
        headers = {name.lower(): value for name, value in fields}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, target, _ = head_lines[0].split(" ")
        request = ReceivedRequest(method, target, fields, body)
        return await self._handle_request(writer, request, headers)

    async def _handle_request(self, writer, request, headers):
        """Handle one request; return whether the connection stays open."""
        path, body = request.target, request.body
        if path == "/report":
            return self.write_response(writer, 200, b"", dumps(self._build_report()))
        if path == "/order":
            return self.write_response(writer, self.handle_order(loads(body)), b"", b"")
        self.request_count += 1
        self.received.append(request)
        left_s = self.paused_until - asyncio.get_running_loop().time()
        if left_s > 0.0:
            return self.refuse_paused(writer, headers, left_s)
        return await self.respond(writer, request, headers)

    async def respond(self, writer, request, headers):
        """Respond to a caller's request; return whether the connection stays open."""
        attempt = headers.get("x-attempt-id", "")
        if not attempt:
            return self.write_response(writer, 400, b"X-Not-Executed: 1\r\n", b"")
        if self.response_mode == "refuse":
            return self.write_response(writer, 503, b"X-Not-Executed: 1\r\n", b"")
        if self.response_mode == "misdirect":
            return self.write_response(writer, 421, b"X-Not-Executed: 1\r\n", b"")
        self.executed_attempts.append(attempt)
        request.is_run = True
        if self.is_harmful(headers):
            return self.crash()
        responder = RESPONDERS[self.response_mode]
        if headers.get("accept-stream") or "x-model" in headers:
            first_number = int(headers.get("last-event-id", 0)) + 1
            body_parts = [
                encode_event(number, self.padding)
                for number in range(first_number, self.events + 1)
            ]
        else:
            body_parts = [b"paid"]
        return await responder(self, writer, attempt, body_parts)

    def refuse_paused(self, writer, headers, left_s):
        """Turn a request away with a pause of `left_s` seconds, or with `pause_values`."""
        values = self.pause_values or (f"{left_s:.3f}",)
        lines = "".join(f"Retry-After: {value}\r\n" for value in values)
        refusal = f"X-Not-Executed: 1\r\n{lines}".encode()
        return self.write_response(writer, 503, refusal, b"")

    def build_state_headers(self):
        """Return the header lines of all responses."""
        limit = self.refusal_limit
        return self.leaving_header + (b"" if limit is None else b"Server-Brittle: %d\r\n" % limit)

    def is_harmful(self, headers):
        """Return whether a request crashes this worker."""
        part = f"{self.harmful_part}:"
        return bool(self.harmful_part) and part in headers.get("x-prompt-prefix", "")

    def _build_report(self):
        model = {"name": "m0", "version": 1, "adapters": [f"{a}@1" for a in self.adapters]}
        start = {"born": self.incarnation} if self.incarnation is not None else {}
        return {"models": [model], "seq": self.order_count, "busy": False, "coming": []} | start

    def handle_order(self, order):
        """Carry out a load or unload order and return the HTTP status."""
        self.fences.append(order["fence"])
        if order["expected"] != self.order_count:
            return 409
        self.order_count += 1
        if order["op"] == "load":
            self.adapters.add(order["adapter"])
            return 202
        self.adapters.discard(order["adapter"])
        return 200

    def write_response(self, writer, status, headers, body):
        """Write a response with a length; return True, since the connection stays open."""
        writer.write(
            b"HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n%s"
            % (status, self.build_state_headers(), headers, len(body), body)
        )
        return True


def reset_connection(writer):
    """Reset the connection: with a linger time of 0 the kernel sends RST instead of FIN."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    return False


async def send_complete(worker, writer, attempt, body_parts):
    """Send a complete response in chunks."""
    headers = b"Transfer-Encoding: chunked\r\n\r\n"
    if worker.rate_limit is not None:
        headers = b"Server-Limit: %.1f\r\n" % worker.rate_limit + headers
    writer.write(build_head(worker, attempt, headers=headers))
    for piece in body_parts:
        writer.write(encode_chunk(piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


class BrokenHead:
    """Sends the start of a response head and closes the connection.

    Parameters
    ----------
    start : bytes
        Bytes of the head; ``{attempt}`` stands for the attempt id.
    """

    __slots__ = ("start",)

    def __init__(self, start):
        self.start = start

    async def __call__(self, worker, writer, attempt, body_parts):
        """Respond to a request; return False, since the connection is closed."""
        writer.write(self.start.replace(b"{attempt}", attempt.encode()))
        await writer.drain()
        return False


class RepeatedResponse:
    """Writes the previous response of the connection once more, before that to the request.

    Parameters
    ----------
    refuses_first : bool
        Whether the first request of a connection is refused, and therefore has not run.
    """

    __slots__ = ("previous", "refuses_first")

    def __init__(self, refuses_first):
        self.refuses_first = refuses_first
        self.previous = WeakKeyDictionary()

    async def __call__(self, worker, writer, attempt, body_parts):
        """Respond to a request; return True, since the connection stays open."""
        is_first = writer not in self.previous
        if is_first and self.refuses_first:
            worker.executed_attempts.remove(attempt)
            headers = b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            response = build_head(worker, attempt, 503, headers, stamp=b"")
        else:
            body = b"".join(body_parts)
            response = (
                build_head(worker, attempt, headers=b"Content-Length: %d\r\n\r\n" % len(body))
                + body
            )
        writer.write(self.previous.get(writer, b"") + response)
        self.previous.setdefault(writer, response)
        return True


class StatusResponse:
    """Writes a signed response with a status line of its own.

    Parameters
    ----------
    status : str
        Text in place of the status code.
    """

    __slots__ = ("status",)

    def __init__(self, status):
        self.status = status

    async def __call__(self, worker, writer, attempt, body_parts):
        """Respond to a request; return True, since the connection stays open."""
        head = build_head(worker, attempt, headers=b"Content-Length: 4\r\n\r\n")
        writer.write(head.replace(b" 200 ", f" {self.status} ".encode(), 1) + b"paid")
        return True


async def send_empty_success(worker, writer, attempt, body_parts):
    """Send a signed response with a status of success and no body."""
    writer.write(build_head(worker, attempt, 204, b"\r\n"))
    return True


async def send_partial_content(worker, writer, attempt, body_parts):
    """Send a signed response with a status of success that is not 200."""
    writer.write(build_head(worker, attempt, 206, b"Content-Length: 4\r\n\r\n") + b"part")
    return True


async def send_trickle(worker, writer, attempt, body_parts):
    """Send a byte now and then, and never a complete event or body."""
    writer.write(build_head(worker, attempt, headers=b"Transfer-Encoding: chunked\r\n\r\n"))
    try:
        while not writer.is_closing():
            writer.write(encode_chunk(b"i"))
            await writer.drain()
            await asyncio.sleep(TRICKLE_PAUSE_S)
    except ConnectionError:
        return False
    return False


async def send_paced(worker, writer, attempt, body_parts):
    """Send a complete response with a pause before each piece."""
    writer.write(build_head(worker, attempt, headers=b"Transfer-Encoding: chunked\r\n\r\n"))
    for piece in body_parts:
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(encode_chunk(piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    return True


async def send_server_error(worker, writer, attempt, body_parts):
    """Send an error response of the worker itself."""
    writer.write(build_head(worker, attempt, 500, b"Content-Length: 3\r\n\r\n") + b"bad")
    return True


async def send_reset(worker, writer, attempt, body_parts):
    """Reset the connection after the request ran, without a response."""
    return reset_connection(writer)


async def send_partial(worker, writer, attempt, body_parts):
    """Reset the connection in the middle of an event or body."""
    writer.write(build_head(worker, attempt, headers=b"Transfer-Encoding: chunked\r\n\r\n"))
    writer.write(encode_chunk(body_parts[0]) + encode_chunk(body_parts[-1][:4]))
    await writer.drain()
    await asyncio.sleep(0.05)
    return reset_connection(writer)


async def send_unframed(worker, writer, attempt, body_parts):
    """Send a response without a length, whose body ends when the connection is closed."""
    writer.write(
        build_head(worker, attempt, headers=b"Connection: close\r\n\r\n") + b"".join(body_parts)
    )
    await writer.drain()
    return False


async def send_unframed_reset(worker, writer, attempt, body_parts):
    """Send part of a response without a length, then reset the connection."""
    writer.write(build_head(worker, attempt, headers=b"Connection: close\r\n\r\n") + body_parts[0])
    await writer.drain()
    await asyncio.sleep(0.05)
    return reset_connection(writer)


async def send_other_attempt_id(worker, writer, attempt, body_parts):
    """Send the response to another request, with its attempt id."""
    writer.write(build_head(worker, "other", headers=b"Content-Length: 5\r\n\r\n") + b"wrong")
    return True


async def send_unsigned(worker, writer, attempt, body_parts):
    """Send a response without the stamp that signs it."""
    writer.write(
        build_head(worker, attempt, headers=b"Content-Length: 4\r\n\r\n", stamp=b"") + b"paid"
    )
    return True


async def send_encoded(worker, writer, attempt, body_parts):
    """Send a response in a content encoding that the request did not accept."""
    headers = b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\n"
    writer.write(build_head(worker, attempt, headers=headers) + b"paid")
    return True


async def send_extra_response(worker, writer, attempt, body_parts):
    """Send a complete response, followed by the response to another request."""
    await send_complete(worker, writer, attempt, body_parts)
    writer.write(build_head(worker, "other", headers=b"Content-Length: 5\r\n\r\n") + b"wrong")
    return True


async def send_garbage(worker, writer, attempt, body_parts):
    """Send bytes that are not an HTTP response."""
    writer.write(b"\x00\xff not http\r\n\r\n")
    return True


async def send_nothing(worker, writer, attempt, body_parts):
    """Never respond to the request."""
    await asyncio.sleep(3600)


RESPONDERS = {
    "good": send_complete,
    "paced": send_paced,
    "trickle": send_trickle,
    "empty_success": send_empty_success,
    "partial_content": send_partial_content,
    "repeat": RepeatedResponse(refuses_first=False),
    "repeat_refusal": RepeatedResponse(refuses_first=True),
    "error": send_server_error,
    "reset": send_reset,
    "half": send_partial,
    "unframed": send_unframed,
    "unframed_reset": send_unframed_reset,
    "other_id": send_other_attempt_id,
    "unsigned": send_unsigned,
    "encoded": send_encoded,
    "twice": send_extra_response,
    **{f"status_{status}": StatusResponse(status) for status in INVALID_STATUSES},
    "garbage": send_garbage,
    **ENDLESS_RESPONDERS,
    **{f"head_{name}": respond for name, respond in ODD_HEADS.items()},
    "never": send_nothing,
    **{f"head_broken_{name}": BrokenHead(start) for name, start in HEAD_STARTS.items()},
}
