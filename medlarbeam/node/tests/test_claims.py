"""Claims against a scripted platform: each case lists its responses in order."""

import math
from random import Random

import pytest

from medlarbeam.classes.key_value import (
    KvCall,
    KvDelete,
    KvEntry,
    KvGet,
    KvOutcome,
    KvPut,
    KvResult,
)
from medlarbeam.classes.messages import CallerDisconnected
from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node import claims as claims_module
from medlarbeam.node.claims import ClaimManager, digest_body, digest_key
from medlarbeam.node.component import ClaimOutcome, Outbox
from medlarbeam.node.node import Node
from medlarbeam.node.parts import NodeParts
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.run_claim_schedules import NoOp, StubRequests, make_request
from medlarbeam.readwrite.claim_values import ClaimValue, decode_claim, encode_claim

DONE = ClaimOutcome(200, "receipt", "", "s")
FINISHES = {
    "ok": DONE,
    "big": ClaimOutcome(200, "\u00e9" * 40000, "", "s"),
    "surrogate": ClaimOutcome(200, "\ud800", "", "s"),
    "lost": ClaimOutcome(0, "", "", "s", Failure(ErrorKind.SERVER_LOST, "broken")),
    "not-run": ClaimOutcome(0, "", "", "s", Failure(ErrorKind.SERVER_REFUSED, "full")),
}
DIGEST = digest_body(make_request("r", "k", "pay", 0.0))
VALUES = {
    "other": ClaimValue("n9:1:1", DIGEST),
    "other-done": ClaimValue("n9:1:1", DIGEST, DONE),
    "other-body": ClaimValue("n9:1:1", "00"),
}


class DecisionRecorder(StubRequests):
    """Records the decisions of the claims component."""

    __slots__ = ("decisions",)

    def __init__(self, node):
        super().__init__(node)
        self.decisions = []

    def claim_granted(self, request_id, now, out):
        self.decisions.append("granted")

    def claim_replayed(self, request_id, outcome, now, out):
        self.decisions.append("replayed" if outcome == DONE else repr(outcome))

    def claim_refused(self, request_id, failure, now, out):
        self.decisions.append(f"{failure.kind.value} {failure.run_state.value}")


class ClaimHarness:
    """A `ClaimManager`, its clock, and the platform calls that it made."""

    def __init__(self, deadline=30.0, body="pay", key="k"):
        parts = NodeParts(NoOp, NoOp, NoOp, ClaimManager, NoOp, DecisionRecorder, NoOp, NoOp, NoOp)
        self.node = Node(NodeSettings("n1", 1, "c", "d", []), Random(1), parts)
        self.now, self.calls, self.ops = 0.0, [], []
        out = Outbox()
        self.node.claims.begin(make_request("r", key, body, deadline), self.now, out)
        self.collect(out.effects)

    def collect(self, effects):
        for call in effects:
            if isinstance(call, KvCall):
                self.calls.append(call)
                self.ops.append(self.name_op(call.op))

    def name_op(self, op):
        if isinstance(op, KvPut):
            assert op.ttl_s == 86400.0
            return "record" if decode_claim(op.value).outcome else "create"
        return "read" if isinstance(op, KvGet) else "delete"

    def respond(self, step, call):
        put = isinstance(call.op, KvPut)
        if step in ("unknown", "unavailable", "conflict"):
            return KvResult(call, KvOutcome(step), [])
        if step == "applied" and put:
            return KvResult(call, KvOutcome.APPLIED, [KvEntry(call.op.key, call.op.value, 5)])
        if step in ("applied", "absent"):
            return KvResult(call, KvOutcome.APPLIED, [])
        claim_id = call.token.partition("#")[0]
        own = {"own": ClaimValue(claim_id, DIGEST), "own-done": ClaimValue(claim_id, DIGEST, DONE)}
        data = b"{" if step == "garbage" else encode_claim({**VALUES, **own}[step])
        outcome = KvOutcome.CONFLICT if put else KvOutcome.APPLIED
        return KvResult(call, outcome, [KvEntry(call.op.key, data, 7)])

    def take(self, step):
        out = Outbox()
        if step.startswith("wait:"):
            self.now += float(step[5:])
            out.effects = self.node.tick(self.now)
        elif step.startswith("skip:"):  # time passes without a tick
            self.now += float(step[5:])
        elif step in FINISHES:
            self.node.claims.finish("r", FINISHES[step], self.now, out)
        elif step == "cancel":
            out.effects = self.node.handle(CallerDisconnected("r"), self.now)
        elif step.startswith("late-"):  # the result of the first call, after later calls
            result = self.respond(step[5:], self.calls[0])
            out.effects = self.node.handle(result, self.now)
        else:
            out.effects = self.node.handle(self.respond(step, self.calls[-1]), self.now)
        self.collect(out.effects)


