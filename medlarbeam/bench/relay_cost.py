"""The daemon over loopback beside a bare relay, in turn; started by ``bin/relay-cost``."""

import asyncio
from typing import Annotated

import cappa

from medlarbeam.bench.relay_client import RelayClient, Target, read_target
from medlarbeam.bench.report import print_report
from medlarbeam.classes.record import Record

__all__ = ["RelayRow", "main"]

TOKEN_DELAY_MS = 1.0
OPEN_TOKENS = 4


class RelayRow(Record):
    """One target in one round.

    Parameters
    ----------
    round_number : int
    target : str

    Attributes
    ----------
    first_p50_ms, first_p95_ms : float
        Time to the first token, one stream at a time (ms).
    added_p50_ms : float
        Its median less that of the engine asked directly in the same round.
    request_us, chunk_us : float
        Processor time of the processes of the target: a stream with its first tokens, and a
        further token.
    mb_per_1000 : float
        Growth of the resident set with 1,000 open streams (MB), worked out from the streams held.
    added_ratio, request_ratio, chunk_ratio, mb_ratio : float
        Against the relay in the same round, 0 where there is nothing to compare.
    """

    __slots__ = (
        "round_number",
        "target",
        "first_p50_ms",
        "first_p95_ms",
        "added_p50_ms",
        "request_us",
        "chunk_us",
        "mb_per_1000",
        "added_ratio",
        "request_ratio",
        "chunk_ratio",
        "mb_ratio",
    )

    def __init__(self, round_number, target):
        self.round_number = round_number
        self.target = target
        self.first_p50_ms = self.first_p95_ms = self.added_p50_ms = 0.0
        self.request_us = self.chunk_us = self.mb_per_1000 = 0.0
        self.added_ratio = self.request_ratio = self.chunk_ratio = self.mb_ratio = 0.0

    def compare_with(self, relay):
        """Fill in the ratios to the row of the relay."""
        for name in ("added", "request", "chunk", "mb"):
            field = {"added": "added_p50_ms", "mb": "mb_per_1000"}.get(name, f"{name}_us")
            base = getattr(relay, field)
            setattr(self, f"{name}_ratio", getattr(self, field) / base if base > 0 else 0.0)


class Plan(Record):
    """Bounds of one measurement."""

    __slots__ = (
        "long_tokens",
        "open_delay_ms",
        "parallel",
        "requests",
        "rounds",
        "short_tokens",
        "streams",
    )

    def __init__(
        self, rounds, requests, parallel, short_tokens, long_tokens, streams, open_delay_ms
    ):
        self.open_delay_ms = open_delay_ms
        self.rounds = rounds
        self.requests = requests
        self.parallel = parallel
        self.short_tokens = short_tokens
        self.long_tokens = long_tokens
        self.streams = streams


async def _measure_cpu(client, target, plan, tokens):
    """Return the processor time (us) of one stream."""
    before = target.read_cpu_ns()
    await client.run(target, plan.requests, tokens, plan.parallel)
    return (target.read_cpu_ns() - before) / 1000 / plan.requests


async def _measure_target(client, target, plan, number):
    row = RelayRow(number, target.name)
    histogram = await client.run(target, plan.requests, plan.short_tokens, 1)
    row.first_p50_ms = histogram.get_value_at_percentile(50) / 1000
    row.first_p95_ms = histogram.get_value_at_percentile(95) / 1000
    if target.pids:
        short = await _measure_cpu(client, target, plan, plan.short_tokens)
        long = await _measure_cpu(client, target, plan, plan.long_tokens)
        row.request_us = short
        row.chunk_us = (long - short) / (plan.long_tokens - plan.short_tokens)
    return row


async def _measure_round(client, targets, plan, number):
    await client.set_token_delay(TOKEN_DELAY_MS)
    rows = [await _measure_target(client, target, plan, number) for target in targets]
    direct, relay = rows[0], rows[1]
    for row in rows[1:]:
        row.added_p50_ms = row.first_p50_ms - direct.first_p50_ms
        row.compare_with(relay)
    return rows


async def _measure_memory(client, targets, plan, rows):
    """Hold streams open in the first round only, as a resident set does not shrink again."""
    await client.set_token_delay(plan.open_delay_ms)
    for row, target in zip(rows[1:], targets[1:], strict=True):
        grown = await client.measure_memory(target, plan.streams, OPEN_TOKENS)
        row.mb_per_1000 = grown / 1e6 * 1000 / plan.streams
        row.compare_with(rows[1])


async def _run(engine, vm_list, relay, daemons, plan):
    async with RelayClient.open_session() as session:
        client = RelayClient(session, engine)
        await client.prepare(vm_list, daemons, concurrency=2 * plan.streams)
        targets = [Target("engine", engine, []), relay, *daemons]
        # The first stream through a daemon loads the adapter.
        for target in reversed(targets):
            await client.run(target, 5, plan.short_tokens, 1)
        rows = []
        for number in range(1, plan.rounds + 1):
            rows += await _measure_round(client, targets, plan, number)
        await _measure_memory(client, targets, plan, rows[: len(targets)])
        return rows


def main(
    engine: Annotated[str, cappa.Arg(long=True, help="ip:port")],
    vm_list: Annotated[str, cappa.Arg(long=True, help="ip:port")],
    relay: Annotated[str, cappa.Arg(long=True, help="name=ip:port=pid")],
    daemon: Annotated[
        list[str],
        cappa.Arg(long=True, help="name=ip:port=pid,pid; the first owns the engine; repeatable"),
    ],
    rounds: Annotated[int, cappa.Arg(long=True)] = 3,
    requests: Annotated[int, cappa.Arg(long=True, help="of each load")] = 200,
    parallel: Annotated[int, cappa.Arg(long=True, help="streams at a time")] = 8,
    long_tokens: Annotated[int, cappa.Arg(long=True, help="of the long streams")] = 60,
    streams: Annotated[int, cappa.Arg(long=True, help="held open for the memory")] = 500,
    open_delay_ms: Annotated[
        float, cappa.Arg(long=True, help="time of a token of the streams held open")
    ] = 3000.0,
    seed: Annotated[int, cappa.Arg(long=True, help="stated only; nothing is random")] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure the engine, the relay and the daemons in turn."""
    plan = Plan(rounds, requests, parallel, 2, long_tokens, streams, open_delay_ms)
    daemons = [read_target(text) for text in daemon]
    rows = asyncio.run(_run(engine, vm_list, read_target(relay), daemons, plan))
    print_report("relay_cost", seed, rows, as_json)


if __name__ == "__main__":
    cappa.invoke(main)
