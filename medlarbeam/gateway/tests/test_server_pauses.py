"""Nothing is sent to a backend server in a pause that it asked for, and no burst follows it.

Guards against requests, retries and orders that reach a server in need, callers that are held or
sent back too early, and adapters that are loaded everywhere while servers pause in turn.
"""

from math import inf

import pytest

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import EngineState
from medlarbeam.classes.gateway_effects import (
    CancelFleetRun,
    FetchEngineState,
    RefuseRequest,
    ServerOrder,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    EntryUpdated,
    PauseRequest,
    RunCompleted,
    RunRefused,
    RunStalled,
    RunStarted,
    StoreSnapshot,
)
from medlarbeam.classes.server_messages import EngineStateResult, ServerOrderResult
from medlarbeam.exceptions import RunState
from medlarbeam.gateway.server_pauses import MAX_PAUSE_S, PRIORITY_BAND_S
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    make_harness,
    make_server,
    own_rights,
)
from medlarbeam.gateway.tests.pausing_fleet import ALLOWED_ARRIVALS, SLOTS, PausingFleet
from medlarbeam.node.component import Outbox


def refuse(run, pause_s, text=None):
    """Return the refusal of a run with a pause, an unusable one if `pause_s` is None."""
    text = text or str(pause_s)
    pause = PauseRequest(text, pause_s, "unusable" if pause_s is None else "")
    return RunRefused(run.run_id, 503, "refused", None, pause)


def make_paused(pause_s, servers, route="read", key=None, **options):
    """Return a harness whose first request was refused by its server, and the run."""
    harness = make_harness(servers=servers, **options)
    harness.send_request(route, key)
    (run,) = harness.find(StartFleetRun)
    harness.deliver(refuse(run, pause_s))
    return harness, run


def find_runs(effects):
    return [effect for effect in effects if isinstance(effect, StartFleetRun)]


LEDGERS = [make_server("l1", "ledger"), make_server("l2", "ledger")]

PLACEMENTS = [
    ("other-server-takes-it", "read", LEDGERS, 2.0, "other"),
    ("other-server-takes-a-payment", "pay", LEDGERS, 2.0, "other"),
    ("request-waits-for-a-short-pause", "read", LEDGERS[:1], 0.3, "same"),
    ("payment-waits-for-a-short-pause", "pay", LEDGERS[:1], 0.3, "same"),
    ("request-that-cannot-wait-is-refused-at-once", "read", LEDGERS[:1], 10.0, "refused"),
    ("payment-that-cannot-wait-is-refused-at-once", "pay", LEDGERS[:1], 10.0, "refused"),
    ("pause-of-infinite-length", "read", LEDGERS[:1], inf, "refused"),
    ("no-pause-is-an-ordinary-refusal", "read", LEDGERS, 0.0, "other"),
    ("unusable-value-is-an-ordinary-refusal", "read", LEDGERS, None, "other"),
]


@pytest.mark.parametrize(
    ("route", "servers", "pause_s", "expected"),
    [p[1:] for p in PLACEMENTS],
    ids=[p[0] for p in PLACEMENTS],
)
def test_request_that_a_pausing_server_refused(route, servers, pause_s, expected):
    harness, first = make_paused(pause_s, servers, route)
    if expected == "refused":
        (refusal,) = harness.find(RefuseRequest)
        assert refusal.failure.run_state is RunState.NOT_RUN
        left_s = min(pause_s, MAX_PAUSE_S)
        assert left_s <= refusal.retry_after_s <= left_s + 2 * PRIORITY_BAND_S
        assert "server=l1 asked for a pause" in refusal.failure.reason
        return
    if expected == "same":
        assert harness.find(StartFleetRun) == harness.find(RefuseRequest) == []
        assert find_runs(harness.pass_time(pause_s - 0.01)) == []
        harness.pass_time(0.2)
    (second,) = harness.find(StartFleetRun)
    assert (second.server.name == first.server.name) is (expected == "same")
    harness.deliver(RunCompleted(second.run_id, 200, None))
    assert harness.gateway.relays.open_count() == 0


def send_new_requests(harness):
    effects = []
    for number in range(5):
        effects += harness.send_request("chat", HOT, request_id=f"n{number}")
    return effects


def demand_load(harness):
    """Let a request wait for an adapter that this node would order."""
    return harness.send_request("chat", COLD, request_id="cold")


