"""A stream goes on only at the software version that has begun it.

Guards against streams that are joined of two versions, and against take-ups that are refused
although the version that began the stream is known.
"""

import pytest

from medlarbeam.classes.fleet import (
    NodeRegistration,
    SoftwareVersion,
    StreamReport,
    VersionStreams,
)
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    PublishSoftwareVersion,
    PublishStreams,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
    SyncStore,
    WithdrawSoftwareVersion,
)
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    NodeDatagram,
    RunCompleted,
    RunInterrupted,
    RunStarted,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.exceptions import ErrorKind, RunState
from medlarbeam.gateway import stream_origins
from medlarbeam.gateway.relay import Relay
from medlarbeam.gateway.stream_origins import COPY_WAIT_S, RETENTION_S, StreamOrigins
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server

OLD = SoftwareVersion("llm", "v1")
NEW = SoftwareVersion("llm", "v2")
PEER = NodeRegistration("n2", "z2", "10.0.0.2:7000", 3)
MIXED = [
    make_server("w1", "llm"),
    make_server("w2", "llm"),
    make_server("w3", "llm", software="v2"),
    make_server("w4", "llm", software="v2"),
]
SOFTWARE = {server.name: server.software for server in MIXED}
ONE_OLD = [MIXED[0], *MIXED[2:]]
SECOND_START = make_server("w2", "llm", started_at_ms=2, software="v2")


def begin_stream(harness, attempt="id-1"):
    """Start a stream whose first event the caller gets; return its `StartFleetRun`."""
    harness.send_request("chat", HOT, request_id=attempt, attempt=attempt)
    (start,) = harness.find(StartFleetRun)
    harness.deliver(RunStarted(start.run_id, None))
    return start


def take_up(harness, resumes="id-1", route="chat", is_store_silent=False):
    """Ask for the rest of a stream; return the software version that gets it, "" if refused."""
    harness.send_request(
        route, HOT, request_id="again", attempt="again", last_event=3, resumes=resumes
    )
    if not is_store_silent:
        harness.answer_sync()
    starts = harness.find(StartFleetRun)
    return starts[0].server.software if starts else ""


def report(node, *attempts, version=OLD):
    return StreamReport(node, [VersionStreams(version, list(attempts))])


def store_streams(harness, node, version=OLD):
    harness.write_entry(f"streams/{node}", report(node, "id-1", version=version))


def restart_with_streams(harness, version):
    """Let the gateway read its first snapshot with the streams of its earlier process."""
    entry = EntryUpdated("streams/n1", report("n1", "id-1", version=version), 1)
    servers = [EntryUpdated(f"servers/{s.name}", s, 2) for s in MIXED]
    harness.deliver(StoreSnapshot([entry, *servers, EntryUpdated("node/n2", PEER, 3)], 30, 0))


def store_version(harness, version):
    harness.write_entry(f"software/{version}", version)


def hear_streams(harness, version):
    harness.deliver(NodeDatagram(report("n2", "id-1", version=version)))


def remove_servers(harness, software):
    for server in MIXED:
        if server.software == software:
            harness.revision += 1
            harness.deliver(EntryDeleted(f"servers/{server.name}", harness.revision))


def lose_store(harness):
    stand_still(harness, 1.0)
    harness.deliver(StoreUnavailable("no response"))


INTERRUPTIONS = [
    ("stream-that-breaks-off", lambda run: RunInterrupted(run, "reset", 3, True)),
    ("stream-that-ends-inside-an-event", lambda run: RunInterrupted(run, "inside", 1, True)),
]


@pytest.mark.parametrize("build", [i[1] for i in INTERRUPTIONS], ids=[i[0] for i in INTERRUPTIONS])
@pytest.mark.parametrize("count", range(6))
def test_broken_stream_goes_on_at_a_server_of_its_version(build, count):
    harness = make_harness(servers=MIXED)
    for number in range(count):  # so that each server begins a stream
        begin_stream(harness, f"other-{number}")
    first = begin_stream(harness)
    harness.deliver(build(first.run_id))
    (second,) = harness.find(StartFleetRun)
    assert second.server.name != first.server.name
    assert second.server.software == first.server.software


