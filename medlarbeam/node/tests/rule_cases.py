"""Cases of the rules for running and evicting: a script for node `n`, and what it may then do.

A script is a list of `(method of NodeDriver, time, arguments)`.
"""

from random import Random

from medlarbeam.classes.cells import BackendServer, CellRecord, Member
from medlarbeam.classes.key_value import KvCall, KvEntry, KvGet, KvOutcome, KvResult
from medlarbeam.classes.messages import EngineReport, PeerMessage, PeerUp
from medlarbeam.classes.peer_messages import CellRecordUpdate, ModelCount, Ping, Pong
from medlarbeam.node.component import Outbox
from medlarbeam.node.node import Node
from medlarbeam.node.parts import NodeParts
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.fake_parts import FakeCatalog, FakeRuns
from medlarbeam.readwrite.values import CELL_RECORD


class NodeDriver:
    """Test driver of node `n` of cell `c`, with the backend server `s` and the model `m`."""

    __slots__ = ("node", "record_now", "seqs")

    def __init__(self, membership, peers):
        settings = NodeSettings("n", 1, "c", "c", peers)
        fake = FakeCatalog
        parts = NodeParts(membership, fake, fake, fake, fake, fake, FakeRuns, fake, fake)
        self.node = Node(settings, Random(1), parts)
        self.node.runs.closed = True
        self.seqs = {}

    def peer(self, now, sender, body):
        return self.node.handle(PeerMessage(sender, body), now)

    def tick(self, now):
        for effect in self.node.tick(now):
            if isinstance(getattr(effect, "body", None), Ping):
                self.seqs[effect.node, now] = effect.body.seq

    def record(self, now, epoch, members, owner, removed=0):
        """Send a record; a member is written ``x`` or, for a later incarnation, ``x2``."""
        listed = [Member(m[0], int(m[1:] or 1)) for m in members.split()]
        server = BackendServer("s", "", "c", "c")
        self.record_now = CellRecord("c", epoch, listed, [server], {"s": owner}, removed)
        self.peer(now, "x", CellRecordUpdate(self.record_now))

    def ping(self, now, sender, epoch):
        """Return the epoch of the pledge in the pong."""
        effects = self.peer(now, sender, Ping(1, "c", epoch))
        return next(e.body.epoch for e in effects if isinstance(e.body, Pong))

    def pong(self, now, sender, sent, epoch, foreign="", incarnation=1, cell="c"):
        runs = [ModelCount("s", model, 1) for model in foreign.split()]
        seq = self.seqs.get((sender, sent), 0)
        self.peer(now, sender, Pong(seq, incarnation, cell, epoch, 1, 0.0, runs, []))

    def report(self, now, requested_at, running=""):
        counts = [ModelCount("s", model, 1) for model in running.split()]
        self.node.handle(EngineReport("s", requested_at, "1", (), counts), now)

    def confirm(self, now, sent):
        """Read the platform and find the record unchanged."""
        entry = KvEntry("cell/c", CELL_RECORD.encode(self.record_now), 1)
        call = KvCall("ownership", "read:c:0", KvGet("cell/c"), sent)
        self.node.handle(KvResult(call, KvOutcome.APPLIED, [entry]), now)

    def link(self, now, peer, incarnation):
        self.node.handle(PeerUp(peer, incarnation), now)

    def order(self, now):
        self.node.runs.orders.add(("s", "m"))

    def order_done(self, now):
        self.node.runs.orders.clear()

    def leave(self, now):
        self.node.runs.runs["r"] = ("s", "other")
        self.node.ownership.start_leaving(now, Outbox())

    def may_run(self, now):
        return self.node.ownership.may_run("s", now) is None

    def may_evict(self, now):
        return getattr(self.node.ownership.may_evict("s", "m", now), "expires_at", None)


def observe(membership, case):
    """Run the script of a case and return the result of its last step."""
    driver = NodeDriver(membership, case[0].split())
    result = None
    for method, now, *args in case[1]:
        result = getattr(driver, method)(now, *args)
    return result


def joined(members, owner):
    """Return steps after which `n` has joined and all other members have responded to a ping."""
    steps = [("tick", 0.0), ("record", 0.1, 1, members, owner), ("tick", 1.0)]
    others = [m[0] for m in members.split() if m != "n"]
    return steps + [("pong", 1.01, other, 1.0, 1) for other in others]


