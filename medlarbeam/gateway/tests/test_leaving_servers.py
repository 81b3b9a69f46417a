"""A backend server that says in an answer that it leaves gets nothing new from this gateway.

Guards against requests, orders and probes to servers that leave, whatever the store says, against
reports that empty a fleet, and against requests that wait for a server that will not take them.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import (
    CancelFleetRun,
    ProbeServer,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import RunCompleted, RunStarted
from medlarbeam.classes.peer_messages import RateLimitReport
from medlarbeam.classes.server_messages import ServerLeaving
from medlarbeam.exceptions import RunState
from medlarbeam.gateway.crash_inquiries import CrashInquiries
from medlarbeam.gateway.fleet_state import FleetState
from medlarbeam.gateway.leaving_servers import HINT_S, LeavingServers
from medlarbeam.gateway.orders import Orders
from medlarbeam.gateway.server_selector import ServerSelector
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    SERVERS,
    make_harness,
    make_server,
    own_rights,
)
from medlarbeam.gateway.tests.leaving_schedule import (
    BASE,
    PEERS,
    RUN_ENDS,
    STEPS,
    names,
    play,
    starts,
)


@settings(derandomize=True, deadline=None, max_examples=150, print_blob=True)
@given(st.lists(STEPS, max_size=40))
def test_nothing_reaches_an_incarnation_that_has_left(steps):
    schedule = play(steps)
    assert schedule.violations == []
    schedule.pass_time(6.0)
    assert schedule.violations == []
    assert schedule.harness.gateway.relays.open_count() == 0  # none is held beyond its deadline


REPORTS = st.lists(
    st.one_of(
        st.tuples(st.just("report"), names, starts),
        st.tuples(st.just("pass_time"), st.sampled_from([0.01, 1.0, 6.0])),
        st.tuples(st.just("say_leaving"), st.sampled_from(["l1", "w1"]), st.just(1)),
    ),
    max_size=20,
)


@settings(derandomize=True, deadline=None, max_examples=60, print_blob=True)
@given(REPORTS)
def test_reports_of_other_nodes_never_empty_a_service(steps):
    schedule = play(steps)
    for route, key in (("read", None), ("chat", BASE)):
        schedule.harness.send_request(route, key)
        (run,) = schedule.harness.find(StartFleetRun)
        assert (run.server.name, 1) not in schedule.left


def take_back(self, entry, now, out):
    known = self.servers.get(entry.name)
    APPLY_SERVER(self, entry, now, out)
    if known is self.servers[entry.name] and not entry.draining:
        known.draining, known.stop_at = False, now + 1e9


APPLY_SERVER = FleetState._apply_server
LEAVE = ("say_leaving", "l1", 1)
LEAVE_ENGINE = ("say_leaving", "w1", 1)
LOSE_RUN = ("end_run", RUN_ENDS[5])
READ = [("request", "read")] * 2
MUTANTS = [
    (
        "header-is-ignored",
        [(LeavingServers, "handle_leaving", lambda self, message, now, out: None)],
        [LEAVE, *READ],
    ),
    (
        "entry-takes-the-answer-back",
        [(FleetState, "_apply_server", take_back)],
        [LEAVE, ("write", "l1", 1, False, 0), *READ],
    ),
    (
        "earlier-incarnations-are-forgotten",
        [(FleetState, "take_out", lambda *arguments: forget(TAKE_OUT, *arguments))],
        [LEAVE, ("write", "l1", 2, False, 0), ("set_back", 1), *READ],
    ),
    (
        "retry-goes-to-a-server-that-has-left",
        [(ServerSelector, "_find_all", lambda self, relay, excluded, now: list_all(self))],
        [("request", "read"), ("say_leaving", "l2", 1), LEAVE, ("end_run", RUN_ENDS[2])],
    ),
    (
        "order-is-sent-before-the-next-review",
        [(Orders, "review_soon", lambda self, now: None), (FleetState, "is_leaving", lambda *a: 0)],
        [
            ("pass_time", 1.0),
            ("read_state", "w1"),
            LEAVE_ENGINE,
            ("demand", "w1", COLD),
        ],
    ),
    (
        "probe-of-a-server-that-has-left",
        [(CrashInquiries, "_probe", lambda self, inquiry, now, out: probe(inquiry, now, out))],
        [*READ, LEAVE, ("say_leaving", "l2", 1), LOSE_RUN],
    ),
]
TAKE_OUT = FleetState.take_out


def forget(original, self, *arguments):
    result = original(self, *arguments)
    self.left.clear()
    return result


def list_all(selector):
    servers = selector.node.fleet.servers.values()
    return [k.entry for k in servers if k.entry.service == "ledger"]


def probe(inquiry, now, out):
    inquiry.probe_at = now + 1e9
    out.emit(ProbeServer(inquiry.entry))


@pytest.mark.parametrize("patches", [False, True], ids=["as-built", "mutant"])
@pytest.mark.parametrize(
    ("mutations", "steps"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS]
)
def test_mutant_is_caught(monkeypatch, mutations, steps, patches):
    for owner, name, replacement in mutations if patches else ():
        monkeypatch.setattr(owner, name, replacement)
    assert bool(play(steps).violations) is patches


USABLE = [
    ("answer-alone", [LEAVE], False),
    ("entry-written-later", [LEAVE, ("write", "l1", 1, False, 0)], False),
    ("answer-after-the-entry", [("write", "l1", 1, True, 0), LEAVE], False),
    (
        "entry-removed-and-written-again",
        [LEAVE, ("delete", "l1"), ("write", "l1", 1, False, 0)],
        False,
    ),
    ("entry-lapses-in-an-outage", [LEAVE, ("lose_store",), ("delete", "l1")], False),
    ("store-is-set-back", [LEAVE, ("set_back", 1)], False),
    ("new-incarnation-starts-clean", [LEAVE, ("write", "l1", 2, False, 0)], True),
    ("late-answer-of-the-old-incarnation", [("write", "l1", 2, False, 0), LEAVE], True),
    ("other-server-says-so", [("say_leaving", "l2", 1)], True),
    ("report-of-another-node-is-a-hint", [("report", "l1", 1)], True),
]


@pytest.mark.parametrize("wait_s", [0.0, 2.0, 60.0])
@pytest.mark.parametrize(("steps", "expected"), [u[1:] for u in USABLE], ids=[u[0] for u in USABLE])
def test_answer_decides_whether_a_server_gets_new_work(steps, expected, wait_s):
    harness = play(steps).harness
    usable = harness.gateway.fleet.usable_servers("ledger", harness.now + wait_s)
    assert ("l1" in [entry.name for entry in usable]) is expected


HINTS = [
    ("reported-server-is-avoided", [("report", "l1", 1)], False),
    ("report-expires", [("report", "l1", 1), ("pass_time", HINT_S + 0.1)], True),
    ("report-of-an-old-incarnation", [("write", "l1", 2, False, 0), ("report", "l1", 1)], True),
    ("report-of-an-unknown-node", [("report", "l1", 1, "n9")], True),
    ("only-server-that-stays", [("say_leaving", "l2", 1), ("report", "l1", 1)], True),
    ("more-than-half-of-the-servers", [("report", "l2", 1), ("report", "l1", 1)], True),
]


@pytest.mark.parametrize(("steps", "expected"), [h[1:] for h in HINTS], ids=[h[0] for h in HINTS])
def test_report_of_another_node_is_a_hint(steps, expected):
    schedule = play(steps)
    for number in range(6):
        schedule.harness.send_request("read", request_id=f"q{number}")
        schedule.check(schedule.harness.effects)
    assert ("l1" in [run.server.name for run in schedule.open_runs]) is expected


def test_own_answer_without_the_statement_refutes_a_report():
    schedule = play([("request", "read")] * 2 + [("report", "l1", 1)])
    schedule.harness.now += 0.1
    schedule.open_runs.sort(key=lambda run: run.server.name)
    schedule.end_run(RUN_ENDS[0])  # of l1
    (entry,) = [e for e in SERVERS if e.name == "l1"]
    assert schedule.harness.gateway.leaving.exclude_reported([entry, SERVERS[3]], 100.2) == [
        entry,
        SERVERS[3],
    ]


def reported_servers(effects):
    reports = [e.body for e in effects if isinstance(e, SendDatagram)]
    return [
        item.server
        for body in reports
        if isinstance(body, RateLimitReport)
        for item in body.leaving
    ]


TOLD = [
    ("first-to-know", [LEAVE], ["l1", "l1"]),
    ("known-from-the-entry", [("write", "l1", 1, True, 0), LEAVE], []),
    ("another-node-has-told-all", [("report", "l1", 1), LEAVE], []),
    ("another-node-is-faster", [LEAVE, ("report", "l1", 1)], []),
    ("said-again", [LEAVE, LEAVE], ["l1", "l1"]),
]


@pytest.mark.parametrize(("steps", "expected"), [t[1:] for t in TOLD], ids=[t[0] for t in TOLD])
def test_other_nodes_are_told_once(steps, expected):
    assert reported_servers(play(steps).harness.pass_time(0.5)) == expected


def test_node_that_demands_an_adapter_of_a_leaving_server_is_told():
    """Without a datagram in return it would take this node to be unresponsive."""
    schedule = play([LEAVE_ENGINE, ("demand", "w1", COLD)])
    (effect,) = schedule.harness.find(SendDatagram)
    assert effect.address == PEERS[0].address
    assert reported_servers([effect]) == ["w1"]


ENGINES = [
    make_server("w1", "llm", domain="z1"),
    make_server("w2", "llm", domain="z1"),
    make_server("w3", "llm", domain="z2"),
]
OTHER_MODEL = make_server("w4", "llm", adapters=())
OTHER_MODEL.models = ["m1"]
GROUPS = [
    ("only-server", [make_server("l1", "ledger")], ["l1"], "read", None, 0),
    ("all-servers-of-a-service", SERVERS, ["l1", "l2"], "pay", None, 0),
    ("only-server-of-a-model", [ENGINES[0], OTHER_MODEL], ["w1"], "chat", HOT, 0),
    ("cold-adapter-of-that-model", [ENGINES[0], OTHER_MODEL], ["w1"], "draft", COLD, 0),
    ("all-of-a-failure-domain", ENGINES, ["w1", "w2"], "chat", HOT, 1),
]


@pytest.mark.parametrize(
    ("servers", "leaving", "route", "key", "sends"),
    [g[1:] for g in GROUPS],
    ids=[g[0] for g in GROUPS],
)
@pytest.mark.parametrize("waits", [False, True], ids=["arrives-later", "waits-already"])
def test_request_is_served_elsewhere_or_refused_at_once(servers, leaving, route, key, sends, waits):
    harness = make_harness(servers=servers)
    if waits:
        # The request waits because the servers have no token of their rate limit left.
        for name in leaving:
            harness.gateway.limits.observe(name, 0.0, harness.now)
        held_back = [s.name for s in servers if s.name not in leaving and sends]
        for name in held_back:
            harness.gateway.limits.observe(name, 0.0, harness.now)
        harness.send_request(route, key)
        assert harness.find(StartFleetRun) == []
        for name in held_back:
            harness.gateway.limits.observe(name, None, harness.now)
    effects = []
    for name in leaving:
        effects += harness.deliver(ServerLeaving(name, 1, "r7", "refusal", "1"))
    if not waits:
        effects += harness.send_request(route, key)
    effects += harness.pass_time(0.002)
    runs = [e for e in effects if isinstance(e, StartFleetRun)]
    assert [run.server.name in leaving for run in runs] == [False] * sends
    refusals = [e for e in effects if isinstance(e, RefuseRequest)]
    assert len(refusals) == 1 - sends
    for refusal in refusals:
        assert refusal.failure.run_state is RunState.NOT_RUN
        assert refusal.retry_after_s > 0.0
        assert f"server={leaving[0]} said so in the answer to r7" in refusal.failure.reason


def test_stream_of_a_server_that_leaves_goes_on():
    harness = make_harness(rights=own_rights())
    harness.send_request("chat", HOT)
    (run,) = harness.find(StartFleetRun)
    effects = harness.deliver(ServerLeaving(run.server.name, 1, "r1", "stream", "1"))
    effects += harness.deliver(RunStarted(run.run_id, None))
    effects += harness.pass_time(1.0)
    assert not any(isinstance(e, CancelFleetRun | RefuseRequest) for e in effects)
    harness.deliver(RunCompleted(run.run_id, 200, None))
    assert harness.gateway.relays.open_count() == 0


def test_server_taken_out_by_an_answer_is_logged_once():
    harness = make_harness()
    effects = []
    for number in range(3):
        effects += harness.deliver(ServerLeaving("l1", 1, f"r{number}", "refusal", "1"))
    (line,) = [e for e in effects if isinstance(e, LogEvent)]
    assert (line.name, line.request_id) == ("server_leaving", "r0")
    assert "server=l1" in line.detail
    assert "source=refusal" in line.detail
    assert "value='1'" in line.detail
    assert harness.gateway.measure(harness.now)["leaving_servers"] == 1


EXITS = [
    ("announced-before-the-loss", ["say_leaving", "lose_run", "probe_result"], False),
    ("announced-during-the-probe", ["lose_run", "say_leaving", "probe_result"], False),
    ("not-announced", ["lose_run", "probe_result"], True),
]


@pytest.mark.parametrize(("order", "is_crash"), [e[1:] for e in EXITS], ids=[e[0] for e in EXITS])
def test_announced_exit_is_no_evidence_against_the_runs_that_it_cut(order, is_crash):
    schedule = play([("request", "read")])
    name = schedule.open_runs[0].server.name
    steps = {
        "say_leaving": ("say_leaving", name, 1),
        "lose_run": LOSE_RUN,
        "probe_result": ("probe_result", name, True),
    }
    for step, *arguments in [steps[key] for key in order]:
        getattr(schedule, step)(*arguments)
    assert bool(schedule.harness.gateway.crashes.records) is is_crash
