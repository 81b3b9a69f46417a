"""The checker reports each kind of violation and accepts every allowed history."""

import pytest

from medlarbeam.soak.checker import History, find_violations
from medlarbeam.soak.deployment import ADAPTER_CAPACITY
from medlarbeam.soak.records import INCOMPLETE, FaultInterval, RequestRecord
from medlarbeam.soak.worker import (
    ArrivalRecord,
    FallRecord,
    OrderRecord,
    RunRecord,
    expected_body,
)

RECOVERY_DEADLINE = 100.0


def request(attempt, route="pay", status=200, *, body=None, at=50.0, took_s=0.1, headers_sent=True):
    if body is None:
        body = expected_body(attempt, route in ("chat", "draft")) if status == 200 else b""
    return RequestRecord(attempt, route, "gw-0", at, at + took_s, status, body, headers_sent)


def run(attempt, worker="ledger-0", at=50.05):
    return RunRecord(attempt, worker, at)


def arrival(attempt, at, is_leaving=True, *, incarnation=1):
    return ArrivalRecord(attempt, "ledger-0", incarnation, at, is_leaving)


def order(holder, fence, at, held=1):
    return OrderRecord("engine-0", holder, fence, held, at)


def history(
    requests=(),
    runs=(),
    orders=(),
    fault_intervals=(),
    harmful_requests=(),
    crashed_at=(),
    arrivals=(),
    falls=(),
):
    """Return the history of a run that recovered, with additional records."""
    final = request("final", at=RECOVERY_DEADLINE + 1.0)
    return History(
        [final, *requests],
        [run("final", at=RECOVERY_DEADLINE + 1.05), *runs],
        list(orders),
        list(fault_intervals),
        RECOVERY_DEADLINE,
        list(harmful_requests),
        list(crashed_at),
        list(arrivals),
        list(falls),
    )


def arrive(times, pause_s=4.0, since=50.0, worker="ledger-0"):
    """Return a refusal with a pause at `since` (s), and arrivals at `times` (s)."""
    answer = ArrivalRecord("p0", worker, 1, since, paused_until=since + pause_s)
    return [answer, *(ArrivalRecord(f"p{n + 1}", worker, 1, at) for n, at in enumerate(times))]


ASKING = [request(f"p{number}", "read", 503) for number in range(9)]


