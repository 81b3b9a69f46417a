"""Gateway processes with an in-process store and workers behind fault-injecting proxies."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, create_subprocess_exec
from contextlib import suppress
from pathlib import Path

from aiohttp.web import AppRunner
from orjson import dumps

from medlarbeam.soak.links import PeerLink, WorkerLinks, build_store_front
from medlarbeam.soak.proxy import FaultProxy
from medlarbeam.soak.worker import SoakWorker
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.platform_store import PlatformStore

__all__ = [
    "ADAPTERS",
    "ADAPTER_CAPACITY",
    "EXPIRY_S",
    "Deployment",
    "GatewayProcess",
    "build_route",
]

SOURCE_TREE = Path(__file__).resolve().parent.parent.parent
HOST = "soak.example"
ADAPTER_CAPACITY = 3
ADAPTERS = 8
START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0
DRAIN_S = 2.0
CRASH_DOWN_S = 1.5
HEARTBEAT_S = 1.2  # between two writes of the entry of a worker
EXPIRY_S = 3 * HEARTBEAT_S  # until the entry of a worker that is gone expires
ORDER_GAP_S = 3.0  # minimum gap between orders of two holders of the order right
ENGINE = {
    "slots": 4,
    "weightsMb": 100.0,
    "adapterCapacity": ADAPTER_CAPACITY,
    "loadsPerS": 7.0,
    "models": [{"name": "m0", "weightsMb": 50.0, "loadTimeS": 1.0, "adapterSizeMb": 1.0}],
}


def choose_host(process_id):
    """Return a loopback address of its own for the gateways of a process.

    Other programs take free ports of 127.0.0.1, also those of a gateway that is started again.
    """
    first = 64 | process_id >> 16 & 63
    return f"127.{first}.{process_id >> 8 & 255}.{process_id & 255}"


def build_route(name, kind, service, **fields):
    """Return the configuration document of a route."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 2500,
        "goalLatencyMs": 500,
        "service": service,
        "attempts": 2,
        "priority": 0,
        **fields,
    }


ROUTES = [
    build_route("read", "idempotent", "ledger"),
    build_route("pay", "non_idempotent", "ledger", attempts=1),
    build_route("chat", "streaming", "llm", resumable=True, gapAimMs=250),
    build_route("draft", "streaming", "llm", attempts=1, gapAimMs=250, priority=2),
    build_route("story", "streaming", "llm", resumable=True, gapAimMs=500, timeoutMs=8000),
]


