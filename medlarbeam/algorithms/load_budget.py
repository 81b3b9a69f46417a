"""Budget of loads from the rate-limited weight store."""

from abc import ABC, abstractmethod

from medlarbeam.classes.requests import Rank

__all__ = ["LoadBudget", "SharedLoadBudget", "UnlimitedLoadBudget"]

# Part of the rate that is used: without a margin the delays of orders let starts catch up with each
# other at the store.
RATE_SHARE = 0.97

# Tokens that must be there for a load of each rank; what a lower rank leaves is for urgent loads.
NEEDED = {Rank.URGENT: 1.0, Rank.ORDINARY: 1.25, Rank.YIELDING: 1.5}


class LoadBudget(ABC):
    """Says when a node may load another adapter."""

    __slots__ = ()

    @abstractmethod
    def try_take(self, share, in_flight, rank, now):
        """Return whether a load may start at `now` (s).

        Parameters
        ----------
        share : float
            Part of the deployment's engines that this node manages, 0 to 1.
        in_flight : int
            Loads that this node has in flight.
        rank : Rank
            Rank of the request that waits for the load.
        now : float
        """

    @abstractmethod
    def find_wait(self, share, rank):
        """Return the seconds from the last call of `try_take` until it may succeed."""


class SharedLoadBudget(LoadBudget):
    """One node's share of the deployment's budget, as a token bucket.

    Parameters
    ----------
    loads_per_s : float
        Rate of the whole deployment.
    loads_in_flight : int
        Loads in flight of the whole deployment.
    burst : float
        Loads of the whole deployment that may start at once.

    Notes
    -----
    The shares of all nodes add up to the rate, so the total holds whoever is cut off, without
    messages. One bucket for all engines of a node serves a single busy engine at the rate of
    all of them. A node keeps one load at least, so 4 nodes may start 4 at once; the store then
    delays one of them by 1/7 s. A smaller reserve made callers wait longer than that.
    """

    __slots__ = ("burst", "loads_in_flight", "loads_per_s", "tokens", "updated_at")

    def __init__(self, loads_per_s, loads_in_flight, burst=3.0):
        self.loads_per_s = loads_per_s
        self.loads_in_flight = loads_in_flight
        self.burst = burst
        self.tokens = 0.0
        self.updated_at = float("-inf")

    def try_take(self, share, in_flight, rank, now):
        """Take a token; see `LoadBudget.try_take`."""
        if share <= 0.0:
            return False
        earned = (now - self.updated_at) * self.loads_per_s * RATE_SHARE * share
        self.tokens = min(max(NEEDED[Rank.YIELDING], self.burst * share), self.tokens + earned)
        self.updated_at = now
        # Sums of small steps may stop just below a whole token.
        if self.tokens < NEEDED[rank] - 1e-9 or in_flight >= max(
            1, int(self.loads_in_flight * share)
        ):
            return False
        self.tokens -= 1.0
        return True

    def find_wait(self, share, rank):
        """Return the seconds until a token is there; see `LoadBudget.find_wait`."""
        if share <= 0.0:
            return float("inf")
        return max(0.0, NEEDED[rank] - self.tokens) / (self.loads_per_s * RATE_SHARE * share)


class UnlimitedLoadBudget(LoadBudget):
    """Never refuses: the naive version."""

    __slots__ = ()

    def try_take(self, share, in_flight, rank, now):
        """Return True."""
        return True

    def find_wait(self, share, rank):
        """Return 0."""
        return 0.0
