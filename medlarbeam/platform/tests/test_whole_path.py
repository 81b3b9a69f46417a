"""The complete gateway process on loopback, with stand-ins of backend servers and the store.

Guards against callers that receive wrong or incomplete responses, non-idempotent requests that run
twice, and gateways that fail together with the store.
"""

import asyncio
import socket
from base64 import b64decode
from math import inf
from resource import RUSAGE_SELF, getrusage

import pytest
from aiohttp import ClientError, ClientSession, ClientTimeout
from aiohttp.web import AppRunner, SockSite
from orjson import dumps, loads

from medlarbeam.classes.messages import Shutdown
from medlarbeam.daemon.http_client import CheckedResponse
from medlarbeam.gateway.tests.fleet_samples import make_settings
from medlarbeam.platform.gateway_daemon import build_gateway_shell
from medlarbeam.platform.settings import PlatformSettings
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.platform_store import PlatformStore
from medlarbeam.standins.platform_worker import (
    HEAD_STARTS,
    LEAVING_HEADER,
    PlatformWorker,
    encode_event,
)

HOST = "h.example"
BROKEN = -1  # the connection closed before the response was complete


def open_listener():
    """Return a socket that listens on a free port, and its address."""
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
    """A gateway, two stand-in backend servers of each service and a store, all on loopback."""

    __slots__ = ("addresses", "front", "name", "runner", "settings", "shell", "store", "workers")

    def __init__(self, name="n1", worker_class=PlatformWorker):
        self.name = name
        self.store = PlatformStore()
        self.workers = {name: worker_class(name) for name in ("l1", "l2", "w1", "w2")}
        self.runner = None
        self.shell = None
        self.addresses = find_free_addresses(4)
        self.front = self.addresses[0]

    async def __aenter__(self):
        sock, address = open_listener()
        self.runner = AppRunner(self.store.build_app())
        await self.runner.setup()
        await SockSite(self.runner, sock).start()
        for worker in self.workers.values():
            await worker.start()
            self.register(worker)
        self.store.put("op/config", dumps(CONFIG))
        gateway = make_settings(self.name, "z1")
        _, ready, gateway.address, metrics = self.addresses
        self.settings = PlatformSettings(
            gateway, self.front, ready, gateway.address, metrics, address, 0.5
        )
        await self.start_gateway()
        return self

    async def start_gateway(self):
        """Start a gateway that knows nothing but what is in the store."""
        self.shell = build_gateway_shell(self.settings)
        await self.shell.start()
        async with asyncio.timeout(5):
            while not self.shell.is_ready() or not self.shell.node.orders.schedulers:
                await asyncio.sleep(0.02)

    async def __aexit__(self, *error):
        self.store.silent_paths.clear()
        await self.shell.stop()
        for worker in self.workers.values():
            worker.stop()
        await self.runner.cleanup()

    def register(self, worker, state="ready", software="v1"):
        is_engine = worker.name.startswith("w")
        models = [{"name": "m0", "version": 1, "adapters": []}] if is_engine else []
        document = {
            "service": "llm" if is_engine else "ledger",
            "address": worker.address,
            "zone": "z1",
            "version": software,
            "slots": 4,
            "coldRemainingMs": 0,
            "seq": 1,
            "state": state,
            "born": worker.incarnation or 1,
            "models": models,
        }
        self.store.put(f"servers/{worker.name}", dumps(document))

    def set_response_mode(self, response_mode):
        for worker in self.workers.values():
            worker.response_mode = response_mode

    def count_runs(self, attempt):
        return sum(worker.executed_attempts.count(attempt) for worker in self.workers.values())

    async def call(self, session, route_name, attempt, headers=(), body=b"order"):
        """Return ``(status, body)``; the status is `BROKEN` if the response is incomplete."""
        method = "GET" if route_name == "read" else "POST"
        fields = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "2000", **dict(headers)}
        if route_name in ("chat", "draft"):
            fields.setdefault("X-Model", "m0/a1")
        try:
            async with session.request(
                method, f"http://{self.front}/{route_name}/1", headers=fields, data=body
            ) as response:
                return response.status, await response.read()
        except ClientError:
            return BROKEN, b""


def run(scenario, worker_class=PlatformWorker):
    """Run a scenario with a started deployment and a client session."""

    async def execute():
        async with Deployment(worker_class=worker_class) as deployment:
            async with ClientSession(timeout=ClientTimeout(total=8)) as session:
                return await scenario(deployment, session)

    return asyncio.run(execute())


