"""Faults found in a review of the inquiries into crashes; each case fails for the fault it names.

Guards against crashes that are not counted, and against evidence that a crash is not.
"""

import pytest

from medlarbeam.classes.gateway_effects import ProbeServer, SendDatagram, WithdrawQuarantine
from medlarbeam.classes.gateway_messages import (
    NodeDatagram,
    RunInterrupted,
    RunStalled,
    RunStarted,
    StoreSynced,
)
from medlarbeam.classes.node_records import Quarantine
from medlarbeam.classes.peer_messages import DeathReport, LostRun
from medlarbeam.classes.server_messages import ProbeResult, RunClosed
from medlarbeam.classes.server_starts import AcceptRun, RejectRun
from medlarbeam.gateway.crash_evidence import ServedTimes, SuspicionRecord
from medlarbeam.gateway.tests.fleet_samples import HOT, make_server
from medlarbeam.gateway.tests.test_crash_inquiries import (
    CLOSED,
    REFUSED,
    SAME,
    SILENT,
    START,
    Inquest,
    answer_as_before,
    presume,
)


def send_to_same_server(inquest, request_id, parts, route="chat"):
    """Send requests until one runs on the server under inquiry; return its `StartFleetRun`."""
    name = inquest.run.server.name
    for number in range(200):
        own = f"{request_id}-{number}"
        inquest.effects += inquest.harness.send_request(
            route, HOT, request_id=own, attempt=own, parts=parts, fingerprint=1000 + number
        )
        run = inquest.harness.find_runs()[-1]
        if run.server.name == name:
            return run
    raise AssertionError(f"no request reached {name}")


def start_with_part(part):
    """Return an `Inquest` whose first request has only the shared part `part`."""
    inquest = Inquest()
    inquest.harness.gateway.relays.open_relays["r1"].request.shared_parts = (part,)
    return inquest


def list_deaths(inquest, part):
    """Return the ids of crashes that are evidence against a part."""
    record = inquest.harness.gateway.crashes.records.get(f"part:{part}")
    return list(record.deaths) if record is not None else []


def crash_after_retraction():
    inquest = Inquest()
    presume(inquest)
    answer_as_before(inquest)
    inquest.pass_time(5.0)
    run = send_to_same_server(inquest, "later", ["bad"])
    inquest.pass_time(0.1)
    inquest.deliver(RunInterrupted(run.run_id, "reset", 0, False, is_connection_lost=True))
    inquest.answer(REFUSED)
    return inquest


def crash_reported_after_retraction():
    inquest = Inquest()
    for age_s, is_retracted in ((1.5, False), (1.5, True)):
        report = DeathReport("n2", "w9/1", age_s, 0.5, [LostRun("7", ["x"])], is_retracted)
        inquest.deliver(NodeDatagram(report))
    inquest.pass_time(20.0)
    report = DeathReport("n2", "w9/1", 0.1, 0.5, [LostRun("8", ["bad"])])
    inquest.deliver(NodeDatagram(report))
    return inquest


def server_hangs_before_its_reset():
    inquest = start_with_part("slow")
    inquest.pass_time(0.5)
    run = send_to_same_server(inquest, "harmful", ["bad"])
    inquest.pass_time(0.5)
    inquest.deliver(RunStalled(inquest.run.run_id, 0, 1.0))
    inquest.answer(SILENT)
    inquest.pass_time(0.1)
    inquest.deliver(RunInterrupted(run.run_id, "reset", 0, False, is_connection_lost=True))
    inquest.pass_time(0.5)
    inquest.answer(REFUSED)
    assert list_deaths(inquest, "slow")
    return inquest


def dark_server_with_a_long_prompt_in_flight():
    inquest = start_with_part("slow")
    inquest.pass_time(1.0)
    # Its route allows one attempt, so that it is not moved.
    run = send_to_same_server(inquest, "harmful", ["bad"], "draft")
    inquest.pass_time(1.0)
    inquest.deliver(RunStalled(run.run_id, 0, 1.0))
    inquest.deliver(RunStalled(inquest.run.run_id, 0, 2.0))
    inquest.answer(SILENT, SILENT, SILENT)
    assert list_deaths(inquest, "slow")
    return inquest


