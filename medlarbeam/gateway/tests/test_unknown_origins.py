"""A stream of which another node states that it does not know the version that began it.

Guards against the statement being taken for a version, so that the rest of the stream goes to any
server, or the statement gets into the store and to other nodes, and against what gateways of
earlier builds, which take it for one, leave behind.
"""

import pytest

from medlarbeam.classes.fleet import UNKNOWN_ORIGIN, StreamReport, VersionStreams
from medlarbeam.classes.gateway_effects import (
    PublishSoftwareVersion,
    PublishStreams,
    RefuseRequest,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.exceptions import ErrorKind, RunState
from medlarbeam.gateway.stream_origins import StreamOrigins
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness
from medlarbeam.gateway.tests.test_forwarded_streams import (
    NEW,
    OLD,
    SERVERS,
    forward_stream,
    lose_node,
    restore_path,
)
from medlarbeam.gateway.tests.test_forwarding import NEAR

ONE_VERSION = SERVERS[::2]
FLEETS = [("two-versions-serve", SERVERS), ("one-version-serves", ONE_VERSION)]
by_fleet = pytest.mark.parametrize("servers", [f[1] for f in FLEETS], ids=[f[0] for f in FLEETS])


def list_stored_versions(effects):
    """Return the versions that are written to the store."""
    reports = [e.report for e in effects if isinstance(e, PublishStreams)]
    stored = {i.version for r in reports for i in r.streams}
    return stored | {e.version for e in effects if isinstance(e, PublishSoftwareVersion)}


def state_in_answer(servers):
    harness, _ = forward_stream(servers, UNKNOWN_ORIGIN)
    return harness


def state_in_request(servers):
    harness = make_harness(servers=servers, nodes=[NEAR])
    harness.send_request(
        "chat",
        HOT,
        request_id="other",
        attempt="other",
        last_event=3,
        resumes="id-1",
        runs_elsewhere=1,
        origin=UNKNOWN_ORIGIN,
    )
    assert not harness.find(StartFleetRun)
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.run_state is RunState.NOT_RUN
    return harness


def state_in_datagram(servers):
    harness = make_harness(servers=servers, nodes=[NEAR])
    harness.deliver(NodeDatagram(make_report("n2")))
    return harness


def state_in_store(servers):
    harness = make_harness(servers=servers, nodes=[NEAR])
    harness.write_entry("streams/n2", make_report("n2"))
    return harness


def make_report(node):
    """Return what a gateway of the build 3ec0cf0 reports of a stream that it forwarded."""
    return StreamReport(node, [VersionStreams(UNKNOWN_ORIGIN, ["id-1"])])


def take_up(harness):
    """Ask for the rest of the stream of the attempt id-1."""
    harness.renew()
    harness.send_request(
        "chat", HOT, request_id="again", attempt="again", last_event=3, resumes="id-1"
    )


STATEMENTS = [
    ("answer-to-a-forwarded-request", state_in_answer),
    ("request-that-another-node-forwards", state_in_request),
    ("datagram-of-an-earlier-build", state_in_datagram),
    ("store-entry-of-an-earlier-build", state_in_store),
]
by_statement = pytest.mark.parametrize(
    "state", [s[1] for s in STATEMENTS], ids=[s[0] for s in STATEMENTS]
)


@by_fleet
@by_statement
def test_stream_of_unknown_origin_is_not_taken_up(state, servers):
    harness = state(servers)
    take_up(harness)
    assert not harness.find(StartFleetRun)
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.kind is ErrorKind.STREAM_ORIGIN_LOST


@by_fleet
@pytest.mark.parametrize("state", [state_in_answer, state_in_request], ids=["answer", "request"])
def test_unknown_origin_in_a_header_is_no_version_in_the_store(state, servers):
    harness = state(servers)
    assert UNKNOWN_ORIGIN not in list_stored_versions(harness.pass_time(8.0))
    assert UNKNOWN_ORIGIN not in harness.gateway.origins.present_at


@by_fleet
def test_forwarded_stream_is_not_bound_to_the_unknown_origin(servers):
    harness, run_id = forward_stream(servers, UNKNOWN_ORIGIN)
    relay = harness.gateway.relays.open_relays["r1"]
    assert (relay.service, relay.software) == ("llm", None)
    restore_path(harness)
    assert not lose_node(harness, run_id)
    harness.pass_time(6.0)
    assert "r1" not in harness.gateway.relays.open_relays


KNOWN = [("old-version", OLD, "v1"), ("new-version", NEW, "v2")]


@pytest.mark.parametrize(("known", "expected"), [k[1:] for k in KNOWN], ids=[k[0] for k in KNOWN])
def test_node_that_knows_the_version_needs_no_statement(known, expected):
    harness = make_harness(servers=SERVERS, nodes=[NEAR])
    harness.deliver(NodeDatagram(StreamReport("n2", [VersionStreams(known, ["id-1"])])))
    harness.send_request(
        "chat", HOT, last_event=3, resumes="id-1", runs_elsewhere=1, origin=UNKNOWN_ORIGIN
    )
    assert [s.server.software for s in harness.find(StartFleetRun)] == [expected]


def test_what_earlier_builds_have_left_is_forgotten():
    harness = make_harness(servers=ONE_VERSION, nodes=[NEAR])
    harness.write_entry("software/unknown", UNKNOWN_ORIGIN)
    harness.write_entry("streams/n2", make_report("n2"))
    for _ in range(60):
        harness.pass_time(1.0)
        harness.renew()
    origins = harness.gateway.origins
    assert list(origins.present_at) == [OLD]
    assert not origins.origins
    harness.send_request("chat", HOT, attempt="id-9", last_event=3, resumes="id-8")
    assert [s.server.software for s in harness.find(StartFleetRun)] == ["v1"]


def test_mutant_that_takes_the_unknown_origin_for_a_version_is_caught(monkeypatch):
    def record_as_version(origins, relay, now):
        origins.record_start(relay, UNKNOWN_ORIGIN, now)
        origins.present_at[UNKNOWN_ORIGIN] = now

    monkeypatch.setattr(StreamOrigins, "record_unknown", record_as_version)
    harness, _ = forward_stream(SERVERS, UNKNOWN_ORIGIN)
    assert UNKNOWN_ORIGIN in list_stored_versions(harness.pass_time(8.0))
