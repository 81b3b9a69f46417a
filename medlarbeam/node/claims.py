"""At-most-once claims of non-idempotent requests, stored on the platform."""

from functools import cache
from hashlib import blake2b
from math import inf

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.key_value import KvCall, KvDelete, KvGet, KvOutcome, KvPut
from medlarbeam.classes.messages import CallerDisconnected
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.node.component import ClaimOutcome, Claims
from medlarbeam.readwrite.claim_values import (
    MAX_STORED_BODY_BYTES,
    ClaimValue,
    decode_claim,
    encode_claim,
)

__all__ = ["Claim", "ClaimManager", "digest_body", "digest_key"]

# Bounds the memory of outcomes that wait for the platform: 1024 of 64 KiB are 64 MiB.
MAX_CLAIMS = 1024
CALL_TIMEOUT_S = 2.0
# The shell reports UNKNOWN at the timeout; a call without any result is abandoned this much later.
RESULT_GRACE_S = 1.0
# The caller gets an error after this time, even if its deadline is later.
PENDING_LIMIT_S = 10.0
# A create without a response is assumed to have no effect after this time, five call timeouts. If
# it does take effect later, it blocks its key but never leads to a run.
CREATE_EFFECT_LIMIT_S = 10.0
RELEASE_LIMIT_S = 600.0
# Without a recorded outcome repeats are refused as "may have run", so the write is retried longer.
RECORD_LIMIT_S = 3600.0
MAX_REASON_CHARS = 1000


@cache
def _load_chart(handler):
    # Reading the file takes milliseconds, which matters if many nodes share a process.
    return load_chart("claim", handler)


def _digest(*parts):
    state = blake2b(digest_size=20)
    for part in parts:
        data = part.encode("utf-8", "surrogatepass")
        # The length distinguishes ("ab", "c") from ("a", "bc").
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()


def digest_key(caller, key):
    """Return the digest (hexadecimal text) of a caller's idempotency key."""
    return _digest(caller, key)


def digest_body(request):
    """Return the digest (hexadecimal text) of the content of a request."""
    return _digest(
        request.service,
        request.path,
        request.body,
        str(request.max_tokens),
        str(request.stream),
        *request.models,
    )


def _replace_surrogates(text):
    """Return `text` with "?" for lone surrogates, which JSON cannot represent."""
    return text.encode("utf-8", "replace").decode("utf-8")


def _make_recordable(outcome):
    """Return a `ClaimOutcome` that fits into a claim value."""
    body, truncated = _replace_surrogates(outcome.body), outcome.truncated
    size = len(body.encode("utf-8"))
    if size > MAX_STORED_BODY_BYTES:
        body, truncated = f'{{"notice": "the answer of {size} bytes was not recorded"}}', True
    failure = outcome.failure
    if failure is not None:
        failure = Failure(
            failure.kind, _replace_surrogates(failure.reason[:MAX_REASON_CHARS]), failure.run_state
        )
    return ClaimOutcome(
        outcome.status,
        body,
        _replace_surrogates(outcome.model),
        _replace_surrogates(outcome.server),
        failure,
        truncated,
    )


class Claim:
    """One attempt to claim a key; has a state in the chart ``claim``.

    Parameters
    ----------
    state : str
    claim_id : str
    request : Request
    phase_deadline : float
        Time (s) at which the present phase expires.

    Attributes
    ----------
    call_number : int
        Number of the last platform call; results of earlier calls are dropped.
    timer_at : float
        Time (s) at which a call without a result is abandoned, or a wait ends.
    found_value : ClaimValue or None
        Last value that was read.
    revision : int
        Revision of our own value on the platform.
    create_until : float
        Time (s) until which the create in flight may take effect.
    unconfirmed_until : float
        The same for earlier creates without a response.
    read_at : float
        Time (s) at which the last read was sent.
    """

    __slots__ = (
        "body_digest",
        "call_number",
        "claim_id",
        "create_until",
        "found_value",
        "key",
        "outcome",
        "phase_deadline",
        "read_at",
        "request_id",
        "revision",
        "state",
        "timer_at",
        "tries",
        "unconfirmed_until",
    )

    def __init__(self, state, claim_id, request, phase_deadline):
        self.state = state
        self.claim_id = claim_id
        self.request_id = request.request_id
        self.key = f"claim/{digest_key(request.caller, request.key)}"
        self.body_digest = digest_body(request)
        self.phase_deadline = phase_deadline
        self.timer_at = inf
        self.call_number = 0
        self.tries = 0
        self.found_value = None
        self.revision = 0
        self.create_until = -inf
        self.unconfirmed_until = -inf
        self.read_at = -inf
        self.outcome = None