def start_crashes_before_its_presumed_crash_is_retracted():
    inquest = start_with_part("slow")
    inquest.stall()
    inquest.answer(SILENT, SILENT)
    assert list_deaths(inquest, "slow")
    relays = inquest.harness.gateway.relays
    inquest.pass_time(0.3)
    # The server, which was only frozen, serves a run again, and crashes under it.
    inquest.harness.send_request("chat", HOT, request_id="r9", parts=["bad"], fingerprint=9)
    run = inquest.harness.find_runs()[-1]
    relay = relays.relays_by_run[run.run_id]
    relay.server = inquest.run.server
    inquest.pass_time(0.05)
    inquest.deliver(RunStarted(run.run_id, None))
    inquest.pass_time(0.05)
    inquest.deliver(RunInterrupted(run.run_id, "reset", 1, True, is_connection_lost=True))
    inquest.pass_time(1.1)
    inquest.answer(REFUSED)
    return inquest


def later_start_responds_first():
    inquest = Inquest()
    name = inquest.run.server.name
    inquest.pass_time(0.2)
    entry = make_server(name, "llm", started_at_ms=START + 1)
    inquest.effects += inquest.harness.write_entry(f"servers/{name}", entry)
    run = send_to_same_server(inquest, "sound", [])
    assert run.server.started_at_ms == START + 1
    inquest.deliver(RunStarted(run.run_id, None))
    inquest.pass_time(0.8)
    inquest.deliver(RunStalled(inquest.run.run_id, 0, 1.0))
    return inquest


COUNTED = [
    ("later-start-responds-before-the-stall", later_start_responds_first),
    ("start-crashes-after-its-presumed-crash-was-retracted", crash_after_retraction),
    ("other-node-reports-a-crash-after-a-retraction", crash_reported_after_retraction),
    ("run-sent-after-silence-began-and-before-the-reset", server_hangs_before_its_reset),
    ("run-sent-long-after-a-silent-one-to-a-dark-server", dark_server_with_a_long_prompt_in_flight),
    ("start-crashes-while-presumed", start_crashes_before_its_presumed_crash_is_retracted),
]


@pytest.mark.parametrize("play", [c[1] for c in COUNTED], ids=[c[0] for c in COUNTED])
def test_crash_counts_against_the_part_that_ran(play):
    assert list_deaths(play(), "bad")


def run_sent_to_a_dark_server_and_moved():
    inquest = start_with_part("cause")
    inquest.pass_time(0.8)
    run = send_to_same_server(inquest, "late", ["bad"])
    inquest.pass_time(0.2)
    inquest.deliver(RunStalled(inquest.run.run_id, 0, 1.0))
    relay = inquest.harness.gateway.relays.relays_by_run[run.run_id]
    inquest.answer(SILENT)
    inquest.pass_time(0.45)
    # As `StalledRuns` does for a run that it moves.
    inquiries = inquest.harness.gateway.inquiries
    inquiries.record_cancelled_run(relay, inquest.harness.now)
    inquest.pass_time(0.1)
    inquest.answer(SILENT)
    inquest.pass_time(0.4)
    inquest.answer(SILENT)
    assert list_deaths(inquest, "cause")
    return inquest


def run_sent_long_after_a_reported_crash():
    inquest = Inquest()
    inquest.pass_time(1.0)
    relay = inquest.harness.gateway.relays.relays_by_run[inquest.run.run_id]
    inquest.harness.gateway.inquiries.record_cancelled_run(relay, inquest.harness.now)
    runs = [LostRun("8", ["x"], [], 0.2)]
    report = DeathReport("n2", f"{inquest.run.server.name}/0", 30.0, 0.5, runs)
    inquest.deliver(NodeDatagram(report))
    return inquest


