"""A planned stop takes no request that it cannot finish, and ends those that are open truthfully.

Guards against requests that are passed on late in the grace period and cut at its end.
"""

import pytest

from medlarbeam.classes.effects import Exit
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    CancelFleetRun,
    CloseIdleConnections,
    RefuseRequest,
    StartFleetRun,
    StopListening,
)
from medlarbeam.classes.gateway_messages import CallerConnections, RunInterrupted, RunStarted
from medlarbeam.classes.messages import Shutdown
from medlarbeam.exceptions import ErrorKind, RunState
from medlarbeam.gateway.tests.fleet_samples import (
    HOT,
    SERVERS,
    make_harness,
    make_server,
    own_rights,
)

GRACE_S = 8.0  # of `make_settings`; the routes have a timeout of 5 s

ARRIVALS = [
    ("before-the-stop", None, 5.0, True),
    ("while-the-load-balancer-still-sends-connections", 2.5, 5.0, True),
    ("late-and-done-before-the-end-of-the-grace", 3.5, 2.0, True),
    ("late-with-a-deadline-beyond-the-grace", 3.5, 5.0, False),
    ("late-with-a-timeout-of-the-route-beyond-the-grace", 3.5, 60.0, False),
    ("at-the-end-of-the-grace", 7.2, 0.5, False),
]


@pytest.mark.parametrize("route", ["read", "pay"])
@pytest.mark.parametrize(
    ("arrives_s", "wait_s", "is_sent"), [a[1:] for a in ARRIVALS], ids=[a[0] for a in ARRIVALS]
)
def test_request_is_taken_only_if_it_can_end_before_the_exit(route, arrives_s, wait_s, is_sent):
    harness = make_harness()
    if arrives_s is not None:
        harness.deliver(Shutdown())
        harness.pass_time(arrives_s)
    harness.send_request(route, wait_s=wait_s)
    assert bool(harness.find(StartFleetRun)) is is_sent
    refusals = harness.find(RefuseRequest)
    assert [(r.failure.kind, r.failure.run_state) for r in refusals] == (
        [] if is_sent else [(ErrorKind.SHUTTING_DOWN, RunState.NOT_RUN)]
    )
    assert harness.gateway.relays.open_count() == int(is_sent)


def let_wait(harness):
    """Send a request for which there is no server."""
    harness.send_request("pay", wait_s=60.0)


def let_run(harness):
    """Send a request that stays at its server."""
    harness.send_request("pay", wait_s=60.0)
    assert harness.find(StartFleetRun)


def lose_run(harness):
    """Send a request whose first run is lost, and which then finds no other server."""
    harness.send_request("read", wait_s=60.0)
    (run,) = harness.find(StartFleetRun)
    harness.deliver(RunInterrupted(run.run_id, "reset", 0, False))


def let_stream(harness):
    """Send a request whose caller has received a part of the stream."""
    harness.send_request("draft", HOT, wait_s=60.0)
    (run,) = harness.find(StartFleetRun)
    harness.deliver(RunStarted(run.run_id, None))


ONE_SERVER = [make_server("l1", "ledger")]
OPEN_REQUESTS = [
    ("waiting-request-has-not-run", [], let_wait, RunState.NOT_RUN, False, 0),
    ("running-request-may-have-run", SERVERS, let_run, RunState.MAY_HAVE_RUN, True, 0),
    ("request-with-a-lost-run-may-have-run", ONE_SERVER, lose_run, RunState.MAY_HAVE_RUN, False, 0),
    ("stream-that-has-begun-is-broken-off", SERVERS, let_stream, None, True, 1),
]


@pytest.mark.parametrize(
    ("servers", "send", "run_state", "is_cancelled", "aborts"),
    [o[1:] for o in OPEN_REQUESTS],
    ids=[o[0] for o in OPEN_REQUESTS],
)
def test_open_request_gets_a_final_response_before_the_exit(
    servers, send, run_state, is_cancelled, aborts
):
    harness = make_harness(servers=servers, rights=own_rights())
    harness.deliver(Shutdown())
    send(harness)
    harness.gateway.lifecycle.leaving_at -= 6.9  # so that the request is open when the grace ends
    effects = harness.pass_time(0.25)
    refusals = [e for e in effects if isinstance(e, RefuseRequest)]
    assert [r.failure.run_state for r in refusals] == ([run_state] if run_state else [])
    assert any(isinstance(e, CancelFleetRun) for e in effects) is is_cancelled
    assert sum(isinstance(e, AbortResponse) for e in effects) == aborts
    assert not any(isinstance(e, Exit) for e in effects)  # the responses have to be written


CONNECTIONS = [
    ("no-connection", [0], 2.6, 3.0),
    ("connection-with-an-arriving-request", [1, 1, 0], 2.8, 3.2),
    ("connection-that-never-ends", [1] * 100, 7.2, GRACE_S - 0.5),
]


@pytest.mark.parametrize(
    ("counts", "earliest_s", "latest_s"),
    [c[1:] for c in CONNECTIONS],
    ids=[c[0] for c in CONNECTIONS],
)
def test_process_exits_when_no_connection_is_open(counts, earliest_s, latest_s):
    harness = make_harness()
    harness.deliver(Shutdown())
    started_at = harness.now
    counts = list(counts)
    effects = []
    while not any(isinstance(e, Exit) for e in effects):
        step = harness.pass_time(0.05)
        effects += step
        if any(isinstance(e, CloseIdleConnections) for e in step) and counts:
            harness.deliver(CallerConnections(counts.pop(0)))
        assert harness.now - started_at < GRACE_S
    assert sum(isinstance(e, StopListening) for e in effects) == 1
    assert earliest_s <= harness.now - started_at <= latest_s
