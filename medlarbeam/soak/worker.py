"""Stand-in backend server that records executed requests and orders for the checker."""

import asyncio
from collections import deque
from weakref import WeakKeyDictionary

from medlarbeam.classes.record import Record
from medlarbeam.soak.failure_modes import FAILURE_MODES
from medlarbeam.soak.framings import FRAMINGS
from medlarbeam.soak.long_streams import LONG_STREAM_PATH, send_long_stream
from medlarbeam.standins.platform_worker import RESPONDERS, PlatformWorker, encode_event

__all__ = [
    "HARMFUL_PART",
    "ArrivalRecord",
    "FallRecord",
    "OrderRecord",
    "ReceiptRecord",
    "RunRecord",
    "SoakWorker",
    "expected_body",
]

EVENT_COUNT = 6
EVENT_PAUSE_S = 0.02
SERVICE_TIME_S = 0.03
HARMFUL_PART = "bad0"
FAULTS = ("error", "reset", "half", "refuse", "endless_line_feeds", "endless_early_hints")
PLACES = 4  # requests that run at once
REFUSAL_WINDOW_S = 1.0
OWN_TARGETS = ("/report", "/order")  # requests of gateways, not of callers


class RunRecord(Record):
    """Start of the execution of a request: attempt id, worker and time (s)."""

    __slots__ = ("attempt", "started_at", "worker")

    def __init__(self, attempt, worker, started_at):
        self.attempt = attempt
        self.worker = worker
        self.started_at = started_at


class FallRecord(Record):
    """Crash (s) of a worker that had to refuse more requests than the limit that it named."""

    __slots__ = ("at", "worker")

    def __init__(self, worker, at):
        self.worker = worker
        self.at = at


class ArrivalRecord(Record):
    """A request that reached a worker, whether or not it ran.

    Parameters
    ----------
    attempt, worker : str
    incarnation : int
    at : float
        Time (s).
    is_leaving : bool
        Whether the answer states that the worker leaves.
    paused_until : float
        End (s) of the pause in its refusal, 0 for none.

    Attributes
    ----------
    is_loaded : bool
        Whether the worker has the adapter of the request.
    """

    __slots__ = (
        "at",
        "attempt",
        "incarnation",
        "is_leaving",
        "is_loaded",
        "paused_until",
        "worker",
    )

    def __init__(self, attempt, worker, incarnation, at, is_leaving=False, paused_until=0.0):
        self.attempt = attempt
        self.worker = worker
        self.incarnation = incarnation
        self.at = at
        self.is_leaving = is_leaving
        self.paused_until = paused_until
        self.is_loaded = True


class ReceiptRecord(Record):
    """A request as it reached a worker.

    Parameters
    ----------
    worker : str
    at : float
        Time (s).
    request : ReceivedRequest
    """

    __slots__ = ("at", "request", "worker")

    def __init__(self, worker, at, request):
        self.worker = worker
        self.at = at
        self.request = request


class OrderRecord(Record):
    """An order received by a worker, accepted or not, and the adapters held after it."""

    __slots__ = ("fence", "held", "holder", "received_at", "worker")

    def __init__(self, worker, holder, fence, held, received_at):
        self.worker = worker
        self.holder = holder
        self.fence = fence
        self.held = held
        self.received_at = received_at


def expected_body(attempt, is_stream):
    """Return the complete response body of a request."""
    if is_stream:
        return b"".join(build_events(attempt, 1))
    return b"paid " + attempt.encode()


def build_events(attempt, first):
    """Return the events of a stream, starting with event number `first`."""
    label = attempt.encode()
    return [
        encode_event(n).replace(b"\n\n", b" " + label + b"\n\n")
        for n in range(first, EVENT_COUNT + 1)
    ]