STREAM = expected_body("a", True)
STOP = FaultInterval("terminate", "gw-0", 49.0, 55.0)
DRAIN = FaultInterval("worker_drain", "ledger-0", 40.0, 46.0)
CRASHES = [40.0, 40.1, 40.2, 40.3, 40.4]
HARMFUL = [request(f"h{number}", "chat", 502) for number in range(4)]
LIMITED = FaultInterval("rate_limit", "engine-0", 40.0, 48.0)
TOLD = request("told", at=40.0)  # its answer said that the worker leaves
TOLD_LATE = [TOLD, request("late", "read", at=43.0)]
LATE_RUNS = [run("told", at=40.0), run("late", at=43.0)]
LATE = [arrival("told", 40.0), arrival("late", 43.0)]
LIMITED_REFUSALS = FaultInterval("refusal_limit", "engine", 40.0, 48.0)
FALLS = [FallRecord(f"engine-{number}", 44.0) for number in range(3)]
VIOLATIONS = [
    (
        "request-after-an-answer-that-the-worker-leaves",
        "DRAIN",
        {"requests": TOLD_LATE, "runs": LATE_RUNS, "arrivals": LATE},
    ),
    (
        "refused-request-after-an-answer-that-the-worker-leaves",
        "DRAIN",
        {
            "requests": [TOLD, request("late", status=503, at=43.0)],
            "runs": LATE_RUNS[:1],
            "arrivals": LATE,
        },
    ),
    (
        "fault-of-the-store-is-no-excuse",
        "DRAIN",
        {
            "requests": TOLD_LATE,
            "runs": LATE_RUNS,
            "arrivals": LATE,
            "fault_intervals": [FaultInterval("store", "store", 39.0, 44.0)],
        },
    ),
    (
        "workers-crash-from-their-refusals",
        "LIMIT",
        {"fault_intervals": [LIMITED_REFUSALS], "falls": FALLS},
    ),
    (
        "requests-go-on-to-reach-a-pausing-worker",
        "BUDGET",
        {"requests": ASKING, "arrivals": arrive([51.0, 52.0, 53.0])},
    ),
    (
        "fault-of-another-gateway-excuses-no-requests-in-a-pause",
        "BUDGET",
        {
            "requests": ASKING,
            "arrivals": arrive([51.0, 52.0, 53.0]),
            "fault_intervals": [FaultInterval("kill", "gw-1", 50.0, 51.0)],
        },
    ),
    (
        "harmful-requests-go-on-to-run",
        "BUDGET",
        {
            "harmful_requests": HARMFUL,
            "runs": [run(f"h{number}", "engine-0", 44.0) for number in range(4)],
            "crashed_at": CRASHES,
        },
    ),
    (
        "limit-of-a-worker-is-exceeded",
        "RATE",
        {
            "requests": [request(f"q{n}", "read") for n in range(60)],
            "runs": [run(f"q{n}", "engine-0", 43.5 + n / 20) for n in range(60)],
            "fault_intervals": [LIMITED],
        },
    ),
    (
        "response-of-another-request",
        "MIXED",
        {"requests": [request("a", body=b"paid b")], "runs": [run("a")]},
    ),
    (
        "truncated-stream-reported-as-success",
        "MIXED",
        {"requests": [request("a", "chat", body=STREAM[:-30])], "runs": [run("a")]},
    ),
    ("run-without-a-request", "UNASKED", {"runs": [run("x")]}),
    (
        "at-most-once-request-runs-twice",
        "TWICE",
        {"requests": [request("a")], "runs": [run("a"), run("a", "ledger-1")]},
    ),
    (
        "refused-request-ran",
        "REFUSED",
        {"requests": [request("a", status=503)], "runs": [run("a")]},
    ),
    (
        "adapter-capacity-exceeded",
        "LIMIT",
        {"orders": [order("gw-0", 1, 1.0, ADAPTER_CAPACITY + 1)]},
    ),
    (
        "two-holders-within-the-order-gap",
        "ONE",
        {"orders": [order("gw-0", 1, 1.0), order("gw-1", 2, 2.0)]},
    ),
    ("decreasing-fencing-token", "ONE", {"orders": [order("gw-0", 5, 1.0), order("gw-0", 4, 9.0)]}),
    (
        "run-on-a-drained-worker",
        "DRAIN",
        {
            "requests": [request("a", at=43.0)],
            "runs": [run("a", at=43.0)],
            "fault_intervals": [DRAIN],
        },
    ),
    (
        "run-on-a-drained-worker-long-after-connections-went-silent",
        "DRAIN",
        {
            "requests": [request("a", at=43.0)],
            "runs": [run("a", at=43.0)],
            "fault_intervals": [DRAIN, FaultInterval("store_silence", "store", 39.5, 39.5)],
        },
    ),
    (
        "request-lost-in-a-graceful-shutdown",
        "LOST",
        {
            "requests": [request("a", status=INCOMPLETE)],
            "runs": [run("a")],
            "fault_intervals": [STOP],
        },
    ),
    (
        "request-without-a-response-in-time",
        "HELD",
        {"requests": [request("a", status=INCOMPLETE, took_s=4.0)]},
    ),
    (
        "no-recovery-after-the-faults",
        "RECOVER",
        {"requests": [request("a", status=503, at=RECOVERY_DEADLINE + 1.0)]},
    ),
]


@pytest.mark.parametrize(
    ("rule", "parts"), [b[1:] for b in VIOLATIONS], ids=[b[0] for b in VIOLATIONS]
)
def test_violation_is_reported(rule, parts):
    (text,) = find_violations(history(**parts))
    assert text.startswith(rule)


