"""Streams that last for seconds, whose events state which start of a worker has written them."""

import asyncio

from medlarbeam.classes.record import Record
from medlarbeam.standins.platform_worker import reset_connection
from medlarbeam.standins.worker_framing import build_head, encode_chunk

__all__ = [
    "LONG_EVENTS",
    "LONG_STREAM_PATH",
    "LongEvent",
    "parse_events",
    "send_long_stream",
]

LONG_STREAM_PATH = "/story/"
LONG_EVENTS = 16
LONG_EVENT_PAUSE_S = 0.15
BREAK_SHARE = 0.06  # of the streams, which break off although the worker goes on
UNFRAMED_SHARE = 0.15  # of the streams, whose bodies end with the connection
MAX_STALL_S = 3.0  # after which a worker goes on, whether or not the stream was moved meanwhile
LATE_KINDS = ("stall", "end", "event", "answer")
BREAKS = ("in_event", "in_chunk", "in_head", "in_end", "between_events")


class LongEvent(Record):
    """An event of a long stream.

    Parameters
    ----------
    number : int
    software, worker : str
        Software version and name of the worker.
    incarnation : int
        Start of the worker.
    stream : str
        Body of the request that began the stream.
    """

    __slots__ = ("incarnation", "number", "software", "stream", "worker")

    def __init__(self, number, software, worker, incarnation, stream):
        self.number = number
        self.software = software
        self.worker = worker
        self.incarnation = incarnation
        self.stream = stream

    def encode(self):
        """Return the event as sent."""
        return (
            f"id: {self.number}\ndata: {self.software} {self.worker} {self.incarnation} "
            f"{self.stream}\n\n".encode()
        )


def parse_events(data):
    """Return the complete `LongEvent` objects in `data` (bytes), and the bytes after them.

    Raises
    ------
    ValueError
        If an event is none of a long stream.
    """
    *texts, rest = data.split(b"\n\n")
    events = []
    for text in texts:
        first, second = text.decode().split("\n")
        software, worker, incarnation, stream = second.removeprefix("data: ").split(" ")
        number = int(first.removeprefix("id: "))
        events.append(LongEvent(number, software, worker, int(incarnation), stream))
    return events, rest


def choose_break(rng, fault):
    """Return where a stream breaks off, as a member of `BREAKS`, or "" for nowhere."""
    return rng.choice(BREAKS) if fault != "good" or rng.random() < BREAK_SHARE else ""


def choose_late(worker):
    """Return which late bytes a stream has, as a member of `LATE_KINDS`, or "" for none."""
    if worker.late_share and worker.rng.random() < worker.late_share:
        return worker.rng.choice(LATE_KINDS)
    return ""


def build_late_bytes(kind, head, piece):
    """Return the bytes of a stream that come again before the next answer on its connection.

    Parameters
    ----------
    kind : str
        Member of `LATE_KINDS`: ``end``, the last chunk; ``event``, with the last event before it;
        ``answer``, a whole answer with that event. Nothing for the others.
    head, piece : bytes
        Head of the answer, and the chunk of the last event.
    """
    parts = {"end": b"", "event": piece, "answer": head + piece}
    return parts[kind] + b"0\r\n\r\n" if kind in parts else b""


async def send_long_stream(worker, writer, headers, body, fault):
    """Send the events after ``Last-Event-Id``; return whether the connection stays open.

    Parameters
    ----------
    worker : SoakWorker
    writer : asyncio.StreamWriter
    headers : dict of str to str
    body : bytes
    fault : str
        "good", or a fault after which the stream breaks off.
    """
    first = int(headers.get("last-event-id", 0)) + 1
    rng = worker.rng
    break_kind = choose_break(rng, fault)
    late_kind = choose_late(worker)
    break_at = rng.randint(first, LONG_EVENTS) if first <= LONG_EVENTS else first
    is_chunked = rng.random() >= UNFRAMED_SHARE
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Connection: close"
    head = build_head(worker, headers["x-attempt-id"], headers=framing + b"\r\n\r\n")
    if break_kind == "in_head":
        writer.write(head[: rng.randrange(1, len(head))])
        await writer.drain()
        return False
    writer.write(head)
    # The start is that of the beginning: a worker that is restarted closes its connections.
    piece = b""
    source = (worker.software, worker.name, worker.incarnation, body.decode())
    for number in range(first, LONG_EVENTS + 1):
        is_late = late_kind == "stall" and number == break_at
        await asyncio.sleep(rng.uniform(0.0, MAX_STALL_S) if is_late else LONG_EVENT_PAUSE_S)
        event = LongEvent(number, *source).encode()
        piece = encode_chunk(event) if is_chunked else event
        if number == break_at and break_kind in ("in_event", "in_chunk", "between_events"):
            if break_kind == "in_event":
                piece = encode_chunk(event[:-3]) if is_chunked else event[:-3]
            writer.write(b"" if break_kind == "between_events" else piece[: -rng.randint(1, 4)])
            await writer.drain()
            return reset_connection(writer)
        writer.write(piece)
        await writer.drain()
    if break_kind == "in_end":
        writer.write(b"0\r\n" if is_chunked else b"id: ")
        return False
    if is_chunked:
        writer.write(b"0\r\n\r\n")
        worker.late_bytes[writer] = build_late_bytes(late_kind, head, piece)
    return is_chunked
