"""Values, note files and the VM list: invalid input raises a FormatError with the path."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarbeam.classes.catalog import AuditEntry, CatalogShard, NoteAction
from medlarbeam.classes.cells import VmEntry
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite import values
from medlarbeam.readwrite.release_notes import MAX_NOTE_BYTES, parse_note
from medlarbeam.readwrite.tests.samples import FUZZ, ITEM, RECORD, SERVERS, VALUES
from medlarbeam.readwrite.vm_list import parse_vm_list

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(), children, max_size=3),
    max_leaves=8,
)


def assert_rejected(parse, data, reason=""):
    with pytest.raises(FormatError) as caught:
        parse(data)
    assert reason in str(caught.value)


def parse_note_file(data):
    return parse_note(data, "note-1", "hana")


@pytest.mark.parametrize(
    ("value_format", "record"), VALUES, ids=[f"{v[0].label}-loses-a-field" for v in VALUES]
)
def test_value_round_trip(value_format, record):
    assert value_format.decode(value_format.encode(record)) == record


def make_cell_record(**fields):
    document = json.loads(values.CELL_RECORD.encode(RECORD)) | fields
    return json.dumps({k: v for k, v in document.items() if v is not None}).encode()


MEMBER = {"node": "n", "incarnation": 1, "reachable": True}
INVALID_VALUES = [
    ("not-json", b"{", "cell record is not JSON"),
    ("not-an-object", b"[]", "must be an object, got a list"),
    ("no-format", make_cell_record(format=None), "format is null, expected 1"),
    ("newer-format", make_cell_record(format=2), "format is 2, expected 1"),
    ("format-true", make_cell_record(format=True), "format is true, expected 1"),
    ("missing-field", make_cell_record(epoch=None), "epoch is missing"),
    ("unknown-field", make_cell_record(extra=1), "'extra' is an unknown field"),
    ("text-for-integer", make_cell_record(epoch="3"), "epoch must be an integer, got '3'"),
    ("flag-for-integer", make_cell_record(epoch=True), "epoch must be an integer, got true"),
    ("negative", make_cell_record(epoch=-1), "epoch must be 0 to"),
    ("beyond-64-bits", make_cell_record(epoch=2**64), "epoch must be"),
    ("integer-for-text", make_cell_record(cell=1), "cell must be a string, got 1"),
    ("object-for-list", make_cell_record(members={}), "members must be a list, got an object"),
    (
        "in-a-list",
        make_cell_record(members=[MEMBER, MEMBER | {"node": 5}]),
        "members[1].node must be",
    ),
    (
        "integer-for-flag",
        make_cell_record(members=[MEMBER | {"reachable": 1}]),
        "[0].reachable must be",
    ),
    ("list-for-map", make_cell_record(owners=[]), "owners must be an object"),
    ("in-a-map", make_cell_record(owners={"w1": None}), "owners['w1'] must be a string, got null"),
    (
        "two-errors",
        make_cell_record(cell=1, epoch="a"),
        "cell must be a string, got 1; epoch must be",
    ),
    ("not-utf-8", b'{"format": 1, "cell": "\xff"}', "is not JSON"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in INVALID_VALUES], ids=[b[0] for b in INVALID_VALUES]
)
def test_invalid_value_is_rejected(data, reason):
    assert_rejected(values.CELL_RECORD.decode, data, reason)


OVERSIZED_SHARD = CatalogShard("k", [ITEM] * 20_000)
UNENCODABLE_RECORDS = [
    ("above-1-MB", values.CATALOG_SHARD, OVERSIZED_SHARD, "exceeds the limit"),
    ("nan", values.AUDIT_ENTRY, AuditEntry("e", float("nan"), "", "", "", 0, 0, ""), "finite"),
    ("surrogate", values.CATALOG_SHARD, CatalogShard("\ud800", []), "cannot be encoded"),
    ("wrong-class", values.CATALOG_SHARD, ITEM, "cannot be encoded"),
]


@pytest.mark.parametrize(
    ("value_format", "record", "reason"),
    [n[1:] for n in UNENCODABLE_RECORDS],
    ids=[n[0] for n in UNENCODABLE_RECORDS],
)
def test_invalid_record_is_not_encoded(value_format, record, reason):
    assert_rejected(value_format.encode, record, reason)


def assert_parses_or_rejects(parse, data):
    """Parse bytes; any exception other than FormatError fails the test."""
    try:
        parse(data)
    except FormatError as error:
        assert str(error)


def replace_value(document, path, value):
    """Replace one nested value of a JSON document, chosen by the numbers in `path`."""
    container, key = {"root": document}, "root"
    for choice in path:
        if not isinstance(container[key], dict | list) or not container[key]:
            break
        container = container[key]
        key = (
            sorted(container)[choice % len(container)]
            if isinstance(container, dict)
            else choice % len(container)
        )
    container[key] = value
    return json.dumps(document).encode()


NOTE_FILE = {
    "base_revision": 41,
    "entries": [
        {"action": "add", "adapter": "a", "version": "1", "source": "s", "must_confirm": True},
        {"action": "withdraw", "adapter": "a", "version": "0"},
    ],
}
VM_FILE = {
    "vms": [
        {"name": "n1", "state": "live", "role": "entry"},
        {
            "name": "w1",
            "state": "leaving",
            "role": "backend",
            "failure_domain": "a",
            "cell": "a1",
            "address": "127.0.0.1:8000",
            "service": "",
            "slots": 3,
            "concurrency": 7,
            "fencing": True,
        },
    ]
}
PARSERS = [(v[0].label, v[0].decode, json.loads(v[0].encode(v[1]))) for v in VALUES]
PARSERS += [("note", parse_note_file, NOTE_FILE), ("VM list", parse_vm_list, VM_FILE)]


@pytest.mark.parametrize(
    ("parse", "document"), [p[1:] for p in PARSERS], ids=[f"{p[0]}-crashes" for p in PARSERS]
)
@FUZZ
@given(path=st.lists(st.integers(0, 20), max_size=5), value=JSON, raw=st.binary())
def test_random_document(parse, document, path, value, raw):
    copy = json.loads(json.dumps(document))
    assert_parses_or_rejects(parse, replace_value(copy, path, value))
    assert_parses_or_rejects(parse, raw)


@pytest.mark.parametrize("start", ["", "entries:\n- "], ids=["random-yaml", "random-entry"])
@FUZZ
@given(text=st.text("[]{}&*!:-?,|>'\"#%@` \n\tab1", max_size=60))
def test_random_yaml(start, text):
    assert_parses_or_rejects(parse_note_file, (start + text).encode())


YAML_NOTE = b"""
base_revision: 41
entries:
  - {action: add, adapter: eulogy-mi, version: 1.10, source: lora/1.10, must_confirm: true}
  - {action: change, adapter: eulogy-mi, version: 0x1, source: "lora/1"}
  - {action: withdraw, adapter: eulogy-mi, version: 2026-01-01}
