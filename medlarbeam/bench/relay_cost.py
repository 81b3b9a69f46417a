"""Latency, processor time and memory of daemons compared with a minimal relay, over loopback.

Started by ``bin/relay-cost``.
"""

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
    """Measurements of one target in one round.

    Parameters
    ----------
    round_number : int
    target : str

    Attributes
    ----------
    first_p50_ms, first_p95_ms : float
        Time to the first token (ms) with one stream at a time.
    added_p50_ms : float
        `first_p50_ms` minus that of direct requests to the engine in the same round.
    request_us, chunk_us : float
        Processor time (us) of the processes of the target for a short stream, and for each further
        token.
    mb_per_1000 : float
        Growth of the resident set (MB) per 1,000 open streams, scaled from the streams held open.
    added_ratio, request_ratio, chunk_ratio, mb_ratio : float
        Ratios to the relay in the same round, 0 if the figure of the relay is not positive.
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
        """Set the ratios to the row of the relay."""
        for name in ("added", "request", "chunk", "mb"):
            field = {"added": "added_p50_ms", "mb": "mb_per_1000"}.get(name, f"{name}_us")
            base = getattr(relay, field)
            setattr(self, f"{name}_ratio", getattr(self, field) / base if base > 0 else 0.0)


class BenchmarkConfig(Record):
    """Parameters of a benchmark run."""

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


async def _measure_cpu(client, target, config, tokens):
    """Return the mean processor time (us) per stream."""
    before = target.read_cpu_ns()
    await client.run(target, config.requests, tokens, config.parallel)
    return (target.read_cpu_ns() - before) / 1000 / config.requests


async def _measure_target(client, target, config, number):
    row = RelayRow(number, target.name)
    histogram = await client.run(target, config.requests, config.short_tokens, 1)
    row.first_p50_ms = histogram.get_value_at_percentile(50) / 1000
    row.first_p95_ms = histogram.get_value_at_percentile(95) / 1000
    if target.pids:
        short = await _measure_cpu(client, target, config, config.short_tokens)
        long = await _measure_cpu(client, target, config, config.long_tokens)
        row.request_us = short
        row.chunk_us = (long - short) / (config.long_tokens - config.short_tokens)
    return row


async def _measure_round(client, targets, config, number):
    await client.set_token_delay(TOKEN_DELAY_MS)
    rows = [await _measure_target(client, target, config, number) for target in targets]
    engine_row, relay = rows[0], rows[1]
    for row in rows[1:]:
        row.added_p50_ms = row.first_p50_ms - engine_row.first_p50_ms
        row.compare_with(relay)
    return rows


async def _measure_memory(client, targets, config, rows):
    """Measure the memory of open streams, for one round only as a resident set does not shrink."""
    await client.set_token_delay(config.open_delay_ms)
    for row, target in zip(rows[1:], targets[1:], strict=True):
        growth = await client.measure_memory(target, config.streams, OPEN_TOKENS)
        row.mb_per_1000 = growth / 1e6 * 1000 / config.streams
        row.compare_with(rows[1])


async def _run(engine, vm_list, relay, daemons, config):
    async with RelayClient.open_session() as session:
        client = RelayClient(session, engine)
        await client.prepare(vm_list, daemons, concurrency=2 * config.streams)
        targets = [Target("engine", engine, []), relay, *daemons]
        # Warm-up: the first stream through a daemon loads the adapter.
        for target in reversed(targets):
            await client.run(target, 5, config.short_tokens, 1)
        rows = []
        for number in range(1, config.rounds + 1):
            rows += await _measure_round(client, targets, config, number)
        await _measure_memory(client, targets, config, rows[: len(targets)])
        return rows


def main(
    engine: Annotated[str, cappa.Arg(long=True, help="ip:port of the engine.")],
    vm_list: Annotated[str, cappa.Arg(long=True, help="ip:port of the VM list service.")],
    relay: Annotated[str, cappa.Arg(long=True, help="Relay as name=ip:port=pid.")],
    daemon: Annotated[
        list[str],
        cappa.Arg(
            long=True, help="name=ip:port=pid,pid; the first one owns the engine; repeatable."
        ),
    ],
    rounds: Annotated[int, cappa.Arg(long=True)] = 3,
    requests: Annotated[int, cappa.Arg(long=True, help="Requests per measurement.")] = 200,
    parallel: Annotated[int, cappa.Arg(long=True, help="Concurrent streams.")] = 8,
    long_tokens: Annotated[int, cappa.Arg(long=True, help="Tokens per long stream.")] = 60,
    streams: Annotated[
        int, cappa.Arg(long=True, help="Streams held open to measure memory.")
    ] = 500,
    open_delay_ms: Annotated[
        float, cappa.Arg(long=True, help="Time per token of the streams held open, ms.")
    ] = 3000.0,
    seed: Annotated[
        int, cappa.Arg(long=True, help="Printed in the report only; nothing is random.")
    ] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure the engine, the relay and each daemon one after the other."""
    config = BenchmarkConfig(rounds, requests, parallel, 2, long_tokens, streams, open_delay_ms)
    daemons = [read_target(text) for text in daemon]
    rows = asyncio.run(_run(engine, vm_list, read_target(relay), daemons, config))
    print_report("relay_cost", seed, rows, as_json)


if __name__ == "__main__":
    cappa.invoke(main)
