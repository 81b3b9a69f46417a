"""Values, note files and the VM list: bad input is a FormatError that names the place."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from medlarbeam.classes.catalog import AuditEntry, CatalogShard, NoteAction
from medlarbeam.classes.cells import VmEntry
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite import values
from medlarbeam.readwrite.notes import MAX_NOTE_BYTES, parse_note
from medlarbeam.readwrite.tests.samples import FUZZ, ITEM, RECORD, SERVERS, VALUES
from medlarbeam.readwrite.vm_list import parse_vm_list

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=8,
)


def expect(parse, data, reason=""):
    with pytest.raises(FormatError) as caught:
        parse(data)
    assert reason in str(caught.value)


def parse_file(data):
    return parse_note(data, "note-1", "hana")


@pytest.mark.parametrize(("form", "record"), VALUES, ids=[f"{v[0].label}-loses" for v in VALUES])
def test_value_survives(form, record):
    assert form.decode(form.encode(record)) == record


def change(**fields):
    document = json.loads(values.CELL_RECORD.encode(RECORD)) | fields
    return json.dumps({k: v for k, v in document.items() if v is not None}).encode()


MEMBER = {"node": "n", "incarnation": 1, "reachable": True}
BAD_VALUES = [
    ("not-json", b"{", "cell record is not JSON"),
    ("not-an-object", b"[]", "must be an object and is a list"),
    ("no-format", change(format=None), "format null is not 1"),
    ("newer-format", change(format=2), "format 2 is not 1"),
    ("format-true", change(format=True), "format true is not 1"),
    ("missing-field", change(epoch=None), "epoch is missing"),
    ("unknown-field", change(extra=1), "'extra' is not a known field"),
    ("text-for-integer", change(epoch="3"), "epoch must be an integer and is '3'"),
    ("flag-for-integer", change(epoch=True), "epoch must be an integer and is true"),
    ("negative", change(epoch=-1), "epoch must be 0 to"),
    ("beyond-64-bits", change(epoch=2**64), "epoch must be"),
    ("integer-for-text", change(cell=1), "cell must be a text and is 1"),
    ("object-for-list", change(members={}), "members must be a list and is an object"),
    ("in-a-list", change(members=[MEMBER, MEMBER | {"node": 5}]), "members[1].node must be"),
    ("integer-for-flag", change(members=[MEMBER | {"reachable": 1}]), "[0].reachable must be"),
    ("list-for-map", change(owners=[]), "owners must be an object"),
    ("in-a-map", change(owners={"w1": None}), "owners['w1'] must be a text and is null"),
    ("two-faults", change(cell=1, epoch="a"), "cell must be a text and is 1; epoch must be"),
    ("not-utf-8", b'{"format": 1, "cell": "\xff"}', "is not JSON"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in BAD_VALUES], ids=[b[0] for b in BAD_VALUES]
)
def test_bad_value_is_refused(data, reason):
    expect(values.CELL_RECORD.decode, data, reason)


TOO_LONG = CatalogShard("k", [ITEM] * 20_000)
NOT_ENCODED = [
    ("above-1-MB", values.CATALOG_SHARD, TOO_LONG, "is above the limit"),
    ("nan", values.AUDIT_ENTRY, AuditEntry("e", float("nan"), "", "", "", 0, 0, ""), "finite"),
    ("surrogate", values.CATALOG_SHARD, CatalogShard("\ud800", []), "cannot be encoded"),
    ("wrong-class", values.CATALOG_SHARD, ITEM, "cannot be encoded"),
]


@pytest.mark.parametrize(
    ("form", "record", "reason"), [n[1:] for n in NOT_ENCODED], ids=[n[0] for n in NOT_ENCODED]
)
def test_bad_record_is_not_encoded(form, record, reason):
    expect(form.encode, record, reason)


def read_all(parse, data):
    """Parse bytes; any exception but FormatError fails the test."""
    try:
        parse(data)
    except FormatError as error:
        assert str(error)


def put(document, path, value):
    """Replace one value deep in a JSON document, chosen by the numbers in `path`."""
    inner, key = {"root": document}, "root"
    for step in path:
        if not isinstance(inner[key], dict | list) or not inner[key]:
            break
        inner = inner[key]
        key = sorted(inner)[step % len(inner)] if isinstance(inner, dict) else step % len(inner)
    inner[key] = value
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
PARSERS += [("note", parse_file, NOTE_FILE), ("VM list", parse_vm_list, VM_FILE)]


@pytest.mark.parametrize(
    ("parse", "document"), [p[1:] for p in PARSERS], ids=[f"{p[0]}-crashes" for p in PARSERS]
)
@FUZZ
@given(path=st.lists(st.integers(0, 20), max_size=5), value=JSON, raw=st.binary())
def test_any_document(parse, document, path, value, raw):
    copy = json.loads(json.dumps(document))
    read_all(parse, put(copy, path, value))
    read_all(parse, raw)


@pytest.mark.parametrize("start", ["", "entries:\n- "], ids=["any-yaml", "any-entry"])
@FUZZ
@given(text=st.text("[]{}&*!:-?,|>'\"#%@` \n\tab1", max_size=60))
def test_any_yaml(start, text):
    read_all(parse_file, (start + text).encode())


YAML_NOTE = b"""
base_revision: 41
entries:
  - {action: add, adapter: eulogy-mi, version: 1.10, source: lora/1.10, must_confirm: true}
  - {action: change, adapter: eulogy-mi, version: 0x1, source: "lora/1"}
  - {action: withdraw, adapter: eulogy-mi, version: 2026-01-01}