"""
VALID_NOTES = [
    ("yaml-number-becomes-float", YAML_NOTE, ["1.10", "0x1", "2026-01-01"], [True, False, False]),
    ("json", json.dumps(NOTE_FILE).encode(), ["1", "0"], [True, False]),
]


@pytest.mark.parametrize(
    ("data", "versions", "flags"), [g[1:] for g in VALID_NOTES], ids=[g[0] for g in VALID_NOTES]
)
def test_valid_note(data, versions, flags):
    note = parse_note_file(data)
    assert (note.note_id, note.operator, note.base_revision) == ("note-1", "hana", 41)
    assert [entry.item.version for entry in note.entries] == versions
    assert [entry.item.must_confirm for entry in note.entries] == flags
    assert (note.entries[0].action, note.entries[-1].action) == (
        NoteAction.ADD,
        NoteAction.WITHDRAW,
    )


def make_note(**fields):
    raw = {"action": "add", "adapter": "a", "version": "1", "source": "s"} | fields
    raw = {key: value for key, value in raw.items() if value is not None}
    return json.dumps({"entries": [NOTE_FILE["entries"][1], raw]}).encode()


NOTE_WITH_ERRORS = b"foo: 1\nentries: [5, {action: ad, adapter: a b, version: '1', source: s}]"
INVALID_NOTES = [
    ("empty", b"", "must be a mapping with 'entries', got null"),
    ("not-utf-8", b"entries: \xff", "not UTF-8"),
    ("not-yaml", b"entries: [", "not YAML"),
    ("not-json", b'{"entries": [}', "not JSON"),
    ("no-entries", b"entries: []", "at least one entry"),
    ("nested-lists", b"[" * 90_000, "not YAML"),
    ("nested-objects", b'{"a":' * 90_000, "nested too deeply"),
    ("duplicate-yaml-key", b"entries: []\nentries: []", "duplicate key 'entries'"),
    ("duplicate-json-key", b'{"entries": [], "entries": []}', "duplicate key 'entries'"),
    ("alias-loop", b"entries: &a [*a]", "recursive"),
    ("too-long", b"#" * (MAX_NOTE_BYTES + 1), "exceeds the limit"),
    (
        "invalid-base-revision",
        b"base_revision: x\nentries: []",
        "base_revision must be a non-negative integer",
    ),
    (
        "unknown-action",
        make_note(action="ad"),
        "entry 2: action 'ad' is not one of add, change, wit",
    ),
    ("missing-action", make_note(action=None), "entry 2: action is missing"),
    ("space-in-adapter", make_note(adapter="a b"), "entry 2: adapter 'a b' does not match"),
    ("adapter-with-at", make_note(adapter="a@b"), "entry 2: adapter 'a@b' does not match"),
    ("newline-at-end", make_note(adapter="a\n"), "entry 2: adapter 'a\\n' does not match"),
    ("long-version", make_note(version="1" * 129), "(129 characters) does not match"),
    ("number-as-version", make_note(version=1.1), "entry 2: version must be a string, got 1.1"),
    ("missing-source", make_note(source=None), "entry 2: source is missing"),
    ("tab-in-source", make_note(source="a\tb"), "entry 2: source 'a\\tb' does not match"),
    (
        "string-for-boolean",
        make_note(must_confirm="yes"),
        "entry 2: must_confirm must be true or false",
    ),
    ("unknown-field", make_note(colour=1), "entry 2: 'colour' is an unknown field"),
    ("withdraw-with-source", make_note(action="withdraw"), "entry 2: source is not allowed"),
    ("duplicate-version", make_note(version="0"), "entry 2: a@0 is already in entry 1"),
    ("error-1-of-4", NOTE_WITH_ERRORS, "'foo' is an unknown field\n"),
    ("error-2-of-4", NOTE_WITH_ERRORS, "\nentry 1 must be a mapping, got '5'\n"),
    ("error-3-of-4", NOTE_WITH_ERRORS, "\nentry 2: action 'ad'"),
    ("error-4-of-4", NOTE_WITH_ERRORS, "\nentry 2: adapter 'a b'"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in INVALID_NOTES], ids=[b[0] for b in INVALID_NOTES]
)
def test_invalid_note_is_rejected(data, reason):
    assert_rejected(parse_note_file, data, reason)


def make_vm_list(**fields):
    raw = VM_FILE["vms"][1] | fields
    raw = {key: value for key, value in raw.items() if value is not None}
    return json.dumps({"vms": [VM_FILE["vms"][0], raw]}).encode()


VALID_VM_LISTS = [
    ("fields-swapped", make_vm_list(), True),
    ("platform-adds-a-field", make_vm_list(zone="x"), True),
    ("live-is-leaving", make_vm_list(state="live"), False),
]


@pytest.mark.parametrize(
    ("data", "leaving"), [g[1:] for g in VALID_VM_LISTS], ids=[g[0] for g in VALID_VM_LISTS]
)
def test_valid_vm_list(data, leaving):
    assert parse_vm_list(data) == [VmEntry("n1", False), VmEntry("w1", leaving, SERVERS[0])]


INVALID_VM_LISTS = [
    ("not-json", b"", "is not JSON"),
    ("no-list", b'{"vms": {}}', "a list 'vms'"),
    ("not-an-object", b'{"vms": [1]}', "vms[0] must be an object, got 1"),
    (
        "unknown-state",
        make_vm_list(state="gone"),
        "vms[1].state 'gone' is not one of live, leaving",
    ),
    ("missing-role", make_vm_list(role=None), "vms[1].role is missing"),
    ("missing-cell", make_vm_list(cell=None), "vms[1].cell is missing"),
    ("no-port", make_vm_list(address="127.0.0.1"), "vms[1].address '127.0.0.1' is not ip:port"),
    ("host-name", make_vm_list(address="w1:80"), "is not ip:port"),
    ("port-0", make_vm_list(address="127.0.0.1:0"), "is not ip:port"),
    ("bare-ipv6", make_vm_list(address="::1:80"), "is not ip:port"),
    ("no-concurrency", make_vm_list(concurrency=0), "vms[1].concurrency must be 1 to"),
    ("duplicate-name", make_vm_list(name="n1"), "vms[1].name 'n1' is a duplicate"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in INVALID_VM_LISTS], ids=[b[0] for b in INVALID_VM_LISTS]
)
def test_invalid_vm_list_is_rejected(data, reason):
    assert_rejected(parse_vm_list, data, reason)