STREAM = encode_event(1) + encode_event(2) + encode_event(3)
RESPONSES = [
    ("complete-response", "good", "read", 200, b"paid", {1}),
    ("payment-runs-once", "good", "pay", 200, b"paid", {1}),
    ("stream-is-complete", "good", "chat", 200, STREAM, {1}),
    ("response-without-content-length", "unframed", "pay", 200, b"paid", {1}),
    ("reset-without-content-length-is-incomplete", "unframed_reset", "pay", 502, None, {1}),
    ("payment-is-not-retried-after-a-lost-response", "reset", "pay", 502, None, {1}),
    ("read-is-retried-once-after-a-lost-response", "reset", "read", 502, None, {2}),
    ("error-of-a-payment-is-forwarded", "error", "pay", 500, b"bad", {1}),
    ("read-is-retried-on-another-server-after-an-error", "error", "read", 500, b"bad", {2}),
    ("response-to-another-request", "other_id", "pay", 502, None, {1}),
    ("response-without-signature", "unsigned", "pay", 502, None, {1}),
    ("response-with-content-encoding", "encoded", "pay", 502, None, {1}),
    ("malformed-response", "garbage", "pay", 502, None, {1}),
    ("request-refused-by-all-servers-has-not-run", "refuse", "pay", 503, None, {0}),
    ("timeout-of-a-silent-server", "never", "pay", 504, None, {1}),
    ("truncated-stream-closes-the-connection", "half", "draft", BROKEN, None, {1}),
    *(
        (f"head-broken-{start}-of-{name}", f"head_broken_{start}", name, 502, None, {1})
        for start in HEAD_STARTS
        for name in ("pay", "draft")
    ),
    ("head-broken-after-length-of-a-read", "head_broken_after_length", "read", 502, None, {2}),
    ("head-broken-after-length-of-a-chat", "head_broken_after_length", "chat", 502, None, {2}),
]


@pytest.mark.parametrize(
    ("response_mode", "name", "status", "body", "runs"),
    [a[1:] for a in RESPONSES],
    ids=[a[0] for a in RESPONSES],
)
def test_response_to_caller(response_mode, name, status, body, runs):
    async def scenario(deployment, session):
        deployment.set_response_mode(response_mode)
        result = await deployment.call(session, name, "id-1")
        return result, deployment.count_runs("id-1")

    (seen_status, seen_body), seen_runs = run(scenario)
    assert seen_status == status
    assert body is None or seen_body == body
    assert seen_runs in runs


PAUSES = [
    ("pause-in-seconds", ("30",), True),
    ("pause-with-a-fraction", ("29.5",), True),
    ("huge-pause", ("9" * 40,), True),
    ("no-header", (), False),
    ("zero", ("0",), False),
    ("date", ("Wed, 21 Oct 2026 07:28:00 GMT",), False),
    ("negative", ("-3",), False),
    ("empty", ("",), False),
    ("repeated", ("30", "30"), False),
    ("words", ("soon",), False),
]


@pytest.mark.parametrize(("values", "is_kept"), [p[1:] for p in PAUSES], ids=[p[0] for p in PAUSES])
def test_pause_that_servers_ask_for_is_kept(values, is_kept):
    """Requests went on to reach servers that had asked for a pause."""

    async def scenario(deployment, session):
        ledgers = [deployment.workers[name] for name in ("l1", "l2")]
        for worker in ledgers:
            worker.pause_values = values
            worker.paused_until = inf
            if not values:
                worker.paused_until, worker.response_mode = 0.0, "refuse"
        first, _ = await deployment.call(session, "pay", "id-1")
        for worker in ledgers:
            worker.paused_until, worker.response_mode = 0.0, "good"
        arrived = sum(worker.request_count for worker in ledgers)
        second, _ = await deployment.call(session, "pay", "id-2")
        arrived = sum(worker.request_count for worker in ledgers) - arrived
        return first, second, arrived, deployment.count_runs("id-1")

    assert run(scenario) == (503, *((503, 0) if is_kept else (200, 1)), 0)


