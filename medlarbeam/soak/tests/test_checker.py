"""The checker of the soak finds each broken promise, and nothing in a good run."""

import pytest

from medlarbeam.soak.checker import Evidence, find_violations
from medlarbeam.soak.deployment import PLACES
from medlarbeam.soak.records import BROKEN, Disturbance, RequestSeen
from medlarbeam.soak.worker import OrderSeen, RunSeen, expected_body

CALM_AT = 100.0


def request(attempt, route="pay", status=200, *, body=None, at=50.0, took_s=0.1, is_read=True):
    if body is None:
        body = expected_body(attempt, route in ("chat", "draft")) if status == 200 else b""
    return RequestSeen(attempt, route, "gw-0", at, at + took_s, status, body, is_read)


def run(attempt, worker="ledger-0", at=50.05):
    return RunSeen(attempt, worker, at)


def order(holder, fence, at, held=1):
    return OrderSeen("engine-0", holder, fence, held, at)


def evidence(requests=(), runs=(), orders=(), disturbances=()):
    """Return evidence of a run that ends well, with some more in it."""
    calm = request("calm", at=CALM_AT + 1.0)
    return Evidence(
        [calm, *requests],
        [run("calm", at=CALM_AT + 1.05), *runs],
        list(orders),
        list(disturbances),
        CALM_AT,
    )


STREAM = expected_body("a", True)
STOP = Disturbance("terminate", "gw-0", 49.0, 55.0)
DRAIN = Disturbance("worker_drain", "ledger-0", 40.0, 46.0)
BROKEN_PROMISES = [
    (
        "answer-of-another",
        "MIXED",
        {"requests": [request("a", body=b"paid b")], "runs": [run("a")]},
    ),
    (
        "half-a-stream-that-looks-whole",
        "MIXED",
        {"requests": [request("a", "chat", body=STREAM[:-30])], "runs": [run("a")]},
    ),
    ("run-of-nobody", "UNASKED", {"runs": [run("x")]}),
    (
        "payment-runs-twice",
        "TWICE",
        {"requests": [request("a")], "runs": [run("a"), run("a", "ledger-1")]},
    ),
    ("refused-and-run", "REFUSED", {"requests": [request("a", status=503)], "runs": [run("a")]}),
    ("more-adapters-than-places", "LIMIT", {"orders": [order("gw-0", 1, 1.0, PLACES + 1)]}),
    ("holders-in-turn", "ONE", {"orders": [order("gw-0", 1, 1.0), order("gw-1", 2, 2.0)]}),
    ("older-fence", "ONE", {"orders": [order("gw-0", 5, 1.0), order("gw-0", 4, 9.0)]}),
    (
        "work-for-the-leaving",
        "DRAIN",
        {"requests": [request("a", at=43.0)], "runs": [run("a", at=43.0)], "disturbances": [DRAIN]},
    ),
    (
        "cut-at-a-planned-stop",
        "LOST",
        {"requests": [request("a", status=BROKEN)], "runs": [run("a")], "disturbances": [STOP]},
    ),
    ("no-final-answer", "HELD", {"requests": [request("a", status=BROKEN, took_s=4.0)]}),
    (
        "not-served-again",
        "RECOVER",
        {"requests": [request("a", status=503, at=CALM_AT + 1.0)]},
    ),
]


@pytest.mark.parametrize(
    ("rule", "parts"), [b[1:] for b in BROKEN_PROMISES], ids=[b[0] for b in BROKEN_PROMISES]
)
def test_broken_promise_is_found(rule, parts):
    (text,) = find_violations(evidence(**parts))
    assert text.startswith(rule)


FREEZE = Disturbance("freeze", "gw-0", 49.0, 53.0)
ALLOWED = [
    ("good-run", {"requests": [request("a")], "runs": [run("a")]}),
    (
        "idempotent-request-runs-again",
        {"requests": [request("a", "read")], "runs": [run("a"), run("a", "ledger-1")]},
    ),
    ("refused-and-not-run", {"requests": [request("a", status=503)]}),
    ("unknown-outcome-and-run", {"requests": [request("a", status=502)], "runs": [run("a")]}),
    ("takeover-after-the-gap", {"orders": [order("gw-0", 1, 1.0), order("gw-1", 2, 4.5)]}),
    (
        "order-of-a-process-that-was-just-continued",
        {
            "orders": [order("gw-1", 2, 52.0), order("gw-0", 1, 53.1)],
            "disturbances": [FREEZE],
        },
    ),
    (
        "work-before-the-bound-on-leaving",
        {"requests": [request("a", at=41.0)], "runs": [run("a", at=41.0)], "disturbances": [DRAIN]},
    ),
    (
        "frozen-gateway-answers-late",
        {"requests": [request("a", status=BROKEN, took_s=4.0)], "disturbances": [FREEZE]},
    ),
    (
        "stop-beside-another-disturbance",
        {
            "requests": [request("a", status=BROKEN)],
            "runs": [run("a")],
            "disturbances": [STOP, Disturbance("worker_link", "ledger-0", 49.5, 51.0)],
        },
    ),
    (
        "request-that-was-not-taken",
        {"requests": [request("a", status=BROKEN, is_read=False)], "disturbances": [STOP]},
    ),
]


@pytest.mark.parametrize("parts", [a[1] for a in ALLOWED], ids=[a[0] for a in ALLOWED])
def test_allowed_course_is_no_violation(parts):
    assert find_violations(evidence(**parts)) == []
