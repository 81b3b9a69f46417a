"""What a run measures, by rank and in total."""

from hdrh.histogram import HdrHistogram

from medlarbeam.classes.requests import Rank

__all__ = ["BETWEEN_TARGET_S", "FIRST_TARGET_S", "Asked", "Measures", "RankMeasures"]

FIRST_TARGET_S = 0.95
BETWEEN_TARGET_S = 0.040
_MAX_MS = 600_000


class Asked:
    """A request and what its caller has seen of the answer.

    Parameters
    ----------
    request : SizedRequest
    asked_at : float
        Time (s) at the caller.
    counted : bool
        Whether it was asked during the measurement.
    """

    __slots__ = ("asked_at", "counted", "end", "first_at", "last_at", "request", "tokens")

    def __init__(self, request, asked_at, counted):
        self.request = request
        self.asked_at = asked_at
        self.counted = counted
        self.first_at = None
        self.last_at = None
        self.tokens = 0
        self.end = None

    def take_tokens(self, tokens, now):
        """Note that tokens reached the caller at `now` (s)."""
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.tokens += tokens

    def between_s(self):
        """Return the mean time between the tokens (s)."""
        return (self.last_at - self.first_at) / max(1, self.tokens - 1)

    def is_within_target(self):
        """Return whether the answer met both targets."""
        if self.first_at is None or self.end is None or self.end.failure is not None:
            return False
        in_time = self.first_at - self.asked_at <= FIRST_TARGET_S
        return in_time and self.between_s() <= BETWEEN_TARGET_S


class RankMeasures:
    """Figures of one rank."""

    __slots__ = (
        "answered",
        "asked_tokens",
        "between",
        "first",
        "load_wait_s",
        "offered",
        "shed",
        "stalled",
        "tokens",
        "within",
    )

    def __init__(self):
        self.offered = self.answered = self.within = self.stalled = 0
        self.tokens = self.asked_tokens = 0
        self.load_wait_s = 0.0
        self.shed = {}
        self.first = HdrHistogram(1, _MAX_MS, 3)
        self.between = HdrHistogram(1, _MAX_MS * 100, 3)  # 10 us

    def add(self, asked):
        """Count a request that has ended, or that never will."""
        self.offered += 1
        self.tokens += asked.tokens
        if asked.first_at is not None:
            self.first.record_value(max(1, round((asked.first_at - asked.asked_at) * 1000)))
        if asked.tokens > 1:
            self.between.record_value(max(1, round(asked.between_s() * 1e5)))
        if asked.end is None or asked.end.failure is not None:
            kind = asked.end.failure.kind.value if asked.end is not None else "unanswered"
            self.shed[kind] = self.shed.get(kind, 0) + 1
            return
        self.answered += 1
        self.asked_tokens += asked.request.max_tokens
        self.within += asked.is_within_target()
        self.stalled += asked.end.load_wait_s > 0
        self.load_wait_s += asked.end.load_wait_s

    def document(self):
        """Return the figures as a JSON document."""
        return {
            "offered": self.offered,
            "answered": self.answered,
            "shed": dict(sorted(self.shed.items())),
            "within_target": self.within,
            "within_target_share": _ratio(self.within, self.offered),
            "first_token_p50_ms": self.first.get_value_at_percentile(50),
            "first_token_p95_ms": self.first.get_value_at_percentile(95),
            "between_tokens_p50_ms": self.between.get_value_at_percentile(50) / 100,
            "between_tokens_p95_ms": self.between.get_value_at_percentile(95) / 100,
            "load_wait_s": round(self.load_wait_s, 3),
            "stalled_share": _ratio(self.stalled, self.answered),
            "tokens_used": self.tokens,
            "tokens_asked": self.asked_tokens,
        }


class Measures:
    """Figures of one run of a scenario.

    Attributes
    ----------
    starts : dict of Rank to int
        Runs that started during the measurement.
    callers : dict of str to int
        Answered requests by prefix of the callers' names.
    """

    __slots__ = ("answered_tokens", "callers", "ranks", "starts", "totals")

    def __init__(self):
        self.ranks = {rank: RankMeasures() for rank in Rank}
        self.starts = dict.fromkeys(Rank, 0)
        self.callers = {}
        self.answered_tokens = 0
        self.totals = {}

    def add(self, asked):
        """Count a request."""
        self.ranks[asked.request.rank].add(asked)
        if asked.end is not None and asked.end.failure is None:
            name = asked.request.caller.rstrip("0123456789")
            self.callers[name] = self.callers.get(name, 0) + 1
            self.answered_tokens += asked.tokens

    def document(self, measure_s):
        """Return the figures as a JSON document; ranks that were not asked for are left out."""
        started = sum(self.starts.values())
        ranks = {}
        for rank, figures in self.ranks.items():
            if figures.offered:
                ranks[rank.name.lower()] = figures.document()
                share = _ratio(self.starts[rank], started)
                ranks[rank.name.lower()]["share_of_starts"] = share
        goodput = round(self.answered_tokens / measure_s, 1)
        callers = dict(sorted(self.callers.items()))
        totals = {**self.totals, "goodput_tokens_per_s": goodput, "answered_by_caller": callers}
        return {"ranks": ranks, "totals": totals}


def _ratio(part, whole):
    return round(part / whole, 4) if whole else 0.0
