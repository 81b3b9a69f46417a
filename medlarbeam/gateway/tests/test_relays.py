"""Each result of a run leads to the right retry, response or failure for the caller."""

import pytest

from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    CancelFleetRun,
    PassErrorResponse,
    RefuseRequest,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStalled,
    RunStarted,
)
from medlarbeam.exceptions import RunState
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    GatewayHarness,
    make_harness,
    make_server,
    own_rights,
)

REFUSED = [lambda run: RunRefused(run, 503, "full", None)]
UNSENT = [lambda run: RunRefused(run, 0, "no connection", None)]
INTERRUPTED = [lambda run: RunInterrupted(run, "reset", 0, False)]
ERROR = [lambda run: RunErrorResponse(run, 500, None)]
STARTED = [lambda run: RunStarted(run, None)]
INTERRUPTED_AFTER_START = [*STARTED, lambda run: RunInterrupted(run, "reset", 3, True)]
DISCONNECTED = [lambda run: CallerDisconnected("r1")]

RESULTS = [
    ("refused-idempotent-request-is-retried", "read", REFUSED, StartFleetRun),
    ("interrupted-idempotent-request-is-retried", "read", INTERRUPTED, StartFleetRun),
    ("idempotent-request-with-an-error-is-retried", "read", ERROR, StartFleetRun),
    ("refused-payment-is-retried", "pay", REFUSED, StartFleetRun),
    ("unsent-payment-is-retried", "pay", UNSENT, StartFleetRun),
    ("interrupted-payment-is-not-retried", "pay", INTERRUPTED, RefuseRequest),
    ("error-of-a-payment-is-passed-to-the-caller", "pay", ERROR, PassErrorResponse),
    (
        "resumable-stream-is-resumed-on-another-server",
        "chat",
        INTERRUPTED_AFTER_START,
        StartFleetRun,
    ),
    ("non-resumable-stream-is-aborted", "draft", INTERRUPTED_AFTER_START, AbortResponse),
    ("interrupted-non-resumable-stream-is-not-retried", "draft", INTERRUPTED, RefuseRequest),
    ("run-is-cancelled-when-its-caller-disconnects", "chat", DISCONNECTED, CancelFleetRun),
    (
        "started-stream-is-cancelled-when-its-caller-disconnects",
        "chat",
        [*STARTED, *DISCONNECTED],
        CancelFleetRun,
    ),
]


@pytest.mark.parametrize(
    ("route", "results", "expected"), [r[1:] for r in RESULTS], ids=[r[0] for r in RESULTS]
)
def test_result_of_a_run_determines_the_next_effect(route, results, expected):
    harness = make_harness(rights=own_rights())
    harness.send_request(route, HOT if route in ("chat", "draft") else None)
    (first,) = harness.find(StartFleetRun)
    for build in results:
        harness.deliver(build(first.run_id))
    (effect,) = harness.find(expected)
    if expected is StartFleetRun:
        assert effect.server.name != first.server.name
    if expected is RefuseRequest:
        assert effect.failure.run_state is RunState.MAY_HAVE_RUN


ATTEMPTS = [
    ("idempotent-request-interrupted-on-each-server", "read", 2),
    ("resumable-stream-interrupted-on-each-server", "chat", 2),
]


@pytest.mark.parametrize(
    ("route", "limit"), [a[1:] for a in ATTEMPTS], ids=[a[0] for a in ATTEMPTS]
)
def test_attempt_limit_of_the_route_is_not_exceeded(route, limit):
    servers = [make_server(f"s{i}", "llm" if route == "chat" else "ledger") for i in range(5)]
    harness = make_harness(servers=servers)
    harness.send_request(route, HOT if route == "chat" else None)
    runs = harness.find(StartFleetRun)
    while harness.find(StartFleetRun):
        run = harness.find(StartFleetRun)[0]
        harness.deliver(RunInterrupted(run.run_id, "reset", 0, False))
        runs += harness.find(StartFleetRun)
    assert len(runs) == limit
    assert harness.find(RefuseRequest)[0].failure.run_state is RunState.MAY_HAVE_RUN


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
    harness = make_harness(servers=[make_server(name, "ledger") for name in names])
    harness.send_request(route)
    harness.pass_time(5.5)
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.run_state is run_state
    assert bool(refusal.retry_after_s) is may_retry
    assert harness.gateway.relays.open_count() == 0


def send_twice(harness, status):
    """Break a stream, resume it, and end the second run with `status`."""
    harness.send_request("chat", HOT)
    run = harness.find(StartFleetRun)[0].run_id
    harness.deliver(RunStarted(run, None))
    harness.deliver(RunInterrupted(run, "reset", 3, True))
    second = harness.find(StartFleetRun)[0].run_id
    message = (
        RunCompleted(second, 200, None) if status == 200 else RunErrorResponse(second, status, None)
    )
    harness.deliver(message)


