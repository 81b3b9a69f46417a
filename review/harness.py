"""Stand-ins and processes that the scripts of the cases share.

The store is the project's stand-in. The workers, the client and the load balancer are small ones of
their own, which follow the users' pages. The gateways are processes of the project, started with
the command of the deploy file.
"""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path

from aiohttp.web import AppRunner, Response, middleware
from orjson import dumps, loads

from medlarbeam.standins.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "review.example"
# The bounds of the site that a gateway reads.
BOUNDS = """[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 58
leaseMs = 3000
"""
MODEL = {"name": "m0", "weightsMb": 50.0, "loadTimeS": 1.0, "adapterSizeMb": 1.0, "adapters": 50}


def find_free_addresses(count):
    """Return loopback addresses with free ports below the range of outgoing connections."""
    addresses = set()
    while len(addresses) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
        addresses.add(f"127.0.0.1:{port}")
    return sorted(addresses, key=lambda address: random.random())


def build_route(name, kind, service, **fields):
    """Return a route document; its prefix is ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 5000,
        "goalLatencyMs": 500,
        "service": service,
        "attempts": 2,
        "priority": 0,
        **fields,
    }


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def add(self, text):
        """Write a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    def conclude(self, is_broken, text):
        """Write the verdict and return the exit status."""
        self.add(f"verdict: {'BROKEN' if is_broken else 'held'}: {text}")
        print(f"{'BROKEN' if is_broken else 'held'}: {text}")
        return 1 if is_broken else 0


