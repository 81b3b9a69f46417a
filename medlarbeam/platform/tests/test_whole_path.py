"""The whole path on loopback: callers, the gateway's shell, workers and the store."""

import asyncio
import socket

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout
from aiohttp.web import AppRunner, SockSite
from orjson import dumps

from medlarbeam.gateway.tests.fleet_samples import make_settings
from medlarbeam.platform import server_client
from medlarbeam.platform.__main__ import build_gateway_shell
from medlarbeam.platform.settings import PlatformSettings
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.platform_store import PlatformStore
from medlarbeam.standins.platform_worker import PlatformWorker, event

HOST = "h.example"
BROKEN = -1  # the connection ended without a whole answer


def bind():
    """Return a listening socket on a port that the system chooses, and its address."""
    sock = socket.create_server(("127.0.0.1", 0))
    return sock, f"127.0.0.1:{sock.getsockname()[1]}"


def route(name, kind, service, **fields):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 1500,
        "goalLatencyMs": 400,
        "service": service,
        "attempts": 2,
        "priority": 0,
        **fields,
    }


ENGINE = {
    "slots": 4,
    "weightsMb": 100.0,
    "adapterCapacity": 2,
    "loadsPerS": 7.0,
    "models": [{"name": "m0", "weightsMb": 50.0, "loadTimeS": 1.0, "adapterSizeMb": 1.0}],
}
CONFIG = {
    "version": 3,
    "limits": {"maxBodyBytes": 3 << 20},
    "routes": [
        route("read", "idempotent", "ledger"),
        route("pay", "non_idempotent", "ledger", attempts=1),
        route("chat", "streaming", "llm", resumable=True, gapAimMs=250),
        route("draft", "streaming", "llm", attempts=1, gapAimMs=250),
    ],
    "services": [
        {"name": "ledger", "maxConns": 9},
        {"name": "llm", "maxConns": 9, "engine": ENGINE},
    ],
}


class Deployment:
    """A gateway with two workers of each service and a store, all on loopback."""

    __slots__ = ("addresses", "front", "runner", "shell", "store", "workers")

    def __init__(self):
        self.store = PlatformStore()
        self.workers = {name: PlatformWorker(name) for name in ("l1", "l2", "w1", "w2")}
        self.runner = None
        self.shell = None
        self.addresses = find_free_addresses(4)
        self.front = self.addresses[0]

    async def __aenter__(self):
        sock, address = bind()
        self.runner = AppRunner(self.store.build_app())
        await self.runner.setup()
        await SockSite(self.runner, sock).start()
        for worker in self.workers.values():
            await worker.start()
            self.register(worker)
        self.store.put("op/config", dumps(CONFIG))
        gateway = make_settings("n1", "z1")
        _, ready, gateway.address, metrics = self.addresses
        settings = PlatformSettings(
            gateway, self.front, ready, gateway.address, metrics, address, 0.5
        )
        self.shell = build_gateway_shell(settings)
        await self.shell.start()
        async with asyncio.timeout(5):
            while not self.shell.is_ready() or not self.shell.node.orders.desks:
                await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *error):
        await self.shell.stop()
        for worker in self.workers.values():
            worker.stop()
        await self.runner.cleanup()

    def register(self, worker):
        is_engine = worker.name.startswith("w")
        models = [{"name": "m0", "version": 1, "adapters": []}] if is_engine else []
        document = {
            "service": "llm" if is_engine else "ledger",
            "address": worker.address,
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "born": 1,
            "models": models,
        }
        self.store.put(f"servers/{worker.name}", dumps(document))

    def behave(self, behaviour):
        for worker in self.workers.values():
            worker.behaviour = behaviour

    def runs(self, attempt):
        return sum(worker.ran.count(attempt) for worker in self.workers.values())

    async def call(self, session, route_name, attempt, headers=(), body=b"order"):
        """Return ``(status, body)`` of a request, status `BROKEN` if its answer is not whole."""
        method = "GET" if route_name == "read" else "POST"
        fields = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "2000", **dict(headers)}
        if route_name in ("chat", "draft"):
            fields["X-Model"] = "m0/a1"
        try:
            async with session.request(
                method, f"http://{self.front}/{route_name}/1", headers=fields, data=body
            ) as response:
                return response.status, await response.read()
        except ClientError:
            return BROKEN, b""


def run(scenario):
    """Run a scenario with a deployment and a session."""

    async def play():
        async with Deployment() as deployment:
            async with ClientSession(timeout=ClientTimeout(total=8)) as session:
                return await scenario(deployment, session)

    return asyncio.run(play())