def test_broken_stream_is_aborted_when_its_version_has_no_other_server():
    harness = make_harness(servers=[MIXED[0], MIXED[2]])
    first = begin_stream(harness)
    harness.deliver(RunInterrupted(first.run_id, "reset", 3, True))
    assert not harness.find(StartFleetRun)
    assert harness.find(AbortResponse)


def test_stream_without_an_event_may_run_at_another_version():
    harness = make_harness(servers=[MIXED[0], MIXED[2]])
    harness.send_request("chat", HOT)
    (first,) = harness.find(StartFleetRun)
    harness.deliver(RunInterrupted(first.run_id, "reset", 0, False))
    (second,) = harness.find(StartFleetRun)
    assert second.server.software != first.server.software


# Steps before a caller takes the stream id-1 up, and the version that gets it, "" for a refusal.
TAKE_UPS = [
    ("nothing-is-known-of-the-stream", MIXED, [], ""),
    ("other-node-reported-the-old-version", MIXED, [(hear_streams, OLD)], "v1"),
    ("other-node-reported-the-new-version", MIXED, [(hear_streams, NEW)], "v2"),
    ("store-names-the-old-version", MIXED, [(store_streams, "n2", OLD)], "v1"),
    ("earlier-process-of-the-node-began-it", MIXED, [(restart_with_streams, NEW)], "v2"),
    ("all-servers-run-one-version", MIXED[:2], [], "v1"),
    ("servers-of-the-other-version-have-left", MIXED, [(remove_servers, "v1")], ""),
    (
        "servers-of-the-version-that-began-it-have-left",
        MIXED,
        [(hear_streams, OLD), (remove_servers, "v1")],
        "",
    ),
    ("store-names-a-version-that-has-left", MIXED[:2], [(store_version, NEW)], ""),
    ("other-node-reported-a-version-unknown-here", MIXED[:2], [(hear_streams, NEW)], ""),
    (
        "store-does-not-respond",
        MIXED[:2],
        [(lose_store,)],
        "",
    ),
    (
        "node-without-the-store-knows-the-stream",
        MIXED[:2],
        [(hear_streams, OLD), (lose_store,)],
        "v1",
    ),
    (
        "version-that-left-long-ago-does-not-matter",
        MIXED,
        [
            (remove_servers, "v1"),
            (lambda harness: harness.pass_time(RETENTION_S + 10.0),),
        ],
        "v2",
    ),
]


@pytest.mark.parametrize(
    ("servers", "steps", "expected"), [t[1:] for t in TAKE_UPS], ids=[t[0] for t in TAKE_UPS]
)
def test_take_up_goes_to_the_version_that_began_the_stream(servers, steps, expected):
    harness = make_harness(servers=servers, nodes=[PEER])
    for step, *arguments in steps:
        step(harness, *arguments)
    assert take_up(harness) == expected
    if not expected:
        (refusal,) = harness.find(RefuseRequest)
        assert refusal.failure.run_state is RunState.NOT_RUN


def stand_still(harness, seconds):
    """Let time pass in which the process does not run."""
    harness.now += seconds


def hear_other_stream(harness):
    harness.deliver(NodeDatagram(report("n2", "id-9")))


# Steps by which a node misses that a second version joins, which began the stream elsewhere.
OUT_OF_STEP = [
    ("cut-off-for-seconds", [(lambda harness: harness.pass_time(5.0),)]),
    ("stood-still-for-seconds", [(stand_still, 5.0)]),
    ("reads-datagrams-from-before-it-stood-still", [(stand_still, 8.0), (hear_other_stream,)]),
]


@pytest.mark.parametrize("steps", [o[1] for o in OUT_OF_STEP], ids=[o[0] for o in OUT_OF_STEP])
def test_take_up_at_a_node_that_was_out_of_step_is_not_joined(steps):
    harness = make_harness(servers=MIXED[:2], nodes=[PEER])
    for step, *arguments in steps:
        step(harness, *arguments)
    assert take_up(harness, is_store_silent=True) == ""
    harness.pass_time(COPY_WAIT_S)
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.kind is ErrorKind.STREAM_ORIGIN_LOST
    assert refusal.failure.run_state is RunState.NOT_RUN


# What the store answers to a node that was out of step, and the version that goes on.
ANSWERS = [
    ("second-version-has-joined", [MIXED[2]], ""),
    ("server-started-again-with-a-second-version", [SECOND_START], ""),
    ("nothing-has-changed", [], "v1"),
]