class GatewayProcess:
    """A gateway process with its settings file, log file and proxy to the store.

    Attributes
    ----------
    build : pathlib.Path
        Directory of the source tree whose gateway it runs.
    """

    __slots__ = (
        "build",
        "front_address",
        "is_starting",
        "log",
        "name",
        "process",
        "ready_address",
        "settings_path",
        "store_proxy",
    )

    def __init__(self, name, front_address, ready_address, settings_path, log, store_proxy, build):
        self.build = build
        self.name = name
        self.front_address = front_address
        self.ready_address = ready_address
        self.settings_path = settings_path
        self.log = log
        self.store_proxy = store_proxy
        self.process = None
        self.is_starting = False

    async def start(self):
        """Start the gateway as a child process, unless one runs."""
        # Faults of one gateway and of all overlap, and each of them starts it again.
        if self.is_starting or (self.process is not None and self.process.returncode is None):
            return
        self.is_starting = True
        try:
            await self._spawn()
        finally:
            self.is_starting = False

    async def _spawn(self):
        env = {**os.environ, "MEDLARBEAM_CONFIG": str(self.settings_path)}
        self.process = await create_subprocess_exec(
            sys.executable,
            "-m",
            "medlarbeam.platform",
            env=env,
            stdin=DEVNULL,
            stdout=self.log,
            cwd=self.build,
        )

    def send_signal(self, number):
        """Send a signal to the process if it is still running."""
        if self.process.returncode is None:
            with suppress(ProcessLookupError):  # it has ended, and its status was not read yet
                os.kill(self.process.pid, number)

    async def stop(self):
        """Terminate the process, by SIGKILL after `STOP_TIMEOUT_S`; return its exit status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.process.wait()


class Deployment:
    """Store, workers and gateways of one run, as an asynchronous context manager.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings and log files.
    rng : random.Random
    gateways, engines : int
        Number of gateway processes and of LLM workers.
    builds : list of pathlib.Path
        Source trees whose gateways run, in turn; this one by default.

    Attributes
    ----------
    states : dict of str to str
        State in the entry of each worker that runs and is registered.
    proxies : dict of str to WorkerLinks
        Links of all gateways to each worker.
    peer_links : dict of str to dict of str to PeerLink
        Links of each gateway to each other one.
    worker_cuts : dict of str to str
        Kind of the cut of each gateway that is cut off from all workers; see `GatewayLink.cut`.
    sequence : int
        Counts the heartbeats.
    drains : list of FaultInterval
        Periods in which the entry of a worker says that it drains, until its next incarnation.
    down_s : float
        Time (s) from the crash of a worker until it is back.
    routes, services : list of dict
        Documents of the configuration.
    """

    __slots__ = (
        "arrivals",
        "builds",
        "crashed_at",
        "down_s",
        "draining",
        "drains",
        "folder",
        "gateway_names",
        "gateways",
        "harmful_requests",
        "orders",
        "peer_links",
        "proxies",
        "restarts",
        "rng",
        "routes",
        "runners",
        "runs",
        "sequence",
        "services",
        "states",
        "store",
        "version",
        "worker_cuts",
        "workers",
    )

    def __init__(self, folder, rng, gateways=3, engines=3, builds=(SOURCE_TREE,)):
        self.builds = list(builds)
        self.states = {}
        self.sequence = 0
        self.folder = folder
        self.rng = rng
        self.runs = []
        self.orders = []
        self.arrivals = []
        self.drains = []
        self.store = PlatformStore()
        self.workers = {worker.name: worker for worker in self.build_workers(engines)}
        self.down_s = CRASH_DOWN_S
        self.routes = ROUTES
        self.services = [{"name": "ledger"}, {"name": "llm", "engine": ENGINE}]
        self.proxies = {}
        self.crashed_at = []
        self.draining = set()
        self.harmful_requests = []
        self.restarts = []
        self.gateways = {}
        self.gateway_names = [f"gw-{index}" for index in range(gateways)]
        self.peer_links = {}
        self.worker_cuts = {}
        self.runners = []
        self.version = 0

    def build_workers(self, engines):
        """Return the workers, `engines` of which are of the LLM."""
        names = [f"engine-{i}" for i in range(engines)] + ["ledger-0", "ledger-1"]
        return [SoakWorker(n, self.rng, self.runs, self.orders, self.arrivals) for n in names]

    async def __aenter__(self):
        for worker in self.workers.values():
            await self.start_worker(worker)
        self.restarts.append(asyncio.create_task(self.keep_writing_entries()))
        self.write_config(self.routes)
        host = choose_host(os.getpid())
        free = [
            f"{host}:{a.rpartition(':')[2]}"
            for a in find_free_addresses(5 * len(self.gateway_names))
        ]
        addresses = {name: free[5 * i : 5 * i + 5] for i, name in enumerate(self.gateway_names)}
        for name in self.gateway_names:
            links = {n: PeerLink(a[2]) for n, a in addresses.items() if n != name}
            self.peer_links[name] = links
            for link in links.values():
                await link.start()
        for index, name in enumerate(self.gateway_names):
            await self._add_gateway(name, f"fd-{index % 2}", addresses[name])
        async with asyncio.timeout(START_TIMEOUT_S):
            while (
                len(self.store.items)
                < len(self.gateway_names) + len(self.workers) + 1 + self._count_engines()
            ):
                await asyncio.sleep(0.05)
        return self

    def _count_engines(self):
        return sum(1 for name in self.workers if name.startswith("engine"))

    def list_worker_links(self, gateway):
        """Return the links of a gateway to the workers, by their names."""
        return {name: group.links[gateway] for name, group in self.proxies.items()}

    def cut_from_workers(self, gateway, kind):
        """Cut a gateway off from all workers, also from those that come; see `GatewayLink.cut`."""
        self.worker_cuts[gateway] = kind
        for link in self.list_worker_links(gateway).values():
            link.cut(kind)

    async def reconnect_to_workers(self, gateway):
        """End the cut of a gateway."""
        del self.worker_cuts[gateway]
        for link in self.list_worker_links(gateway).values():
            await link.restore()

    async def _start_store_front(self, gateway, address):
        app = build_store_front(
            self.store, lambda: self.list_worker_links(gateway), self.peer_links[gateway]
        )
        # A call without a response from the store would delay the shutdown by a minute.
        runner = AppRunner(app, shutdown_timeout=1.0)
        self.runners.append(runner)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_server(runner.server, host, int(port))

    async def _add_gateway(self, name, domain, addresses):
        front_address, ready_address, peers, metrics, store_address = addresses
        await self._start_store_front(name, store_address)
        proxy = FaultProxy(store_address)
        await proxy.start()
        path = self.folder / f"{name}.toml"
        ports = [int(a.rpartition(":")[2]) for a in (peers, metrics)]
        path.write_text(
            f'nodeName = "{name}"\nip = "{peers.rpartition(":")[0]}"\n'
            f'zone = "{domain}"\ninternalPorts = {ports}\n'
            f'[listen]\nfront = "{front_address}"\nreadyAddr = "{ready_address}"\n'
            f"[bounds]\nleaseMs = {int(ORDER_GAP_S * 1000)}\ndrainMs = {int(DRAIN_S * 1000)}\n"
            "graceS = 8\nretryBudgetExtra = 60\n"
            f'[platform]\naddress = "{proxy.address}"\n',
            encoding="utf-8",
        )
        log = (self.folder / f"{name}.log").open("wb")
        build = self.builds[len(self.gateways) % len(self.builds)]
        gateway = self.gateways[name] = GatewayProcess(
            name, front_address, ready_address, path, log, proxy, build
        )
        await gateway.start()

    async def __aexit__(self, *error):
        for task in self.restarts:
            task.cancel()
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways.values()))
        for gateway in self.gateways.values():
            gateway.store_proxy.stop()
            gateway.log.close()
        for name, worker in self.workers.items():
            self.proxies[name].stop()
            worker.stop()
        for link in (link for links in self.peer_links.values() for link in links.values()):
            link.stop()
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))

    async def start_worker(self, worker):
        """Start a worker behind a link of each gateway, and register it."""
        await worker.start()
        proxy = self.proxies[worker.name] = WorkerLinks(worker.address, self.gateway_names)
        for gateway, kind in self.worker_cuts.items():
            proxy.links[gateway].cut(kind)
        await proxy.start()
        self.register(worker.name)
        self.restarts.append(asyncio.create_task(self.keep_restarting(worker.name)))

    async def keep_writing_entries(self):
        """Write the entry of each registered worker again at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            for name, state in list(self.states.items()):
                self.register(name, state)

    def deregister(self, name):
        """Delete the entry of a worker."""
        self.states.pop(name, None)
        self.store.delete(f"servers/{name}")

    def take_down(self, name):
        """Reset all connections of a worker and refuse new ones; it writes no heartbeats."""
        self.states.pop(name, None)
        self.proxies[name].stop()

    async def bring_up(self, name, software, registration_s):
        """Start a worker again under its name and at its address, as a new start.

        Parameters
        ----------
        name, software : str
        registration_s : float
            Time (s) from its first connection to the write of its entry.
        """
        worker = self.workers[name]
        worker.software = software
        worker.renew()
        await self.proxies[name].start()
        await asyncio.sleep(registration_s)
        self.register(name)

    def register(self, name, state="ready"):
        """Write the registration of a worker to the store."""
        self.states[name] = state
        worker = self.workers[name]
        is_engine = name.startswith("engine")
        adapters = [f"{adapter}@1" for adapter in worker.preloaded]
        document = {
            "service": "llm" if is_engine else "ledger",
            "address": self.proxies[name].address,
            "zone": f"fd-{int(name[-1]) % 2}",
            "slots": worker.places,
            "coldRemainingMs": 0,
            "state": state,
            "seq": self.sequence,
            "version": worker.software,
            "born": worker.incarnation,
            "models": [{"name": "m0", "version": 1, "adapters": adapters}] if is_engine else [],
        }
        self.store.put(f"servers/{name}", dumps(document))

    def restart_worker(self, name):
        """Register a new incarnation of a worker, which has no adapters loaded."""
        worker = self.workers[name]
        is_leaving = name in self.draining
        worker.renew()
        if not is_leaving:
            worker.leaving_header = b""
            for drain in self.drains:
                if drain.target == name:
                    drain.ended_at = min(drain.ended_at, asyncio.get_running_loop().time())
        # A worker that crashes while it drains is still to leave.
        self.register(name, "draining" if is_leaving else "ready")

    async def keep_restarting(self, name):
        """Restart a worker some time after each crash; see `FailureMode` for the meantime."""
        worker, proxy = self.workers[name], self.proxies[name]
        while True:
            await worker.crashed.wait()
            self.crashed_at.append(asyncio.get_running_loop().time())
            self.states.pop(name, None)
            worker.failure_mode.fail(proxy)
            await self._stay_down(name)
            worker.crashed.clear()
            await self.bring_back(name)

    async def _stay_down(self, name):
        """Wait until a worker is back; its entry expires if that takes long."""
        if self.down_s > EXPIRY_S:
            await asyncio.sleep(EXPIRY_S)
            self.deregister(name)
            await asyncio.sleep(self.down_s - EXPIRY_S)
        else:
            await asyncio.sleep(self.down_s)

    async def bring_back(self, name):
        """Accept connections to a worker that has crashed, and register its next start."""
        await self.proxies[name].start()
        self.restart_worker(name)

    def write_config(self, routes):
        """Write the next version of the configuration to the store."""
        self.version += self.rng.randint(1, 3)
        document = {
            "version": self.version,
            "limits": {},
            "routes": routes,
            "services": self.services,
        }
        self.store.put("op/config", dumps(document))
