"""The stand-ins as processes: what only sockets and signals can show."""

import asyncio

import pytest
from aiohttp import ClientError

from medlarbeam.standins.engine_text import answer_tokens
from medlarbeam.tests.process_cluster import Placement, ProcessCluster

WATCH = {"create_request": {"key": "aw=="}}
PUT = {"key": "aw==", "value": "dg=="}
CHARGE = {"account": "a", "amount_cents": 1, "reference": "r"}


async def load(cluster, model, number=1):
    document = {"lora_name": model, "lora_path": f"lora/{model}"}
    headers = {"X-Fencing-Number": str(number)}
    return await cluster.post("e1", "/v1/load_lora_adapter", document, headers)


async def wait_running(cluster):
    async def probe():
        return (await cluster.get("e1", "/load")).json()["running"]

    await cluster.wait_until(probe, "a run at e1")


async def check_crash_word(cluster):
    await load(cluster, "a@1")
    with pytest.raises(ClientError):
        await cluster.complete("e1", "a@1", "a boom here", stream=True)
    assert await cluster.wait_exit("e1") == 70
    before = cluster.addresses["e1"]
    await cluster.restart("e1")
    assert cluster.addresses["e1"] == before
    assert (await cluster.get("e1", "/load")).json()["resident"] == []


async def check_graceful_stop(cluster):
    await load(cluster, "a@1")
    running = asyncio.ensure_future(cluster.complete("e1", "a@1", "p", stream=True))
    await wait_running(cluster)
    assert await cluster.terminate("e1") == 0
    answer = await running
    assert answer.body.endswith(b"data: [DONE]\n\n")


async def check_caller_gone(cluster):
    await load(cluster, "a@1")
    await cluster.set_faults("e1", token_delay_ms=10_000)
    running = asyncio.ensure_future(cluster.complete("e1", "a@1", "p", stream=True))
    await wait_running(cluster)
    running.cancel()

    async def probe():
        return [e["detail"] for e in (await cluster.journal("e1"))["entries"]][-1] == "cancelled"

    await cluster.wait_until(probe, "the run is cancelled")


async def check_cut_run(cluster):
    await load(cluster, "a@1")
    await cluster.set_faults("e1", token_delay_ms=10_000)
    running = asyncio.ensure_future(cluster.complete("e1", "a@1", "p", stream=True))
    await wait_running(cluster)
    headers = {"X-Fencing-Number": "1"}
    answer = await cluster.post("e1", "/v1/unload_lora_adapter", {"lora_name": "a@1"}, headers)
    assert answer.status == 200
    with pytest.raises(ClientError):
        await running
    journal = await cluster.journal("e1")
    assert (journal["violations"], journal["cut_runs"]) == (1, 1)


async def check_orders(cluster):
    statuses = [(await load(cluster, f"{m}@1", n)).status for m, n in (("a", 5), ("b", 4))]
    assert statuses == [200, 412]
    assert (await cluster.get("weight_store", "/debug/counts")).json()["loads"] == 1
    await cluster.set_faults("weight_store", fail_next=1)
    assert (await load(cluster, "b@1", 5)).status == 500
    refused = await cluster.complete("e1", "b@1", "p")
    assert (refused.status, refused.headers["X-Not-Run"]) == (404, "true")
    answer = await cluster.complete("e1", "a@1", "p", max_tokens=5)
    text = "".join(answer_tokens("a@1", "p", 5))
    assert answer.json()["choices"][0]["text"] == text


async def check_kv_down(cluster):
    url = f"http://{cluster.addresses['kv']}/v3/watch"
    async with cluster.session.post(url, json=WATCH) as watch:
        assert b'"created":true' in await watch.content.readline()
        await cluster.post("kv", "/v3/kv/put", PUT)
        assert b'"events"' in await watch.content.readline()
        await cluster.set_faults("kv", down=True)
        with pytest.raises(ClientError):
            await watch.content.read()
    with pytest.raises(ClientError):
        await cluster.post("kv", "/v3/kv/put", PUT)
    await cluster.set_faults("kv", down=False, lose_answers=1)
    with pytest.raises(ClientError):
        await cluster.post("kv", "/v3/kv/put", PUT)
    read = (await cluster.post("kv", "/v3/kv/range", PUT)).json()
    assert read["kvs"][0]["version"] == "2"


async def check_cut_charge(cluster):
    await cluster.set_faults("ledger1", cut_answers=1)
    with pytest.raises(ClientError):
        await cluster.post("ledger1", "/charge", CHARGE)
    assert (await cluster.post("ledger1", "/charge", CHARGE)).json()["count"] == 2
    assert (await cluster.journal("ledger1"))["count"] == 2


async def check_pause(cluster):
    cluster.pause("ledger1")
    waiting = asyncio.ensure_future(cluster.get("ledger1", "/load"))
    assert (await cluster.get("e1", "/load")).status == 200
    assert not waiting.done()
    cluster.resume("ledger1")
    assert (await waiting).status == 200


SCENARIOS = [
    ("crash-word-ends-the-process-and-it-restarts-cold", check_crash_word),
    ("sigterm-lets-streams-finish", check_graceful_stop),
    ("run-of-a-gone-caller-is-cancelled", check_caller_gone),
    ("unload-cuts-a-stream-without-done", check_cut_run),
    ("old-order-and-failed-fetch-load-nothing", check_orders),
    ("outage-breaks-watches-but-not-fault-control", check_kv_down),
    ("cut-answer-of-a-charge-took-effect", check_cut_charge),
    ("paused-process-answers-after-it-wakes", check_pause),
]


@pytest.mark.parametrize("scenario", [s[1] for s in SCENARIOS], ids=[s[0] for s in SCENARIOS])
def test_standins_as_processes(scenario, tmp_path):
    async def run():
        placement = Placement(nodes={}, engines={"e1": "fd1"})
        options = ["--crash-word", "boom", "--token-delay-ms", "50"]
        async with ProcessCluster(tmp_path, placement, options) as cluster:
            await cluster.start_platform()
            await cluster.start_backends()
            await scenario(cluster)
        ended = {name: m.process.returncode for name, m in cluster.processes.items()}
        assert None not in ended.values()

    asyncio.run(run())


def test_processes_are_stopped_after_a_failure(tmp_path):
    async def run():
        cluster = ProcessCluster(tmp_path, Placement(nodes={}))
        with pytest.raises(KeyError):
            async with cluster:
                await cluster.start_standin("kv", "kv")
                cluster.pause("kv")
                raise KeyError("fault in a test")
        return cluster.processes["kv"].process.returncode

    assert asyncio.run(run()) == 0
