"""Entries of the store: what is read, and what names nothing to use."""

from base64 import b64encode

import pytest
from orjson import dumps

from medlarbeam.classes.fleet import AdapterKey, RouteKind
from medlarbeam.exceptions import FormatError
from medlarbeam.platform.documents import (
    encode_node,
    encode_right,
    read_engine_state,
    read_value,
)

SERVER = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "version": "v1",
    "slots": 24,
    "state": "ready",
    "coldRemainingMs": 0,
    "phase": "colocated",
    "models": [{"name": "m0", "version": 1, "adapters": ["a3@2", "a4"]}],
    "seq": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r1",
    "host": "h.example",
    "pathPrefix": "/a/",
    "routeKind": "streaming",
    "timeoutMs": 5000,
    "goalLatencyMs": 500,
    "priority": 0,
    "split": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    "attempts": 2,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 250,
}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [{"name": "s1", "maxConns": 9}]}


def read(key, document):
    text = document if isinstance(document, bytes) else dumps(document)
    return read_value(key, b64encode(text).decode(), 41)


def without(document, name):
    return {key: value for key, value in document.items() if key != name}


UNUSABLE = [
    ("not-json", "servers/i-1", b"{"),
    ("not-an-object", "servers/i-1", b"[]"),
    ("bytes-that-are-no-text", "servers/i-1", b"\xff\xfe"),
    ("missing-address", "servers/i-1", without(SERVER, "address")),
    ("address-without-a-port", "servers/i-1", {**SERVER, "address": "10.0.0.9"}),
    ("unknown-state", "servers/i-1", {**SERVER, "state": "sleeping"}),
    ("slots-of-another-type", "servers/i-1", {**SERVER, "slots": "24"}),
    ("slots-that-are-a-flag", "servers/i-1", {**SERVER, "slots": True}),
    ("born-that-is-no-whole-number", "servers/i-1", {**SERVER, "born": 1.5}),
    ("model-that-is-no-object", "servers/i-1", {**SERVER, "models": [3]}),
    ("route-of-an-unknown-kind", "op/config", {**CONFIG, "routes": [{**ROUTE, "routeKind": "x"}]}),
    ("configuration-without-routes", "op/config", without(CONFIG, "routes")),
    ("version-that-is-no-number", "op/version/m0.a3", {"model": "m0", "adapter": "a3"}),
]


@pytest.mark.parametrize(
    ("key", "document"), [u[1:] for u in UNUSABLE], ids=[u[0] for u in UNUSABLE]
)
def test_entry_that_cannot_be_used_is_reported(key, document):
    with pytest.raises(FormatError):
        read(key, document)


def test_server_is_read_in_full():
    entry = read("servers/i-1", {**SERVER, "state": "draining", "remainingMs": 1500})
    assert (entry.name, entry.address, entry.slots) == ("i-1", "10.0.0.9:80", 24)
    assert entry.draining
    assert entry.adapters == {AdapterKey("m0", "a3"): 2, AdapterKey("m0", "a4"): 0}


def test_split_route_is_read_in_full():
    route = read("op/config", CONFIG).routes[0]
    assert [(t.service, t.weight) for t in route.targets] == [("s1", 90.0), ("s2", 10.0)]
    assert (route.kind, route.timeout_s, route.gap_s) == (RouteKind.STREAM, 5.0, 0.25)
    assert route.is_repeatable()


OWN = [
    ("registration-of-another-format", "medlarbeam/node/n1", {"address": 3}),
    ("right-without-a-node", "medlarbeam/right/i-1", {}),
]


@pytest.mark.parametrize(("key", "document"), [o[1:] for o in OWN], ids=[o[0] for o in OWN])
def test_own_entry_that_cannot_be_used_is_reported(key, document):
    with pytest.raises(FormatError):
        read(key, document)


def test_right_carries_its_revision_as_the_fence():
    right = read("medlarbeam/right/i-1", encode_right("n2"))
    assert (right.server, right.node, right.fence) == ("i-1", "n2", 41)


def test_registration_is_read_as_it_was_written():
    node = read(
        "medlarbeam/node/n1", dumps({"failure_domain": "z1", "address": "a:1", "incarnation": 5})
    )
    assert read("medlarbeam/node/n1", encode_node(node)) == node


def test_key_that_is_not_used_has_no_value():
    assert read_value("other/key", "?", 1) is None


def test_state_counts_adapters_that_are_coming():
    state = read_engine_state(
        {"models": SERVER["models"], "seq": 4, "busy": False, "coming": ["m0/a9@3"]}
    )
    assert state.coming == {AdapterKey("m0", "a9"): 3}
    assert state.orders == 4 and state.models == {"m0"}
