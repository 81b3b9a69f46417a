"""Stand-in for the weight store, with a rate limit and loads that slow each other down."""

import asyncio
from typing import Annotated

import cappa
from aiohttp import web

from medlarbeam.classes.record import Record
from medlarbeam.standins.http import json_response, read_json_object, read_non_negative, serve

__all__ = ["Load", "WeightStore", "main"]


class Load(Record):
    """A load that the store has accepted.

    Parameters
    ----------
    start_at : float
        Monotonic time (s) at which the rate limit admits the load.
    complete_at : float
        Monotonic time (s) at which the response is sent.
    failed : bool
        Whether the store responds with an error instead of the weights.
    """

    __slots__ = ("complete_at", "failed", "start_at")

    def __init__(self, start_at, complete_at, failed):
        self.start_at = start_at
        self.complete_at = complete_at
        self.failed = failed


class WeightStore:
    """State of the weight store.

    Parameters
    ----------
    rate : float
        Sustained rate of loads (1/s).
    burst : int
        Number of loads that may start at once after a pause.
    load_s : float
        Duration of a load (s) while at most `full_speed_in_flight` are in flight.
    full_speed_in_flight : int
        Number of loads in flight above which each new load takes proportionally longer. Queued
        loads count as in flight, since their callers wait for them.
    """

    __slots__ = (
        "burst",
        "fail_next",
        "failed",
        "full_speed_in_flight",
        "in_flight",
        "load_s",
        "loads",
        "max_in_flight",
        "queued",
        "rate",
        "theoretical_arrival_at",
    )

    def __init__(self, rate=7.0, burst=3, load_s=0.25, full_speed_in_flight=24):
        self.rate = rate
        self.burst = burst
        self.load_s = load_s
        self.full_speed_in_flight = full_speed_in_flight
        self.theoretical_arrival_at = float("-inf")
        self.in_flight = 0
        self.max_in_flight = 0
        self.loads = 0
        self.queued = 0
        self.failed = 0
        self.fail_next = 0

    def begin(self, now):
        """Accept a load and return its `Load`."""
        self.loads += 1
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        # Generic cell rate algorithm: a load may start burst - 1 intervals before its theoretical
        # arrival time.
        arrival_at = max(self.theoretical_arrival_at, now)
        start_at = max(now, arrival_at - (self.burst - 1) / self.rate)
        self.theoretical_arrival_at = arrival_at + 1 / self.rate
        self.queued += start_at > now
        failed = self.fail_next > 0
        self.fail_next -= failed
        self.failed += failed
        slowdown = max(1.0, self.in_flight / self.full_speed_in_flight)
        return Load(start_at, start_at + self.load_s * slowdown, failed)

    def end(self):
        """Count a load as complete, or as abandoned by its caller."""
        self.in_flight -= 1

    def counts(self):
        """Return the counters as a JSON document."""
        return {
            "loads": self.loads,
            "in_flight": self.in_flight,
            "max_in_flight": self.max_in_flight,
            "queued": self.queued,
            "failed": self.failed,
        }


class WeightStoreHttp:
    """HTTP server of the weight store."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state

    def routes(self):
        """Return the route table."""
        return [
            web.get("/weights/{path:.+}", self.get_weights),
            web.get("/debug/counts", self.get_counts),
            web.post("/debug/faults", self.set_faults),
        ]

    async def get_weights(self, request):
        """Handle ``GET /weights/<path>``."""
        loop = asyncio.get_running_loop()
        load = self.state.begin(loop.time())
        try:
            await asyncio.sleep(load.complete_at - loop.time())
        finally:
            self.state.end()
        if load.failed:
            return json_response({"error": "injected fault: weights are unavailable"}, 503)
        return web.Response(body=f"weights of {request.match_info['path']}".encode())

    async def get_counts(self, request):
        """Handle ``GET /debug/counts``."""
        return json_response(self.state.counts())

    async def set_faults(self, request):
        """Handle ``POST /debug/faults`` with ``{"fail_next": n, "load_s": s}``, both optional."""
        document = await read_json_object(request)
        self.state.fail_next = int(read_non_negative(document, "fail_next", self.state.fail_next))
        self.state.load_s = read_non_negative(document, "load_s", self.state.load_s)
        return json_response({})


def main(
    listen: Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on; port 0 selects a free port")
    ] = "127.0.0.1:0",
    rate: Annotated[float, cappa.Arg(long=True, help="sustained rate of loads (1/s)")] = 7.0,
    burst: Annotated[int, cappa.Arg(long=True, help="number of loads that may start at once")] = 3,
):
    """Run the weight store stand-in."""
    state = WeightStore(rate=rate, burst=burst)
    serve("weight_store", WeightStoreHttp(state).routes(), listen, handler_cancellation=True)


if __name__ == "__main__":
    cappa.invoke(main)