def stall_other_run(harness):
    """Stall a run at the other server; the paused one holds the adapter."""
    effects = harness.send_request("chat", HOT, request_id="stalled")
    (run,) = find_runs(effects)
    harness.now += 0.6
    return [*effects, *harness.deliver(RunStalled(run.run_id, 0, 0.6))]


def refuse_by_other(harness):
    """Let the other server refuse a request without a pause."""
    effects = harness.send_request("chat", HOT, request_id="retry")
    (run,) = find_runs(effects)
    return [*effects, *harness.deliver(RunRefused(run.run_id, 503, "full", None))]


ACTIONS = [
    ("new-requests", ["w1"], send_new_requests),
    ("new-requests-while-another-server-is-there", ["w1", "w2"], send_new_requests),
    ("load-orders-and-state-reads", ["w1"], demand_load),
    ("stalled-run-that-could-move", ["w1", "w2"], stall_other_run),
    ("retry-after-a-refusal-by-another-server", ["w1", "w2"], refuse_by_other),
]


@pytest.mark.parametrize(("names", "act"), [a[1:] for a in ACTIONS], ids=[a[0] for a in ACTIONS])
def test_nothing_is_sent_in_a_pause(names, act):
    servers = [make_server(name, "llm") for name in names]
    harness = make_harness(servers=servers, rights=own_rights(names))
    if "w2" in names:
        harness.gateway.health.open_run("w2", harness.now)  # so that w1 is selected first
    harness.send_request("chat", HOT)
    (run,) = harness.find(StartFleetRun)
    assert run.server.name == "w1"
    effects = harness.deliver(refuse(run, 2.0))
    end = harness.now + 2.0
    effects += act(harness)
    effects += harness.pass_time(end - harness.now - 0.01)
    sent = (StartFleetRun, ServerOrder, FetchEngineState)
    assert [e for e in effects if isinstance(e, sent) and e.server.name == "w1"] == []
    assert [e for e in effects if isinstance(e, CancelFleetRun)] == []


def refuse_order(harness, effect):
    return ServerOrderResult(effect, 503, "", PauseRequest("2", 2.0))


def refuse_read(harness, effect):
    return EngineStateResult(effect.server.name, None, "HTTP 503", PauseRequest("2", 2.0))


CALLS = [
    ("order-that-is-turned-away", ServerOrder, refuse_order),
    ("state-read-that-is-turned-away", FetchEngineState, refuse_read),
]


@pytest.mark.parametrize(("kind", "build"), [c[1:] for c in CALLS], ids=[c[0] for c in CALLS])
def test_pause_in_the_answer_to_an_order_or_state_read_is_kept(kind, build):
    harness = make_harness(servers=[make_server("w1", "llm")], rights=own_rights(["w1"]))
    effects = harness.pass_time(0.2)
    if kind is ServerOrder:
        state = EngineState(0, ["m0"], {HOT: 1}, {}, False)
        harness.deliver(EngineStateResult("w1", state, ""))
        effects = harness.send_request("chat", COLD)
    (call,) = [e for e in effects if isinstance(e, kind)]
    effects = harness.deliver(build(harness, call))
    effects += harness.send_request("chat", HOT, request_id="r2")
    effects += harness.pass_time(1.9)
    sent = (StartFleetRun, ServerOrder, FetchEngineState)
    assert [e for e in effects if isinstance(e, sent)] == []
    assert harness.gateway.pauses.is_paused(call.server, harness.now)


def suspect(harness, name):
    harness.gateway.health.record_outcome(name, "unreachable", harness.now, Outbox())


def drain(harness, name):
    harness.write_entry(f"servers/{name}", make_server(name, "ledger", draining=True))


def spend_retry_budget(harness, name):
    budget = harness.gateway.relays.retry_budget
    budget.settings.retry_extra = 0
    while budget.try_acquire("ledger", 1, harness.now):
        pass


COMBINATIONS = [
    ("suspected-server-takes-what-cannot-wait", 10.0, [(suspect, "l2")], "l2", False),
    ("request-waits-rather-than-for-a-suspected-server", 0.3, [(suspect, "l2")], "l1", False),
    ("paused-server-is-suspected-too", 0.3, [(suspect, "l1"), (drain, "l2")], "l1", False),
    ("leaving-server-does-not-take-it", 10.0, [(drain, "l2")], "", True),
    ("pause-of-a-leaving-server-refuses-nobody", 10.0, [(drain, "l1")], "l2", False),
    (
        "server-that-leaves-in-its-pause-gets-nothing",
        0.3,
        [(drain, "l1"), (drain, "l2")],
        "",
        True,
    ),
    ("no-retry-without-budget", 0.3, [(drain, "l2"), (spend_retry_budget, "")], "", False),
]


