"""Inquiries end by evidence only: a sound server is not taken for crashed, nor a crash for an end.

Guards against crashes that nobody counts, against harmless requests that are accused, and against
responses cut short that callers take for complete.
"""

from math import inf

import pytest

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import ProbeServer, RefuseRequest, SendDatagram
from medlarbeam.classes.gateway_messages import (
    NodeDatagram,
    RunCompleted,
    RunInterrupted,
    RunStalled,
    RunStarted,
    StoreSynced,
)
from medlarbeam.classes.peer_messages import DeathReport, LostRun
from medlarbeam.classes.server_messages import ProbeResult, RunClosed
from medlarbeam.classes.server_starts import AcceptRun, RejectRun
from medlarbeam.gateway.crash_inquiries import PRESUMED_CRASHED_S
from medlarbeam.gateway.crash_reports import SUSPECT_S
from medlarbeam.gateway.inquiry import HOLD_S
from medlarbeam.gateway.tests.fleet_samples import HOT, make_harness, make_server

OTHER = NodeRegistration("n2", "z1", "10.0.0.2:7000", 1)
START = 1
# What a probe shows, as fields of `ProbeResult` after the name of the server.
REFUSED = (True, "refused")
SILENT = (False, "TimeoutError")
CLOSED = (False, "disconnected", True)
SAME = (False, "", True, "", True, START)
UNSTATED = (False, "", True, "", True)
LATER = (False, "", True, "", True, START + 1)
OTHER_SERVER = (False, "", True, "", False, None, True)


class Inquest:
    """A gateway whose run has ended in some way, and the answers to its probes."""

    __slots__ = ("effects", "harness", "run")

    def __init__(self):
        servers = [make_server(f"w{index}", "llm", started_at_ms=START) for index in range(6)]
        self.harness = make_harness(servers=servers, nodes=[OTHER])
        self.effects = []
        self.harness.send_request("chat", HOT, parts=["a1", "bad"])
        (self.run,) = self.harness.find_runs()

    def deliver(self, message):
        """Pass a message to the gateway."""
        self.effects += self.harness.deliver(message)

    def lose(self):
        """Lose the connection of the run."""
        self.deliver(RunInterrupted(self.run.run_id, "reset", 0, False, is_connection_lost=True))

    def stall(self):
        """Report that the run has brought nothing for a second."""
        self.pass_time(1.0)
        self.deliver(RunStalled(self.run.run_id, 0, 1.0))

    def close(self):
        """End a response without a length."""
        self.deliver(RunStarted(self.run.run_id, None))
        self.deliver(RunClosed(self.run.run_id))

    def pass_time(self, seconds):
        """Advance the clock."""
        self.effects += self.harness.pass_time(seconds)

    def answer(self, *results):
        """Answer the open probes of the server, one after the other, as time passes."""
        for index, fields in enumerate(results):
            if index:
                self.pass_time(PRESUMED_CRASHED_S / 2)
            name = self.run.server.name
            asked = [e for e in self.effects if isinstance(e, ProbeServer)]
            assert [e for e in asked if e.server.name == name]
            result = ProbeResult(name, *fields)
            result.asked_path = ""
            self.deliver(result)

    def find_deaths(self):
        """Return the ids of crashes that are evidence against the part ``bad``."""
        record = self.harness.gateway.crashes.records.get("part:bad")
        return list(record.deaths) if record is not None else []

    def find(self, *kinds):
        """Return the effects of some classes so far."""
        return [e for e in self.effects if isinstance(e, kinds)]


CRASHED, NOT_CRASHED = True, False
FINDINGS = [
    ("refused-connection", Inquest.lose, [REFUSED], CRASHED),
    ("same-start-answers", Inquest.lose, [SAME], NOT_CRASHED),
    ("later-start-answers", Inquest.lose, [LATER], CRASHED),
    ("address-has-another-server", Inquest.lose, [OTHER_SERVER], CRASHED),
    ("one-probe-without-an-answer", Inquest.lose, [CLOSED], NOT_CRASHED),
    ("proxy-before-a-dead-server", Inquest.lose, [CLOSED, CLOSED, CLOSED], CRASHED),
    ("proxy-and-then-the-same-start", Inquest.lose, [CLOSED, SAME], NOT_CRASHED),
    ("dark-machine", Inquest.stall, [SILENT, SILENT, SILENT], CRASHED),
    ("silent-for-a-second", Inquest.stall, [SILENT, SAME], NOT_CRASHED),
    ("start-not-stated", Inquest.lose, [UNSTATED], NOT_CRASHED),
]


