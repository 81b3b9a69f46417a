"""What is known of a backend server ends with its start, under the same name and address."""

import pytest

from medlarbeam.classes.gateway_effects import StartFleetRun
from medlarbeam.classes.gateway_messages import EntryUpdated, RunInterrupted, StoreSnapshot
from medlarbeam.gateway.tests.fleet_samples import make_harness, make_server
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
