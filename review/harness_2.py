"""Stand-ins and helpers of the second review: store, workers, gateways as processes, and callers.

The store is the project's own stand-in. Workers and callers are small and speak what PROTOCOL.md
says. All of them run in one process; each gateway is a process of its own, started with the command
of the deploy file. All addresses are loopback addresses with free ports.
"""

import asyncio
import json
import os
import random
import re
import select
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

from aiohttp import web

from medlarbeam.soak.links import build_store_front
from medlarbeam.standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
HOST = "review.example"
PORTS = (20000, 32000)
GIVEN_PORTS = set()
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 10000,
    "idleTimeoutMs": 60000,
}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


def has_trouble():
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_port(ip):
    """Return a port that is free for TCP and UDP at a loopback address.

    It is below those that the system gives to outgoing connections, which could take it later.
    """
    while True:
        port = random.randrange(*PORTS)
        if port in GIVEN_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            with suppress(OSError):
                tcp.bind((ip, port))
                udp.bind((ip, port))
                GIVEN_PORTS.add(port)
                return port


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start (s)."""
        print(f"{time.monotonic() - self.started_at:8.3f} {text}", file=self.file, flush=True)

    def say(self, text):
        """Write a line, and print it."""
        self.write(text)
        print(text, flush=True)


class Store:
    """The project's stand-in of the store, behind a front that can be taken away."""

    def __init__(self):
        self.kv = PlatformStore()
        self.address = ""
        self.runner = None

    async def start(self):
        """Listen on a free port."""
        app = self.kv.build_app()
        self.runner = web.AppRunner(app, shutdown_timeout=0.2, access_log=None)
        await self.runner.setup()
        port = find_free_port("127.0.0.1")
        self.address = f"127.0.0.1:{port}"
        await web.TCPSite(self.runner, "127.0.0.1", port).start()

    async def start_front(self, links):
        """Serve one gateway, which reads the addresses of its `Link`s in place of the workers'."""
        app = build_store_front(self.kv, lambda: links, {})
        front = Store()
        front.kv = self.kv
        front.runner = web.AppRunner(app, shutdown_timeout=0.2, access_log=None)
        await front.runner.setup()
        port = find_free_port("127.0.0.1")
        front.address = f"127.0.0.1:{port}"
        await web.TCPSite(front.runner, "127.0.0.1", port).start()
        return front

    async def stop(self):
        """Close the listener."""
        await self.runner.cleanup()

    def put(self, key, document):
        """Write a document as the operator or a worker does."""
        self.kv.put(key, json.dumps(document).encode())

    def write_config(self, version, routes, services):
        """Write a configuration."""
        document = {"version": version, "limits": LIMITS, "routes": routes, "services": services}
        self.put("op/config", document)


def build_route(name, kind, service, **fields):
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "service": service,
        "attempts": 1,
        "timeoutMs": 5000,
        "goalLatencyMs": 500,
        "priority": 1,
    }
    return route | fields


class Request:
    """A request that has reached a worker."""

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        """Return a header by its name in lower case."""
        return self.headers.get(name, default)


