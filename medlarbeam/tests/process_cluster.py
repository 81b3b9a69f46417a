"""Starts the whole system as processes on the loopback interface, for tests."""

import asyncio
import os
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, STDOUT
from secrets import token_hex

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from medlarbeam.classes.record import Record
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.vm_list import describe_backend, describe_entry

__all__ = ["HttpAnswer", "Placement", "ProcessCluster", "describe_note"]

START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
POLL_TRIES = 300
POLL_PAUSE_S = 0.1
DAEMON = ["-c", "from medlarbeam.daemon.main import main; main()"]
PLATFORM = {"kv": "kv", "vm_list": "vm_list", "weight_store": "weight_store"}


class HttpAnswer(Record):
    """A complete HTTP answer; `body` is bytes."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return orjson.loads(self.body)


class Placement(Record):
    """Failure domain by name of the nodes, engines and plain services, and the engines' settings.

    The service of a plain service is its name without the digits at the end.
    """

    __slots__ = ("engines", "fencing", "nodes", "services", "slots")

    def __init__(self, nodes=None, engines=None, services=None, slots=4, fencing=True):
        self.nodes = nodes if nodes is not None else {"n1": "fd1", "n2": "fd1", "n3": "fd2"}
        self.engines = engines if engines is not None else {"e1": "fd1", "e2": "fd1", "e3": "fd2"}
        self.services = services if services is not None else {"ledger1": "fd1"}
        self.slots = slots
        self.fencing = fencing


def describe_note(models, **fields):
    """Return the document of a release note that adds `models`."""
    entries = []
    for model in models:
        adapter, _, version = model.partition("@")
        source = f"lora/{adapter}/{version}"
        entries.append({"action": "add", "adapter": adapter, "version": version, "source": source})
    return {"entries": entries, **fields}


class ManagedProcess:
    """A child process; `arguments` start it again at the same address."""

    __slots__ = ("address", "arguments", "log_path", "process")

    def __init__(self, arguments, address, log_path, process):
        self.arguments = arguments
        self.address = address
        self.log_path = log_path
        self.process = process


class ProcessCluster:
    """All processes of a small deployment.

    Use it with ``async with``: leaving the block stops every process, also after a failure.

    Parameters
    ----------
    directory : pathlib.Path
        For the log files.
    placement : Placement
    engine_options, daemon_options : list of str
        Further flags of each engine and daemon.
    daemon_command : list of str
        Arguments of the Python interpreter that start a daemon.
    """

    __slots__ = (
        "addresses",
        "daemon_command",
        "daemon_options",
        "directory",
        "engine_options",
        "environment",
        "operator_secret",
        "placement",
        "processes",
        "session",
    )

    def __init__(
        self, directory, placement=None, engine_options=(), daemon_options=(), daemon_command=DAEMON
    ):
        self.directory = directory
        self.placement = placement if placement is not None else Placement()
        self.engine_options = list(engine_options)
        self.daemon_options = list(daemon_options)
        self.daemon_command = list(daemon_command)
        self.operator_secret = token_hex(16)
        secrets = {
            "MEDLARBEAM_PEER_SECRET": token_hex(16),
            "MEDLARBEAM_OPERATOR_SECRET": self.operator_secret,
        }
        self.environment = {**os.environ, **secrets}
        self.processes = {}
        self.addresses = {}
        self.session = None

    async def __aenter__(self):
        self.session = ClientSession(
            timeout=ClientTimeout(total=60), connector=TCPConnector(force_close=True)
        )
        return self

    async def __aexit__(self, *details):
        try:
            await self.stop_all()
        finally:
            await self.session.close()

    # Starting

    async def start_all(self):
        """Start every process and wait until each node is ready."""
        platform = find_free_addresses(len(PLATFORM))
        self.addresses.update(zip(PLATFORM, platform, strict=True))
        starting = asyncio.gather(self.start_platform(), self.start_backends(publish=False))
        await asyncio.gather(starting, self.start_nodes(publish=False))
        await self.publish_vms()
        for name in self.placement.nodes:
            await self.wait_ready(name)

    async def start_platform(self):
        await asyncio.gather(*(self.start_standin(n, m) for n, m in PLATFORM.items()))

    async def start_backends(self, publish=True):
        """Start the engines and plain services, and publish the VM list."""
        place = self.placement
        options = [
            *("--slots", str(place.slots), "--fencing", "yes" if place.fencing else "no"),
            *("--weight-store", self.addresses.get("weight_store", "")),
            *self.engine_options,
        ]
        engines = (self.start_standin(n, "engine", "--name", n, *options) for n in place.engines)
        services = (self.start_standin(n, "plain_service", "--name", n) for n in place.services)
        await asyncio.gather(*engines, *services)
        if publish and "vm_list" in self.addresses:
            await self.publish_vms()

    async def start_nodes(self, publish=True):
        """Start the daemons; their ports are chosen before, as each has to know the others'."""
        names = list(self.placement.nodes)
        free = find_free_addresses(2 * len(names))
        for name, http, peer in zip(names, free[::2], free[1::2], strict=True):
            self.addresses[name], self.addresses[f"{name}-peer"] = http, peer
        if publish and "vm_list" in self.addresses:
            await self.publish_vms()
        await asyncio.gather(*(self.start_node(name) for name in names))

    async def start_node(self, name):
        """Start a daemon, the first time or again."""
        domain = self.placement.nodes[name]
        options = {
            "--name": name,
            "--cell": domain,
            "--failure-domain": domain,
            "--http-listen": self.addresses[name],
            "--peer-listen": self.addresses[f"{name}-peer"],
            "--kv-address": self.addresses["kv"],
            "--vm-list-address": self.addresses["vm_list"],
        }
        arguments = [*self.daemon_command, *(part for pair in options.items() for part in pair)]
        for other in self.placement.nodes:
            if other != name:
                arguments += ["--peer", f"{other}={self.addresses[f'{other}-peer']}"]
        await self._spawn(name, [*arguments, *self.daemon_options])

    async def start_standin(self, name, module, *options):
        """Start a stand-in and wait for its first line, which names its address."""
        listen = self.addresses.get(name, "127.0.0.1:0")
        arguments = ["-m", f"medlarbeam.standins.{module}", *options, "--listen", listen]
        managed = await self._spawn(name, arguments, has_first_line=True)
        line = await asyncio.wait_for(managed.process.stdout.readline(), START_LIMIT_S)
        assert line, f"{name} did not start:\n{self.read_log(name)}"
        self.addresses[name] = managed.address = orjson.loads(line)["listen"]

    async def restart(self, name):
        """Start a process that has ended again, with the same address and arguments."""
        if name in self.placement.nodes:
            await self.start_node(name)
            return
        module, *options, _, _ = self.processes[name].arguments[1:]
        await self.start_standin(name, module.rpartition(".")[2], *options)

    async def _spawn(self, name, arguments, has_first_line=False):
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=DEVNULL,
                stdout=PIPE if has_first_line else log,
                stderr=log if has_first_line else STDOUT,
                env=self.environment,
            )
        managed = ManagedProcess(arguments, self.addresses.get(name, ""), log_path, process)
        self.processes[name] = managed
        return managed

    # Signals

    def send_signal(self, name, number):
        self.processes[name].process.send_signal(number)

    def pause(self, name):
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name):
        self.send_signal(name, signal.SIGCONT)

    async def kill(self, name):
        """Kill a process and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_exit(name)

    async def terminate(self, name):
        """Ask a process to end, and return its exit status."""
        self.send_signal(name, signal.SIGTERM)
        return await self.wait_exit(name)

    async def wait_exit(self, name):
        """Return the exit status of a process, negative for a signal."""
        return await asyncio.wait_for(self.processes[name].process.wait(), STOP_LIMIT_S)

    async def stop_all(self):
        """Stop what is left, the nodes first."""
        running = [n for n, m in self.processes.items() if m.process.returncode is None]
        nodes = [name for name in running if name in self.placement.nodes]
        await asyncio.gather(*(self._stop(name) for name in nodes))
        await asyncio.gather(*(self._stop(name) for name in running if name not in nodes))

    async def _stop(self, name):
        self.resume(name)
        try:
            await self.terminate(name)
        except TimeoutError:
            await self.kill(name)

    # HTTP

    async def request(self, method, name, path, document=None, headers=None):
        """Send a request to the process `name`; a broken connection raises `ClientError`."""
        body = orjson.dumps(document) if document is not None else None
        url = f"http://{self.addresses[name]}{path}"
        async with self.session.request(method, url, data=body, headers=headers) as answer:
            return HttpAnswer(answer.status, answer.headers, await answer.read())

    async def get(self, name, path, headers=None):
        return await self.request("GET", name, path, headers=headers)

    async def post(self, name, path, document, headers=None):
        return await self.request("POST", name, path, document, headers)

    async def complete(self, node, model, prompt, **fields):
        """Send a completion; `fields` are further fields of the request."""
        document = {"model": model, "prompt": prompt, **fields}
        return await self.post(node, "/v1/completions", document)

    async def add_models(self, node, models):
        """Add models to the catalogue by a release note."""
        headers = {**self._operator_headers(), "X-Note-Id": f"note-{token_hex(8)}"}
        return await self.post(node, "/admin/v1/notes", describe_note(models), headers)

    async def ask_operator(self, node, path, method="GET"):
        """Return the document that answers an operator's question or order."""
        answer = await self.request(
            method, node, f"/admin/v1/{path}", None, self._operator_headers()
        )
        assert answer.status == 200, answer.body
        return answer.json()

    def _operator_headers(self):
        return {"Authorization": f"Bearer {self.operator_secret}", "X-Operator": "test"}

    async def find_views(self, node):
        """Return what `node` tells of each backend server, by name."""
        status = await self.ask_operator(node, "status")
        return {view["name"]: view for view in status["servers"]}

    async def run_ctl(self, *arguments):
        """Run ``medlarctl`` with `arguments`; return its exit status."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", "from medlarbeam.cli.main import main; main()", *arguments),
            stdin=DEVNULL,
            stdout=DEVNULL,
            stderr=DEVNULL,
            env=self.environment,
        )
        return await asyncio.wait_for(process.wait(), 2 * START_LIMIT_S)

    async def charge(self, node, reference, key, service="ledger", amount_cents=500):
        """Send a charge that must not be repeated."""
        headers = {"X-Caller": "test", "X-Non-Idempotent": "true", "Idempotency-Key": key}
        document = {"account": "a", "amount_cents": amount_cents, "reference": reference}
        return await self.post(node, f"/v1/services/{service}/charge", document, headers)

    async def set_faults(self, name, **faults):
        answer = await self.post(name, "/debug/faults", faults)
        assert answer.status == 200, answer.body

    async def journal(self, name):
        return (await self.get(name, "/debug/journal")).json()

    async def publish_vms(self, leaving=(), gone=()):
        """Publish all VMs but those named in `gone`."""
        vms = [vm for vm in self._describe_vms() if vm["name"] not in gone]
        for vm in vms:
            vm["state"] = "leaving" if vm["name"] in leaving else "live"
        answer = await self.post("vm_list", "/debug/vms", {"vms": vms})
        assert answer.status == 200, answer.body

    def _describe_vms(self):
        place = self.placement
        fields = {"slots": place.slots, "fencing": place.fencing}
        vms = []
        for name, domain in place.engines.items():
            vms.append(describe_backend(name, self.addresses[name], domain, domain, **fields))
        for name, domain in place.services.items():
            fields = {"service": name.rstrip("0123456789"), "slots": 0}
            vms.append(describe_backend(name, self.addresses[name], domain, domain, **fields))
        for name, domain in place.nodes.items():
            if name in self.addresses:
                vms.append(describe_entry(name, self.addresses[name], domain, domain))
        return vms

    # Waiting

    async def wait_until(self, probe, what):
        """Await the coroutine function `probe` until it returns a true value, and return that.

        A connection error counts as a false value. The number of tries is bounded.
        """
        for _ in range(POLL_TRIES):
            try:
                result = await probe()
            except (ClientError, TimeoutError):
                result = None
            if result:
                return result
            await asyncio.sleep(POLL_PAUSE_S)
        raise AssertionError(f"{what}: not reached in {POLL_TRIES} tries\n{self.read_logs()}")

    async def wait_ready(self, name, revision=0):
        """Wait until a node is ready with the catalogue at `revision` or later."""

        async def probe():
            answer = await self.get(name, "/readyz")
            return answer.status == 200 and answer.json()["catalog_revision"] >= revision

        await self.wait_until(probe, f"{name} ready at revision {revision}")

    # Logs

    def read_log(self, name):
        return self.processes[name].log_path.read_text(encoding="utf-8", errors="replace")

    def read_logs(self, lines=15):
        """Return the last lines of every log that is not empty."""
        parts = []
        for name in self.processes:
            tail = self.read_log(name).splitlines()[-lines:]
            if tail:
                parts.append("\n".join([f"--- {name}", *tail]))
        return "\n".join(parts)