class ClaimManager(Claims):
    """Runs each claim of this node's requests through the chart ``claim``.

    Notes
    -----
    At-most-once execution follows from two facts: the platform applies at most one create of a
    key, and a claim is granted only if the platform returned our own claim id while the request
    had no response. A claim is deleted only by the node that created it, and only if its request
    certainly did not run.
    `Requests` must call `finish` with a "not run" failure for a request that ends while its claim
    is pending, or that has ended before `claim_granted` is called.
    """

    __slots__ = ("by_request", "chart", "claims", "counter", "next_due")

    name = "claims"

    def __init__(self, node):
        super().__init__(node)
        self.chart = _load_chart(type(self))
        self.claims = {}  # by claim id
        self.by_request = {}  # claims that `finish` was not called for yet, by request id
        self.counter = 0
        self.next_due = inf  # at or before the earliest due time of a claim

    def handlers(self):
        """Return the handlers by message class."""
        return {CallerDisconnected: self.handle_caller_disconnected}

    def begin(self, request, now, out):
        """Claim the right to run `request`."""
        failure = self._check(request, now)
        if failure is not None:
            self.node.requests.claim_refused(request.request_id, failure, now, out)
            return
        self.counter += 1
        settings = self.node.settings
        claim_id = f"{settings.name}:{settings.incarnation}:{self.counter}"
        phase_deadline = min(request.deadline, now + PENDING_LIMIT_S)
        claim = Claim(self.chart.initial, claim_id, request, phase_deadline)
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
        """Record the outcome, or release the claim of a request that certainly did not run."""
        claim = self.by_request.get(request_id)
        if claim is None:
            return
        failure = outcome.failure
        if failure is not None and failure.run_state is RunState.NOT_RUN:
            claim.phase_deadline = now + RELEASE_LIMIT_S
            self._fire(claim, "finish_not_run", now, out)
        else:
            claim.outcome = _make_recordable(outcome)
            claim.phase_deadline = now + RECORD_LIMIT_S
            self._fire(claim, "finish_ran", now, out)
        self.by_request.pop(request_id, None)

    def is_idle(self):
        """Return whether no claim is pending, held or to be written."""
        return not self.claims

    def handle_caller_disconnected(self, message, now, out):
        """Cancel the claim of a cancelled request, unless it is granted already."""
        claim = self.by_request.get(message.request_id)
        if claim is not None:
            self._fire(claim, "cancel", now, out)

    def handle_kv(self, result, now, out):
        """Dispatch a platform result to its claim; results of earlier calls are dropped."""
        claim_id, _, call_number = result.call.token.rpartition("#")
        claim = self.claims.get(claim_id)
        if claim is None or int(call_number) != claim.call_number:
            return
        if isinstance(result.call.op, KvPut) and result.outcome is not KvOutcome.UNKNOWN:
            claim.create_until = -inf
        self._fire(claim, self._classify(claim, result), now, out)

    def _classify(self, claim, result):
        """Return the chart event for a platform result."""
        op, entries = result.call.op, result.entries
        if result.outcome is KvOutcome.CONFLICT and isinstance(op, KvPut) and entries:
            return self._classify_entry(claim, entries[0])
        if result.outcome is not KvOutcome.APPLIED:
            return result.outcome.value
        if isinstance(op, KvGet):
            return self._classify_entry(claim, entries[0]) if entries else "absent"
        if isinstance(op, KvPut) and claim.outcome is None:
            if not entries:
                return "unknown"  # the claim is read back, because its revision is needed later
            claim.revision = entries[0].revision
        return "applied"

    def _classify_entry(self, claim, entry):
        try:
            claim.found_value = decode_claim(entry.value)
        except FormatError:
            claim.found_value = None
            return "unresolved"
        if claim.found_value.claim_id == claim.claim_id:
            claim.revision = entry.revision
            return "own" if claim.found_value.outcome is None else "own_recorded"
        if claim.found_value.body_digest != claim.body_digest:
            return "reused"
        return "unresolved" if claim.found_value.outcome is None else "recorded"

    def tick(self, now, out):
        """Handle expired phases, calls without a result and ended waits."""
        for claim in list(self.claims.values()):
            if claim.phase_deadline <= now:
                self._fire(claim, "expire", now, out)
            elif claim.timer_at <= now:
                calling = self.chart.has_tag(claim, "calling")
                self._fire(claim, "unknown" if calling else "due", now, out)
        self.next_due = min(
            (min(c.phase_deadline, c.timer_at) for c in self.claims.values()), default=inf
        )

    def next_deadline(self):
        """Return a time (s) at or before the earliest due time of a claim."""
        return self.next_due

    def _fire(self, claim, event, now, out):
        self.chart.fire(claim, event, self, now, out)
        if claim.claim_id in self.claims:
            self.next_due = min(self.next_due, claim.phase_deadline, claim.timer_at)

    # Guards and actions of the chart.

    def is_before_deadline(self, claim, now, out):
        """Return whether the request may still start."""
        return now < claim.phase_deadline

    def send_create(self, claim, now, out):
        """Create the claim if the key is absent."""
        claim.unconfirmed_until = max(claim.unconfirmed_until, claim.create_until)
        claim.create_until = now + CREATE_EFFECT_LIMIT_S
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
            timeout = max(0.0, min(timeout, claim.phase_deadline - now))
        claim.call_number += 1
        claim.timer_at = now + timeout + RESULT_GRACE_S
        token = f"{claim.claim_id}#{claim.call_number}"
        out.emit(KvCall(self.name, token, op, now, timeout))

    def wait(self, claim, now, out):
        """Back off before the next call; the result of the last one is dropped if it arrives."""
        claim.call_number += 1
        claim.tries += 1
        claim.timer_at = now + compute_backoff(claim.tries, self.node.rng)

    def finish_release(self, claim, now, out):
        """End the release, or search for our claim again while a create may still take effect."""
        claim.unconfirmed_until = max(claim.unconfirmed_until, claim.create_until)
        claim.create_until = -inf
        # A read proves that no create applied only if it was sent after all creates had expired.
        if claim.unconfirmed_until <= claim.read_at:
            self._fire(claim, "release_finished", now, out)
        else:
            self.wait(claim, now, out)

    def grant(self, claim, now, out):
        """Grant the claim to its request."""
        claim.phase_deadline = claim.timer_at = inf
        claim.call_number += 1
        claim.tries = 0
        self.node.requests.claim_granted(claim.request_id, now, out)

    def replay(self, claim, now, out):
        """Respond with the recorded outcome of another claim."""
        outcome = claim.found_value.outcome
        self._end_pending(claim, now)
        self.node.requests.claim_replayed(claim.request_id, outcome, now, out)

    def refuse_unconfirmed(self, claim, now, out):
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
        if claim.found_value is None:
            reason = "the recorded claim of this key cannot be read"
        self._refuse(claim, ErrorKind.DUPLICATE_UNRESOLVED, reason, now, out)

    def refuse_reused(self, claim, now, out):
        """Refuse a request whose key was used with another body."""
        reason = "the idempotency key was used with another request"
        self._refuse(claim, ErrorKind.KEY_REUSED, reason, now, out)

    def refuse_cancelled(self, claim, now, out):
        """Refuse a request whose caller has closed the connection."""
        reason = "the caller closed the connection before the claim was confirmed"
        self._refuse(claim, ErrorKind.CANCELLED, reason, now, out, RunState.NOT_RUN)

    def _refuse(self, claim, kind, reason, now, out, run_state=None):
        self._end_pending(claim, now)
        failure = Failure(kind, reason, run_state)
        self.node.requests.claim_refused(claim.request_id, failure, now, out)

    def detach_request(self, claim, now, out):
        """Continue in the background; the request already has a response."""
        self._end_pending(claim, now)

    def _end_pending(self, claim, now):
        self.by_request.pop(claim.request_id, None)
        claim.phase_deadline = now + RELEASE_LIMIT_S
        claim.tries = 0

    def reset_revision(self, claim, now, out):
        """Expect the key to be absent at the next write."""
        claim.revision = 0

    def log_abandoned(self, claim, now, out):
        """Log a claim that could not be written in time."""
        detail = f"{claim.key} could not be written within the time limit; it is left unchanged"
        out.emit(LogEvent("claim_abandoned", detail, claim.request_id, "error"))

    def log_replaced(self, claim, now, out):
        """Log an outcome that was not recorded because its key now belongs to another claim."""
        detail = f"{claim.key} was deleted and claimed again before its outcome was recorded"
        out.emit(LogEvent("claim_replaced", detail, claim.request_id, "error"))

    def drop(self, claim, now, out):
        """Remove the claim."""
        self.claims.pop(claim.claim_id, None)
        if self.by_request.get(claim.request_id) is claim:
            del self.by_request[claim.request_id]
