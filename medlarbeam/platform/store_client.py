"""Client of the platform's metadata store: one watch, one lease, and writes under conditions."""

import asyncio
import logging
from base64 import b64encode

from aiohttp import ClientTimeout
from orjson import dumps

from medlarbeam.classes.fleet import FleetNode
from medlarbeam.classes.gateway_effects import KeepLease, ReleaseRights, TakeRight
from medlarbeam.classes.gateway_messages import (
    EntryGone,
    EntryRead,
    LeaseEnded,
    LeaseRenewed,
    RightAnswered,
    SnapshotRead,
    StoreLost,
)
from medlarbeam.daemon.http_client import (
    CallGuard,
    describe_error,
    guard_call,
    open_session,
)
from medlarbeam.daemon.ports import PortService
from medlarbeam.exceptions import FormatError
from medlarbeam.gateway.order_rights import LEASE_S
from medlarbeam.platform.documents import (
    NODE_PREFIX,
    RIGHT_PREFIX,
    SERVER_PREFIX,
    encode_node,
    encode_right,
    read_object,
    read_value,
)

__all__ = ["StoreClient"]

log = logging.getLogger(__name__)

# A connection may go silent without a reset: a watch that waits this long is asked anew, so that a
# change is known within the bound on configurations.
WATCH_S = 1.5
CALL_S = 1.0  # an answer takes some ms; a slow store takes up to 60 times as long
CONNECT_S = 0.5
BACKOFF_S = 0.25  # after a failure, growing up to the next
MAX_BACKOFF_S = 1.0
RELEASE_S = 0.5  # a stopping process does not wait longer for the store


