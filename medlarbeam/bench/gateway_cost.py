"""Function calls of one gateway's decisions, by kind of message, at the size of a deployment."""

import cProfile
import pstats
from typing import Annotated

import cappa
from xxhash import xxh3_64

from medlarbeam.bench.gateway_fleet import FleetSize, GatewayFleet
from medlarbeam.bench.report import print_report
from medlarbeam.classes.record import Record

__all__ = ["SIZES", "CallMeter", "GatewayRow", "MessageRow", "main", "measure", "measure_waiting"]

# The figures of the site files as they are played. "busy" has half as much traffic again, spread
# over more adapters than the engines can load in time.
SIZES = [
    FleetSize("small", 4, 9, 3, 3, 3_000, 8, 120.0, 1.2),
    FleetSize("grown", 34, 45, 3, 3, 10_000, 8, 675.0, 1.2),
    FleetSize("grown-busy", 34, 45, 3, 3, 10_000, 8, 1_000.0, 0.9),
    FleetSize("large", 78, 37, 5, 5, 24_000, 10, 505.0, 1.2),
]
WARM_UP_S = 2.0
WAITING_REQUESTS = 50


class CallMeter:
    """Counts the function calls in the steps of a gateway, by the kind of message.

    Attributes
    ----------
    profiles : dict of str to cProfile.Profile
        By the name of the message class, or ``tick``. Counts of calls do not depend on the load of
        the machine, unlike times.
    counts : dict of str to int
        Number of steps.
    digest : xxhash.xxh3_64
        Digest of all effects, which shows whether two versions of the code decide the same. It is
        comparable between processes only with the same PYTHONHASHSEED.
    """

    __slots__ = ("counts", "digest", "is_on", "profiles")

    def __init__(self):
        self.is_on = False
        self.digest = xxh3_64()
        self.profiles = {}
        self.counts = {}

    def measure(self, label, step):
        """Return the result of ``step()``, and count the function calls in it."""
        if not self.is_on:
            return self._record(step())
        profile = self.profiles.get(label)
        if profile is None:
            profile = self.profiles[label] = cProfile.Profile()
        self.counts[label] = self.counts.get(label, 0) + 1
        profile.enable()
        try:
            effects = step()
        finally:
            profile.disable()
        return self._record(effects)

    def _record(self, effects):
        self.digest.update(repr(effects).encode())
        return effects

    def count_calls(self, label):
        """Return the number of function calls in the steps for messages of one kind."""
        return sum(entry.callcount for entry in self.profiles[label].getstats())

    def count_all_calls(self):
        """Return the number of function calls in all steps."""
        return sum(self.count_calls(label) for label in self.profiles)

    def print_functions(self, count):
        """Print the `count` functions that are called most."""
        stats = pstats.Stats(*self.profiles.values())
        stats.sort_stats("ncalls").print_stats(count)


class GatewayRow(Record):
    """Function calls of one gateway: in a second, for a served request, for a waiting one.

    Parameters
    ----------
    calls_per_waiting_s : float
        Calls for each second in which a request waits for an adapter that nobody loads.
    decisions : str
        Digest of all effects of the gateway.
    """

    __slots__ = (
        "size",
        "gateways",
        "engines",
        "served",
        "calls_per_s",
        "calls_per_served",
        "calls_per_waiting_s",
        "decisions",
    )

    def __init__(
        self,
        size,
        gateways,
        engines,
        served,
        calls_per_s,
        calls_per_served,
        calls_per_waiting_s,
        decisions,
    ):
        self.size = size
        self.gateways = gateways
        self.engines = engines
        self.served = served
        self.calls_per_s = calls_per_s
        self.calls_per_served = calls_per_served
        self.calls_per_waiting_s = calls_per_waiting_s
        self.decisions = decisions


class MessageRow(Record):
    """Steps for messages of one kind in a second, and function calls in a step and a second."""

    __slots__ = ("size", "message", "steps_per_s", "calls_per_step", "calls_per_s")

    def __init__(self, size, message, steps_per_s, calls_per_step, calls_per_s):
        self.size = size
        self.message = message
        self.steps_per_s = steps_per_s
        self.calls_per_step = calls_per_step
        self.calls_per_s = calls_per_s


def _run_fleet(seed, size, seconds):
    """Return the `GatewayFleet` after `seconds` of measured traffic, and its `CallMeter`."""
    meter = CallMeter()
    fleet = GatewayFleet(seed, size, meter)
    begin = fleet.now + WARM_UP_S
    fleet.schedule_traffic(fleet.now, begin + seconds)
    fleet.run_until(begin)
    fleet.served.clear()
    meter.is_on = True
    fleet.run_until(begin + seconds)
    return fleet, meter


def measure_waiting(seed, size, requests=WAITING_REQUESTS):
    """Return the function calls of one gateway for each second in which a request waits.

    No datagram arrives, so the adapters are not loaded. Calls without requests are subtracted.
    """
    calls = []
    for count in (0, requests):
        meter = CallMeter()
        fleet = GatewayFleet(seed, size, meter, loss=1.0)
        fleet.run_until(fleet.now + 1.0)
        rare = fleet.adapters[-count:] if count else []
        for key in rare:
            fleet.send_request("n0", key)
        fleet.run_until(fleet.now + 0.5)  # the holders of the order rights count as unresponsive
        meter.is_on = True
        fleet.run_until(fleet.now + 1.0)
        calls.append(meter.count_all_calls())
    return (calls[1] - calls[0]) / requests


def measure(seed, size, seconds, meter_sink=None):
    """Return the `GatewayRow` of a deployment and a list of `MessageRow`."""
    fleet, meter = _run_fleet(seed, size, seconds)
    if meter_sink is not None:
        meter_sink(meter)
    calls = meter.count_all_calls()
    rows = [
        MessageRow(
            size.name,
            label,
            meter.counts[label] / seconds,
            meter.count_calls(label) / meter.counts[label],
            meter.count_calls(label) / seconds,
        )
        for label in meter.profiles
    ]
    rows.sort(key=lambda row: -row.calls_per_s)
    return (
        GatewayRow(
            size.name,
            size.gateways,
            size.engines,
            len(fleet.served),
            calls / seconds,
            calls / max(1, len(fleet.served)),
            measure_waiting(seed, size),
            meter.digest.hexdigest(),
        ),
        rows,
    )


def main(
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    seconds: Annotated[float, cappa.Arg(long=True, help="Simulated time that is measured.")] = 5.0,
    sizes: Annotated[
        list[str] | None, cappa.Arg(long="--size", help="Names of deployments; default: all.")
    ] = None,
    functions: Annotated[
        int, cappa.Arg(long=True, help="Print so many functions that are called most.")
    ] = 0,
    messages: Annotated[bool, cappa.Arg(long=True, help="Print the kinds of messages.")] = False,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Count the function calls of one gateway of a deployment."""
    chosen = [size for size in SIZES if not sizes or size.name in sizes]
    sink = (lambda meter: meter.print_functions(functions)) if functions else None
    results = [measure(seed, size, seconds, sink) for size in chosen]
    print_report("gateway_cost", seed, [row for row, _ in results], as_json)
    if messages:
        print_report("gateway_cost", seed, [row for _, rows in results for row in rows], as_json)


if __name__ == "__main__":
    cappa.invoke(main)