@pytest.mark.parametrize(
    ("entries", "expected"), [a[1:] for a in ANSWERS], ids=[a[0] for a in ANSWERS]
)
def test_take_up_waits_until_the_store_has_answered(entries, expected):
    harness = make_harness(servers=MIXED[:2], nodes=[PEER])
    stand_still(harness, 5.0)
    assert take_up(harness, is_store_silent=True) == ""
    assert harness.find(SyncStore)
    for server in entries:
        harness.write_entry(f"servers/{server.name}", server)
    harness.deliver(StoreSynced(harness.now))
    effects = harness.effects + harness.gateway.tick(harness.now)
    starts = [e.server.software for e in effects if isinstance(e, StartFleetRun)]
    assert starts == ([expected] if expected else [])
    assert any(isinstance(e, RefuseRequest) for e in effects) is not bool(expected)


def test_answer_from_before_the_take_up_does_not_bind_it():
    harness = make_harness(servers=MIXED[:2], nodes=[PEER])
    sent_at = harness.now
    stand_still(harness, 1.0)
    take_up(harness, is_store_silent=True)
    harness.deliver(StoreSynced(sent_at))
    effects = harness.gateway.tick(harness.now)
    assert not any(isinstance(e, StartFleetRun) for e in effects)
    assert any(isinstance(e, SyncStore) for e in effects)


OWN_STREAMS = [
    ("open-stream", []),
    ("broken-stream", [lambda run: RunInterrupted(run, "reset", 3, True)] * 2),
    ("stream-whose-end-was-lost", [lambda run: RunCompleted(run, 200, None)]),
]


@pytest.mark.parametrize("ends", [o[1] for o in OWN_STREAMS], ids=[o[0] for o in OWN_STREAMS])
def test_take_up_at_the_node_that_began_the_stream(ends):
    harness = make_harness(servers=MIXED)
    first = begin_stream(harness)
    run = first.run_id
    for build in ends:
        harness.deliver(build(run))
        run = next((start.run_id for start in harness.find(StartFleetRun)), run)
    assert take_up(harness) == first.server.software


def test_refusal_says_that_the_origin_is_not_known():
    harness = make_harness(servers=MIXED)
    take_up(harness, resumes="")
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.kind is ErrorKind.STREAM_ORIGIN_LOST
    assert refusal.retry_after_s == 0.0  # another gateway may know it now, this one will not later


def test_caller_is_not_asked_back_when_no_server_of_the_version_is_left():
    harness = make_harness(servers=MIXED, nodes=[PEER])
    hear_streams(harness, OLD)
    remove_servers(harness, "v1")
    take_up(harness)
    (refusal,) = harness.find(RefuseRequest)
    assert refusal.failure.kind is ErrorKind.NO_SERVER
    assert refusal.retry_after_s == 0.0


def list_reports(effects):
    """Return the attempts that other nodes, and the store, are told of."""
    bodies = [e.body for e in effects if isinstance(e, SendDatagram)]
    sent = [b for b in bodies if isinstance(b, StreamReport)]
    published = [e.report for e in effects if isinstance(e, PublishStreams)]
    return [
        {a: item.version for r in reports for item in r.streams for a in item.attempts}
        for reports in (sent, published)
    ]


REPORTS = [
    ("several-versions-are-in-service", MIXED, [], True),
    ("one-version-is-in-service", MIXED[:2], [], False),
    ("second-version-comes-while-the-stream-is-open", MIXED[:2], [(store_version, NEW)], True),
]