SECOND_RUNS = [
    ("resumed-stream-completes", 200, 0),
    ("error-after-a-partial-stream-aborts-the-response", 500, 1),
]


@pytest.mark.parametrize(
    ("status", "aborts"), [s[1:] for s in SECOND_RUNS], ids=[s[0] for s in SECOND_RUNS]
)
def test_end_of_a_resumed_stream(status, aborts):
    harness = make_harness(rights=own_rights())
    send_twice(harness, status)
    assert len(harness.find(AbortResponse)) == aborts
    assert harness.find(PassErrorResponse) == []
    assert harness.gateway.relays.open_count() == 0


CONNECTIONS = [
    ("first-run-of-an-idempotent-request", 0, "read", False),
    ("refused-run-may-be-refused-again-by-an-old-response", 1, "read", True),
    ("payment-must-not-meet-a-closing-connection", 0, "pay", True),
]


@pytest.mark.parametrize(
    ("refusals", "route", "is_new"), [c[1:] for c in CONNECTIONS], ids=[c[0] for c in CONNECTIONS]
)
def test_connection_of_a_run(refusals, route, is_new):
    harness = make_harness(servers=[make_server("l1", "ledger")])
    harness.send_request(route)
    for _ in range(refusals):
        relay = harness.gateway.relays.open_relays["r1"]
        harness.deliver(RunRefused(relay.run_id, 503, "full", None))
        relay.excluded.clear()  # as for an adapter that is still being loaded
        harness.pass_time(0.1)
    (run,) = [e for e in harness.effects if isinstance(e, StartFleetRun)]
    assert run.needs_new_connection is is_new


UNROUTED = [
    ("missing-configuration-is-not-a-404", GatewayHarness, "/read/x", RunState.NOT_RUN, 503),
    ("unknown-path-is-a-404", make_harness, "/none/x", RunState.NOT_RUN, 404),
]


@pytest.mark.parametrize(
    ("build", "path", "run_state", "status"),
    [u[1:] for u in UNROUTED],
    ids=[u[0] for u in UNROUTED],
)
def test_request_without_a_route(build, path, run_state, status):
    from medlarbeam.exceptions import ERROR_RESPONSES

    harness = build()
    harness.send_request(path.strip("/x").strip("/") or "none")
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.run_state is run_state
    assert ERROR_RESPONSES[refusal.failure.kind].status == status


def make_stalled(run, idle_s=0.6):
    return RunStalled(run, 0, idle_s)


STALLED = [
    ("stalled-run-moves-to-a-server-with-the-adapter", "chat", [HOT], False, True),
    ("stalled-run-of-a-busy-server-stays-if-a-load-is-needed", "chat", [COLD], True, False),
    ("stalled-run-of-an-unresponsive-server-moves-for-a-load", "chat", [COLD], False, True),
    ("stalled-run-that-must-not-be-retried-stays", "draft", [HOT], False, False),
]


@pytest.mark.parametrize(
    ("route", "held", "has_responded", "is_moved"),
    [s[1:] for s in STALLED],
    ids=[s[0] for s in STALLED],
)
def test_stalled_run_moves_only_where_it_helps(route, held, has_responded, is_moved):
    servers = [make_server("w1", "llm"), make_server("w2", "llm", adapters=held)]
    harness = make_harness(servers=servers, rights=own_rights())
    harness.gateway.health.open_run("w2", harness.now)  # so that w1 is selected first
    harness.send_request(route, HOT)
    (run,) = harness.find(StartFleetRun)
    assert run.server.name == "w1"
    if has_responded:
        harness.gateway.health.record_response("w1", harness.now + 0.1)
    harness.now += 0.6
    harness.deliver(make_stalled(run.run_id))
    assert bool(harness.find(CancelFleetRun)) is is_moved
    if not is_moved:
        harness.deliver(RunStarted(run.run_id, None))
        harness.deliver(RunCompleted(run.run_id, 200, None))
    else:
        # A late message of a cancelled run is ignored.
        harness.deliver(RunCompleted(run.run_id, 200, None))
        assert harness.gateway.relays.open_count() == 1


def test_stalled_run_continues_while_the_retry_budget_is_empty():
    """Cancelling the run gave a 502 to a caller that would have been served by its deadline."""
    harness = make_harness(rights=own_rights())
    harness.gateway.relays.retry_budget.settings.retry_extra = 0
    harness.send_request("chat", HOT)
    (run,) = harness.find(StartFleetRun)
    while harness.gateway.relays.retry_budget.try_acquire("llm", 1, harness.now):
        pass
    harness.now += 0.6
    harness.deliver(make_stalled(run.run_id))
    assert harness.find(CancelFleetRun) == harness.find(RefuseRequest) == []
    assert harness.gateway.relays.open_count() == 1
