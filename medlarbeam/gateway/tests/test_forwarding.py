"""A node without a path to the backend servers sends its requests through other nodes.

Guards against callers that are refused at a node that has lost the path while others still serve,
and against findings on servers that only show that the path is lost.
"""

import pytest

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    CancelFleetRun,
    PassErrorResponse,
    ProbeServer,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    NodeDatagram,
    PauseRequest,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStalled,
    RunStarted,
)
from medlarbeam.classes.peer_messages import DeathReport, PathReport
from medlarbeam.classes.server_messages import ProbeResult
from medlarbeam.exceptions import RunState
from medlarbeam.gateway.forwarding import Forwarding
from medlarbeam.gateway.server_paths import ServerPaths
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server, own_rights

NEAR = NodeRegistration("n2", "z1", "10.0.0.2:7000", 3)
FAR = NodeRegistration("n3", "z2", "10.0.0.3:7000", 3)
SERVERS = [
    *(make_server(f"w{number}", "llm") for number in range(4)),
    *(make_server(f"l{number}", "ledger") for number in range(3)),
]


def fail_to_connect(harness, reason="timed out"):
    """Let each run and probe fail to connect until no more are started."""
    effects = harness.effects
    while effects:
        following = []
        for effect in effects:
            if isinstance(effect, StartFleetRun) and effect.forwarded_runs is None:
                refusal = RunRefused(effect.run_id, 0, f"nothing was sent: {reason}", None)
                following += harness.deliver(refusal)
            elif isinstance(effect, ProbeServer):
                is_refused = reason == "refused"
                following += harness.deliver(ProbeResult(effect.server.name, is_refused, reason))
        effects = following
    return harness.pass_time(0.01)


def make_stranded(service_route="read", nodes=(NEAR, FAR), reason="timed out"):
    """Return a harness whose node has found out that it reaches no server of the route."""
    harness = make_harness(servers=SERVERS, nodes=nodes, rights=own_rights())
    key = HOT if service_route in ("chat", "draft") else None
    harness.send_request(service_route, key, request_id="r0")
    fail_to_connect(harness, reason)
    return harness


def send(harness, route, request_id="r1", **options):
    """Send a request; return the `StartFleetRun` that follows, or None."""
    key = HOT if route in ("chat", "draft") else None
    harness.send_request(route, key, request_id=request_id, **options)
    return next(iter(harness.find(StartFleetRun)), None)


ROUTES = ["read", "pay", "chat", "draft"]


@pytest.mark.parametrize("reason", ["timed out", "refused"])
@pytest.mark.parametrize("route", ROUTES)
def test_request_goes_through_a_node_that_reaches_the_servers(route, reason):
    harness = make_stranded(route, reason=reason)
    start = send(harness, route)
    assert start.server.name == "n2"
    assert start.server.address == NEAR.address
    assert start.forwarded_runs == 0


@pytest.mark.parametrize("route", ROUTES)
def test_request_that_finds_the_path_lost_is_forwarded(route):
    harness = make_harness(servers=SERVERS, nodes=[NEAR], rights=own_rights())
    harness.send_request(route, HOT if route in ("chat", "draft") else None, request_id="r0")
    starts = harness.find(StartFleetRun)
    starts += [e for e in fail_to_connect(harness) if isinstance(e, StartFleetRun)]
    assert harness.gateway.relays.open_relays["r0"].nodes == {"n2"}


def test_request_waits_for_the_check_before_it_is_refused():
    harness = make_harness(servers=SERVERS, nodes=[NEAR])
    harness.send_request("read")
    for _ in range(3):
        for start in harness.find(StartFleetRun):
            harness.now += 0.3
            harness.deliver(RunRefused(start.run_id, 0, "timed out", None))
    harness.pass_time(0.3)
    assert not harness.find(RefuseRequest)
    harness.pass_time(0.4)  # the check ends without an answer
    assert harness.gateway.relays.open_relays["r1"].nodes == {"n2"}


@pytest.mark.parametrize(("is_lost", "moves"), [(True, True), (False, False)], ids=str)
def test_run_that_stalls_moves_to_another_node_only_without_a_path(is_lost, moves):
    harness = make_harness(servers=SERVERS[:1], nodes=[NEAR], rights=own_rights())
    stalled = send(harness, "chat")
    if is_lost:
        harness.effects = []
        harness.gateway.paths.record_failure("w0", harness.now, Recorder(harness))
        fail_to_connect(harness)
    harness.deliver(RunStalled(stalled.run_id, 0, 0.6))
    nodes = [start.server.name for start in harness.find(StartFleetRun)]
    assert nodes == (["n2"] if moves else [])


