"""Stand-in for a worker of the users' platform that responds at the pace of a deployment."""

import asyncio

from medlarbeam.standins.platform_worker import PlatformWorker
from medlarbeam.standins.worker_framing import build_head, encode_chunk, encode_event

__all__ = ["PacedWorker"]

# Sizes of the responses of the deployment kebunkira-dues-grown: 800 bytes, and 7 tokens an event.
PLAIN_BYTES = 800
EVENT_PADDING = 40


class PacedWorker(PlatformWorker):
    """Worker that sends the events of a stream one after the other, and states its load.

    Parameters
    ----------
    name : str
    concurrency : int
        Requests that run at once, as it states them; more are not held back.
    work_s : float
        Time (s) to the first event, or to the response of a plain service.
    event_s : float
        Time (s) between two events.
    events : int
        Number of events in a stream.
    """

    __slots__ = ("concurrency", "event_s", "running", "work_s")

    def __init__(self, name, concurrency, work_s, event_s, events):
        super().__init__(name, events)
        self.concurrency = concurrency
        self.work_s = work_s
        self.event_s = event_s
        self.running = 0

    async def respond(self, writer, request, headers):
        """Respond to a caller's request; return True, since the connection stays open."""
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            return await self._send(writer, headers)
        finally:
            self.running -= 1

    async def _send(self, writer, headers):
        attempt = headers.get("x-attempt-id", "")
        running = min(self.running, self.concurrency)
        load = b"X-Server-Load: %d,%d,%d\r\n" % (
            running,
            self.running - running,
            self.concurrency,
        )
        if "x-model" not in headers:
            body = b"." * PLAIN_BYTES
            framing = load + b"Content-Length: %d\r\n\r\n" % len(body)
            writer.write(build_head(self, attempt, headers=framing) + body)
            return True
        framing = load + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(build_head(self, attempt, headers=framing))
        for number in range(1, self.events + 1):
            writer.write(encode_chunk(encode_event(number, EVENT_PADDING)))
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        return True
