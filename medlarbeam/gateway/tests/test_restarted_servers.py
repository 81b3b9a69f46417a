"""What is known of a backend server ends with its start, under the same name and address."""

import pytest

from medlarbeam.classes.gateway_effects import StartFleetRun
from medlarbeam.classes.gateway_messages import (
    EntryUpdated,
    NodeDatagram,
    RunInterrupted,
    StoreSnapshot,
)
from medlarbeam.classes.peer_messages import AdapterHolding, HoldingReport
from medlarbeam.gateway.tests.fleet_samples import COLD, HOT, make_harness, make_server
from medlarbeam.node.component import Outbox

LEDGERS = [make_server(name, "ledger") for name in ("l1", "l2")]


def write_entry(harness, entry):
    harness.write_entry(f"servers/{entry.name}", entry)


def read_snapshot(harness, entry):
    """Pass a snapshot that is newer in this entry alone."""
    entries = [EntryUpdated(f"servers/{e.name}", e, 1) for e in LEDGERS if e.name != entry.name]
    entries.append(EntryUpdated(f"servers/{entry.name}", entry, 99))
    harness.deliver(StoreSnapshot(entries, 99))


def lose_connections(harness):
    """Let the connections of several runs on l1 break."""
    for index in range(3):
        harness.gateway.health.open_run("l2", harness.now)  # so that l1 is selected first
        harness.send_request("pay", request_id=f"lost{index}", attempt=f"id-lost{index}")
        (run,) = harness.find(StartFleetRun)
        assert run.server.name == "l1"
        harness.deliver(RunInterrupted(run.run_id, "reset", 0, False))
    assert harness.gateway.health.suspects == {"l1"}


def refuse_connections(harness):
    """Let several connections to l1 be refused, each after the backoff of the one before."""
    health, out = harness.gateway.health, Outbox()
    for _ in range(3):
        health.record_outcome("l1", "unreachable", harness.now, out)
    assert health.suspects == {"l1"}


TRUST = [
    ("lost-runs-of-the-former-start", lose_connections, write_entry, 2, "l1"),
    ("refused-connections-of-the-former-start", refuse_connections, write_entry, 2, "l1"),
    ("restart-that-a-snapshot-shows", refuse_connections, read_snapshot, 2, "l1"),
    ("entry-of-the-same-start", refuse_connections, write_entry, 1, "l2"),
    ("snapshot-of-the-same-start", refuse_connections, read_snapshot, 1, "l2"),
]


@pytest.mark.parametrize(
    ("fail", "pass_entry", "started_at_ms", "expected"),
    [t[1:] for t in TRUST],
    ids=[t[0] for t in TRUST],
)
def test_only_a_new_start_is_trusted_again(fail, pass_entry, started_at_ms, expected):
    """A restarted server got nothing for up to 8 s, for the failures of its former start."""
    harness = make_harness(servers=LEDGERS)
    fail(harness)
    pass_entry(harness, make_server("l1", "ledger", started_at_ms=started_at_ms))
    for _ in range(3):
        harness.gateway.health.open_run("l2", harness.now)  # so that l1 is selected first
    harness.send_request("read")
    (run,) = harness.find(StartFleetRun)
    assert run.server.name == expected


def test_runs_on_the_former_start_are_counted_until_they_end():
    """The end of a run on the former start was taken off the runs on the new one."""
    harness = make_harness(servers=LEDGERS[:1])
    runs = []
    for started_at_ms in (1, 2):
        write_entry(harness, make_server("l1", "ledger", started_at_ms=started_at_ms))
        harness.send_request("pay", request_id=f"r{started_at_ms}")
        runs += harness.find(StartFleetRun)
    assert harness.gateway.health.count_runs("l1") == 2
    harness.deliver(RunInterrupted(runs[0].run_id, "reset", 0, False))
    assert harness.gateway.health.count_runs("l1") == 1


HOLDINGS = [
    ("entry", write_entry, 2, (), False),
    ("snapshot", read_snapshot, 2, (), False),
    ("new-start-that-holds-it-too", write_entry, 2, (HOT,), True),
    ("entry-of-the-same-start", write_entry, 1, (), True),
]


@pytest.mark.parametrize(
    ("pass_entry", "started_at_ms", "adapters", "is_held"),
    [h[1:] for h in HOLDINGS],
    ids=[h[0] for h in HOLDINGS],
)
def test_new_start_holds_what_its_entry_says(pass_entry, started_at_ms, adapters, is_held):
    """Requests went to a restarted server for adapters that it held before, and were refused."""
    harness = make_harness(servers=[make_server("w1", "llm")])
    holdings = [AdapterHolding(key, 1, 0.0) for key in (HOT, COLD)]
    harness.deliver(NodeDatagram(HoldingReport("n2", "w1", 7, 5, holdings, running=9)))
    pass_entry(harness, make_server("w1", "llm", started_at_ms=started_at_ms, adapters=adapters))
    harness.send_request("chat", HOT)
    assert bool(harness.find(StartFleetRun)) is is_held
    held = harness.gateway.holdings
    is_same = started_at_ms == 1
    assert (held.find("w1", COLD) is not None) is is_same
    assert held.find_running("w1", harness.now) == (9 if is_same else 0)


REPORTS = [
    ("report-from-before-the-restart", 5, False),
    ("first-report-on-the-new-start", 6, True),
]


@pytest.mark.parametrize(
    ("serial", "is_held"), [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_report_after_a_new_start(serial, is_held):
    """A report that was repeated on its way was taken for one on the new start."""
    harness = make_harness(servers=[make_server("w1", "llm")])
    holdings = [AdapterHolding(COLD, 1, 0.0)]
    harness.deliver(NodeDatagram(HoldingReport("n2", "w1", 7, 5, holdings)))
    write_entry(harness, make_server("w1", "llm", started_at_ms=2, adapters=()))
    harness.deliver(NodeDatagram(HoldingReport("n2", "w1", 7, serial, holdings)))
    assert (harness.gateway.holdings.find("w1", COLD) is not None) is is_held