ENDLESS = [
    ("no-response-without-end", "endless_garbage", "pay", {502}, {1}),
    ("head-without-end", "endless_head", "pay", {502}, {1}),
    ("informational-responses-without-end", "endless_status", "pay", {502, 504}, {1}),
    ("body-without-end", "endless_body", "pay", {502}, {1}),
    ("body-without-length-and-end", "endless_unframed_body", "pay", {502}, {1}),
    ("error-response-without-end", "endless_body", "read", {502}, {2}),
    ("event-without-end", "endless_body", "draft", {502, BROKEN}, {1}),
    ("line-feeds-without-end", "endless_line_feeds", "draft", {502, BROKEN}, {1}),
    ("events-without-ids-without-end", "endless_events_without_id", "draft", {502, BROKEN}, {1}),
    ("early-hints-without-end", "endless_early_hints", "pay", {502}, {1}),
    ("further-responses-without-end", "endless_responses", "pay", {200, 502}, {1}),
    ("refusal-without-end-has-not-run", "endless_refusal", "pay", {503}, {0}),
]
MAX_MEMORY_GROWTH_KB = 64 * 1024


@pytest.mark.parametrize(
    ("response_mode", "name", "statuses", "runs"),
    [e[1:] for e in ENDLESS],
    ids=[e[0] for e in ENDLESS],
)
def test_endless_response_ends_with_a_failure_and_bounded_memory(
    response_mode, name, statuses, runs
):
    async def scenario(deployment, session):
        deployment.set_response_mode(response_mode)
        before = getrusage(RUSAGE_SELF).ru_maxrss
        status, _ = await deployment.call(session, name, "id-1")
        return status, getrusage(RUSAGE_SELF).ru_maxrss - before, deployment.count_runs("id-1")

    status, growth_kb, seen_runs = run(scenario)
    assert status in statuses
    assert growth_kb <= MAX_MEMORY_GROWTH_KB
    assert seen_runs in runs


def test_duplicate_response_is_not_passed_to_next_request():
    async def scenario(deployment, session):
        deployment.set_response_mode("twice")
        return [await deployment.call(session, "read", f"id-{i}") for i in range(8)]

    results = run(scenario)
    assert results[0] == (200, b"paid")
    assert results.count((200, b"paid")) >= len(results) // 2
    assert {status for status, body in results if body != b"paid"} <= {502}


def test_truncated_response_is_accepted_without_the_check(monkeypatch):
    """Shows that only `check_end` detects a truncated response without a length."""
    monkeypatch.setattr(CheckedResponse, "check_end", lambda response: None)

    async def scenario(deployment, session):
        deployment.set_response_mode("unframed_reset")
        return await deployment.call(session, "read", "id-1")

    assert run(scenario)[0] == 200


LEAVING_RESPONSES = [
    ("in-a-success", "good", "read", "source=success"),
    ("in-a-payment", "good", "pay", "source=success"),
    ("in-a-refusal", "refuse", "pay", "source=refusal"),
    ("in-a-failure", "error", "pay", "source=failure"),
    ("in-a-response-that-ends-too-soon", "half", "read", "source=success"),
    ("in-the-head-of-a-stream", "good", "chat", "source=stream"),
]


@pytest.mark.parametrize("store_fault", ["", "busy"], ids=["store-up", "store-down"])
@pytest.mark.parametrize(
    ("response_mode", "name", "source"),
    [r[1:] for r in LEAVING_RESPONSES],
    ids=[r[0] for r in LEAVING_RESPONSES],
)
def test_server_that_says_in_a_response_that_it_leaves_gets_no_further_request(
    response_mode, name, source, store_fault, caplog
):
    async def scenario(deployment, session):
        pair = ("w1", "w2") if name == "chat" else ("l1", "l2")
        if name == "chat":
            await deployment.call(session, name, "id-0")  # loads the adapter
            # The check of the server's start would be another response with the header.
            await wait_until(lambda: not deployment.shell.node.starts.waiting)
        deployment.store.injected_fault = store_fault
        for worker in (deployment.workers[n] for n in pair):
            worker.leaving_header = LEAVING_HEADER
            worker.response_mode = response_mode
        caplog.set_level("INFO")
        await deployment.call(session, name, "id-1")
        fleet = deployment.shell.node.fleet
        left = [n for n in pair if fleet.is_leaving(n, 1)]
        for worker in deployment.workers.values():
            worker.response_mode = "good"
            worker.executed_attempts.clear()
            if worker.name not in left:
                worker.leaving_header = b""
        for number in range(6):
            await deployment.call(session, name, f"id-{number + 2}")
        lines = [r.getMessage() for r in caplog.records if r.event == "server_leaving"]
        return left, [deployment.workers[n].executed_attempts for n in left], lines

    left, executed, lines = run(scenario)
    assert left
    assert executed == [[]] * len(left)
    assert len(lines) == len(left)
    assert all(source in line and "value='1'" in line for line in lines)


