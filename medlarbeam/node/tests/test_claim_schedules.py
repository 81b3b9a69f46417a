"""Random schedules of claims, and mutants that the checker must detect."""

import pytest

from medlarbeam.algorithms.naive_claims import NaiveClaims
from medlarbeam.classes.key_value import KvOutcome, KvPut
from medlarbeam.node.claims import ClaimManager
from medlarbeam.node.tests.claim_checker import ViolationError
from medlarbeam.node.tests.run_claim_schedules import run_schedule


class NoReadBack(ClaimManager):
    """Refuses after a lost response, without reading whether the claim was written."""

    __slots__ = ()

    def _classify(self, claim, result):
        event = super()._classify(claim, result)
        return "unavailable" if event == "unknown" else event

    def finish_release(self, claim, now, out):
        self._fire(claim, "release_finished", now, out)


class GrantOnUnknown(ClaimManager):
    """Grants a claim although the result of its create is unknown."""

    __slots__ = ()

    def _classify(self, claim, result):
        create = isinstance(result.call.op, KvPut) and claim.outcome is None
        if create and result.outcome is KvOutcome.UNKNOWN:
            return "applied"
        return super()._classify(claim, result)


class IgnoreBody(ClaimManager):
    """Replays an outcome for a request with another body."""

    __slots__ = ()

    def _classify_entry(self, claim, entry):
        event = super()._classify_entry(claim, entry)
        if event == "reused":
            return "unresolved" if claim.found_value.outcome is None else "recorded"
        return event


class ReleaseWhenUnsure(ClaimManager):
    """Releases the claim of a request that may have run."""

    __slots__ = ()

    def finish(self, request_id, outcome, now, out):
        claim = self.by_request.get(request_id)
        if claim is not None and outcome.failure is not None:
            claim.phase_deadline = now + 600.0
            self._fire(claim, "finish_not_run", now, out)
        super().finish(request_id, outcome, now, out)


class ForgetOutcome(ClaimManager):
    """Does not retry the write of an outcome."""

    __slots__ = ()

    def wait(self, claim, now, out):
        super().wait(claim, now, out)
        if claim.outcome is not None:
            self.drop(claim, now, out)


class NeverRelease(ClaimManager):
    """Leaves the claim of a request that did not run."""

    __slots__ = ()

    def send_delete(self, claim, now, out):
        self.drop(claim, now, out)


@pytest.mark.parametrize("first", range(0, 400, 40), ids=lambda f: f"seeds-{f}-to-{f + 39}")
def test_no_key_runs_twice(first):
    """Two requests with one key both run, or a repeat gets a wrong response, under faults."""
    for seed in range(first, first + 40):
        print(f"seed {seed}")
        run_schedule(seed)


MUTANTS = [
    ("runs-twice-without-shared-claims", NaiveClaims, "times"),
    ("runs-twice-when-granted-on-unknown", GrantOnUnknown, "times"),
    ("runs-twice-when-released-after-a-possible-run", ReleaseWhenUnsure, "times"),
    ("replays-for-another-body", IgnoreBody, "replayed"),
    ("blocks-the-key-without-read-back", NoReadBack, "never ran"),
    ("blocks-the-key-without-release", NeverRelease, "never ran"),
    ("loses-the-outcome-without-retry", ForgetOutcome, "did not get the recorded outcome"),
]


@pytest.mark.parametrize(
    ("manager", "message"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS]
)
def test_checker_finds_the_mutant(manager, message):
    """The checker misses a violation, so that the schedules prove nothing."""
    for seed in range(400):
        try:
            run_schedule(seed, manager)
        except ViolationError as error:
            if message in str(error):
                print(f"seed {seed}: {error}")
                return
    pytest.fail("no schedule failed")