# What is known of the other nodes, and the node that gets the request, "" for a server.
CHOICES = [
    ("node-of-the-same-domain-is-preferred", [NEAR, FAR], [], "n2"),
    ("node-that-has-lost-the-path-too-is-left-out", [NEAR, FAR], [("n2", ["ledger"])], "n3"),
    ("loss-of-another-service-does-not-matter", [NEAR, FAR], [("n2", ["llm"])], "n2"),
    (
        "path-of-the-other-node-is-back",
        [NEAR, FAR],
        [("n2", ["ledger"]), ("n2", [])],
        "n2",
    ),
    ("no-node-reaches-the-servers", [NEAR], [("n2", ["ledger"])], ""),
    ("there-is-no-other-node", [], [], ""),
]


@pytest.mark.parametrize(
    ("nodes", "reports", "expected"), [c[1:] for c in CHOICES], ids=[c[0] for c in CHOICES]
)
def test_choice_of_the_node(nodes, reports, expected):
    harness = make_stranded(nodes=nodes)
    for name, lost in reports:
        harness.deliver(NodeDatagram(PathReport(name, lost)))
    start = send(harness, "read")
    assert (start.server.name if start.forwarded_runs is not None else "") == expected


PAUSE = PauseRequest("1.5", 1.5)

# Results of the forwarded request, the effect for its caller, and its run state.
RESULTS = [
    ("other-node-serves-it", "pay", [lambda run: RunCompleted(run, 200, None)], None, None),
    (
        "error-of-the-server-is-passed",
        "pay",
        [lambda run: RunErrorResponse(run, 500, None)],
        PassErrorResponse,
        None,
    ),
    (
        "lost-payment-may-have-run",
        "pay",
        [lambda run: RunInterrupted(run, "reset", 0, False)],
        RefuseRequest,
        RunState.MAY_HAVE_RUN,
    ),
    (
        "broken-draft-is-aborted",
        "draft",
        [lambda run: RunStarted(run, None), lambda run: RunInterrupted(run, "reset", 2, True)],
        AbortResponse,
        None,
    ),
    (
        "refusal-by-each-node-is-not-run",
        "pay",
        [lambda run: RunRefused(run, 503, "refused", None, PAUSE)] * 2,
        RefuseRequest,
        RunState.NOT_RUN,
    ),
    (
        "request-of-a-caller-who-left-is-cancelled",
        "read",
        [lambda run: CallerDisconnected("r1")],
        CancelFleetRun,
        None,
    ),
]


@pytest.mark.parametrize(
    ("route", "results", "expected", "run_state"),
    [r[1:] for r in RESULTS],
    ids=[r[0] for r in RESULTS],
)
def test_result_of_a_forwarded_request(route, results, expected, run_state):
    harness = make_stranded(route)
    start = send(harness, route)
    for build in results:
        harness.deliver(build(start.run_id))
        start = next(iter(harness.find(StartFleetRun)), start)
        if start.forwarded_runs is None:
            fail_to_connect(harness)
            harness.pass_time(6.0)
    effects = [e for e in harness.effects if expected and isinstance(e, expected)]
    assert bool(effects) is (expected is not None)
    if run_state is not None:
        assert effects[0].failure.run_state is run_state
    if run_state is not RunState.NOT_RUN:
        assert "r1" not in harness.gateway.relays.open_relays


RETRIES = [
    ("read-goes-to-the-next-node", "read", "n3", 1),
    ("stream-goes-on-at-the-next-node", "chat", "n3", 1),
]


@pytest.mark.parametrize(
    ("route", "node", "runs"), [r[1:] for r in RETRIES], ids=[r[0] for r in RETRIES]
)
def test_request_is_repeated_at_another_node_after_a_loss(route, node, runs):
    harness = make_stranded(route)
    first = send(harness, route)
    harness.deliver(RunInterrupted(first.run_id, "reset", 0, False))
    (second,) = harness.find(StartFleetRun)
    assert (second.server.name, second.forwarded_runs) == (node, runs)


