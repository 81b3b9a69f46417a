"""A play of harmful parts: workers that crash under them, and a load at a fixed rate."""

import asyncio
import logging
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from medlarbeam.soak.crash_checker import CrashRequest, evaluate
from medlarbeam.soak.crash_kinds import REQUEST_KINDS, ROUTE
from medlarbeam.soak.deployment import ENGINE, HOST, SOURCE_TREE, Deployment
from medlarbeam.soak.failure_modes import FAILURE_MODES
from medlarbeam.soak.framings import FRAMINGS
from medlarbeam.soak.worker import SoakWorker

__all__ = ["CrashConfig", "CrashDeployment", "CrashWorker", "run_crash_play"]

log = logging.getLogger(__name__)

ADAPTERS = tuple(f"a{number}" for number in range(6))
PLACES = 24
SESSIONS = 40
SETTLE_S = 1.0  # from the readiness of the store to the first request
MAX_REGISTRATION_S = 0.6  # from the first connection of a start to the write of its entry


class CrashConfig:
    """Fault, load and size of a play.

    Parameters
    ----------
    way, framing, kind : str
        Names of a `FailureMode`, a `Framing` and a `RequestKind`.
    share : float
        Share of the requests with a harmful part.
    rate : float
        Requests per second.
    workers, gateways : int
    seconds : float
        Time (s) for which harmful requests are sent.
    before_s : float
        Time (s) of load without harmful requests before that.
    deadline_s : float
        Time (s) that a caller gives a request.
    back_s : float
        Time (s) from a crash until the worker is back.
    after_s : float
        Time (s) from the head of a harmful response to the crash; below 0, it has no head.
    probability : float
        Share of the harmful runs that crash a worker.
    parts : int
        Number of harmful parts.
    builds : tuple of pathlib.Path
        Source trees whose gateways run, in turn.
    """

    __slots__ = (
        "after_s",
        "back_s",
        "before_s",
        "builds",
        "deadline_s",
        "framing",
        "gateways",
        "kind",
        "parts",
        "probability",
        "rate",
        "seconds",
        "share",
        "way",
        "workers",
    )

    def __init__(
        self,
        way="closed",
        framing="chunked",
        kind="stream",
        share=0.05,
        rate=55.0,
        workers=8,
        gateways=4,
        seconds=15.0,
        back_s=2.0,
        after_s=0.05,
        probability=1.0,
        parts=1,
        builds=(SOURCE_TREE,),
        before_s=3.0,
        deadline_s=5.0,
    ):
        self.way = way
        self.framing = framing
        self.kind = kind
        self.share = share
        self.rate = rate
        self.workers = workers
        self.gateways = gateways
        self.seconds = seconds
        self.back_s = back_s
        self.after_s = after_s
        self.probability = probability
        self.parts = parts
        self.builds = builds
        self.before_s = before_s
        self.deadline_s = deadline_s

    def list_harmful_parts(self):
        """Return the harmful parts of prompts."""
        return [f"bad{number}" for number in range(self.parts)]


class CrashWorker(SoakWorker):
    """Worker that has all adapters from its start, and crashes under harmful parts only.

    Attributes
    ----------
    config : CrashConfig
    kind : RequestKind
    harmful_parts : frozenset of str
    """

    __slots__ = ("config", "harmful_parts", "kind")

    def __init__(self, name, rng, runs, order_records, arrivals, config):
        super().__init__(name, rng, runs, order_records, arrivals)
        self.config = config
        self.kind = REQUEST_KINDS[config.kind]
        self.failure_mode = FAILURE_MODES[config.way]
        self.framing = FRAMINGS[config.framing]
        self.harmful_parts = frozenset(config.list_harmful_parts())
        self.places = PLACES
        self.preloaded = ADAPTERS
        self.adapters.update(ADAPTERS)

    def is_harmful(self, headers):
        """Return whether the prompt of a request has a harmful part."""
        pairs = headers.get("x-prompt-prefix", "").split(",")
        return any(pair.partition(":")[0] in self.harmful_parts for pair in pairs)

    def runs_start(self, start):
        """Return whether a start of the worker still runs."""
        return self.incarnation == start and not self.crashed.is_set()

    def crash_start(self, start):
        """Crash, unless the start has crashed already."""
        if self.runs_start(start):
            self.crashed.set()

    async def _execute(self, writer, attempt, adapter, fault, headers):
        framing = self.framing.choose(self.rng, self.kind.is_stream)
        is_crash = self.is_harmful(headers) and self.rng.random() < self.config.probability
        after = int(headers.get("last-event-id", 0))
        crash_s = self.config.after_s if is_crash else None
        return await self.kind.respond(self, writer, attempt, after, framing, crash_s)


