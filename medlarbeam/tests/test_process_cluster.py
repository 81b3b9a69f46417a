"""Tests of the stand-ins as processes: behavior that depends on sockets and signals."""

import asyncio

import pytest
from aiohttp import ClientError

from medlarbeam.standins.engine_text import completion_tokens
from medlarbeam.tests.process_cluster import DeploymentSpec, ProcessCluster

WATCH_DOCUMENT = {"create_request": {"key": "aw=="}}
PUT_DOCUMENT = {"key": "aw==", "value": "dg=="}
CHARGE_DOCUMENT = {"account": "a", "amount_cents": 1, "reference": "r"}


async def load_adapter(cluster, model, fencing_number=1):
    document = {"lora_name": model, "lora_path": f"lora/{model}"}
    headers = {"X-Fencing-Number": str(fencing_number)}
    return await cluster.post("e1", "/v1/load_lora_adapter", document, headers)


async def wait_for_run(cluster):
    async def probe():
        return (await cluster.get("e1", "/load")).json()["running"]

    await cluster.wait_until(probe, "e1 reports a running request")


async def check_crash(cluster):
    await load_adapter(cluster, "a@1")
    with pytest.raises(ClientError):
        await cluster.complete("e1", "a@1", "a boom here", stream=True)
    assert await cluster.wait_exit("e1") == 70
    before = cluster.addresses["e1"]
    await cluster.restart("e1")
    assert cluster.addresses["e1"] == before
    assert (await cluster.get("e1", "/load")).json()["resident"] == []


async def check_graceful_stop(cluster):
    await load_adapter(cluster, "a@1")
    running = asyncio.ensure_future(cluster.complete("e1", "a@1", "p", stream=True))
    await wait_for_run(cluster)
    assert await cluster.terminate("e1") == 0
    response = await running
    assert response.body.endswith(b"data: [DONE]\n\n")


async def check_caller_disconnect(cluster):
    await load_adapter(cluster, "a@1")
    await cluster.set_faults("e1", token_delay_ms=10_000)
    running = asyncio.ensure_future(cluster.complete("e1", "a@1", "p", stream=True))
    await wait_for_run(cluster)
    running.cancel()

    async def probe():
        return [e["detail"] for e in (await cluster.fetch_journal("e1"))["entries"]][
            -1
        ] == "cancelled"

    await cluster.wait_until(probe, "e1 records the run as cancelled")


async def check_interrupted_run(cluster):
    await load_adapter(cluster, "a@1")
    await cluster.set_faults("e1", token_delay_ms=10_000)
    running = asyncio.ensure_future(cluster.complete("e1", "a@1", "p", stream=True))
    await wait_for_run(cluster)
    headers = {"X-Fencing-Number": "1"}
    response = await cluster.post("e1", "/v1/unload_lora_adapter", {"lora_name": "a@1"}, headers)
    assert response.status == 200
    with pytest.raises(ClientError):
        await running
    journal = await cluster.fetch_journal("e1")
    assert (journal["violations"], journal["cut_runs"]) == (1, 1)


async def check_load_orders(cluster):
    statuses = [(await load_adapter(cluster, f"{m}@1", n)).status for m, n in (("a", 5), ("b", 4))]
    assert statuses == [200, 412]
    assert (await cluster.get("weight_store", "/debug/counts")).json()["loads"] == 1
    await cluster.set_faults("weight_store", fail_next=1)
    assert (await load_adapter(cluster, "b@1", 5)).status == 500
    refused = await cluster.complete("e1", "b@1", "p")
    assert (refused.status, refused.headers["X-Not-Run"]) == (404, "true")
    response = await cluster.complete("e1", "a@1", "p", max_tokens=5)
    text = "".join(completion_tokens("a@1", "p", 5))
    assert response.json()["choices"][0]["text"] == text


async def check_kv_outage(cluster):
    url = f"http://{cluster.addresses['kv']}/v3/watch"
    async with cluster.session.post(url, json=WATCH_DOCUMENT) as watch:
        assert b'"created":true' in await watch.content.readline()
        await cluster.post("kv", "/v3/kv/put", PUT_DOCUMENT)
        assert b'"events"' in await watch.content.readline()
        await cluster.set_faults("kv", down=True)
        with pytest.raises(ClientError):
            await watch.content.read()
    with pytest.raises(ClientError):
        await cluster.post("kv", "/v3/kv/put", PUT_DOCUMENT)
    await cluster.set_faults("kv", down=False, lose_answers=1)
    with pytest.raises(ClientError):
        await cluster.post("kv", "/v3/kv/put", PUT_DOCUMENT)
    read = (await cluster.post("kv", "/v3/kv/range", PUT_DOCUMENT)).json()
    assert read["kvs"][0]["version"] == "2"


async def check_interrupted_charge(cluster):
    await cluster.set_faults("ledger1", cut_answers=1)
    with pytest.raises(ClientError):
        await cluster.post("ledger1", "/charge", CHARGE_DOCUMENT)
    assert (await cluster.post("ledger1", "/charge", CHARGE_DOCUMENT)).json()["count"] == 2
    assert (await cluster.fetch_journal("ledger1"))["count"] == 2


async def check_pause(cluster):
    cluster.pause("ledger1")
    waiting = asyncio.ensure_future(cluster.get("ledger1", "/load"))
    assert (await cluster.get("e1", "/load")).status == 200
    assert not waiting.done()
    cluster.resume("ledger1")
    assert (await waiting).status == 200


SCENARIOS = [
    ("crash-word-ends-process-that-restarts-without-adapters", check_crash),
    ("sigterm-lets-streams-finish", check_graceful_stop),
    ("run-of-disconnected-caller-is-cancelled", check_caller_disconnect),
    ("unload-interrupts-stream-without-done", check_interrupted_run),
    ("outdated-order-and-failed-fetch-load-nothing", check_load_orders),
    ("outage-breaks-watches-but-not-fault-injection", check_kv_outage),
    ("charge-with-lost-response-takes-effect", check_interrupted_charge),
    ("paused-process-responds-after-resume", check_pause),
]


@pytest.mark.parametrize("scenario", [s[1] for s in SCENARIOS], ids=[s[0] for s in SCENARIOS])
def test_standins_as_processes(scenario, tmp_path):
    async def run():
        deployment = DeploymentSpec(nodes={}, engines={"e1": "fd1"})
        options = ["--crash-word", "boom", "--token-delay-ms", "50"]
        async with ProcessCluster(tmp_path, deployment, options) as cluster:
            await cluster.start_platform()
            await cluster.start_backends()
            await scenario(cluster)
        exit_statuses = {name: m.process.returncode for name, m in cluster.processes.items()}
        assert None not in exit_statuses.values()

    asyncio.run(run())


def test_processes_are_stopped_after_failure(tmp_path):
    async def run():
        cluster = ProcessCluster(tmp_path, DeploymentSpec(nodes={}))
        with pytest.raises(KeyError):
            async with cluster:
                await cluster.start_standin("kv", "kv")
                cluster.pause("kv")
                raise KeyError("failure in a test")
        return cluster.processes["kv"].process.returncode

    assert asyncio.run(run()) == 0