class SoakWorker(PlatformWorker):
    """Worker that fails a random share of its requests, and crashes under a harmful prompt part.

    Parameters
    ----------
    name : str
    rng : random.Random
    runs, order_records, arrivals : list
        Lists to which a `RunRecord` for each execution, an `OrderRecord` for each order and an
        `ArrivalRecord` for each request are appended.

    Attributes
    ----------
    incarnation : int
        Number of the start of the worker.
    crashed : asyncio.Event
        Set when the worker has to be taken down and restarted.
    software : str
        Version of the software of this start.
    states_start : bool
        Whether its reports state the start of the worker.
    has_room : bool
        Whether it lets requests wait; if not, it refuses those for which no place is free.
    failure_mode : FailureMode
        What gateways see of it from a crash until it is back.
    falls : list of FallRecord
    receipts : list of ReceiptRecord
        All requests of callers; `received` has only the latest ones.
    framing : Framing
        Framing of its complete responses and of harmful ones.
    harmful_events : int or None
        Events that a harmful response contains at the crash, None for no response head.
    places : int
        Requests that run at once.
    preloaded : tuple of str
        Adapters that each start of it has.
    late_share : float
        Share of the long streams with late bytes.
    late_bytes : weakref.WeakKeyDictionary
        Bytes that are written before the answer to the next request, by writer.
    """

    __slots__ = (
        "arrivals",
        "crashed",
        "failure_mode",
        "falls",
        "fault_probability",
        "framing",
        "harmful_events",
        "has_room",
        "late_bytes",
        "late_share",
        "order_records",
        "places",
        "preloaded",
        "receipts",
        "refused_at",
        "rng",
        "running",
        "runs",
        "software",
        "states_start",
    )

    def __init__(self, name, rng, runs, order_records, arrivals):
        super().__init__(name, EVENT_COUNT)
        self.arrivals = arrivals
        self.incarnation = 1
        self.rng = rng
        self.runs = runs
        self.order_records = order_records
        self.fault_probability = 0.0
        self.harmful_part = HARMFUL_PART
        self.software = "v1"
        self.states_start = True
        self.crashed = asyncio.Event()
        self.has_room = True
        self.running = 0
        self.refused_at = deque()
        self.falls = []
        self.receipts = []
        self.failure_mode = FAILURE_MODES["reset"]
        self.framing = FRAMINGS["chunked"]
        self.harmful_events = None
        self.places = PLACES
        self.preloaded = ()
        self.late_share = 0.0
        self.late_bytes = WeakKeyDictionary()

    async def _handle_request(self, writer, request, headers):
        writer.write(self.late_bytes.pop(writer, b""))
        if request.target not in OWN_TARGETS:
            now = asyncio.get_running_loop().time()
            self.receipts.append(ReceiptRecord(self.name, now, request))
        return await super()._handle_request(writer, request, headers)

    async def respond(self, writer, request, headers):
        """Execute a request if it is addressed to this worker and its adapter is loaded."""
        if headers.get("x-expect-instance") != self.name:
            return self.write_response(writer, 421, b"", b"")
        attempt = headers.get("x-attempt-id", "")
        if not attempt:
            return self.write_response(writer, 400, b"X-Not-Executed: 1\r\n", b"")
        now = asyncio.get_running_loop().time()
        arrival = self._record_arrival(attempt, now)
        adapter = headers.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            arrival.is_loaded = False
            return self.write_response(writer, 421, b"", b"")
        fault = self.rng.choice(FAULTS) if self.rng.random() < self.fault_probability else "good"
        if not self.has_room and self.running >= self.places:
            self._record_refusal(now)
            fault = "refuse"
        if fault == "refuse":
            return self.write_response(writer, 503, b"X-Not-Executed: 1\r\n", b"")
        self.runs.append(RunRecord(attempt, self.name, now))
        request.is_run = True
        self.running += 1
        try:
            if request.target.startswith(LONG_STREAM_PATH):
                return await send_long_stream(self, writer, headers, request.body, fault)
            return await self._execute(writer, attempt, adapter, fault, headers)
        finally:
            self.running -= 1

    def _build_report(self):
        report = super()._build_report()
        if not self.states_start:
            del report["born"]
        return report

    def _record_refusal(self, now):
        """Count a refusal for lack of room; the worker crashes above its limit."""
        self.refused_at.append(now)
        while self.refused_at[0] < now - REFUSAL_WINDOW_S:
            self.refused_at.popleft()
        if self.refusal_limit is not None and len(self.refused_at) > self.refusal_limit:
            self.refused_at.clear()
            self.falls.append(FallRecord(self.name, now))
            self.crashed.set()

    async def _execute(self, writer, attempt, adapter, fault, headers):
        await asyncio.sleep(SERVICE_TIME_S)
        framing = self.framing.choose(self.rng, bool(adapter))
        if adapter:
            pieces = build_events(attempt, int(headers.get("last-event-id", 0)) + 1)
        else:
            pieces = [expected_body(attempt, False)]
        if self.is_harmful(headers):
            return await self._crash_under(writer, attempt, framing, pieces)
        if fault == "good":
            await asyncio.sleep(EVENT_PAUSE_S * len(pieces))
            if framing.name != "chunked":
                return await framing.send(self, writer, attempt, pieces)
        return await RESPONDERS[fault](self, writer, attempt, pieces or [b""])

    def set_behaviour(self, failure_mode, framing, harmful_events):
        """Set what the worker does at a crash, and the framing of its responses."""
        self.failure_mode = failure_mode
        self.framing = framing
        self.harmful_events = harmful_events

    async def _crash_under(self, writer, attempt, framing, pieces):
        """Begin a harmful response, if it is to be begun, and crash."""
        if self.harmful_events is not None:
            framing.write_head(self, writer, attempt, sum(len(piece) for piece in pieces))
            for piece in pieces[: self.harmful_events]:
                writer.write(framing.encode(piece))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        self.crashed.set()
        return False

    def renew(self):
        """Forget what the former start held, and count a new one."""
        self.incarnation += 1
        self.order_count = 0
        self.adapters.clear()
        self.adapters.update(self.preloaded)

    def _record_arrival(self, attempt, now, paused_until=0.0):
        is_leaving = bool(self.leaving_header)
        arrival = ArrivalRecord(attempt, self.name, self.incarnation, now, is_leaving, paused_until)
        self.arrivals.append(arrival)
        return arrival

    def refuse_paused(self, writer, headers, left_s):
        """Turn a request away, and record the pause; see `PlatformWorker.refuse_paused`."""
        now = asyncio.get_running_loop().time()
        text = self.pause_values[0] if len(self.pause_values) == 1 else ""
        is_number = text.replace(".", "", 1).isdigit()
        pause_s = float(text) if is_number else 0.0 if self.pause_values else left_s
        attempt = headers.get("x-attempt-id", "")
        self._record_arrival(attempt, now, now + pause_s)
        return super().refuse_paused(writer, headers, left_s)

    def handle_order(self, order):
        """Execute an order and record its sender, the holder of the order right, and its token."""
        status = super().handle_order(order)
        now = asyncio.get_running_loop().time()
        record = OrderRecord(self.name, order["holder"], order["fence"], len(self.adapters), now)
        self.order_records.append(record)
        return status
