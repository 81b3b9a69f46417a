"""Command line of the soak: ``python -m medlarbeam.soak --seed 1``."""

import asyncio
import sys
from collections import Counter
from math import inf
from pathlib import Path
from random import Random
from typing import Annotated

import cappa

from medlarbeam.soak.callers import Caller
from medlarbeam.soak.checker import History, find_violations
from medlarbeam.soak.deployment import SOURCE_TREE, Deployment
from medlarbeam.soak.faults import inject_faults
from medlarbeam.soak.key_faults import MAIN_FAULTS
from medlarbeam.soak.key_ring import KeyRing
from medlarbeam.soak.odd_requests import OddCaller
from medlarbeam.soak.quota_load import LimitedCaller
from medlarbeam.soak.records import EndTime
from medlarbeam.soak.run_log import start_run_log
from medlarbeam.soak.stream_faults import WorkerCut

__all__ = ["main", "run_soak"]

RECOVERY_S = 12.0  # time allowed for recovery after the last fault has ended
RECOVERY_CHECK_S = 2.0  # duration of the recovery check that follows
CALLERS_PER_ODD_ONE = 4  # a quarter more callers, so that proper requests stay as many
LIMITED_CALLERS = 3  # which ask for several times the quota of their organisation
MAX_PRINTED = 20  # violations of one seed
ALL_FAULTS = [*MAIN_FAULTS, WorkerCut()]


class SoakConfig:
    """Duration and load of a soak run.

    Parameters
    ----------
    seconds : float
        Period during which faults are started.
    gateways, callers : int
        Number of gateway processes and of concurrent callers.
    pause_s : float
        Mean pause between two faults.
    builds : tuple of pathlib.Path
        Source trees whose gateways run, in turn.
    faults : list of Fault
    """

    __slots__ = ("builds", "callers", "faults", "gateways", "pause_s", "seconds")

    def __init__(
        self, seconds, gateways, callers, pause_s, builds=(SOURCE_TREE,), faults=MAIN_FAULTS
    ):
        self.builds = builds
        self.faults = faults
        self.seconds = seconds
        self.gateways = gateways
        self.callers = callers
        self.pause_s = pause_s


async def run_soak(seed, config, folder):
    """Run the soak with one seed and return its `History`.

    Parameters
    ----------
    seed : int
    config : SoakConfig
    folder : pathlib.Path
        Directory for the settings and log files of the gateways.
    """
    rng = Random(seed)
    loop = asyncio.get_running_loop()
    requests = []
    deployment = Deployment(
        folder,
        Random(rng.random()),
        config.gateways,
        builds=config.builds,
        key_ring=KeyRing(),
    )
    async with deployment:
        gateways = list(deployment.gateways.values())
        end = EndTime(inf)
        kinds = [Caller] * config.callers + [OddCaller] * (config.callers // CALLERS_PER_ODD_ONE)
        kinds += [LimitedCaller] * LIMITED_CALLERS
        callers = [
            kind(
                f"c{seed}-{number}",
                gateways,
                Random(rng.random()),
                requests,
                key_ring=deployment.key_ring,
            )
            for number, kind in enumerate(kinds)
        ]
        started_at = loop.time()
        tasks = [asyncio.create_task(caller.run(end)) for caller in callers]
        fault_intervals = await inject_faults(
            deployment, rng, config.seconds, config.pause_s, config.faults
        )
        recovery_deadline = loop.time() + RECOVERY_S
        end.at = recovery_deadline + RECOVERY_CHECK_S
        await asyncio.gather(*tasks)
        return History(
            requests,
            deployment.runs,
            deployment.orders,
            fault_intervals + deployment.drains,
            recovery_deadline,
            deployment.harmful_requests,
            deployment.crashed_at,
            deployment.arrivals,
            [fall for worker in deployment.workers.values() for fall in worker.falls],
            [receipt for worker in deployment.workers.values() for receipt in worker.receipts],
            deployment.key_ring,
            started_at,
        )


def main(
    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1,
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of consecutive seeds to run.")] = 1,
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Duration of fault injection per seed, s.")
    ] = 20.0,
    gateways: Annotated[int, cappa.Arg(long=True, help="Number of gateway processes.")] = 3,
    callers: Annotated[int, cappa.Arg(long=True, help="Callers.")] = 12,
    pause: Annotated[float, cappa.Arg(long=True, help="Mean pause between two faults, s.")] = 0.7,
    builds: Annotated[
        str, cappa.Arg(long=True, help="Source trees whose gateways run, with commas.")
    ] = str(SOURCE_TREE),
    faults: Annotated[
        str,
        cappa.Arg(
            long=True, help="Names of the faults, with commas; empty for all but worker_cut."
        ),
    ] = "",
):
    """Run the soak and print the violations of each seed; exit with status 1 if there are any."""
    config = SoakConfig(
        seconds,
        gateways,
        callers,
        pause,
        tuple(Path(build) for build in builds.split(",")),
        [f for f in ALL_FAULTS if f.name in faults.split(",")] if faults else MAIN_FAULTS,
    )
    failed = 0
    for number in range(seed, seed + seeds):
        folder = start_run_log("soak", number)
        history = asyncio.run(run_soak(number, config, folder))
        violations = find_violations(history)
        (folder / "violations.txt").write_text("\n".join(violations), encoding="utf-8")
        served = sum(1 for request in history.requests if request.status == 200)
        print(
            f"seed={number} requests={len(history.requests)} served={served} "
            f"refused_keys={sum(r.status == 401 for r in history.requests)} "
            f"over_quota={sum(r.status == 429 for r in history.requests)} "
            f"runs={len(history.runs)} orders={len(history.orders)} "
            f"faults={len(history.fault_intervals)} violations={len(violations)} logs={folder}",
            flush=True,
        )
        if len(violations) > MAX_PRINTED:
            print(f"  {dict(Counter(text.partition(' ')[0] for text in violations))}", flush=True)
        for text in violations[:MAX_PRINTED]:
            print(f"  {text}", flush=True)
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    cappa.invoke(main)
