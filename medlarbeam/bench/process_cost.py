"""Processor time of one gateway process by cause, amid stand-ins for the rest of a deployment."""

import asyncio
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

import cappa

from medlarbeam.bench.gateway_fleet import FleetSize
from medlarbeam.bench.process_day import ProcessDay
from medlarbeam.bench.report import print_report
from medlarbeam.classes.record import Record

__all__ = ["CauseRow", "ProcessRow", "main", "measure"]

# Of the deployment kebunkira-dues-grown, with the requests of a gateway held equal at other sizes.
GATEWAYS = (15, 34, 68)
ENGINES = 45
PLAIN_SERVERS = 3
REQUESTS_PER_S = 20.0  # of a gateway


class ProcessRow(Record):
    """Processor time of one gateway process.

    Parameters
    ----------
    rights : int
        Order rights that the gateway holds.
    ready_s : float
        Processor time (s) from exec until the gateway is ready, with the instruments.
    ms_per_s : float
        Processor time (ms) in a second of traffic, with the instruments.
    clock_ms_per_s : float
        Part of that which the instruments take; the rows by cause are without it.
    answers : dict of str to int
        Responses to callers by status.
    """

    __slots__ = (
        "gateways",
        "rights",
        "ready_s",
        "ms_per_s",
        "clock_ms_per_s",
        "datagrams_per_s",
        "answers",
    )

    def __init__(
        self, gateways, rights, ready_s, ms_per_s, clock_ms_per_s, datagrams_per_s, answers
    ):
        self.gateways = gateways
        self.rights = rights
        self.ready_s = ready_s
        self.ms_per_s = ms_per_s
        self.clock_ms_per_s = clock_ms_per_s
        self.datagrams_per_s = datagrams_per_s
        self.answers = answers


class CauseRow(Record):
    """Processor time (ms) of a cause in a second, its share, and how often it began."""

    __slots__ = ("gateways", "cause", "times_per_s", "us_each", "ms_per_s", "share")

    def __init__(self, gateways, cause, times_per_s, ms_per_s, share):
        self.gateways = gateways
        self.cause = cause
        self.times_per_s = times_per_s
        self.us_each = 1000.0 * ms_per_s / times_per_s if times_per_s else 0.0
        self.ms_per_s = ms_per_s
        self.share = share


def build_size(gateways):
    """Return the `FleetSize` of the deployment with a number of gateways."""
    return FleetSize(
        f"{gateways}",
        gateways,
        ENGINES,
        PLAIN_SERVERS,
        3,
        10_000,
        8,
        REQUESTS_PER_S * gateways,
        1.2,
    )


def measure(seed, size, seconds, folder):
    """Return the `ProcessRow` of a gateway, and a list of `CauseRow`, the dearest first."""
    day = ProcessDay(seed, size, seconds, folder)
    account = asyncio.run(day.run())
    costs = account["causes"]
    net_ns = sum(own_ns for _, own_ns in costs.values())
    rows = [
        CauseRow(size.gateways, cause, count / seconds, own_ns / seconds / 1e6, own_ns / net_ns)
        for cause, (count, own_ns) in costs.items()
    ]
    rows.sort(key=lambda row: -row.ms_per_s)
    total_ms = 1000.0 * account["total_s"] / seconds
    row = ProcessRow(
        size.gateways,
        day.fleet.right_count,
        day.ready_cpu_s,
        total_ms,
        total_ms - net_ns / seconds / 1e6,
        len(day.fleet.datagrams) / (day.fleet.now - day.fleet.begin),
        dict(sorted(day.caller.statuses.items())),
    )
    return row, rows


def sum_groups(rows):
    """Return a `CauseRow` for each group of causes, that is the text before the colon."""
    groups = {}
    for row in rows:
        group = row.cause.partition(":")[0]
        total = groups.setdefault(group, CauseRow(row.gateways, group, 0.0, 0.0, 0.0))
        total.times_per_s += row.times_per_s
        total.ms_per_s += row.ms_per_s
        total.share += row.share
    for total in groups.values():
        total.us_each = 1000.0 * total.ms_per_s / total.times_per_s if total.times_per_s else 0.0
    return sorted(groups.values(), key=lambda row: -row.ms_per_s)


def main(
    gateways: Annotated[list[int], cappa.Arg(long=True, help="Repeatable.")] = GATEWAYS,
    seconds: Annotated[float, cappa.Arg(long=True, help="Traffic that is measured, s.")] = 10.0,
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    parts: Annotated[bool, cappa.Arg(long=True, help="Print the parts of causes.")] = False,
    log: Annotated[str, cappa.Arg(long=True, help="Directory to keep the gateway's log in.")] = "",
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure one gateway process in deployments of several sizes."""
    totals, causes = [], []
    for count in gateways:
        with TemporaryDirectory() as folder:
            kept = Path(log or folder)
            (kept / "account.json").unlink(missing_ok=True)
            row, rows = measure(seed, build_size(count), seconds, kept)
        totals.append(row)
        causes += rows if parts else sum_groups(rows)
    print_report("process_cost", seed, totals, as_json)
    print_report("process_cost", seed, causes, as_json)


if __name__ == "__main__":
    cappa.invoke(main)