OWNER = joined("n x", "n")
READY = [*OWNER, ("tick", 4.0), ("report", 4.1, 4.0)]
PLEDGED = [*READY, ("pong", 4.1, "x", 4.0, 1)]
THREE = [*joined("n x y", "n"), ("tick", 4.0), ("report", 4.1, 4.0), ("pong", 4.1, "x", 4.0, 1)]
REMOVED = [
    *(*PLEDGED, ("tick", 5.0), ("record", 5.0, 2, "n x", "n", 2)),
    *(("pong", 5.1, "x", 5.0, 2), ("tick", 8.0), ("pong", 8.1, "x", 8.0, 2)),
]
LATER_OWNER = [*joined("n x", "x"), ("ping", 4.0, "x", 1), ("tick", 4.0)]
CHANGED = [*LATER_OWNER, ("record", 4.1, 2, "n x", "n")]
RESTARTED = [*LATER_OWNER, ("record", 4.1, 2, "n x2", "n"), ("pong", 4.2, "x", 4.0, 2, "", 2)]
ORDERED = [*PLEDGED, ("order", 4.2), ("record", 4.3, 2, "n x", "x")]
ALONE = [("tick", 0.0), ("record", 0.1, 1, "n", "n"), ("tick", 3.0), ("tick", 4.0)]
COVERED = [*ALONE, ("report", 4.1, 4.0), ("confirm", 4.1, 1.0)]
JOINING = [("tick", 0.0), ("record", 0.1, 1, "n x", "n")]

