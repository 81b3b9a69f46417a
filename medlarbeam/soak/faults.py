"""Faults injected into the processes and links of the soak, and their seeded schedule."""

import asyncio
import logging
import signal
from abc import ABC, abstractmethod
from base64 import b64decode
from random import Random

from medlarbeam.soak.callers import Caller
from medlarbeam.soak.deployment import EXPIRY_S, ROUTES
from medlarbeam.soak.failure_modes import FAILURE_MODES
from medlarbeam.soak.framings import FRAMINGS
from medlarbeam.soak.records import EndTime, FaultInterval
from medlarbeam.soak.worker import HARMFUL_PART
from medlarbeam.standins.platform_store import StoreCopy
from medlarbeam.standins.platform_worker import LEAVING_HEADER

__all__ = ["FAULTS", "RATE_LIMIT", "Fault", "inject_faults"]

log = logging.getLogger(__name__)

HARMFUL_S = 6.0
HARMFUL_CALLERS = 2
HARMFUL_EVENTS = (None, 0, 2)  # in a harmful response at the crash, None for no response head
DEREGISTERED_S = 0.5  # from the removal of the entry of a worker to its restart
LEAVE_STEP_S = 1.0
LEAVE_STEPS = (("entry",), ("header",), ("header", "entry"), ("entry", "header"))
REFUSAL_LIMIT = 2  # per second
REFUSALS_KNOWN_S = 3.0  # after which workers let no requests wait any more
RATE_LIMIT = 6.0  # requests per second
RATE_LIMIT_S = 5.0
STORE_LOSS_S = 12.0  # the takeover of a right takes about as long
TURN_S = 1.0  # pause of each worker of a service whose workers pause in turn
LONG_PAUSE_S = 6.0
# Each entry has the values of one response; those that are no number must not be acted on.
PAUSE_VALUES = (
    (),
    ("0.2",),
    (f"{LONG_PAUSE_S}",),
    ("soon",),
    ("-2",),
    ("",),
    ("Wed, 21 Oct 2026 07:28:00 GMT",),
    ("3", "3"),
)


class Fault(ABC):
    """One kind of fault."""

    __slots__ = ()

    name = ""

    @abstractmethod
    def choose(self, deployment, rng):
        """Return the name of a random target of this fault."""

    @abstractmethod
    async def apply(self, deployment, target, rng, duration_s):
        """Apply the fault to `target` for `duration_s` seconds."""


class GatewayFault(Fault):
    """A fault of one gateway process or of its link to the store."""

    __slots__ = ()

    def choose(self, deployment, rng):
        """Return the name of a gateway."""
        return rng.choice(sorted(deployment.gateways))


class Kill(GatewayFault):
    """SIGKILL, followed by a restart on the same addresses."""

    __slots__ = ()
    name = "kill"

    async def apply(self, deployment, target, rng, duration_s):
        """Kill a gateway; see `Fault.apply`."""
        gateway = deployment.gateways[target]
        gateway.send_signal(signal.SIGKILL)
        await gateway.process.wait()
        await asyncio.sleep(duration_s / 4)
        await gateway.start()


class Terminate(GatewayFault):
    """SIGTERM, followed by a restart once the process has exited."""

    __slots__ = ()
    name = "terminate"

    async def apply(self, deployment, target, rng, duration_s):
        """Shut a gateway down gracefully; see `Fault.apply`."""
        gateway = deployment.gateways[target]
        await gateway.stop()
        await gateway.start()


class Freeze(GatewayFault):
    """SIGSTOP, followed by SIGCONT."""

    __slots__ = ()
    name = "freeze"

    async def apply(self, deployment, target, rng, duration_s):
        """Pause a gateway; see `Fault.apply`."""
        gateway = deployment.gateways[target]
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        gateway.send_signal(signal.SIGCONT)


class Reload(GatewayFault):
    """SIGHUP, which makes the gateway reload its settings."""

    __slots__ = ()
    name = "reload"

    async def apply(self, deployment, target, rng, duration_s):
        """Make a gateway reload its settings; see `Fault.apply`."""
        deployment.gateways[target].send_signal(signal.SIGHUP)


