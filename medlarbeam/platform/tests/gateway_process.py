"""A gateway as a process of its own, with a stand-in store and one stand-in worker."""

import asyncio
import os

from aiohttp import ClientError, ClientSession
from aiohttp.web import AppRunner
from orjson import dumps

from medlarbeam.soak.deployment import START_TIMEOUT_S, GatewayProcess, choose_host
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.platform_store import PlatformStore
from medlarbeam.standins.platform_worker import PlatformWorker

__all__ = ["HOST", "SingleGateway"]

HOST = "h.example"
SOURCE_TREE = __file__.rpartition("/medlarbeam/")[0]
ANSWER_LIMIT_S = 20.0


class SingleGateway:
    """Store, worker and one gateway process, as an asynchronous context manager.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings and log files.
    limits : dict
        Limits of the configuration.
    bounds : str
        Lines of the section ``bounds`` of the settings file.
    """

    __slots__ = ("addresses", "gateway", "log", "runner", "store", "worker")

    def __init__(self, folder, limits, bounds=""):
        host = choose_host(os.getpid())
        self.addresses = [
            f"{host}:{a.rpartition(':')[2]}" for a in find_free_addresses(5)
        ]  # front, ready, nodes, metrics, store
        front, ready, nodes, metrics, store = self.addresses
        ports = [int(a.rpartition(":")[2]) for a in (nodes, metrics)]
        path = folder / "gw.toml"
        path.write_text(
            f'nodeName = "gw"\nip = "{host}"\nzone = "z1"\ninternalPorts = {ports}\n'
            f'[listen]\nfront = "{front}"\nreadyAddr = "{ready}"\n[bounds]\n{bounds}\n'
            f'[platform]\naddress = "{store}"\n',
            encoding="utf-8",
        )
        self.log = (folder / "gw.log").open("wb")
        self.gateway = GatewayProcess("gw", front, ready, path, self.log, None, SOURCE_TREE)
        self.worker = PlatformWorker("l1")
        self.store = PlatformStore()
        route = {"name": "pay", "host": HOST, "pathPrefix": "/pay/", "routeKind": "non_idempotent"}
        route |= {"timeoutMs": ANSWER_LIMIT_S * 1000, "goalLatencyMs": 400, "service": "ledger"}
        route |= {"attempts": 1, "priority": 0}
        config = {"version": 1, "limits": limits, "routes": [route]}
        self.store.put("op/config", dumps({**config, "services": [{"name": "ledger"}]}))
        self.runner = AppRunner(self.store.build_app(), shutdown_timeout=1.0)

    async def __aenter__(self):
        await self.runner.setup()
        host, _, port = self.addresses[4].rpartition(":")
        await asyncio.get_running_loop().create_server(self.runner.server, host, int(port))
        await self.worker.start()
        document = {"service": "ledger", "address": self.worker.address, "zone": "z1"}
        document |= {"coldRemainingMs": 0, "seq": 1}
        document |= {"version": "v1", "slots": 4, "state": "ready", "born": 1, "models": []}
        self.store.put("servers/l1", dumps(document))
        await self.gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *error):
        await self.gateway.stop()
        self.log.close()
        self.worker.stop()
        await self.runner.cleanup()

    async def is_ready(self):
        try:
            async with (
                ClientSession() as session,
                session.get(f"http://{self.gateway.ready_address}/") as response,
            ):
                return response.status == 200
        except ClientError:
            return False

    async def pay(self):
        """Return the status of an ordinary request, or the name of the error."""
        headers = {"Host": HOST, "X-Attempt-Id": "ordinary", "X-Deadline-Ms": "20000"}
        url = f"http://{self.gateway.front_address}/pay/1"
        try:
            async with (
                asyncio.timeout(ANSWER_LIMIT_S),
                ClientSession() as session,
                session.post(url, headers=headers, data=b"order") as response,
            ):
                await response.read()
                return response.status
        except (ClientError, OSError, TimeoutError) as error:
            return type(error).__name__

    def read_memory(self):
        """Return the resident memory of the process and its peak (MB)."""
        with open(f"/proc/{self.gateway.process.pid}/status", encoding="utf-8") as file:
            fields = dict(line.split(":", 1) for line in file)
        return [int(fields[name].split()[0]) // 1024 for name in ("VmRSS", "VmHWM")]

    def count_descriptors(self):
        """Return the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.gateway.process.pid}/fd"))
