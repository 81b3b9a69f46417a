"""Each result of a run leads to the right retry, response or failure for the caller."""

import pytest

from medlarbeam.classes.gateway_effects import (
    CutAnswer,
    PassAnswer,
    RefuseRequest,
    StartFleetRun,
    StopFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    CallerLeft,
    RunAnswered,
    RunBroken,
    RunEnded,
    RunRefused,
    RunStalled,
    RunStarted,
)
from medlarbeam.exceptions import RunState
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    GatewayHarness,
    make_driven,
    make_server,
    own_rights,
)

REFUSED = [lambda run: RunRefused(run, 503, "full", None)]
UNSENT = [lambda run: RunRefused(run, 0, "no connection", None)]
BROKEN = [lambda run: RunBroken(run, "reset", 0, False)]
ERROR = [lambda run: RunAnswered(run, 500, None)]
STARTED = [lambda run: RunStarted(run, None)]
BROKEN_AFTER_START = [*STARTED, lambda run: RunBroken(run, "reset", 3, True)]
LEFT = [lambda run: CallerLeft("r1")]

RESULTS = [
    ("refused-idempotent-request-is-retried", "read", REFUSED, StartFleetRun),
    ("broken-idempotent-request-is-retried", "read", BROKEN, StartFleetRun),
    ("idempotent-request-with-an-error-is-retried", "read", ERROR, StartFleetRun),
    ("refused-payment-is-retried", "pay", REFUSED, StartFleetRun),
    ("unsent-payment-is-retried", "pay", UNSENT, StartFleetRun),
    ("broken-payment-is-not-retried", "pay", BROKEN, RefuseRequest),
    ("error-of-a-payment-is-passed-to-the-caller", "pay", ERROR, PassAnswer),
    ("resumable-stream-is-resumed-on-another-server", "chat", BROKEN_AFTER_START, StartFleetRun),
    ("non-resumable-stream-is-aborted", "draft", BROKEN_AFTER_START, CutAnswer),
    ("broken-non-resumable-stream-is-not-retried", "draft", BROKEN, RefuseRequest),
    ("run-is-stopped-when-its-caller-disconnects", "chat", LEFT, StopFleetRun),
    (
        "started-stream-is-stopped-when-its-caller-disconnects",
        "chat",
        [*STARTED, *LEFT],
        StopFleetRun,
    ),
]


@pytest.mark.parametrize(
    ("route", "results", "expected"), [r[1:] for r in RESULTS], ids=[r[0] for r in RESULTS]
)
def test_result_of_a_run_determines_the_next_effect(route, results, expected):
    driven = make_driven(rights=own_rights())
    driven.send(route, HOT if route in ("chat", "draft") else None)
    (first,) = driven.find(StartFleetRun)
    for build in results:
        driven.give(build(first.run_id))
    (effect,) = driven.find(expected)
    if expected is StartFleetRun:
        assert effect.server.name != first.server.name
    if expected is RefuseRequest:
        assert effect.failure.run_state is RunState.MAY_HAVE_RUN


ATTEMPTS = [
    ("idempotent-request-broken-on-each-server", "read", 2),
    ("resumable-stream-broken-on-each-server", "chat", 2),
]


@pytest.mark.parametrize(
    ("route", "limit"), [a[1:] for a in ATTEMPTS], ids=[a[0] for a in ATTEMPTS]
)
def test_attempt_limit_of_the_route_is_not_exceeded(route, limit):
    servers = [make_server(f"s{i}", "llm" if route == "chat" else "ledger") for i in range(5)]
    driven = make_driven(servers=servers)
    driven.send(route, HOT if route == "chat" else None)
    runs = driven.find(StartFleetRun)
    while driven.find(StartFleetRun):
        run = driven.find(StartFleetRun)[0]
        driven.give(RunBroken(run.run_id, "reset", 0, False))
        runs += driven.find(StartFleetRun)
    assert len(runs) == limit
    assert driven.find(RefuseRequest)[0].failure.run_state is RunState.MAY_HAVE_RUN


DEADLINES = [
    ("request-without-a-server-is-refused-as-not-run", "read", [], RunState.NOT_RUN, True),
    (
        "unresponsive-server-fails-the-request-at-the-timeout",
        "read",
        ["l1"],
        RunState.MAY_HAVE_RUN,
        False,
    ),
    ("payment-at-an-unresponsive-server-may-have-run", "pay", ["l1"], RunState.MAY_HAVE_RUN, False),
]