class StoreLink(GatewayFault):
    """Network fault between one gateway and the store."""

    __slots__ = ()
    name = "store_link"

    async def apply(self, deployment, target, rng, duration_s):
        """Inject a fault into a gateway's link to the store; see `Fault.apply`."""
        await _inject_link_fault(deployment.gateways[target].store_proxy, rng, duration_s)


class StoreLoss(GatewayFault):
    """One gateway is without the store until others have taken its rights."""

    __slots__ = ()
    name = "store_loss"

    async def apply(self, deployment, target, rng, duration_s):
        """Cut a gateway off from the store; see `Fault.apply`."""
        proxy = deployment.gateways[target].store_proxy
        proxy.mode = rng.choice(("cut_to_server", "silent"))
        await asyncio.sleep(STORE_LOSS_S + duration_s)
        proxy.mode = "good"


class WorkerLink(Fault):
    """Network fault between the gateways and one worker."""

    __slots__ = ()
    name = "worker_link"

    def choose(self, deployment, rng):
        """Return the name of a worker."""
        return rng.choice(sorted(deployment.workers))

    async def apply(self, deployment, target, rng, duration_s):
        """Inject a fault into the link to a worker; see `Fault.apply`."""
        await _inject_link_fault(deployment.proxies[target], rng, duration_s)


class WorkerFaults(WorkerLink):
    """A worker fails a share of its requests."""

    __slots__ = ()
    name = "worker_faults"

    async def apply(self, deployment, target, rng, duration_s):
        """Make a worker fail requests; see `Fault.apply`."""
        worker = deployment.workers[target]
        worker.fault_probability = rng.choice((0.1, 0.5))
        await asyncio.sleep(duration_s)
        worker.fault_probability = 0.0


class WorkerLeave(WorkerLink):
    """A worker announces that it leaves, deregisters and is restarted.

    It says so in its entry, in all its answers, or in both, one after the other.
    """

    __slots__ = ()
    name = "worker_leave"

    async def apply(self, deployment, target, rng, duration_s):
        """Drain and restart a worker; see `Fault.apply`."""
        # Not drawn from `rng`, so that the faults of earlier seeds stay the same.
        steps = LEAVE_STEPS[int(duration_s * 1000) % len(LEAVE_STEPS)]
        log.info("%s leaves: %s", target, " ".join(steps))
        deployment.draining.add(target)
        for step in steps:
            if step == "entry":
                since = asyncio.get_running_loop().time()
                deployment.drains.append(FaultInterval("worker_drain", target, since))
                deployment.register(target, "draining")
            else:
                deployment.workers[target].leaving_header = LEAVING_HEADER
            await asyncio.sleep(LEAVE_STEP_S)
        await asyncio.sleep(duration_s + 3.0 - LEAVE_STEP_S)
        deployment.deregister(target)
        await asyncio.sleep(DEREGISTERED_S)
        deployment.draining.discard(target)
        deployment.restart_worker(target)


class HarmfulPart(Fault):
    """Callers send prompts with a part that crashes each worker that runs them.

    The failure mode of the workers, the framing of responses and the moment of the crash are drawn.
    """

    __slots__ = ()
    name = "harmful_part"

    def choose(self, deployment, rng):
        """Return ``callers``."""
        return "callers"

    async def apply(self, deployment, target, rng, duration_s):
        """Run callers whose prompts contain the harmful part; see `Fault.apply`."""
        # Not drawn from `rng`, so that the faults of earlier seeds stay the same.
        own_rng = Random(duration_s)
        mode = own_rng.choice(list(FAILURE_MODES.values()))
        framing = own_rng.choice(list(FRAMINGS.values()))
        events = own_rng.choice(HARMFUL_EVENTS)
        log.info("crashes: %s, responses: %s, events: %s", mode.name, framing.name, events)
        for worker in deployment.workers.values():
            worker.set_behaviour(mode, framing, events)
        end = EndTime(asyncio.get_running_loop().time() + HARMFUL_S)
        callers = [
            Caller(
                f"harmful-{len(deployment.harmful_requests)}-{number}",
                list(deployment.gateways.values()),
                Random(rng.random()),
                deployment.harmful_requests,
                ("5e5e", HARMFUL_PART),
                deployment.key_ring,
            )
            for number in range(HARMFUL_CALLERS)
        ]
        await asyncio.gather(*(caller.run(end) for caller in callers))
        for worker in deployment.workers.values():
            worker.set_behaviour(FAILURE_MODES["reset"], FRAMINGS["chunked"], None)


