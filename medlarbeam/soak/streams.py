"""Soak of long streams through releases: ``python -m medlarbeam.soak.streams --seed 1``."""

import asyncio
import sys
from math import inf
from pathlib import Path
from random import Random
from typing import Annotated

import cappa

from medlarbeam.soak.deployment import SOURCE_TREE, Deployment
from medlarbeam.soak.faults import inject_faults
from medlarbeam.soak.records import EndTime
from medlarbeam.soak.run_log import start_run_log
from medlarbeam.soak.stream_callers import StreamCaller
from medlarbeam.soak.stream_checker import (
    check_streams,
    count_refusals,
    count_take_ups,
    list_joined,
)
from medlarbeam.soak.stream_faults import STREAM_FAULTS

__all__ = ["StreamSoakConfig", "main", "run_stream_soak"]

SETTLE_S = 1.0  # from the readiness of the store to the first stream


class StreamSoakConfig:
    """Size of a soak of long streams.

    Parameters
    ----------
    seconds : float
        Period during which faults are started.
    gateways, engines, callers : int
    pause_s : float
        Mean pause between two faults.
    builds : tuple of pathlib.Path
        Source trees whose gateways run, in turn.
    states_start : bool or None
        Whether the reports of engines state their start; None lets the seed choose.
    """

    __slots__ = (
        "builds",
        "callers",
        "engines",
        "gateways",
        "pause_s",
        "seconds",
        "states_start",
    )

    def __init__(
        self,
        seconds=20.0,
        gateways=4,
        engines=6,
        callers=40,
        pause_s=0.5,
        builds=(SOURCE_TREE,),
        states_start=None,
    ):
        self.seconds = seconds
        self.gateways = gateways
        self.engines = engines
        self.callers = callers
        self.pause_s = pause_s
        self.builds = builds
        self.states_start = states_start


async def run_stream_soak(seed, config, folder, faults=STREAM_FAULTS):
    """Run the soak with one seed and return the list of `StreamRecord`.

    Parameters
    ----------
    seed : int
    config : StreamSoakConfig
    folder : pathlib.Path
        Directory for the settings and log files of the gateways.
    faults : list of Fault
    """
    rng = Random(seed)
    states_start = rng.random() < 0.5
    if config.states_start is not None:
        states_start = config.states_start
    streams = []
    deployment = Deployment(
        folder, Random(rng.random()), config.gateways, config.engines, config.builds
    )
    for worker in deployment.workers.values():
        worker.states_start = states_start
    async with deployment:
        await asyncio.sleep(SETTLE_S)
        gateways = list(deployment.gateways.values())
        end = EndTime(inf)
        callers = [
            StreamCaller(f"s{seed}-{number}", gateways, Random(rng.random()), streams)
            for number in range(config.callers)
        ]
        tasks = [asyncio.create_task(caller.run(end)) for caller in callers]
        await inject_faults(deployment, rng, config.seconds, config.pause_s, faults)
        end.at = asyncio.get_running_loop().time()
        await asyncio.gather(*tasks)
    return streams


def main(
    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1,
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of consecutive seeds to run.")] = 1,
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Duration of fault injection per seed, s.")
    ] = 20.0,
    gateways: Annotated[int, cappa.Arg(long=True, help="Number of gateway processes.")] = 4,
    engines: Annotated[int, cappa.Arg(long=True, help="Number of workers.")] = 6,
    callers: Annotated[int, cappa.Arg(long=True, help="Callers.")] = 40,
    pause: Annotated[float, cappa.Arg(long=True, help="Mean pause between two faults, s.")] = 0.5,
    faults: Annotated[
        str, cappa.Arg(long=True, help="Names of the faults, with commas; empty for all.")
    ] = "",
    builds: Annotated[
        str, cappa.Arg(long=True, help="Source trees whose gateways run, with commas.")
    ] = str(SOURCE_TREE),
    states_start: Annotated[
        str, cappa.Arg(long=True, help="yes or no: reports state the start of an engine.")
    ] = "",
):
    """Run the soak and print the violations of each seed; exit with status 1 if there are any."""
    config = StreamSoakConfig(
        seconds,
        gateways,
        engines,
        callers,
        pause,
        tuple(Path(build) for build in builds.split(",")),
        {"yes": True, "no": False}.get(states_start),
    )
    chosen = [f for f in STREAM_FAULTS if not faults or f.name in faults.split(",")]
    failed = 0
    for number in range(seed, seed + seeds):
        folder = start_run_log("streams", number)
        streams = asyncio.run(run_stream_soak(number, config, folder, chosen))
        violations = list(check_streams(streams))
        taken_up, went_on = count_take_ups(streams)
        print(
            f"seed={number} streams={len(streams)} joined={len(list_joined(streams))} "
            f"taken_up={taken_up} went_on={went_on} refused={count_refusals(streams)} "
            f"violations={len(violations)} logs={folder}",
            flush=True,
        )
        for text in violations[:20]:
            print(f"  {text}", flush=True)
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    cappa.invoke(main)