class CrashDeployment(Deployment):
    """Deployment of one route, whose workers fail as the play says.

    Parameters
    ----------
    folder : pathlib.Path
    rng : random.Random
    config : CrashConfig
    """

    __slots__ = ("config",)

    def __init__(self, folder, rng, config):
        self.config = config
        super().__init__(folder, rng, config.gateways, config.workers, config.builds)
        self.down_s = config.back_s
        self.routes = [REQUEST_KINDS[config.kind].build_route()]
        engine = ENGINE | {"slots": PLACES, "adapterCapacity": len(ADAPTERS)}
        self.services = [{"name": "llm", "engine": engine}]

    def build_workers(self, engines):
        """Return the workers of the route; see `Deployment.build_workers`."""
        lists = (self.runs, self.orders, self.arrivals)
        return [
            CrashWorker(f"engine-{number}", self.rng, *lists, self.config)
            for number in range(engines)
        ]

    async def bring_back(self, name):
        """Accept connections to the next start of a worker; its entry is written later."""
        worker = self.workers[name]
        worker.renew()
        await self.proxies[name].start()
        self.restarts.append(asyncio.create_task(self._register_later(worker)))

    async def _register_later(self, worker):
        start = worker.incarnation
        await asyncio.sleep(self.rng.uniform(0.0, MAX_REGISTRATION_S))
        if worker.runs_start(start):
            self.register(worker.name)


class CrashLoad:
    """Sends requests at a fixed rate to random gateways.

    Parameters
    ----------
    config : CrashConfig
    gateways : list of GatewayProcess
    rng : random.Random

    Attributes
    ----------
    requests : list of CrashRequest
    fault_since : float
        Time (s) from which harmful requests are sent.
    """

    __slots__ = ("config", "fault_since", "gateways", "kind", "requests", "rng")

    def __init__(self, config, gateways, rng):
        self.config = config
        self.kind = REQUEST_KINDS[config.kind]
        self.gateways = gateways
        self.rng = rng
        self.requests = []
        self.fault_since = 0.0

    async def run(self):
        """Send harmless requests for some time, then harmful ones too until the play ends."""
        loop = asyncio.get_running_loop()
        next_at = loop.time()
        self.fault_since = next_at + self.config.before_s
        end = self.fault_since + self.config.seconds
        timeout = ClientTimeout(total=self.config.deadline_s + 0.5)
        connector = TCPConnector(limit=0)
        async with ClientSession(timeout=timeout, connector=connector) as session:
            tasks = []
            while next_at < end:
                await asyncio.sleep(next_at - loop.time())
                tasks.append(asyncio.create_task(self._send(session, next_at)))
                next_at += 1.0 / self.config.rate
            await asyncio.gather(*tasks)

    def _send(self, session, now):
        """Draw a request, and return the coroutine that sends it."""
        is_harmful = self.rng.random() < self.config.share and now >= self.fault_since
        number = len(self.requests) + 1
        request = CrashRequest(f"{number:016x}", is_harmful, now)
        self.requests.append(request)
        parts = ["5e5e", f"{self.rng.randrange(SESSIONS):04x}aa"]
        if is_harmful:
            parts.append(self.rng.choice(self.config.list_harmful_parts()))
        parts.append(f"f{number:07x}")
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request.attempt,
            "X-Deadline-Ms": str(int(self.config.deadline_s * 1000)),
            "X-Model": f"m0/{self.rng.choice(ADAPTERS)}",
            "X-Token-Usage": "500,70",
            "X-Prompt-Prefix": ",".join(f"{part}:50" for part in parts),
        }
        gateway = self.rng.choice(self.gateways)
        url = f"http://{gateway.front_address}/{ROUTE}/x"
        return self._read(session, request, url, headers)

    async def _read(self, session, request, url, headers):
        body = b""
        is_complete = False
        try:
            async with session.post(url, headers=headers, data=b"q") as response:
                request.status = response.status
                async for data in response.content.iter_any():
                    body += data
                is_complete = True
        except (ClientError, OSError, TimeoutError) as error:
            log.info("the response to %s broke off: %r", request.attempt, error)
        if request.status == 200:
            request.is_begun = self.kind.is_begun(body)
            request.is_false_complete = is_complete and body != self.kind.build_body()


async def run_crash_play(seed, config, folder):
    """Run a play with one seed and return its `CrashResult`.

    Parameters
    ----------
    seed : int
    config : CrashConfig
    folder : pathlib.Path
        Directory for the settings and log files of the gateways.
    """
    rng = Random(seed)
    deployment = CrashDeployment(folder, Random(rng.random()), config)
    async with deployment:
        await asyncio.sleep(SETTLE_S)
        load = CrashLoad(config, list(deployment.gateways.values()), Random(rng.random()))
        await load.run()
    return evaluate(load.requests, deployment.runs, deployment.crashed_at, load.fault_since)
