"""A store that comes back from an older copy: revisions go back and are given out again.

Guards against confirmed changes that are not applied, because a change from before the set-back
has a higher revision, and against backend servers that are used although they leave.
"""

import asyncio

import pytest
from orjson import dumps

from medlarbeam.platform.tests.test_whole_path import CONFIG, route, run, wait_until
from medlarbeam.standins.platform_store import StoreCopy

LOST_WRITES = 20  # more than the gateway and the workers write after the set-back
ADDED_ROUTE = route("added", "idempotent", "ledger")


def write_config(store, version, routes=()):
    document = {**CONFIG, "version": version, "routes": [*CONFIG["routes"], *routes]}
    store.put("op/config", dumps(document))


def write_next_config(deployment):
    write_config(deployment.store, 4, [ADDED_ROUTE])
    write_config(deployment.store, 5, [ADDED_ROUTE])


def overtake_revisions(deployment):
    """Write the next configuration, then reach the revisions of the lost changes again."""
    write_next_config(deployment)
    for worker in list(deployment.workers.values()) * LOST_WRITES:
        deployment.register(worker)


def has_version(version):
    return lambda deployment: deployment.shell.node.fleet.config.version == version


def drain_server(deployment):
    deployment.register(deployment.workers["l1"], state="draining")


def uses_server(name, is_used):
    def check(deployment):
        shell = deployment.shell
        servers = shell.node.fleet.usable_servers("ledger", shell.read_clock())
        return (name in {server.name for server in servers}) is is_used

    return check


CHANGES = [
    ("configuration", write_next_config, has_version(5)),
    ("configuration-with-revisions-as-before", overtake_revisions, has_version(5)),
    ("drain-of-a-server", drain_server, uses_server("l1", False)),
]


# Paths whose calls get no response, so that a call of the other kind shows the set-back.
SILENT = [
    ("seen-by-any-call", ""),
    ("seen-by-the-watch", "/kv-keep"),
    ("seen-by-a-renewal", "/kv-watch"),
]


@pytest.mark.parametrize("silent_path", [s[1] for s in SILENT], ids=[s[0] for s in SILENT])
@pytest.mark.parametrize(
    ("change", "is_applied"), [c[1:] for c in CHANGES], ids=[c[0] for c in CHANGES]
)
def test_change_after_a_set_back_is_applied(change, is_applied, silent_path):
    async def scenario(deployment, session):
        store = deployment.store
        copy = StoreCopy(store)
        for worker in list(deployment.workers.values()) * LOST_WRITES:
            deployment.register(worker)
        write_config(store, 4, [ADDED_ROUTE])
        await wait_until(lambda: has_version(4)(deployment))
        store.page_size = 3  # so that snapshots have several pages
        if silent_path:
            store.silent_paths.add(silent_path)
        store.set_back(copy)
        change(deployment)
        await wait_until(lambda: is_applied(deployment))

    run(scenario)


def test_fencing_tokens_rise_although_revisions_fall():
    async def scenario(deployment, session):
        store, shell = deployment.store, deployment.shell
        engines = [deployment.workers[name] for name in ("w1", "w2")]

        async def load_adapters(number):
            """Ask for adapters that no engine has, until each engine got another order."""
            orders = [engine.order_count for engine in engines]
            async with asyncio.timeout(8):
                while any(e.order_count == n for e, n in zip(engines, orders, strict=True)):
                    number += 10
                    headers = {"X-Model": f"m0/a{number}"}
                    await deployment.call(session, "chat", f"id-{number}", headers)

        await load_adapters(1)
        copy = StoreCopy(store)
        for worker in list(deployment.workers.values()) * LOST_WRITES:
            deployment.register(worker)
        for engine in engines:
            store.put(f"medlarbeam/right/{engine.name}", dumps({"node": "n1", "era": 0}))
        await wait_until(lambda: shell.node.rights.find_fence("w1", shell.read_clock()) > 60)
        await load_adapters(2)
        leases = store.calls.count("/kv-lease")
        store.set_back(copy)
        await wait_until(lambda: store.calls.count("/kv-lease") > leases)
        await load_adapters(4)
        return [engine.fences for engine in engines]

    for fences in run(scenario):
        assert fences == sorted(fences)
        assert len(set(fences)) == 3  # of both rights of the first era, and of the second era


async def _call_added_route(deployment, session, seconds):
    statuses = []
    deadline = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < deadline:
        attempt = f"id-{len(statuses)}"
        statuses.append((await deployment.call(session, "added", attempt))[0])
        await asyncio.sleep(0.05)
    return set(statuses)


def test_configuration_is_not_replaced_by_an_older_one_that_the_set_back_brings():
    async def scenario(deployment, session):
        store = deployment.store
        copy = StoreCopy(store)
        write_config(store, 4, [ADDED_ROUTE])
        await wait_until(lambda: has_version(4)(deployment))
        store.set_back(copy)
        statuses = await _call_added_route(deployment, session, 2.0)
        assert deployment.shell.node.fleet.era == store.era  # the copy has been read
        return statuses

    assert run(scenario) == {200}
