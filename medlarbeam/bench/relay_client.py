"""Load generator of the relay benchmark."""

import asyncio
import os
import time
from urllib.parse import urlsplit

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from hdrh.histogram import HdrHistogram

from medlarbeam.bench.report import read_rss_bytes
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.vm_list import describe_backend_vm, describe_entry_vm

__all__ = ["MODEL", "RelayClient", "Target", "read_target"]

MODEL = "bench@1"
READY_ATTEMPTS = 300
READY_POLL_INTERVAL_S = 0.1
STREAM_TIMEOUT_S = 60.0
MAX_LATENCY_US = 60_000_000


class Target(Record):
    """A server that accepts completion requests.

    Parameters
    ----------
    name, address : str
    pids : list of int
        Processes between the caller and the engine; empty for the engine itself.
    """

    __slots__ = ("address", "name", "pids")

    def __init__(self, name, address, pids):
        self.name = name
        self.address = address
        self.pids = pids

    def read_cpu_ns(self):
        """Return the processor time (ns) of all main threads, from ``/proc/<pid>/schedstat``."""
        total = 0
        for pid in self.pids:
            with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
                total += int(file.read().split()[0])
        return total

    def read_rss_bytes(self):
        """Return the total resident set size (bytes) of the processes."""
        return sum(map(read_rss_bytes, self.pids))


def read_target(text):
    """Parse a `Target` from ``name=ip:port=pid,pid``; raise `FormatError` if it is malformed."""
    parts = text.split("=")
    if len(parts) != 3 or not parts[0] or not urlsplit(f"//{parts[1]}").port:
        raise FormatError(f"target {text!r}: expected name=ip:port=pid,pid")
    return Target(parts[0], parts[1], [int(pid) for pid in parts[2].split(",") if pid])


class RelayClient:
    """Opens streams and records the time to the first token.

    Parameters
    ----------
    session : aiohttp.ClientSession
    engine : str
        Address of the engine.
    """

    __slots__ = ("engine", "session")

    def __init__(self, session, engine):
        self.session = session
        self.engine = engine

    @classmethod
    def open_session(cls):
        """Return a client session without a connection limit."""
        timeout = ClientTimeout(total=STREAM_TIMEOUT_S)
        return ClientSession(connector=TCPConnector(limit=0), timeout=timeout)

    # Preparation

    async def prepare(self, vm_list, daemons, concurrency):
        """Publish the VM list, wait for the daemons and add the adapter to the catalog."""
        vms = [describe_entry_vm(d.name, d.address, d.name, d.name) for d in daemons]
        # The engine is in the cell of the first daemon, so the other daemons forward to that one.
        cell = daemons[0].name
        vms.append(
            describe_backend_vm("e1", self.engine, cell, cell, slots=4, concurrency=concurrency)
        )
        await self._post(f"http://{vm_list}/debug/vms", {"vms": vms})
        for daemon in daemons:
            await self._wait_ready(daemon, 0)
        secret = os.environ["MEDLARBEAM_OPERATOR_SECRET"]
        headers = {
            "Authorization": f"Bearer {secret}",
            "X-Operator": "bench",
            "X-Note-Id": "bench-1",
        }
        adapter, version = MODEL.split("@")
        entry = {"action": "add", "adapter": adapter, "version": version, "source": "lora/bench"}
        url = f"http://{daemons[0].address}/admin/v1/notes"
        await self._post(url, {"entries": [entry]}, headers)
        for daemon in daemons:
            await self._wait_ready(daemon, 1)

    async def _post(self, url, document, headers=None):
        async with self.session.post(url, data=orjson.dumps(document), headers=headers) as response:
            body = await response.read()
            if response.status != 200:
                raise FormatError(f"{url}: HTTP {response.status} {body.decode(errors='replace')}")

    async def _wait_ready(self, daemon, revision):
        for _ in range(READY_ATTEMPTS):
            try:
                async with self.session.get(f"http://{daemon.address}/readyz") as response:
                    document = orjson.loads(await response.read())
                    if response.status == 200 and document["catalog_revision"] >= revision:
                        return
            except ClientError:
                pass  # the daemon is not listening yet
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        raise FormatError(
            f"daemon {daemon.name} did not become ready at catalog revision {revision}"
        )

    async def set_token_delay(self, delay_ms):
        """Set the time (ms) that the engine takes per token."""
        await self._post(f"http://{self.engine}/debug/faults", {"token_delay_ms": delay_ms})

    # Load

    async def stream(self, target, tokens, histogram=None, first_events=None):
        """Read one stream to its end and return the number of events.

        Parameters
        ----------
        target : Target
        tokens : int
        histogram : HdrHistogram or None
            Records the time to the first event (us).
        first_events : asyncio.Semaphore or None
            Released once on the first event.
        """
        document = {"model": MODEL, "prompt": "bench", "max_tokens": tokens, "stream": True}
        url = f"http://{target.address}/v1/completions"
        started_ns = time.monotonic_ns()
        events = 0
        async with self.session.post(url, data=orjson.dumps(document)) as response:
            if response.status != 200:
                raise FormatError(f"{target.name}: HTTP {response.status} {await response.text()}")
            async for line in response.content:
                if not line.startswith(b"data: "):
                    continue
                if events == 0:
                    if histogram is not None:
                        histogram.record_value((time.monotonic_ns() - started_ns) // 1000)
                    if first_events is not None:
                        first_events.release()
                events += 1
        if events < tokens:
            raise FormatError(f"{target.name}: stream ended after {events} of {tokens} tokens")
        return events

    async def run(self, target, requests, tokens, parallel):
        """Run `requests` streams, `parallel` concurrently; return a latency histogram (us)."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        remaining = iter(range(requests))

        async def run_streams():
            for _ in remaining:
                await self.stream(target, tokens, histogram)

        await asyncio.gather(*(run_streams() for _ in range(parallel)))
        return histogram

    async def measure_memory(self, target, streams, tokens):
        """Return the growth of the resident set size (bytes) caused by `streams` open streams."""
        before = target.read_rss_bytes()
        first_events = asyncio.Semaphore(0)
        tasks = [
            asyncio.create_task(self.stream(target, tokens, first_events=first_events))
            for _ in range(streams)
        ]
        try:
            for _ in range(streams):
                await asyncio.wait_for(first_events.acquire(), STREAM_TIMEOUT_S)
            growth = target.read_rss_bytes() - before
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        return growth