FREEZE = FaultInterval("freeze", "gw-0", 49.0, 53.0)
ALLOWED_HISTORIES = [
    (
        "request-soon-after-an-answer-that-the-worker-leaves",
        {
            "requests": [TOLD, request("late", "read", at=41.9)],
            "runs": [run("told", at=40.0), run("late", at=42.5)],
            "arrivals": [arrival("told", 40.0), arrival("late", 42.5)],
        },
    ),
    (
        "new-incarnation-after-an-answer-that-the-worker-leaves",
        {
            "requests": TOLD_LATE,
            "runs": LATE_RUNS,
            "arrivals": [LATE[0], arrival("late", 43.0, False, incarnation=2)],
        },
    ),
    (
        "answer-that-the-worker-leaves-was-lost",
        {
            "requests": [request("told", status=502, at=40.0), TOLD_LATE[1]],
            "runs": LATE_RUNS,
            "arrivals": LATE,
        },
    ),
    *(
        (
            f"{kind}-since-the-answer-that-the-worker-leaves",
            {
                "requests": TOLD_LATE,
                "runs": LATE_RUNS,
                "arrivals": LATE,
                "fault_intervals": [FaultInterval(kind, "gw-0", 41.0, 41.5)],
            },
        )
        for kind in ("kill", "terminate", "freeze")
    ),
    (
        "harmful-requests-run-before-all-gateways-know",
        {
            "harmful_requests": HARMFUL,
            "runs": [run(f"h{number}", "engine-0", 43.0) for number in range(4)],
            "crashed_at": CRASHES,
        },
    ),
    (
        "limit-of-a-worker-is-kept",
        {
            "requests": [request(f"q{n}", "read") for n in range(24)],
            "runs": [run(f"q{n}", "engine-0", 43.5 + n / 6) for n in range(24)],
            "fault_intervals": [LIMITED],
        },
    ),
    ("successful-request", {"requests": [request("a")], "runs": [run("a")]}),
    (
        "idempotent-request-runs-twice",
        {"requests": [request("a", "read")], "runs": [run("a"), run("a", "ledger-1")]},
    ),
    ("refused-request-did-not-run", {"requests": [request("a", status=503)]}),
    (
        "request-with-unknown-outcome-ran",
        {"requests": [request("a", status=502)], "runs": [run("a")]},
    ),
    ("takeover-after-the-order-gap", {"orders": [order("gw-0", 1, 1.0), order("gw-1", 2, 4.5)]}),
    (
        "order-of-a-gateway-just-resumed",
        {
            "orders": [order("gw-1", 2, 52.0), order("gw-0", 1, 53.1)],
            "fault_intervals": [FREEZE],
        },
    ),
    (
        "run-on-a-drained-worker-soon-after-connections-went-silent",
        {
            "requests": [request("a", at=43.0)],
            "runs": [run("a", at=43.0)],
            "fault_intervals": [DRAIN, FaultInterval("store_silence", "store", 40.5, 40.5)],
        },
    ),
    (
        "run-within-the-drain-time",
        {
            "requests": [request("a", at=41.0)],
            "runs": [run("a", at=41.0)],
            "fault_intervals": [DRAIN],
        },
    ),
    (
        "late-response-of-a-frozen-gateway",
        {"requests": [request("a", status=INCOMPLETE, took_s=4.0)], "fault_intervals": [FREEZE]},
    ),
    (
        "shutdown-during-another-fault",
        {
            "requests": [request("a", status=INCOMPLETE)],
            "runs": [run("a")],
            "fault_intervals": [STOP, FaultInterval("worker_link", "ledger-0", 49.5, 51.0)],
        },
    ),
    (
        "request-that-was-never-sent",
        {
            "requests": [request("a", status=INCOMPLETE, headers_sent=False)],
            "fault_intervals": [STOP],
        },
    ),
    (
        "two-crashes-from-refusals",
        {"fault_intervals": [LIMITED_REFUSALS], "falls": FALLS[:2]},
    ),
    (
        "crashes-from-refusals-of-workers-that-a-gateway-did-not-reach",
        {
            "fault_intervals": [LIMITED_REFUSALS, FaultInterval("worker_link", "engine-0", 42, 43)],
            "falls": FALLS,
        },
    ),
    ("two-requests-in-a-pause", {"requests": ASKING, "arrivals": arrive([51.0, 52.0])}),
    (
        "requests-in-the-first-half-second-and-after-a-pause",
        {"requests": ASKING, "arrivals": arrive([50.1, 50.2, 50.4, 54.1, 54.2, 54.3])},
    ),
    (
        "requests-of-another-gateway-in-a-pause",
        {
            "requests": [
                ASKING[0],
                *(
                    RequestRecord(f"p{n}", "read", "gw-1", 51.0, 51.1, 503, b"", True)
                    for n in range(1, 4)
                ),
            ],
            "arrivals": arrive([51.0, 52.0, 53.0]),
        },
    ),
    (
        "value-that-is-no-time",
        {"requests": ASKING, "arrivals": arrive([51.0, 52.0, 53.0], 0.0)},
    ),
    (
        "pause-that-a-gateway-forgot-in-its-restart",
        {
            "requests": ASKING,
            "arrivals": arrive([51.0, 52.0, 53.0]),
            "fault_intervals": [FaultInterval("kill", "gw-0", 50.0, 51.0)],
        },
    ),
]


@pytest.mark.parametrize(
    "parts", [a[1] for a in ALLOWED_HISTORIES], ids=[a[0] for a in ALLOWED_HISTORIES]
)
def test_allowed_history_has_no_violations(parts):
    assert find_violations(history(**parts)) == []
