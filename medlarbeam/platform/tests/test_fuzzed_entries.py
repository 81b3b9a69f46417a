"""Documents of the store with random values in random places.

Guards against entries that raise anything but FormatError, and against entries that are accepted
and then raise in the decisions of the gateway.
"""

from base64 import b64encode
from copy import deepcopy

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from orjson import dumps

from medlarbeam.classes.gateway_messages import EntryUpdated
from medlarbeam.exceptions import FormatError
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, own_rights
from medlarbeam.platform.documents import decode_engine_state, decode_entry
from medlarbeam.platform.tests.test_documents import CONFIG, SERVER
from medlarbeam.readwrite.peer_frames import decode_datagram, encode_datagram

EXAMPLES = 150  # a second each
ENTRIES = [
    ("server", "servers/i-1", {**SERVER, "service": "llm"}),
    ("configuration", "op/config", {**CONFIG, "services": [{"name": "llm", "engine": None}]}),
    ("version", "op/version/m0.a1", {"model": "m0", "adapter": "a1", "version": 3}),
    (
        "registration",
        "medlarbeam/node/n2",
        {"failure_domain": "z1", "address": "10.0.0.2:7000", "incarnation": 5},
    ),
    ("right", "medlarbeam/right/w1", {"node": "n1", "era": 0}),
    ("era", "medlarbeam/era", {"era": 1}),
    ("quarantine", "medlarbeam/quarantine/part:5e5e", {"node": "n2"}),
    ("software", "medlarbeam/software/x", {"service": "llm", "software": "v2"}),
    (
        "streams",
        "medlarbeam/streams/n2",
        {"streams": [{"service": "llm", "software": "v2", "attempts": ["a1"]}]},
    ),
]
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 63), (1 << 64) - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.sampled_from(["", "10.0.0.1:80", "draining", "a1@2", "v1", "9" * 5000, "\r\n"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


def list_places(value, path=()):
    """Return the paths of all values in a document."""
    children = []
    if isinstance(value, dict):
        children = list(value.items())
    elif isinstance(value, list):
        children = list(enumerate(value))
    return [path, *(place for key, child in children for place in list_places(child, (*path, key)))]


def replace(document, path, value):
    """Return a copy of a document with `value` at `path`."""
    if not path:
        return value
    document = deepcopy(document)
    target = document
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return document


def send_requests(harness):
    for number, route in enumerate(("chat", "read", "pay", "draft")):
        key = HOT if route in ("chat", "draft") else None
        harness.send_request(route, key, request_id=f"r{number}", last_event=number, resumes="a1")
    return harness.pass_time(6.0)


def encode_reports(effects):
    """Encode the datagrams among `effects`, as the endpoint does."""
    for body in [effect.body for effect in effects if hasattr(effect, "body")]:
        decode_datagram(encode_datagram(body))


@pytest.mark.parametrize(("key", "document"), [e[1:] for e in ENTRIES], ids=[e[0] for e in ENTRIES])
@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(data=st.data())
def test_entry_is_decoded_or_rejected_and_then_harmless(key, document, data):
    path = data.draw(st.sampled_from(list_places(document)))
    text = b64encode(dumps(replace(document, path, data.draw(VALUES)))).decode()
    try:
        value = decode_entry(key, text, 41)
    except FormatError:
        return
    if value is None:
        return
    harness = make_harness(rights=own_rights())
    effects = harness.deliver(EntryUpdated(key, value, 41))
    encode_reports([*effects, *send_requests(harness)])


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(data=st.data())
def test_state_of_an_engine_is_decoded_or_rejected(data):
    state = {"models": SERVER["models"], "seq": 4, "busy": False, "coming": ["m0/a9@3"]}
    path = data.draw(st.sampled_from(list_places(state)))
    try:
        decode_engine_state(replace(state, path, data.draw(VALUES)))
    except FormatError:
        return
