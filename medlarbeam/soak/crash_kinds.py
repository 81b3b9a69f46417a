"""Kinds of requests in plays of harmful parts: streams and idempotent calls."""

import asyncio
from abc import ABC, abstractmethod

from medlarbeam.soak.deployment import build_route
from medlarbeam.standins.worker_framing import encode_event

__all__ = ["REQUEST_KINDS", "RequestKind"]

ROUTE = "chat"
TIMEOUT_MS = 5000
EVENTS = 22  # a stream lasts longer than the latest crash, 1 s after its head
EVENT_PAUSE_S = 0.05
FIRST_BYTE_S = 0.08
CALL_S = 0.15
CALL_HEAD_S = 0.05  # from the arrival of a harmful call to its head
CALL_BODY = b"x" * 400
CALL_BYTES = 100  # of the body of a harmful call that are written before the crash


async def sleep_until(at):
    """Sleep until the event loop's clock reaches `at` (s)."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())


class RequestKind(ABC):
    """Route, responses and complete bodies of one kind of request."""

    __slots__ = ()

    name = ""
    is_stream = False

    @abstractmethod
    def build_route(self):
        """Return the configuration document of the route."""

    @abstractmethod
    def build_body(self):
        """Return the complete body of a response."""

    @abstractmethod
    def is_begun(self, body):
        """Return whether the response to a caller has begun."""

    @abstractmethod
    async def respond(self, worker, writer, attempt, after, framing, crash_s):
        """Respond to a request; return whether the connection stays open.

        Parameters
        ----------
        worker : CrashWorker
        writer : asyncio.StreamWriter
        attempt : str
        after : int
            Number of the last event that the caller has.
        framing : Framing
        crash_s : float or None
            Time (s) from the head of the response to the crash, below 0 for a crash before the
            head, and None for a request without a crash.
        """


class StreamKind(RequestKind):
    """A resumable stream."""

    __slots__ = ()
    name = "stream"
    is_stream = True

    def build_route(self):
        """See `RequestKind.build_route`."""
        return build_route(
            ROUTE, "streaming", "llm", resumable=True, gapAimMs=250, timeoutMs=TIMEOUT_MS
        )

    def build_body(self):
        """See `RequestKind.build_body`."""
        return b"".join(encode_event(number) for number in range(1, EVENTS + 1))

    def is_begun(self, body):
        """Return whether the first event has arrived."""
        return b"\n\n" in body

    async def respond(self, worker, writer, attempt, after, framing, crash_s):
        """Send events at fixed times; see `RequestKind.respond`."""
        start = worker.incarnation
        await asyncio.sleep(FIRST_BYTE_S)
        if not worker.runs_start(start):
            return False
        if crash_s is not None and crash_s < 0.0:
            worker.crash_start(start)
            return False
        framing.write_head(worker, writer, attempt, None)
        began_at = asyncio.get_running_loop().time()
        for index, number in enumerate(range(after + 1, EVENTS + 1), 1):
            offset_s = index * EVENT_PAUSE_S
            if crash_s is not None and offset_s > crash_s:
                await sleep_until(began_at + crash_s)
                worker.crash_start(start)
                return False
            await sleep_until(began_at + offset_s)
            if not worker.runs_start(start):
                return False
            writer.write(framing.encode(encode_event(number)))
            await writer.drain()
        writer.write(framing.build_end())
        if crash_s is not None:
            worker.crash_start(start)
            return False
        return framing.keeps_open


class CallKind(RequestKind):
    """An idempotent call."""

    __slots__ = ()
    name = "call"

    def build_route(self):
        """See `RequestKind.build_route`."""
        return build_route(ROUTE, "idempotent", "llm", timeoutMs=TIMEOUT_MS)

    def build_body(self):
        """See `RequestKind.build_body`."""
        return CALL_BODY

    def is_begun(self, body):
        """Return whether the response is complete."""
        return body == CALL_BODY

    async def respond(self, worker, writer, attempt, after, framing, crash_s):
        """Send a body after some time, or a part of it; see `RequestKind.respond`."""
        start = worker.incarnation
        if crash_s is not None:
            await asyncio.sleep(CALL_HEAD_S)
            if crash_s >= 0.0 and worker.runs_start(start):
                framing.write_head(worker, writer, attempt, len(CALL_BODY))
                writer.write(framing.encode(CALL_BODY[:CALL_BYTES]))
                await writer.drain()
                await asyncio.sleep(crash_s)
            worker.crash_start(start)
            return False
        await asyncio.sleep(CALL_S)
        if not worker.runs_start(start):
            return False
        return await framing.send(worker, writer, attempt, [CALL_BODY])


REQUEST_KINDS = {kind.name: kind for kind in (StreamKind(), CallKind())}
