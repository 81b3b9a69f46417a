"""Evidence against what requests contain that ran on crashed backend servers."""

from bisect import bisect_left
from math import inf

__all__ = [
    "PART_SCOPE",
    "REQUEST_SCOPE",
    "ServedTimes",
    "SuspicionRecord",
    "find_convictions",
    "format_fingerprint",
    "format_parts",
    "list_fingerprints",
    "list_request_fingerprints",
]

REQUEST_SCOPE = "request"  # a fingerprint of one request and its repeats
PART_SCOPE = "part"  # of all requests whose prompts share a part
# Strikes after which a request and its repeats are quarantined. A harmless one moves from one
# crashed backend server to another that crashes for a reason of its own, but hardly twice.
REQUEST_STRIKES = 3
# The same for a prompt part. Each strike is under another request: one request alone does not show
# which of its parts is the cause.
PART_STRIKES = 2
STRIKES = {REQUEST_SCOPE: REQUEST_STRIKES, PART_SCOPE: PART_STRIKES}
# Crashes that suffice if another part was in flight at the same ones, or if nothing was served.
AMBIGUOUS_STRIKES = 5
MIN_STRIKE_GAP_S = 0.05  # backend servers that fail together crash within a few ms
# Least weight of the evidence against a prompt part. That against a popular one is lighter, also
# at a node that knows a part of the lost runs only.
MIN_WEIGHT = 1.0
# Weight of a crash under a prompt part with which requests were served before it.
SERVED_WEIGHT = 0.5
# Complete runs for each crash that clear a fingerprint. One that crashes half of its runs completes
# two in succession less often than it crashes.
CLEARING_RUNS = 2
MAX_DEATHS = 16  # kept for each fingerprint
SERVED_STEP_S = 0.01
MAX_SERVED_TIMES = 12_000  # 120 s


def format_fingerprint(request):
    """Return the fingerprint of a `GatewayRequest` as text."""
    return f"{request.fingerprint:x}"


def list_request_fingerprints(request):
    """Return the fingerprints of a `GatewayRequest`."""
    return list_fingerprints(format_fingerprint(request), request.shared_parts)


def list_fingerprints(fingerprint, shared_parts):
    """Return the fingerprints of a request: its own and those of its shared parts."""
    return [f"{REQUEST_SCOPE}:{fingerprint}", *format_parts(dict.fromkeys(shared_parts))]


def format_parts(names):
    """Return the fingerprints of prompt parts."""
    return [f"{PART_SCOPE}:{name}" for name in names]


