"""Two gateways, of which one has lost its path to the backend servers.

Guards against requests that are refused, changed or run twice on their way through another gateway.
"""

import asyncio

import pytest
from aiohttp import ClientSession, ClientTimeout

from medlarbeam.classes.fleet import NodeRegistration, SoftwareVersion
from medlarbeam.platform.documents import encode_node
from medlarbeam.platform.tests.test_whole_path import HOST, STREAM, Deployment, wait_until
from medlarbeam.standins.free_ports import find_free_addresses
from medlarbeam.standins.platform_worker import PlatformWorker


def run_stranded(scenario, worker_class=PlatformWorker):
    """Run a scenario with a gateway that reaches no backend server, and one that does.

    `worker_class` is the class of the backend servers.
    """

    async def execute():
        async with Deployment() as stranded, Deployment("n2", worker_class) as other:
            address = other.shell.node.settings.address
            node = NodeRegistration("n2", "z1", address, 5)
            stranded.store.put("medlarbeam/node/n2", encode_node(node))
            for worker in stranded.workers.values():
                (worker.address,) = find_free_addresses(1)
                stranded.register(worker)
            fleet = stranded.shell.node.fleet
            await wait_until(lambda: "n2" in fleet.nodes and is_current(stranded))
            async with ClientSession(timeout=ClientTimeout(total=8)) as session:
                return await scenario(stranded, other, session)

    return asyncio.run(execute())


def is_current(deployment):
    servers = deployment.shell.node.fleet.servers
    return all(servers[w.name].entry.address == w.address for w in deployment.workers.values())


REQUESTS = [
    ("payment", "good", "pay", 200, b"paid", {1}),
    ("read", "good", "read", 200, b"paid", {1}),
    ("stream", "good", "chat", 200, STREAM, {1}),
    ("stream-that-may-not-be-resumed", "good", "draft", 200, STREAM, {1}),
    ("payment-whose-answer-is-lost", "reset", "pay", 502, None, {1}),
    ("payment-that-no-server-takes", "refuse", "pay", 503, None, {0}),
    ("payment-that-fails", "error", "pay", 500, b"bad", {1}),
    ("read-that-fails", "error", "read", 500, b"bad", {2}),
    ("payment-whose-server-is-silent", "never", "pay", 504, None, {1}),
]


@pytest.mark.parametrize(
    ("response_mode", "name", "status", "body", "runs"),
    [r[1:] for r in REQUESTS],
    ids=[r[0] for r in REQUESTS],
)
def test_request_is_answered_through_another_gateway(response_mode, name, status, body, runs):
    async def scenario(stranded, other, session):
        other.set_response_mode(response_mode)
        headers = {"Medlarbeam-Runs": "9"}  # of a caller, so it means nothing
        answers = [await stranded.call(session, name, f"id-{n}", headers) for n in range(3)]
        return answers, {other.count_runs(f"id-{n}") for n in range(3)}

    answers, counts = run_stranded(scenario)
    assert {answer[0] for answer in answers} == {status}
    assert body is None or {answer[1] for answer in answers} == {body}
    assert counts == runs


def test_broken_stream_is_resumed_at_the_other_gateway():
    async def scenario(stranded, other, session):
        await stranded.call(session, "chat", "id-0")
        first = next(w for w in other.workers.values() if "id-0" in w.executed_attempts)
        first.response_mode = "half"
        return await stranded.call(session, "chat", "id-1")

    assert run_stranded(scenario) == (200, STREAM)


def test_forwarding_gateway_learns_which_version_began_a_stream():
    async def scenario(stranded, other, session):
        for worker in other.workers.values():
            other.register(worker, software="v2")
        servers = other.shell.node.fleet.servers
        await wait_until(lambda: all(servers[w].entry.software == "v2" for w in other.workers))
        headers = {"Host": HOST, "X-Attempt-Id": "id-1", "X-Model": "m0/a1"}
        url = f"http://{stranded.front}/chat/1"
        async with session.post(url, headers=headers, data=b"order") as response:
            await response.read()
        return response.headers, stranded.shell.node.origins.origins["id-1"].version

    headers, version = run_stranded(scenario)
    assert version == SoftwareVersion("llm", "v2")
    assert "Medlarbeam-Origin" not in headers