FOREIGN = [
    ("other-server-at-the-address", b"X-Instance-Id: l9\r\nServer-Leaving: 1\r\n", False),
    ("the-server-itself", b"X-Instance-Id: %s\r\nServer-Leaving: 1\r\n", True),
    ("server-that-stays", b"Server-Leaving: 0\r\n", False),
]


@pytest.mark.parametrize(
    ("header", "is_out"), [f[1:] for f in FOREIGN], ids=[f[0] for f in FOREIGN]
)
def test_statement_counts_only_for_the_server_that_makes_it(header, is_out):
    async def scenario(deployment, session):
        for worker in deployment.workers.values():
            name = worker.name.encode()
            worker.leaving_header = header % name if b"%s" in header else header
        result = await deployment.call(session, "pay", "id-1")
        fleet = deployment.shell.node.fleet
        return result, [fleet.is_leaving(name, 1) for name in ("l1", "l2")]

    result, seen = run(scenario)
    assert result == (200, b"paid")
    assert any(seen) is is_out


def test_statement_in_the_response_to_an_order_ends_the_orders():
    async def scenario(deployment, session):
        for name in ("w1", "w2"):
            deployment.workers[name].leaving_header = LEAVING_HEADER
        results = [
            await deployment.call(session, "chat", f"id-{number}", {"X-Deadline-Ms": "900"})
            for number in range(4)
        ]
        await asyncio.sleep(0.3)
        return results, [deployment.workers[name].order_count for name in ("w1", "w2")]

    results, orders = run(scenario)
    assert max(orders) <= 1
    assert [status for status, _ in results] == [503] * 4


