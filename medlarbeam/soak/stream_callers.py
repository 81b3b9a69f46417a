"""Callers that keep what they got of a stream and take it up at another gateway."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from medlarbeam.classes.record import Record
from medlarbeam.soak.deployment import HOST
from medlarbeam.soak.long_streams import LONG_STREAM_PATH, parse_events

__all__ = ["BROKEN", "COMPLETE", "REFUSED", "StreamCaller", "StreamRecord", "StreamTry"]

DEADLINE_S = 8.0
MAX_TRIES = 16
MAX_GAP_S = 2.0  # without an event, after which a caller gives a try up
RETRY_PAUSE_S = 0.2  # after a try without an event
MEAN_PAUSE_S = 0.1
COMPLETE = "complete"
BROKEN = "broken"
REFUSED = "refused"


class StreamTry(Record):
    """One attempt of a caller at a stream.

    Parameters
    ----------
    attempt, gateway : str
    after : int
        Number of the last event that the caller had.
    sent_at, ended_at : float
    events : list of LongEvent
    end : str
        `COMPLETE`, `BROKEN` or `REFUSED`.
    detail : str
        Status or error that ended it.
    rest : bytes
        Bytes after the last complete event.
    """

    __slots__ = (
        "after",
        "attempt",
        "detail",
        "end",
        "ended_at",
        "events",
        "gateway",
        "rest",
        "sent_at",
    )

    def __init__(self, attempt, gateway, after, sent_at):
        self.attempt = attempt
        self.gateway = gateway
        self.after = after
        self.sent_at = sent_at
        self.ended_at = sent_at
        self.events = []
        self.end = BROKEN
        self.detail = ""
        self.rest = b""


class StreamRecord(Record):
    """A stream that a caller asked for, with all tries (list of `StreamTry`)."""

    __slots__ = ("name", "tries")

    def __init__(self, name):
        self.name = name
        self.tries = []

    def list_events(self):
        """Return the events of all tries in the order in which they arrived."""
        return [event for one in self.tries for event in one.events]


class StreamCaller:
    """Asks for one long stream after the other, each try at another gateway.

    Parameters
    ----------
    name : str
    gateways : list of GatewayProcess
    rng : random.Random
    records : list
        List to which a `StreamRecord` is appended for each stream.
    """

    __slots__ = ("gateways", "name", "records", "rng")

    def __init__(self, name, gateways, rng, records):
        self.name = name
        self.gateways = gateways
        self.rng = rng
        self.records = records

    async def run(self, end):
        """Ask for streams until the event loop's clock reaches `end.at` (s)."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < end.at:
            number += 1
            record = StreamRecord(f"{self.name}-{number}")
            self.records.append(record)
            await self._ask(record, loop.time() + DEADLINE_S)
            await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def _ask(self, record, deadline):
        loop = asyncio.get_running_loop()
        gateway = self.rng.choice(self.gateways)
        origin = ""
        while len(record.tries) < MAX_TRIES and loop.time() < deadline:
            events = record.list_events()
            after = events[-1].number if events else 0
            attempt = f"{record.name}.{len(record.tries) + 1}"
            one = StreamTry(attempt, gateway.name, after, loop.time())
            record.tries.append(one)
            await self._try(record, one, gateway, origin, deadline)
            one.ended_at = loop.time()
            if one.end == COMPLETE:
                return
            if one.events and not after:
                origin = attempt
            gateway = self.rng.choice([g for g in self.gateways if g is not gateway] or [gateway])
            if one.end == REFUSED or not one.events:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _try(self, record, one, gateway, origin, deadline):
        left_s = deadline - asyncio.get_running_loop().time()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": one.attempt,
            "X-Deadline-Ms": str(int(left_s * 1000)),
            "X-Model": "m0",
        }
        if one.after:
            headers |= {"Last-Event-Id": str(one.after), "Resumes": origin}
        timeout = ClientTimeout(total=left_s, connect=1.0, sock_read=MAX_GAP_S)
        connector = TCPConnector(force_close=True)
        try:
            async with ClientSession(timeout=timeout, connector=connector) as session:
                async with session.post(
                    f"http://{gateway.front_address}{LONG_STREAM_PATH}x",
                    headers=headers,
                    data=record.name.encode(),
                ) as response:
                    one.detail = str(response.status)
                    if response.status != 200:
                        one.end = REFUSED
                        one.detail += f" {(await response.read())[:200]!r}"
                        return
                    async for data in response.content.iter_any():
                        events, one.rest = parse_events(one.rest + data)
                        one.events += events
                    one.end = COMPLETE
        except (ClientError, OSError, TimeoutError) as error:
            one.detail += f" {type(error).__name__}"
        except ValueError as error:
            one.end = COMPLETE  # the checker finds the bytes that are no event
            one.detail += f" {error}"
            one.rest += b"(no event)"
