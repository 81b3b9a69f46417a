"""Test helper that runs a small deployment as processes on the loopback interface."""

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
from medlarbeam.standins.vm_list import describe_backend_vm, describe_entry_vm

__all__ = ["DeploymentSpec", "HttpResponse", "ProcessCluster", "build_note"]

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
MAX_POLLS = 300
POLL_INTERVAL_S = 0.1
DAEMON_COMMAND = ["-c", "from medlarbeam.daemon.main import main; main()"]
PLATFORM_STANDINS = {"kv": "kv", "vm_list": "vm_list", "weight_store": "weight_store"}


class HttpResponse(Record):
    """An HTTP response with its complete body as bytes."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return orjson.loads(self.body)


class DeploymentSpec(Record):
    """Nodes, engines and plain services of a deployment, and the settings of its engines.

    `nodes`, `engines` and `services` map names to failure domains. The service of a plain service
    is its name without trailing digits.
    """

    __slots__ = ("engines", "fencing", "nodes", "services", "slots")

    def __init__(self, nodes=None, engines=None, services=None, slots=4, fencing=True):
        self.nodes = nodes if nodes is not None else {"n1": "fd1", "n2": "fd1", "n3": "fd2"}
        self.engines = engines if engines is not None else {"e1": "fd1", "e2": "fd1", "e3": "fd2"}
        self.services = services if services is not None else {"ledger1": "fd1"}
        self.slots = slots
        self.fencing = fencing


def build_note(models, **fields):
    """Return the document of a release note that adds `models`."""
    entries = []
    for model in models:
        adapter, _, version = model.partition("@")
        source = f"lora/{adapter}/{version}"
        entries.append({"action": "add", "adapter": adapter, "version": version, "source": source})
    return {"entries": entries, **fields}


class ManagedProcess:
    """A child process, with the arguments that restart it at the same address."""

    __slots__ = ("address", "arguments", "log_path", "process")

    def __init__(self, arguments, address, log_path, process):
        self.arguments = arguments
        self.address = address
        self.log_path = log_path
        self.process = process


class ProcessCluster:
    """All processes of a small deployment.

    An asynchronous context manager. Leaving the block stops every process, also after an exception.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the log files.
    deployment : DeploymentSpec
    engine_options, daemon_options : list of str
        Additional flags of each engine and daemon.
    daemon_command : list of str
        Arguments with which the Python interpreter starts a daemon.
    """

    __slots__ = (
        "addresses",
        "daemon_command",
        "daemon_options",
        "deployment",
        "directory",
        "engine_options",
        "environment",
        "operator_secret",
        "processes",
        "session",
    )

    def __init__(
        self,
        directory,
        deployment=None,
        engine_options=(),
        daemon_options=(),
        daemon_command=DAEMON_COMMAND,
    ):
        self.directory = directory
        self.deployment = deployment if deployment is not None else DeploymentSpec()
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
        platform = find_free_addresses(len(PLATFORM_STANDINS))
        self.addresses.update(zip(PLATFORM_STANDINS, platform, strict=True))
        standins = asyncio.gather(self.start_platform(), self.start_backends(publish=False))
        await asyncio.gather(standins, self.start_nodes(publish=False))
        await self.publish_vms()
        for name in self.deployment.nodes:
            await self.wait_ready(name)

    async def start_platform(self):
        await asyncio.gather(*(self.start_standin(n, m) for n, m in PLATFORM_STANDINS.items()))

    async def start_backends(self, publish=True):
        """Start the engines and plain services, and publish the VM list."""
        spec = self.deployment
        options = [
            *("--slots", str(spec.slots), "--fencing", "yes" if spec.fencing else "no"),
            *("--weight-store", self.addresses.get("weight_store", "")),
            *self.engine_options,
        ]
        engines = (self.start_standin(n, "engine", "--name", n, *options) for n in spec.engines)
        services = (self.start_standin(n, "plain_service", "--name", n) for n in spec.services)
        await asyncio.gather(*engines, *services)
        if publish and "vm_list" in self.addresses:
            await self.publish_vms()

    async def start_nodes(self, publish=True):
        """Start the daemons.

        Their ports are chosen beforehand, because each daemon is given those of the others.
        """
        names = list(self.deployment.nodes)
        free_addresses = find_free_addresses(2 * len(names))
        for name, http, peer in zip(names, free_addresses[::2], free_addresses[1::2], strict=True):
            self.addresses[name], self.addresses[f"{name}-peer"] = http, peer
        if publish and "vm_list" in self.addresses:
            await self.publish_vms()
        await asyncio.gather(*(self.start_node(name) for name in names))

    async def start_node(self, name):
        """Start or restart a daemon."""
        domain = self.deployment.nodes[name]
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
        for other in self.deployment.nodes:
            if other != name:
                arguments += ["--peer", f"{other}={self.addresses[f'{other}-peer']}"]
        await self._spawn(name, [*arguments, *self.daemon_options])

    async def start_standin(self, name, module, *options):
        """Start a stand-in and read its address from the first line of its output."""
        listen = self.addresses.get(name, "127.0.0.1:0")
        arguments = ["-m", f"medlarbeam.standins.{module}", *options, "--listen", listen]
        managed = await self._spawn(name, arguments, prints_address=True)
        line = await asyncio.wait_for(managed.process.stdout.readline(), START_TIMEOUT_S)
        assert line, f"{name} did not start:\n{self.read_log(name)}"
        self.addresses[name] = managed.address = orjson.loads(line)["listen"]

    async def restart(self, name):
        """Restart a process that has ended, with the same address and arguments."""
        if name in self.deployment.nodes:
            await self.start_node(name)
            return
        module, *options, _, _ = self.processes[name].arguments[1:]
        await self.start_standin(name, module.rpartition(".")[2], *options)

    async def _spawn(self, name, arguments, prints_address=False):
        log_path = self.directory / f"{name}.log"
        with log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=DEVNULL,
                stdout=PIPE if prints_address else log,
                stderr=log if prints_address else STDOUT,
                env=self.environment,
            )
        managed = ManagedProcess(arguments, self.addresses.get(name, ""), log_path, process)
        self.processes[name] = managed
        return managed

    # Signals

    def send_signal(self, name, signal_number):
        self.processes[name].process.send_signal(signal_number)

    def pause(self, name):
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name):
        self.send_signal(name, signal.SIGCONT)

    async def kill(self, name):
        """Send SIGKILL to a process and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        await self.wait_exit(name)

    async def terminate(self, name):
        """Send SIGTERM to a process and return its exit status."""
        self.send_signal(name, signal.SIGTERM)
        return await self.wait_exit(name)

    async def wait_exit(self, name):
        """Wait for the end of a process and return its exit status, negative for a signal."""
        return await asyncio.wait_for(self.processes[name].process.wait(), STOP_TIMEOUT_S)

    async def stop_all(self):
        """Stop the processes that still run, the nodes first."""
        running = [n for n, m in self.processes.items() if m.process.returncode is None]
        nodes = [name for name in running if name in self.deployment.nodes]
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
        """Send a request to the process `name`; a lost connection raises `ClientError`."""
        body = orjson.dumps(document) if document is not None else None
        url = f"http://{self.addresses[name]}{path}"
        async with self.session.request(method, url, data=body, headers=headers) as response:
            return HttpResponse(response.status, response.headers, await response.read())

    async def get(self, name, path, headers=None):
        return await self.request("GET", name, path, headers=headers)

    async def post(self, name, path, document, headers=None):
        return await self.request("POST", name, path, document, headers)

    async def complete(self, node, model, prompt, **fields):
        """Send a completion request; `fields` are additional fields of its body."""
        document = {"model": model, "prompt": prompt, **fields}
        return await self.post(node, "/v1/completions", document)

    async def add_models(self, node, models):
        """Add models to the catalog with a release note."""
        headers = {**self._operator_headers(), "X-Note-Id": f"note-{token_hex(8)}"}
        return await self.post(node, "/admin/v1/notes", build_note(models), headers)

    async def request_admin(self, node, path, method="GET"):
        """Send a request to the admin API and return the document of the response."""
        response = await self.request(
            method, node, f"/admin/v1/{path}", None, self._operator_headers()
        )
        assert response.status == 200, response.body
        return response.json()

    def _operator_headers(self):
        return {"Authorization": f"Bearer {self.operator_secret}", "X-Operator": "test"}

    async def fetch_servers(self, node):
        """Return the status that `node` reports for each backend server, by name."""
        status = await self.request_admin(node, "status")
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
        return await asyncio.wait_for(process.wait(), 2 * START_TIMEOUT_S)

    async def charge(self, node, reference, key, service="ledger", amount_cents=500):
        """Send a non-idempotent charge with the idempotency key `key`."""
        headers = {"X-Caller": "test", "X-Non-Idempotent": "true", "Idempotency-Key": key}
        document = {"account": "a", "amount_cents": amount_cents, "reference": reference}
        return await self.post(node, f"/v1/services/{service}/charge", document, headers)

    async def set_faults(self, name, **faults):
        response = await self.post(name, "/debug/faults", faults)
        assert response.status == 200, response.body

    async def fetch_journal(self, name):
        return (await self.get(name, "/debug/journal")).json()

    async def publish_vms(self, leaving=(), removed=()):
        """Publish the VM list without `removed`, with the names in `leaving` marked as such."""
        vms = [vm for vm in self._build_vm_list() if vm["name"] not in removed]
        for vm in vms:
            vm["state"] = "leaving" if vm["name"] in leaving else "live"
        response = await self.post("vm_list", "/debug/vms", {"vms": vms})
        assert response.status == 200, response.body

    def _build_vm_list(self):
        spec = self.deployment
        fields = {"slots": spec.slots, "fencing": spec.fencing}
        vms = []
        for name, domain in spec.engines.items():
            vms.append(describe_backend_vm(name, self.addresses[name], domain, domain, **fields))
        for name, domain in spec.services.items():
            fields = {"service": name.rstrip("0123456789"), "slots": 0}
            vms.append(describe_backend_vm(name, self.addresses[name], domain, domain, **fields))
        for name, domain in spec.nodes.items():
            if name in self.addresses:
                vms.append(describe_entry_vm(name, self.addresses[name], domain, domain))
        return vms

    # Waiting

    async def wait_until(self, probe, condition):
        """Await the coroutine function `probe` until it returns a true value, and return that.

        A connection error counts as a false value. Fails after `MAX_POLLS` calls.
        """
        for _ in range(MAX_POLLS):
            try:
                result = await probe()
            except (ClientError, TimeoutError):
                result = None
            if result:
                return result
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"{condition}: not reached after {MAX_POLLS} polls\n{self.read_logs()}"
        )

    async def wait_ready(self, name, revision=0):
        """Wait until a node is ready with the catalog at `revision` or later."""

        async def probe():
            response = await self.get(name, "/readyz")
            return response.status == 200 and response.json()["catalog_revision"] >= revision

        await self.wait_until(probe, f"{name} ready at revision {revision}")

    # Logs

    def read_log(self, name):
        return self.processes[name].log_path.read_text(encoding="utf-8", errors="replace")

    def read_logs(self, lines=15):
        """Return the last `lines` lines of each non-empty log."""
        parts = []
        for name in self.processes:
            tail = self.read_log(name).splitlines()[-lines:]
            if tail:
                parts.append("\n".join([f"--- {name}", *tail]))
        return "\n".join(parts)
