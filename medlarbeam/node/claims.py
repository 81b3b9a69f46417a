"""At-most-once claims of non-idempotent requests, kept at the platform."""

from functools import cache
from hashlib import blake2b
from math import inf

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.messages import CallerGone
from medlarbeam.classes.platform import KvCall, KvDelete, KvGet, KvOutcome, KvPut
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.node.component import ClaimOutcome, Claims
from medlarbeam.readwrite.claim_values import (
    MAX_BODY_BYTES,
    ClaimValue,
    decode_claim,
    encode_claim,
)

__all__ = ["Claim", "ClaimKeeper", "digest_body", "digest_key"]

# Outcomes of 64 KiB that wait for the platform then hold at most 64 MiB.
MAX_CLAIMS = 1024
CALL_TIMEOUT_S = 2.0
# The shell reports UNKNOWN at the timeout; a call without any result is given up a little later.
RESULT_GRACE_S = 1.0
# A caller is told after this time, even if its deadline is later.
PENDING_LIMIT_S = 10.0
# A create that got no answer is taken to have no further effect after this time: five call
# timeouts. A later one only blocks its key; it never leads to a run.
SETTLE_S = 10.0
RELEASE_LIMIT_S = 600.0
# An outcome that is not recorded turns repeats into "may have run", so it is kept trying longer.
RECORD_LIMIT_S = 3600.0
MAX_REASON = 1000


@cache
def _load_chart(handler):
    # Reading the file takes milliseconds, which matters where many nodes share a process.
    return load_chart("claim", handler)


def _digest(*parts):
    state = blake2b(digest_size=20)
    for part in parts:
        data = part.encode("utf-8", "surrogatepass")
        # The length keeps ("ab", "c") apart from ("a", "bc").
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()


def digest_key(caller, key):
    """Return the digest (hexadecimal text) of a caller's idempotency key."""
    return _digest(caller, key)


def digest_body(request):
    """Return the digest (hexadecimal text) of what a request asks for."""
    return _digest(
        request.service,
        request.path,
        request.body,
        str(request.max_tokens),
        str(request.stream),
        *request.models,
    )


def _clean(text):
    """Return `text` without lone surrogates, which JSON cannot hold."""
    return text.encode("utf-8", "replace").decode("utf-8")


def _shorten(outcome):
    """Return the form of a `ClaimOutcome` that is recorded."""
    body, truncated = _clean(outcome.body), outcome.truncated
    size = len(body.encode("utf-8"))
    if size > MAX_BODY_BYTES:
        body, truncated = f'{{"notice": "the answer of {size} bytes was not recorded"}}', True
    failure = outcome.failure
    if failure is not None:
        failure = Failure(failure.kind, _clean(failure.reason[:MAX_REASON]), failure.run_state)
    return ClaimOutcome(
        outcome.status, body, _clean(outcome.model), _clean(outcome.server), failure, truncated
    )


class Claim:
    """One attempt to claim a key; the subject of the chart.

    Parameters
    ----------
    state : str
    claim_id : str
    request : Request
    limit : float
        Time (s) at which the present phase is given up.

    Notes
    -----
    `found` is the last `ClaimValue` read, `revision` the revision of our own value, `create_until`
    the time (s) until which the create in flight may take effect and `unsure_until` the same for
    creates without an answer; `read_at` is when the last read was sent.
    """

    __slots__ = (
        "body_digest",
        "claim_id",
        "create_until",
        "found",
        "key",
        "limit",
        "outcome",
        "read_at",
        "request_id",
        "revision",
        "state",
        "step",
        "timer",
        "tries",
        "unsure_until",
    )

    def __init__(self, state, claim_id, request, limit):
        self.state = state
        self.claim_id = claim_id
        self.request_id = request.request_id
        self.key = f"claim/{digest_key(request.caller, request.key)}"
        self.body_digest = digest_body(request)
        self.limit = limit
        self.timer = inf
        self.step = 0
        self.tries = 0
        self.found = None
        self.revision = 0
        self.create_until = -inf
        self.unsure_until = -inf
        self.read_at = -inf
        self.outcome = None


