"""Backend server of the soak: a stand-in worker that notes all that the checker needs."""

import asyncio

from medlarbeam.classes.record import Record
from medlarbeam.standins.platform_worker import ANSWERS, PlatformWorker, event

__all__ = ["OrderSeen", "RunSeen", "SoakWorker", "expected_body"]

EVENTS = 6
EVENT_PAUSE_S = 0.02
WORK_S = 0.03
FAULTS = ("error", "reset", "half", "refuse")


class RunSeen(Record):
    """A request that began to run: attempt id, worker and time (s)."""

    __slots__ = ("at", "attempt", "worker")

    def __init__(self, attempt, worker, at):
        self.attempt = attempt
        self.worker = worker
        self.at = at


class OrderSeen(Record):
    """An order that arrived, whatever became of it, and the adapters held after it."""

    __slots__ = ("at", "fence", "held", "holder", "worker")

    def __init__(self, worker, holder, fence, held, at):
        self.worker = worker
        self.holder = holder
        self.fence = fence
        self.held = held
        self.at = at


def expected_body(attempt, is_stream):
    """Return the whole answer to a request."""
    if is_stream:
        return b"".join(build_events(attempt, 1))
    return b"paid " + attempt.encode()


def build_events(attempt, first):
    """Return the events of a stream from number `first` on."""
    label = attempt.encode()
    return [event(n).replace(b"\n\n", b" " + label + b"\n\n") for n in range(first, EVENTS + 1)]


class SoakWorker(PlatformWorker):
    """Worker with a random share of faults.

    Parameters
    ----------
    name : str
    rng : random.Random
    runs, orders_seen : list
        Receive a `RunSeen` and an `OrderSeen` each.
    """

    __slots__ = ("fault_share", "orders_seen", "rng", "runs")

    def __init__(self, name, rng, runs, orders_seen):
        super().__init__(name, EVENTS)
        self.rng = rng
        self.runs = runs
        self.orders_seen = orders_seen
        self.fault_share = 0.0

    async def answer_request(self, writer, path, headers, body):
        """Run a request if it is for this worker and the adapter is here."""
        if headers.get("x-expect-instance") != self.name:
            return self.write(writer, 421, b"", b"")
        attempt = headers["x-attempt-id"]
        adapter = headers.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            return self.write(writer, 421, b"", b"")
        fault = self.rng.choice(FAULTS) if self.rng.random() < self.fault_share else "good"
        if fault == "refuse":
            return self.write(writer, 503, b"X-Not-Executed: 1\r\n", b"")
        now = asyncio.get_running_loop().time()
        self.runs.append(RunSeen(attempt, self.name, now))
        await asyncio.sleep(WORK_S)
        if adapter:
            pieces = build_events(attempt, int(headers.get("last-event-id", 0)) + 1)
        else:
            pieces = [expected_body(attempt, False)]
        if fault == "good":
            await asyncio.sleep(EVENT_PAUSE_S * len(pieces))
        return await ANSWERS[fault](self, writer, attempt, pieces or [b""])

    def take_order(self, order):
        """Carry out an order and note who gave it."""
        status = super().take_order(order)
        now = asyncio.get_running_loop().time()
        seen = OrderSeen(self.name, order["holder"], order["fence"], len(self.adapters), now)
        self.orders_seen.append(seen)
        return status
