"""Calls of the key-value stand-in: a subset of etcd v3's JSON gateway, and injected faults."""

from functools import partial

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import require_type, take_number
from medlarbeam.standins.kv_format import (
    decode_bytes,
    decode_int,
    decode_word,
    encode_bytes,
    snake_case,
)
from medlarbeam.standins.kv_store import KvStore, StoreError

__all__ = ["CALLS", "KvFaults", "KvReply", "KvService"]

_VALUE_LIMIT = 1 << 20  # bytes
_HTTP_STATUS = {3: 400, 5: 404, 9: 400, 11: 400, 12: 501}  # by gRPC code, as in grpc-gateway
_ORDERS = ("NONE", "ASCEND", "DESCEND")
_SORT_TARGETS = ("KEY", "VERSION", "CREATE", "MOD", "VALUE")
_COMPARE_TARGETS = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")
_COMPARE_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
}
_STORED_FIELDS = {**_COMPARE_FIELDS, "KEY": "key", "VALUE": "value"}
_RESULTS = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")


class KvFaults(Record):
    """Injected faults.

    Parameters
    ----------
    down : bool
        Connections are closed without effect.
    slow_s : float
        Delay of each call, half of it before the effect and half after it.
    lose_answers : int
        Writes whose connection is closed after they took effect.
    """

    __slots__ = ("down", "lose_answers", "slow_s")

    def __init__(self, down=False, slow_s=0.0, lose_answers=0):
        self.down = down
        self.slow_s = slow_s
        self.lose_answers = lose_answers

    def update(self, document):
        """Take ``{"down": bool, "slow_ms": ms, "lose_answers": n}``, each optional."""
        down = require_type(document, "down", bool, self.down)
        slow_s = take_number(document, "slow_ms", self.slow_s * 1000) / 1000
        lose_answers = int(take_number(document, "lose_answers", self.lose_answers))
        self.down, self.slow_s, self.lose_answers = down, slow_s, lose_answers


class KvReply(Record):
    """Answer to a call; `lost` means that the connection is closed instead."""

    __slots__ = ("document", "lost", "status")

    def __init__(self, document, status=200, lost=False):
        self.document = document
        self.status = status
        self.lost = lost


