"""Requests that crash backend servers are quarantined by what they have in common.

Guards against one crash after the other by requests that share a prompt part or are repeated, and
against a quarantine of what harmless requests contain.
"""

import pytest

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import (
    CancelFleetRun,
    ProbeServer,
    PublishQuarantine,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
    WithdrawQuarantine,
)
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    EntryDeleted,
    EntryUpdated,
    NodeDatagram,
    RunCompleted,
    RunInterrupted,
    RunStarted,
    StoreSetBack,
    StoreSnapshot,
)
from medlarbeam.classes.node_records import Quarantine
from medlarbeam.classes.peer_messages import ClearanceReport, DeathReport, LostRun
from medlarbeam.classes.server_messages import ProbeResult
from medlarbeam.exceptions import ErrorKind, RunState
from medlarbeam.gateway.crash_evidence import ServedTimes, SuspicionRecord, find_convictions
from medlarbeam.gateway.crash_suspects import QUARANTINE_S, SUSPECT_S
from medlarbeam.gateway.tests.crash_fleet import CrashFleet
from medlarbeam.gateway.tests.crash_ways import WAYS
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server

CONTACT_S = 3.0
MAX_LATE_SENDS = 3
HARM_AFTER_S = 3.0
FLEETS = [
    ("small-fleet", {}, 60.0, 5.7, HARM_AFTER_S),
    ("few-harmful-requests", {}, 60.0, 0.8, HARM_AFTER_S),
    ("half-as-many-harmful-as-harmless", {}, 60.0, 30.0, HARM_AFTER_S),
    ("many-gateways", {"gateways": 16, "engines": 24}, 120.0, 12.0, HARM_AFTER_S),
    ("lost-datagrams", {"loss": 0.2}, 60.0, 5.7, HARM_AFTER_S),
    ("little-other-traffic", {}, 6.0, 3.0, HARM_AFTER_S),
    ("before-anything-was-served", {}, 60.0, 5.7, 0.0),
]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("fleet", "harmless_per_s", "harmful_per_s", "harm_after_s"),
    [f[1:] for f in FLEETS],
    ids=[f[0] for f in FLEETS],
)
def test_harmful_prompt_part_stops_reaching_servers(
    fleet, harmless_per_s, harmful_per_s, harm_after_s, seed
):
    fleet = CrashFleet(seed, **fleet)
    start = fleet.now
    fleet.schedule_load(start, start + 20, harmless_per_s, 0.0)
    fleet.schedule_load(start + harm_after_s, start + 20, 0.0, harmful_per_s)
    fleet.run_until(start + 25)
    check_harmful_part(fleet, start + 20)


def check_harmful_part(fleet, end):
    """Check that harmful requests stop reaching engines, and that others still begin there."""
    assert len(fleet.crashed_at) >= 2
    crashes = fleet.crashed_at[:5]
    late = [at for at in fleet.harmful_sends if at > crashes[-1] + CONTACT_S]
    assert len(late) <= MAX_LATE_SENDS
    harmless = [
        request_id
        for request_id, at in fleet.sent.items()
        if crashes[-1] + 2 * CONTACT_S < at < end and not fleet.is_harmful[request_id]
    ]
    assert harmless
    assert sum(r in fleet.begun for r in harmless) >= 0.95 * len(harmless)


# Guards against crashes that no gateway takes for one, as no connection is refused.
UNREFUSED = [way for way in WAYS if way.name != "refused"]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("way", UNREFUSED, ids=[way.name for way in UNREFUSED])
def test_harmful_prompt_part_is_found_however_servers_die(way, seed):
    fleet = CrashFleet(seed, way=way)
    start = fleet.now
    fleet.schedule_load(start, start + 20, 60.0, 0.0)
    fleet.schedule_load(start + HARM_AFTER_S, start + 20, 0.0, 5.7)
    fleet.run_until(start + 25)
    check_harmful_part(fleet, start + 20)


@pytest.mark.parametrize("seed", range(4))
def test_crashes_at_the_same_moment_quarantine_no_prompt_part(seed):
    """A third of the engines lose power at once, under harmless requests."""
    fleet = CrashFleet(seed)
    start = fleet.now
    fleet.schedule_load(start, start + 10, 60.0, 0.0, sessions=400)
    for engine in list(fleet.engines.values())[:3]:
        fleet.call_at(start + 3, fleet.crash, engine)
    fleet.run_until(start + 12)
    assert len(fleet.crashed_at) == 3
    assert not [e for _, _, e in fleet.log if e.name == "quarantine_started"]