REFUSED = "claim_unavailable not_run"
GONE = "cancelled not_run"
DUPLICATE = "duplicate_unresolved may_have_run"
# Steps, decision about the request, platform calls, whether nothing is left to write.
CASES = [
    ("plain-payment", "applied ok applied", "granted", "create record", True),
    ("held-claim-is-not-idle", "applied", "granted", "create", False),
    ("platform-down", "unavailable", REFUSED, "create", True),
    ("lost-response-read-back", "unknown own", "granted", "create read", False),
    ("read-back-repeated", "unknown unknown wait:1 unavailable wait:1 own", "granted",
     "create read read read", False),
    ("lost-create-was-not-applied", "unknown absent applied", "granted",
     "create read create", False),
    ("conflict-with-own-claim", "unknown absent own", "granted", "create read create", False),
    ("conflict-with-own-claim-without-entry", "unknown absent conflict own", "granted",
     "create read create read", False),
    ("lost-create-then-down", "unknown absent unavailable wait:1 own", "granted",
     "create read create read", False),
    ("unresolved-then-released", "unknown unknown wait:10 wait:1 own applied",
     REFUSED, "create read read delete", True),
    ("deadline-while-create-in-flight", "wait:30 wait:1 own applied",
     REFUSED, "create read delete", True),
    ("response-past-the-deadline", "skip:30 applied applied", REFUSED, "create delete", True),
    ("late-response-does-not-end-a-release", "applied not-run late-applied", "granted",
     "create delete", False),
    ("late-response-after-refusal", "unknown wait:30 late-applied", REFUSED, "create read", False),
    ("no-result-from-the-shell", "wait:3 own", "granted", "create read", False),
    ("refused-and-absent-is-read-again", "cancel wait:1 absent wait:20 absent", GONE,
     "create read read", True),
    ("late-create-after-an-absent-read", "cancel wait:1 absent wait:2 own applied wait:20 absent",
     GONE, "create read read delete read", True),
    ("failed-read-proves-no-absence", "cancel wait:1 unknown wait:20 unknown wait:20 absent", GONE,
     "create read read read", True),
    ("late-grant-after-cancel", "cancel late-applied", GONE, "create", False),
    ("claim-of-another-request-is-not-released", "cancel wait:1 other wait:20 other", GONE,
     "create read read", True),
    ("release-retried", "applied not-run unknown wait:1 unavailable wait:1 conflict", "granted",
     "create delete delete delete", True),
    ("release-abandoned", "applied not-run unknown wait:601", "granted", "create delete", True),
    ("cancel-after-grant-keeps-the-claim", "applied cancel ok applied", "granted",
     "create record", True),
    ("finish-before-grant", "not-run wait:1 own applied wait:20 absent", "",
     "create read delete read", True),
    ("not-run-releases", "applied not-run applied", "granted", "create delete", True),
    ("may-have-run-is-recorded", "applied lost applied", "granted", "create record", True),
    ("finished-twice", "applied ok not-run applied", "granted", "create record", True),
    ("outcome-retried", "applied ok unavailable wait:1 unknown", "granted",
     "create record record", False),
    ("lost-record-response", "applied ok unknown wait:1 own-done", "granted",
     "create record record", True),
    ("record-conflict-without-entry", "applied ok unknown wait:1 conflict own-done", "granted",
     "create record record read", True),
    ("deleted-claim-is-recorded-again", "applied ok conflict absent wait:1 applied", "granted",
     "create record read record", True),
    ("record-abandoned", "applied ok unavailable wait:3601", "granted", "create record", True),
    ("oversized-outcome", "applied big applied", "granted", "create record", True),
    ("outcome-not-encodable", "applied surrogate applied", "granted", "create record", True),
    ("duplicate-without-outcome", "other", DUPLICATE, "create", True),
    ("duplicate-read-after-bare-conflict", "conflict other", DUPLICATE, "create read", True),
    ("duplicate-with-outcome", "other-done", "replayed", "create", True),
    ("duplicate-found-by-read-back", "unknown other-done wait:20 other-done", "replayed",
     "create read read", True),
    ("another-body", "other-body", "key_reused not_run", "create", True),
    ("unreadable-claim", "garbage", DUPLICATE, "create", True),
    ("unreadable-claim-on-read-back", "unknown garbage wait:20 garbage", DUPLICATE,
     "create read read", True),
]  # fmt: skip


