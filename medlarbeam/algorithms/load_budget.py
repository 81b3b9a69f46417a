"""Rate limits on adapter loads from the weight store."""

from abc import ABC, abstractmethod

from medlarbeam.classes.requests import Rank

__all__ = ["LoadBudget", "SharedLoadBudget", "UnlimitedLoadBudget"]

# Fraction of the permitted rate that is used. Loads reach the store after varying delays, so their
# arrivals bunch up and would exceed its rate without a margin.
RATE_FRACTION = 0.97

# Tokens that must be available for a load of each rank. Lower ranks need more than one token; the
# difference stays in reserve for urgent loads.
MIN_TOKENS = {Rank.URGENT: 1.0, Rank.ORDINARY: 1.25, Rank.YIELDING: 1.5}


class LoadBudget(ABC):
    """Base class of budgets that limit when a node may load another adapter."""

    __slots__ = ()

    @abstractmethod
    def try_acquire(self, share, in_flight, rank, now):
        """Return whether a load may start at `now` (s), and charge it to the budget if so.

        Parameters
        ----------
        share : float
            Fraction of the engines of the deployment that this node manages, 0 to 1.
        in_flight : int
            Number of loads of this node that are in flight.
        rank : Rank
            Rank of the request that waits for the load.
        now : float
            Monotonic time (s).
        """

    @abstractmethod
    def time_until_available(self, share, rank):
        """Return the time (s) after the last call of `try_acquire` at which a call may succeed."""


class SharedLoadBudget(LoadBudget):
    """Share of one node in the load budget of the deployment, as a token bucket.

    Parameters
    ----------
    loads_per_s : float
        Permitted rate of loads of the whole deployment.
    loads_in_flight : int
        Permitted loads in flight of the whole deployment.
    burst : float
        Loads of the whole deployment that may start at once.

    Notes
    -----
    The shares of all nodes add up to the permitted rate, so the total is kept without messages
    between nodes, also during a network partition. All engines of a node share one bucket, so a
    single busy engine can use the rate of all of them. The bucket of a node always has room for a
    load, so 4 nodes may start 4 loads at once, of which the store delays one by 1/7 s. With a
    smaller bucket, callers waited longer than that.
    """

    __slots__ = ("burst", "loads_in_flight", "loads_per_s", "tokens", "updated_at")

    def __init__(self, loads_per_s, loads_in_flight, burst=3.0):
        self.loads_per_s = loads_per_s
        self.loads_in_flight = loads_in_flight
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = float("-inf")

    def try_acquire(self, share, in_flight, rank, now):
        """Return whether a token was consumed; see `LoadBudget.try_acquire`."""
        if share <= 0.0:
            return False
        earned = (now - self.updated_at) * self.loads_per_s * RATE_FRACTION * share
        self.tokens = min(max(MIN_TOKENS[Rank.YIELDING], self.burst * share), self.tokens + earned)
        self.updated_at = now
        # Rounding errors may leave the sum of small increments just below the threshold.
        if self.tokens < MIN_TOKENS[rank] - 1e-9 or in_flight >= max(
            1, int(self.loads_in_flight * share)
        ):
            return False
        self.tokens -= 1.0
        return True

    def time_until_available(self, share, rank):
        """Return the time (s) until enough tokens are available; see the base class."""
        if share <= 0.0:
            return float("inf")
        return max(0.0, MIN_TOKENS[rank] - self.tokens) / (self.loads_per_s * RATE_FRACTION * share)


class UnlimitedLoadBudget(LoadBudget):
    """Naive policy: permits every load."""

    __slots__ = ()

    def try_acquire(self, share, in_flight, rank, now):
        """Return True."""
        return True

    def time_until_available(self, share, rank):
        """Return 0."""
        return 0.0