class Worker:
    """A worker that answers as the pages say; subclasses override `respond`."""

    def __init__(self, name, service, record, zone="z-1", adapters=(), slots=24, capacity=14):
        self.name = name
        self.service = service
        self.record = record
        self.zone = zone
        self.slots = slots
        self.capacity = capacity
        self.is_engine = bool(adapters) or service == "llm"
        self.adapters = dict.fromkeys(adapters, 1)
        self.coming = set()
        self.orders = 0
        self.running = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.address = ""
        self.writers = set()
        self.arrivals = []
        self.software = "v1"

    async def start(self):
        """Listen on a free loopback port, or on the former one."""
        host, port = "127.0.0.1", int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self):
        """Close the listener and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def build_entry(self, state="ready"):
        """Return the entry in the store."""
        models = [{"name": "m0", "version": 1, "adapters": [f"{a}@1" for a in self.adapters]}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": self.orders,
            "born": self.born,
            "models": models if self.is_engine else [],
        }

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length") or 0))
                if not await self.dispatch(writer, method, path, headers, body):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def dispatch(self, writer, method, path, headers, body):
        """Handle one request; return whether the connection stays open."""
        if headers.get("x-expect-instance", self.name) != self.name:
            return self.write(writer, 421, "X-Not-Executed: 1\r\n", b"")
        if path == "/report":
            model = {"name": "m0", "version": 1}
            model["adapters"] = [f"{a}@{v}" for a, v in self.adapters.items()]
            report = {"phase": "colocated", "models": [model], "seq": self.orders, "busy": False}
            report |= {"queued": 0, "active": self.running, "kvInUse": 0, "kvLimit": 90000}
            report |= {"handles": 0, "coming": [f"m0/{a}@1" for a in self.coming]}
            return self.write(writer, 200, "Content-Type: application/json\r\n", dumps(report))
        if path == "/order":
            return self.write(writer, self.take_order(loads(body)), "", b"")
        attempt = headers.get("x-attempt-id", "")
        if not attempt:
            return self.write(writer, 400, "X-Not-Executed: 1\r\n", b"")
        adapter = headers.get("x-model", "").partition("/")[2]
        self.arrivals.append((time.monotonic(), attempt))
        if adapter and adapter not in self.adapters:
            self.record.add(f"worker {self.name} refuses {attempt}: adapter {adapter} not loaded")
            return self.write(writer, 421, f"X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n", b"")
        return await self.respond(writer, method, path, headers, body, attempt)

    def take_order(self, order):
        """Carry out an order and return the status."""
        name = order.get("adapter", "")
        if order.get("expected", self.orders) != self.orders:
            return 409
        if order["op"] == "unload":
            self.orders += 1
            self.adapters.pop(name, None)
            return 200
        if name in self.adapters or not name:
            return 200
        self.orders += 1
        if len(self.adapters) + len(self.coming) >= self.capacity:
            self.record.add(f"worker {self.name} over capacity with {name}")
        self.coming.add(name)
        asyncio.get_running_loop().call_later(0.2, self.finish_load, name)
        return 202

    def finish_load(self, name):
        """End the load of an adapter."""
        self.coming.discard(name)
        self.adapters[name] = 1

    def write(self, writer, status, headers, body):
        """Write a response with a length; return True, since the connection stays open."""
        head = f"HTTP/1.1 {status} X\r\n{headers}{self.extra_headers()}"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return True

    def extra_headers(self):
        """Return header lines of all answers."""
        return f"X-Instance-Id: {self.name}\r\nX-Server-Load: {self.running},0,{self.slots}\r\n"

    def note_run(self, attempt):
        """Record that a request has begun to run."""
        self.record.add(f"worker {self.name} runs {attempt}")

    async def respond(self, writer, method, path, headers, body, attempt):
        """Run a request: a stream for an engine, a body otherwise."""
        self.note_run(attempt)
        self.running += 1
        try:
            if not self.is_engine:
                await asyncio.sleep(0.03)
                return self.write(writer, 200, self.sign(attempt), b"done " + attempt.encode())
            return await self.stream(writer, headers, attempt)
        finally:
            self.running -= 1

    def sign(self, attempt):
        """Return the headers of an answer of a run."""
        return f"X-Attempt-Id: {attempt}\r\nX-Server-Stamp: s.{attempt}\r\n"

    def begin_stream(self, writer, attempt):
        """Write the head of a stream in chunks."""
        writer.write(
            f"HTTP/1.1 200 X\r\n{self.sign(attempt)}{self.extra_headers()}"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )

    def write_event(self, writer, number, text):
        """Write one event as a chunk."""
        data = f"id: {number}\ndata: {text}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def stream(self, writer, headers, attempt, events=14, pause_s=0.05):
        """Stream the events after Last-Event-Id."""
        self.begin_stream(writer, attempt)
        for number in range(int(headers.get("last-event-id") or 0) + 1, events + 1):
            await asyncio.sleep(pause_s)
            self.write_event(writer, number, f"{self.software}-{number}")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Store:
    """The project's stand-in of the store, with one port for each gateway.

    Attributes
    ----------
    faults : dict of int to str
        By port: ``reset``, ``busy`` or ``silent``; missing for none.
    addresses : dict of int to dict of str to str
        By port: at which address the gateway of that port finds a worker, by the real address.
    """

    def __init__(self):
        self.store = PlatformStore()
        self.faults = {}
        self.addresses = {}
        self.runner = None
        self.version = 0

    async def start(self, ports):
        """Serve the store on `ports`."""
        app = self.store.build_app()
        app.middlewares.append(self.inject)
        self.runner = AppRunner(app, shutdown_timeout=0.5)
        await self.runner.setup()
        for port in ports:
            await asyncio.get_running_loop().create_server(self.runner.server, "127.0.0.1", port)

    @property
    def inject(self):
        """Return the middleware that applies `faults`."""

        @middleware
        async def apply(request, handler):
            port = request.transport.get_extra_info("sockname")[1]
            fault = self.faults.get(port)
            if not fault:
                response = await handler(request)
                fault = self.faults.get(port)
                if not fault:
                    return self.replace_addresses(response, port)
            if fault == "busy":
                return Response(status=503)
            while fault == "silent" and self.faults.get(port):
                await asyncio.sleep(0.05)
            if request.transport is not None:
                request.transport.abort()
            return Response(status=503)

        return apply

    def replace_addresses(self, response, port):
        """Replace the addresses of workers in a response by those of the links of a gateway."""
        addresses = self.addresses.get(port)
        if not addresses or not response.body:
            return response
        document = loads(response.body)
        for item in document.get("items", []) + document.get("events", []):
            if item["key"].startswith("servers/") and "value" in item:
                entry = loads(b64decode(item["value"]))
                if isinstance(entry, dict) and entry.get("address") in addresses:
                    entry["address"] = addresses[entry["address"]]
                    item["value"] = b64encode(dumps(entry)).decode()
        response.body = dumps(document)
        return response

    def write_config(self, routes, capacity=14):
        """Write the next version of the configuration."""
        self.version += 3
        engine = {"slots": 24, "weightsMb": 75.0, "adapterCapacity": capacity, "loadsPerS": 7.0}
        engine["models"] = [MODEL]
        services = [{"name": "till"}, {"name": "llm", "engine": engine}]
        document = {"version": self.version, "limits": {}, "routes": routes, "services": services}
        self.store.put("op/config", dumps(document))

    def register(self, worker, state="ready"):
        """Write the entry of a worker."""
        self.store.put(f"servers/{worker.name}", dumps(worker.build_entry(state)))


class Link:
    """A proxy between one gateway and one worker or the store, which can be cut or silenced.

    Attributes
    ----------
    address : str
        Where the gateway reaches the other side.
    """

    def __init__(self, target, address=""):
        self.target = target
        self.server = None
        self.address = address
        self.writers = set()
        self.silent = set()

    async def open(self):
        """Accept connections, at the former address if there was one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self.forward, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def cut(self):
        """Reset the open connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """Let the open connections go silent for good; new ones work. Return their number."""
        self.silent |= self.writers
        return len(self.writers) // 2

    async def forward(self, reader, writer):
        """Copy the bytes of one connection in both directions."""
        self.writers.add(writer)
        try:
            host, _, port = self.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(far_writer)
        await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))
        self.writers -= {writer, far_writer}
        self.silent -= {writer, far_writer}
        writer.close()
        far_writer.close()

    async def copy(self, reader, writer):
        """Copy the bytes of one direction until its end."""
        try:
            while data := await reader.read(65536):
                if writer not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            if writer not in self.silent:
                writer.close()


class Gateway:
    """A gateway process."""

    def __init__(self, name, folder, store_port, zone="z-1", is_first_start=True):
        self.name = name
        front, ready, control, peers, metrics = find_free_addresses(5)
        self.front, self.ready, self.peers = front, ready, peers
        self.path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.store_port = store_port
        ports = [int(address.rpartition(":")[2]) for address in (peers, metrics)]
        self.path.write_text(
            f'nodeName = "{name}"\nrole = "entry"\nmachineClass = "edge"\nserves = ["edge"]\n'
            f'ip = "127.0.0.1"\nzone = "{zone}"\nregion = "r"\ninternalPorts = {ports}\n'
            f"seeds = []\nbootstrap = {str(is_first_start).lower()}\nheartbeatMs = 1200\n"
            f'discovery = "platform"\nentry = "vip"\n'
            f'[zones]\nz-1 = "r"\nz-2 = "r"\n'
            f'[listen]\nfront = "{front}"\nreadyAddr = "{ready}"\ncontrol = "{control}"\n'
            f"{BOUNDS}"
            f'[platform]\naddress = "127.0.0.1:{store_port}"\nform = "kv"\nwritesPerS = 400\n'
            f"readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            encoding="utf-8",
        )
        self.process = None

    async def restart(self):
        """Start the process again; `bootstrap` is true at the first start of the system only."""
        text = self.path.read_text(encoding="utf-8")
        self.path.write_text(text.replace("bootstrap = true", "bootstrap = false"), "utf-8")
        await self.start()

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        words = deploy["roles"]["entry"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MEDLARBEAM_CONFIG"] = str(self.path)
        env["PYTHONPATH"] = f"{ROOT / 'target/deps'}:{ROOT}"
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = await asyncio.create_subprocess_exec(
            *words,
            env=env,
            cwd=ROOT,
            stdout=self.log_path.open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, timeout_s=30.0):
        """Wait until the process reports itself ready."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            answer = await request(self.ready, "GET", "/readyz", timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def read_memory_mb(self):
        """Return the resident memory of the process (MB)."""
        text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        line = next(line for line in text.splitlines() if line.startswith("VmRSS:"))
        return int(line.split()[1]) / 1024

    def read_log(self, event):
        """Return the lines of the log that name an event."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return [line for line in text.splitlines() if f'"{event}"' in line]


class Answer:
    """What a client got: `status` 0 if no head arrived; `end` is how the answer ended."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.end = ""
        self.seconds = 0.0

    def is_complete(self):
        """Return whether the answer was complete by its framing."""
        return self.end == "complete"

    def events(self):
        """Return the data of the complete events in the body."""
        parts = self.body.decode("latin-1").split("\n\n")[:-1]
        return [p.partition("data: ")[2] for p in parts]


