"""Evidence against what requests contain that ran on crashed backend servers."""

from math import inf

__all__ = [
    "PART_SCOPE",
    "REQUEST_SCOPE",
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
# Crashes that suffice if another part was in flight at the same ones, or if nothing was served.
AMBIGUOUS_STRIKES = 5
MIN_STRIKE_GAP_S = 0.05  # backend servers that fail together crash within a few ms
# Least weight of the evidence against a prompt part. That against a popular one is lighter, also
# at a node that knows a part of the lost runs only.
MIN_WEIGHT = 1.0
# Weight of a crash under a prompt part with which requests were served before it.
SERVED_WEIGHT = 0.5
MAX_DEATHS = 16  # kept for each fingerprint


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


class Death:
    """A crash as evidence against one fingerprint.

    Attributes
    ----------
    is_strike : bool
        Whether it is evidence of its own, see `SuspicionRecord.record_run`.
    runs : int
        Number of lost runs with the fingerprint.
    """

    __slots__ = ("is_strike", "runs")

    def __init__(self):
        self.is_strike = False
        self.runs = 0


class SuspicionRecord:
    """Crashes that a fingerprint may have caused; has a state in the chart ``crash_suspicion``.

    Attributes
    ----------
    deaths : dict of str to Death
        By death id, the oldest first.
    requests : set of str
        Fingerprints of the requests whose runs were lost, for a prompt part.
    struck_at : float
        Time (s) of the last strike.
    was_served : bool
        Whether a node has seen a request with the prompt part served before the crashes.
    expires_at, publish_at : float
        Times (s) at which the state expires and the quarantine is published.
    """

    __slots__ = (
        "deaths",
        "expires_at",
        "fingerprint",
        "publish_at",
        "requests",
        "state",
        "struck_at",
        "was_served",
    )

    def __init__(self, fingerprint, state):
        self.fingerprint = fingerprint
        self.state = state
        self.deaths = {}
        self.requests = set()
        self.struck_at = -inf
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

        It grows with the crashes, and falls with the runs that were lost in them: a harmful part
        crashes a backend server with its first run, while runs with a popular one are always open.
        """
        runs = sum(death.runs for death in self.deaths.values())
        weight = len(self.deaths) ** 2 / max(1, runs)
        return SERVED_WEIGHT * weight if self.was_served else weight

    def record_run(self, death_id, request, lost_at, served_at):
        """Record a run that was lost in a crash; return whether that is a strike.

        Parameters
        ----------
        death_id : str
        request : str
            Fingerprint of the request.
        lost_at : float
            Time (s) of the crash.
        served_at : float
            Time (s) at which any request was last served.

        Notes
        -----
        Crashes at the same moment are one strike, and so are a few crashes without a complete
        response to any request in between.
        """
        death = self.deaths.get(death_id)
        if death is None:
            death = self.deaths[death_id] = Death()
            while len(self.deaths) > MAX_DEATHS:
                del self.deaths[next(iter(self.deaths))]
        death.runs += 1
        if death.is_strike:
            return False
        if served_at < self.struck_at and len(self.deaths) < AMBIGUOUS_STRIKES:
            return False
        if lost_at < self.struck_at + MIN_STRIKE_GAP_S:
            return False
        if self.scope == PART_SCOPE:
            if request in self.requests:
                return False
            self.requests.add(request)
        death.is_strike = True
        self.struck_at = lost_at
        return True

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
    if record.scope == REQUEST_SCOPE:
        return strikes >= REQUEST_STRIKES
    if strikes < PART_STRIKES:
        return False
    weight = record.find_weight()
    rivals = [r for r in parts if r is not record and not record.deaths.keys().isdisjoint(r.deaths)]
    most = max((rival.find_weight() for rival in rivals), default=0.0)
    if weight < MIN_WEIGHT or most > weight:
        return False
    return most < weight or strikes >= AMBIGUOUS_STRIKES
