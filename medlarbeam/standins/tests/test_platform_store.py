"""Tests of the leases of the platform store stand-in.

They guard against items that outlive their lease, and against lease ids that are assigned twice.
"""

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


def expire_lease(store, lease):
    store.leases[lease].expires_at = 0.0


def revoke_leases(store, lease):
    store.revoke_all_leases()


def keep_lease(store, lease):
    pass


LEASE_CHANGES = [
    ("expired-lease-deletes-its-keys", expire_lease, 404, 0),
    ("revoked-leases-delete-their-keys", revoke_leases, 404, 0),
    ("valid-lease-keeps-its-keys", keep_lease, 200, 1),
]


@pytest.mark.parametrize(
    ("change", "status", "items"), [e[1:] for e in LEASE_CHANGES], ids=[e[0] for e in LEASE_CHANGES]
)
def test_lease(change, status, items):
    async def run_case():
        store = PlatformStore()
        async with TestClient(TestServer(store.build_app())) as client:
            lease = await grant(client)
            await put(client, "medlarbeam/node/n1", lease)
            change(store, lease)
            async with client.post(f"/kv-keep/{lease}") as response:
                assert response.status == status
            assert len(store.items) == items
            # Two nodes with the same lease id would renew each other's lease.
            assert await grant(client) != lease

    asyncio.run(run_case())