@pytest.mark.parametrize(
    ("pause_s", "steps", "server", "is_refused_at_once"),
    [c[1:] for c in COMBINATIONS],
    ids=[c[0] for c in COMBINATIONS],
)
def test_pause_together_with_suspicion_drain_and_retry_budget(
    pause_s, steps, server, is_refused_at_once
):
    """The table "which goes first" of docs/platform.md."""
    harness = make_harness(servers=LEDGERS)
    harness.gateway.health.open_run("l2", harness.now)  # so that l1 is selected first
    harness.send_request("read")
    (run,) = harness.find(StartFleetRun)
    for step, name in steps:
        step(harness, name)
    effects = harness.deliver(refuse(run, pause_s))
    assert bool(harness.find(RefuseRequest)) is is_refused_at_once
    effects += harness.pass_time(1.0)
    assert [run.server.name for run in find_runs(effects)] == ([server] if server else [])


WEIGHED = [
    ("short-pause-is-awaited", 0.4, None),
    ("long-pause-is-worth-a-load-elsewhere", 2.0, "w2"),
    ("pause-beyond-the-deadline-needs-a-load", 20.0, "w2"),
]


@pytest.mark.parametrize(
    ("pause_s", "loaded_on"), [w[1:] for w in WEIGHED], ids=[w[0] for w in WEIGHED]
)
def test_pause_is_weighed_against_a_load_elsewhere(pause_s, loaded_on):
    """Each short pause moved adapters, or requests waited for a long one in vain."""
    servers = [make_server("w1", "llm"), make_server("w2", "llm", adapters=())]
    harness = make_harness(servers=servers, rights=own_rights())
    harness.pass_time(0.2)
    for server in servers:
        state = EngineState(0, ["m0"], dict(server.adapters), {}, False)
        harness.deliver(EngineStateResult(server.name, state, ""))
    effects = harness.send_request("chat", HOT)
    (run,) = find_runs(effects)
    effects = harness.deliver(refuse(run, pause_s))
    effects += harness.pass_time(0.3)
    orders = [e.server.name for e in effects if isinstance(e, ServerOrder) and e.is_load]
    assert orders == ([loaded_on] if loaded_on else [])


SECOND_ANSWERS = [
    ("longer-answer-extends-the-pause", 2.0, 1.0, 3.0, 4.0),
    ("shorter-answer-does-not-end-it-sooner", 2.0, 0.5, 0.2, 2.0),
    ("answer-after-the-end-begins-another", 0.5, 1.0, 2.0, 3.0),
    ("unusable-answer-changes-nothing", 2.0, 0.5, None, 2.0),
    ("zero-does-not-end-it", 2.0, 0.5, 0.0, 2.0),
    ("huge-answer-is-bounded", 2.0, 0.5, 1e30, 0.5 + MAX_PAUSE_S),
]


@pytest.mark.parametrize(
    ("first_s", "after_s", "second_s", "end_s"),
    [s[1:] for s in SECOND_ANSWERS],
    ids=[s[0] for s in SECOND_ANSWERS],
)
def test_later_end_of_two_answers_holds(first_s, after_s, second_s, end_s):
    harness = make_harness(servers=LEDGERS[:1])
    runs = []
    for name in ("a", "b"):
        runs += find_runs(harness.send_request("read", request_id=name))
    start = harness.now
    harness.deliver(refuse(runs[0], first_s))
    harness.pass_time(after_s)
    harness.deliver(refuse(runs[1], second_s))
    pauses, entry = harness.gateway.pauses, runs[0].server
    assert pauses.is_paused(entry, start + end_s - 0.01)
    assert not pauses.is_paused(entry, start + end_s + 0.05)


def write_entry(harness, entry):
    harness.write_entry(f"servers/{entry.name}", entry)


def read_snapshot(harness, entry):
    """Pass a snapshot that is newer in this entry alone."""
    harness.deliver(StoreSnapshot([EntryUpdated(f"servers/{entry.name}", entry, 99)], 0))