@pytest.mark.parametrize(
    ("end", "results", "is_crash"), [f[1:] for f in FINDINGS], ids=[f[0] for f in FINDINGS]
)
def test_finding_of_an_inquiry(end, results, is_crash):
    inquest = Inquest()
    end(inquest)
    inquest.answer(*results)
    assert bool(inquest.find_deaths()) is is_crash


ENDINGS = [
    ("server-lives", [SAME], AcceptRun),
    ("server-answers-without-its-start", [UNSTATED], AcceptRun),
    ("connections-are-refused", [REFUSED], RejectRun),
    ("another-start-answers", [LATER], RejectRun),
    ("nothing-is-found-out", [], RejectRun),
]


@pytest.mark.parametrize(("results", "kind"), [e[1:] for e in ENDINGS], ids=[e[0] for e in ENDINGS])
def test_end_of_a_response_without_a_length_is_held_back(results, kind):
    inquest = Inquest()
    inquest.close()
    assert not inquest.find(AcceptRun, RejectRun)
    inquest.answer(*results)
    if not results:
        inquest.pass_time(HOLD_S + 0.1)
    assert [type(e) for e in inquest.find(AcceptRun, RejectRun)] == [kind]


def test_response_that_a_crash_has_cut_short_is_evidence():
    inquest = Inquest()
    inquest.close()
    inquest.answer(REFUSED)
    (rejection,) = inquest.find(RejectRun)
    message = RunInterrupted(rejection.run_id, "", 1, True, is_connection_lost=True)
    inquest.deliver(message)
    assert inquest.find_deaths() == [f"{inquest.run.server.name}/{START}"]


def test_probe_from_before_the_end_of_a_response_does_not_show_that_it_is_complete():
    inquest = Inquest()
    inquest.harness.send_request("chat", HOT, request_id="r2", attempt="id-2")
    second = inquest.harness.find_runs()[-1]
    while second.server.name != inquest.run.server.name:
        inquest.harness.send_request("chat", HOT, request_id=f"r{id(second)}")
        second = inquest.harness.find_runs()[-1]
    inquest.deliver(RunStarted(second.run_id, None))
    inquest.close()
    inquest.pass_time(0.01)
    inquest.deliver(RunClosed(second.run_id))
    inquest.answer(SAME)
    assert [e.run_id for e in inquest.find(AcceptRun)] == [inquest.run.run_id]
    inquest.answer(REFUSED)
    assert [e.run_id for e in inquest.find(RejectRun)] == [second.run_id]


def presume(inquest):
    inquest.stall()
    inquest.answer(SILENT, SILENT, SILENT)
    assert inquest.find_deaths()


def hear_presumption(inquest):
    runs = [LostRun("7", ["a1", "bad"], [], 0.5)]
    inquest.deliver(NodeDatagram(DeathReport("n2", "w9/1", 1.5, 0.5, runs)))
    assert inquest.find_deaths()


def answer_as_before(inquest):
    inquest.pass_time(1.1)
    inquest.answer(SAME)


def hear_retraction(inquest):
    inquest.deliver(NodeDatagram(DeathReport("n2", "w9/1", 3.0, 0.5, [], True)))


def hear_repeat_after_retraction(inquest):
    hear_retraction(inquest)
    hear_report = NodeDatagram(DeathReport("n2", "w9/1", 3.0, 0.5, [LostRun("7", ["bad"])]))
    inquest.deliver(hear_report)


RETRACTIONS = [
    ("same-start-answers-later", presume, answer_as_before),
    ("another-node-retracts", hear_presumption, hear_retraction),
    ("repeat-arrives-after-the-retraction", hear_presumption, hear_repeat_after_retraction),
]


@pytest.mark.parametrize(
    ("accuse", "retract"), [r[1:] for r in RETRACTIONS], ids=[r[0] for r in RETRACTIONS]
)
def test_server_that_was_only_silent_leaves_no_evidence(accuse, retract):
    inquest = Inquest()
    accuse(inquest)
    retract(inquest)
    assert not inquest.find_deaths()


ENTRIES = [("start-is-the-same", START, False), ("start-is-another", START + 1, True)]


@pytest.mark.parametrize(
    ("start", "is_crash"), [e[1:] for e in ENTRIES], ids=[e[0] for e in ENTRIES]
)
def test_store_tells_whether_a_server_that_does_not_state_its_start_has_restarted(start, is_crash):
    inquest = Inquest()
    inquest.lose()
    inquest.answer(UNSTATED)
    name = inquest.run.server.name
    inquest.pass_time(1.5)
    inquest.harness.write_entry(f"servers/{name}", make_server(name, "llm", started_at_ms=start))
    inquest.deliver(StoreSynced(inquest.harness.now))
    assert bool(inquest.find_deaths()) is is_crash
    assert not inquest.harness.gateway.inquiries.answered