class RateLimit(WorkerLink):
    """A worker names the rate of requests that it takes."""

    __slots__ = ()
    name = "rate_limit"

    async def apply(self, deployment, target, rng, duration_s):
        """Make a worker name a limit; see `Fault.apply`."""
        worker = deployment.workers[target]
        worker.rate_limit = RATE_LIMIT
        await asyncio.sleep(duration_s + RATE_LIMIT_S)
        worker.rate_limit = None


class RefusalLimit(Fault):
    """The workers of a service crash when they have to refuse too many requests, and say so."""

    __slots__ = ()
    name = "refusal_limit"

    def choose(self, deployment, rng):
        """Return the common part of the names of a service's workers."""
        return rng.choice(("engine", "ledger"))

    async def apply(self, deployment, target, rng, duration_s):
        """Let the workers name a limit, and refuse what finds no place; see `Fault.apply`."""
        workers = [w for name, w in deployment.workers.items() if name.startswith(target)]
        for worker in workers:
            worker.refusal_limit = REFUSAL_LIMIT
        await asyncio.sleep(REFUSALS_KNOWN_S)
        for worker in workers:
            worker.has_room = False
        await asyncio.sleep(2 * duration_s)
        for worker in workers:
            worker.has_room = True
            worker.refusal_limit = None


class Pause(WorkerLink):
    """A worker turns requests away and asks for a pause: its rest, a short, long or bad value."""

    __slots__ = ()
    name = "pause"

    async def apply(self, deployment, target, rng, duration_s):
        """Let a worker pause; see `Fault.apply`."""
        await _pause([deployment.workers[target]], duration_s, rng.choice(PAUSE_VALUES))


class PauseMost(Fault):
    """All workers of a service but one pause at once."""

    __slots__ = ()
    name = "pause_most"

    def choose(self, deployment, rng):
        """Return ``engine``."""
        return "engine"

    async def apply(self, deployment, target, rng, duration_s):
        """Let most engines pause; see `Fault.apply`."""
        engines = [w for name, w in sorted(deployment.workers.items()) if name.startswith(target)]
        engines.remove(rng.choice(engines))
        await _pause(engines, duration_s)


class PauseTurns(PauseMost):
    """The workers of a service pause one after the other."""

    __slots__ = ()
    name = "pause_turns"

    async def apply(self, deployment, target, rng, duration_s):
        """Let each engine pause in turn; see `Fault.apply`."""
        for name, worker in sorted(deployment.workers.items()):
            if name.startswith(target):
                await _pause([worker], TURN_S)


async def _pause(workers, pause_s, values=()):
    """Let workers turn requests away for `pause_s` seconds."""
    until = asyncio.get_running_loop().time() + pause_s
    for worker in workers:
        worker.pause_values = values
        worker.paused_until = until
    await asyncio.sleep(pause_s)


class StoreFault(Fault):
    """The store rejects or ignores calls, discards its history or expires all leases."""

    __slots__ = ()
    name = "store"

    def choose(self, deployment, rng):
        """Return ``store``."""
        return "store"

    async def apply(self, deployment, target, rng, duration_s):
        """Inject a fault into the store; see `Fault.apply`."""
        kind = rng.choice(("busy", "silent", "forget", "lapse"))
        store = deployment.store
        if kind == "forget":
            store.compact_history()
        elif kind == "lapse":
            store.revoke_all_leases()
        else:
            store.injected_fault = kind
            await asyncio.sleep(duration_s)
            store.injected_fault = ""


