"""Checks of a play of harmful parts: late arrivals, and harmless requests that begin."""

from math import inf

from medlarbeam.classes.record import Record
from medlarbeam.soak.checker import CONTACT_S, MAX_CRASHES, MAX_LATE_RUNS

__all__ = ["CrashRequest", "CrashResult", "evaluate", "find_broken_rules"]

LOST_AFTER_S = 6.0  # from the fifth crash, after which harmless requests have to begin again
MIN_BEGUN_RATIO = 0.5  # of the share of harmless requests that began before the fault


class CrashRequest(Record):
    """A request of a caller, and its response.

    Parameters
    ----------
    attempt : str
    is_harmful : bool
    sent_at : float

    Attributes
    ----------
    status : int
        HTTP status, 0 for none.
    is_begun : bool
        Whether the first event, or the whole body of a call, has arrived.
    is_false_complete : bool
        Whether the response ended as a complete one, but its body is not whole.
    """

    __slots__ = ("attempt", "is_begun", "is_false_complete", "is_harmful", "sent_at", "status")

    def __init__(self, attempt, is_harmful, sent_at):
        self.attempt = attempt
        self.is_harmful = is_harmful
        self.sent_at = sent_at
        self.status = 0
        self.is_begun = False
        self.is_false_complete = False


class CrashResult(Record):
    """Figures of a play.

    Parameters
    ----------
    late : int
        Harmful requests that reached workers later than `CONTACT_S` after the fifth crash.
    arrivals, crashes : int
        All harmful requests that reached workers, and crashes.
    begun_before, sent_before : int
        Harmless requests before the fault.
    begun_after, sent_after : int
        Harmless requests from `LOST_AFTER_S` after the fifth crash.
    false_complete : int
        Responses that ended as complete ones, but are not whole.
    """

    __slots__ = (
        "arrivals",
        "begun_after",
        "begun_before",
        "crashes",
        "false_complete",
        "late",
        "sent_after",
        "sent_before",
    )

    def __init__(
        self,
        late,
        arrivals,
        crashes,
        begun_before,
        sent_before,
        begun_after,
        sent_after,
        false_complete,
    ):
        self.late = late
        self.arrivals = arrivals
        self.crashes = crashes
        self.begun_before = begun_before
        self.sent_before = sent_before
        self.begun_after = begun_after
        self.sent_after = sent_after
        self.false_complete = false_complete


def evaluate(requests, runs, crashed_at, fault_since):
    """Return the `CrashResult` of a play.

    Parameters
    ----------
    requests : list of CrashRequest
    runs : list of RunRecord
    crashed_at : list of float
        Times (s) of the crashes.
    fault_since : float
        Time (s) from which harmful requests are sent.
    """
    harmful = {request.attempt for request in requests if request.is_harmful}
    arrivals = [run.started_at for run in runs if run.attempt in harmful]
    times = sorted(crashed_at)
    fifth_at = times[MAX_CRASHES - 1] if len(times) >= MAX_CRASHES else inf
    harmless = [request for request in requests if not request.is_harmful]
    before = [request.is_begun for request in harmless if request.sent_at < fault_since]
    after = [r.is_begun for r in harmless if r.sent_at >= fifth_at + LOST_AFTER_S]
    return CrashResult(
        late=sum(at > fifth_at + CONTACT_S for at in arrivals),
        arrivals=len(arrivals),
        crashes=len(times),
        begun_before=sum(before),
        sent_before=len(before),
        begun_after=sum(after),
        sent_after=len(after),
        false_complete=sum(request.is_false_complete for request in requests),
    )


def find_broken_rules(result):
    """Return the names of the rules that a `CrashResult` breaks."""
    broken = []
    if result.late > MAX_LATE_RUNS:
        broken.append("BUDGET")
    least = MIN_BEGUN_RATIO * result.begun_before * result.sent_after
    if result.begun_after * result.sent_before < least:
        broken.append("LOST")
    return broken
