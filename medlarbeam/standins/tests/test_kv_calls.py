"""Tests that the key-value stand-in behaves as etcd's JSON gateway and injects its faults.

A stand-in that differs from etcd would hide faults of the nodes' key-value client and leases.
"""

import pytest

from medlarbeam.standins.kv_calls import KvService
from medlarbeam.standins.kv_format import encode_bytes
from medlarbeam.standins.kv_store import CompactedError


def b64(text):
    return encode_bytes(text.encode())


def put(key, value="v", **fields):
    return {"key": b64(key), "value": b64(value), **fields}


def make_service(*keys):
    service = KvService()
    for key in keys:
        service.call("put", put(key), 0.0)
    return service


def read(service, key, now=0.0):
    kvs = service.call("range", {"key": b64(key)}, now).document.get("kvs", [])
    return kvs[0].get("value", "") if kvs else None


KEYS = ["a/1", "a/2", "a/3", "b"]  # at revisions 2, 3, 4 and 5
PREFIX = {"key": b64("a/"), "range_end": b64("a0")}
RANGES = [
    ("single-key", {"key": b64("a/2")}, ["a/2"], "1", False),
    ("prefix", PREFIX, ["a/1", "a/2", "a/3"], "3", False),
    ("limit-sets-more", {**PREFIX, "limit": "2"}, ["a/1", "a/2"], "3", True),
    ("descending", {**PREFIX, "sort_order": "DESCEND"}, ["a/3", "a/2", "a/1"], "3", False),
    (
        "camel-case-and-numbers",
        {"key": b64("a/"), "rangeEnd": b64("a0"), "sortOrder": 2, "sortTarget": "MOD", "limit": 1},
        ["a/3"],
        "3",
        True,
    ),
    ("from-key", {"key": b64("a/3"), "range_end": b64("\0")}, ["a/3", "b"], "2", False),
    ("absent-key", {"key": b64("c")}, [], None, False),
]


@pytest.mark.parametrize(
    ("document", "keys", "count", "more"), [r[1:] for r in RANGES], ids=[r[0] for r in RANGES]
)
def test_range(document, keys, count, more):
    response = make_service(*KEYS).call("range", document, 0.0).document
    assert [kv["key"] for kv in response.get("kvs", [])] == [b64(key) for key in keys]
    assert (response.get("count"), response.get("more", False)) == (count, more)
    assert response["header"]["revision"] == "5"


def compare(target, result, **expected):
    return {"key": b64("a/1"), "target": target, "result": result, **expected}


ABSENT = {"key": b64("z"), "target": "CREATE", "create_revision": "0"}
TXNS = [
    ("mod-revision-equal", [compare("MOD", "EQUAL", mod_revision="2")], True),
    ("mod-revision-outdated", [compare("MOD", "EQUAL", modRevision="1")], False),
    ("mod-revision-greater", [compare("MOD", "GREATER", mod_revision=1)], True),
    ("value-equal", [compare("VALUE", "EQUAL", value=b64("v"))], True),
    ("create-if-absent", [ABSENT], True),
    ("create-if-absent-but-present", [{**ABSENT, "key": b64("a/1")}], False),
    ("one-of-two-fails", [ABSENT, compare("VERSION", "NOT_EQUAL", version="1")], False),
    ("no-comparison", [], True),
]


@pytest.mark.parametrize(("compares", "succeeded"), [t[1:] for t in TXNS], ids=[t[0] for t in TXNS])
def test_txn_applies_exactly_one_branch(compares, succeeded):
    service = make_service("a/1")
    document = {
        "compare": compares,
        "success": [{"requestPut": put("yes")}, {"request_put": put("yes2")}],
        "failure": [{"request_delete_range": PREFIX}, {"requestRange": {"key": b64("a/1")}}],
    }
    response = service.call("txn", document, 0.0).document
    assert response.get("succeeded", False) is succeeded
    assert [list(r)[0] for r in response["responses"]] == (
        ["response_put"] * 2 if succeeded else ["response_delete_range", "response_range"]
    )
    assert response["header"]["revision"] == "3"
    found = [read(service, key) is not None for key in ("yes", "yes2", "a/1")]
    assert found == [succeeded] * 3


REJECTIONS = [
    ("value-over-1-MB", "put", put("k", "v" * ((1 << 20) + 1)), 400, "too large"),
    ("no-key", "put", put(""), 400, "key is not provided"),
    ("unknown-lease", "put", put("k", lease="9"), 404, "lease not found"),
    ("not-base64", "put", {"key": "?"}, 400, "not base64"),
    ("unknown-sort-order", "range", {"sort_order": "UP"}, 400, "'sort_order' is 'UP'"),
    ("past-revision", "range", {"revision": "1"}, 501, "latest revision only"),
    ("revoke-unknown-lease", "lease_revoke", {"ID": "9"}, 404, "lease not found"),
]
TXN_REJECTIONS = [
    ("txn-duplicate-key", [{"request_put": put("k")}] * 2, 400, "duplicate key"),
    (
        "txn-unsupported-second-operation",
        [{"request_put": put("k")}, {"x": {}}],
        501,
        "not supported",
    ),
    (
        "txn-unknown-lease",
        [{"request_put": put("k")}, {"request_put": put("l", lease=9)}],
        404,
        "lease not found",
    ),
]
REJECTIONS += [(t[0], "txn", {"success": t[1]}, *t[2:]) for t in TXN_REJECTIONS]


