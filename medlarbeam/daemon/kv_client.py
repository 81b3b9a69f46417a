"""HTTP client for the key-value service; uses the JSON gateway of etcd v3."""

import asyncio
from base64 import b64decode, b64encode

from aiohttp import ClientTimeout
from orjson import dumps, loads

from medlarbeam.classes.key_value import (
    KvCall,
    KvDelete,
    KvEntry,
    KvGet,
    KvList,
    KvOutcome,
    KvPut,
    KvResult,
    KvWatch,
)
from medlarbeam.daemon.delimited_buffer import DelimitedBuffer
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.http_client import CALL_ERRORS, SendGuard, apply_send_guard, open_session
from medlarbeam.daemon.setting_types import format_address
from medlarbeam.exceptions import FormatError

__all__ = ["KvClient"]

JSON_HEADERS = {"Content-Type": "application/json"}
LEASE_WINDOW_S = 3600.0  # puts within one hour share a lease, which saves a call per claim
LEASE_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 2 << 20  # a value of 1 MB in base64 with its JSON envelope
WRITE_OPERATIONS = (KvPut, KvDelete)


class KvClient(EffectHandlerService):
    """Carries out the `KvCall` effects.

    Parameters
    ----------
    driver : NodeDriver
    settings : DaemonSettings
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.base_url = f"http://{format_address(settings.kv_address)}/v3/"
        self.connect_timeout_s = settings.connect_timeout_s
        self.session = None
        self.leases = {}  # (TTL in s, hour) -> task that returns the lease id
        self.operations = {
            KvGet: self._get,
            KvList: self._list,
            KvPut: self._put,
            KvDelete: self._delete,
            KvWatch: self._watch,
        }

    async def on_start(self):
        """Open the client session; the total timeout of a call is part of its effect."""
        timeout = ClientTimeout(total=None, connect=self.connect_timeout_s)
        self.session = await self.add_async_context(open_session(timeout))

    def effects(self):
        """Return the handler of `KvCall`."""
        return {KvCall: lambda call: self.spawn(self._call(call))}

    async def _call(self, call):
        is_write = isinstance(call.op, WRITE_OPERATIONS)
        guard = SendGuard(allow_resend=not is_write)
        try:
            async with asyncio.timeout(call.timeout_s):
                with apply_send_guard(guard):
                    result = await self.operations[type(call.op)](call)
        except Exception:  # each call has exactly one result, also after a malformed response
            may_have_applied = is_write and guard.sent
            outcome = KvOutcome.UNKNOWN if may_have_applied else KvOutcome.UNAVAILABLE
            result = KvResult(call, outcome, [])
        self.driver.deliver(result)

    async def _post(self, path, document):
        """Return ``(status, document)``; the document is None unless the status is 200."""
        async with self.session.post(
            self.base_url + path, data=dumps(document), headers=JSON_HEADERS, allow_redirects=False
        ) as response:
            body = await response.read()
        if response.status != 200:
            return response.status, None
        payload = loads(body)
        if not isinstance(payload, dict):
            raise FormatError("key-value service: the response is not a JSON object")
        return response.status, payload

    async def _range(self, document):
        """Read a range of keys; return ``(entries, store revision)``."""
        status, payload = await self._post("kv/range", document)
        if payload is None:
            raise FormatError(f"key-value service: responded with HTTP {status} to a range request")
        return parse_entries(payload), parse_revision(payload)

    async def _get(self, call):
        entries, _ = await self._range({"key": encode_key(call.op.key)})
        return KvResult(call, KvOutcome.APPLIED, entries)

    async def _list(self, call):
        document = {
            "key": encode_key(call.op.prefix),
            "range_end": encode_base64(compute_range_end(call.op.prefix.encode("utf-8"))),
            "limit": str(call.op.limit),
            "sort_order": "DESCEND",
            "sort_target": "KEY",
        }
        entries, _ = await self._range(document)
        return KvResult(call, KvOutcome.APPLIED, entries)

    async def _put(self, call):
        op = call.op
        put = {"key": encode_key(op.key), "value": encode_base64(op.value)}
        if op.ttl_s is not None:
            put["lease"] = await self._get_lease(op.ttl_s)
        change = {"request_put": put}
        status, payload = await self._run_transaction(op, change)
        if status == 404:  # the lease does not exist, for example after a restore of the service
            self.leases.clear()
        return self._parse_transaction(call, status, payload)

    async def _delete(self, call):
        change = {"request_delete_range": {"key": encode_key(call.op.key)}}
        return self._parse_transaction(call, *await self._run_transaction(call.op, change))

    async def _run_transaction(self, op, change):
        key = encode_key(op.key)
        document = {
            "compare": build_compare(key, op.expected_revision),
            "success": [change],
            "failure": [{"request_range": {"key": key}}],
        }
        return await self._post("kv/txn", document)

    def _parse_transaction(self, call, status, payload):
        if payload is None:
            # The gateway rejects a change with 4xx; after 5xx it may still be applied.
            outcome = KvOutcome.UNAVAILABLE if status < 500 else KvOutcome.UNKNOWN
            return KvResult(call, outcome, [])
        if not payload.get("succeeded", False):
            return KvResult(call, KvOutcome.CONFLICT, parse_conflict_entries(payload))
        if isinstance(call.op, KvDelete):
            return KvResult(call, KvOutcome.APPLIED, [])
        entry = KvEntry(call.op.key, call.op.value, parse_revision(payload))
        return KvResult(call, KvOutcome.APPLIED, [entry])

    async def _get_lease(self, ttl_s):
        """Return the id of the lease that puts with this TTL share during the current hour.

        Its TTL is one hour longer than `ttl_s`, so that the last put of the hour lives for `ttl_s`.
        """
        hour = int(self.driver.read_clock() // LEASE_WINDOW_S)
        self.leases = {key: task for key, task in self.leases.items() if key[1] == hour}
        task = self.leases.get((ttl_s, hour))
        if task is None or (task.done() and (task.cancelled() or task.result() is None)):
            task = self.leases[ttl_s, hour] = self.spawn(self._grant_lease(ttl_s))
        lease = await asyncio.shield(task)
        if lease is None:
            raise FormatError("key-value service: the lease was not granted")
        return lease

    async def _grant_lease(self, ttl_s):
        """Return the id of a new lease, or None if the request fails."""
        document = {"TTL": str(int(ttl_s + LEASE_WINDOW_S))}
        try:
            async with asyncio.timeout(LEASE_TIMEOUT_S):
                with apply_send_guard(SendGuard()):
                    _, payload = await self._post("lease/grant", document)
        except CALL_ERRORS:
            return None
        return payload.get("ID") if payload is not None else None

    async def _watch(self, call):
        start = call.op.after_revision + 1
        while True:
            compacted = await self._wait_for_event(call.op.key, start)
            entries, revision = await self._range({"key": encode_key(call.op.key)})
            is_newer = any(entry.revision > call.op.after_revision for entry in entries)
            if is_newer or not compacted:
                return KvResult(call, KvOutcome.APPLIED, entries)
            start = revision + 1  # the key did not change up to this revision

    async def _wait_for_event(self, key, start):
        """Wait for a change of `key`; return True if revision `start` was compacted instead."""
        create = {"key": encode_key(key), "start_revision": str(start)}
        body = dumps({"create_request": create})
        async with self.session.post(
            self.base_url + "watch", data=body, headers=JSON_HEADERS, allow_redirects=False
        ) as response:
            if response.status != 200:
                raise FormatError(
                    f"key-value service: responded with HTTP {response.status} to a watch"
                )
            async for line in read_lines(response.content):
                result = loads(line).get("result", {})
                if result.get("events"):
                    return False
                if result.get("canceled"):
                    if "compact_revision" in result:
                        return True
                    raise FormatError("key-value service: the watch was cancelled")
        raise FormatError("key-value service: the watch ended without an event")


async def read_lines(content):
    """Yield the lines of a response; raise FormatError if one exceeds `MAX_LINE_BYTES`."""
    buffer = DelimitedBuffer(b"\n", MAX_LINE_BYTES, "key-value service: line")
    async for block in content.iter_any():
        for line in buffer.feed(block).split(b"\n")[:-1]:
            if line.strip():
                yield line


def encode_base64(value):
    """Return bytes in base64 (str)."""
    return b64encode(value).decode("ascii")


def encode_key(key):
    """Return a key in base64 (str)."""
    return encode_base64(key.encode("utf-8"))


def compute_range_end(prefix):
    """Return the exclusive end (bytes) of the range of keys that start with `prefix`."""
    trimmed = prefix.rstrip(b"\xff")
    return trimmed[:-1] + bytes([trimmed[-1] + 1]) if trimmed else b"\0"


def build_compare(key, expected_revision):
    """Return the comparisons of a transaction on `key`.

    An expected revision of 0 requires that the key is absent, None compares nothing.
    """
    if expected_revision is None:
        return []
    if expected_revision == 0:
        return [{"key": key, "target": "CREATE", "create_revision": "0", "result": "EQUAL"}]
    revision = str(expected_revision)
    return [{"key": key, "target": "MOD", "mod_revision": revision, "result": "EQUAL"}]


def parse_entries(payload):
    """Return the list of `KvEntry` in a range response."""
    return [
        KvEntry(
            b64decode(item["key"]).decode("utf-8"),
            b64decode(item.get("value", "")),
            int(item["mod_revision"]),
        )
        for item in payload.get("kvs", [])
    ]


def parse_conflict_entries(payload):
    """Return the entries that the failure branch of a transaction has read."""
    entries = []
    for item in payload.get("responses", []):
        entries += parse_entries(item.get("response_range", {}))
    return entries


def parse_revision(payload):
    """Return the store revision from the header of a response."""
    return int(payload["header"]["revision"])