def server_leaves_after_its_presumed_crash():
    inquest = Inquest()
    presume(inquest)
    name = inquest.run.server.name
    inquest.pass_time(0.1)
    entry = make_server(name, "llm", started_at_ms=START, draining=True)
    inquest.effects += inquest.harness.write_entry(f"servers/{name}", entry)
    inquest.pass_time(1.2)
    if not inquest.harness.gateway.inquiries.inquiries:
        return inquest
    inquest.answer(SAME)
    return inquest


def leaving_server_ends_a_response():
    inquest = Inquest()
    name = inquest.run.server.name
    entry = make_server(name, "llm", started_at_ms=START, draining=True)
    inquest.effects += inquest.harness.write_entry(f"servers/{name}", entry)
    inquest.close()
    inquest.answer(REFUSED)
    (rejection,) = inquest.find(RejectRun)
    message = RunInterrupted(rejection.run_id, "", 1, True, is_connection_lost=True)
    inquest.deliver(message)
    return inquest


def path_to_all_servers_is_lost():
    inquest = Inquest()
    runs = {inquest.run.server.name: inquest.run}
    for number in range(200):
        own = f"x{number}"
        inquest.harness.send_request("draft", HOT, request_id=own, attempt=own, parts=["bad"])
        run = inquest.harness.find_runs()[-1]
        runs.setdefault(run.server.name, run)
    assert len(runs) > 2
    inquest.pass_time(0.1)
    for run in runs.values():
        inquest.deliver(RunInterrupted(run.run_id, "reset", 0, False, is_connection_lost=True))
    for probe in inquest.find(ProbeServer):
        inquest.deliver(ProbeResult(probe.server.name, *REFUSED))
    return inquest


ACCUSED = [
    ("leaving-server-exits-after-an-unframed-response", leaving_server_ends_a_response),
    ("path-to-all-servers-is-lost-at-once", path_to_all_servers_is_lost),
    ("run-sent-while-its-server-was-down-and-moved", run_sent_to_a_dark_server_and_moved),
    ("cancelled-run-sent-after-a-reported-crash", run_sent_long_after_a_reported_crash),
    ("presumed-start-announces-that-it-leaves", server_leaves_after_its_presumed_crash),
]


@pytest.mark.parametrize("play", [a[1] for a in ACCUSED], ids=[a[0] for a in ACCUSED])
def test_run_that_no_crash_can_have_cut_is_not_accused(play):
    assert not list_deaths(play(), "bad")


def test_crash_that_two_nodes_notice_at_different_times_counts_once():
    """Guards against one crash that counts as two, and so convicts after one.

    A run with a long prompt may be silent for two seconds before its node takes that for a stall.
    """
    inquest = Inquest()
    inquest.pass_time(2.0)
    death_id = f"{inquest.run.server.name}/{START}"
    runs = [LostRun("8", ["bad"], [], 0.2)]
    inquest.deliver(NodeDatagram(DeathReport("n2", death_id, 0.5, 0.6, runs)))
    inquest.deliver(RunStalled(inquest.run.run_id, 0, 2.0))
    inquest.answer(SILENT, SILENT, SILENT)
    assert inquest.find_deaths() == [death_id]


def test_response_of_before_a_held_end_does_not_show_that_it_is_complete():
    """Guards against a response cut short that the caller takes for complete."""
    inquest = Inquest()
    second = send_to_same_server(inquest, "second", ["bad"])
    third = send_to_same_server(inquest, "third", ["bad"])
    inquest.deliver(RunStarted(second.run_id, None))
    inquest.pass_time(0.01)
    inquest.close()
    inquest.answer(CLOSED)
    inquest.pass_time(0.25)
    inquest.answer(CLOSED)
    inquest.pass_time(0.05)
    inquest.deliver(RunStarted(third.run_id, None))
    inquest.pass_time(0.1)
    inquest.deliver(RunClosed(second.run_id))
    inquest.answer(CLOSED)
    assert second.run_id not in [e.run_id for e in inquest.find(AcceptRun)]


