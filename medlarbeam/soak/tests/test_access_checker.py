"""The checker reports requests that ran, were refused or reached workers against the keys."""

import pytest

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.soak.checker import History, find_violations
from medlarbeam.soak.key_ring import KeyConfig, KeyRing
from medlarbeam.soak.records import FaultInterval, RequestRecord, SentRequest
from medlarbeam.soak.worker import ReceiptRecord, RunRecord, expected_body
from medlarbeam.standins.received_request import ReceivedRequest

RECOVERY_DEADLINE = 100.0
CHANGED_AT = 40.0
CONFIGS = [
    KeyConfig(1, 0.0, {"kept": "acme", "former": "bolt", "moved": "acme"}),
    KeyConfig(3, CHANGED_AT, {"kept": "acme", "added": "bolt", "moved": "bolt"}),
]
DIGEST = digest_key("kept")
MODEL = ("X-Model", "m0/a1")


def play(
    key="kept",
    organisations=("acme",),
    status=200,
    *,
    route="pay",
    at=50.0,
    keys=None,
    is_run=True,
    passed=(),
    changed=(),
    faults=(),
    started_at=-100.0,
):
    """Return the history of a request, and what a worker was told and passed of it.

    Attributes of the request that the worker received are set to those in `changed`.
    """
    key_ring = KeyRing()
    key_ring.configs = CONFIGS
    sent_keys = [key] if keys is None else keys
    id_header = ("X-Attempt-Id", "a")
    headers = [id_header, MODEL, *(("X-Key", k) for k in sent_keys if k is not None)]
    sent = SentRequest("POST", f"/{route}/x", headers, b"order")
    body = expected_body("a", False) if status == 200 else b""
    request = RequestRecord("a", route, "gw-0", at, at + 0.1, status, body, True, sent)
    told = [("X-Tenant", name) for name in organisations]
    received = ReceivedRequest("POST", sent.target, [id_header, MODEL, *told, *passed], b"order")
    for name, value in changed:
        setattr(received, name, value)
    received.is_run = is_run
    last = at if at > RECOVERY_DEADLINE else RECOVERY_DEADLINE + 1.0
    final = RequestRecord("z", "pay", "gw-0", last, last, 200, expected_body("z", False), True)
    return History(
        [request, final],
        [RunRecord("a", "ledger-0", at)] * is_run,
        [],
        list(faults),
        RECOVERY_DEADLINE,
        receipts=[ReceiptRecord("ledger-0", at + 0.05, received)],
        key_ring=key_ring,
        started_at=started_at,
    )


def fault(kind, target="gw-0", since=47.0):
    return FaultInterval(kind, target, since, 47.5)


