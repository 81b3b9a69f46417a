"""Stand-in for the metadata store of the users' platform, for tests and the soak."""

import asyncio
from base64 import b64encode

from aiohttp.web import Application, Response, json_response, route
from orjson import loads

__all__ = ["PlatformStore"]

WATCH_POLL_S = 0.01  # interval at which a waiting watch checks for events


class StoredItem:
    """An item: its value in base64, its revisions and its lease (0 for none)."""

    __slots__ = ("created_revision", "key", "lease", "revision", "value")

    def __init__(self, key, value, revision, created_revision, lease):
        self.key = key
        self.value = value
        self.revision = revision
        self.created_revision = created_revision
        self.lease = lease

    def encode(self):
        """Encode the item as a JSON document."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "createdRev": self.created_revision,
            "lease": self.lease,
        }


class StoredLease:
    """A lease: its time to live (s) and the loop time at which it expires (s)."""

    __slots__ = ("expires_at", "ttl_s")

    def __init__(self, ttl_s, now):
        self.ttl_s = ttl_s
        self.expires_at = now + ttl_s


class StoreCopy:
    """Copy of a store's items, leases, history and revision, to set the store back to."""

    __slots__ = ("history", "items", "last_lease_id", "leases", "revision")

    def __init__(self, store):
        self.items = dict(store.items)
        self.leases = {
            i: StoredLease(e.ttl_s, e.expires_at - e.ttl_s) for i, e in store.leases.items()
        }
        self.last_lease_id = store.last_lease_id
        self.history = list(store.history)
        self.revision = store.revision


