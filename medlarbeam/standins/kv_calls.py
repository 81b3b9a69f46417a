"""Request handling and fault injection of the key-value stand-in (subset of etcd v3's API)."""

from functools import partial

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import read_field, read_non_negative
from medlarbeam.standins.kv_format import (
    decode_bytes,
    decode_enum,
    decode_int,
    encode_bytes,
    snake_case,
)
from medlarbeam.standins.kv_store import KvStore, StoreError

__all__ = ["HANDLERS", "KvFaults", "KvResponse", "KvService"]

_VALUE_LIMIT = 1 << 20  # bytes
_HTTP_STATUS = {3: 400, 5: 404, 9: 400, 11: 400, 12: 501}  # by gRPC status, as in grpc-gateway
_SORT_ORDERS = ("NONE", "ASCEND", "DESCEND")
_SORT_TARGETS = ("KEY", "VERSION", "CREATE", "MOD", "VALUE")
_COMPARE_TARGETS = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")
_COMPARE_FIELDS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "LEASE": "lease",
}
_SORT_FIELDS = {**_COMPARE_FIELDS, "KEY": "key", "VALUE": "value"}
_COMPARE_RESULTS = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")


class KvFaults(Record):
    """Injected faults.

    Parameters
    ----------
    down : bool
        Close the connection of each call without executing the call.
    slow_s : float
        Delay of each call (s), half of it before the call takes effect and half after.
    lose_answers : int
        Number of writes whose connection is closed after the write took effect.
    """

    __slots__ = ("down", "lose_answers", "slow_s")

    def __init__(self, down=False, slow_s=0.0, lose_answers=0):
        self.down = down
        self.slow_s = slow_s
        self.lose_answers = lose_answers

    def update(self, document):
        """Apply ``{"down": bool, "slow_ms": ms, "lose_answers": n}``; all fields optional."""
        down = read_field(document, "down", bool, self.down)
        slow_s = read_non_negative(document, "slow_ms", self.slow_s * 1000) / 1000
        lose_answers = int(read_non_negative(document, "lose_answers", self.lose_answers))
        self.down, self.slow_s, self.lose_answers = down, slow_s, lose_answers


class KvResponse(Record):
    """Response to a call; if `dropped`, the connection is closed without sending it."""

    __slots__ = ("document", "dropped", "status")

    def __init__(self, document, status=200, dropped=False):
        self.document = document
        self.status = status
        self.dropped = dropped