async def read_request(reader):
    """Return the next `Request` of a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ")
    headers = {}
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Worker:
    """A worker: answers requests, registers in the store, and may be restarted.

    `runs` holds (attempt id, time, start) of each request that has run.
    """

    def __init__(self, store, record, name, service, zone, slots=24, ip="127.0.0.1"):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.ip = ip
        self.port = find_free_port(ip)
        self.version = "v1"
        self.born = 0
        self.seq = 0
        self.writes = 0
        self.models = []
        self.state = "ready"
        self.running = 0
        self.runs = []
        self.arrivals = []
        self.server = None
        self.connections = set()
        self.beat = None
        self.expiry = None
        self.is_cut_from_store = False
        self.last_write = 0.0

    @property
    def address(self):
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"

    # Life

    async def start(self, models=None):
        """Start under its id; a restart holds nothing of before."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.models = models or []
        self.state = "ready"
        self.running = 0
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 22, reuse_address=True
        )
        self.register()
        if self.beat is None:
            self.beat = asyncio.create_task(self._beat())
        self.record.write(f"worker {self.name} starts, born={self.born}")

    def crash(self):
        """Reset all connections and refuse new ones; nothing is said to the store."""
        self.record.write(f"worker {self.name} crashes")
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            reset(writer)
        self.connections.clear()

    def stop(self):
        """End for good."""
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            reset(writer)

    @property
    def is_up(self):
        """Return whether the process runs."""
        return self.server is not None

    async def _beat(self):
        # Workers have started at different times, so that their heartbeats are spread.
        pause_s = HEARTBEAT_S * random.Random(self.name).random()
        while True:
            await asyncio.sleep(pause_s)
            pause_s = HEARTBEAT_S
            if self.is_up:
                self.register()
            silent_s = time.monotonic() - self.last_write
            key = f"servers/{self.name}"
            if silent_s > EXPIRY_S and key in self.store.kv.items:
                self.store.kv.delete(key)
                self.record.write(f"store: the entry of {self.name} is removed")

    def register(self):
        """Write the entry."""
        if self.is_cut_from_store:
            return
        self.writes += 1
        self.last_write = time.monotonic()
        self.store.put(f"servers/{self.name}", self.build_entry())

    def build_entry(self):
        """Return the document of the entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self.writes,
            "born": self.born,
            "phase": "colocated",
            "models": self.models,
        }

    # Requests

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        born = self.born
        try:
            while self.born == born and self.is_up:
                request = await read_request(reader)
                if not await self.answer(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            return
        finally:
            self.connections.discard(writer)
            with suppress(Exception):
                writer.close()

    async def answer(self, request, reader, writer):
        """Answer a request; return whether the connection stays open."""
        expected = request.header("x-expect-instance")
        if expected and expected != self.name:
            return self.send(writer, request, 421, [("X-Not-Executed", "1")], b"")
        if request.path == "/report":
            return self.send(writer, request, 200, [], json.dumps(self.build_report()).encode())
        if request.path == "/healthz":
            return self.send(writer, request, 200, [], b"")
        if request.path == "/order":
            return await self.order(writer, request)
        attempt = request.header("x-attempt-id")
        if not attempt:
            return self.send(writer, request, 400, [("X-Not-Executed", "1")], b"")
        self.arrivals.append((attempt, time.monotonic()))
        return await self.run(request, reader, writer)

    async def order(self, writer, request):
        """Carry out an order; plain workers know none."""
        return self.send(writer, request, 400, [], b"")

    async def run(self, request, reader, writer):
        """Run a request and answer it."""
        self.note_run(request)
        return self.send(writer, request, 200, [("X-Server-Stamp", STAMP)], b"done")

    def note_run(self, request):
        """Note that a request has begun to run."""
        attempt = request.header("x-attempt-id")
        self.runs.append((attempt, time.monotonic(), self.born))
        self.record.write(f"worker {self.name} runs {attempt}")

    def build_report(self):
        """Return the answer to ``GET /report``."""
        return {
            "phase": "colocated",
            "models": self.models,
            "busy": False,
            "seq": self.seq,
            "queued": 0,
            "active": self.running,
            "kvInUse": 0,
            "kvLimit": 212641,
            "handles": 0,
            "coming": [],
            "born": self.born,
        }

    def build_headers(self, request):
        """Return the headers that all answers have."""
        return [
            ("X-Attempt-Id", request.header("x-attempt-id")),
            ("X-Instance-Id", self.name),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
        ]

    def build_head(self, request, status, headers):
        """Return the head of an answer."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{n}: {v}" for n, v in self.build_headers(request) + headers if v]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def send(self, writer, request, status, headers, body):
        """Write an answer with a length; return True."""
        length = [("Content-Length", str(len(body)))]
        writer.write(self.build_head(request, status, headers + length) + body)
        return True


