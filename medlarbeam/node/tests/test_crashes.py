"""Crash tracking: strikes, expiry, late reports, and the bound on crashed backend servers."""

from random import Random

import pytest

from medlarbeam.algorithms.naive_crashes import NaiveCrashes
from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.messages import EngineReport, PeerMessage, PeerUp
from medlarbeam.classes.peer_messages import CrashReport
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import ErrorKind
from medlarbeam.node import crashes as crashes_module
from medlarbeam.node.component import Outbox
from medlarbeam.node.crashes import CrashTracker, digest_request
from medlarbeam.node.node import Node
from medlarbeam.node.parts import NodeParts
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.run_claim_schedules import NoOp


class StubRuns(NoOp):
    """Reports the incarnation of each backend server."""

    __slots__ = ("incarnations",)

    def __init__(self, node):
        super().__init__(node)
        self.incarnations = {}

    def last_report(self, server):
        return EngineReport(server, 0.0, str(self.incarnations.get(server, 0)))


def make_node(name, peers=(), tracker=CrashTracker):
    parts = NodeParts(NoOp, NoOp, NoOp, NoOp, tracker, NoOp, StubRuns, NoOp, NoOp)
    return Node(NodeSettings(name, 1, "c", "d", [p for p in peers if p != name]), Random(1), parts)


def make_request(text, copy=0, deadline=1000.0):
    return Request(f"{text}-{copy}", f"caller{copy}", Rank.ORDINARY, deadline, ["a@1"], text)


# Steps: "die:SERVER.INCARNATION:texts", "ok:text", "wait:s", and reports of a peer
# "report:text:strikes:death". Expected: refused texts, suspected texts.
RULES = [
    ("concurrent-request-is-not-quarantined", ["die:s.0:x a b"], "", "x a b"),
    ("second-death-quarantines-sole-suspect", ["die:s.0:x a", "ok:a", "die:t.0:x b c"], "x", "x"),
    ("sole-suspect-gets-the-only-strike", ["die:s.0:x", "die:t.0:x b"], "x", "x"),
    ("two-suspects-are-not-quarantined", ["die:s.0:x a", "die:t.0:x a b"], "", "x a b"),
    ("copies-on-one-server-count-once", ["die:s.0:x x"], "", "x"),
    ("one-death-reported-twice-counts-once", ["die:s.0:x", "die:s.0:x"], "", "x"),
    ("death-reported-by-a-peer-first-counts-once", ["report:x:1:s/0", "die:s.0:x"], "", "x"),
    ("concurrent-request-of-known-death", ["report:x:1:s/0", "die:s.0:x b"], "", "x b"),
    ("second-report-prolongs", ["die:s.0:x", "wait:99", "die:s.0:x", "wait:22"], "", ""),
    ("restarted-server-dies-again", ["die:s.0:x", "die:s.1:x"], "x", "x"),
    ("success-clears", ["die:s.0:x", "ok:x"], "", ""),
    ("success-does-not-end-a-quarantine", ["die:s.0:x", "die:t.0:x", "ok:x"], "x", "x"),
    ("suspect-period-expires", ["die:s.0:x", "wait:121", "die:t.0:x"], "", "x"),
    ("suspect-period-lasts", ["die:s.0:x", "wait:119", "die:t.0:x"], "x", "x"),
    ("quarantine-lasts", ["die:s.0:x", "die:t.0:x", "wait:599"], "x", "x"),
    ("quarantine-expires", ["die:s.0:x", "die:t.0:x", "wait:601"], "", ""),
    ("repeated-report-raises-no-strike", ["report:x:1:s/0", "report:x:1:s/0"], "", "x"),
    ("report-of-two-deaths-is-no-quarantine", ["report:x:1:s/0", "report:x:1:t/0"], "", "x"),
    ("reported-quarantine-is-adopted", ["report:x:2:s/0"], "x", "x"),
    ("reported-clear", ["report:x:1:s/0", "report:x:0:s/0"], "", ""),
    ("late-report-after-clear", ["report:x:1:s/0", "report:x:0:s/0", "report:x:1:s/0"], "", ""),
    ("clear-overtakes-the-report", ["report:x:0:s/0", "report:x:1:s/0"], "", ""),
    ("late-clear-keeps-newer-strike", ["report:x:1:s/0", "die:t.0:y", "report:x:0:r/0"], "", "x y"),
    ("late-report-after-expiry", ["report:x:1:s/0", "wait:130", "report:x:1:s/0"], "", ""),
    ("removed-fingerprint-starts-from-clear", ["die:s.0:x", "wait:800", "die:t.0:x"], "", "x"),
    ("repeat-prolongs", ["report:x:1:s/0", "wait:99", "report:x:1:s/0", "wait:22"], "", ""),
]  # fmt: skip


