"""Faults of the soak of long streams: links of one gateway, all gateways at once, late bytes."""

import asyncio
import logging
import signal

from medlarbeam.soak.faults import Fault, GatewayFault, WorkerLink
from medlarbeam.soak.release_faults import RELEASE_FAULTS

__all__ = ["STREAM_FAULTS", "GatewayRelease", "LateBytes", "PeerCut", "PowerLoss", "WorkerCut"]

log = logging.getLogger(__name__)

CUTS = ("silent", "refused")
LATE_SHARE = 0.4  # of the streams of a worker that sends late bytes
MAX_STEP_S = 0.5  # between two gateways that are stopped in turn
MAX_OFF_S = 1.0  # from the end of all gateways to their start


async def cut_links(links, kind, duration_s):
    """Cut links for `duration_s` seconds; `kind` is one of `CUTS`."""
    for link in links:
        link.cut(kind)
    await asyncio.sleep(duration_s)
    for link in links:
        await link.restore()


class WorkerCut(GatewayFault):
    """One gateway is cut off from all workers; callers, store and other gateways reach it."""

    __slots__ = ()
    name = "worker_cut"

    async def apply(self, deployment, target, rng, duration_s):
        """Cut the links of a gateway to the workers; see `Fault.apply`."""
        kind = rng.choice(CUTS)
        log.info("%s is cut off from the workers: %s", target, kind)
        deployment.cut_from_workers(target, kind)
        await asyncio.sleep(duration_s)
        await deployment.reconnect_to_workers(target)
        log.info("%s reaches the workers again", target)


class PeerCut(GatewayFault):
    """One gateway and some others reach one another by neither datagrams nor requests."""

    __slots__ = ()
    name = "peer_cut"

    async def apply(self, deployment, target, rng, duration_s):
        """Cut the links between gateways in both directions; see `Fault.apply`."""
        peers = sorted(deployment.peer_links[target])
        cut_off = rng.sample(peers, rng.randint(1, len(peers))) if peers else []
        kind = rng.choice(CUTS)
        log.info("%s is cut off from %s: %s", target, " ".join(cut_off), kind)
        links = [deployment.peer_links[target][name] for name in cut_off]
        links += [deployment.peer_links[name][target] for name in cut_off]
        await cut_links(links, kind, duration_s)
        log.info("%s reaches %s again", target, " ".join(cut_off))


class PowerLoss(Fault):
    """All gateways are killed at once and started again, one after the other."""

    __slots__ = ()
    name = "power_loss"

    def choose(self, deployment, rng):
        """Return ``gateways``."""
        return "gateways"

    async def apply(self, deployment, target, rng, duration_s):
        """Kill all gateways; see `Fault.apply`."""
        gateways = list(deployment.gateways.values())
        for gateway in gateways:
            gateway.send_signal(signal.SIGKILL)
        await asyncio.gather(*(gateway.process.wait() for gateway in gateways))
        await asyncio.sleep(rng.uniform(0.0, MAX_OFF_S))
        for gateway in gateways:
            await gateway.start()
            await asyncio.sleep(rng.uniform(0.0, 0.1))


class GatewayRelease(PowerLoss):
    """Gateways are stopped as planned and started again, one after the other."""

    __slots__ = ()
    name = "gateway_release"

    async def apply(self, deployment, target, rng, duration_s):
        """Stop and start all gateways in turn; see `Fault.apply`."""
        gateways = list(deployment.gateways.values())
        for gateway in rng.sample(gateways, len(gateways)):
            status = await gateway.stop()
            log.info("%s ended with status %s at a planned stop", gateway.name, status)
            await gateway.start()
            await asyncio.sleep(rng.uniform(0.0, MAX_STEP_S))


class LateBytes(WorkerLink):
    """A worker stalls and goes on, or writes the end of a stream again before the next answer."""

    __slots__ = ()
    name = "late_bytes"

    def choose(self, deployment, rng):
        """Return the name of an engine."""
        return rng.choice([n for n in sorted(deployment.workers) if n.startswith("engine")])

    async def apply(self, deployment, target, rng, duration_s):
        """Let a worker send late bytes; see `Fault.apply`."""
        worker = deployment.workers[target]
        worker.late_share = LATE_SHARE
        await asyncio.sleep(duration_s)
        worker.late_share = 0.0


STREAM_FAULTS = [
    *RELEASE_FAULTS,
    WorkerCut(),
    PeerCut(),
    PowerLoss(),
    GatewayRelease(),
    LateBytes(),
]