class KvService:
    """The service: a store, its faults and counters.

    Notes
    -----
    Fields with their default value are left out of answers, as protocol buffers do.
    """

    __slots__ = ("counts", "faults", "store")

    def __init__(self):
        self.store = KvStore()
        self.faults = KvFaults()
        self.counts = dict.fromkeys([*CALLS, "watch"], 0)

    def call(self, kind, document, now):
        """Carry out a call and return its `KvReply`.

        Parameters
        ----------
        kind : str
            A key of `CALLS`.
        document : dict
            JSON request.
        now : float
            Monotonic time (s).
        """
        self.store.expire(now)
        if self.faults.down:
            return KvReply({}, lost=True)
        self.counts[kind] += 1
        revision = self.store.revision
        try:
            reply = KvReply(CALLS[kind](self, snake_case(document), now))
        except (FormatError, StoreError) as error:
            return self.refuse(error)
        wrote = self.store.revision != revision or kind in ("lease_grant", "lease_revoke")
        if wrote and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            reply.lost = True
        return reply

    def refuse(self, error):
        """Return the answer to a refused call."""
        code = getattr(error, "code", 3)
        document = {"error": str(error), "message": str(error), "code": code}
        return KvReply(document, _HTTP_STATUS[code])

    def header(self):
        """Return the header of an answer."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.store.revision)}

    # Calls

    def range(self, document, now):
        """Answer ``/v3/kv/range``."""
        _check_range(document)
        found = self.store.find(decode_bytes(document, "key"), decode_bytes(document, "range_end"))
        order = decode_word(document, "sort_order", _ORDERS)
        if order != "NONE":
            field = _STORED_FIELDS[decode_word(document, "sort_target", _SORT_TARGETS)]
            found.sort(key=lambda s: getattr(s, field), reverse=order == "DESCEND")
        answer = {"header": self.header()}
        if found:
            answer["count"] = str(len(found))
        limit = decode_int(document, "limit")
        if limit and len(found) > limit:
            answer["more"] = True
            found = found[:limit]
        if found and not document.get("count_only"):
            keys_only = bool(document.get("keys_only"))
            answer["kvs"] = [encode_stored(stored, keys_only) for stored in found]
        return answer

    def put(self, document, now):
        """Answer ``/v3/kv/put``."""
        self._write(partial(self._put, document))
        return {"header": self.header()}

    def delete_range(self, document, now):
        """Answer ``/v3/kv/deleterange``."""
        return {"header": self.header(), **self._write(partial(self._delete, document))}

    def txn(self, document, now):
        """Answer ``/v3/kv/txn``."""
        compares = require_type(document, "compare", list, [])
        branches = {k: require_type(document, k, list, []) for k in ("success", "failure")}
        for operations in branches.values():
            _check_operations(operations)
        succeeded = all([self._holds(compare) for compare in compares])
        branch = branches["success" if succeeded else "failure"]
        self._check_leases(branch)
        responses = self._write(lambda: [self._operate(op, now) for op in branch])
        answer = {"header": self.header()}
        if succeeded:
            answer["succeeded"] = True
        if responses:
            answer["responses"] = responses
        return answer

    def lease_grant(self, document, now):
        """Answer ``/v3/lease/grant``."""
        lease = self.store.grant(decode_int(document, "id"), decode_int(document, "ttl"), now)
        return {"header": self.header(), "ID": str(lease.lease_id), "TTL": str(lease.ttl)}

    def lease_keep_alive(self, document, now):
        """Answer ``/v3/lease/keepalive`` with its first and only stream element."""
        lease_id = decode_int(document, "id")
        result = {"header": self.header(), "ID": str(lease_id)}
        ttl = self.store.keep_alive(lease_id, now)
        if ttl:
            result["TTL"] = str(ttl)
        return {"result": result}

    def lease_revoke(self, document, now):
        """Answer ``/v3/lease/revoke``."""
        self.store.revoke(decode_int(document, "id"))
        return {"header": self.header()}

    def watch(self, document, now, on_change):
        """Register the watch of ``/v3/watch``; raise `StoreError` where it is refused."""
        self.store.expire(now)
        self.counts["watch"] += 1
        create = require_type(snake_case(document), "create_request", dict)
        key = decode_bytes(create, "key")
        range_end = decode_bytes(create, "range_end")
        return self.store.watch(key, range_end, decode_int(create, "start_revision"), on_change)

    def created_document(self):
        """Return the first stream element of a watch."""
        return {"result": {"header": self.header(), "created": True}}

    def compacted_document(self):
        """Return the last stream element of a watch that starts too far back."""
        oldest = str(self.store.oldest_revision)
        result = {"header": self.header(), "canceled": True, "compact_revision": oldest}
        return {"result": result}

    def changes_document(self, changes):
        """Return a stream element with the given list of `Change`."""
        return {"result": {"header": self.header(), "events": [encode_change(c) for c in changes]}}

    # Parts of calls

    def _write(self, work):
        try:
            return work()
        finally:
            self.store.end_write()

    def _put(self, document):
        key, value = _check_put(document)
        self.store.put(key, value, decode_int(document, "lease"))
        return {}

    def _delete(self, document):
        range_end = decode_bytes(document, "range_end")
        deleted = self.store.delete(decode_bytes(document, "key"), range_end)
        return {"deleted": str(deleted)} if deleted else {}

    def _operate(self, operation, now):
        (name, document), *_ = operation.items()
        if name == "request_range":
            return {"response_range": self.range(document, now)}
        if name == "request_put":
            return {"response_put": self._put(document)}
        return {"response_delete_range": self._delete(document)}

    def _check_leases(self, branch):
        for operation in branch:
            lease_id = decode_int(operation.get("request_put", {}), "lease")
            if lease_id and lease_id not in self.store.leases:
                raise StoreError(5, "etcdserver: requested lease not found")

    def _holds(self, compare):
        if not isinstance(compare, dict):
            raise FormatError("a comparison of a transaction is not a JSON object")
        target = decode_word(compare, "target", _COMPARE_TARGETS)
        result = decode_word(compare, "result", _RESULTS)
        found = self.store.find(decode_bytes(compare, "key"))
        if target == "VALUE":
            if not found:  # as in etcd, no comparison with the value of an absent key holds
                return False
            return _compare(found[0].value, decode_bytes(compare, "value"), result)
        field = _COMPARE_FIELDS[target]
        actual = getattr(found[0], field) if found else 0
        return _compare(actual, decode_int(compare, field), result)


def _compare(actual, expected, result):
    outcomes = {
        "EQUAL": actual == expected,
        "NOT_EQUAL": actual != expected,
        "GREATER": actual > expected,
        "LESS": actual < expected,
    }
    return outcomes[result]


def _check_range(document):
    """Raise an error for a range or deletion that cannot be carried out."""
    if decode_int(document, "revision"):
        raise StoreError(12, "the stand-in reads the latest revision only")
    decode_bytes(document, "key")
    decode_bytes(document, "range_end")
    decode_int(document, "limit")
    decode_word(document, "sort_order", _ORDERS)
    decode_word(document, "sort_target", _SORT_TARGETS)


def _check_put(document):
    key = decode_bytes(document, "key")
    value = decode_bytes(document, "value")
    if not key:
        raise StoreError(3, "etcdserver: key is not provided")
    if len(value) > _VALUE_LIMIT:
        raise StoreError(3, "etcdserver: request is too large")
    return key, value


def _check_operations(operations):
    """Refuse a branch as a whole, before any of it takes effect."""
    written = set()
    for operation in operations:
        if not isinstance(operation, dict) or len(operation) != 1:
            raise FormatError("an operation of a transaction needs exactly one request")
        (name, document), *_ = operation.items()
        if name not in ("request_range", "request_put", "request_delete_range"):
            raise StoreError(12, f"operation {name!r} is not supported by the stand-in")
        require_type(operation, name, dict)
        if name != "request_put":
            _check_range(document)
        else:
            key, _ = _check_put(document)
            if key in written:
                raise StoreError(3, "etcdserver: duplicate key given in txn request")
            written.add(key)


def encode_stored(stored, keys_only=False):
    """Return a `StoredKey` as a JSON document."""
    document = {
        "key": encode_bytes(stored.key),
        "create_revision": str(stored.create_revision),
        "mod_revision": str(stored.mod_revision),
        "version": str(stored.version),
    }
    if stored.value and not keys_only:
        document["value"] = encode_bytes(stored.value)
    if stored.lease:
        document["lease"] = str(stored.lease)
    return document


def encode_change(change):
    """Return a `Change` as a JSON document."""
    if change.stored is not None:
        return {"kv": encode_stored(change.stored)}
    kv = {"key": encode_bytes(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": kv}


CALLS = {
    "range": KvService.range,
    "put": KvService.put,
    "deleterange": KvService.delete_range,
    "txn": KvService.txn,
    "lease_grant": KvService.lease_grant,
    "lease_keepalive": KvService.lease_keep_alive,
    "lease_revoke": KvService.lease_revoke,
}
