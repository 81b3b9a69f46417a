"""A response is attributed to the start of a backend server that has written it.

Guards against streams that are joined of two software versions because a server has started again
under its name and at its address, and against take-ups that are refused although it has not.
"""

import pytest

from medlarbeam.classes.fleet import UNKNOWN_ORIGIN, SoftwareVersion
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
    SyncStore,
)
from medlarbeam.classes.gateway_messages import (
    RunInterrupted,
    RunRefused,
    RunStalled,
    RunStarted,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.classes.server_starts import (
    AcceptRun,
    CheckServerStart,
    RejectRun,
    RunAnswered,
    RunProgressed,
    ServerStartResult,
    WatchProgress,
)
from medlarbeam.gateway import server_starts
from medlarbeam.gateway.server_starts import MAX_HOLD_S, MAX_TRANSIT_S, ServerStarts
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server
from medlarbeam.gateway.tests.test_stream_origins import MIXED, PEER, hear_streams, list_reports

OLD = SoftwareVersion("llm", "v1")
NEW = SoftwareVersion("llm", "v2")
HEARTBEAT_S = 1.2
RESTARTED = {s.name: make_server(s.name, "llm", started_at_ms=2, software="v3") for s in MIXED}


def pass_quietly(harness, seconds):
    """Let time pass without an answer of the store."""
    harness.now += seconds


def begin(harness, attempt="id-1", connected_s=0.0):
    """Begin a stream on a connection that is `connected_s` seconds old; return its start effect."""
    harness.send_request("chat", HOT, request_id=attempt, attempt=attempt)
    (start,) = harness.find(StartFleetRun)
    pass_quietly(harness, 0.01)
    harness.deliver(RunStarted(start.run_id, None, connected_at=harness.now - 0.005 - connected_s))
    return start


def take_up(harness, connected_s=0.0, **fields):
    """Take up the stream id-1, whose rest is answered; return the start effect."""
    harness.send_request(
        "chat", HOT, request_id="again", attempt="again", last_event=3, resumes="id-1", **fields
    )
    (start,) = harness.find(StartFleetRun)
    assert start.needs_acceptance
    pass_quietly(harness, 0.01)
    harness.deliver(RunAnswered(start.run_id, harness.now - 0.005 - connected_s))
    return start


def state_start(harness, server, started_at_ms, reason=""):
    """Let a server answer a check."""
    harness.deliver(ServerStartResult(server, started_at_ms, harness.now - 0.001, reason))


def state_same(harness, server):
    state_start(harness, server, server.started_at_ms)


def state_other(harness, server):
    state_start(harness, server, 2)


def state_none(harness, server):
    state_start(harness, server, None)


def fail_to_state(harness, server):
    state_start(harness, server, None, "HTTP 503")


def copy_store(harness, server):
    """Let the store answer after a server had time to write the entry of a new start."""
    pass_quietly(harness, HEARTBEAT_S + 0.1)
    harness.deliver(StoreSynced(harness.now))


def copy_store_early(harness, server):
    pass_quietly(harness, 0.1)
    harness.deliver(StoreSynced(harness.now))


def restart(harness, server):
    """Write the entry of a new start of a server."""
    harness.write_entry(f"servers/{server.name}", RESTARTED[server.name])


def set_store_back(harness, server):
    """Set the store back to a copy, which may lack the entry of a new start."""
    harness.deliver(StoreSetBack(1))
    harness.deliver(StoreSnapshot([], 5, 1))
    copy_store(harness, server)


def make_fleet():
    harness = make_harness(servers=MIXED, nodes=[PEER])
    pass_quietly(harness, 5.0)
    return harness


# Steps after the answer to a take-up on a new connection, and what becomes of the answer.
EVIDENCE = [
    ("server-states-the-start", [state_same], AcceptRun),
    ("server-states-another-start", [state_other], RejectRun),
    ("server-states-none-and-the-store-shows-none", [state_none, copy_store_early], None),
    ("store-shows-no-other-start-after-a-heartbeat", [copy_store], AcceptRun),
    ("entry-of-another-start-is-read", [restart], RejectRun),
    ("store-is-set-back", [set_store_back], None),
    ("server-does-not-answer", [fail_to_state], None),
]


@pytest.mark.parametrize(
    ("steps", "expected"), [e[1:] for e in EVIDENCE], ids=[e[0] for e in EVIDENCE]
)
def test_rest_of_a_stream_is_passed_on_once_its_start_is_known(steps, expected):
    harness = make_fleet()
    hear_streams(harness, OLD)
    start = take_up(harness)
    assert not harness.find(AcceptRun)
    assert [check.server for check in harness.find(CheckServerStart)] == [start.server]
    for step in steps:
        step(harness, start.server)
    decisions = harness.find(AcceptRun) + harness.find(RejectRun)
    assert [(type(d), d.run_id) for d in decisions] == (
        [(expected, start.run_id)] if expected else []
    )


def test_rest_that_nothing_confirms_is_given_up():
    harness = make_fleet()
    hear_streams(harness, OLD)
    start = take_up(harness)
    effects = harness.pass_time(MAX_HOLD_S + 0.1)
    assert [e.run_id for e in effects if isinstance(e, RejectRun)] == [start.run_id]


def test_rejected_rest_goes_on_at_another_server_of_its_version():
    harness = make_fleet()
    hear_streams(harness, OLD)
    first = take_up(harness)
    state_other(harness, first.server)
    assert harness.find(SyncStore)
    (rejection,) = harness.find(RejectRun)
    harness.deliver(RunInterrupted(first.run_id, rejection.reason, 3, False))
    (second,) = harness.find(StartFleetRun)
    assert second.server.name != first.server.name
    assert second.server.software == first.server.software


def test_rest_is_not_sent_to_a_server_that_has_stated_another_start():
    harness = make_harness(servers=[MIXED[0], MIXED[2]], nodes=[PEER])
    pass_quietly(harness, 5.0)
    hear_streams(harness, OLD)
    first = take_up(harness)
    state_other(harness, first.server)
    harness.send_request("chat", HOT, request_id="r3", attempt="id-3", last_event=3, resumes="id-1")
    assert not harness.find(StartFleetRun)
    assert harness.find(RefuseRequest)


def test_rest_on_a_connection_that_is_known_is_passed_on_at_once():
    harness = make_fleet()
    hear_streams(harness, OLD)
    start = take_up(harness, connected_s=60.0)
    assert [e.run_id for e in harness.find(AcceptRun)] == [start.run_id]
    assert not harness.find(CheckServerStart)


# Steps after the first event of a stream on a new connection, and whether its version is reported.
BEGINNINGS = [
    ("nothing-is-known", [], False),
    ("server-states-the-start", [state_same], True),
    ("server-states-another-start", [state_other], False),
    ("server-states-none", [state_none], False),
    ("store-shows-no-other-start-after-a-heartbeat", [copy_store], True),
    ("entry-of-another-start-is-read", [restart], False),
]


@pytest.mark.parametrize(
    ("steps", "is_known"), [b[1:] for b in BEGINNINGS], ids=[b[0] for b in BEGINNINGS]
)
def test_origin_is_told_to_others_once_the_start_is_known(steps, is_known):
    harness = make_fleet()
    start = begin(harness)
    for step in steps:
        step(harness, start.server)
    sent, published = list_reports(harness.pass_time(0.6))
    version = start.server.software_version()
    assert sent == {"id-1": version if is_known else UNKNOWN_ORIGIN}
    assert published == ({"id-1": version} if is_known else {})


@pytest.mark.parametrize(
    ("steps", "is_cut"),
    [([], True), ([state_other], True), ([state_same], False), ([copy_store], False)],
    ids=["nothing-is-known", "other-start", "same-start", "store-copied"],
)
def test_broken_stream_goes_on_only_if_its_start_is_known(steps, is_cut):
    harness = make_fleet()
    start = begin(harness)
    for step in steps:
        step(harness, start.server)
    harness.deliver(RunInterrupted(start.run_id, "reset", 3, True, is_connection_lost=True))
    assert bool(harness.find(AbortResponse)) is is_cut
    assert [s.server.software for s in harness.find(StartFleetRun)] == (
        [] if is_cut else [start.server.software]
    )


@pytest.mark.parametrize("servers", [MIXED, MIXED[:2]], ids=["two-versions", "one-version"])
def test_doubt_that_others_were_told_of_is_withdrawn(servers):
    harness = make_harness(servers=servers, nodes=[PEER])
    pass_quietly(harness, 5.0)
    start = begin(harness)
    sent, published = list_reports(harness.pass_time(0.2))
    assert (sent, published) == ({"id-1": UNKNOWN_ORIGIN}, {})
    state_same(harness, start.server)
    version = start.server.software_version()
    sent, published = list_reports(harness.pass_time(0.6))
    assert sent == {"id-1": version}
    assert published == ({"id-1": version} if len(servers) > 2 else {})
    assert list_reports(harness.pass_time(1.0))[0] == {}


def test_stalled_stream_of_unknown_start_is_not_moved():
    harness = make_fleet()
    start = begin(harness)
    harness.deliver(RunStalled(start.run_id, 3, 0.6))
    assert not harness.find(AbortResponse)
    assert harness.gateway.relays.open_relays


# Whether data arrives after the entry of the new start was read, and what that start then states.
NEW_STARTS = [
    ("data-of-the-new-start", True, 2, "v3"),
    ("no-data-since", False, 2, ""),
    ("data-and-a-third-start", True, 3, ""),
]


@pytest.mark.parametrize(
    ("has_data", "stated", "expected"), [n[1:] for n in NEW_STARTS], ids=[n[0] for n in NEW_STARTS]
)
def test_stream_of_a_start_whose_entry_is_read_later(has_data, stated, expected):
    harness = make_fleet()
    start = begin(harness)
    state_other(harness, start.server)
    restart(harness, start.server)
    assert any(start.run_id in e.run_ids for e in harness.find(WatchProgress))
    pass_quietly(harness, 2 * MAX_TRANSIT_S)
    if has_data:
        harness.deliver(RunProgressed(start.run_id, harness.now))
    state_start(harness, RESTARTED[start.server.name], stated)
    sent, _ = list_reports(harness.pass_time(0.6))
    assert sent == {"id-1": SoftwareVersion("llm", expected) if expected else UNKNOWN_ORIGIN}


def test_data_on_a_known_connection_confirms_a_start_that_its_server_does_not_state():
    harness = make_harness(servers=[MIXED[0], MIXED[2]], nodes=[PEER])
    pass_quietly(harness, 5.0)
    known = begin(harness, "id-9", connected_s=60.0)
    hear_streams(harness, SoftwareVersion("llm", known.server.software))
    start = take_up(harness)
    assert start.server == known.server
    state_none(harness, start.server)
    assert [e.run_ids for e in harness.find(WatchProgress)] == [[known.run_id]]
    pass_quietly(harness, 2 * MAX_TRANSIT_S)
    harness.deliver(RunProgressed(known.run_id, harness.now))
    assert [e.run_id for e in harness.find(AcceptRun)] == [start.run_id]


def test_server_that_fails_to_answer_is_asked_again():
    harness = make_fleet()
    start = begin(harness)
    fail_to_state(harness, start.server)
    assert not harness.find(CheckServerStart)
    effects = harness.pass_time(1.0)
    assert [e.server for e in effects if isinstance(e, CheckServerStart)] == [start.server]


def test_one_check_confirms_all_connections_before_it():
    harness = make_fleet()
    first = begin(harness)
    assert harness.find(CheckServerStart)
    pass_quietly(harness, 0.002)
    second = begin(harness, "id-2")
    while second.server.name != first.server.name:
        second = begin(harness, f"{second.run_id}+")
    assert not harness.find(CheckServerStart)
    harness.deliver(ServerStartResult(first.server, 1, harness.now - 1.0, ""))
    (check,) = harness.find(CheckServerStart)  # since the second connection is younger
    state_same(harness, check.server)
    assert not harness.gateway.starts.records[first.server.name].pending


# What is known of the start when the stream of another node's caller begins, and what is stated.
FORWARDED = [
    ("start-is-known", [state_same], True),
    ("server-has-started-again", [state_other], False),
    ("server-states-no-start", [state_none], False),
]


@pytest.mark.parametrize(
    ("steps", "is_known"), [f[1:] for f in FORWARDED], ids=[f[0] for f in FORWARDED]
)
def test_node_that_forwards_a_stream_is_told_a_known_origin_only(steps, is_known):
    harness = make_fleet()
    harness.send_request("chat", HOT, runs_elsewhere=0)
    (start,) = harness.find(StartFleetRun)
    harness.deliver(RunAnswered(start.run_id, harness.now))
    pass_quietly(harness, 0.01)
    for step in steps:
        step(harness, start.server)
    (decision,) = harness.find(AcceptRun)
    assert decision.origin == (start.server.software_version() if is_known else None)


def test_stream_whose_origin_another_node_does_not_know_is_cut_when_it_breaks():
    from medlarbeam.gateway.tests.test_forwarded_streams import (
        SERVERS,
        forward_stream,
        lose_node,
        restore_path,
    )

    harness, run_id = forward_stream(SERVERS[::2], UNKNOWN_ORIGIN)
    restore_path(harness)
    assert lose_node(harness, run_id) == []
    assert "r1" not in harness.gateway.relays.open_relays
    effects = harness.pass_time(1.0)
    bodies = [e.body for e in effects if isinstance(e, SendDatagram)]
    assert not any(UNKNOWN_ORIGIN in getattr(body, "streams", ()) for body in bodies)
    assert UNKNOWN_ORIGIN not in harness.gateway.origins.present_at


def test_run_that_ends_while_it_is_held_back_changes_nothing():
    harness = make_fleet()
    hear_streams(harness, OLD)
    start = take_up(harness)
    harness.deliver(RunRefused(start.run_id, 0, "nothing was sent", None))
    state_same(harness, start.server)
    assert not harness.find(AcceptRun)


def test_unknown_stream_is_not_taken_up_here():
    harness = make_harness(servers=MIXED[:2], nodes=[PEER])
    pass_quietly(harness, 5.0)
    begin(harness)
    harness.send_request(
        "chat", HOT, request_id="again", attempt="again", last_event=3, resumes="id-1"
    )
    assert not harness.find(StartFleetRun)
    assert harness.find(RefuseRequest)


MUTANTS = [
    (
        "each-connection-counts-as-known",
        [(ServerStarts, "_find_confirmed_at", lambda self, record: server_starts.inf)],
    ),
    (
        "response-of-another-start-is-confirmed",
        [
            (
                ServerStarts,
                "_give_up_held",
                lambda self, record, *a: self._confirm(record, *a[1:2], *a[1:]),
            )
        ],
    ),
]


@pytest.mark.parametrize("patches", [m[1] for m in MUTANTS], ids=[m[0] for m in MUTANTS])
def test_mutant_passes_the_rest_of_another_start_on(patches, monkeypatch):
    for target, name, function in patches:
        monkeypatch.setattr(target, name, function)
    harness = make_fleet()
    hear_streams(harness, OLD)
    start = take_up(harness)
    effects = harness.effects
    state_other(harness, start.server)
    assert any(isinstance(e, AcceptRun) for e in effects + harness.effects)