class Engine(Worker):
    """A model worker that streams events and carries out orders for adapters and models."""

    adapter_s = 0.25
    model_s = 0.84
    event_s = 0.1
    events = 12
    capacity = 14

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.busy_until = 0.0
        self.loading = {}
        self.orders = []

    async def start(self, models=None):
        """Start; a restart holds no model."""
        self.busy_until = 0.0
        self.loading = {}
        await super().start(models)

    def _settle(self):
        now = time.monotonic()
        for adapter, ready_at in list(self.loading.items()):
            if ready_at <= now:
                del self.loading[adapter]
                if self.models:
                    self.models[0]["adapters"].append(adapter)

    async def order(self, writer, request):
        """Carry out an order."""
        order = json.loads(request.body)
        self._settle()
        self.orders.append((order["holder"], order["fence"], time.monotonic()))
        status = self._decide(order)
        text = f"{order['op']} {order.get('adapter', order['model'])} of {order['holder']}"
        self.record.write(f"worker {self.name} order {text} fence={order['fence']}: {status}")
        return self.send(writer, request, status, [], b"")

    def _decide(self, order):
        if order.get("expected", self.seq) != self.seq or self.busy_until > time.monotonic():
            return 409
        held = self.models[0]["adapters"] if self.models else []
        adapter = order.get("adapter")
        if adapter is None:
            if order["op"] == "load" and not self.models:
                self.seq += 1
                self.busy_until = time.monotonic() + self.model_s
                asyncio.get_running_loop().call_later(self.model_s, self._hold, order["model"])
                return 202
            return 200 if order["op"] == "load" else 400
        name = f"{adapter}@{order.get('version', 1)}"
        if order["op"] == "load":
            if name in held:
                return 200
            self.seq += 1
            self.loading[name] = time.monotonic() + self.adapter_s
            return 202
        self.seq += 1
        if self.models:
            self.models[0]["adapters"] = [a for a in held if a.partition("@")[0] != adapter]
        return 200

    def _hold(self, model):
        self.models = [{"name": model, "version": 1, "adapters": []}]
        self.record.write(f"worker {self.name} holds {model}")
        self.register()

    def build_report(self):
        """Return the answer to ``GET /report``."""
        self._settle()
        report = super().build_report()
        report["busy"] = self.busy_until > time.monotonic()
        model = self.models[0]["name"] if self.models else "m0"
        report["coming"] = [f"{model}/{adapter}" for adapter in self.loading]
        return report

    async def run(self, request, reader, writer):
        """Stream events, or reject a request for what is not held."""
        self._settle()
        model, _, adapter = request.header("x-model").partition("/")
        held = {m["name"]: {a.partition("@")[0] for a in m["adapters"]} for m in self.models}
        if model not in held or (adapter and adapter not in held[model]):
            return self.send(writer, request, 421, [("X-Not-Executed", "1")], b"")
        self.note_run(request)
        self.running += 1
        try:
            return await self.stream(request, writer)
        finally:
            self.running -= 1

    async def stream(self, request, writer):
        """Write the events after `Last-Event-Id`."""
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Server-Stamp", STAMP),
            ("X-Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        born = self.born
        first = int(request.header("last-event-id", "0")) + 1
        await asyncio.sleep(0.03)
        writer.write(self.build_head(request, 200, headers))
        for number in range(first, self.events + 1):
            if writer.is_closing() or self.born != born or not self.is_up:
                return False
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            with suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        return True


class Link:
    """The way of one gateway to one worker: a proxy that passes bytes on, or refuses."""

    def __init__(self, target):
        self.target = target
        self.port = find_free_port("127.0.0.1")
        self.address = f"127.0.0.1:{self.port}"
        self.server = None
        self.writers = set()

    async def start(self):
        """Accept connections."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )

    def cut(self):
        """Reset the open connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        other = None
        try:
            other_reader, other = await open_connection(self.target)
            self.writers.add(other)
            await asyncio.gather(pump(reader, other), pump(other_reader, writer))
        except (OSError, TimeoutError):
            reset(writer)
            if other is not None:
                reset(other)
        finally:
            for one in (writer, other):
                if one is not None:
                    self.writers.discard(one)
                    one.close()


async def pump(reader, writer):
    """Pass bytes on until the end."""
    while data := await reader.read(1 << 16):
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


class PlainStreamer(Worker):
    """A worker of a streaming service without an engine; streams are short or long."""

    event_s = 0.1
    short_events = 5
    long_events = 20
    long_tenths = 4

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.silent_until = 0.0

    def count_events(self, request):
        """Return the number of events of a stream, the same for all tries of a caller."""
        digest = zlib.crc32(request.path.encode())
        return self.long_events if digest % 10 < self.long_tenths else self.short_events

    async def run(self, request, reader, writer):
        """Write the events after `Last-Event-Id`."""
        self.note_run(request)
        self.running += 1
        try:
            return await self.stream(request, writer)
        finally:
            self.running -= 1

    async def stream(self, request, writer):
        """Write events until the end, or until the caller or this start has gone."""
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Server-Stamp", STAMP),
            ("Transfer-Encoding", "chunked"),
        ]
        born = self.born
        first = int(request.header("last-event-id", "0")) + 1
        await asyncio.sleep(0.03)
        writer.write(self.build_head(request, 200, headers))
        for number in range(first, self.count_events(request) + 1):
            while time.monotonic() < self.silent_until:
                await asyncio.sleep(0.02)
            if writer.is_closing() or self.born != born or not self.is_up:
                return False
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            try:
                await writer.drain()
            except ConnectionError:
                return False
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        return True