class ServedTimes:
    """Times (s) at which backend servers have served requests, in steps of `SERVED_STEP_S`."""

    __slots__ = ("times",)

    def __init__(self):
        self.times = []

    def record(self, at):
        """Record that a request was served at the time `at` (s)."""
        index = bisect_left(self.times, at)
        neighbours = self.times[max(0, index - 1) : index + 1]
        if all(abs(at - time) >= SERVED_STEP_S for time in neighbours):
            self.times.insert(index, at)
            if len(self.times) > MAX_SERVED_TIMES:
                del self.times[: MAX_SERVED_TIMES // 2]

    def last(self):
        """Return the latest of the times, -infinity for none."""
        return self.times[-1] if self.times else -inf

    def is_any_between(self, since, until):
        """Return whether a request was served from `since` to `until` (s)."""
        index = bisect_left(self.times, since)
        return index < len(self.times) and self.times[index] <= until


class Death:
    """A crash as evidence against one fingerprint.

    Attributes
    ----------
    lost_at : float
        Time (s) of the crash.
    sent_at : float
        Time (s) at which the last of the lost runs was sent, -infinity if unknown.
    is_strike : bool
        Whether it is evidence of its own, see `SuspicionRecord.record_run`.
    runs : set of tuple
        Node and fingerprint of the request of each lost run.
    """

    __slots__ = ("is_strike", "lost_at", "runs", "sent_at")

    def __init__(self, lost_at):
        self.lost_at = lost_at
        self.sent_at = -inf
        self.is_strike = False
        self.runs = set()


class SuspicionRecord:
    """Crashes that a fingerprint may have caused; has a state in the chart ``crash_suspicion``.

    Attributes
    ----------
    deaths : dict of str to Death
        By death id, the oldest first.
    requests : set of str
        Fingerprints of the requests whose runs were lost, for a prompt part.
    completions : int
        Number of runs with it that were served completely since the first crash.
    was_served : bool
        Whether a node has seen a request with the prompt part served before the crashes.
    expires_at, publish_at : float
        Times (s) at which the state expires and the quarantine is published.
    """

    __slots__ = (
        "completions",
        "deaths",
        "expires_at",
        "fingerprint",
        "publish_at",
        "requests",
        "state",
        "was_served",
    )

    def __init__(self, fingerprint, state):
        self.fingerprint = fingerprint
        self.state = state
        self.deaths = {}
        self.requests = set()
        self.completions = 0
        self.was_served = False
        self.expires_at = inf
        self.publish_at = inf

    @property
    def scope(self):
        """Return `REQUEST_SCOPE` or `PART_SCOPE`."""
        return self.fingerprint.partition(":")[0]

    def count_strikes(self):
        """Return the number of crashes in succession."""
        return sum(death.is_strike for death in self.deaths.values())

    def find_weight(self):
        """Return the weight of the evidence.

        It grows with the crashes, and falls with the runs that were lost in them or completed: a
        harmful part crashes a backend server with its first run, while runs with a popular one are
        always open, and those with one that crashes rarely often complete.
        """
        runs = sum(len(death.runs) for death in self.deaths.values()) + self.completions
        weight = len(self.deaths) ** 2 / max(1, runs)
        return SERVED_WEIGHT * weight if self.was_served or self.completions else weight

    def is_outweighed(self):
        """Return whether the runs that completed outweigh the crashes."""
        return self.completions >= max(1, CLEARING_RUNS * len(self.deaths))

    def record_run(self, death_id, node, request, lost_at, sent_at, served):
        """Record a run that was lost in a crash; return whether that is a strike.

        Parameters
        ----------
        death_id, node : str
        request : str
            Fingerprint of the request.
        lost_at, sent_at : float
            Times (s) of the crash, and of the send of the run, -infinity if that is unknown.
        served : ServedTimes

        Notes
        -----
        Reports are repeated and arrive in any order, so each run counts once, and crashes are
        compared by their times. Crashes at the same moment are one strike, and so are a few crashes
        without a complete response to any request in between. A request that was moved to another
        server after a crash, and crashes that one too, is a strike in any case.
        """
        death = self.deaths.get(death_id)
        if death is None:
            death = self.deaths[death_id] = Death(lost_at)
            while len(self.deaths) > MAX_DEATHS:
                del self.deaths[next(iter(self.deaths))]
        death.runs.add((node, request))
        death.sent_at = max(death.sent_at, sent_at)
        if death.is_strike or not self._is_apart(death, served):
            return False
        if self.scope == PART_SCOPE:
            if request in self.requests:
                return False
            self.requests.add(request)
        death.is_strike = True
        return True

    def _is_apart(self, death, served):
        """Return whether a crash has another cause than those that count already."""
        for other in self.deaths.values():
            if not other.is_strike:
                continue
            first, second = sorted((death, other), key=_lost_at)
            if self.scope == REQUEST_SCOPE and second.sent_at >= first.lost_at:
                continue
            if second.lost_at < first.lost_at + MIN_STRIKE_GAP_S:
                return False
            is_any_served = served.is_any_between(first.lost_at, second.lost_at)
            if not is_any_served and len(self.deaths) < AMBIGUOUS_STRIKES:
                return False
        return True

    def forget_death(self, death_id):
        """Forget a crash that did not happen; return whether it was evidence."""
        death = self.deaths.pop(death_id, None)
        if death is None:
            return False
        self.requests.difference_update(request for _, request in death.runs)
        return True

    def has_enough_strikes(self):
        """Return whether the strikes suffice for a quarantine."""
        return self.count_strikes() >= STRIKES[self.scope]

    def next_due(self):
        """Return the time (s) at which the record is due."""
        return min(self.expires_at, self.publish_at)


def find_convictions(suspected, records):
    """Return the records among `suspected` whose fingerprints are to be quarantined.

    A request is convicted by its own crashes, since its quarantine concerns its repeats alone. A
    prompt part is convicted if no other part of its crashes has as much evidence against it.

    Parameters
    ----------
    suspected : list of SuspicionRecord
    records : iterable of SuspicionRecord
        All records, with those that are quarantined already.
    """
    parts = [record for record in records if record.scope == PART_SCOPE]
    return [record for record in suspected if _is_convicted(record, parts)]


def _is_convicted(record, parts):
    strikes = record.count_strikes()
    if not record.has_enough_strikes():
        return False
    if record.scope == REQUEST_SCOPE:
        return True
    weight = record.find_weight()
    rivals = [r for r in parts if r is not record and not record.deaths.keys().isdisjoint(r.deaths)]
    most = max((rival.find_weight() for rival in rivals), default=0.0)
    if weight < MIN_WEIGHT or most > weight:
        return False
    return most < weight or strikes >= AMBIGUOUS_STRIKES


def _lost_at(death):
    return death.lost_at