@pytest.mark.parametrize(
    ("kind", "document", "status", "message"),
    [r[1:] for r in REJECTIONS],
    ids=[r[0] for r in REJECTIONS],
)
def test_rejected_call_changes_nothing(kind, document, status, message):
    service = make_service()
    response = service.call(kind, document, 0.0)
    assert response.status == status and message in response.document["error"]
    assert service.store.revision == 1 and read(service, "k") is None


LEASES = [
    ("valid-before-ttl", 9.9, [], True),
    ("expires-at-ttl", 10.0, [], False),
    ("keepalive-extends", 15.0, [("lease_keepalive", 6.0)], True),
    ("keepalive-after-expiry-is-ignored", 12.0, [("lease_keepalive", 11.0)], False),
    ("revoke-deletes-keys", 1.0, [("lease_revoke", 0.5)], False),
]


@pytest.mark.parametrize(
    ("now", "calls", "present"), [x[1:] for x in LEASES], ids=[x[0] for x in LEASES]
)
def test_lease(now, calls, present):
    service = make_service()
    lease = service.call("lease_grant", {"TTL": "10"}, 0.0).document["ID"]
    service.call("put", put("k", lease=lease), 0.0)
    for kind, at in calls:
        service.call(kind, {"ID": lease}, at)
    assert (read(service, "k", now) is not None) is present


FAULTS = [
    ("down-has-no-effect", {"down": True}, "put", True, False),
    ("dropped-response-after-write", {"lose_answers": 1}, "put", True, True),
    ("reads-keep-their-response", {"lose_answers": 1}, "range", False, False),
    ("no-fault", {}, "put", False, True),
]


@pytest.mark.parametrize(
    ("faults", "kind", "dropped", "present"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS]
)
def test_fault(faults, kind, dropped, present):
    service = make_service()
    service.faults.update(faults)
    assert service.call(kind, put("k"), 0.0).dropped is dropped
    service.faults.update({"down": False})
    assert (read(service, "k") is not None) is present
    assert not service.call("put", put("l"), 0.0).dropped or kind == "range"


WATCHES = [
    ("changes-after-registration-only", {}, [("PUT", "a/1", "4"), ("DELETE", "a/2", "5")]),
    (
        "from-start-revision",
        {"start_revision": "3"},
        [("PUT", "a/2", "3"), ("PUT", "a/1", "4"), ("DELETE", "a/2", "5")],
    ),
    ("from-future-revision", {"start_revision": "5"}, [("DELETE", "a/2", "5")]),
]


@pytest.mark.parametrize(
    ("fields", "expected"), [w[1:] for w in WATCHES], ids=[w[0] for w in WATCHES]
)
def test_watch_delivers_each_change_once(fields, expected):
    service = make_service("a/1", "a/2")
    notifications = []
    document = {"create_request": {**PREFIX, **fields}}
    watcher = service.watch(document, 0.0, lambda: notifications.append(1))
    for kind, call in (("put", put("a/1")), ("deleterange", {"key": b64("a/2")})):
        service.call(kind, call, 0.0)
    service.call("put", put("b"), 0.0)
    events = service.changes_document(watcher.take_changes())["result"]["events"]
    delivered = [(e.get("type", "PUT"), e["kv"]["key"], e["kv"]["mod_revision"]) for e in events]
    assert delivered == [(kind, b64(key), revision) for kind, key, revision in expected]
    assert len(notifications) == len(expected) and watcher.take_changes() == []


def test_watch_delivers_deletion_at_lease_expiry():
    service = make_service()
    lease = service.call("lease_grant", {"TTL": 1}, 0.0).document["ID"]
    service.call("put", put("a/1", lease=lease), 0.0)
    watcher = service.watch({"create_request": PREFIX}, 0.0, list)
    assert service.store.next_expiry() == 1.0
    service.store.expire(1.0)
    assert [change.key_value for change in watcher.take_changes()] == [None]


@pytest.mark.parametrize(
    ("start", "rejected"),
    [("1", True), ("4", True), ("5", False)],
    ids=["first-revision-compacted", "last-compacted-revision", "oldest-kept-revision"],
)
def test_watch_of_compacted_revision_is_rejected(start, rejected, monkeypatch):
    monkeypatch.setattr("medlarbeam.standins.kv_store._HISTORY_LIMIT", 2)
    service = make_service("a/1", "a/2", "a/3", "a/4", "a/5")  # revisions 2 to 6
    document = {"create_request": {**PREFIX, "start_revision": start}}
    if rejected:
        with pytest.raises(CompactedError):
            service.watch(document, 0.0, list)
        assert service.compacted_document()["result"]["compact_revision"] == "5"
    else:
        assert len(service.watch(document, 0.0, list).take_changes()) == 2
