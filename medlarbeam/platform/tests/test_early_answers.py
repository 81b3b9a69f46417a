"""Backend servers that answer before they have read the request, and break the answer off.

Guards against callers that receive a part of a response as if it were the whole, and against bytes
that stand where a backend server expects the rest of a request.
"""

import asyncio

import pytest
from aiohttp import ClientSession, ClientTimeout
from orjson import dumps

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.platform.documents import encode_node
from medlarbeam.platform.tests.test_forwarding import is_current, run_stranded
from medlarbeam.platform.tests.test_whole_path import (
    BROKEN,
    CONFIG,
    STREAM,
    Deployment,
    run,
    wait_until,
)
from medlarbeam.standins.early_worker import EarlyAnswer, EarlyWorker
from medlarbeam.standins.free_ports import find_free_addresses

SHORT = 300_000  # bytes of a request that fit into the buffers of a connection
LONG = 8 << 20  # more than they hold, so that a part stays in the process that sends it
BODIES = {size: bytes(range(251)) * (size // 251) for size in (SHORT, LONG)}


async def prepare(*deployments):
    """Allow long bodies, and load the adapter of the streams."""
    config = {**CONFIG, "version": 4, "limits": {"maxBodyBytes": LONG}}
    for deployment in deployments:
        deployment.store.put("op/config", dumps(config))
    await wait_until(lambda: all(d.shell.node.fleet.config.version == 4 for d in deployments))


def run_direct(play):
    """Play on one gateway and its backend servers."""

    async def scenario(deployment, session):
        await prepare(deployment)
        await deployment.call(session, "chat", "id-0")
        return await play(deployment, list(deployment.workers.values()), session)

    return run(scenario, EarlyWorker)


def run_forwarded(play):
    """Play on a gateway that forwards to another one, and on the backend servers of that."""

    async def scenario(stranded, other, session):
        await prepare(stranded, other)
        await stranded.call(session, "chat", "id-0")
        return await play(stranded, list(other.workers.values()), session)

    return run_stranded(scenario, EarlyWorker)


def run_with_faulty_gateway(play):
    """Play on a gateway that forwards to another one, which is the stand-in itself."""

    async def execute():
        other = EarlyWorker("n2")
        await other.start()
        async with Deployment() as stranded:
            await prepare(stranded)
            node = NodeRegistration("n2", "z1", other.address, 5)
            stranded.store.put("medlarbeam/node/n2", encode_node(node))
            for worker in stranded.workers.values():
                (worker.address,) = find_free_addresses(1)
                stranded.register(worker)
            fleet = stranded.shell.node.fleet
            await wait_until(lambda: "n2" in fleet.nodes and is_current(stranded))
            async with ClientSession(timeout=ClientTimeout(total=8)) as session:
                await stranded.call(session, "pay", "id-0")
                result = await play(stranded, [other], session)
        other.stop()
        return result

    return asyncio.run(execute())


# A second stream is held back until the start of its server is confirmed again.
CALLS = [(name, number) for number in (1, 2) for name in ("pay", "read", "draft", "chat")]


async def call_all(gateway, workers, session, answer, body):
    """Return the route, the status, the body and the number of runs of each of `CALLS`."""
    for worker in workers:
        worker.early_answer = answer
    outcomes = []
    for name, number in CALLS:
        attempt = f"id-{name}-{number}"
        status, seen = await gateway.call(session, name, attempt, body=body)
        runs = sum(worker.executed_attempts.count(attempt) for worker in workers)
        outcomes.append((name, status, seen, runs))
    return outcomes


WAYS = [
    ("direct", run_direct),
    ("forwarded", run_forwarded),
    ("other-gateway", run_with_faulty_gateway),
]
CUT = [
    ("reset-at-once", LONG, EarlyAnswer("none", "reset")),
    ("reset-a-turn-later", LONG, EarlyAnswer("none", "reset", turns=1)),
    ("reset-some-turns-later", LONG, EarlyAnswer("none", "reset", turns=8)),
    ("reset-many-turns-later", LONG, EarlyAnswer("none", "reset", turns=50)),
    ("reset-after-reading-some", LONG, EarlyAnswer("none", "reset", read_bytes=100_000)),
    ("reset-after-a-whole-body", LONG, EarlyAnswer("none", "reset", is_whole=True)),
    ("reset-under-a-short-upload", SHORT, EarlyAnswer("none", "reset")),
    ("reset-of-an-error", LONG, EarlyAnswer("none", "reset", status=500)),
    ("reset-within-a-length", LONG, EarlyAnswer("length", "reset")),
    ("reset-within-chunks", LONG, EarlyAnswer("chunks", "reset")),
    ("close-with-bytes-unread", LONG, EarlyAnswer("none", "close")),
    ("end-of-a-process-without-unread-bytes", LONG, EarlyAnswer("none", "exhaust")),
    ("half-close-kept-until-the-deadline", LONG, EarlyAnswer("none", "half_close")),
    ("half-close-with-a-part-in-the-system", SHORT, EarlyAnswer("none", "half_close")),
]


@pytest.mark.parametrize("run_way", [w[1] for w in WAYS], ids=[w[0] for w in WAYS])
@pytest.mark.parametrize(("size", "answer"), [c[1:] for c in CUT], ids=[c[0] for c in CUT])
def test_answer_that_ends_under_an_upload_is_not_passed_on_as_whole(run_way, size, answer):
    async def play(gateway, workers, session):
        return await call_all(gateway, workers, session, answer, BODIES[size])

    outcomes = run_way(play)
    assert {status for _, status, _, _ in outcomes} <= {502, BROKEN}
    assert {runs for name, _, _, runs in outcomes if name in ("pay", "draft")} == {1}
    assert {runs for name, _, _, runs in outcomes if name in ("read", "chat")} <= {1, 2}


WHOLE = [
    ("length", LONG, EarlyAnswer("length", "keep", is_whole=True)),
    ("length-after-reading-some", LONG, EarlyAnswer("length", "keep", True, 100_000)),
    ("length-and-later-reading", LONG, EarlyAnswer("length", "keep", True, turns=50)),
    ("chunks", LONG, EarlyAnswer("chunks", "keep", is_whole=True)),
    ("chunks-under-a-short-upload", SHORT, EarlyAnswer("chunks", "keep", is_whole=True)),
    ("no-length-after-reading-all", LONG, EarlyAnswer("none", "close", True, LONG)),
]


@pytest.mark.parametrize("run_way", [w[1] for w in WAYS[:2]], ids=[w[0] for w in WAYS[:2]])
@pytest.mark.parametrize(("size", "answer"), [w[1:] for w in WHOLE], ids=[w[0] for w in WHOLE])
def test_whole_answer_is_passed_on_and_only_the_rest_of_the_request_follows(run_way, size, answer):
    body = BODIES[size]

    async def play(gateway, workers, session):
        outcomes = await call_all(gateway, workers, session, answer, body)
        if answer.end == "keep":
            await wait_until(lambda: sum(len(worker.bodies) for worker in workers) == len(CALLS))
        for worker in workers:
            worker.early_answer = None
        later = [await gateway.call(session, name, f"id-later-{name}") for name in ("read", "chat")]
        bodies = [seen for worker in workers for seen in worker.bodies]
        lines = {line.split(" ")[0] for worker in workers for line in worker.request_lines}
        return outcomes, later, [seen == body for seen in bodies], lines

    outcomes, later, are_unchanged, methods = run_way(play)
    bodies = {"pay": b"paid", "read": b"paid", "draft": STREAM, "chat": STREAM}
    assert outcomes == [(name, 200, bodies[name], 1) for name, _ in CALLS]
    assert later == [(200, b"paid"), (200, STREAM)]
    assert all(are_unchanged)
    assert methods <= {"GET", "POST"}
