"""Measurements of a simulation run, per rank and in total."""

from hdrh.histogram import HdrHistogram

from medlarbeam.classes.requests import Rank

__all__ = [
    "FIRST_TOKEN_TARGET_S",
    "INTER_TOKEN_TARGET_S",
    "Measurements",
    "RankMeasurements",
    "RequestTrace",
]

FIRST_TOKEN_TARGET_S = 0.95
INTER_TOKEN_TARGET_S = 0.040
_MAX_MS = 600_000


class RequestTrace:
    """A request and the progress of its response as observed by the caller.

    Parameters
    ----------
    request : SizedRequest
    sent_at : float
        Time (s) at which the caller sent the request.
    is_measured : bool
        Whether it was sent after the warm-up.
    """

    __slots__ = ("end", "first_at", "is_measured", "last_at", "request", "sent_at", "tokens")

    def __init__(self, request, sent_at, is_measured):
        self.request = request
        self.sent_at = sent_at
        self.is_measured = is_measured
        self.first_at = None
        self.last_at = None
        self.tokens = 0
        self.end = None

    def record_tokens(self, tokens, now):
        """Record tokens that reached the caller at `now` (s)."""
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.tokens += tokens

    def mean_inter_token_s(self):
        """Return the mean time between consecutive tokens (s)."""
        return (self.last_at - self.first_at) / max(1, self.tokens - 1)

    def is_within_target(self):
        """Return whether the response completed and met both latency targets."""
        if self.first_at is None or self.end is None or self.end.failure is not None:
            return False
        in_time = self.first_at - self.sent_at <= FIRST_TOKEN_TARGET_S
        return in_time and self.mean_inter_token_s() <= INTER_TOKEN_TARGET_S


class RankMeasurements:
    """Counters and latency histograms of one rank."""

    __slots__ = (
        "answered",
        "first_token",
        "inter_token",
        "load_wait_s",
        "offered",
        "requested_tokens",
        "shed",
        "stalled",
        "tokens",
        "within_target",
    )

    def __init__(self):
        self.offered = self.answered = self.within_target = self.stalled = 0
        self.tokens = self.requested_tokens = 0
        self.load_wait_s = 0.0
        self.shed = {}
        self.first_token = HdrHistogram(1, _MAX_MS, 3)
        self.inter_token = HdrHistogram(1, _MAX_MS * 100, 3)  # unit: 10 us

    def add(self, trace):
        """Add a request that has ended or will not end before the simulation does."""
        self.offered += 1
        self.tokens += trace.tokens
        if trace.first_at is not None:
            self.first_token.record_value(max(1, round((trace.first_at - trace.sent_at) * 1000)))
        if trace.tokens > 1:
            self.inter_token.record_value(max(1, round(trace.mean_inter_token_s() * 1e5)))
        if trace.end is None or trace.end.failure is not None:
            kind = trace.end.failure.kind.value if trace.end is not None else "unanswered"
            self.shed[kind] = self.shed.get(kind, 0) + 1
            return
        self.answered += 1
        self.requested_tokens += trace.request.max_tokens
        self.within_target += trace.is_within_target()
        self.stalled += trace.end.load_wait_s > 0
        self.load_wait_s += trace.end.load_wait_s

    def document(self):
        """Return the figures as a JSON document."""
        return {
            "offered": self.offered,
            "answered": self.answered,
            "shed": dict(sorted(self.shed.items())),
            "within_target": self.within_target,
            "within_target_share": _share(self.within_target, self.offered),
            "first_token_p50_ms": self.first_token.get_value_at_percentile(50),
            "first_token_p95_ms": self.first_token.get_value_at_percentile(95),
            "between_tokens_p50_ms": self.inter_token.get_value_at_percentile(50) / 100,
            "between_tokens_p95_ms": self.inter_token.get_value_at_percentile(95) / 100,
            "load_wait_s": round(self.load_wait_s, 3),
            "stalled_share": _share(self.stalled, self.answered),
            "tokens_used": self.tokens,
            "tokens_asked": self.requested_tokens,
        }


class Measurements:
    """Measurements of one run of a scenario.

    Attributes
    ----------
    starts : dict of Rank to int
        Number of runs started during the measurement, by rank.
    callers : dict of str to int
        Number of completed requests by prefix of the callers' names.
    """

    __slots__ = ("answered_tokens", "callers", "ranks", "starts", "totals")

    def __init__(self):
        self.ranks = {rank: RankMeasurements() for rank in Rank}
        self.starts = dict.fromkeys(Rank, 0)
        self.callers = {}
        self.answered_tokens = 0
        self.totals = {}

    def add(self, trace):
        """Add a request."""
        self.ranks[trace.request.rank].add(trace)
        if trace.end is not None and trace.end.failure is None:
            name = trace.request.caller.rstrip("0123456789")
            self.callers[name] = self.callers.get(name, 0) + 1
            self.answered_tokens += trace.tokens

    def document(self, measure_s):
        """Return the figures as a JSON document; ranks without requests are omitted."""
        started = sum(self.starts.values())
        ranks = {}
        for rank, figures in self.ranks.items():
            if figures.offered:
                ranks[rank.name.lower()] = figures.document()
                share = _share(self.starts[rank], started)
                ranks[rank.name.lower()]["share_of_starts"] = share
        goodput = round(self.answered_tokens / measure_s, 1)
        callers = dict(sorted(self.callers.items()))
        totals = {**self.totals, "goodput_tokens_per_s": goodput, "answered_by_caller": callers}
        return {"ranks": ranks, "totals": totals}


def _share(part, whole):
    return round(part / whole, 4) if whole else 0.0