def run_step(node, step, now):
    kind, *rest = step.split(":")
    out = Outbox()
    if kind == "wait":
        node.tick(now)
        now += float(rest[0])
        node.tick(now)
    elif kind == "ok":
        node.crashes.succeeded(make_request(rest[0]), now, out)
    elif kind == "die":
        server, _, incarnation = rest[0].partition(".")
        node.runs.incarnations[server] = incarnation
        texts = rest[1].split()
        requests = [make_request(text, i) for i, text in enumerate(texts)]
        node.crashes.server_died(server, requests, now, out)
    else:
        fingerprint = digest_request(make_request(rest[0]))
        report = CrashReport(fingerprint, int(rest[1]), "s", 120.0, rest[2])
        node.handle(PeerMessage("p", report), now)
    return now


@pytest.mark.parametrize(
    ("steps", "refused", "suspected"), [r[1:] for r in RULES], ids=[r[0] for r in RULES]
)
def test_rules(steps, refused, suspected):
    """A harmless request is refused, or a crashing one is still accepted after its second crash."""
    node, now = make_node("n"), 0.0
    for step in steps:
        now = run_step(node, step, now)
    texts = "xaby"
    tracker = node.crashes
    assert [t for t in texts if tracker.check(make_request(t), now)] == refused.split()
    other = make_request("other")
    tracker.server_died("u", [other], now, Outbox())
    beside = [t for t in texts if not tracker.may_start(make_request(t), [other], now)]
    assert sorted(beside) == sorted(suspected.split())
    if refused:
        assert tracker.check(make_request("x"), now).kind is ErrorKind.CRASH_SUSPECT


STARTS = [
    ("two-suspects-on-one-server", [], ["a"], False),
    ("suspect-beside-clear-requests", [], ["b", "c"], True),
    ("second-copy-during-the-trial", ["x-1"], [], False),
    ("same-trial-checked-again", ["x-0"], [], True),
    ("trial-that-ended-with-success", ["x-1", "ok"], [], True),
    ("trial-past-its-deadline", ["x-1", "late"], [], True),
]


@pytest.mark.parametrize(
    ("before", "running", "allowed"), [s[1:] for s in STARTS], ids=[s[0] for s in STARTS]
)
def test_trials_are_isolated(before, running, allowed):
    """Two suspects run on one server, so that a crash cannot be attributed."""
    node, now = make_node("n"), 0.0
    node.crashes.server_died("s", [make_request("x"), make_request("a")], now, Outbox())
    for step in before:
        if step == "ok":
            node.crashes.succeeded(make_request("x", 1), now, Outbox())
        elif step == "late":
            now = 50.0
        else:
            copy = int(step[-1])
            trial = make_request("x", copy, deadline=40.0)
            assert node.crashes.may_start(trial, [], now)
            node.crashes.begin_run(trial, now)
    beside = [make_request(text) for text in running]
    assert node.crashes.may_start(make_request("x"), beside, now) is allowed


@pytest.mark.parametrize("kept", [1, 3], ids=["table-outgrows-one", "table-outgrows-three"])
def test_table_is_bounded_and_keeps_quarantined_records(kept, monkeypatch):
    """The table grows without bound, or suspects evict quarantined records."""
    monkeypatch.setattr(crashes_module, "MAX_RECORDS", kept)
    node = make_node("n")
    for server, texts in [("s", "x"), ("t", "x"), ("u", "abcdef")]:
        requests = [make_request(text) for text in texts]
        node.crashes.server_died(server, requests, 0.0, Outbox())
        assert len(node.crashes.records) <= kept
    assert bool(node.crashes.check(make_request("x"), 0.0)) is (kept > 1)


PEER_UP = [
    ("suspect-is-not-reported", ["die:s.0:x"], [(1, 90.0, "s/0")]),
    ("quarantine-is-not-reported", ["die:s.0:x", "die:t.0:x"], [(2, 570.0, "t/0")]),
    ("suspect-of-a-peer-is-not-reported", ["report:x:1:s/0"], [(1, 90.0, "s/0")]),
    ("cleared-suspect-is-reported", ["die:s.0:x", "ok:x"], []),
]


@pytest.mark.parametrize(
    ("steps", "expected"), [t[1:] for t in PEER_UP], ids=[t[0] for t in PEER_UP]
)
def test_connected_peer_gets_reports(steps, expected):
    """A peer that was disconnected does not learn of a suspect or quarantined request."""
    node = make_node("n")
    for step in steps:
        run_step(node, step, 0.0)
    bodies = [effect.body for effect in node.handle(PeerUp("p", 1), 30.0)]
    assert [(b.strikes, b.remaining_s, b.death_id) for b in bodies] == expected


