import json
from base64 import b64decode, b64encode

import pytest
from daemon_support import (
    RecordingDriver,
    ScriptedServer,
    find_free_port,
    make_settings,
    reply,
    run,
)

from medlarbeam.classes.key_value import (
    KvCall,
    KvDelete,
    KvEntry,
    KvGet,
    KvList,
    KvOutcome,
    KvPut,
    KvWatch,
)
from medlarbeam.daemon.kv_client import LEASE_WINDOW_S, KvClient

APPLIED, CONFLICT = KvOutcome.APPLIED, KvOutcome.CONFLICT
UNAVAILABLE, UNKNOWN = KvOutcome.UNAVAILABLE, KvOutcome.UNKNOWN


def encode(text):
    return b64encode(text.encode()).decode()


def ok(document):
    return reply(200, json.dumps(document).encode())


def kvs(*items):
    return {
        "header": {"revision": "20"},
        "kvs": [{"key": encode(k), "value": encode(v), "mod_revision": r} for k, v, r in items],
    }


def lines(*documents):
    body = b"".join(json.dumps({"result": d}).encode() + b"\n" for d in documents)
    return reply(200, body)


def decode_paths(requests):
    return [head.split()[1].removeprefix("/v3/") for head, _ in requests]


class KvClientHarness:
    """Runs a key-value client with a scripted service, or without a service for None."""

    __slots__ = ("client", "driver", "server")

    def __init__(self, replies):
        self.driver = RecordingDriver()
        self.server = None if replies is None else ScriptedServer(replies)
        self.client = None

    async def __aenter__(self):
        if self.server is not None:
            await self.server.__aenter__()
        port = self.server.port if self.server is not None else find_free_port()
        self.client = KvClient(self.driver, make_settings(kv_address=f"127.0.0.1:{port}"))
        await self.client.start()
        return self

    async def __aexit__(self, *error):
        await self.client.stop()
        if self.server is not None:
            await self.server.__aexit__()

    async def perform(self, op, timeout_s=5.0):
        call = KvCall("claims", "t", op, 0.0, timeout_s)
        await self.client.effects()[KvCall](call)
        result = self.driver.messages.pop()
        assert (result.call, self.driver.messages) == (call, [])
        return result


PUT = KvPut("k", b"v", 5)
GET = KvGet("k")
WATCH = KvWatch("k", 9)
ENTRY = KvEntry("k", b"old", 8)
PRESENT = {"responses": [{"response_range": kvs(("k", "old", "8"))}]}
HEADER = {"header": {"revision": "20"}}
EVENT = {"events": [{"kv": {"mod_revision": "12"}}]}
COMPACTED = {"canceled": True, "compact_revision": "15"}
NEWER = KvEntry("k", b"new", 12)
OUTCOMES = [
    ("put-applied", PUT, [ok(HEADER | {"succeeded": True})], APPLIED, [KvEntry("k", b"v", 20)]),
    ("put-conflict-without-entry", PUT, [ok(HEADER | PRESENT)], CONFLICT, [ENTRY]),
    ("conflict-with-deleted-key", PUT, [ok(HEADER)], CONFLICT, []),
    ("delete-applied", KvDelete("k", 8), [ok(HEADER | {"succeeded": True})], APPLIED, []),
    ("delete-conflict", KvDelete("k", 7), [ok(HEADER | PRESENT)], CONFLICT, [ENTRY]),
    ("unsent-write-reported-as-unknown", PUT, None, UNAVAILABLE, []),
    ("lost-response-reported-as-not-applied", PUT, [b""], UNKNOWN, []),
    ("timeout-reported-as-not-applied", PUT, [None], UNKNOWN, []),
    ("5xx-reported-as-not-applied", PUT, [reply(503)], UNKNOWN, []),
    ("4xx-reported-as-unknown", PUT, [reply(400)], UNAVAILABLE, []),
    ("malformed-response-has-no-result", PUT, [ok({"succeeded": True})], UNKNOWN, []),
    ("write-sent-twice-by-redirect", PUT, [reply(307, b"", "Location: /x")], UNAVAILABLE, []),
    ("get", GET, [ok(kvs(("k", "old", "8")))], APPLIED, [ENTRY]),
    ("get-absent", GET, [ok(HEADER)], APPLIED, []),
    ("lost-read-reported-as-unknown", GET, [b""], UNAVAILABLE, []),
    ("failed-read-reported-as-absent", GET, [reply(503)], UNAVAILABLE, []),
    ("list", KvList("k", 3), [ok(kvs(("k", "old", "8")))], APPLIED, [ENTRY]),
    (
        "watch-returns-without-reading-the-value",
        WATCH,
        [lines({"created": True}, EVENT), ok(kvs(("k", "new", "12")))],
        APPLIED,
        [NEWER],
    ),
    (
        "compacted-watch-returns-a-stale-value",
        WATCH,
        [
            lines(COMPACTED),
            ok(kvs(("k", "old", "8"))),
            lines(EVENT),
            ok(kvs(("k", "new", "12"))),
        ],
        APPLIED,
        [NEWER],
    ),
    ("watch-timeout-reported-as-change", WATCH, [None], UNAVAILABLE, []),
    ("closed-watch-reported-as-change", WATCH, [lines({"created": True})], UNAVAILABLE, []),
]