class PlatformStore:
    """Items with revisions, leases, and a history of events for watches.

    Attributes
    ----------
    era : int
        Number of times that the store was set back to a copy; sent with every response.
    injected_fault : str
        "" for none; with ``busy`` every call gets 503, with ``silent`` no call gets a response,
        with ``malformed`` every call gets a JSON document of another form.
    silent_paths : set of str
        Beginnings of the paths whose calls get no response until they are removed.
    page_size : int
        Largest number of items in a response to ``GET /kv-range``.
    calls : list of str
        Path of each call.

    Notes
    -----
    Expired leases are revoked when the next call from any caller arrives.
    """

    __slots__ = (
        "calls",
        "era",
        "history",
        "injected_fault",
        "items",
        "last_lease_id",
        "leases",
        "oldest_revision",
        "page_size",
        "revision",
        "silent_paths",
    )

    def __init__(self):
        self.items = {}
        self.history = []
        self.oldest_revision = 0
        self.revision = 1
        self.era = 0
        self.leases = {}
        self.last_lease_id = 1000
        self.injected_fault = ""
        self.silent_paths = set()
        self.page_size = 500
        self.calls = []

    def build_app(self):
        """Return the aiohttp application."""
        app = Application()
        handlers = [
            ("GET", "/kv-range", self.range),
            ("GET", "/kv-watch", self.watch),
            ("POST", "/kv-txn", self.commit),
            ("POST", "/kv-lease", self.grant_lease),
            ("POST", "/kv-keep/{lease}", self.renew_lease),
            ("DELETE", "/kv-lease-end/{lease}", self.revoke_lease),
        ]
        app.add_routes(
            [route(method, path, self._wrap_handler(call)) for method, path, call in handlers]
        )
        return app

    def _wrap_handler(self, call):
        async def handle(request):
            self.calls.append(request.path)
            if self.injected_fault == "silent":
                await asyncio.sleep(3600)
            if self.injected_fault == "busy":
                return Response(status=503, headers={"Store-Era": str(self.era)})
            if self.injected_fault == "malformed":
                return json_response({"items": 5, "events": [{"key": 7}], "storeRevision": "?"})
            self._revoke_expired_leases()
            era = self.era
            response = await call(request)
            response.headers["Store-Era"] = str(era)
            while request.path.startswith(tuple(self.silent_paths)):
                await asyncio.sleep(WATCH_POLL_S)
            return response

        return handle

    def _revoke_expired_leases(self):
        now = asyncio.get_running_loop().time()
        for lease in [i for i, entry in self.leases.items() if entry.expires_at <= now]:
            self._revoke_lease(lease)

    def _revoke_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [item.key for item in self.items.values() if item.lease == lease]:
            self.delete(key)

    def put(self, key, data, lease=0):
        """Write an item with the value `data` (bytes) on behalf of the operator or a worker."""
        self._put(key, b64encode(data).decode(), lease)

    def delete(self, key):
        """Delete an item."""
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"key": key, "revision": self.revision, "deleted": True})

    def revoke_all_leases(self):
        """Revoke all leases and delete their items."""
        for lease in list(self.leases):
            self._revoke_lease(lease)

    def set_back(self, copy):
        """Continue from a `StoreCopy`; later changes are lost.

        Their revisions, and the ids of later leases, are assigned again.
        """
        self.items = dict(copy.items)
        self.leases = dict(copy.leases)
        self.last_lease_id = copy.last_lease_id
        self.history = list(copy.history)
        self.revision = copy.revision
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self.era += 1

    def compact_history(self):
        """Discard the history, so that watches from earlier revisions get 410."""
        self.history.clear()
        self.oldest_revision = self.revision

    def _put(self, key, value, lease):
        self.revision += 1
        existing = self.items.get(key)
        created_revision = existing.created_revision if existing else self.revision
        item = self.items[key] = StoredItem(key, value, self.revision, created_revision, lease)
        self.history.append(item.encode())

    async def range(self, request):
        """Handle ``GET /kv-range``."""
        prefix = request.query.get("pathPrefix", "")
        after = request.query.get("after", "")
        found = [i for k, i in sorted(self.items.items()) if k.startswith(prefix) and k > after]
        page = {
            "items": [item.encode() for item in found[: self.page_size]],
            "truncated": len(found) > self.page_size,
            "storeRevision": self.revision,
        }
        return json_response(page)

    async def watch(self, request):
        """Handle ``GET /kv-watch``."""
        after = int(request.query["after"])
        deadline = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000.0
        era = self.era
        if after < self.oldest_revision or after > self.revision:
            return Response(status=410)
        while True:
            if self.era != era:
                return Response(status=410)
            events = [e for e in self.history if e["revision"] > after]
            if events or asyncio.get_running_loop().time() >= deadline:
                return json_response({"events": events, "storeRevision": self.revision})
            await asyncio.sleep(WATCH_POLL_S)

    async def commit(self, request):
        """Handle ``POST /kv-txn``."""
        transaction = loads(await request.read())
        for condition in transaction["expected"]:
            item = self.items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return json_response({"items": []}, status=412)
        for put in transaction["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return Response(status=404)
            if put["key"].startswith(("op/", "servers/")):
                return Response(status=403)
        for put in transaction["puts"]:
            self._put(put["key"], put["value"], put["lease"])
        for key in transaction["remove"]:
            self.delete(key)
        return json_response({"revision": self.revision})

    async def grant_lease(self, request):
        """Handle ``POST /kv-lease``."""
        ttl_ms = loads(await request.read())["ttlMs"]
        self.last_lease_id += 1
        now = asyncio.get_running_loop().time()
        self.leases[self.last_lease_id] = StoredLease(ttl_ms / 1000.0, now)
        return json_response({"lease": self.last_lease_id, "ttlMs": ttl_ms})

    async def renew_lease(self, request):
        """Handle ``POST /kv-keep/ID``."""
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return Response(status=404)
        lease.expires_at = asyncio.get_running_loop().time() + lease.ttl_s
        return json_response({"ttlMs": int(lease.ttl_s * 1000)})

    async def revoke_lease(self, request):
        """Handle ``DELETE /kv-lease-end/ID``."""
        self._revoke_lease(int(request.match_info["lease"]))
        return json_response({})