FORMER, ADDED = ("former", ("bolt",)), ("added", ())
REFUSED = {"status": 401, "is_run": False}
UNSERVED = {"status": 503, "is_run": False}
VIOLATIONS = [
    ("worker-receives-the-key", "UNASKED", play(passed=[("x-key", "kept")])),
    ("worker-receives-an-unknown-key", "UNASKED", play(passed=[("X-Key", "?")])),
    ("worker-receives-a-digest", "UNASKED", play(passed=[("Medlarbeam-Key-Digest", "?")])),
    ("worker-receives-a-key-in-another-header", "UNASKED", play(passed=[("X-Log", "of kept")])),
    ("worker-receives-a-digest-elsewhere", "UNASKED", play(passed=[("X-Log", DIGEST)])),
    ("worker-that-refuses-receives-it", "UNASKED", play(**UNSERVED, passed=[("X-Key", "?")])),
    ("forged-organisation", "UNASKED", play(organisations=["bolt"])),
    ("organisation-is-repeated", "UNASKED", play(organisations=["acme", "acme"])),
    ("no-organisation", "UNASKED", play(organisations=[])),
    ("organisation-on-a-public-route", "UNASKED", play(route="open")),
    ("former-organisation-of-a-key", "UNASKED", play("moved", ["acme"], at=43.01)),
    ("organisation-that-never-held-the-key", "UNASKED", play("former", ["acme"], at=41.0)),
    ("method-is-changed", "UNASKED", play(changed=[("method", "GET")])),
    ("target-is-changed", "UNASKED", play(changed=[("target", "/pay/x?")])),
    ("body-is-changed", "UNASKED", play(changed=[("body", b"")])),
    ("model-is-repeated", "UNASKED", play(passed=[MODEL])),
    ("tokens-are-added", "UNASKED", play(passed=[("X-Token-Usage", "1,1")])),
    ("prompt-is-added", "UNASKED", play(passed=[("X-Prompt-Prefix", "5e:1")])),
    ("no-attempt-id", "UNASKED", play(**UNSERVED, changed=[("headers", [])])),
    ("no-key", "ROUTE", play(None)),
    ("empty-key", "ROUTE", play("")),
    ("unknown-key", "ROUTE", play("?")),
    ("two-keys", "ROUTE", play(keys=["kept", "moved"])),
    ("unknown-key-at-a-gateway-with-a-fault", "ROUTE", play("?", faults=[fault("kill")])),
    ("key-that-is-given-out-later", "ROUTE", play("added", ["bolt"], at=39.0)),
    ("withdrawn-key", "CONFIG", play(*FORMER, at=43.01)),
    (
        "fault-of-another-gateway-is-no-excuse",
        "CONFIG",
        play(*FORMER, faults=[fault("kill", "gw-1")]),
    ),
    (
        "fault-of-a-worker-is-no-excuse",
        "CONFIG",
        play(*FORMER, faults=[fault("worker_link", "ledger-0")]),
    ),
    ("reload-is-no-excuse", "CONFIG", play(*FORMER, faults=[fault("reload")])),
    (
        "fault-that-has-ended-is-no-excuse",
        "CONFIG",
        play(*FORMER, at=50.6, faults=[fault("store_loss", since=30.0)]),
    ),
    ("added-key-is-refused", "CONFIG", play(*ADDED, **REFUSED, at=43.01)),
    ("key-that-all-configurations-hold-is-refused", "DENIED", play(**REFUSED)),
    (
        "key-that-all-configurations-hold-is-refused-beside-a-fault",
        "DENIED",
        play(**REFUSED, faults=[fault("kill"), fault("store", "store")]),
    ),
    ("public-route-is-refused", "DENIED", play(None, **REFUSED, route="open")),
    ("proper-request-is-answered-400", "DENIED", play(status=400, is_run=False)),
    ("unknown-key-is-answered-503", "DENIED", play("?", **UNSERVED)),
    ("withdrawn-key-is-answered-404", "DENIED", play("former", status=404, is_run=False)),
    ("refused-key-ran", "REFUSED", play(*FORMER, 401, route="read", at=41.0)),
]


@pytest.mark.parametrize(
    ("rule", "history"), [v[1:] for v in VIOLATIONS], ids=[v[0] for v in VIOLATIONS]
)
def test_violation_is_reported(rule, history):
    (text,) = find_violations(history)
    assert text.startswith(rule)


ALLOWED = [
    ("key-is-held", play()),
    ("public-route-without-a-key", play(None, (), route="open")),
    ("public-route-with-an-unknown-key", play("?", (), route="open")),
    ("withdrawn-key-within-the-bound", play(*FORMER, at=42.99)),
    *(
        (f"withdrawn-key-beside-{kind}", play(*FORMER, faults=[fault(kind, target)]))
        for target, kinds in (
            ("gw-0", ("kill", "terminate", "freeze", "store_loss", "store_link")),
            ("store", ("store", "store_set_back", "store_silence")),
        )
        for kind in kinds
    ),
    ("former-organisation-within-the-bound", play("moved", ["acme"], at=42.99)),
    ("new-organisation-at-once", play("moved", ["bolt"], at=CHANGED_AT)),
    ("unknown-key-is-refused", play("?", **REFUSED)),
    ("withdrawn-key-is-refused-at-once", play(*FORMER, **REFUSED, at=CHANGED_AT)),
    ("added-key-is-refused-within-the-bound", play(*ADDED, **REFUSED, at=42.99)),
    (
        "added-key-is-refused-by-a-gateway-without-the-store",
        play(*ADDED, **REFUSED, faults=[fault("store_loss")]),
    ),
    (
        "unknown-key-at-a-gateway-that-has-just-started",
        play("?", **UNSERVED, started_at=49.0),
    ),
    (
        "unknown-key-at-a-gateway-that-starts-again",
        play("?", **UNSERVED, faults=[fault("kill")]),
    ),
    ("unknown-key-without-an-answer", play("?", status=-1, is_run=False)),
    # Such a request is not owed, so it does not count against recovery.
    ("withdrawn-key-is-refused-after-the-faults", play(*FORMER, **REFUSED, at=101.0)),
]


@pytest.mark.parametrize("history", [a[1] for a in ALLOWED], ids=[a[0] for a in ALLOWED])
def test_allowed_history_has_no_violations(history):
    assert find_violations(history) == []
