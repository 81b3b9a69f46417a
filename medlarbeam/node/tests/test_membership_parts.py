"""Tests of parts of the membership: VM list, platform writes, record exchange and leaving."""

from random import Random

import pytest

from medlarbeam.classes.cells import BackendServer, CellRecord, Member, VmEntry
from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.key_value import KvCall, KvEntry, KvGet, KvOutcome, KvPut, KvResult
from medlarbeam.classes.messages import PeerUp, VmList
from medlarbeam.classes.peer_messages import CellRecordUpdate, FetchCellRecord, Leaving, Pong
from medlarbeam.node.cell_store import CellStore
from medlarbeam.node.component import Outbox
from medlarbeam.node.membership import Membership
from medlarbeam.node.tests.rule_cases import NodeDriver
from medlarbeam.node.vm_tracker import VmTracker
from medlarbeam.readwrite.values import CELL_RECORD

SERVER = BackendServer("s", "", "c", "c")

READS = [
    ("absent-once", ["n s x", "n s"], False),
    ("absent-twice", ["n s x", "n s", "n s"], True),
    ("absent-in-reads-that-are-not-successive", ["n s x", "n", "n s x", "n"], False),
    ("empty-reads-change-nothing", ["n s x", "", "", ""], False),
    ("reads-without-this-node-are-truncated", ["n s x", "s", "s", "s"], False),
    ("new-vm-that-the-list-does-not-show-yet", ["n s"] * 14, False),
    ("vm-that-was-gone-before-the-first-read", ["n s"] * 15, True),
    ("vm-that-returned", ["n s x", "n s", "n s", "n s x"], False),
]


@pytest.mark.parametrize(("reads", "gone"), [r[1:] for r in READS], ids=[r[0] for r in READS])
def test_vm_is_gone(reads, gone):
    tracker = VmTracker("n")
    for time, names in enumerate(reads):
        tracker.track({"x"})
        vms = [VmEntry(n, False, SERVER if n == "s" else None) for n in names.split()]
        assert tracker.update(VmList(float(time), vms)) is bool(names)
    assert tracker.is_gone("x") is gone


def make_record(epoch, members="n", change_id=""):
    listed = [Member(name, 1) for name in members.split()]
    return CellRecord("c", epoch, listed, [SERVER], {"s": "n"}, 0, change_id)


WRITES = [
    ("lost-response-of-applied-write", KvOutcome.UNKNOWN, True, True),
    ("lost-response-of-write-without-effect", KvOutcome.UNKNOWN, False, False),
    ("platform-down", KvOutcome.UNAVAILABLE, False, False),
    ("conflict-without-entry", KvOutcome.CONFLICT, False, False),
]


@pytest.mark.parametrize(
    ("outcome", "applied", "expected"), [w[1:] for w in WRITES], ids=[w[0] for w in WRITES]
)
def test_write_with_unknown_outcome_is_read_back(outcome, applied, expected):
    store, out = CellStore("ownership", "c", Random(1)), Outbox()
    old, new = make_record(1, change_id="other.1"), make_record(2, change_id="n.1.1")
    store.read(0.0, out)
    store.apply_result(entry_result(out.effects[-1], old, 7), 0.1, out)
    store.write(new, 0.2, out)
    assert out.effects[-1].op.expected_revision == 7
    assert store.apply_result(KvResult(out.effects[-1], outcome, []), 0.3, out) is None
    assert not store.is_ready(0.3) and not store.knows_revision(1)
    assert store.is_ready(1.0)
    store.read(1.0, out)
    found = new if applied else old
    stored = store.apply_result(entry_result(out.effects[-1], found, 8 if applied else 7), 1.1, out)
    assert stored.record == found and store.made_change(stored.record) is expected
    assert store.knows_revision(found.epoch)


def entry_result(call, record, revision):
    entry = KvEntry("cell/c", CELL_RECORD.encode(record), revision)
    return KvResult(call, KvOutcome.APPLIED, [entry])


@pytest.mark.parametrize("data", [b"", b"[]", b"{}", b'{"cell": "c"}'], ids=repr)
def test_unreadable_record_is_reported(data):
    store, out = CellStore("ownership", "c", Random(1)), Outbox()
    store.read(0.0, out)
    result = KvResult(out.effects[-1], KvOutcome.APPLIED, [KvEntry("cell/c", data, 1)])
    assert store.apply_result(result, 0.1, out) is None
    assert out.effects[-1].name == "cell_record_unreadable" and not store.is_ready(0.1)


def bodies(effects, kind):
    return [e.body for e in effects if isinstance(e, SendPeer) and isinstance(e.body, kind)]


def pong_of(cell, epoch):
    return lambda d: d.peer(1.1, "x", Pong(d.seqs["x", 1.0], 1, cell, epoch, 1, 0.0, [], []))