@pytest.mark.parametrize(
    ("route", "names", "run_state", "may_retry"),
    [d[1:] for d in DEADLINES],
    ids=[d[0] for d in DEADLINES],
)
def test_request_gets_a_final_response_by_its_deadline(route, names, run_state, may_retry):
    driven = make_driven(servers=[make_server(name, "ledger") for name in names])
    driven.send(route)
    driven.pass_time(5.5)
    (answer,) = driven.find(RefuseRequest)
    assert answer.failure.run_state is run_state
    assert bool(answer.retry_after_s) is may_retry
    assert driven.gateway.relays.open_count() == 0


def send_twice(driven, status):
    """Break a stream, resume it, and end the second run with `status`."""
    driven.send("chat", HOT)
    run = driven.find(StartFleetRun)[0].run_id
    driven.give(RunStarted(run, None))
    driven.give(RunBroken(run, "reset", 3, True))
    second = driven.find(StartFleetRun)[0].run_id
    message = RunEnded(second, 200, None) if status == 200 else RunAnswered(second, status, None)
    driven.give(message)


SECOND_RUNS = [
    ("resumed-stream-completes", 200, 0),
    ("error-after-a-partial-stream-aborts-the-response", 500, 1),
]


@pytest.mark.parametrize(
    ("status", "cuts"), [s[1:] for s in SECOND_RUNS], ids=[s[0] for s in SECOND_RUNS]
)
def test_end_of_a_resumed_stream(status, cuts):
    driven = make_driven(rights=own_rights())
    send_twice(driven, status)
    assert len(driven.find(CutAnswer)) == cuts
    assert driven.find(PassAnswer) == []
    assert driven.gateway.relays.open_count() == 0


UNROUTED = [
    ("missing-configuration-is-not-a-404", GatewayHarness, "/read/x", RunState.NOT_RUN, 503),
    ("unknown-path-is-a-404", make_driven, "/none/x", RunState.NOT_RUN, 404),
]


@pytest.mark.parametrize(
    ("build", "path", "run_state", "status"),
    [u[1:] for u in UNROUTED],
    ids=[u[0] for u in UNROUTED],
)
def test_request_without_a_route(build, path, run_state, status):
    from medlarbeam.exceptions import ANSWERS

    driven = build()
    driven.send(path.strip("/x").strip("/") or "none")
    (answer,) = driven.find(RefuseRequest)
    assert answer.failure.run_state is run_state
    assert ANSWERS[answer.failure.kind].status == status


def make_stalled(run, quiet_s=0.6):
    return RunStalled(run, 0, quiet_s)


STALLS = [
    ("stalled-run-moves-to-a-server-with-the-adapter", "chat", [HOT], False, True),
    ("stalled-run-of-a-busy-server-stays-if-a-load-is-needed", "chat", [COLD], True, False),
    ("stalled-run-of-an-unresponsive-server-moves-for-a-load", "chat", [COLD], False, True),
    ("stalled-run-that-must-not-be-retried-stays", "draft", [HOT], False, False),
]


@pytest.mark.parametrize(
    ("route", "held", "has_responded", "is_moved"),
    [s[1:] for s in STALLS],
    ids=[s[0] for s in STALLS],
)
def test_stalled_run_moves_only_where_it_helps(route, held, has_responded, is_moved):
    servers = [make_server("w1", "llm"), make_server("w2", "llm", adapters=held)]
    driven = make_driven(servers=servers, rights=own_rights())
    driven.gateway.health.open_run("w2", driven.now)  # so that w1 is selected first
    driven.send(route, HOT)
    (run,) = driven.find(StartFleetRun)
    assert run.server.name == "w1"
    if has_responded:
        driven.gateway.health.record_response("w1", driven.now + 0.1)
    driven.now += 0.6
    driven.give(make_stalled(run.run_id))
    assert bool(driven.find(StopFleetRun)) is is_moved
    if not is_moved:
        driven.give(RunStarted(run.run_id, None))
        driven.give(RunEnded(run.run_id, 200, None))
    else:
        driven.give(RunEnded(run.run_id, 200, None))  # late message of a stopped run, ignored
        assert driven.gateway.relays.open_count() == 1


def test_stalled_run_continues_while_the_retry_budget_is_empty():
    """Stopping the run gave a 502 to a caller that would have been served by its deadline."""
    driven = make_driven(rights=own_rights())
    driven.gateway.relays.retry_budget.settings.retry_extra = 0
    driven.send("chat", HOT)
    (run,) = driven.find(StartFleetRun)
    while driven.gateway.relays.retry_budget.take("llm", 1, driven.now):
        pass
    driven.now += 0.6
    driven.give(make_stalled(run.run_id))
    assert driven.find(StopFleetRun) == driven.find(RefuseRequest) == []
    assert driven.gateway.relays.open_count() == 1