"""
GOOD_NOTES = [
    ("yaml-number-becomes-float", YAML_NOTE, ["1.10", "0x1", "2026-01-01"], [True, False, False]),
    ("json", json.dumps(NOTE_FILE).encode(), ["1", "0"], [True, False]),
]


@pytest.mark.parametrize(
    ("data", "versions", "flags"), [g[1:] for g in GOOD_NOTES], ids=[g[0] for g in GOOD_NOTES]
)
def test_good_note(data, versions, flags):
    note = parse_file(data)
    assert (note.note_id, note.operator, note.base_revision) == ("note-1", "hana", 41)
    assert [entry.item.version for entry in note.entries] == versions
    assert [entry.item.must_confirm for entry in note.entries] == flags
    assert (note.entries[0].action, note.entries[-1].action) == (
        NoteAction.ADD,
        NoteAction.WITHDRAW,
    )


def entry(**fields):
    raw = {"action": "add", "adapter": "a", "version": "1", "source": "s"} | fields
    raw = {key: value for key, value in raw.items() if value is not None}
    return json.dumps({"entries": [NOTE_FILE["entries"][1], raw]}).encode()


SEVERAL = b"foo: 1\nentries: [5, {action: ad, adapter: a b, version: '1', source: s}]"
BAD_NOTES = [
    ("empty", b"", "must be a mapping with 'entries' and is null"),
    ("not-utf-8", b"entries: \xff", "not UTF-8"),
    ("not-yaml", b"entries: [", "not YAML"),
    ("not-json", b'{"entries": [}', "not JSON"),
    ("no-entries", b"entries: []", "at least one entry"),
    ("nested-lists", b"[" * 90_000, "not YAML"),
    ("nested-objects", b'{"a":' * 90_000, "nested too deeply"),
    ("yaml-key-twice", b"entries: []\nentries: []", "'entries' is given twice"),
    ("json-key-twice", b'{"entries": [], "entries": []}', "'entries' is given twice"),
    ("alias-loop", b"entries: &a [*a]", "recursive"),
    ("too-long", b"#" * (MAX_NOTE_BYTES + 1), "above the limit"),
    ("base-revision", b"base_revision: x\nentries: []", "base_revision must be an integer"),
    ("unknown-action", entry(action="ad"), "entry 2: action 'ad' is none of add, change, wit"),
    ("missing-action", entry(action=None), "entry 2: action is missing"),
    ("bad-adapter", entry(adapter="a b"), "entry 2: adapter 'a b' does not match"),
    ("adapter-with-at", entry(adapter="a@b"), "entry 2: adapter 'a@b' does not match"),
    ("newline-at-end", entry(adapter="a\n"), "entry 2: adapter 'a\\n' does not match"),
    ("long-version", entry(version="1" * 129), "(129 characters) does not match"),
    ("number-as-version", entry(version=1.1), "entry 2: version must be a text and is 1.1"),
    ("missing-source", entry(source=None), "entry 2: source is missing"),
    ("bad-source", entry(source="a\tb"), "entry 2: source 'a\\tb' does not match"),
    ("bad-flag", entry(must_confirm="yes"), "entry 2: must_confirm must be true or false"),
    ("unknown-field", entry(colour=1), "entry 2: 'colour' is not a known field"),
    ("withdraw-source", entry(action="withdraw"), "entry 2: source has no meaning"),
    ("same-twice", entry(version="0"), "entry 2: a@0 is in entry 1 already"),
    ("fault-1-of-4", SEVERAL, "'foo' is not a known field\n"),
    ("fault-2-of-4", SEVERAL, "\nentry 1 must be a mapping and is '5'\n"),
    ("fault-3-of-4", SEVERAL, "\nentry 2: action 'ad'"),
    ("fault-4-of-4", SEVERAL, "\nentry 2: adapter 'a b'"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in BAD_NOTES], ids=[b[0] for b in BAD_NOTES]
)
def test_bad_note_is_refused(data, reason):
    expect(parse_file, data, reason)


def vm(**fields):
    raw = VM_FILE["vms"][1] | fields
    raw = {key: value for key, value in raw.items() if value is not None}
    return json.dumps({"vms": [VM_FILE["vms"][0], raw]}).encode()


GOOD_VMS = [
    ("fields-swapped", vm(), True),
    ("platform-adds-a-field", vm(zone="x"), True),
    ("live-is-leaving", vm(state="live"), False),
]


@pytest.mark.parametrize(
    ("data", "leaving"), [g[1:] for g in GOOD_VMS], ids=[g[0] for g in GOOD_VMS]
)
def test_good_vm_list(data, leaving):
    assert parse_vm_list(data) == [VmEntry("n1", False), VmEntry("w1", leaving, SERVERS[0])]


BAD_VMS = [
    ("not-json", b"", "is not JSON"),
    ("no-list", b'{"vms": {}}', "a list 'vms'"),
    ("not-an-object", b'{"vms": [1]}', "vms[0] must be an object and is 1"),
    ("unknown-state", vm(state="gone"), "vms[1].state 'gone' is none of live, leaving"),
    ("unknown-role", vm(role=None), "vms[1].role is missing"),
    ("missing-cell", vm(cell=None), "vms[1].cell is missing"),
    ("no-port", vm(address="127.0.0.1"), "vms[1].address '127.0.0.1' is not ip:port"),
    ("host-name", vm(address="w1:80"), "is not ip:port"),
    ("port-0", vm(address="127.0.0.1:0"), "is not ip:port"),
    ("bare-ipv6", vm(address="::1:80"), "is not ip:port"),
    ("no-concurrency", vm(concurrency=0), "vms[1].concurrency must be 1 to"),
    ("same-name-twice", vm(name="n1"), "vms[1].name 'n1' is in the list already"),
]


@pytest.mark.parametrize(("data", "reason"), [b[1:] for b in BAD_VMS], ids=[b[0] for b in BAD_VMS])
def test_bad_vm_list_is_refused(data, reason):
    expect(parse_vm_list, data, reason)
