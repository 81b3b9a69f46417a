"""Metrics page of a gateway.

Guards against requests or events that are missing from the counters or counted twice, and against
label values without a limit.
"""

import pytest

from medlarbeam.classes.fleet import RouteKind
from medlarbeam.classes.gateway_effects import RecordRequestMetrics
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    RunCompleted,
    RunInterrupted,
    RunStarted,
)
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, own_rights
from medlarbeam.platform.metrics import GatewayMetrics

STREAM = RouteKind.STREAM
METRIC_LINES = [
    (
        "request-is-counted-by-outcome",
        RecordRequestMetrics(STREAM, 0, "served", 0.2, 0.1, 1),
        'medlarbeam_gateway_answers_total{kind="stream",outcome="served",priority="0"} 1',
    ),
    (
        "wait-is-recorded-without-a-response",
        RecordRequestMetrics(STREAM, 2, "no_server", None, 1.5, 0),
        'medlarbeam_gateway_wait_seconds_bucket{kind="stream",le="2.0",priority="2"} 1',
    ),
    (
        "retries-are-counted",
        RecordRequestMetrics(RouteKind.IDEMPOTENT, 1, "served", 0.2, 0.1, 3),
        'medlarbeam_gateway_repeats_total{kind="idempotent",priority="1"} 2',
    ),
    (
        "pause-of-a-stream-is-recorded",
        RecordRequestMetrics(STREAM, 0, "served", 0.2, 0.1, 1, 0.35),
        'medlarbeam_gateway_longest_pause_seconds_bucket{kind="stream",le="0.4",priority="0"} 1',
    ),
    (
        "tokens-are-counted-by-organisation",
        RecordRequestMetrics(STREAM, 0, "served", 0.2, 0.1, 1, None, "acme", 700),
        'medlarbeam_gateway_organisation_tokens_total{organisation="acme",outcome="served"} 700',
    ),
    (
        "priority-label-is-limited",
        RecordRequestMetrics(STREAM, 70_000, "left", None, 0.0, 0),
        'medlarbeam_gateway_answers_total{kind="stream",outcome="left",priority="9"} 1',
    ),
]


@pytest.mark.parametrize(
    ("measured", "line"), [p[1:] for p in METRIC_LINES], ids=[p[0] for p in METRIC_LINES]
)
def test_page_counts_requests(measured, line):
    metrics = GatewayMetrics()
    metrics.count_request(measured)
    body, _ = metrics.render({"open_requests": 3}, ["text/plain"])
    assert line in body.decode()
    assert "medlarbeam_gateway_open_requests 3" in body.decode()


def test_event_is_counted_once_after_repeated_rendering():
    metrics = GatewayMetrics()
    metrics.count_event("ready")
    metrics.render({}, ["text/plain"])
    metrics.count_event("ready")
    body, _ = metrics.render({}, ["text/plain"])
    assert 'medlarbeam_gateway_events_total{event="ready"} 2' in body.decode()


def test_page_has_all_gauges_of_the_gateway():
    measured = make_harness(rights=own_rights()).gateway.measure(100.0)
    of_process = {"log_lines_dropped", "caller_bytes", "closed_callers"}
    assert set(measured) == set(GatewayMetrics().gauges) - of_process


OUTCOMES = [
    (
        "served",
        [lambda r: RunStarted(r, None), lambda r: RunCompleted(r, 200, None)],
        "served",
        True,
    ),
    ("left", [lambda r: CallerDisconnected("r1")], "left", False),
    ("interrupted", [lambda r: RunInterrupted(r, "reset", 0, False)], "server_lost", False),
    (
        "cut-after-the-start",
        [lambda r: RunStarted(r, None), lambda r: RunInterrupted(r, "reset", 3, True)],
        "cut",
        True,
    ),
]


@pytest.mark.parametrize(
    ("results", "outcome", "has_started"), [e[1:] for e in OUTCOMES], ids=[e[0] for e in OUTCOMES]
)
def test_each_request_is_measured_once(results, outcome, has_started):
    harness = make_harness(rights=own_rights())
    run = next(e for e in harness.send_request("draft", HOT) if hasattr(e, "first_event_timeout_s"))
    measured = []
    for build in results:
        harness.deliver(build(run.run_id))
        measured += harness.find(RecordRequestMetrics)
    (measure,) = measured
    assert measure.outcome == outcome
    assert (measure.first_response_s is not None) is has_started
