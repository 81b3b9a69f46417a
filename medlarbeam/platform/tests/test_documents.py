"""Decoding of store entries.

Guards against entries that are decoded wrongly, and against invalid entries that are accepted or
raise an exception other than FormatError, which would stop the store client.
"""

from base64 import b64encode

import pytest
from orjson import dumps, loads

from medlarbeam.classes.fleet import (
    AdapterKey,
    RouteKind,
    SoftwareVersion,
    StreamReport,
    VersionStreams,
)
from medlarbeam.classes.organisations import Quota
from medlarbeam.exceptions import FormatError
from medlarbeam.platform.documents import (
    decode_config,
    decode_engine_state,
    decode_entry,
    encode_node,
    encode_right,
    encode_software_version,
    encode_stream_report,
    software_version_key,
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


def decode_document(key, document):
    text = document if isinstance(document, bytes) else dumps(document)
    return decode_entry(key, b64encode(text).decode(), 41)


def remove_field(document, name):
    return {key: value for key, value in document.items() if key != name}


MODEL = {"name": "m0", "version": 1}
ZERO = [{"service": "s1", "weight": 0}]
NEGATIVE = [{"service": "s1", "weight": 2}, {"service": "s2", "weight": -1}]
INVALID_ENTRIES = [
    ("not-json", "servers/i-1", b"{"),
    ("not-an-object", "servers/i-1", b"[]"),
    ("bytes-that-are-not-utf-8", "servers/i-1", b"\xff\xfe"),
    ("missing-address", "servers/i-1", remove_field(SERVER, "address")),
    ("address-without-port", "servers/i-1", {**SERVER, "address": "10.0.0.9"}),
    ("unknown-state", "servers/i-1", {**SERVER, "state": "sleeping"}),
    ("slots-of-wrong-type", "servers/i-1", {**SERVER, "slots": "24"}),
    ("slots-are-a-boolean", "servers/i-1", {**SERVER, "slots": True}),
    ("born-is-not-an-integer", "servers/i-1", {**SERVER, "born": 1.5}),
    ("model-is-not-an-object", "servers/i-1", {**SERVER, "models": [3]}),
    ("unknown-route-kind", "op/config", {**CONFIG, "routes": [{**ROUTE, "routeKind": "x"}]}),
    ("configuration-without-routes", "op/config", remove_field(CONFIG, "routes")),
    ("deeply-nested", "servers/i-1", b'{"models":' + b"[" * 100_000 + b"]" * 100_000 + b"}"),
    ("nested-as-deep-as-the-decoder-allows", "servers/i-1", b"[" * 1000 + b"]" * 1000),
    ("slots-too-large-for-a-float", "servers/i-1", dumps(SERVER).replace(b"24", b"9" * 400)),
    ("slots-too-large-for-64-bits", "servers/i-1", dumps(SERVER).replace(b"24", b"9" * 25)),
    ("slots-are-negative", "servers/i-1", {**SERVER, "slots": -4}),
    ("no-slots", "servers/i-1", {**SERVER, "slots": 0}),
    ("born-too-large-for-a-datagram", "servers/i-1", {**SERVER, "born": (1 << 64) - 1}),
    ("born-before-the-epoch", "servers/i-1", {**SERVER, "born": -1}),
    ("port-out-of-range", "servers/i-1", {**SERVER, "address": "10.0.0.9:65536"}),
    ("port-is-0", "servers/i-1", {**SERVER, "address": "10.0.0.9:0"}),
    ("port-of-5000-digits", "servers/i-1", {**SERVER, "address": "10.0.0.9:" + "9" * 5000}),
    ("port-of-other-digits", "servers/i-1", {**SERVER, "address": "10.0.0.9:\u00b2"}),
    ("host-is-a-name", "servers/i-1", {**SERVER, "address": "localhost:80"}),
    ("host-with-a-line-break", "servers/i-1", {**SERVER, "address": "10.0.0.9\r\n:80"}),
    ("id-with-a-line-break", "servers/i-1\r\nX: 1", SERVER),
    ("adapter-is-not-a-string", "servers/i-1", {**SERVER, "models": [{**MODEL, "adapters": [5]}]}),
    ("software-version-is-a-number", "servers/i-1", {**SERVER, "version": 3}),
    ("state-is-a-list", "servers/i-1", {**SERVER, "state": []}),
    ("service-is-not-an-object", "op/config", {**CONFIG, "services": [3]}),
    ("engine-is-not-an-object", "op/config", {**CONFIG, "services": [{"name": "s", "engine": 3}]}),
    ("route-is-not-an-object", "op/config", {**CONFIG, "routes": [None]}),
    ("weights-of-a-split-are-0", "op/config", {**CONFIG, "routes": [{**ROUTE, "split": ZERO}]}),
    ("weight-is-negative", "op/config", {**CONFIG, "routes": [{**ROUTE, "split": NEGATIVE}]}),
    ("version-without-number", "op/version/m0.a3", {"model": "m0", "adapter": "a3"}),
]


@pytest.mark.parametrize(
    ("key", "document"),
    [case[1:] for case in INVALID_ENTRIES],
    ids=[case[0] for case in INVALID_ENTRIES],
)
def test_invalid_entry_is_rejected(key, document):
    with pytest.raises(FormatError):
        decode_document(key, document)


def test_all_fields_of_server_are_decoded():
    entry = decode_document("servers/i-1", {**SERVER, "state": "draining", "remainingMs": 1500})
    assert (entry.name, entry.address, entry.concurrency) == ("i-1", "10.0.0.9:80", 24)
    assert entry.draining
    assert entry.adapters == {AdapterKey("m0", "a3"): 2, AdapterKey("m0", "a4"): 0}


def test_all_fields_of_split_route_are_decoded():
    route = decode_document("op/config", CONFIG).routes[0]
    assert [(t.service, t.weight) for t in route.targets] == [("s1", 90.0), ("s2", 10.0)]
    assert (route.kind, route.timeout_s, route.gap_goal_s) == (RouteKind.STREAM, 5.0, 0.25)
    assert route.is_retryable()


STREAMS = {"service": "llm", "software": "v2"}
INVALID_OWN_ENTRIES = [
    ("registration-with-invalid-address", "medlarbeam/node/n1", {"address": 3}),
    ("right-without-node", "medlarbeam/right/i-1", {}),
    (
        "registration-without-a-port",
        "medlarbeam/node/n1",
        {"failure_domain": "z1", "address": "10.0.0.1:x", "incarnation": 5},
    ),
    (
        "attempt-id-is-a-number",
        "medlarbeam/streams/n1",
        {"streams": [{**STREAMS, "attempts": [3]}]},
    ),
    ("streams-of-no-version", "medlarbeam/streams/n1", {"streams": [{"attempts": ["a"]}]}),
]


@pytest.mark.parametrize(
    ("key", "document"),
    [o[1:] for o in INVALID_OWN_ENTRIES],
    ids=[o[0] for o in INVALID_OWN_ENTRIES],
)
def test_invalid_own_entry_is_rejected(key, document):
    with pytest.raises(FormatError):
        decode_document(key, document)


def test_right_has_the_revision_and_era_in_which_it_was_acquired():
    right = decode_document("medlarbeam/right/i-1", encode_right("n2", 4))
    assert (right.server, right.node, right.revision, right.era) == ("i-1", "n2", 41, 4)


def test_right_without_an_era_is_of_the_first_one():
    assert decode_document("medlarbeam/right/i-1", b'{"node": "n2"}').era == 0


def test_encoded_registration_decodes_to_same_node():
    node = decode_document(
        "medlarbeam/node/n1",
        dumps({"failure_domain": "z1", "address": "10.0.0.1:1", "incarnation": 5}),
    )
    assert decode_document("medlarbeam/node/n1", encode_node(node)) == node


def test_encoded_streams_decode_to_the_same_report():
    streams = [VersionStreams(SoftwareVersion("llm", "v2"), ["a1", "a2"])]
    report = StreamReport("n1", streams)
    assert decode_document("medlarbeam/streams/n1", encode_stream_report(report)) == report


def test_software_versions_have_keys_of_their_own():
    versions = [
        SoftwareVersion("llm", "v1"),
        SoftwareVersion("llm", "v2"),
        SoftwareVersion("l", "lmv1"),
    ]
    keys = {software_version_key(version) for version in versions}
    assert len(keys) == len(versions)
    for version in versions:
        key = software_version_key(version)
        assert decode_document(key, encode_software_version(version)) == version


def test_unused_key_has_no_value():
    assert decode_entry("other/key", "?", 1) is None


def test_engine_state_includes_loading_adapters():
    state = decode_engine_state(
        {"models": SERVER["models"], "seq": 4, "busy": False, "coming": ["m0/a9@3"]}
    )
    assert state.loading == {AdapterKey("m0", "a9"): 3}
    assert state.orders == 4 and state.models == {"m0"}


def test_configuration_for_other_nodes_has_the_same_organisations_and_no_key():
    organisations = [{"name": "acme", "apiKeys": ["secret-1", "secret-2"]}, {"name": "empty"}]
    organisations[0] |= {"ratePerS": 5, "burst": 2, "priority": 3, "unit": "token_stream"}
    config = decode_config("", {**CONFIG, "tenants": organisations}, 0)
    assert b"secret" not in config.shared_document
    shared = decode_config("", loads(config.shared_document), 0)
    assert shared.organisations == config.organisations
    assert shared.routes == config.routes


QUOTAS = {
    "tokens": (
        {"ratePerS": 29000, "burst": 30000.5, "unit": "token_stream", "plainTokens": 200},
        Quota(29000.0, 30000.5, 200.0),
    ),
    "requests": ({"ratePerS": 2.5}, Quota(2.5, 0.0)),
    "rate-of-zero-is-no-limit": ({"ratePerS": 0, "burst": 9}, None),
    "no-rate-is-no-limit": ({}, None),
    "negative-rate": ({"ratePerS": -1}, "'ratePerS' is not a number from 0"),
    "negative-burst": ({"ratePerS": 1, "burst": -1}, "'burst' is not a number from 0"),
    "rate-of-another-type": ({"ratePerS": "many"}, "'ratePerS' is missing or not of type float"),
    "enormous-rate": ({"ratePerS": 1e300}, Quota(1e300, 0.0)),
    "unknown-unit": ({"ratePerS": 1, "unit": "bytes"}, "the unit of the quota"),
    "unit-of-another-type": ({"ratePerS": 1, "unit": []}, "the unit of the quota"),
}


@pytest.mark.parametrize(("fields", "expected"), QUOTAS.values(), ids=QUOTAS)
def test_quota_of_an_organisation(fields, expected):
    config = decode_config("", {**CONFIG, "tenants": [{"name": "acme", **fields}]}, 0)
    (organisation,) = config.organisations
    if isinstance(expected, str):
        assert organisation.quota is None and expected in organisation.quota_problem
    else:
        assert (organisation.quota, organisation.quota_problem) == (expected, "")


ODD_ORGANISATIONS = [
    ("null", None),
    ("no-list", {"name": "acme"}),
    ("no-name", [{"apiKeys": ["k"]}]),
    ("empty-name", [{"name": " ", "apiKeys": ["k"]}]),
    ("name-with-a-line-feed", [{"name": "a\nb", "apiKeys": ["k"]}]),
    ("key-that-is-a-number", [{"name": "acme", "apiKeys": [5]}]),
    ("keys-that-are-no-list", [{"name": "acme", "apiKeys": "k"}]),
]


@pytest.mark.parametrize(
    "organisations", [o[1] for o in ODD_ORGANISATIONS], ids=[o[0] for o in ODD_ORGANISATIONS]
)
def test_configuration_with_an_odd_organisation_is_rejected(organisations):
    with pytest.raises(FormatError):
        decode_config("", {**CONFIG, "tenants": organisations}, 0)