# name: (peers, script, expected); `may_evict` returns the end (s) of the permission
CASES = {
    "evict-with-all-pledges": ("x", [*PLEDGED, ("may_evict", 4.2)], 6.5),
    "evict-after-pledge-expired": ("x", [*PLEDGED, ("may_evict", 6.6)], None),
    "evict-within-margin": ("x", [*PLEDGED, ("may_evict", 6.5)], None),
    "evict-with-one-pledge-of-two": ("x y", [*THREE, ("may_evict", 4.2)], None),
    "evict-with-pledge-at-earlier-epoch": (
        "x",
        [*PLEDGED, ("record", 4.2, 2, "n x", "n"), ("may_evict", 4.3)],
        None,
    ),
    "evict-with-pledge-of-a-later-process": (
        "x",
        [*READY, ("pong", 4.1, "x", 4.0, 1, "", 2), ("may_evict", 4.2)],
        None,
    ),
    "evict-with-late-pong": (
        "x",
        [*OWNER, ("tick", 2.0), ("tick", 5.0), ("report", 5.1, 5.0)]
        + [("pong", 5.1, "x", 2.0, 1), ("may_evict", 5.2)],
        None,
    ),
    "evict-with-pong-of-unknown-ping": (
        "x",
        [*READY, ("pong", 4.1, "x", 9.0, 1), ("may_evict", 4.2)],
        None,
    ),
    "evict-after-reordered-pongs": (
        "x",
        [*OWNER, ("tick", 3.0), ("tick", 4.0), ("report", 4.1, 4.0)]
        + [("pong", 4.1, "x", 4.0, 1, "m"), ("pong", 4.1, "x", 3.0, 1), ("may_evict", 4.2)],
        None,
    ),
    "evict-with-foreign-run": (
        "x",
        [*READY, ("pong", 4.1, "x", 4.0, 1, "m"), ("may_evict", 4.2)],
        None,
    ),
    "evict-with-foreign-run-of-other-model": (
        "x",
        [*READY, ("pong", 4.1, "x", 4.0, 1, "k"), ("may_evict", 4.2)],
        6.5,
    ),
    "evict-after-removal-without-report": ("x", [*REMOVED, ("may_evict", 8.2)], None),
    "evict-after-removal-with-lagging-report": (
        "x",
        [*REMOVED, ("report", 8.1, 7.4), ("may_evict", 8.2)],
        None,
    ),
    "evict-after-removal-with-runs-reported": (
        "x",
        [*REMOVED, ("report", 8.1, 8.0, "m"), ("may_evict", 8.2)],
        None,
    ),
    "evict-after-removal-with-idle-report": (
        "x",
        [*REMOVED, ("report", 8.1, 8.0), ("may_evict", 8.2)],
        10.5,
    ),
    "evict-while-leaving": ("x", [*PLEDGED, ("leave", 4.1), ("may_evict", 4.2)], None),
    "evict-as-non-owner": ("x", [*LATER_OWNER, ("may_evict", 4.2)], None),
    "evict-alone": ("", [*ALONE, ("report", 4.1, 4.0), ("may_evict", 4.2)], 6.7),
    "evict-without-contact-to-non-members": ("z", [*COVERED, ("may_evict", 4.2)], None),
    "evict-with-record-confirmed": (
        "z",
        [*COVERED, ("confirm", 4.1, 4.0), ("may_evict", 4.2)],
        6.5,
    ),
    "evict-with-continuous-contact-to-non-members": (
        "z",
        [*COVERED, ("pong", 4.1, "z", 3.0, 1, "", 1, "d"), ("may_evict", 4.2)],
        5.5,
    ),
    "evict-after-gap-in-contact-to-non-members": (
        "z",
        [*COVERED, ("pong", 4.1, "z", 4.0, 1, "", 1, "d"), ("may_evict", 4.2)],
        None,
    ),
    "evict-after-non-member-shows-later-epoch": (
        "z",
        [*COVERED, ("pong", 4.1, "z", 3.0, 2), ("may_evict", 4.2)],
        None,
    ),
    "run-as-owner": ("x", [*OWNER, ("may_run", 1.1)], True),
    "run-without-record": ("x", [("tick", 0.0), ("may_run", 1.0)], False),
    "run-as-non-member": ("x", [("record", 0.1, 1, "x", "x"), ("may_run", 9.0)], False),
    "run-as-earlier-process": ("x", [("record", 0.1, 1, "n2 x", "n"), ("may_run", 9.0)], False),
    "run-within-margin-after-join": (
        "x",
        [("tick", 0.0), ("record", 0.1, 1, "n x", "n"), ("pong", 0.2, "x", 0.0, 1)]
        + [("may_run", 0.5)],
        False,
    ),
    "run-before-members-know-of-join": ("x", [*JOINING, ("may_run", 9.0)], False),
    "run-while-member-has-older-epoch": (
        "x",
        [*JOINING, ("tick", 1.0), ("pong", 1.1, "x", 1.0, 0), ("may_run", 9.0)],
        False,
    ),
    "run-bound-by-pledge-to-non-member": (
        "x",
        [("link", 0.0, "x", 1), *JOINING, ("ping", 1.0, "x", 0), ("may_run", 4.0)],
        False,
    ),
    "run-after-pledge-to-non-member-expired": (
        "x",
        [("link", 0.0, "x", 1), *JOINING, ("ping", 1.0, "x", 0), ("may_run", 4.1)],
        True,
    ),
    "run-before-pledge-to-earlier-owner-expired": ("x", [*CHANGED, ("may_run", 7.0)], False),
    "run-after-pledge-to-earlier-owner-expired": ("x", [*CHANGED, ("may_run", 7.1)], True),
    "run-after-earlier-owner-pledged": (
        "x",
        [*CHANGED, ("pong", 4.2, "x", 4.0, 2), ("may_run", 4.3)],
        True,
    ),
    "run-while-earlier-owner-pledges-earlier-epoch": (
        "x",
        [*CHANGED, ("pong", 4.2, "x", 4.0, 1), ("may_run", 4.3)],
        False,
    ),
    "run-while-orders-of-ended-process-arrive": ("x", [*RESTARTED, ("may_run", 4.5)], False),
    "run-after-orders-of-ended-process": ("x", [*RESTARTED, ("may_run", 4.7)], True),
    "fallback-before-pledge-expired": ("x", [*LATER_OWNER, ("may_run", 7.0)], False),
    "fallback-after-pledge-expired": ("x", [*LATER_OWNER, ("may_run", 7.1)], True),
    "fallback-while-owner-responds": (
        "x",
        [*LATER_OWNER, ("pong", 4.1, "x", 4.0, 1), ("may_run", 7.0)],
        False,
    ),
    "fallback-while-restarted-owner-cannot-join": (
        "x",
        [*LATER_OWNER, ("link", 5.0, "x", 2), ("ping", 6.0, "x", 1), ("may_run", 7.1)],
        True,
    ),
    "pledge-at-new-epoch-during-orders": ("x", [*ORDERED, ("ping", 4.4, "x", 2)], 1),
    "pledge-at-old-epoch-during-orders": ("x", [*ORDERED, ("ping", 4.4, "x", 1)], 0),
    "pledge-after-orders": ("x", [*ORDERED, ("order_done", 4.4), ("ping", 4.5, "x", 2)], 2),
    "pledge-to-new-member-during-orders": (
        "x y",
        [*PLEDGED, ("order", 4.2), ("record", 4.3, 2, "n x y", "n"), ("ping", 4.4, "y", 2)],
        1,
    ),
}
