"""A request that waits for the end of a pause is told its turn correctly."""

import pytest

from medlarbeam.classes.gateway_effects import RefuseRequest
from medlarbeam.gateway.tests.fleet_samples import HOT, make_server
from medlarbeam.gateway.tests.test_server_pauses import find_runs, make_paused

ESTIMATES = [
    ("few-requests", 24, 8),
    ("more-than-the-first-rate", 24, 40),
    ("few-places", 2, 12),
]


@pytest.mark.parametrize(
    ("places", "count"), [e[1:] for e in ESTIMATES], ids=[e[0] for e in ESTIMATES]
)
def test_wait_for_the_end_of_a_pause_is_estimated(places, count):
    """Callers were refused although their turn came in time."""
    server = make_server("w1", "llm")
    server.concurrency = places
    harness, _ = make_paused(0.4, [server], "chat", HOT)
    expected = {}
    for number in range(count):
        name = f"n{number:02}"
        harness.send_request("chat", HOT, request_id=name)
        assert harness.find(RefuseRequest) == []
        pause = harness.gateway.pauses.pauses["w1"]
        turn = harness.gateway.pauses._find_turn(pause, number, harness.now)
        expected[name] = turn
    sent_at = {}
    while harness.now < 103.0:
        for run in find_runs(harness.pass_time(0.002)):
            sent_at[run.request_id] = harness.now
    assert all(abs(sent_at[name] - expected[name]) <= 0.03 for name in expected)