class Fleet:
    """Nodes with backend servers, and callers that resend a crashing request immediately."""

    def __init__(self, seed, tracker, nodes, copies, delay, repeat, cut):
        self.rng, self.now, self.dead, self.refused_harmless = Random(seed), 0.0, 0, 0
        names = [f"n{i}" for i in range(nodes)]
        self.nodes = [make_node(name, names, tracker) for name in names]
        self.delay, self.repeat, self.cut, self.reports = delay, repeat, cut, []
        self.servers = {(n, f"{n.settings.name}.s{i}"): [] for n in self.nodes for i in range(3)}
        self.callers = [make_request("poison", i, 1e9) for i in range(copies)]
        self.done = 0  # harmless requests that ran to their end

    def send(self, node, effects):
        for effect in effects:
            if isinstance(effect, SendPeer):
                for _ in range(1 + self.repeat):
                    at = self.now + self.rng.uniform(0, self.delay)
                    self.reports.append((at, node, effect.node, effect.body))

    def is_cut(self, sender, name):
        last = self.nodes[-1].settings.name
        return self.now < self.cut and last in (sender.settings.name, name)

    def exchange(self):
        due = [r for r in self.reports if r[0] <= self.now]
        self.reports = [r for r in self.reports if r[0] > self.now]
        for _, sender, name, body in due:
            node = next(n for n in self.nodes if n.settings.name == name)
            if not self.is_cut(sender, name):
                self.send(node, node.handle(PeerMessage(sender.settings.name, body), self.now))

    def start(self, request, waiting):
        free_servers = [p for p, running in self.servers.items() if len(running) < 4]
        node, server = self.rng.choice(free_servers)
        if node.crashes.check(request, self.now):
            self.refused_harmless += request.body != "poison"
        elif node.crashes.may_start(request, self.servers[node, server], self.now):
            node.crashes.begin_run(request, self.now)
            self.servers[node, server].append(request)
        else:
            waiting.append(request)

    def step(self, waiting):
        self.exchange()
        retry = []
        for request in waiting:
            self.start(request, retry)
        for (node, server), running in self.servers.items():
            out, ended = Outbox(), list(running)
            running.clear()
            if any(r.body == "poison" for r in ended):
                self.dead += 1
                node.crashes.server_died(server, ended, self.now, out)
                count = node.runs.incarnations.get(server, 0)
                node.runs.incarnations[server] = count + 1
                retry += ended
            else:
                self.done += len(ended)
                for request in ended:
                    node.crashes.succeeded(request, self.now, out)
            self.send(node, out.effects)
        return retry

    def run(self, steps=100):
        waiting = list(self.callers)
        for step in range(steps):
            self.now = float(step)
            if self.now == self.cut:
                for node in self.nodes:
                    for peer in node.settings.peers:
                        self.send(node, node.handle(PeerUp(peer, 1), self.now))
            waiting.append(make_request(f"harmless{step}", 0, 1e9))
            waiting = self.step(waiting)
            # Callers resend refused requests.
            present = {r.request_id for r in waiting}
            waiting += [r for r in self.callers if r.request_id not in present]


# Nodes, copies, maximum report delay (s), duplicates, partition of one node (s), bound.
BOUNDS = [
    ("one-caller-resends", 3, 1, 0.0, 0, 0, 2),
    ("one-caller-resends-and-reports-repeat", 3, 1, 0.0, 2, 0, 2),
    ("copies-in-flight", 3, 4, 0.0, 0, 0, 1 + 3 + 3),
    ("slow-reports", 3, 1, 3.0, 1, 0, 1 + 2 + 3),
    ("one-node-partitioned", 3, 1, 0.0, 0, 40, 2 + 2),
    ("many-nodes", 6, 3, 0.0, 0, 0, 1 + 2 + 6),
]


@pytest.mark.parametrize(
    ("nodes", "copies", "delay", "repeat", "cut", "bound"),
    [b[1:] for b in BOUNDS],
    ids=[b[0] for b in BOUNDS],
)
def test_dead_servers_are_bounded(nodes, copies, delay, repeat, cut, bound):
    """A crashing request that is resent crashes more backend servers than the bound."""
    for seed in range(20):
        tracked = Fleet(seed, CrashTracker, nodes, copies, delay, repeat, cut)
        naive = Fleet(seed, NaiveCrashes, nodes, copies, delay, repeat, cut)
        tracked.run()
        naive.run()
        print(f"seed {seed}: {tracked.dead} dead, naive {naive.dead}")
        assert 1 <= tracked.dead <= bound < 90 <= naive.dead
        assert tracked.refused_harmless == 0 and tracked.done >= 95