@pytest.mark.parametrize(
    ("servers", "steps", "is_told"), [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_open_streams_are_reported_while_versions_differ(servers, steps, is_told):
    harness = make_harness(servers=servers, nodes=[PEER])
    first = begin_stream(harness)
    for step, *arguments in steps:
        step(harness, *arguments)
    expected = {"id-1": SoftwareVersion("llm", first.server.software)} if is_told else {}
    assert list_reports(harness.pass_time(1.0)) == [expected, expected]


def test_streams_of_the_earlier_process_stay_published():
    harness = make_harness(servers=MIXED, nodes=[PEER])
    restart_with_streams(harness, NEW)
    begin_stream(harness, "id-2")
    _, published = list_reports(harness.pass_time(1.0))
    assert published.keys() == {"id-1", "id-2"}


def test_number_of_remembered_streams_is_bounded(monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 10)
    harness = make_harness(servers=MIXED, nodes=[PEER])
    for number in range(30):
        harness.deliver(NodeDatagram(report("n2", f"id-{number}")))
    assert list(harness.gateway.origins.origins) == [f"id-{number}" for number in range(20, 30)]


def test_stream_that_ended_is_not_published_for_ever():
    harness = make_harness(servers=MIXED, nodes=[PEER])
    first = begin_stream(harness)
    effects = harness.pass_time(1.0)
    harness.deliver(RunCompleted(first.run_id, 200, None))
    harness.pass_time(10.0)
    for effect in [e for e in effects if isinstance(e, PublishStreams)]:
        harness.write_entry("streams/n1", effect.report)  # the watch shows it late
    begin_stream(harness, "id-2")
    _, published = list_reports(harness.pass_time(1.0))
    assert published.keys() == {"id-2"}


# Entries of the store, whether the servers of the new version leave, and the writes that follow.
ENTRIES = [
    ("version-without-an-entry-is-written", [], False, [PublishSoftwareVersion]),
    ("versions-with-entries-are-not-written-again", [OLD, NEW], False, []),
    ("entry-of-a-version-that-left-is-deleted", [OLD, NEW], True, [WithdrawSoftwareVersion]),
]


@pytest.mark.parametrize(
    ("entries", "leaves", "expected"), [e[1:] for e in ENTRIES], ids=[e[0] for e in ENTRIES]
)
def test_store_lists_the_versions_in_service(entries, leaves, expected):
    harness = make_harness(servers=MIXED)
    for version in entries:
        store_version(harness, version)
    if leaves:
        remove_servers(harness, "v2")
    writes = harness.pass_time(RETENTION_S + 20.0)
    kinds = {type(e) for e in writes} & {PublishSoftwareVersion, WithdrawSoftwareVersion}
    assert kinds == set(expected)
    if leaves:
        assert {e.version for e in writes if isinstance(e, WithdrawSoftwareVersion)} == {NEW}


def test_versions_and_streams_are_written_again_after_a_set_back():
    harness = make_harness(servers=MIXED, nodes=[PEER])
    for version in (OLD, NEW):
        store_version(harness, version)
    begin_stream(harness)
    _, published = list_reports(harness.pass_time(1.0))
    assert published.keys() == {"id-1"}
    harness.deliver(StoreSetBack(1))
    servers = [EntryUpdated(f"servers/{s.name}", s, 2) for s in MIXED]
    nodes = [EntryUpdated("node/n2", PEER, 3)]
    harness.deliver(StoreSnapshot([*servers, *nodes], 5, 1))
    effects = harness.pass_time(5.0)
    versions = {e.version for e in effects if isinstance(e, PublishSoftwareVersion)}
    assert versions == {OLD, NEW}
    assert list_reports(effects)[1].keys() == {"id-1"}


def test_restarted_fleet_learns_the_versions_that_left_from_the_store():
    harness = make_harness(servers=MIXED[2:])
    entries = [EntryUpdated(f"software/{v}", v, 1) for v in (OLD, NEW)]
    servers = [EntryUpdated(f"servers/{s.name}", s, 2) for s in MIXED[2:]]
    harness.deliver(StoreSnapshot([*entries, *servers], 20, 0))
    assert take_up(harness) == ""


MUTANTS = [
    ("version-of-the-run-is-ignored", [(Relay, "may_use", lambda self, entry: True)]),
    (
        "start-of-a-stream-is-neither-recorded-nor-missed",
        [
            (StreamOrigins, "record_start", lambda *arguments: None),
            (StreamOrigins, "bind_rest", lambda *arguments: None),
        ],
    ),
]


@pytest.mark.parametrize("patches", [m[1] for m in MUTANTS], ids=[m[0] for m in MUTANTS])
def test_mutant_joins_streams_of_two_versions(patches, monkeypatch):
    for target, name, function in patches:
        monkeypatch.setattr(target, name, function)
    harness = make_harness(servers=[MIXED[0], MIXED[2]])
    first = begin_stream(harness)
    harness.deliver(RunInterrupted(first.run_id, "reset", 3, True))
    assert [s.server.software for s in harness.find(StartFleetRun)] != [first.server.software]
    assert harness.find(StartFleetRun)
