"""One gateway process amid stand-ins that behave like the rest of a deployment."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, create_subprocess_exec
from pathlib import Path

from aiohttp.web import AppRunner
from orjson import loads

from medlarbeam.bench.gateway_fleet import CONCURRENCY, EVENT_S, PLAIN_CONCURRENCY
from medlarbeam.bench.recorded_peers import RecordedPeers
from medlarbeam.classes.peer_messages import HoldingReport
from medlarbeam.platform.documents import (
    CONFIG_KEY,
    NODE_PREFIX,
    RIGHT_PREFIX,
    SERVER_PREFIX,
    STREAMS_PREFIX,
    encode_node,
    encode_right,
    encode_stream_report,
)
from medlarbeam.readwrite.peer_frames import encode_datagram
from medlarbeam.soak.deployment import choose_host
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.paced_worker import PacedWorker
from medlarbeam.standins.platform_caller import PlatformCaller
from medlarbeam.standins.platform_documents import encode_config, encode_server
from medlarbeam.standins.platform_store import PlatformStore

__all__ = ["ProcessDay"]

SOURCE_TREE = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2  # between two writes of the entry of a backend server
SETTLE_S = 4.0  # after the start, in which the gateway takes its order rights
WARM_UP_S = 2.0  # of traffic before the account begins
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
EVENTS = 10
WORK_S = 0.02
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ProcessDay:
    """Store, backend servers, peers and callers around one gateway process.

    Parameters
    ----------
    seed : int
    size : FleetSize
    seconds : float
        Time for which the processor time is recorded.
    folder : pathlib.Path
        Directory for the settings, the log and the account of the gateway.
    """

    __slots__ = (
        "account_path",
        "addresses",
        "caller",
        "fleet",
        "folder",
        "ready_cpu_s",
        "seconds",
        "servers",
        "settings_path",
        "size",
        "store",
    )

    def __init__(self, seed, size, seconds, folder):
        self.size = size
        self.seconds = seconds
        self.folder = folder
        self.account_path = folder / "account.json"
        self.settings_path = folder / "gateway.toml"
        host = choose_host(os.getpid())
        free = [a.rpartition(":")[2] for a in find_free_addresses(5)]
        self.addresses = [f"{host}:{port}" for port in free]
        self.store = PlatformStore()
        self.ready_cpu_s = 0.0
        self.caller = PlatformCaller(self.addresses[0])
        self.fleet = RecordedPeers(seed, size)
        end = self.fleet.now + WARM_UP_S + seconds
        self.fleet.schedule_traffic(self.fleet.now, end)
        self.fleet.run_until(end)
        self.servers = {
            name: PacedWorker(
                name,
                CONCURRENCY if host.entry.models else PLAIN_CONCURRENCY,
                WORK_S,
                EVENT_S,
                EVENTS,
            )
            for name, host in self.fleet.hosts.items()
        }

    async def run(self):
        """Play the day and return the account of the gateway as a dict."""
        runner = AppRunner(self.store.build_app(), shutdown_timeout=1.0)
        await runner.setup()
        tasks = []
        try:
            host, _, port = self.addresses[4].rpartition(":")
            await asyncio.get_running_loop().create_server(runner.server, host, int(port))
            for name, server in self.servers.items():
                entry = self.fleet.hosts[name].entry
                server.adapters = {key.adapter for key in entry.adapters}
                await server.start()
            tasks.append(asyncio.create_task(self._write_servers()))
            await self._play(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for server in self.servers.values():
                server.crash()
            await runner.cleanup()
        return loads(self.account_path.read_bytes())

    async def _play(self, tasks):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(self.addresses[0].partition(":")[0], 0)
        )
        self._write_nodes(":".join(str(part) for part in transport.get_extra_info("sockname")))
        process = await self._start_gateway()
        try:
            await self._wait_for_start(process)
            await asyncio.sleep(SETTLE_S)
            begin = loop.time()
            tasks.append(asyncio.create_task(self._send_datagrams(transport, begin)))
            tasks.append(asyncio.create_task(self._write_reports(begin)))
            calls = asyncio.create_task(self.caller.run(self.fleet.arrivals, begin))
            tasks.append(calls)
            await asyncio.sleep(WARM_UP_S)
            process.send_signal(signal.SIGUSR1)
            await asyncio.sleep(self.seconds)
            process.send_signal(signal.SIGUSR2)
            async with asyncio.timeout(START_TIMEOUT_S):
                while not self.account_path.exists():
                    await asyncio.sleep(0.05)
            await calls
        finally:
            transport.close()
            await stop_process(process)

    # The gateway

    async def _start_gateway(self):
        front, ready, nodes, metrics, store = self.addresses
        ports = [int(a.rpartition(":")[2]) for a in (nodes, metrics)]
        self.settings_path.write_text(
            f'nodeName = "{self.fleet.measured}"\nip = "{front.partition(":")[0]}"\n'
            f'zone = "{self.fleet.find_measured_domain()}"\n'
            f'internalPorts = {ports}\n[listen]\nfront = "{front}"\nreadyAddr = "{ready}"\n'
            "[bounds]\nconfigApplyMs = 3000\ndrainMs = 3000\nretryBudgetExtra = 212\n"
            f'[platform]\naddress = "{store}"\n',
            encoding="utf-8",
        )
        # Without the certificates of the system, like `medlarbeam.platform.__main__`.
        env = {**os.environ, "SSL_CERT_FILE": os.devnull}
        env["MEDLARBEAM_CONFIG"] = str(self.settings_path)
        with (self.folder / "gateway.log").open("wb") as log:
            return await create_subprocess_exec(
                sys.executable,
                "-m",
                "medlarbeam.bench.metered_gateway",
                str(self.account_path),
                env=env,
                stdin=DEVNULL,
                stdout=log,
                cwd=SOURCE_TREE,
            )

    async def _wait_for_start(self, process):
        host, _, port = self.addresses[1].rpartition(":")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await is_ready(host, int(port)):
                await asyncio.sleep(0.05)
        self.ready_cpu_s = read_cpu_s(process.pid)

    # The store and the peers

    def _write_nodes(self, peer_address):
        for key, value in self.fleet.store.items():
            kind, _, name = key.partition("/")
            if kind == "config":
                self.store.put(CONFIG_KEY, encode_config(value))
            elif kind == "node" and name != self.fleet.measured:
                value.address = peer_address
                self.store.put(NODE_PREFIX + name, encode_node(value))
            elif kind == "right" and value.node != self.fleet.measured:
                self.store.put(RIGHT_PREFIX + name, encode_right(value.node, 0))

    async def _write_servers(self):
        """Write the entries of the backend servers again and again, each at its own time."""
        names = list(self.servers)
        while True:
            for name in names:
                document = encode_server(self.fleet.hosts[name].entry, self.servers[name].address)
                self.store.put(SERVER_PREFIX + name, document)
                await asyncio.sleep(HEARTBEAT_S / len(names))

    async def _write_reports(self, begin):
        loop = asyncio.get_running_loop()
        for at, report in self.fleet.reports:
            await asyncio.sleep(max(0.0, begin + at - loop.time()))
            self.store.put(STREAMS_PREFIX + report.node, encode_stream_report(report))

    async def _send_datagrams(self, transport, begin):
        """Send what the peers have sent, with the fencing tokens of the rights in the store."""
        loop = asyncio.get_running_loop()
        host, _, port = self.addresses[2].rpartition(":")
        for at, body in self.fleet.datagrams:
            if isinstance(body, HoldingReport):
                body.fence = self.store.items[RIGHT_PREFIX + body.server].revision
            data = encode_datagram(body)
            await asyncio.sleep(max(0.0, begin + at - loop.time()))
            transport.sendto(data, (host, int(port)))


async def is_ready(host, port):
    """Return whether a gateway accepts requests, by its answer to a readiness check."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.write(b"GET / HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
    status_line = await reader.readline()
    writer.close()
    return b" 200 " in status_line


def read_cpu_s(pid):
    """Return the processor time (s) of a process, from ``/proc/<pid>/stat``."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def stop_process(process):
    """End a process with SIGTERM, and with SIGKILL if it does not end."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