ENTRIES = [
    ("restart-ends-the-pause", 2, write_entry, True, 1.5),
    ("restart-that-a-snapshot-shows", 2, read_snapshot, True, 1.5),
    ("entry-of-the-same-start-does-not", 1, write_entry, False, 1.5),
    ("snapshot-of-the-same-start-does-not", 1, read_snapshot, False, 1.5),
    ("new-start-may-have-asked-for-it", 2, write_entry, False, 0.4),
    ("new-start-in-a-snapshot-may-have-asked", 2, read_snapshot, False, 0.4),
]


@pytest.mark.parametrize(
    ("started_at_ms", "pass_entry", "is_sent", "after_s"),
    [e[1:] for e in ENTRIES],
    ids=[e[0] for e in ENTRIES],
)
def test_only_a_restart_ends_a_pause_early(started_at_ms, pass_entry, is_sent, after_s):
    """A server that asked for a pause before its new entry was read got requests in it."""
    harness, _ = make_paused(10.0, LEDGERS[:1])
    harness.pass_time(after_s)
    harness.renew()  # so that the entry is known to be that of the former start until now
    pass_entry(harness, make_server("l1", "ledger", started_at_ms=started_at_ms))
    harness.send_request("read", request_id="r2")
    assert bool(harness.find(StartFleetRun)) is is_sent
    assert bool(harness.find(RefuseRequest)) is not is_sent


def test_refusal_of_an_earlier_start_is_no_pause_of_the_new_one():
    """A late refusal took a restarted server away, or ended the pause of its new start."""
    harness = make_harness(servers=LEDGERS[:1])
    runs = [find_runs(harness.send_request("read", request_id=n))[0] for n in ("a", "b")]
    restarted = make_server("l1", "ledger", started_at_ms=2)
    write_entry(harness, restarted)
    harness.deliver(refuse(runs[0], 9.0))
    harness.send_request("read", request_id="c")
    (run,) = harness.find(StartFleetRun)
    harness.deliver(refuse(run, 9.0))
    harness.deliver(refuse(runs[1], 1.0))
    assert harness.gateway.pauses.is_paused(restarted, harness.now + 8.0)


def test_runs_in_flight_are_unaffected_by_a_pause():
    """A run that had begun before the pause was cancelled, or its answer was lost."""
    harness = make_harness(servers=[make_server("w1", "llm")])
    runs = [find_runs(harness.send_request("chat", HOT, request_id=n))[0] for n in ("a", "b")]
    harness.deliver(RunStarted(runs[0].run_id, None))
    harness.deliver(refuse(runs[1], 3.0))
    assert harness.find(CancelFleetRun) == []
    harness.pass_time(0.5)
    harness.deliver(RunCompleted(runs[0].run_id, 200, None))
    (line,) = [e for e in harness.find(LogEvent) if e.name == "request_served"]
    assert line.request_id == "a"


def test_server_that_pauses_each_time_is_not_tried_again():
    """A server that asks for a moment each time used up the retry budget with one request."""
    harness, run = make_paused(0.05, LEDGERS[:1])
    sends = 1
    for _ in range(20):
        runs = find_runs(harness.pass_time(0.1))
        sends += len(runs)
        for run in runs:
            harness.deliver(refuse(run, 0.05))
    assert sends == 2


WAITING = [
    ("requests-are-spread", None, 12, 0.2, 6),
    ("rate-limit-goes-first", 2.0, 12, 1.0, 3),
]


@pytest.mark.parametrize(
    ("limit", "count", "window_s", "most"), [w[1:] for w in WAITING], ids=[w[0] for w in WAITING]
)
def test_end_of_a_pause_is_no_burst(limit, count, window_s, most):
    harness, _ = make_paused(0.4, [make_server("w1", "llm")], "draft", HOT)
    if limit is not None:
        harness.gateway.limits.observe("w1", limit, harness.now)
    for number in range(count):
        route = "draft" if number % 2 else "chat"
        harness.send_request(route, HOT, request_id=f"n{number}")
        assert harness.find(StartFleetRun) == []
    harness.pass_time(0.4)
    early = find_runs(harness.pass_time(window_s))
    assert 1 <= len(early) <= most
    priorities = [run.priority for run in early + find_runs(harness.pass_time(1.5))]
    urgent = [p for p in priorities if p == min(priorities)]
    assert priorities[: len(urgent)] == urgent  # most urgent ones first