@pytest.mark.parametrize(
    "op, replies, outcome, entries", [o[1:] for o in OUTCOMES], ids=[o[0] for o in OUTCOMES]
)
def test_outcome(op, replies, outcome, entries):
    """Guards against a write that may be applied but is reported as failed, and the reverse."""

    async def check():
        async with KvClientHarness(replies) as harness:
            timeout_s = 0.2 if replies == [None] else 5.0
            result = await harness.perform(op, timeout_s)
            assert (result.outcome, result.entries) == (outcome, entries)
            if replies is not None:
                assert len(harness.server.requests) == len(replies)

    run(check())


KEY = encode("k")
ABSENT = {"key": KEY, "target": "CREATE", "create_revision": "0", "result": "EQUAL"}
AT_5 = {"key": KEY, "target": "MOD", "mod_revision": "5", "result": "EQUAL"}
COMPARISONS = [
    ("put-overwrites-newer-value", KvPut("k", b"v", 5), [AT_5]),
    ("create-overwrites-existing-key", KvPut("k", b"v", 0), [ABSENT]),
    ("unconditional-put-compares-a-revision", KvPut("k", b"v"), []),
    ("delete-removes-newer-value", KvDelete("k", 5), [AT_5]),
    ("unconditional-delete-compares-a-revision", KvDelete("k", None), []),
]


@pytest.mark.parametrize(
    "op, compare", [c[1:] for c in COMPARISONS], ids=[c[0] for c in COMPARISONS]
)
def test_write_is_one_transaction_that_reads_on_conflict(op, compare):
    """Guards against a write that overwrites a concurrent change."""

    async def check():
        async with KvClientHarness([ok(HEADER)]) as harness:
            await harness.perform(op)
            assert decode_paths(harness.server.requests) == ["kv/txn"]
            document = json.loads(harness.server.requests[0][1])
            assert document["compare"] == compare
            assert document["failure"] == [{"request_range": {"key": KEY}}]

    run(check())


RANGES = [("plain", b"claim/", b"claim0"), ("last-byte-overflows", "é".encode(), b"\xc3\xaa")]


@pytest.mark.parametrize("prefix, end", [r[1:] for r in RANGES], ids=[r[0] for r in RANGES])
def test_list_reads_only_the_last_keys_with_the_prefix(prefix, end):
    """Guards against a range that includes keys without the prefix, or the first keys."""

    async def check():
        async with KvClientHarness([ok(HEADER)]) as harness:
            await harness.perform(KvList(prefix.decode(), 3))
            document = json.loads(harness.server.requests[0][1])
            assert (b64decode(document["key"]), b64decode(document["range_end"])) == (prefix, end)
            assert (document["limit"], document["sort_order"]) == ("3", "DESCEND")

    run(check())


GRANT = ok({"ID": "77", "TTL": "3660"})
LEASES = [
    ("lease-granted-per-put", 0.0, [GRANT, ok(HEADER), ok(HEADER)], ["lease/grant"], "77"),
    (
        "key-expires-early-with-lease-of-previous-hour",
        LEASE_WINDOW_S,
        [GRANT, ok(HEADER), ok({"ID": "78"}), ok(HEADER)],
        ["lease/grant", "lease/grant"],
        "78",
    ),
    (
        "put-reuses-expired-lease",
        0.0,
        [GRANT, reply(404), ok({"ID": "78"}), ok(HEADER)],
        ["lease/grant", "lease/grant"],
        "78",
    ),
]


@pytest.mark.parametrize(
    "elapsed_s, replies, grants, lease", [e[1:] for e in LEASES], ids=[e[0] for e in LEASES]
)
def test_puts_within_an_hour_share_a_lease(elapsed_s, replies, grants, lease):
    """Guards against a lease call for each put, and keys that expire before their TTL."""

    async def check():
        async with KvClientHarness(replies) as harness:
            await harness.perform(KvPut("k", b"v", 0, ttl_s=60.0))
            harness.driver.clock += elapsed_s
            await harness.perform(KvPut("k2", b"v", 0, ttl_s=60.0))
            paths = decode_paths(harness.server.requests)
            assert [p for p in paths if p != "kv/txn"] == grants
            assert json.loads(harness.server.requests[0][1]) == {"TTL": "3660"}
            put = json.loads(harness.server.requests[-1][1])["success"][0]["request_put"]
            assert put["lease"] == lease

    run(check())


def test_put_without_a_lease_is_reported_as_unavailable():
    """Guards against an unknown outcome of a put that failed before it was sent."""

    async def check():
        async with KvClientHarness(
            [reply(503), GRANT, ok(HEADER | {"succeeded": True})]
        ) as harness:
            op = KvPut("k", b"v", 0, ttl_s=60.0)
            assert (await harness.perform(op)).outcome is UNAVAILABLE
            assert (await harness.perform(op)).outcome is APPLIED

    run(check())
