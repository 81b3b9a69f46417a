"""A stream that another node has begun goes on only at the software version that began it.

Guards against streams that a node without a path to the backend servers forwards, and resumes at
another software version once the path is back or the other node is lost.
"""

import pytest

from medlarbeam.classes.fleet import SoftwareVersion, StreamReport, VersionStreams
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    PublishStreams,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import NodeDatagram, RunInterrupted, RunRefused, RunStarted
from medlarbeam.classes.server_messages import ProbeResult
from medlarbeam.gateway.stream_origins import StreamOrigins
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server
from medlarbeam.gateway.tests.test_forwarding import FAR, NEAR, fail_to_connect

OLD = SoftwareVersion("llm", "v1")
NEW = SoftwareVersion("llm", "v2")
SERVERS = [
    make_server("w1", "llm"),
    make_server("w2", "llm", software="v2"),
    make_server("w3", "llm"),
    make_server("w4", "llm", software="v2"),
]
OTHER_SERVICE = SoftwareVersion("ledger", "v1")


def forward_stream(servers, origin, nodes=(NEAR,)):
    """Forward a stream of the attempt id-1; `origin` is what the other node states with it."""
    harness = make_harness(servers=servers, nodes=nodes)
    harness.send_request("chat", HOT, request_id="r0")
    fail_to_connect(harness)
    harness.send_request("chat", HOT)
    (start,) = harness.find(StartFleetRun)
    assert start.forwarded_runs == 0
    harness.deliver(RunStarted(start.run_id, None, origin))
    return harness, start.run_id


def restore_path(harness):
    harness.deliver(ProbeResult("w1", False, "", True))


def hear(harness, version):
    harness.deliver(NodeDatagram(StreamReport("n2", [VersionStreams(version, ["id-1"])])))


def lose_node(harness, run_id):
    """Lose the other node; return the software versions of the servers that are tried next."""
    harness.deliver(RunInterrupted(run_id, "reset", 3, True, is_connection_lost=True))
    effects = harness.answer_sync()
    used = []
    while starts := [e for e in effects if isinstance(e, StartFleetRun)]:
        (start,) = starts
        used.append(start.server.software)
        effects = harness.deliver(RunRefused(start.run_id, 503, "refused", None))
    return used


# Servers, what the other node states, what it reports in datagrams, and the versions used next.
ORIGINS = [
    ("other-node-states-the-old-version", SERVERS, OLD, None, {"v1"}),
    ("other-node-states-the-new-version", SERVERS, NEW, None, {"v2"}),
    ("earlier-build-reports-the-old-version", SERVERS, None, OLD, {"v1"}),
    ("earlier-build-reports-the-new-version", SERVERS, None, NEW, {"v2"}),
    ("nobody-says-which-version-began-it", SERVERS, None, None, set()),
    ("one-version-serves", SERVERS[::2], None, None, {"v1"}),
    ("version-is-not-known-here", SERVERS[::2], NEW, None, set()),
    ("other-node-chose-another-service", SERVERS, OTHER_SERVICE, None, set()),
]


@pytest.mark.parametrize(
    ("servers", "stated", "reported", "expected"),
    [o[1:] for o in ORIGINS],
    ids=[o[0] for o in ORIGINS],
)
def test_stream_goes_on_here_only_at_its_version(servers, stated, reported, expected):
    harness, run_id = forward_stream(servers, stated)
    if reported is not None:
        hear(harness, reported)
    restore_path(harness)
    assert set(lose_node(harness, run_id)) == expected
    harness.pass_time(6.0)
    assert "r1" not in harness.gateway.relays.open_relays


def test_stream_of_unknown_origin_is_aborted_at_once():
    harness, run_id = forward_stream(SERVERS, None)
    restore_path(harness)
    lose_node(harness, run_id)
    assert harness.find(AbortResponse)


@pytest.mark.parametrize("origin", [OLD, NEW, None], ids=str)
def test_next_node_is_told_which_version_began_the_stream(origin):
    harness, run_id = forward_stream(SERVERS, origin, [NEAR, FAR])
    harness.deliver(RunInterrupted(run_id, "reset", 3, True, is_connection_lost=True))
    (start,) = harness.find(StartFleetRun)
    assert (start.server.name, start.origin) == ("n3", origin)


def test_callers_that_take_a_forwarded_stream_up_find_its_version_everywhere():
    harness, _ = forward_stream(SERVERS, NEW)
    effects = harness.pass_time(1.0)
    bodies = [e.body for e in effects if isinstance(e, SendDatagram)]
    bodies += [e.report for e in effects if isinstance(e, PublishStreams)]
    reports = [body for body in bodies if isinstance(body, StreamReport)]
    assert len(reports) >= 2
    assert {item.version for body in reports for item in body.streams} == {NEW}


# What the node that forwards the rest of a stream states, what this one knows, and what it uses.
RESTS = [
    ("stated-version-is-used", NEW, None, "v2"),
    ("known-version-goes-before-a-stated-one", NEW, OLD, "v1"),
    ("version-that-is-neither-stated-nor-known", None, None, ""),
]


@pytest.mark.parametrize(
    ("stated", "reported", "expected"), [r[1:] for r in RESTS], ids=[r[0] for r in RESTS]
)
def test_rest_of_a_forwarded_stream_goes_on_at_its_version(stated, reported, expected):
    harness = make_harness(servers=SERVERS, nodes=[NEAR])
    if reported is not None:
        hear(harness, reported)
    harness.send_request("chat", HOT, last_event=3, resumes="id-1", runs_elsewhere=1, origin=stated)
    starts = harness.find(StartFleetRun)
    assert [s.server.software for s in starts] == ([expected] if expected else [])
    assert bool(harness.find(RefuseRequest)) is not bool(expected)


def test_mutant_that_does_not_record_forwarded_streams_is_caught(monkeypatch):
    monkeypatch.setattr(StreamOrigins, "record_start", lambda *arguments: None)
    monkeypatch.setattr(StreamOrigins, "bind_rest", lambda *arguments: None)
    harness, run_id = forward_stream(SERVERS, OLD)
    restore_path(harness)
    assert "v2" in lose_node(harness, run_id)
