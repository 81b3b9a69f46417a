"""Servers that crash above a number of refusals per second get only what they have room for.

Guards against gateways that together make such servers refuse, and crash, one after the other.
"""

from math import inf

import pytest

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import RefuseRequest, ServerLoad, StartFleetRun
from medlarbeam.classes.gateway_messages import RunCompleted, RunRefused
from medlarbeam.gateway.refusal_limits import NAMED_S, RefusalLimits
from medlarbeam.gateway.tests.fleet_samples import make_harness, make_server

PEERS = [NodeRegistration(f"n{n}", "z1", f"10.0.0.{n}:7000", 3) for n in (2, 3)]
SERVERS = [make_server("l1", "ledger"), make_server("l2", "ledger")]  # with 6 places each
FREE = ServerLoad(0, 0, 6, None, 3)
FULL = ServerLoad(6, 0, 6, None, 3)
UNLIMITED = ServerLoad(0, 0, 6)


def hear_limit(harness, load=FREE):
    """Serve a request whose answer names the limit."""
    start = send(harness, "told")
    harness.deliver(RunCompleted(start.run_id, 200, load))


def send(harness, request_id):
    """Send a payment; return its `StartFleetRun`, or None if it has to wait."""
    harness.send_request("pay", request_id=request_id)
    return next(iter(harness.find(StartFleetRun)), None)


def count_sent(harness, count=30):
    """Return how many of `count` requests at once are sent to each server."""
    starts = [send(harness, f"r{number}") for number in range(count)]
    names = [start.server.name for start in starts if start is not None]
    return [names.count(server.name) for server in SERVERS]


# Loads in the answers that are read, time (s) since then, other nodes, and requests per server.
SHARES = [
    ("no-limit-is-named", [UNLIMITED], 0.0, PEERS, [15, 15]),
    ("places-are-shared-with-two-nodes", [FREE], 0.0, PEERS, [2, 2]),
    ("only-node-uses-all-places", [FREE], 0.0, [], [6, 6]),
    ("limit-is-forgotten", [FREE], NAMED_S + 0.1, PEERS, [15, 15]),
    ("answer-without-the-limit-is-late", [FREE, UNLIMITED], 0.0, PEERS, [2, 2]),
]


@pytest.mark.parametrize(
    ("loads", "age_s", "nodes", "expected"), [s[1:] for s in SHARES], ids=[s[0] for s in SHARES]
)
def test_node_uses_its_share_of_the_places(loads, age_s, nodes, expected):
    harness = make_harness(servers=SERVERS, nodes=nodes)
    for load in loads:
        hear_limit(harness, load)
    harness.pass_time(age_s)
    assert count_sent(harness) == expected


def test_full_server_gets_nothing():
    harness = make_harness(servers=SERVERS, nodes=PEERS)
    start = send(harness, "told")
    harness.deliver(RunCompleted(start.run_id, 200, FULL))
    assert {s.server.name for s in [send(harness, "r1"), send(harness, "r2")]} == (
        {"l1", "l2"} - {start.server.name}
    )


BACKOFFS = [
    ("three-nodes-with-a-limit-of-three", 3, PEERS, 2.0),
    ("limit-of-none", 0, PEERS, 5.0),
    ("high-limit", 100, PEERS, 1.0),
]


@pytest.mark.parametrize(
    ("rate", "nodes", "backoff_s"), [b[1:] for b in BACKOFFS], ids=[b[0] for b in BACKOFFS]
)
def test_server_that_refuses_gets_nothing_for_a_while(rate, nodes, backoff_s):
    harness = make_harness(servers=SERVERS[:1], nodes=nodes)
    hear_limit(harness, ServerLoad(0, 0, 6, None, rate))
    start = send(harness, "r1")
    refusal_load = ServerLoad(0, 0, 6, None, rate)
    harness.deliver(RunRefused(start.run_id, 503, "full", refusal_load))
    refusals = harness.gateway.refusals
    harness.now += backoff_s - 0.01
    assert not refusals.may_send(SERVERS[0], harness.now)
    harness.now += 0.02
    assert refusals.may_send(SERVERS[0], harness.now)


def test_request_without_room_waits_and_is_served():
    harness = make_harness(servers=SERVERS[:1], nodes=PEERS)
    hear_limit(harness)
    starts = [send(harness, f"r{number}") for number in range(3)]
    assert starts[2] is None
    harness.pass_time(0.4)  # longer than a request without any server waits
    assert not harness.find(RefuseRequest)
    harness.deliver(RunCompleted(starts[0].run_id, 200, FREE))
    effects = harness.pass_time(0.2)
    assert [e.request_id for e in effects if isinstance(e, StartFleetRun)] == ["r2"]


MUTANTS = [
    ("places-are-not-shared", "may_send", lambda self, entry, now: True),
    ("limit-is-not-read", "observe", lambda self, entry, rate, now, out: None),
]


@pytest.mark.parametrize(
    ("name", "function"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS]
)
def test_mutant_fills_the_servers(name, function, monkeypatch):
    monkeypatch.setattr(RefusalLimits, name, function)
    harness = make_harness(servers=SERVERS, nodes=PEERS)
    hear_limit(harness)
    assert sum(count_sent(harness)) == 30
    assert harness.gateway.refusals.resume_at.get("l1", -inf) == -inf