class Gateway:
    """A gateway with ten engines, one other node and shorthands for crashes."""

    __slots__ = ("harness", "serial")

    def __init__(self):
        servers = [make_server(f"w{index}", "llm") for index in range(10)]
        nodes = [NodeRegistration("n2", "z1", "10.0.0.2:7000", 1)]
        self.harness = make_harness(servers=servers, nodes=nodes)
        self.serial = 0

    def send(self, parts=(), fingerprint=None):
        """Send a request; return its run, or None."""
        self.serial += 1
        fingerprint = self.serial if fingerprint is None else fingerprint
        self.harness.send_request(
            "chat", HOT, request_id=f"r{self.serial}", parts=parts, fingerprint=fingerprint
        )
        return next(iter(self.harness.find(StartFleetRun)), None)

    def serve(self, parts=()):
        """Serve a request completely."""
        run = self.send(parts)
        self.harness.deliver(RunStarted(run.run_id, None))
        self.harness.deliver(RunCompleted(run.run_id, 200, None))

    def lose(self, run, is_refused=True):
        """Lose the connection of a run; the probe of its server is refused or accepted."""
        effects = self.harness.deliver(
            RunInterrupted(run.run_id, "reset", 0, False, is_connection_lost=True)
        )
        name = run.server.name
        for probe in [e for e in effects if isinstance(e, ProbeServer) and e.server.name == name]:
            is_up = not is_refused
            start = probe.server.started_at_ms if is_up else None
            result = ProbeResult(name, is_refused, "", is_up, probe.asked_path, is_up, start)
            effects = effects + self.harness.deliver(result)
        return effects

    def crash(self, parts, fingerprint=None):
        """Crash a server under a request whose caller then leaves; return the effects."""
        run = self.send(parts, fingerprint)
        if run is None:
            return []
        effects = self.lose(run)
        self.harness.deliver(CallerDisconnected(run.request_id))
        self.harness.revision += 1
        self.harness.deliver(EntryDeleted(f"servers/{run.server.name}", self.harness.revision))
        return effects + self.harness.pass_time(1.0)

    def is_refused(self, parts, fingerprint=None):
        """Return whether a new request is refused for the crashes of others."""
        run = self.send(parts, fingerprint)
        if run is not None:
            self.harness.deliver(RunCompleted(run.run_id, 200, None))
            return False
        (refusal,) = self.harness.find(RefuseRequest)
        assert refusal.failure.kind is ErrorKind.CRASH_SUSPECT
        assert refusal.failure.run_state is RunState.NOT_RUN
        assert 0.0 < refusal.retry_after_s <= QUARANTINE_S
        return True


def crash_twice(gateway):
    gateway.crash(["a1", "bad"])
    gateway.serve(["a1"])
    return gateway.crash(["a1", "bad"])


def crash_with_success_between(gateway):
    gateway.crash(["a1", "bad"])
    gateway.serve(["bad"])
    gateway.crash(["a1", "bad"])


def crash_with_clearance_between(gateway):
    gateway.crash(["a1", "bad"])
    gateway.harness.deliver(NodeDatagram(ClearanceReport("n2", ["part:bad"])))
    gateway.serve(["a1"])
    gateway.crash(["a1", "bad"])


def crash_while_nothing_is_served(gateway):
    gateway.crash(["a1", "bad"])
    gateway.crash(["a2", "bad"])


def lose_connections_to_a_live_server(gateway):
    for _ in range(4):
        gateway.serve(["a1"])
        run = gateway.send(["a1", "bad"])
        gateway.lose(run, False)
        gateway.harness.deliver(CallerDisconnected(run.request_id))
        gateway.harness.pass_time(1.0)


def crash_under_repeats_of_one_request(gateway):
    for _ in range(3):
        gateway.serve(["a1"])
        gateway.crash(["a1", "bad"], fingerprint=77)


def hear_of_crashes(gateway):
    for number in range(2):
        gateway.harness.pass_time(1.0)
        runs = [LostRun(f"{number}", ["a1", "bad"])]
        gateway.harness.deliver(NodeDatagram(DeathReport("n2", f"x{number}/1", 0.0, 0.0, runs)))
        gateway.serve(["a1"])
    gateway.harness.pass_time(0.2)