class StoreSetBack(StoreFault):
    """The store comes back from an older copy; the operator and the workers write again."""

    __slots__ = ()
    name = "store_set_back"

    async def apply(self, deployment, target, rng, duration_s):
        """Set the store back; see `Fault.apply`."""
        store = deployment.store
        copy = StoreCopy(store)
        await asyncio.sleep(3 * duration_s)
        store.injected_fault = "busy"
        await asyncio.sleep(duration_s)
        before = {k: i for k, i in store.items.items() if k.startswith(("op/", "servers/"))}
        store.set_back(copy)
        store.injected_fault = ""
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        for key, item in before.items():
            if item is not copy.items.get(key) and store.items.get(key) is copy.items.get(key):
                store.put(key, b64decode(item.value))
        await asyncio.sleep(EXPIRY_S)
        for key in copy.items.keys() - before.keys():
            if key.startswith("servers/") and store.items.get(key) is copy.items[key]:
                store.delete(key)


class StoreSilence(StoreFault):
    """All open connections of the gateways to the store go silent for good; new ones work."""

    __slots__ = ()
    name = "store_silence"

    async def apply(self, deployment, target, rng, duration_s):
        """Silence the open connections to the store; see `Fault.apply`."""
        counts = [gateway.store_proxy.silence() for gateway in deployment.gateways.values()]
        log.info("connections to the store that went silent, by gateway: %s", counts)


class ConfigChange(StoreFault):
    """An operator publishes a new version of the configuration."""

    __slots__ = ()
    name = "config"

    async def apply(self, deployment, target, rng, duration_s):
        """Write the next configuration version; see `Fault.apply`."""
        deployment.write_config(ROUTES)


FAULTS = [
    Kill(),
    Terminate(),
    Freeze(),
    Reload(),
    StoreLink(),
    StoreLoss(),
    WorkerLink(),
    WorkerFaults(),
    WorkerLeave(),
    HarmfulPart(),
    RateLimit(),
    RefusalLimit(),
    Pause(),
    PauseMost(),
    PauseTurns(),
    StoreFault(),
    StoreSetBack(),
    StoreSilence(),
    ConfigChange(),
]


async def _inject_link_fault(proxy, rng, duration_s):
    mode = rng.choice(("delayed", "cut_to_server", "cut_to_client", "silent", "reset"))
    if mode == "reset":
        proxy.reset()
        return
    proxy.mode = mode
    log.info("proxy to %s switched to mode %s", proxy.target, mode)
    await asyncio.sleep(duration_s)
    proxy.mode = "good"
    log.info("proxy to %s forwards normally again", proxy.target)


async def inject_faults(deployment, rng, seconds, pause_s, faults=FAULTS):
    """Inject random faults, which may overlap; return the list of `FaultInterval`.

    Parameters
    ----------
    deployment : Deployment
    rng : random.Random
    seconds, pause_s : float
        Period during which faults are started, and the mean pause between two of them.
    faults : list of Fault
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    active_faults = {}
    fault_intervals = []

    async def run_fault(fault, target, duration_s):
        interval = FaultInterval(fault.name, target, loop.time())
        fault_intervals.append(interval)
        log.info("injecting fault %s into %s for %.2f s", fault.name, target, duration_s)
        try:
            await fault.apply(deployment, target, rng, duration_s)
        finally:
            interval.ended_at = loop.time()
            del active_faults[fault.name, target]

    tasks = []
    while loop.time() < end:
        fault = rng.choice(faults)
        target = fault.choose(deployment, rng)
        # A gateway process is subject to at most one fault at a time.
        conflicting = [
            f for f, t in active_faults if t == target and isinstance(fault, GatewayFault)
        ]
        if not conflicting and (fault.name, target) not in active_faults:
            active_faults[fault.name, target] = True
            tasks.append(asyncio.create_task(run_fault(fault, target, rng.uniform(0.2, 3.0))))
        await asyncio.sleep(rng.uniform(0, 2 * pause_s))
    await asyncio.gather(*tasks)
    return fault_intervals