@pytest.mark.parametrize("runs", [0, 1])
def test_forwarded_request_is_not_forwarded_again_nor_run_too_often(runs):
    harness = make_harness(servers=SERVERS, nodes=[NEAR, FAR])
    relays = harness.gateway.relays
    harness.send_request("read", runs_elsewhere=runs)
    (start,) = harness.find(StartFleetRun)
    assert start.forwarded_runs is None
    harness.deliver(RunInterrupted(start.run_id, "reset", 0, False))
    assert len(harness.find(StartFleetRun)) == (1 if runs == 0 else 0)
    assert ("r1" in relays.open_relays) is (runs == 0)


def accept(harness):
    harness.deliver(ProbeResult("l0", False, "", True))


RETURNS = [
    ("probe-finds-the-path-back", [accept], None),
    ("path-stays-lost", [], 0),
]


@pytest.mark.parametrize(
    ("steps", "forwarded"), [r[1:] for r in RETURNS], ids=[r[0] for r in RETURNS]
)
def test_requests_go_to_the_servers_again_when_the_path_is_back(steps, forwarded):
    harness = make_stranded()
    for step in steps:
        step(harness)
    start = send(harness, "read")
    assert start.forwarded_runs == forwarded


def test_lost_path_is_probed_and_reported_until_it_is_back():
    harness = make_stranded()
    effects = harness.pass_time(2.6)
    probes = {e.server.name for e in effects if isinstance(e, ProbeServer)}
    reports = [e.body for e in effects if isinstance(e, SendDatagram)]
    reports = [body for body in reports if isinstance(body, PathReport)]
    assert probes <= {"l0", "l1", "l2"}
    assert probes
    assert {tuple(body.lost) for body in reports} == {("ledger",)}


DOUBTS = [
    ("one-server-crashes", ["l0"], ["l1"], None),
    ("two-servers-crash-and-the-third-answers", ["l0", "l1"], ["l2"], None),
    ("no-server-answers", ["l0", "l1", "l2"], [], 0),
]


@pytest.mark.parametrize(
    ("failed", "accepting", "forwarded"), [d[1:] for d in DOUBTS], ids=[d[0] for d in DOUBTS]
)
def test_crash_of_some_servers_is_no_loss_of_the_path(failed, accepting, forwarded):
    harness = make_harness(servers=SERVERS, nodes=[NEAR])
    out = harness.gateway
    harness.effects = []
    for name in failed:
        out.paths.record_failure(name, harness.now, Recorder(harness))
    for effect in [e for e in harness.effects if isinstance(e, ProbeServer)]:
        name = effect.server.name
        is_accepted = name in accepting
        harness.deliver(ProbeResult(name, not is_accepted, "", is_accepted))
    start = send(harness, "read")
    assert start.forwarded_runs == forwarded


class Recorder:
    """Outbox that adds to the effects of a harness."""

    __slots__ = ("harness",)

    def __init__(self, harness):
        self.harness = harness

    def emit(self, effect):
        self.harness.effects.append(effect)


def test_refused_connections_without_a_path_are_no_crashes():
    harness = make_harness(servers=SERVERS, nodes=[NEAR])
    runs = []
    for number in range(6):
        runs.append(send(harness, "read", f"r{number}"))
    deaths = []
    for run in runs:
        effects = harness.deliver(
            RunInterrupted(run.run_id, "reset", 0, False, is_connection_lost=True)
        )
        deaths += effects
        for effect in [e for e in effects if isinstance(e, ProbeServer)]:
            deaths += harness.deliver(ProbeResult(effect.server.name, True, "refused"))
    deaths += fail_to_connect(harness, "refused")
    reports = [e.body for e in deaths if isinstance(e, SendDatagram)]
    named = {b.death_id for b in reports if isinstance(b, DeathReport)}
    assert len(named) <= 1  # one server alone may have crashed


def test_holder_without_a_path_is_no_holder_for_new_loads():
    harness = make_harness(servers=SERVERS, nodes=[NEAR], rights=own_rights(["w0"], node="n2"))
    selector = harness.gateway.relays.selector
    assert selector._has_holder("w0", harness.now)
    harness.deliver(NodeDatagram(PathReport("n2", ["llm"])))
    assert not selector._has_holder("w0", harness.now)


MUTANTS = [
    ("path-is-never-found-lost", ServerPaths, "is_lost", lambda self, service: False),
    ("requests-are-never-forwarded", Forwarding, "choose_node", lambda self, relay, now: None),
]


@pytest.mark.parametrize(
    ("target", "name", "function"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS]
)
def test_mutant_does_not_use_other_nodes(target, name, function, monkeypatch):
    monkeypatch.setattr(target, name, function)
    harness = make_stranded()
    start = send(harness, "read")
    assert start is None or start.forwarded_runs is None