def read_published_quarantine(gateway):
    gateway.harness.write_entry("q/1", Quarantine("part:bad", "n2"))


def quarantine_until_it_expires(gateway):
    crash_twice(gateway)
    gateway.harness.pass_time(QUARANTINE_S + 1)


def crash_after_the_quarantine(gateway):
    quarantine_until_it_expires(gateway)
    gateway.crash(["a1", "bad"])


def hear_of_crashes_before_one_review(gateway):
    """Let a part and a request reach their limits at once, the part at one more crash."""
    for number in range(4):
        gateway.serve(["a1"])
        runs = [LostRun("77" if number else "1", ["bad"])]
        gateway.harness.deliver(NodeDatagram(DeathReport("n2", f"x{number}/1", 0.0, 0.0, runs)))
        gateway.harness.gateway.crashes.review_at = gateway.harness.now + 1.0
        gateway.harness.pass_time(0.1)
    gateway.harness.pass_time(2.0)


def wait_between_crashes(gateway):
    gateway.crash(["a1", "bad"])
    gateway.harness.pass_time(SUSPECT_S + 1)
    gateway.serve(["a1"])
    gateway.crash(["a1", "bad"])


def delete_published_quarantine(gateway):
    read_published_quarantine(gateway)
    gateway.harness.revision += 1
    gateway.harness.deliver(EntryDeleted("q/1", gateway.harness.revision))


HISTORIES = [
    ("two-crashes-in-succession", crash_twice, "bad", True),
    ("other-part-of-the-same-requests", crash_twice, "a1", False),
    ("request-with-the-part-was-served", crash_with_success_between, "bad", False),
    ("another-node-served-the-part", crash_with_clearance_between, "bad", False),
    ("all-engines-are-down", crash_while_nothing_is_served, "bad", False),
    ("connections-are-reset-by-a-live-server", lose_connections_to_a_live_server, "bad", False),
    ("one-request-does-not-convict-its-parts", crash_under_repeats_of_one_request, "bad", False),
    ("another-node-reports-crashes", hear_of_crashes, "bad", True),
    ("request-is-explained-by-its-part", hear_of_crashes_before_one_review, "bad", True),
    ("quarantine-in-the-store-after-a-restart", read_published_quarantine, "bad", True),
    ("quarantine-expires", quarantine_until_it_expires, "bad", False),
    ("first-crash-after-a-quarantine-renews-it", crash_after_the_quarantine, "bad", True),
    ("suspicion-expires", wait_between_crashes, "bad", False),
    ("operator-deletes-a-quarantine", delete_published_quarantine, "bad", False),
]


@pytest.mark.parametrize(
    ("history", "part", "expected"), [h[1:] for h in HISTORIES], ids=[h[0] for h in HISTORIES]
)
def test_history_of_crashes_decides_on_the_next_request(history, part, expected):
    gateway = Gateway()
    history(gateway)
    assert gateway.is_refused([part]) is expected


def test_repeated_request_that_crashes_servers_is_refused():
    gateway = Gateway()
    crash_under_repeats_of_one_request(gateway)
    assert gateway.is_refused(["a1"], fingerprint=77)


REACTIONS = [
    ("other-nodes-are-not-told-of-a-crash", SendDatagram, "n2"),
    ("nodes-that-start-later-do-not-know", PublishQuarantine, "part:bad"),
]


@pytest.mark.parametrize(
    ("kind", "expected"), [r[1:] for r in REACTIONS], ids=[r[0] for r in REACTIONS]
)
def test_quarantine_reaches_other_nodes(kind, expected):
    gateway = Gateway()
    effects = crash_twice(gateway) + gateway.harness.pass_time(2.0)
    found = [e for e in effects if isinstance(e, kind)]
    if kind is PublishQuarantine:
        assert expected in [e.fingerprint for e in found]
    else:
        assert [e for e in found if isinstance(e.body, DeathReport)]


def test_runs_that_have_not_begun_are_cancelled_by_a_quarantine():
    gateway = Gateway()
    open_run = gateway.send(["a2", "bad"])
    gateway.harness.write_entry("q/1", Quarantine("part:bad", "n2"))
    assert [e.run_id for e in gateway.harness.find(CancelFleetRun)] == [open_run.run_id]
    (refusal,) = gateway.harness.find(RefuseRequest)
    assert refusal.failure.run_state is RunState.MAY_HAVE_RUN


