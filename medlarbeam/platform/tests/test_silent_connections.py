"""Open connections that go silent for good, without a reset, while new ones work.

Guards against changes in the store that are seen late, leases that end, and requests that fail,
because one silent connection after the other is waited for.
"""

import asyncio

import pytest

from medlarbeam.classes.gateway_effects import ReleaseRights
from medlarbeam.platform.tests.test_store_set_back import CHANGES
from medlarbeam.platform.tests.test_whole_path import run, wait_until
from medlarbeam.soak.proxy import FaultProxy

IDLE_CONNECTIONS = 6
CONTACT_S = 3.0  # after which a silence has to be over


def find_store_client(deployment):
    return deployment.shell.handlers[ReleaseRights].__self__


async def insert_proxy(deployment):
    """Restart the gateway with a proxy before the store, and several open connections to it."""
    proxy = FaultProxy(deployment.settings.store_address)
    await proxy.start()
    deployment.settings.store_address = proxy.address
    await deployment.shell.stop()
    await deployment.start_gateway()
    client = find_store_client(deployment)
    calls = [
        client._call("GET", "/kv-range", {"pathPrefix": "op/"}) for _ in range(IDLE_CONNECTIONS)
    ]
    await asyncio.gather(*calls)
    return proxy


@pytest.mark.parametrize(
    ("change", "is_applied"), [c[1:] for c in CHANGES], ids=[c[0] for c in CHANGES]
)
def test_change_is_seen_after_few_silent_connections(change, is_applied):
    async def scenario(deployment, session):
        proxy = await insert_proxy(deployment)
        leases = deployment.store.calls.count("/kv-lease")
        count = proxy.silence()
        change(deployment)
        await wait_until(lambda: is_applied(deployment))
        return (
            count,
            len(proxy.lost_connections),
            deployment.store.calls.count("/kv-lease") - leases,
        )

    count, tried, new_leases = run(scenario)
    assert count >= IDLE_CONNECTIONS
    assert tried <= 3  # by the watch, a renewal and the call of a right at the same moment
    assert new_leases == 0


def test_silent_store_is_not_retried_without_a_pause():
    async def scenario(deployment, session):
        store = deployment.store
        store.silent_paths.add("/kv")
        await asyncio.sleep(4.0)
        calls = len(store.calls)
        await asyncio.sleep(2.0)
        calls = len(store.calls) - calls
        store.silent_paths.clear()
        shell = deployment.shell
        await wait_until(lambda: shell.node.rights.is_valid(shell.read_clock()))
        return calls

    assert run(scenario) <= 8


READS = 8


def test_requests_are_served_once_silent_connections_have_been_idle():
    async def scenario(deployment, session):
        proxies = []
        for worker in (deployment.workers["l1"], deployment.workers["l2"]):
            proxy = FaultProxy(worker.address)
            await proxy.start()
            worker.address = proxy.address
            deployment.register(worker)
            proxies.append(proxy)
        servers = deployment.shell.node.fleet.servers
        await wait_until(lambda: servers["l2"].entry.address == proxies[1].address)

        async def read_all(name):
            calls = [deployment.call(session, "read", f"{name}-{n}") for n in range(READS)]
            return {status for status, _ in await asyncio.gather(*calls)}

        before = await read_all("before")
        counts = [proxy.silence() for proxy in proxies]
        await asyncio.sleep(CONTACT_S)
        after = [(await deployment.call(session, "read", f"after-{n}"))[0] for n in range(READS)]
        return before, counts, set(after)

    before, counts, after = run(scenario)
    assert before == after == {200}
    assert all(counts)
