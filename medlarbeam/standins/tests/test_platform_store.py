"""Leases of the stand-in of the platform's store."""

import asyncio

import pytest
from aiohttp.test_utils import TestClient, TestServer

from medlarbeam.standins.platform_store import PlatformStore

TTL_MS = 1000


async def grant(client):
    async with client.post("/kv-lease", json={"ttlMs": TTL_MS}) as response:
        return (await response.json())["lease"]


async def put(client, key, lease):
    body = {"expected": [], "puts": [{"key": key, "value": "eA==", "lease": lease}], "remove": []}
    async with client.post("/kv-txn", json=body) as response:
        assert response.status == 200


def run_out(store, lease):
    store.leases[lease].ends_at = 0.0


def end_all(store, lease):
    store.end_leases()


def keep(store, lease):
    pass


ENDS = [
    ("lease-that-ran-out-takes-its-keys", run_out, 404, 0),
    ("ended-leases-take-their-keys", end_all, 404, 0),
    ("renewed-lease-keeps-them", keep, 200, 1),
]


@pytest.mark.parametrize(
    ("change", "status", "items"), [e[1:] for e in ENDS], ids=[e[0] for e in ENDS]
)
def test_lease(change, status, items):
    async def play():
        store = PlatformStore()
        async with TestClient(TestServer(store.build_app())) as client:
            lease = await grant(client)
            await put(client, "medlarbeam/node/n1", lease)
            change(store, lease)
            async with client.post(f"/kv-keep/{lease}") as response:
                assert response.status == status
            assert len(store.items) == items
            # Two nodes that were given one id would renew each other's lease.
            assert await grant(client) != lease

    asyncio.run(play())