def test_run_that_is_sent_to_a_server_while_it_is_down_is_no_evidence():
    inquest = Inquest()
    inquest.lose()
    inquest.answer(CLOSED, CLOSED, CLOSED)
    relays = inquest.harness.gateway.relays
    relay = next(iter(relays.open_relays.values()))
    relay.server = inquest.run.server
    relay.sent_at = inquest.harness.now - 0.5
    before = len(inquest.harness.gateway.crashes.records["part:bad"].deaths)
    inquest.harness.gateway.inquiries.record_lost_run(relay, inquest.harness.now, Effects())
    assert len(inquest.harness.gateway.crashes.records["part:bad"].deaths) == before


class Effects:
    """Outbox that drops the effects."""

    __slots__ = ()

    def emit(self, effect):
        """Drop an effect."""


def send_reports(inquest):
    """Return the `DeathReport` datagrams to the other node so far."""
    datagrams = [e for e in inquest.find(SendDatagram) if e.address == OTHER.address]
    return [e.body for e in datagrams if isinstance(e.body, DeathReport)]


def wait_for_repeats(inquest):
    inquest.pass_time(1.0)


def restart_other_node(inquest):
    inquest.pass_time(5.0)
    node = NodeRegistration("n2", "z1", OTHER.address, 2)
    inquest.effects += inquest.harness.write_entry("node/n2", node)


def restart_other_node_late(inquest):
    inquest.pass_time(SUSPECT_S + 1.0)
    node = NodeRegistration("n2", "z1", OTHER.address, 2)
    inquest.effects += inquest.harness.write_entry("node/n2", node)


# Guards against evidence that is lost with a datagram, or with the process that had it.
REPORTS = [
    ("datagram-is-lost", wait_for_repeats, 3),
    ("node-starts-again", restart_other_node, 4),
    ("old-crashes-are-not-reported-to-a-node-that-starts", restart_other_node_late, 3),
]


@pytest.mark.parametrize(
    ("wait", "expected"), [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_crash_is_reported_again(wait, expected):
    inquest = Inquest()
    inquest.lose()
    inquest.answer(REFUSED)
    wait(inquest)
    reports = send_reports(inquest)
    assert len(reports) == expected
    assert len({report.death_id for report in reports}) == 1
    # The same moment by the clock of the receiver, however late the report is sent.
    ages = [report.age_s for report in reports]
    assert ages == sorted(ages)


def test_repeated_report_counts_each_run_once():
    inquest = Inquest()
    report = DeathReport("n2", "w9/1", 0.1, 0.5, [LostRun("7", ["bad"], [], 0.2)])
    for _ in range(3):
        inquest.deliver(NodeDatagram(report))
    record = inquest.harness.gateway.crashes.records["part:bad"]
    assert [len(death.runs) for death in record.deaths.values()] == [1]


AGES = [("of-the-future", -inf), ("without-a-bound", inf)]


@pytest.mark.parametrize("age_s", [a[1] for a in AGES], ids=[a[0] for a in AGES])
def test_report_with_an_impossible_age_does_not_spread(age_s):
    inquest = Inquest()
    inquest.deliver(NodeDatagram(DeathReport("n2", "w9/1", age_s, age_s, [LostRun("7", ["bad"])])))
    assert inquest.harness.gateway.crashes.served.last() <= inquest.harness.now
    assert max(inquest.harness.gateway.crashes.deaths.values()) <= inquest.harness.now


NAMES = [
    ("same-crash-noticed-later", 0.8, "w1/1"),
    ("second-crash-before-the-new-entry-is-read", 3.0, "w1/1.1"),
]


@pytest.mark.parametrize(("after_s", "expected"), [n[1:] for n in NAMES], ids=[n[0] for n in NAMES])
def test_two_crashes_of_one_name_are_told_apart(after_s, expected):
    inquest = Inquest()
    now = inquest.harness.now
    report = DeathReport("n2", "w1/1", 0.0, 0.5, [LostRun("7", ["bad"])])
    inquest.deliver(NodeDatagram(report))
    entry = make_server("w1", "llm", started_at_ms=1)
    assert inquest.harness.gateway.crashes.name_death(entry, now + after_s) == expected


def test_rest_of_a_stream_without_an_event_clears_nothing():
    inquest = Inquest()
    inquest.lose()
    inquest.answer(REFUSED)
    harness = inquest.harness
    harness.send_request("chat", HOT, request_id="r9", parts=["bad"], last_event=14)
    run = harness.find_runs()[-1]
    harness.deliver(RunCompleted(run.run_id, 200, None))
    assert harness.gateway.crashes.records["part:bad"].completions == 0
    assert not harness.find(RefuseRequest)