async def wait_until(condition):
    """Wait until `condition` returns true; fail after 5 s."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


HARMFUL = {"X-Prompt-Prefix": "5e5e:8,bad0:4,1:2"}


def test_request_that_crashed_servers_is_refused_with_its_prompt_part():
    async def serve_harmless_request(deployment, session):
        status = 0
        async with asyncio.timeout(10):
            while status != 200:  # until the adapter is loaded on a remaining server
                headers = {"X-Prompt-Prefix": "5e5e:8,a:2"}
                status, _ = await deployment.call(session, "chat", "ok", headers)

    async def scenario(deployment, session):
        for name in ("w3", "w4"):
            deployment.workers[name] = PlatformWorker(name)
            await deployment.workers[name].start()
            deployment.register(deployment.workers[name])
        for worker in deployment.workers.values():
            worker.harmful_part = "bad0"
        statuses = []
        for number in range(3):
            await serve_harmless_request(deployment, session)
            attempt, body = f"id-{number}", b"%d" % number
            statuses.append((await deployment.call(session, "draft", attempt, HARMFUL, body))[0])
        key = "medlarbeam/quarantine/part:bad0"
        await wait_until(lambda: key in deployment.store.items)
        return statuses, [deployment.count_runs(f"id-{number}") for number in range(3)]

    statuses, runs = run(scenario)
    assert statuses == [502, 502, 503]
    assert runs == [1, 1, 0]


def test_stream_resumes_on_another_server_without_a_gap():
    async def scenario(deployment, session):
        await deployment.call(session, "chat", "id-0")
        first = next(w for w in deployment.workers.values() if "id-0" in w.executed_attempts)
        first.response_mode = "half"
        return await deployment.call(session, "chat", "id-1")

    assert run(scenario) == (200, STREAM)


FAULTS = [
    ("store-returns-503", "busy"),
    ("store-is-silent", "silent"),
]


@pytest.mark.parametrize("fault", [f[1] for f in FAULTS], ids=[f[0] for f in FAULTS])
def test_payments_are_served_while_the_store_is_unavailable(fault):
    async def scenario(deployment, session):
        deployment.store.injected_fault = fault
        await asyncio.sleep(0.7)
        return await deployment.call(session, "pay", "id-1")

    assert run(scenario) == (200, b"paid")


def compact_history(store):
    store.compact_history()
    store.put("op/config", dumps({**CONFIG, "version": 4, "routes": CONFIG["routes"][:1]}))
    store.compact_history()


def expire_lease(store):
    store.put("op/config", dumps({**CONFIG, "version": 4, "routes": CONFIG["routes"][:1]}))
    store.revoke_all_leases()


def write_registration_again(store):
    """Carry out an earlier registration of the same process late, and free its rights."""
    item = store.items["medlarbeam/node/n1"]
    store.put(item.key, b64decode(item.value), item.lease)
    for engine in ("w1", "w2"):
        store.put(f"medlarbeam/right/{engine}", dumps({"node": ""}))
    store.put("op/config", dumps({**CONFIG, "version": 4, "routes": CONFIG["routes"][:1]}))


def delete_registration(store):
    store.put("op/config", dumps({**CONFIG, "version": 4, "routes": CONFIG["routes"][:1]}))
    store.delete("medlarbeam/node/n1")


def send_malformed_responses(store):
    store.injected_fault = "malformed"
    expire_lease(store)


CHANGES = [
    ("history-was-compacted", compact_history),
    ("lease-expired", expire_lease),
    ("registration-was-deleted", delete_registration),
    ("registration-was-written-late", write_registration_again),
    ("malformed-responses", send_malformed_responses),
]


@pytest.mark.parametrize("change", [c[1] for c in CHANGES], ids=[c[0] for c in CHANGES])
def test_configuration_change_is_applied_and_rights_regained(change):
    async def scenario(deployment, session):
        calls = len(deployment.store.calls)
        change(deployment.store)
        await wait_until(lambda: len(deployment.store.calls) > calls + 4)
        deployment.store.injected_fault = ""
        async with asyncio.timeout(5):
            while (await deployment.call(session, "pay", "id-1"))[0] != 404:
                await asyncio.sleep(0.05)
        async with asyncio.timeout(8):  # a free right is acquired after the order gap of 3 s
            while not deployment.shell.node.rights.find_fence("w1", deployment.shell.read_clock()):
                await asyncio.sleep(0.05)
        return await deployment.call(session, "read", "id-2")

    assert run(scenario) == (200, b"paid")


RELEASES = [
    ("right-of-this-process-is-released", False, ""),
    ("right-that-a-later-process-uses-is-kept", True, "n1"),
]


@pytest.mark.parametrize(
    ("is_restarted", "holder"), [r[1:] for r in RELEASES], ids=[r[0] for r in RELEASES]
)
def test_release_of_rights_ends_with_the_registration_of_the_process(is_restarted, holder):
    """The store may carry out a release late, when the next process has registered."""

    async def scenario(deployment, session):
        store, shell = deployment.store, deployment.shell
        if is_restarted:
            store.silent_paths.add("/kv-watch")
            registration = {"failure_domain": "z1", "address": "127.0.0.1:1", "incarnation": 99}
            store.put("medlarbeam/node/n1", dumps(registration))
        shell.deliver(Shutdown())
        async with asyncio.timeout(8):
            await shell.exited.wait()
        await asyncio.sleep(0.2)
        return loads(b64decode(store.items["medlarbeam/right/w1"].value))["node"]

    assert run(scenario) == holder


TAKEOVERS = [
    ("right-that-another-node-took-is-not-used-before-the-store-is-read", True, False),
    ("right-that-was-kept-is-used-once-the-store-is-read", False, True),
]


@pytest.mark.parametrize(
    ("is_taken", "is_used"), [t[1:] for t in TAKEOVERS], ids=[t[0] for t in TAKEOVERS]
)
def test_rights_after_an_outage_that_ended_the_lease(is_taken, is_used):
    async def scenario(deployment, session):
        store = deployment.store
        if is_taken:
            store.silent_paths.add("/kv-watch")
            for engine in ("w1", "w2"):
                store.put(f"medlarbeam/right/{engine}", dumps({"node": "n2"}))
        store.revoke_all_leases()
        await wait_until(lambda: "medlarbeam/node/n1" in store.items)
        if not is_taken:
            rights, clock = deployment.shell.node.rights, deployment.shell.read_clock
            await wait_until(lambda: rights.find_fence("w1", clock()))
        await deployment.call(session, "chat", "id-1", {"X-Deadline-Ms": "500"})
        return sum(worker.order_count for worker in deployment.workers.values())

    assert bool(run(scenario)) is is_used


BODIES = [
    ("body-above-the-library-s-limit-is-accepted", (1 << 20) + 10, 200, 1),
    ("body-above-the-configured-limit-is-refused", (3 << 20) + 1, 413, 0),
]


@pytest.mark.parametrize(
    ("size", "status", "runs"), [b[1:] for b in BODIES], ids=[b[0] for b in BODIES]
)
def test_large_request_body(size, status, runs):
    async def scenario(deployment, session):
        seen, _ = await deployment.call(session, "pay", "id-1", body=b"x" * size)
        return seen, deployment.count_runs("id-1")

    assert run(scenario) == (status, runs)


def test_request_ends_when_the_caller_disconnects():
    async def scenario(deployment, session):
        deployment.set_response_mode("never")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await deployment.call(session, "read", "id-1")
        await asyncio.sleep(0.3)
        return deployment.shell.node.relays.open_count()

    assert run(scenario) == 0
