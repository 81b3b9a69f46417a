"""Each benchmark runs at a small size and reports plausible figures."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
import pytest

import medlarbeam
from medlarbeam.bench import (
    catalog_cost,
    chart_cost,
    control_cost,
    gateway_cost,
    process_cost,
    record_cost,
    request_cost,
)
from medlarbeam.bench.gateway_fleet import FleetSize
from medlarbeam.bench.relay_cost import RelayRow

SEED = 7
ROOT = Path(medlarbeam.__file__).parents[1]


def find_row(rows, **fields):
    (row,) = (r for r in rows if all(getattr(r, k) == v for k, v in fields.items()))
    return row


def check_control():
    rows = [control_cost.measure(SEED, n, 2, 3.0) for n in (2, 4)]
    assert [r.messages_in for r in rows] == pytest.approx([4.0, 8.0], abs=1.0)
    assert all(r.bytes_out > 20 * r.messages_out and r.node_ms > 0 for r in rows)
    assert rows[1].calls["ReadVmList"] == pytest.approx(0.5, abs=0.4)


def check_real_peers():
    heartbeat, real = (control_cost.measure(SEED, 3, 2, 10.0, real) for real in (False, True))
    assert real.messages_in == pytest.approx(heartbeat.messages_in, rel=0.15)
    assert real.bytes_in == pytest.approx(heartbeat.bytes_in, rel=0.25)


def check_catalog():
    rows = [catalog_cost.measure(SEED, n) for n in (50, 500)]
    assert rows[0].head_bytes > 0 and rows[0].note_bytes < rows[1].note_bytes
    assert all(50 < r.value_bytes < 300 and r.bytes_per_adapter > 100 for r in rows)


def check_request():
    rows = request_cost.measure(SEED, 2, 12, 3, 4)
    assert [r.role for r in rows] == ["entry", "owner", "both"]
    assert find_row(rows, role="both").chunk_bytes == 0
    assert all(0 < find_row(rows, role=n).chunk_bytes < 100 for n in ("entry", "owner"))
    assert all(r.start_us > 0 and r.chunk_us > 0 and r.end_us > 0 for r in rows)


def check_records():
    rows = [record_cost.measure(SEED, n) for n in (1, 4)]
    assert rows[1].vm_bytes > 3 * rows[0].vm_bytes
    assert all(r.frame_bytes > 500 and r.known_bytes > 0 and r.adopt_us > 0 for r in rows)


def check_gateway():
    size = FleetSize("tiny", 3, 4, 1, 3, 60, 3, 90.0, 1.0)
    (row, messages), (again, _) = (gateway_cost.measure(SEED, size, 1.0) for _ in range(2))
    assert row == again
    assert row.served > 10 and row.calls_per_waiting_s > 0
    assert row.calls_per_s == pytest.approx(sum(m.calls_per_s for m in messages))
    assert {"GatewayRequest", "HoldingReport", "UseReport", "tick"} <= {m.message for m in messages}


def check_process():
    size = FleetSize("tiny", 3, 4, 1, 3, 60, 8, 60.0, 1.0)
    with TemporaryDirectory() as folder:
        row, causes = process_cost.measure(SEED, size, 1.0, Path(folder))
    assert row.ready_s > 0 and row.datagrams_per_s > 1
    assert row.answers["200"] > 20 and set(row.answers) <= {"200", "503"}
    net_ms_per_s = sum(cause.ms_per_s for cause in causes)
    assert row.ms_per_s == pytest.approx(net_ms_per_s + row.clock_ms_per_s)
    groups = {group.cause for group in process_cost.sum_groups(causes)}
    assert {"relay", "requests", "datagrams", "store", "decisions", "timers", "charts"} <= groups
    entries = find_row(causes, cause="store: decoding of entries")
    assert entries.times_per_s > 0


def check_chart():
    row = chart_cost.measure(100, 3)
    assert (row.chart, row.rounds) == ("ownership", 3) and row.fire_us > 0


def check_ratios():
    relay, owner = RelayRow(1, "relay"), RelayRow(1, "owner")
    relay.chunk_us, owner.chunk_us = 40.0, 100.0
    owner.compare_with(relay)
    assert (owner.chunk_ratio, owner.mb_ratio) == (2.5, 0.0)


@pytest.mark.parametrize(
    "check",
    [
        pytest.param(check_control, id="message-count-not-proportional-to-peers"),
        pytest.param(check_real_peers, id="heartbeat-stub-differs-from-a-full-node"),
        pytest.param(check_catalog, id="catalog-figure-missing"),
        pytest.param(check_request, id="role-does-not-run-its-requests"),
        pytest.param(check_records, id="vm-list-does-not-grow-with-the-cells"),
        pytest.param(check_gateway, id="calls-or-decisions-of-a-gateway-not-repeatable"),
        pytest.param(check_process, id="cause-missing-or-parts-differ-from-the-whole"),
        pytest.param(check_chart, id="chart-event-cycle-not-declared"),
        pytest.param(check_ratios, id="ratio-inverted"),
    ],
)
def test_figures(check):
    print("seed", SEED)
    check()


def test_relay_script_compares_all_targets(monkeypatch):
    """Guards against an omitted target and against truncated streams."""
    monkeypatch.setenv("MEDLARBEAM_BIN", str(Path(sys.executable).parent))
    options = ["--rounds", "1", "--requests", "4", "--streams", "4", "--open-delay-ms", "100"]
    command = ["bin/relay-cost", *options, "--long-tokens", "9", "--json"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)
    assert run.returncode == 0, run.stderr
    rows = orjson.loads(run.stdout)["rows"]
    assert [r["target"] for r in rows] == ["engine", "relay", "owner", "entry"]
    assert all(r["first_p95_ms"] >= r["first_p50_ms"] > 0 for r in rows)
    assert all(r["request_us"] > 0 for r in rows[1:])


def test_command_line_prints_seed_versions_and_rows():
    """Guards against a report that lacks the data needed to reproduce it."""
    command = [sys.executable, "-m", "medlarbeam.bench.chart_cost", "--json", "--events", "9"]
    document = orjson.loads(subprocess.run(command, check=True, capture_output=True).stdout)
    assert (document["bench"], document["seed"]) == ("chart_cost", 1)
    assert "python" in document["versions"] and document["rows"][0]["chart"] == "ownership"
