"""Releases of the workers' software and crashes of workers, while streams are open."""

import asyncio
import logging

from medlarbeam.soak.faults import FAULTS, Fault, WorkerLink
from medlarbeam.soak.worker import SoakWorker

__all__ = ["RELEASE_FAULTS", "Release", "Replacement", "WorkerCrash"]

log = logging.getLogger(__name__)

MAX_DOWN_S = 0.8
MAX_REGISTRATION_S = 1.1  # from the start of a worker to the write of its entry
MAX_STEP_S = 0.6  # between two workers of a release
EXIT_S = 2.5  # from the announcement of a drain to the end of the worker


def list_engines(deployment):
    """Return the names of the engines that are registered and do not leave."""
    return sorted(
        name
        for name, state in deployment.states.items()
        if name.startswith("engine") and state == "ready"
    )


def next_software(deployment):
    """Return the name of a version that is newer than all in service."""
    return f"v{max(int(w.software[1:]) for w in deployment.workers.values()) + 1}"


class Release(Fault):
    """Engines are started again, one after the other, under their names with a newer version."""

    __slots__ = ()
    name = "release"

    def choose(self, deployment, rng):
        """Return ``engine``."""
        return "engine"

    async def apply(self, deployment, target, rng, duration_s):
        """Start some engines again with a newer version; see `Fault.apply`."""
        software = next_software(deployment)
        names = list_engines(deployment)
        for name in rng.sample(names, rng.randint(1, max(1, len(names)))):
            if deployment.states.get(name) != "ready":
                continue
            log.info("%s goes down for a release", name)
            deployment.take_down(name)
            await asyncio.sleep(rng.uniform(0.05, MAX_DOWN_S))
            await deployment.bring_up(name, software, rng.uniform(0.0, MAX_REGISTRATION_S))
            log.info("%s runs %s", name, software)
            await asyncio.sleep(rng.uniform(0.0, MAX_STEP_S))


class Replacement(Release):
    """Engines leave, and others with a newer version come under names of their own."""

    __slots__ = ()
    name = "replacement"

    async def apply(self, deployment, target, rng, duration_s):
        """Replace some engines; see `Fault.apply`."""
        software = next_software(deployment)
        names = list_engines(deployment)
        for name in rng.sample(names, rng.randint(1, max(1, len(names) - 1))):
            former = deployment.workers[name]
            worker = SoakWorker(
                f"engine-{len(deployment.workers) + 10}",
                former.rng,
                former.runs,
                former.order_records,
                former.arrivals,
            )
            worker.software = software
            worker.states_start = former.states_start
            deployment.workers[worker.name] = worker
            await deployment.start_worker(worker)
            log.info("%s runs %s and replaces %s", worker.name, software, name)
            if deployment.states.get(name) == "ready":
                deployment.register(name, "draining")
            await asyncio.sleep(EXIT_S)
            if name in deployment.states:
                deployment.take_down(name)
                deployment.store.delete(f"servers/{name}")


class WorkerCrash(WorkerLink):
    """A worker crashes and is started again with the same version."""

    __slots__ = ()
    name = "worker_crash"

    async def apply(self, deployment, target, rng, duration_s):
        """Restart a worker; see `Fault.apply`."""
        if deployment.states.get(target) != "ready":
            return
        deployment.take_down(target)
        await asyncio.sleep(duration_s / 2)
        software = deployment.workers[target].software
        await deployment.bring_up(target, software, rng.uniform(0.0, MAX_REGISTRATION_S))


DISTURBANCES = {"kill", "terminate", "freeze", "store_link", "store_loss", "worker_link", "store"}
# Releases are drawn more often, since each one changes a part of the workers only.
RELEASE_FAULTS = [
    Release(),
    Release(),
    Replacement(),
    WorkerCrash(),
    *(fault for fault in FAULTS if fault.name in DISTURBANCES),
]
