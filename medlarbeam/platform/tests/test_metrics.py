"""What the metrics page of a gateway shows."""

import pytest

from medlarbeam.classes.fleet import RouteKind
from medlarbeam.classes.gateway_effects import RequestMeasured
from medlarbeam.classes.gateway_messages import CallerLeft, RunBroken, RunEnded, RunStarted
from medlarbeam.gateway.tests.fleet_samples import HOT, make_driven, own_rights
from medlarbeam.platform.metrics import GatewayMetrics

STREAM = RouteKind.STREAM
PAGE = [
    (
        "answer-is-counted-by-outcome",
        RequestMeasured(STREAM, 0, "served", 0.2, 0.1, 1),
        'medlarbeam_gateway_answers_total{kind="stream",outcome="served",priority="0"} 1',
    ),
    (
        "wait-is-measured-without-an-answer",
        RequestMeasured(STREAM, 2, "no_server", None, 1.5, 0),
        'medlarbeam_gateway_wait_seconds_bucket{kind="stream",le="2.0",priority="2"} 1',
    ),
    (
        "repeats-are-counted",
        RequestMeasured(RouteKind.IDEMPOTENT, 1, "served", 0.2, 0.1, 3),
        'medlarbeam_gateway_repeats_total{kind="idempotent",priority="1"} 2',
    ),
    (
        "priorities-of-a-configuration-bound-the-labels",
        RequestMeasured(STREAM, 70_000, "left", None, 0.0, 0),
        'medlarbeam_gateway_answers_total{kind="stream",outcome="left",priority="9"} 1',
    ),
]


@pytest.mark.parametrize(("measured", "line"), [p[1:] for p in PAGE], ids=[p[0] for p in PAGE])
def test_page_counts_requests(measured, line):
    metrics = GatewayMetrics()
    metrics.count_request(measured)
    body, _ = metrics.render({"open_requests": 3}, ["text/plain"])
    assert line in body.decode()
    assert "medlarbeam_gateway_open_requests 3" in body.decode()


def test_events_are_counted_once():
    metrics = GatewayMetrics()
    metrics.count_event("ready")
    metrics.render({}, ["text/plain"])
    metrics.count_event("ready")
    body, _ = metrics.render({}, ["text/plain"])
    assert 'medlarbeam_gateway_events_total{event="ready"} 2' in body.decode()


def test_gauges_of_a_gateway_are_all_known_to_the_page():
    levels = make_driven(rights=own_rights()).gateway.measure(100.0)
    assert set(levels) == set(GatewayMetrics().gauges) - {"log_lines_dropped"}


ENDS = [
    ("served", [lambda r: RunStarted(r, None), lambda r: RunEnded(r, 200, None)], "served", True),
    ("left", [lambda r: CallerLeft("r1")], "left", False),
    ("broken", [lambda r: RunBroken(r, "reset", 0, False)], "server_lost", False),
    (
        "cut-after-its-beginning",
        [lambda r: RunStarted(r, None), lambda r: RunBroken(r, "reset", 3, True)],
        "cut",
        True,
    ),
]


@pytest.mark.parametrize(
    ("results", "outcome", "is_begun"), [e[1:] for e in ENDS], ids=[e[0] for e in ENDS]
)
def test_each_request_is_measured_once(results, outcome, is_begun):
    driven = make_driven(rights=own_rights())
    run = next(e for e in driven.send("draft", HOT) if hasattr(e, "first_limit_s"))
    measured = []
    for build in results:
        driven.give(build(run.run_id))
        measured += driven.find(RequestMeasured)
    (measure,) = measured
    assert measure.outcome == outcome
    assert (measure.first_s is not None) is is_begun
