"""Another writer leaves odd entries in the store.

Guards against gateways that end, or stop following the store, because of one entry.
"""

import asyncio
from base64 import b64decode

import pytest
from orjson import dumps, loads

from medlarbeam.platform import store_client
from medlarbeam.platform.documents import decode_entry
from medlarbeam.platform.tests.test_whole_path import CONFIG, route, run, wait_until

ENTRY = {"service": "llm", "address": "127.0.0.1:9", "zone": "z1", "slots": 4, "state": "ready"}
ENTRY |= {"version": "v1", "coldRemainingMs": 0, "seq": 1}
ODD_ENTRIES = [
    ("deeply-nested", b'{"models":' + b"[" * 100_000 + b"]" * 100_000 + b"}"),
    ("number-too-large", dumps(ENTRY).replace(b"4", b"9" * 400)),
    ("port-out-of-range", dumps({**ENTRY, "address": "127.0.0.1:99999"})),
    ("adapter-that-is-a-number", dumps({**ENTRY, "models": [{"name": "m0", "adapters": [7]}]})),
    (
        "adapter-version-of-5000-digits",
        dumps({**ENTRY, "models": [{"name": "m0", "adapters": ["a1@" + "9" * 5000]}]}),
    ),
    ("negative-slots", dumps({**ENTRY, "slots": -4})),
    ("start-too-large", dumps({**ENTRY, "born": (1 << 64) - 1})),
    ("bytes-that-are-no-text", b"\xff\xfe\x00"),
    *((f"no-{name}", dumps({n: v for n, v in ENTRY.items() if n != name})) for name in ENTRY),
]
KEYS = ["servers/odd", "medlarbeam/node/odd", "medlarbeam/streams/odd", "medlarbeam/right/w9"]


@pytest.mark.parametrize("data", [o[1] for o in ODD_ENTRIES], ids=[o[0] for o in ODD_ENTRIES])
def test_gateway_follows_the_store_past_an_odd_entry(data):
    async def scenario(deployment, session):
        for key in KEYS:
            deployment.store.put(key, data)
        document = {**CONFIG, "version": 4}
        document["routes"] = [*CONFIG["routes"], route("added", "idempotent", "ledger")]
        deployment.store.put("op/config", dumps(document))
        fleet = deployment.shell.node.fleet
        await wait_until(lambda: fleet.config.version == 4)
        answers = [await deployment.call(session, "added", f"id-{n}") for n in range(3)]
        return answers, deployment.shell.crashed, "odd" in fleet.servers

    answers, is_crashed, is_used = run(scenario)
    assert answers == [(200, b"paid")] * 3
    assert not is_crashed
    assert not is_used


# Fields that an entry of another writer lacks, written over that of a server that drains.
MISSING_FIELDS = [
    ("start", ("born",)),
    ("software-and-start", ("version", "born")),
    ("all-but-the-address", ("version", "coldRemainingMs", "seq", "born")),
]


@pytest.mark.parametrize(
    "names", [m[1] for m in MISSING_FIELDS], ids=[m[0] for m in MISSING_FIELDS]
)
def test_draining_server_is_not_used_again_after_an_entry_with_missing_fields(names):
    async def scenario(deployment, session):
        worker = deployment.workers["l1"]
        fleet = deployment.shell.node.fleet
        deployment.register(worker, "draining")
        await wait_until(lambda: fleet.servers["l1"].draining)
        entry = loads(b64decode(deployment.store.items["servers/l1"].value)) | {"state": "ready"}
        odd = {name: value for name, value in entry.items() if name not in names}
        deployment.store.put("servers/l1", dumps(odd))
        await wait_until(lambda: fleet.revision == deployment.store.revision)
        for number in range(20):
            await deployment.call(session, "pay", f"id-{number}")
        return worker.request_count

    assert run(scenario) == 0


def test_unexpected_error_does_not_end_the_replication(monkeypatch):
    failures = [RuntimeError("unexpected")] * 3

    def fail(key, text, revision):
        if failures and key == "op/config":
            raise failures.pop()
        return decode_entry(key, text, revision)

    async def scenario(deployment, session):
        monkeypatch.setattr(store_client, "decode_entry", fail)
        deployment.store.put("op/config", dumps({**CONFIG, "version": 4}))
        fleet = deployment.shell.node.fleet
        await wait_until(lambda: fleet.config.version == 4)

    run(scenario)
    assert not failures


def test_gateway_starts_with_odd_entries_in_the_store():
    async def scenario(deployment, session):
        await deployment.shell.stop()
        for number, (_, data) in enumerate(ODD_ENTRIES):
            for key in KEYS:
                deployment.store.put(f"{key}-{number}", data)
        await deployment.start_gateway()
        await asyncio.sleep(0.1)
        return await deployment.call(session, "read", "id-1")

    assert run(scenario) == (200, b"paid")


def test_configuration_that_cannot_be_read_does_not_replace_the_last_one():
    async def scenario(deployment, session):
        store = deployment.store
        broken = loads(dumps({**CONFIG, "version": 4}))
        broken["services"] = [3]
        store.put("op/config", dumps(broken))
        await asyncio.sleep(1.2)
        return await deployment.call(session, "read", "id-1")

    assert run(scenario) == (200, b"paid")