class UnframedWorker(Worker):
    """A plain worker whose answers have no length; a supervisor keeps its listening socket.

    When the process crashes, the system closes its connections, and new ones wait in the queue of
    the listening socket until the process is back.
    """

    work_s = 0.03
    body_s = 0.2
    body = b"".join(b"line %03d of the receipt\n" % number for number in range(32))

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_back = asyncio.Event()
        self.is_back.set()

    async def run(self, request, reader, writer):
        """Write an answer in two parts; its end is the end of the connection."""
        self.note_run(request)
        born = self.born
        headers = [("X-Server-Stamp", STAMP), ("Connection", "close")]
        half = len(self.body) // 2
        await asyncio.sleep(self.work_s)
        writer.write(self.build_head(request, 200, headers) + self.body[:half])
        await writer.drain()
        await asyncio.sleep(self.body_s)
        if self.born == born and self.is_back.is_set():
            writer.write(self.body[half:])
            await writer.drain()
        return False

    async def _serve(self, reader, writer):
        await self.is_back.wait()
        await super()._serve(reader, writer)

    def register(self):
        """Write the entry, while the process runs."""
        if self.is_back.is_set():
            super().register()

    def crash_process(self):
        """End the process; its connections are closed by the system."""
        self.record.write(f"worker {self.name} crashes, {len(self.connections)} connections")
        self.is_back.clear()
        for writer in list(self.connections):
            writer.close()
        self.connections.clear()

    def restart_process(self):
        """Start the process again, under the same id."""
        self.born = int(time.time() * 1000)
        self.is_back.set()
        self.register()
        self.record.write(f"worker {self.name} starts again, born={self.born}")