class ClaimKeeper(Claims):
    """Claims of this node's requests.

    Notes
    -----
    At most once rests on two facts: of all creates of a key the platform applies one, and a claim
    is granted only when the platform showed our own claim id while the request was unanswered.
    Only the claim's own keeper deletes it, and only when its request surely did not run.
    A request that `Requests` gives up while its claim is pending, or finds gone when
    `claim_granted` arrives, has to be passed to `finish` with a "not run" failure.
    """

    __slots__ = ("by_request", "chart", "claims", "counter", "due")

    name = "claims"

    def __init__(self, node):
        super().__init__(node)
        self.chart = _load_chart(type(self))
        self.claims = {}  # by claim id
        self.by_request = {}  # those whose end `finish` has still to tell
        self.counter = 0
        self.due = inf  # no later than the earliest time at which a claim is due

    def handlers(self):
        """Return the handlers of messages."""
        return {CallerGone: self.take_caller_gone}

    def begin(self, request, now, out):
        """Claim the right to run `request`."""
        failure = self._check(request, now)
        if failure is not None:
            self.node.requests.claim_refused(request.request_id, failure, now, out)
            return
        self.counter += 1
        settings = self.node.settings
        claim_id = f"{settings.name}:{settings.incarnation}:{self.counter}"
        limit = min(request.deadline, now + PENDING_LIMIT_S)
        claim = Claim(self.chart.initial, claim_id, request, limit)
        self.claims[claim_id] = claim
        self.by_request[request.request_id] = claim
        self._fire(claim, "begin", now, out)

    def _check(self, request, now):
        if not request.key:
            return Failure(
                ErrorKind.INVALID_REQUEST, "a non-idempotent request needs an idempotency key"
            )
        if request.deadline <= now:
            return Failure(ErrorKind.DEADLINE_IN_QUEUE, "the deadline passed before the claim")
        if len(self.claims) >= MAX_CLAIMS:
            return Failure(ErrorKind.OVERLOADED, f"{MAX_CLAIMS} claims are open on this node")
        return None

    def finish(self, request_id, outcome, now, out):
        """Record the outcome, or release the claim of a request that surely did not run."""
        claim = self.by_request.get(request_id)
        if claim is None:
            return
        failure = outcome.failure
        if failure is not None and failure.run_state is RunState.NOT_RUN:
            claim.limit = now + RELEASE_LIMIT_S
            self._fire(claim, "finish_not_run", now, out)
        else:
            claim.outcome = _shorten(outcome)
            claim.limit = now + RECORD_LIMIT_S
            self._fire(claim, "finish_ran", now, out)
        self.by_request.pop(request_id, None)

    def is_idle(self):
        """Return whether no claim is pending, held or to be written."""
        return not self.claims

    def take_caller_gone(self, message, now, out):
        """Give up the claim of a cancelled request, unless it is granted already."""
        claim = self.by_request.get(message.request_id)
        if claim is not None:
            self._fire(claim, "cancel", now, out)

    def handle_kv(self, result, now, out):
        """Pass a platform answer to its claim; answers of earlier calls are dropped."""
        claim_id, _, step = result.call.token.rpartition("#")
        claim = self.claims.get(claim_id)
        if claim is None or int(step) != claim.step:
            return
        if isinstance(result.call.op, KvPut) and result.outcome is not KvOutcome.UNKNOWN:
            claim.create_until = -inf
        self._fire(claim, self._classify(claim, result), now, out)

    def _classify(self, claim, result):
        """Return the event that a platform answer is to the claim."""
        op, entries = result.call.op, result.entries
        if result.outcome is KvOutcome.CONFLICT and isinstance(op, KvPut) and entries:
            return self._classify_entry(claim, entries[0])
        if result.outcome is not KvOutcome.APPLIED:
            return result.outcome.value
        if isinstance(op, KvGet):
            return self._classify_entry(claim, entries[0]) if entries else "absent"
        if isinstance(op, KvPut) and claim.outcome is None:
            if not entries:
                return "unknown"  # the revision is needed later, so the claim is read
            claim.revision = entries[0].revision
        return "applied"

    def _classify_entry(self, claim, entry):
        try:
            claim.found = decode_claim(entry.value)
        except FormatError:
            claim.found = None
            return "unresolved"
        if claim.found.claim_id == claim.claim_id:
            claim.revision = entry.revision
            return "own" if claim.found.outcome is None else "own_recorded"
        if claim.found.body_digest != claim.body_digest:
            return "reused"
        return "unresolved" if claim.found.outcome is None else "recorded"

    def tick(self, now, out):
        """Fire what is due: limits, calls without a result and waits."""
        for claim in list(self.claims.values()):
            if claim.limit <= now:
                self._fire(claim, "expire", now, out)
            elif claim.timer <= now:
                calling = self.chart.has_tag(claim, "calling")
                self._fire(claim, "unknown" if calling else "due", now, out)
        self.due = min((min(c.limit, c.timer) for c in self.claims.values()), default=inf)

    def next_deadline(self):
        """Return a time (s) no later than the first due time of a claim."""
        return self.due

    def _fire(self, claim, event, now, out):
        self.chart.fire(claim, event, self, now, out)
        if claim.claim_id in self.claims:
            self.due = min(self.due, claim.limit, claim.timer)

    # Guards and actions of the chart.

    def is_in_time(self, claim, now, out):
        """Return whether the request may still start."""
        return now < claim.limit

    def send_create(self, claim, now, out):
        """Write the claim if the key is absent."""
        claim.unsure_until = max(claim.unsure_until, claim.create_until)
        claim.create_until = now + SETTLE_S
        value = encode_claim(ClaimValue(claim.claim_id, claim.body_digest))
        self._call(claim, self._put(claim, value, 0), now, out)

    def send_read(self, claim, now, out):
        """Read the key."""
        claim.read_at = now
        self._call(claim, KvGet(claim.key), now, out)

    def send_outcome(self, claim, now, out):
        """Write the outcome over the claim."""
        value = encode_claim(ClaimValue(claim.claim_id, claim.body_digest, claim.outcome))
        self._call(claim, self._put(claim, value, claim.revision), now, out)

    def send_delete(self, claim, now, out):
        """Delete our own claim."""
        self._call(claim, KvDelete(claim.key, claim.revision), now, out)

    def _put(self, claim, value, expected_revision):
        return KvPut(claim.key, value, expected_revision, self.node.settings.claim_retention_s)

    def _call(self, claim, op, now, out):
        timeout = CALL_TIMEOUT_S
        if self.chart.has_tag(claim, "pending"):
            timeout = max(0.0, min(timeout, claim.limit - now))
        claim.step += 1
        claim.timer = now + timeout + RESULT_GRACE_S
        token = f"{claim.claim_id}#{claim.step}"
        out.emit(KvCall(self.name, token, op, now, timeout))

    def wait(self, claim, now, out):
        """Wait before the next call; the answer of the last one is not awaited any more."""
        claim.step += 1
        claim.tries += 1
        claim.timer = now + compute_backoff(claim.tries, self.node.rng)

    def settle(self, claim, now, out):
        """End the release, or look for our claim later while a create may still take effect."""
        claim.unsure_until = max(claim.unsure_until, claim.create_until)
        claim.create_until = -inf
        # A read shows that a create did not apply only if it was sent when none was left.
        if claim.unsure_until <= claim.read_at:
            self._fire(claim, "settled", now, out)
        else:
            self.wait(claim, now, out)

    def grant(self, claim, now, out):
        """Let the request go on."""
        claim.limit = claim.timer = inf
        claim.step += 1
        claim.tries = 0
        self.node.requests.claim_granted(claim.request_id, now, out)

    def replay(self, claim, now, out):
        """Answer with the recorded outcome of another claim."""
        outcome = claim.found.outcome
        self._end_pending(claim, now)
        self.node.requests.claim_replayed(claim.request_id, outcome, now, out)

    def refuse_late(self, claim, now, out):
        """Refuse a request whose claim was not confirmed in time."""
        reason = "the platform did not confirm the claim in time; nothing was sent"
        self._refuse(claim, ErrorKind.CLAIM_UNAVAILABLE, reason, now, out)

    def refuse_unavailable(self, claim, now, out):
        """Refuse a request because the platform is unreachable."""
        reason = "the platform is unreachable; nothing was sent"
        self._refuse(claim, ErrorKind.CLAIM_UNAVAILABLE, reason, now, out)

    def refuse_unresolved(self, claim, now, out):
        """Refuse a request because another claim of its key has no readable outcome."""
        reason = "an earlier request with this key has no recorded outcome"
        if claim.found is None:
            reason = "the recorded claim of this key cannot be read"
        self._refuse(claim, ErrorKind.DUPLICATE_UNRESOLVED, reason, now, out)

    def refuse_reused(self, claim, now, out):
        """Refuse a request whose key belongs to another body."""
        reason = "the idempotency key was used with another request"
        self._refuse(claim, ErrorKind.KEY_REUSED, reason, now, out)

    def refuse_cancelled(self, claim, now, out):
        """Refuse a request whose caller has gone away."""
        reason = "the caller went away before the claim was confirmed"
        self._refuse(claim, ErrorKind.CANCELLED, reason, now, out, RunState.NOT_RUN)

    def _refuse(self, claim, kind, reason, now, out, run_state=None):
        self._end_pending(claim, now)
        failure = Failure(kind, reason, run_state)
        self.node.requests.claim_refused(claim.request_id, failure, now, out)

    def forget_request(self, claim, now, out):
        """Go on in the background without an answer."""
        self._end_pending(claim, now)

    def _end_pending(self, claim, now):
        self.by_request.pop(claim.request_id, None)
        claim.limit = now + RELEASE_LIMIT_S
        claim.tries = 0

    def forget_revision(self, claim, now, out):
        """Expect the key to be absent."""
        claim.revision = 0

    def report_abandoned(self, claim, now, out):
        """Log a claim that could not be written in time."""
        detail = f"{claim.key} was left as it is on the platform"
        out.emit(LogEvent("claim_abandoned", detail, claim.request_id, "error"))

    def report_replaced(self, claim, now, out):
        """Log an outcome whose key belongs to another claim by now."""
        detail = f"{claim.key} was deleted and claimed again before its outcome was recorded"
        out.emit(LogEvent("claim_replaced", detail, claim.request_id, "error"))

    def drop(self, claim, now, out):
        """Forget the claim."""
        self.claims.pop(claim.claim_id, None)
        if self.by_request.get(claim.request_id) is claim:
            del self.by_request[claim.request_id]