KNOWN = CellRecord("d", 5, [Member("x", 1)], [BackendServer("t", "", "d", "d")], {"t": "x"})
RECORD_UPDATES = [
    ("unknown-cell-is-requested", pong_of("e", 3), FetchCellRecord, ["e"]),
    ("newer-record-is-requested", pong_of("d", 6), FetchCellRecord, ["d"]),
    ("newer-record-is-sent-to-peer-with-older", pong_of("d", 4), CellRecordUpdate, [KNOWN]),
    ("same-record-is-not-sent", pong_of("d", 5), (CellRecordUpdate, FetchCellRecord), []),
    (
        "new-peer-gets-all-records",
        lambda d: d.node.handle(PeerUp("y", 1), 1.1),
        CellRecordUpdate,
        [KNOWN],
    ),
    (
        "record-is-sent-on-request",
        lambda d: d.peer(1.1, "y", FetchCellRecord("d")),
        CellRecordUpdate,
        [KNOWN],
    ),
    (
        "lower-epoch-is-not-forwarded",
        lambda d: d.peer(1.1, "y", CellRecordUpdate(make_other(4))),
        CellRecordUpdate,
        [],
    ),
    (
        "higher-epoch-is-forwarded",
        lambda d: d.peer(1.1, "y", CellRecordUpdate(make_other(6))),
        CellRecordUpdate,
        ["forwarded"],
    ),
]


def make_other(epoch):
    return CellRecord("d", epoch, KNOWN.members, KNOWN.servers, KNOWN.owners)


@pytest.mark.parametrize(
    ("act", "kind", "expected"), [s[1:] for s in RECORD_UPDATES], ids=[s[0] for s in RECORD_UPDATES]
)
def test_record_exchange(act, kind, expected):
    driver = NodeDriver(Membership, ["x"])
    driver.node.handle(PeerUp("x", 1), 0.0)
    driver.peer(0.1, "x", CellRecordUpdate(KNOWN))
    driver.tick(1.0)
    found = [getattr(b, "cell", None) or b.record for b in bodies(act(driver), kind)]
    assert found == [make_other(6) if e == "forwarded" else e for e in expected]


VIEWS = [
    ("forwards-to-owner", True, "x"),
    ("no-target-without-link-to-owner", False, ""),
]


@pytest.mark.parametrize(("linked", "target"), [v[1:] for v in VIEWS], ids=[v[0] for v in VIEWS])
def test_new_node_while_platform_is_down(linked, target):
    """Guards against a new node that routes nothing, or starts runs, without the platform."""
    driver = NodeDriver(Membership, ["x"])
    driver.record(0.0, 3, "x y", "x")
    if linked:
        driver.link(0.1, "x", 1)
    driver.tick(0.2)
    view = driver.node.ownership.list_server_views(0.2)
    assert [(v.server.name, v.target, v.live) for v in view] == [("s", target, True)]
    assert driver.node.ownership.may_run("s", 60.0) is not None
    assert driver.node.ownership.list_managed_servers(60.0) == []


class Platform:
    """A platform that responds to the calls of one node immediately."""

    __slots__ = ("entry", "out")

    def __init__(self):
        self.entry = None

    def respond(self, node, effects, now):
        for effect in effects:
            if not isinstance(effect, KvCall):
                continue
            if isinstance(effect.op, KvPut):
                revision = self.entry.revision if self.entry else 0
                assert effect.op.expected_revision == revision
                self.entry = KvEntry(effect.op.key, effect.op.value, revision + 1)
            entries = [self.entry] if self.entry else []
            assert isinstance(effect.op, (KvGet, KvPut))
            result = KvResult(effect, KvOutcome.APPLIED, entries)
            self.respond(node, node.handle(result, now), now)


LEAVES = [
    ("waits-for-its-runs", ["r"], [], "n"),
    ("waits-for-its-orders", [], [("s", "m")], "n"),
    ("leaves-at-once-when-idle", [], [], ""),
]


@pytest.mark.parametrize(
    ("runs", "orders", "members"), [x[1:] for x in LEAVES], ids=[x[0] for x in LEAVES]
)
def test_graceful_leave(runs, orders, members):
    driver, platform, out = NodeDriver(Membership, ["x"]), Platform(), Outbox()
    node = driver.node
    vms = VmList(0.0, [VmEntry("n", False), VmEntry("s", False, SERVER)])
    platform.respond(node, node.handle(vms, 0.0), 0.0)
    driver.link(0.5, "x", 1)
    assert node.ownership.is_owner("s")
    node.runs.runs = {run: ("s", "m") for run in runs}
    node.runs.orders = set(orders)
    node.ownership.start_leaving(1.0, out)
    assert bodies(out.effects, Leaving) == [Leaving("n")]
    platform.respond(node, out.effects, 1.0)
    record = CELL_RECORD.decode(platform.entry.value)
    assert " ".join(m.node for m in record.members) == members
    assert node.ownership.has_left() is (members == "")
    assert node.ownership.may_evict("s", "m", 1.0).reason
    node.runs.runs, node.runs.orders = {}, set()
    platform.respond(node, node.tick(2.0), 2.0)
    assert node.ownership.has_left()


DRAINS = [
    ("leaving-server-is-drained", [True], False, {"s"}),
    ("server-that-no-longer-leaves-is-resumed", [True, False], True, set()),
]


@pytest.mark.parametrize(
    ("leaving", "live", "drained"), [d[1:] for d in DRAINS], ids=[d[0] for d in DRAINS]
)
def test_leaving_backend_server(leaving, live, drained):
    driver = NodeDriver(Membership, [])
    driver.record(0.0, 1, "n", "n")
    for time, flag in enumerate(leaving):
        vms = [VmEntry("n", False), VmEntry("s", flag, SERVER)]
        driver.node.handle(VmList(float(time), vms), float(time))
    assert driver.node.runs.drained == drained
    assert [v.live for v in driver.node.ownership.list_server_views(5.0)] == [live]