class KvService:
    """Key-value service: the store, injected faults and call counters.

    Notes
    -----
    Responses omit fields that have their default value, as protocol buffers do.
    """

    __slots__ = ("counts", "faults", "store")

    def __init__(self):
        self.store = KvStore()
        self.faults = KvFaults()
        self.counts = dict.fromkeys([*HANDLERS, "watch"], 0)

    def call(self, kind, document, now):
        """Execute a call and return its `KvResponse`.

        Parameters
        ----------
        kind : str
            A key of `HANDLERS`.
        document : dict
            JSON request.
        now : float
            Monotonic time (s).
        """
        self.store.expire(now)
        if self.faults.down:
            return KvResponse({}, dropped=True)
        self.counts[kind] += 1
        revision = self.store.revision
        try:
            response = KvResponse(HANDLERS[kind](self, snake_case(document), now))
        except (FormatError, StoreError) as error:
            return self.build_error_response(error)
        wrote = self.store.revision != revision or kind in ("lease_grant", "lease_revoke")
        if wrote and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            response.dropped = True
        return response

    def build_error_response(self, error):
        """Return the error response to a rejected call."""
        code = getattr(error, "code", 3)
        document = {"error": str(error), "message": str(error), "code": code}
        return KvResponse(document, _HTTP_STATUS[code])

    def header(self):
        """Return the header of a response."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.store.revision)}

    # Handlers by call

    def range(self, document, now):
        """Handle ``/v3/kv/range``."""
        _check_range(document)
        found = self.store.find(decode_bytes(document, "key"), decode_bytes(document, "range_end"))
        order = decode_enum(document, "sort_order", _SORT_ORDERS)
        if order != "NONE":
            field = _SORT_FIELDS[decode_enum(document, "sort_target", _SORT_TARGETS)]
            found.sort(key=lambda kv: getattr(kv, field), reverse=order == "DESCEND")
        response = {"header": self.header()}
        if found:
            response["count"] = str(len(found))
        limit = decode_int(document, "limit")
        if limit and len(found) > limit:
            response["more"] = True
            found = found[:limit]
        if found and not document.get("count_only"):
            keys_only = bool(document.get("keys_only"))
            response["kvs"] = [encode_key_value(key_value, keys_only) for key_value in found]
        return response

    def put(self, document, now):
        """Handle ``/v3/kv/put``."""
        self._write(partial(self._put, document))
        return {"header": self.header()}

    def delete_range(self, document, now):
        """Handle ``/v3/kv/deleterange``."""
        return {"header": self.header(), **self._write(partial(self._delete, document))}

    def txn(self, document, now):
        """Handle ``/v3/kv/txn``."""
        compares = read_field(document, "compare", list, [])
        branches = {k: read_field(document, k, list, []) for k in ("success", "failure")}
        for operations in branches.values():
            _check_operations(operations)
        succeeded = all([self._evaluate_compare(compare) for compare in compares])
        branch = branches["success" if succeeded else "failure"]
        self._check_leases(branch)
        responses = self._write(lambda: [self._apply_operation(op, now) for op in branch])
        response = {"header": self.header()}
        if succeeded:
            response["succeeded"] = True
        if responses:
            response["responses"] = responses
        return response

    def lease_grant(self, document, now):
        """Handle ``/v3/lease/grant``."""
        lease = self.store.grant(decode_int(document, "id"), decode_int(document, "ttl"), now)
        return {"header": self.header(), "ID": str(lease.lease_id), "TTL": str(lease.ttl)}

    def lease_keep_alive(self, document, now):
        """Handle ``/v3/lease/keepalive`` with its first and only stream element."""
        lease_id = decode_int(document, "id")
        result = {"header": self.header(), "ID": str(lease_id)}
        ttl = self.store.keep_alive(lease_id, now)
        if ttl:
            result["TTL"] = str(ttl)
        return {"result": result}

    def lease_revoke(self, document, now):
        """Handle ``/v3/lease/revoke``."""
        self.store.revoke(decode_int(document, "id"))
        return {"header": self.header()}

    def watch(self, document, now, on_change):
        """Register the watch of ``/v3/watch``; raise `StoreError` if it is rejected."""
        self.store.expire(now)
        self.counts["watch"] += 1
        create = read_field(snake_case(document), "create_request", dict)
        key = decode_bytes(create, "key")
        range_end = decode_bytes(create, "range_end")
        return self.store.watch(key, range_end, decode_int(create, "start_revision"), on_change)

    def created_document(self):
        """Return the first stream element of a watch."""
        return {"result": {"header": self.header(), "created": True}}

    def compacted_document(self):
        """Return the last stream element of a watch whose start revision is compacted."""
        oldest = str(self.store.oldest_revision)
        result = {"header": self.header(), "canceled": True, "compact_revision": oldest}
        return {"result": result}

    def changes_document(self, changes):
        """Return a stream element that delivers a list of `Change`."""
        return {"result": {"header": self.header(), "events": [encode_change(c) for c in changes]}}

    # Helpers of the handlers

    def _write(self, apply):
        try:
            return apply()
        finally:
            self.store.commit()

    def _put(self, document):
        key, value = _check_put(document)
        self.store.put(key, value, decode_int(document, "lease"))
        return {}

    def _delete(self, document):
        range_end = decode_bytes(document, "range_end")
        deleted = self.store.delete(decode_bytes(document, "key"), range_end)
        return {"deleted": str(deleted)} if deleted else {}

    def _apply_operation(self, operation, now):
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

    def _evaluate_compare(self, compare):
        if not isinstance(compare, dict):
            raise FormatError("a comparison in a transaction is not a JSON object")
        target = decode_enum(compare, "target", _COMPARE_TARGETS)
        result = decode_enum(compare, "result", _COMPARE_RESULTS)
        found = self.store.find(decode_bytes(compare, "key"))
        if target == "VALUE":
            if not found:  # as in etcd, comparisons with the value of an absent key are false
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
    """Raise an error if a range or deletion request is invalid or not supported."""
    if decode_int(document, "revision"):
        raise StoreError(12, "the stand-in supports reads at the latest revision only")
    decode_bytes(document, "key")
    decode_bytes(document, "range_end")
    decode_int(document, "limit")
    decode_enum(document, "sort_order", _SORT_ORDERS)
    decode_enum(document, "sort_target", _SORT_TARGETS)


def _check_put(document):
    key = decode_bytes(document, "key")
    value = decode_bytes(document, "value")
    if not key:
        raise StoreError(3, "etcdserver: key is not provided")
    if len(value) > _VALUE_LIMIT:
        raise StoreError(3, "etcdserver: request is too large")
    return key, value


def _check_operations(operations):
    """Raise an error if an operation of a branch is invalid, before any takes effect."""
    written = set()
    for operation in operations:
        if not isinstance(operation, dict) or len(operation) != 1:
            raise FormatError("an operation in a transaction must have exactly one request")
        (name, document), *_ = operation.items()
        if name not in ("request_range", "request_put", "request_delete_range"):
            raise StoreError(12, f"operation {name!r} is not supported by the stand-in")
        read_field(operation, name, dict)
        if name != "request_put":
            _check_range(document)
        else:
            key, _ = _check_put(document)
            if key in written:
                raise StoreError(3, "etcdserver: duplicate key given in txn request")
            written.add(key)


def encode_key_value(key_value, keys_only=False):
    """Encode a `KeyValue` as a JSON document."""
    document = {
        "key": encode_bytes(key_value.key),
        "create_revision": str(key_value.create_revision),
        "mod_revision": str(key_value.mod_revision),
        "version": str(key_value.version),
    }
    if key_value.value and not keys_only:
        document["value"] = encode_bytes(key_value.value)
    if key_value.lease:
        document["lease"] = str(key_value.lease)
    return document


def encode_change(change):
    """Encode a `Change` as a JSON document."""
    if change.key_value is not None:
        return {"kv": encode_key_value(change.key_value)}
    kv = {"key": encode_bytes(change.key), "mod_revision": str(change.revision)}
    return {"type": "DELETE", "kv": kv}


HANDLERS = {
    "range": KvService.range,
    "put": KvService.put,
    "deleterange": KvService.delete_range,
    "txn": KvService.txn,
    "lease_grant": KvService.lease_grant,
    "lease_keepalive": KvService.lease_keep_alive,
    "lease_revoke": KvService.lease_revoke,
}