def test_open_connection_does_not_show_that_a_held_response_is_complete(monkeypatch):
    """Guards against a response cut short that the caller takes for complete.

    A server with a named rate is only probed for a connection, which a proxy accepts for a dead
    server.
    """
    inquest = Inquest()
    limits = type(inquest.harness.gateway.limits)
    monkeypatch.setattr(limits, "is_limited", lambda self, server: True)
    inquest.close()
    inquest.deliver(ProbeResult(inquest.run.server.name, False, "", True))
    assert not inquest.find(AcceptRun)


def test_open_connection_and_an_old_entry_do_not_end_an_inquiry(monkeypatch):
    """Guards against a crash behind a proxy that is not counted.

    The entry of a dead server stays for some heartbeats, so it is evidence only if a process lives.
    """
    inquest = Inquest()
    limits = type(inquest.harness.gateway.limits)
    monkeypatch.setattr(limits, "is_limited", lambda self, server: True)
    inquest.lose()
    inquest.deliver(ProbeResult(inquest.run.server.name, False, "", True))
    inquest.pass_time(1.5)
    inquest.deliver(StoreSynced(inquest.harness.now))
    inquiries = inquest.harness.gateway.inquiries
    assert inquiries.inquiries or inquiries.answered or inquest.find_deaths()


def test_retraction_does_not_lift_a_quarantine_that_rests_on_other_crashes():
    """Guards against a harmful part that is let in again at all nodes.

    A node that has read a quarantine from the store does not know the crashes behind it.
    """
    inquest = Inquest()
    inquest.effects += inquest.harness.write_entry(
        "quarantine/part:bad", Quarantine("part:bad", "n2")
    )
    runs = [LostRun("9", ["bad"], [], 0.5)]
    for is_retracted in (False, True):
        inquest.deliver(NodeDatagram(DeathReport("n2", "w9/1", 1.5, 0.5, runs, is_retracted)))
    assert not inquest.find(WithdrawQuarantine)
    assert inquest.harness.gateway.crashes.count_quarantined() == 1


def test_repeat_of_a_retraction_accuses_no_cancelled_run():
    """Guards against reports of a crash that is known not to have happened."""
    inquest = Inquest()
    relay = inquest.harness.gateway.relays.relays_by_run[inquest.run.run_id]
    inquest.harness.gateway.inquiries.record_cancelled_run(relay, inquest.harness.now)
    death_id = f"{inquest.run.server.name}/{START}"
    for _ in range(2):
        inquest.deliver(NodeDatagram(DeathReport("n2", death_id, 0.1, 0.5, [], True)))
    bodies = [e.body for e in inquest.find(SendDatagram)]
    assert not [b for b in bodies if isinstance(b, DeathReport)]


def test_request_of_a_retracted_crash_counts_in_a_later_one():
    """Guards against a crash that is no strike, because its request was in one that was not."""
    record = SuspicionRecord("part:bad", "suspected")
    served = ServedTimes()
    assert record.record_run("w1/1", "n1", "7", 100.0, 99.0, served)
    record.forget_death("w1/1")
    assert record.record_run("w2/1", "n1", "7", 105.0, 104.0, served)


AGES = [("infinite", float("-inf")), ("far-in-the-future", -1e9)]


@pytest.mark.parametrize("served_age_s", [a[1] for a in AGES], ids=[a[0] for a in AGES])
def test_served_time_in_the_future_is_not_passed_on(served_age_s):
    """Guards against one malformed datagram that hides at all nodes when requests were served."""
    inquest = Inquest()
    runs = [LostRun("7", ["x"])]
    inquest.deliver(NodeDatagram(DeathReport("n2", "w9/1", 0.1, served_age_s, runs)))
    inquest.lose()
    inquest.answer(REFUSED)
    bodies = [e.body for e in inquest.find(SendDatagram)]
    ages = [b.served_age_s for b in bodies if isinstance(b, DeathReport)]
    assert ages
    assert min(ages) >= 0.0