class StoreError(Exception):
    """The store did not answer, or not with success; `status` is 0 without an answer."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status


class StoreClient(PortService):
    """Follows the store and carries out the effects on it.

    Parameters
    ----------
    driver : NodeDriver
    settings : PlatformSettings
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.settings = settings
        self.base = f"http://{settings.store}"
        self.session = None
        self.lease = 0
        self.is_registered = False
        self.is_keeping = False
        self.releasing = None

    async def on_start(self):
        """Open the session and begin to follow the store."""
        timeout = ClientTimeout(total=None, connect=CONNECT_S)
        self.session = await self.add_async_context(open_session(timeout))
        self.spawn(self._follow())

    async def on_stop(self):
        """Let the rights be given back before the session is closed."""
        if self.releasing is not None:
            await asyncio.wait([self.releasing], timeout=RELEASE_S)
        await super().on_stop()

    def effects(self):
        """Return the handlers of the effects on the store."""
        return {
            KeepLease: lambda effect: self.spawn(self._keep(effect)),
            TakeRight: lambda effect: self.spawn(self._take_right(effect)),
            ReleaseRights: self._start_release,
        }

    async def _call(self, method, path, params=None, body=None, limit_s=CALL_S):
        """Return the decoded answer; raise StoreError unless the status is 200."""
        data = dumps(body) if body is not None else None
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            with guard_call(CallGuard(resend=method == "GET")):
                async with asyncio.timeout(limit_s):
                    async with self.session.request(
                        method, self.base + path, params=params, data=data, headers=headers
                    ) as response:
                        text = await response.read()
        except Exception as error:
            raise StoreError(0, describe_error(error)) from error
        if response.status != 200:
            raise StoreError(response.status, f"{path}: HTTP {response.status}")
        return read_object(text) if text else {}

    # Following the store

    async def _follow(self):
        after = 0
        pause_s = BACKOFF_S
        while True:
            try:
                if not after:
                    # Registered before it reads, the node knows its rights from the first snapshot.
                    await self._keep(KeepLease(LEASE_S))
                after = await self._watch(after) if after else await self._read_all()
                await asyncio.sleep(self.settings.gather_s)
                pause_s = BACKOFF_S
            except (StoreError, FormatError) as error:
                if getattr(error, "status", 0) == 410:
                    after = 0  # the history that is needed is gone
                    continue
                self.driver.deliver(StoreLost(str(error)))
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_BACKOFF_S, pause_s * 2)

    async def _read_all(self):
        revision = 0
        entries = []
        params = {"pathPrefix": ""}
        while True:
            page = await self._call("GET", "/kv-range", params)
            revision = revision or int(page["storeRevision"])
            items = page.get("items", [])
            entries += filter(None, [self._read_item(item) for item in items])
            if not page.get("truncated") or not items:
                break
            params["after"] = items[-1]["key"]
        reads = [entry for entry in entries if isinstance(entry, EntryRead)]
        self.driver.deliver(SnapshotRead(reads, revision))
        return revision

    async def _watch(self, after):
        params = {"pathPrefix": "", "after": str(after), "waitMs": str(int(WATCH_S * 1000))}
        answer = await self._call("GET", "/kv-watch", params, limit_s=WATCH_S + CALL_S)
        for item in answer.get("events", []):
            message = self._read_item(item)
            if message is not None:
                self.driver.deliver(message)
        return max(after, int(answer["storeRevision"]))

    def _read_item(self, item):
        """Return the message of an item or event, None for a key that is not used here."""
        key = item["key"]
        revision = int(item["revision"])
        if item.get("deleted"):
            return EntryGone(key, revision)
        try:
            value = read_value(key, item["value"], revision)
        except (FormatError, KeyError, TypeError, ValueError) as error:
            log.warning("entry %s is not used: %s", key, error, extra={"event": "entry_unusable"})
            # A backend server is not used by an entry that cannot be read.
            return EntryGone(key, revision) if key.startswith(SERVER_PREFIX) else None
        return EntryRead(key, value, revision) if value is not None else None

    # Lease and rights

    async def _keep(self, effect):
        if self.is_keeping or self.releasing is not None:
            return
        self.is_keeping = True
        sent_at = self.driver.read_clock()
        try:
            if self.is_registered:
                await self._call("POST", f"/kv-keep/{self.lease}")
                self.driver.deliver(LeaseRenewed(sent_at, False))
            else:
                await self._register(effect.ttl_s)
                self.driver.deliver(LeaseRenewed(sent_at, True))
        except (StoreError, FormatError) as error:
            if getattr(error, "status", 0) == 404:
                self.is_registered = False
                self.lease = 0
                self.driver.deliver(LeaseEnded())
            else:
                self.driver.deliver(StoreLost(f"lease: {error}"))
        finally:
            self.is_keeping = False

    async def _register(self, ttl_s):
        if not self.lease:
            answer = await self._call("POST", "/kv-lease", body={"ttlMs": int(ttl_s * 1000)})
            self.lease = answer["lease"]
        gateway = self.settings.gateway
        node = FleetNode(gateway.name, gateway.failure_domain, gateway.address, gateway.incarnation)
        await self._write([], NODE_PREFIX + gateway.name, encode_node(node), self.lease)
        self.is_registered = True

    async def _write(self, expected, key, data, lease=0):
        body = {
            "expected": expected,
            "puts": [{"key": key, "value": b64encode(data).decode(), "lease": lease}],
            "remove": [],
        }
        return await self._call("POST", "/kv-txn", body=body)

    async def _take_right(self, effect):
        key = RIGHT_PREFIX + effect.server
        expected = [{"key": key, "revision": effect.revision}]
        if effect.gone_node:
            expected.append({"key": NODE_PREFIX + effect.gone_node, "revision": 0})
        fence = 0
        try:
            data = encode_right(self.settings.gateway.name)
            fence = int((await self._write(expected, key, data))["revision"])
        except (StoreError, FormatError, KeyError) as error:
            log.info("right not taken: %s", error, extra={"event": "right_refused"})
        self.driver.deliver(RightAnswered(effect.server, fence))

    def _start_release(self, effect):
        self.releasing = self.spawn(self._release(effect))

    async def _release(self, effect):
        try:
            for right in effect.rights:
                key = RIGHT_PREFIX + right.server
                expected = [{"key": key, "revision": right.fence}]
                await self._write(expected, key, encode_right(""))
            if self.lease:
                await self._call("DELETE", f"/kv-lease-end/{self.lease}")
        except (StoreError, FormatError) as error:
            log.warning("rights not given back: %s", error, extra={"event": "release_failed"})
