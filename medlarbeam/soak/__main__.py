"""Runs the soak: ``python -m medlarbeam.soak --seed 1``."""

import asyncio
import logging
import sys
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Annotated

import cappa

from medlarbeam.soak.callers import Caller
from medlarbeam.soak.checker import Evidence, find_violations
from medlarbeam.soak.deployment import Deployment
from medlarbeam.soak.faults import play_faults

__all__ = ["main", "run_soak"]

RECOVER_S = 12.0  # after the last fault, until requests have to be served again
CALM_S = 2.0  # in which that is looked at


class Scale:
    """Size of a run.

    Parameters
    ----------
    seconds : float
        Time in which faults begin.
    gateways, callers : int
    pause_s : float
        Mean pause between two faults.
    """

    __slots__ = ("callers", "gateways", "pause_s", "seconds")

    def __init__(self, seconds, gateways, callers, pause_s):
        self.seconds = seconds
        self.gateways = gateways
        self.callers = callers
        self.pause_s = pause_s


async def run_soak(seed, scale, folder):
    """Play one seed; return the `Evidence`.

    Parameters
    ----------
    seed : int
    scale : Scale
    folder : pathlib.Path
        For settings and the logs of the gateways.
    """
    rng = Random(seed)
    loop = asyncio.get_running_loop()
    requests = []
    async with Deployment(folder, Random(rng.random()), scale.gateways) as deployment:
        gateways = list(deployment.gateways.values())
        calm_at = loop.time() + scale.seconds + RECOVER_S
        callers = [
            Caller(f"c{seed}-{number}", gateways, Random(rng.random()), requests)
            for number in range(scale.callers)
        ]
        tasks = [asyncio.create_task(c.run(calm_at + CALM_S)) for c in callers]
        disturbances = await play_faults(deployment, rng, scale.seconds, scale.pause_s)
        await asyncio.gather(*tasks)
        return Evidence(requests, deployment.runs, deployment.orders, disturbances, calm_at)


def main(
    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1,
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of seeds, one after the other.")] = 1,
    seconds: Annotated[float, cappa.Arg(long=True, help="Time of faults of each seed.")] = 20.0,
    gateways: Annotated[int, cappa.Arg(long=True, help="Gateway processes.")] = 3,
    callers: Annotated[int, cappa.Arg(long=True, help="Callers.")] = 12,
    pause: Annotated[float, cappa.Arg(long=True, help="Mean pause between faults, s.")] = 0.7,
):
    """Play seeds and print what each has broken; the exit status is 1 if any has."""
    failed = 0
    for number in range(seed, seed + seeds):
        folder = Path(mkdtemp(prefix=f"medlarbeam-soak-{number}-"))
        logging.basicConfig(
            level=logging.INFO,
            filename=folder / "soak.log",
            format="%(created).3f %(message)s",
            force=True,
        )
        evidence = asyncio.run(run_soak(number, Scale(seconds, gateways, callers, pause), folder))
        violations = find_violations(evidence)
        served = sum(1 for seen in evidence.requests if seen.status == 200)
        print(
            f"seed={number} requests={len(evidence.requests)} served={served} "
            f"runs={len(evidence.runs)} orders={len(evidence.orders)} "
            f"faults={len(evidence.disturbances)} violations={len(violations)} logs={folder}",
            flush=True,
        )
        for text in violations[:20]:
            print(f"  {text}", flush=True)
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    cappa.invoke(main)