def test_success_of_an_open_stream_withdraws_a_quarantine():
    gateway = Gateway()
    run = gateway.send(["bad"])
    gateway.harness.deliver(RunStarted(run.run_id, None))
    read_published_quarantine(gateway)
    gateway.harness.deliver(RunCompleted(run.run_id, 200, None))
    assert [e.fingerprint for e in gateway.harness.find(WithdrawQuarantine)] == ["part:bad"]
    assert not gateway.is_refused(["bad"])


def build_record(name, deaths):
    """Return the record of a part; `deaths` has the number of lost runs at each crash."""
    record = SuspicionRecord(f"part:{name}", "suspected")
    served = ServedTimes()
    for number, runs in enumerate(deaths):
        for index in range(runs):
            at = 10.0 * number
            served.record(at)
            record.record_run(f"d{number}", "n2", f"{name}-{number}-{index}", at, at - 0.5, served)
    return record


EVIDENCE = [
    ("part-of-one-run-at-each-crash", {"bad": [1, 1, 1]}, ["bad"]),
    ("popular-part", {"bad": [1, 1, 1], "all": [9, 9, 9]}, ["bad"]),
    ("popular-part-alone-has-a-rival", {"all": [9, 9, 9], "one": [0, 0, 1]}, []),
    ("popular-part-at-a-node-that-knows-few-runs", {"all": [5, 1], "one": [1, 0]}, []),
    ("popular-part-without-a-rival", {"all": [4, 4]}, []),
    ("equal-evidence", {"x": [1, 1], "y": [1, 1]}, []),
    ("equal-evidence-at-many-crashes", {"x": [1] * 5, "y": [1] * 5}, ["x", "y"]),
]


@pytest.mark.parametrize(
    ("parts", "expected"), [e[1:] for e in EVIDENCE], ids=[e[0] for e in EVIDENCE]
)
def test_part_with_the_most_evidence_is_convicted(parts, expected):
    records = [build_record(name, deaths) for name, deaths in parts.items()]
    convicted = [r.fingerprint for r in find_convictions(records, records)]
    assert convicted == [f"part:{name}" for name in expected]


def delete_quarantine(gateway):
    gateway.harness.deliver(EntryDeleted("q/1", gateway.harness.revision + 1))


def publish_quarantine_again(gateway):
    delete_quarantine(gateway)
    gateway.harness.revision += 1
    read_published_quarantine(gateway)


def keep_quarantine(gateway):
    pass


PUBLISHED = Quarantine("part:bad", "n2")
# What happens before the set-back, whether the copy has the quarantine, and what follows.
COPIES = [
    ("one-that-the-copy-lacks-is-published-again", keep_quarantine, False, PublishQuarantine, True),
    ("one-that-the-copy-has-is-kept", keep_quarantine, True, None, True),
    ("lifted-one-is-withdrawn-again", delete_quarantine, True, WithdrawQuarantine, False),
    ("lifted-one-that-the-copy-lacks", delete_quarantine, False, None, False),
    ("lifted-one-that-was-published-again-is-kept", publish_quarantine_again, True, None, True),
]


@pytest.mark.parametrize(
    ("change", "is_in_copy", "kind", "is_refused"),
    [c[1:] for c in COPIES],
    ids=[c[0] for c in COPIES],
)
def test_quarantine_survives_a_set_back_of_the_store(change, is_in_copy, kind, is_refused):
    """Otherwise the request crashes more backend servers before it is refused again."""
    gateway = Gateway()
    read_published_quarantine(gateway)
    change(gateway)
    entries = [EntryUpdated("q/1", PUBLISHED, 5)] if is_in_copy else []
    gateway.harness.deliver(StoreSetBack(1))
    effects = gateway.harness.deliver(StoreSnapshot(entries, 6, 1))
    effects = effects + gateway.harness.pass_time(2.0)
    changes = [e for e in effects if isinstance(e, (PublishQuarantine, WithdrawQuarantine))]
    assert [(type(e), e.fingerprint) for e in changes] == ([(kind, "part:bad")] if kind else [])
    assert bool(gateway.harness.gateway.crashes.count_quarantined()) is is_refused