@pytest.mark.parametrize(
    ("steps", "decision", "ops", "idle"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_claim(steps, decision, ops, idle):
    """A claim is granted twice, stays on the platform, or never ends after lost responses."""
    harness = ClaimHarness()
    for step in steps.split():
        harness.take(step)
    assert harness.node.requests.decisions == ([decision] if decision else [])
    assert harness.ops == ops.split()
    assert harness.node.claims.is_idle() is idle
    # `next_deadline` may be early, so a tick updates it. All but held claims have a deadline.
    harness.node.claims.tick(harness.now, Outbox())
    live = harness.node.claims.claims.values()
    waiting = any(claim.state != "held" for claim in live)
    assert waiting is (harness.node.next_deadline() < math.inf)


BEGINS = [
    ("no-key", {"key": ""}, "invalid_request not_run"),
    ("deadline-passed", {"deadline": 0.0}, "deadline_in_queue not_run"),
    ("table-full", {}, "overloaded not_run"),
]


@pytest.mark.parametrize(
    ("fields", "decision"), [b[1:] for b in BEGINS], ids=[b[0] for b in BEGINS]
)
def test_refused_before_any_call(fields, decision, monkeypatch):
    """A request that cannot be claimed calls the platform."""
    if not fields:
        monkeypatch.setattr(claims_module, "MAX_CLAIMS", 0)
    harness = ClaimHarness(**fields)
    assert (harness.node.requests.decisions, harness.ops) == ([decision], [])


RECORDED = [
    ("long-body-is-marked", "big", "80000 bytes was not recorded", True),
    ("short-body-is-kept", "ok", "receipt", False),
    ("surrogate-is-replaced", "surrogate", "?", False),
]


@pytest.mark.parametrize(
    ("finish", "text", "truncated"), [r[1:] for r in RECORDED], ids=[r[0] for r in RECORDED]
)
def test_recorded_outcome(finish, text, truncated):
    """The platform rejects an outcome that is too long or not encodable."""
    harness = ClaimHarness()
    for step in ("applied", finish):
        harness.take(step)
    put = harness.calls[-1].op
    outcome = decode_claim(put.value).outcome
    assert put.expected_revision == 5
    assert text in outcome.body and outcome.truncated is truncated and outcome.status == 200


@pytest.mark.parametrize("step", ["not-run"], ids=["release-deletes-only-our-revision"])
def test_release_names_the_revision(step):
    """A release deletes the claim of another request."""
    harness = ClaimHarness()
    for each in ("unknown", "own", step):
        harness.take(each)
    assert harness.calls[-1].op == KvDelete(harness.calls[0].op.key, 7)


FIELDS = [
    ("service", {"service": "till"}), ("path", {"path": "/refund"}), ("body", {"body": "x"}),
    ("models", {"models": ["a@1"]}), ("parameters", {"max_tokens": 1}),
    ("stream", {"stream": True}),
]  # fmt: skip


@pytest.mark.parametrize(
    "fields", [f[1] for f in FIELDS], ids=[f"{f[0]}-left-out-of-digest" for f in FIELDS]
)
def test_body_digest(fields):
    """A key is reused for another request, which gets the outcome of the first one."""
    changed, same = make_request("q", "k2", "pay", 9.0), make_request("q", "k2", "pay", 9.0)
    for name, value in fields.items():
        setattr(changed, name, value)
    assert digest_body(changed) != DIGEST == digest_body(same)


@pytest.mark.parametrize("pair", [("ab", "c")], ids=["caller-and-key-run-together"])
def test_key_digest(pair):
    """Different callers and keys share a claim."""
    assert digest_key(*pair) != digest_key("a", "bc")
    assert RunState.NOT_RUN is FINISHES["not-run"].failure.run_state