async def read_answer(reader, answer):
    """Read one answer into `answer`."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
            answer.body += data
    else:
        left = int(answer.headers.get("content-length", 0))
        while left:
            data = await reader.read(left)
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            answer.body += data
            left -= len(data)
    answer.end = "complete"


async def request(address, method, path, headers=(), body=b"", timeout_s=6.0, connection=None):
    """Send a request on a new connection, or on `connection`, and return the `Answer`."""
    answer = Answer()
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = connection or await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer)
    except TimeoutError:
        answer.end = "timeout"
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        answer.end = f"broken ({type(error).__name__})"
    finally:
        answer.seconds = time.monotonic() - began
        if writer is not None and connection is None:
            writer.transport.abort() if answer.end != "complete" else writer.close()
    return answer


class Deployment:
    """Store, workers and gateways of a case, as an asynchronous context manager."""

    def __init__(self, record, workers, routes, gateways=1, zones=("z-1",), capacity=14, linked=()):
        self.record = record
        self.workers = workers
        self.routes = routes
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.capacity = capacity
        self.links = []
        self.linked = linked
        self.store_links = []
        addresses = find_free_addresses(2 * gateways)
        self.ports = [int(a.rpartition(":")[2]) for a in addresses[:gateways]]
        self.gateways = []
        for index, address in enumerate(addresses[gateways:]):
            self.store_links.append(Link(addresses[index], address))
            port = int(address.rpartition(":")[2])
            zone = zones[index % len(zones)]
            self.gateways.append(Gateway(f"gw-{index + 1}", self.folder, port, zone))

    async def __aenter__(self):
        await self.store.start(self.ports)
        for link in self.store_links:
            await link.open()
        for worker in self.workers:
            await worker.start()
            self.store.register(worker)
        for index in self.linked:
            await self.add_links(self.ports[index])
        self.store.write_config(self.routes, self.capacity)
        try:
            for gateway in self.gateways:
                await gateway.start()
            for gateway in self.gateways:
                await gateway.wait_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def add_links(self, port):
        """Put a link between each worker and the gateway that uses the store at `port`."""
        addresses = self.store.addresses[port] = {}
        for worker in self.workers:
            link = Link(worker.address)
            await link.open()
            self.links.append(link)
            addresses[worker.address] = link.address

    async def __aexit__(self, *error):
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.process.wait()
        for link in self.links + self.store_links:
            link.cut()
        for worker in self.workers:
            if worker.server is not None:
                worker.stop()
        await self.store.runner.cleanup()


def run_case(main, folder):
    """Run the coroutine function `main(record)` and exit with its status, 2 if it could not run."""
    record = Record(folder)
    try:
        status = asyncio.run(asyncio.wait_for(main(record), 115.0))
    except Exception as error:
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
