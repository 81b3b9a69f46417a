"""Orders of events in which a response is attributed to a start that has not written it.

Guards against streams that are joined of two software versions, against origins that are kept for
ever, and against rests that are rejected although their start could be confirmed.
"""

from medlarbeam.classes.fleet import (
    UNKNOWN_ORIGIN,
    NodeRegistration,
    SoftwareVersion,
    StreamReport,
)
from medlarbeam.classes.gateway_effects import (
    PublishStreams,
    RefuseRequest,
    StartFleetRun,
    SyncStore,
)
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    LeaseRenewed,
    NodeDatagram,
    RunCompleted,
    RunInterrupted,
    RunStarted,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.classes.server_messages import ServerLeaving
from medlarbeam.classes.server_starts import (
    AcceptRun,
    CheckServerStart,
    RunAnswered,
    WatchProgress,
)
from medlarbeam.gateway.stream_origins import RETENTION_S
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server, make_settings
from medlarbeam.gateway.tests.test_forwarding import NEAR, fail_to_connect
from medlarbeam.gateway.tests.test_server_starts import (
    MIXED,
    PEER,
    begin,
    hear_streams,
    list_reports,
    make_fleet,
    pass_quietly,
    state_other,
    take_up,
)
from medlarbeam.readwrite.peer_frames import encode_datagram

OLD = SoftwareVersion("llm", "v1")
ONE_VERSION = MIXED[:2]


def test_store_that_returns_does_not_confirm_a_start_that_could_not_write_its_entry():
    harness = make_fleet()
    harness.deliver(StoreUnavailable("no response"))
    begin(harness)  # at a later start, whose entry the store does not take yet
    pass_quietly(harness, 4.0)
    harness.deliver(LeaseRenewed(harness.now, False, 0))
    harness.deliver(StoreSynced(harness.now))
    sent, published = list_reports(harness.pass_time(0.6))
    assert sent == {"id-1": UNKNOWN_ORIGIN}
    assert published == {}


def test_stream_of_a_restarted_server_is_not_taken_up_at_another_node_at_the_former_version():
    first = make_harness(servers=ONE_VERSION, nodes=[PEER])
    pass_quietly(first, 5.0)
    start = begin(first)
    state_other(first, start.server)
    effects = first.pass_time(0.2)
    registration = NodeRegistration("n1", "z1", "10.0.0.1:7000", 5)
    second = make_harness(make_settings("n2"), servers=ONE_VERSION, nodes=[registration])
    pass_quietly(second, 5.0)
    for effect in effects:
        if hasattr(effect, "body"):
            second.deliver(NodeDatagram(effect.body))
    second.send_request(
        "chat", HOT, request_id="again", attempt="again", last_event=3, resumes="id-1"
    )
    effects = list(second.effects)
    second.effects = effects
    if second.find(SyncStore):  # the new entry is not written yet
        second.deliver(StoreSynced(second.now))
        effects += second.effects + second.gateway.tick(second.now)
    assert [e.server.software for e in effects if isinstance(e, StartFleetRun)] == []


def test_origin_that_stays_unknown_is_forgotten_after_its_stream_has_ended():
    harness = make_fleet()
    start = begin(harness)
    pass_quietly(harness, 0.1)
    harness.deliver(RunCompleted(start.run_id, 200, None, None))
    for _ in range(8):
        harness.pass_time(RETENTION_S / 4)
    harness.pass_time(2 * RETENTION_S)
    assert "id-1" not in harness.gateway.origins.origins


def test_take_up_is_refused_at_once_after_the_store_was_set_back():
    harness = make_harness(servers=ONE_VERSION, nodes=[PEER])
    pass_quietly(harness, 5.0)
    harness.deliver(StoreSetBack(1))
    harness.deliver(StoreSnapshot([], 5, 1))
    for server in ONE_VERSION:
        harness.write_entry(f"servers/{server.name}", server)
    harness.send_request(
        "chat", HOT, request_id="again", attempt="again", last_event=3, resumes="id-1"
    )
    assert harness.find(RefuseRequest)


def test_store_is_not_asked_again_by_each_of_its_answers():
    harness = make_harness(servers=ONE_VERSION, nodes=[PEER])
    pass_quietly(harness, 5.0)
    harness.deliver(StoreSetBack(1))
    harness.deliver(StoreSnapshot([], 5, 1))
    for server in ONE_VERSION:
        harness.write_entry(f"servers/{server.name}", server)
    harness.send_request(
        "chat", HOT, request_id="again", attempt="again", last_event=3, resumes="id-1"
    )
    calls = len(harness.find(SyncStore))
    for _ in range(20):
        pass_quietly(harness, 0.005)
        harness.deliver(StoreSynced(harness.now - 0.002))
        calls += sum(isinstance(e, SyncStore) for e in harness.gateway.tick(harness.now))
    assert calls <= 2