STREAM = event(1) + event(2) + event(3)
ANSWERS = [
    ("whole-answer", "good", "read", 200, b"paid", {1}),
    ("payment-runs-once", "good", "pay", 200, b"paid", {1}),
    ("stream-is-whole", "good", "chat", 200, STREAM, {1}),
    ("answer-without-a-length", "unframed", "pay", 200, b"paid", {1}),
    ("reset-answer-without-a-length-is-not-whole", "unframed_reset", "pay", 502, None, {1}),
    ("lost-answer-of-a-payment-is-never-repeated", "reset", "pay", 502, None, {1}),
    ("lost-answer-of-a-read-is-repeated-once", "reset", "read", 502, None, {2}),
    ("error-of-a-payment-is-passed", "error", "pay", 500, b"bad", {1}),
    ("error-of-a-read-is-tried-elsewhere", "error", "read", 500, b"bad", {2}),
    ("answer-of-another-request", "other_id", "pay", 502, None, {1}),
    ("answer-without-a-signature", "unsigned", "pay", 502, None, {1}),
    ("answer-in-an-encoding", "encoded", "pay", 502, None, {1}),
    ("bytes-that-are-no-answer", "garbage", "pay", 502, None, {1}),
    ("refused-everywhere-has-not-run", "refuse", "pay", 503, None, {0}),
    ("silent-server-gets-a-final-answer", "never", "pay", 504, None, {1}),
    ("half-a-stream-is-not-whole", "half", "draft", BROKEN, None, {1}),
]


@pytest.mark.parametrize(
    ("behaviour", "name", "status", "body", "runs"),
    [a[1:] for a in ANSWERS],
    ids=[a[0] for a in ANSWERS],
)
def test_answer_that_the_caller_gets(behaviour, name, status, body, runs):
    async def scenario(deployment, session):
        deployment.behave(behaviour)
        result = await deployment.call(session, name, "id-1")
        return result, deployment.runs("id-1")

    (seen_status, seen_body), seen_runs = run(scenario)
    assert seen_status == status
    assert body is None or seen_body == body
    assert seen_runs in runs


def test_late_second_answer_never_reaches_the_next_request():
    async def scenario(deployment, session):
        deployment.behave("twice")
        return [await deployment.call(session, "read", f"id-{i}") for i in range(8)]

    results = run(scenario)
    assert results[0] == (200, b"paid")
    assert results.count((200, b"paid")) >= len(results) // 2
    assert {status for status, body in results if body != b"paid"} <= {502}


def test_reset_is_taken_for_the_end_without_the_check(monkeypatch):
    """Shows that `check_end` is what keeps half an answer without a length from passing."""
    monkeypatch.setattr(server_client, "check_end", lambda response, protocol: None)

    async def scenario(deployment, session):
        deployment.behave("unframed_reset")
        return await deployment.call(session, "read", "id-1")

    assert run(scenario)[0] == 200


def test_stream_goes_on_at_the_other_worker_without_a_gap():
    async def scenario(deployment, session):
        await deployment.call(session, "chat", "id-0")
        first = next(w for w in deployment.workers.values() if "id-0" in w.ran)
        first.behaviour = "half"
        return await deployment.call(session, "chat", "id-1")

    assert run(scenario) == (200, STREAM)


FAULTS = [
    ("store-answers-503", "busy"),
    ("store-is-silent", "silent"),
]


@pytest.mark.parametrize("fault", [f[1] for f in FAULTS], ids=[f[0] for f in FAULTS])
def test_payments_go_on_while_the_store_is_away(fault):
    async def scenario(deployment, session):
        deployment.store.fault = fault
        await asyncio.sleep(0.7)
        return await deployment.call(session, "pay", "id-1")

    assert run(scenario) == (200, b"paid")


def forget_history(store):
    store.forget_history()
    store.put("op/config", dumps({**CONFIG, "version": 4, "routes": CONFIG["routes"][:1]}))
    store.forget_history()


def lose_lease(store):
    store.put("op/config", dumps({**CONFIG, "version": 4, "routes": CONFIG["routes"][:1]}))
    store.end_leases()


CHANGES = [("history-is-forgotten", forget_history), ("lease-is-lost", lose_lease)]


@pytest.mark.parametrize("change", [c[1] for c in CHANGES], ids=[c[0] for c in CHANGES])
def test_change_of_the_configuration_arrives_after(change):
    async def scenario(deployment, session):
        change(deployment.store)
        async with asyncio.timeout(5):
            while (await deployment.call(session, "pay", "id-1"))[0] != 404:
                await asyncio.sleep(0.05)
        async with asyncio.timeout(5):
            while not deployment.shell.node.rights.find_fence("w1", deployment.shell.read_clock()):
                await asyncio.sleep(0.05)
        return await deployment.call(session, "read", "id-2")

    assert run(scenario) == (200, b"paid")


BODIES = [
    ("body-above-the-library-s-limit-is-passed", (1 << 20) + 10, 200, 1),
    ("body-above-the-configured-limit-is-refused", (3 << 20) + 1, 413, 0),
]


@pytest.mark.parametrize(
    ("size", "status", "runs"), [b[1:] for b in BODIES], ids=[b[0] for b in BODIES]
)
def test_long_body(size, status, runs):
    async def scenario(deployment, session):
        seen, _ = await deployment.call(session, "pay", "id-1", body=b"x" * size)
        return seen, deployment.runs("id-1")

    assert run(scenario) == (status, runs)


def test_caller_that_leaves_ends_the_work():
    async def scenario(deployment, session):
        deployment.behave("never")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await deployment.call(session, "read", "id-1")
        await asyncio.sleep(0.3)
        return deployment.shell.node.relays.open_count()

    assert run(scenario) == 0