def test_rate_that_a_server_names_decides_who_waits_for_the_end_of_its_pause():
    """Requests were sent without a token, or waited for one that could not come in time."""
    harness, _ = make_paused(0.4, [make_server("w1", "llm")], "draft", HOT)
    harness.gateway.limits.observe("w1", 1.0, harness.now)
    refused = 0
    for number in range(12):
        harness.send_request("chat", HOT, request_id=f"n{number}")
        refused += len(harness.find(RefuseRequest))
    assert refused >= 9  # one token in a second, and requests wait for up to 2.5 s
    assert find_runs(harness.pass_time(0.95)) == []
    assert len(find_runs(harness.pass_time(0.2))) == 1


def test_refused_callers_return_after_the_pause_most_urgent_ones_first():
    """All callers came back at the end of the pause, the least urgent ones among them first."""
    harness, _ = make_paused(4.0, [make_server("w1", "llm")], "chat", HOT)
    times = {"chat": [], "draft": []}
    for number in range(40):
        route = "draft" if number % 2 else "chat"
        harness.send_request(route, HOT, request_id=f"n{number}")
        (refusal,) = harness.find(RefuseRequest)
        times[route].append(refusal.retry_after_s)
    assert min(times["chat"]) >= 4.0
    assert max(times["chat"]) <= min(times["draft"])
    for route in times:
        assert max(times[route]) - min(times[route]) >= 0.6 * PRIORITY_BAND_S


def find_events(effects, name):
    return [e for e in effects if isinstance(e, LogEvent) and e.name == name]


def test_pause_is_logged_once_with_its_cause_and_its_end():
    """Twenty refusals in a pause wrote twenty lines, and none said when it ended."""
    harness = make_harness(servers=LEDGERS[:1])
    runs = []
    for number in range(5):
        runs += find_runs(harness.send_request("read", request_id=f"n{number}"))
    effects = []
    for run in runs:
        effects += harness.deliver(refuse(run, 3.0, "3"))
    effects += harness.pass_time(3.5)
    (begin,) = find_events(effects, "server_paused")
    (end,) = find_events(effects, "server_pause_ended")
    for text in ("server=l1", "request=n0", "value=3 ", "source=503 to a run"):
        assert text in begin.detail
    for text in ("server=l1", "request=n", "value=3 ", "answers=5"):
        assert text in end.detail


TURNS = [
    ("one-server", [["w0"]], 2.0, 0.0, ""),
    ("servers-in-turn", [["w0"], ["w1"], ["w2"]], 2.0, 0.0, ""),
    ("thirds-in-turn", [["w0", "w1", "w2"], ["w3", "w4", "w5"], ["w6", "w7", "w8"]], 2.0, 0.0, ""),
    ("most-of-the-service", [[f"w{i}" for i in range(8)]], 1.5, 1.5, ""),
    ("whole-service", [[f"w{i}" for i in range(9)]], 1.5, 1.5, ""),
    ("short-pauses", [["w0"], ["w1"], ["w2"]], 0.2, 0.1, ""),
    ("nonsense", [["w0", "w1", "w2"]], 2.0, 1.0, "soon"),
    ("longer-than-stated", [["w0", "w1", "w2"]], 4.0, 1.0, "1.5"),
]


BURST_S = 0.25
# A quarter of the places, and one request of each gateway that may come at once.
MAX_BURST = SLOTS * BURST_S + 4


def play(turns, pause_s, gap_s, value, seed, **options):
    """Return a fleet after 14 s in which servers pause in turn."""
    fleet = PausingFleet(seed, **options)
    start = fleet.now
    fleet.schedule_requests(start + 0.5, start + 14, 30.0, 60.0)
    fleet.schedule_turns(turns, start + 3, start + 12, pause_s, gap_s, value)
    fleet.run_until(start + 20)
    return fleet


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("turns", "pause_s", "gap_s", "value"), [t[1:] for t in TURNS], ids=[t[0] for t in TURNS]
)
def test_pauses_are_kept_and_requests_end(turns, pause_s, gap_s, value, seed):
    fleet = play(turns, pause_s, gap_s, value, seed)
    assert fleet.count_excess()[0] <= ALLOWED_ARRIVALS
    assert fleet.find_largest_burst(BURST_S) <= MAX_BURST
    assert all(not gateway.relays.open_count() for gateway in fleet.gateways.values())
    assert all(not gateway.pauses.waiting for gateway in fleet.gateways.values())