def test_server_is_asked_for_its_start_once_it_names_no_limit_any_more():
    harness = make_fleet()
    hear_streams(harness, OLD)
    for server in MIXED:
        harness.gateway.limits.observe(server.name, 50.0, harness.now)
    pass_quietly(harness, 0.5)
    start = take_up(harness)
    assert not harness.find(CheckServerStart)
    harness.gateway.limits.limits.clear()
    effects = harness.pass_time(0.4)
    assert [e.server for e in effects if isinstance(e, CheckServerStart)] == [start.server]


def test_rest_at_a_limited_server_is_confirmed_by_data_on_a_known_connection():
    harness = make_harness(servers=[MIXED[0], MIXED[2]], nodes=[PEER])
    pass_quietly(harness, 5.0)
    known = begin(harness, "id-9", connected_s=60.0)
    hear_streams(harness, SoftwareVersion("llm", known.server.software))
    harness.gateway.limits.observe(known.server.name, 50.0, harness.now)
    pass_quietly(harness, 0.5)
    take_up(harness)
    watched = [run for e in harness.find(WatchProgress) for run in e.run_ids]
    assert not harness.find(AcceptRun)
    assert watched == [known.run_id]


def test_rest_of_a_stream_of_unknown_origin_is_not_forwarded():
    servers = make_two_of_one_version()
    harness = make_harness(servers=servers, nodes=[NEAR])
    pass_quietly(harness, 5.0)
    start = begin(harness, "id-7")
    state_other(harness, start.server)
    harness.send_request("chat", HOT, request_id="r0", attempt="r0")
    fail_to_connect(harness)
    assert harness.gateway.paths.is_lost("llm")
    harness.deliver(RunInterrupted(start.run_id, "reset", 3, True, is_connection_lost=True))
    assert [(e.server.name, e.origin) for e in harness.find(StartFleetRun)] == []


def make_two_of_one_version():
    return [make_server("w1", "llm"), make_server("w2", "llm")]


def test_start_of_a_leaving_server_is_confirmed():
    harness = make_fleet()
    harness.send_request("chat", HOT, 30.0, request_id="id-1", attempt="id-1")
    (start,) = harness.find(StartFleetRun)
    pass_quietly(harness, 0.01)
    harness.deliver(ServerLeaving(start.server.name, 1, "id-1", "stream", "1"))
    harness.deliver(RunStarted(start.run_id, None, connected_at=harness.now - 0.005))
    harness.revision += 1
    harness.deliver(EntryDeleted(f"servers/{start.server.name}", harness.revision))
    for _ in range(2):
        pass_quietly(harness, 1.5)
        harness.deliver(StoreSynced(harness.now))
        harness.pass_time(0.01)
    assert harness.gateway.relays.open_relays["id-1"].software == start.server.software


def test_report_names_no_stream_of_unknown_origin():
    harness = make_fleet()
    begin(harness, connected_s=60.0)
    harness.send_request("chat", HOT, request_id="r2", attempt="id-1")
    (start,) = harness.find(StartFleetRun)
    harness.deliver(RunStarted(start.run_id, None, connected_at=harness.now))
    effects = harness.pass_time(0.6)
    bodies = [e.body for e in effects if isinstance(getattr(e, "body", None), StreamReport)]
    bodies += [e.report for e in effects if isinstance(e, PublishStreams)]
    assert all(item.version is not None for body in bodies for item in body.streams)
    for body in bodies:
        encode_datagram(body)


def test_forwarded_request_without_an_event_may_run_at_another_version():
    harness = make_harness(servers=[MIXED[0], MIXED[2]], nodes=[PEER])
    pass_quietly(harness, 5.0)
    harness.send_request("chat", HOT, runs_elsewhere=0)
    (start,) = harness.find(StartFleetRun)
    harness.deliver(RunAnswered(start.run_id, harness.now - 60.0))
    harness.deliver(RunInterrupted(start.run_id, "reset", 0, False, is_connection_lost=True))
    assert len(harness.find(StartFleetRun)) == 1


def test_new_stream_of_another_node_is_not_delayed_at_a_limited_server():
    harness = make_fleet()
    for server in MIXED:
        harness.gateway.limits.observe(server.name, 50.0, harness.now)
    pass_quietly(harness, 0.5)
    harness.send_request("chat", HOT, runs_elsewhere=0)
    (start,) = harness.find(StartFleetRun)
    harness.deliver(RunAnswered(start.run_id, harness.now))
    effects = harness.effects + harness.pass_time(0.1)
    assert [e.run_id for e in effects if isinstance(e, AcceptRun)] == [start.run_id]
