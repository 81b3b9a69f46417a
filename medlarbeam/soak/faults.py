"""Faults that the soak injects from outside, and their seeded schedule."""

import asyncio
import logging
import signal
from abc import ABC, abstractmethod

from medlarbeam.soak.deployment import ROUTES
from medlarbeam.soak.records import Disturbance

__all__ = ["FAULTS", "Fault", "play_faults"]

log = logging.getLogger(__name__)


class Fault(ABC):
    """One kind of fault."""

    __slots__ = ()

    name = ""

    @abstractmethod
    def choose(self, deployment, rng):
        """Return the name of what it disturbs."""

    @abstractmethod
    async def apply(self, deployment, target, rng, for_s):
        """Disturb `target` for `for_s` seconds."""


class GatewayFault(Fault):
    """A signal to a gateway process."""

    __slots__ = ()

    def choose(self, deployment, rng):
        """Return the name of a gateway."""
        return rng.choice(sorted(deployment.gateways))


class Kill(GatewayFault):
    """SIGKILL, and a new start at the same addresses."""

    __slots__ = ()
    name = "kill"

    async def apply(self, deployment, target, rng, for_s):
        """Kill a gateway; see `Fault.apply`."""
        gateway = deployment.gateways[target]
        gateway.send_signal(signal.SIGKILL)
        await gateway.process.wait()
        await asyncio.sleep(for_s / 4)
        await gateway.start()


class Terminate(GatewayFault):
    """SIGTERM, and a new start once the process has ended."""

    __slots__ = ()
    name = "terminate"

    async def apply(self, deployment, target, rng, for_s):
        """Stop a gateway as planned; see `Fault.apply`."""
        gateway = deployment.gateways[target]
        await gateway.stop()
        await gateway.start()


class Freeze(GatewayFault):
    """SIGSTOP and SIGCONT."""

    __slots__ = ()
    name = "freeze"

    async def apply(self, deployment, target, rng, for_s):
        """Pause a gateway; see `Fault.apply`."""
        gateway = deployment.gateways[target]
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        gateway.send_signal(signal.SIGCONT)


class Reload(GatewayFault):
    """SIGHUP."""

    __slots__ = ()
    name = "reload"

    async def apply(self, deployment, target, rng, for_s):
        """Have a gateway read its settings; see `Fault.apply`."""
        deployment.gateways[target].send_signal(signal.SIGHUP)


class StoreLink(GatewayFault):
    """The connection of one gateway to the store is disturbed."""

    __slots__ = ()
    name = "store_link"

    async def apply(self, deployment, target, rng, for_s):
        """Disturb a gateway's way to the store; see `Fault.apply`."""
        await _disturb(deployment.gateways[target].store_proxy, rng, for_s)


class WorkerLink(Fault):
    """The way to one worker is disturbed."""

    __slots__ = ()
    name = "worker_link"

    def choose(self, deployment, rng):
        """Return the name of a worker."""
        return rng.choice(sorted(deployment.workers))

    async def apply(self, deployment, target, rng, for_s):
        """Disturb the way to a worker; see `Fault.apply`."""
        await _disturb(deployment.proxies[target], rng, for_s)


class WorkerFaults(WorkerLink):
    """A worker fails a share of its requests."""

    __slots__ = ()
    name = "worker_faults"

    async def apply(self, deployment, target, rng, for_s):
        """Let a worker fail requests; see `Fault.apply`."""
        worker = deployment.workers[target]
        worker.fault_share = rng.choice((0.1, 0.5))
        await asyncio.sleep(for_s)
        worker.fault_share = 0.0


class WorkerDrain(WorkerLink):
    """A worker says that it leaves, and a new start of it is there later."""

    __slots__ = ()
    name = "worker_drain"

    async def apply(self, deployment, target, rng, for_s):
        """Let a worker drain; see `Fault.apply`."""
        deployment.register(target, "draining")
        await asyncio.sleep(for_s + 3.0)
        deployment.store.delete(f"servers/{target}")
        await asyncio.sleep(0.5)
        deployment.restart_worker(target)


class StoreFault(Fault):
    """The whole store fails, forgets its history or ends its leases."""

    __slots__ = ()
    name = "store"

    def choose(self, deployment, rng):
        """Return ``store``."""
        return "store"

    async def apply(self, deployment, target, rng, for_s):
        """Disturb the store; see `Fault.apply`."""
        kind = rng.choice(("busy", "silent", "forget", "lapse"))
        store = deployment.store
        if kind == "forget":
            store.forget_history()
        elif kind == "lapse":
            store.end_leases()
        else:
            store.fault = kind
            await asyncio.sleep(for_s)
            store.fault = ""


class ConfigChange(StoreFault):
    """The operator writes the next configuration."""

    __slots__ = ()
    name = "config"

    async def apply(self, deployment, target, rng, for_s):
        """Write a configuration; see `Fault.apply`."""
        deployment.write_config(ROUTES)


FAULTS = [
    Kill(),
    Terminate(),
    Freeze(),
    Reload(),
    StoreLink(),
    WorkerLink(),
    WorkerFaults(),
    WorkerDrain(),
    StoreFault(),
    ConfigChange(),
]


async def _disturb(proxy, rng, for_s):
    mode = rng.choice(("delayed", "cut_to_server", "cut_to_client", "silent", "reset"))
    if mode == "reset":
        proxy.reset()
        return
    proxy.mode = mode
    log.info("proxy of %s is %s", proxy.target, mode)
    await asyncio.sleep(for_s)
    proxy.mode = "good"
    log.info("proxy of %s is good", proxy.target)


async def play_faults(deployment, rng, seconds, pause_s):
    """Inject faults in series that overlap; return the list of `Disturbance`.

    Parameters
    ----------
    deployment : Deployment
    rng : random.Random
    seconds, pause_s : float
        Time in which faults begin, and the mean pause between two of them.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    busy = {}
    disturbances = []

    async def play(fault, target, for_s):
        disturbance = Disturbance(fault.name, target, loop.time())
        disturbances.append(disturbance)
        log.info("%s %s for %.2f s", fault.name, target, for_s)
        try:
            await fault.apply(deployment, target, rng, for_s)
        finally:
            disturbance.ended_at = loop.time()
            del busy[fault.name, target]

    tasks = []
    while loop.time() < end:
        fault = rng.choice(FAULTS)
        target = fault.choose(deployment, rng)
        # One process is killed, stopped or frozen by one fault at a time.
        owned = [f for f, t in busy if t == target and isinstance(fault, GatewayFault)]
        if not owned and (fault.name, target) not in busy:
            busy[fault.name, target] = True
            tasks.append(asyncio.create_task(play(fault, target, rng.uniform(0.2, 3.0))))
        await asyncio.sleep(rng.uniform(0, 2 * pause_s))
    await asyncio.gather(*tasks)
    return disturbances