class PausingStreamer(PlainStreamer):
    """A worker whose streams end with their connections, and that may ask for a pause."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.paused_until = 0.0
        self.served = set()

    async def run(self, request, reader, writer):
        """Turn a request away while the worker wants nothing, or stream."""
        left_s = self.paused_until - time.monotonic()
        if left_s <= 0.0:
            return await super().run(request, reader, writer)
        self.record.write(f"worker {self.name} turns {request.header('x-attempt-id')} away")
        headers = [("X-Not-Executed", "1"), ("Retry-After", f"{left_s:.3f}")]
        return self.send(writer, request, 503, headers, b"")

    async def stream(self, request, writer):
        """Write all events; the end of the connection is that of the answer."""
        attempt = request.header("x-attempt-id")
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Server-Stamp", STAMP),
            ("Connection", "close"),
        ]
        await asyncio.sleep(0.03)
        writer.write(self.build_head(request, 200, headers))
        for number in range(1, self.count_events(request) + 1):
            if writer.is_closing():
                self.record.write(f"worker {self.name}: the caller of {attempt} has left")
                return False
            writer.write(f"id: {number}\ndata: {self.version} {number}\n\n".encode())
            with suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(self.event_s)
        self.served.add(attempt)
        self.record.write(f"worker {self.name} has written all of {attempt}")
        return False


class EndlessStreamer(PlainStreamer):
    """A worker that may turn faulty, and then answers with chunks of one byte without end."""

    block = b"1\r\na\r\n" * 10922

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_faulty = False
        self.pool = ThreadPoolExecutor(64)  # threads keep the loop free, which measures

    async def stream(self, request, writer):
        """Write chunks until the caller closes the connection."""
        if not self.is_faulty:
            return await super().stream(request, writer)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Server-Stamp", STAMP),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(self.build_head(request, 200, headers))
        await writer.drain()
        descriptor = os.dup(writer.get_extra_info("socket").fileno())
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.pool, self.flood, socket.socket(fileno=descriptor))
        return False

    def flood(self, sock):
        """Write until the connection ends; the descriptor does not block, as the loop shares it."""
        with sock, suppress(ConnectionError):
            while True:
                select.select([], [sock], [], 10.0)
                with suppress(BlockingIOError):
                    sock.send(self.block)


class Stream:
    """A stream of a caller, over all its tries."""

    def __init__(self, attempt, sent_at):
        self.attempt = attempt
        self.sent_at = sent_at
        self.versions = set()
        self.has_begun = False
        self.is_complete = False


class TakeUp:
    """A try that takes a stream up again."""

    def __init__(self, at, goes_on, status):
        self.at = at
        self.goes_on = goes_on
        self.status = status


class StreamCallers:
    """Callers of a resumable streaming route, who take a broken stream up at another gateway."""

    deadline_s = 5.0
    retries = 1

    def __init__(self, gateways, record, rng, route="chat"):
        self.gateways = gateways
        self.record = record
        self.rng = rng
        self.route = route
        self.streams = []
        self.take_ups = []
        self.tasks = set()
        self.down = set()

    def choose(self, excluded=()):
        """Return a gateway that is up, one that was not tried yet if there is one."""
        up = [g for g in self.gateways if g.name not in self.down]
        return self.rng.choice([g for g in up if g.name not in excluded] or up)

    async def drive(self, per_s, until):
        """Send streams at a mean rate until a time."""
        while time.monotonic() < until:
            task = asyncio.create_task(self.send(self.choose()))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(self.rng.expovariate(per_s))

    async def finish(self):
        """Wait for the open streams."""
        await asyncio.gather(*self.tasks)

    async def send(self, gateway):
        """Send one stream, and take it up again if it breaks off."""
        attempt = f"c{len(self.streams) + 1:05d}"
        stream = Stream(attempt, time.monotonic())
        self.streams.append(stream)
        path = f"/{self.route}/{attempt}"
        answer = await call(gateway.front, path, attempt, timeout_s=self.deadline_s)
        last = answer.last_event()
        stream.has_begun = answer.status == 200 and last > 0
        stream.is_complete = answer.is_complete
        stream.versions |= find_versions(answer.body)
        self.note(f"stream {attempt} at {gateway.name}", answer, stream)
        tried = {gateway.name}
        for number in range(self.retries):
            left_s = stream.sent_at + self.deadline_s - time.monotonic()
            if stream.is_complete or not stream.has_begun or left_s < 0.2:
                return
            gateway = self.choose(tried)
            tried.add(gateway.name)
            at = time.monotonic()
            headers = [("Last-Event-Id", last), ("Resumes", attempt)]
            name = f"{attempt}r{number}"
            answer = await call(gateway.front, path, name, headers, timeout_s=left_s)
            goes_on = answer.status == 200 and (answer.last_event() > last or answer.is_complete)
            self.take_ups.append(TakeUp(at, goes_on, answer.status))
            last = max(last, answer.last_event())
            stream.is_complete = goes_on and answer.is_complete
            stream.versions |= find_versions(answer.body)
            self.note(f"take-up {name} at {gateway.name}", answer, stream)

    def note(self, text, answer, stream):
        """Write down what a caller has got."""
        reason = answer.body[:200] if answer.status != 200 else b""
        versions = ",".join(sorted(stream.versions))
        self.record.write(
            f"{text}: {answer.status} last event {answer.last_event()} "
            f"complete={answer.is_complete} versions={versions} {answer.error} {reason!r}"
        )


def find_versions(body):
    """Return the software versions that have written the events of a body."""
    return {version.decode() for version in re.findall(rb"data: (v\d+) ", body)}


class Gateway:
    """A gateway process with its settings file and log."""

    def __init__(self, folder, store, number, zone):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"127.0.0.{10 + number}"
        self.front = f"{self.ip}:{find_free_port(self.ip)}"
        self.ready = f"{self.ip}:{find_free_port(self.ip)}"
        first = find_free_port(self.ip)
        last = find_free_port(self.ip)
        self.ports = [first, last]
        self.log_path = Path(folder) / f"{self.name}.log"
        self.path = Path(folder) / f"{self.name}.toml"
        self.path.write_text(self._build_settings(store), encoding="utf-8")
        self.process = None
        self.is_stopping = False

    def _build_settings(self, store):
        return f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
internalPorts = {self.ports}
seeds = []
bootstrap = true
isCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
z-a = "r"
z-b = "r"
z-c = "r"
[listen]
front = "{self.front}"
readyAddr = "{self.ready}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 560
maxFds = 8200
linkMbps = 2000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 58
recoverS = 12
passMs = 120
againS = 0
fencingEnforced = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
originOvershoot = 1.1
version_ms = 5000
[platform]
address = "{store.address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        program, *arguments = deploy["roles"]["entry"]["run"].split()
        if program == "python3":
            program = sys.executable  # the interpreter of this script
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "MEDLARBEAM_CONFIG": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                env=environment,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        """Return whether the gateway says that it is ready."""
        try:
            reader, writer = await open_connection(self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(1.0):
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        """Wait until the gateway is ready."""
        for _ in range(150):
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                lines = self.log_path.read_text("utf-8", "replace").splitlines()
                raise CaseError(f"{self.name} has ended with {self.process.returncode}: {lines[-3:]}")
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready")

    def kill(self, number=signal.SIGKILL):
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def stop(self):
        """End the process."""
        self.kill(signal.SIGCONT)
        self.kill()
        if self.process is not None:
            await self.process.wait()

    def count_log(self, event):
        """Return the number of log lines of an event."""
        return self.log_path.read_text("utf-8", "replace").count(f'"event":"{event}"')


async def open_connection(address, limit=1 << 22):
    """Open a connection to ``ip:port``."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        return await asyncio.open_connection(host, int(port), limit=limit)


class Answer:
    """What a caller has got: status 0 if there was no head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.ended_at = 0.0

    def last_event(self):
        """Return the id of the last whole event."""
        events = self.body.split(b"\n\n")[:-1]
        ids = [e.split(b"\n")[0] for e in events if e.startswith(b"id: ")]
        return int(ids[-1][4:]) if ids else 0


async def call(address, path, attempt, headers=(), method="POST", body=b"x", timeout_s=5.0):
    """Send a request on a connection of its own and return its `Answer`."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await open_connection(address)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"X-Attempt-Id: {attempt}",
                f"X-Deadline-Ms: {int(timeout_s * 1000)}",
                *(f"{name}: {value}" for name, value in headers),
                f"Content-Length: {len(body)}",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer):
    """Read an answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    answer.status = int(head[0].split(" ")[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", 0)))
    answer.is_complete = True


def run_case(folder, play, limit_s=115.0):
    """Run ``play(record, folder)``, which returns whether the rule held, and exit."""
    record = Record(folder)

    async def execute():
        async with asyncio.timeout(limit_s):
            with tempfile.TemporaryDirectory() as temporary:
                return await play(record, temporary)

    try:
        held = asyncio.run(execute())
    except Exception as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
