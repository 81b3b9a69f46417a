"""Budget of loads from the rate-limited weight store."""

from abc import ABC, abstractmethod

__all__ = ["LoadBudget", "SharedLoadBudget", "UnlimitedLoadBudget"]

BURST = 1.0  # loads; nine engines with a burst of one stay below 24 in flight


class LoadBudget(ABC):
    """Says when a backend server may load another adapter."""

    __slots__ = ()

    @abstractmethod
    def try_take(self, servers, in_flight, now):
        """Return whether a load may start at `now` (s).

        Parameters
        ----------
        servers : int
            Number of engines in the deployment that share the weight store.
        in_flight : int
            Loads that this backend server has in flight.
        now : float
        """


class SharedLoadBudget(LoadBudget):
    """Equal share of the deployment's budget for one backend server, as a token bucket.

    Parameters
    ----------
    loads_per_s : float
        Rate of the whole deployment.
    loads_in_flight : int
        Loads in flight of the whole deployment.

    Notes
    -----
    The shares of all backend servers add up to the budget, so the total holds whichever nodes
    own them and whoever is cut off, without messages.
    """

    __slots__ = ("loads_in_flight", "loads_per_s", "tokens", "updated_at")

    def __init__(self, loads_per_s, loads_in_flight):
        self.loads_per_s = loads_per_s
        self.loads_in_flight = loads_in_flight
        self.tokens = BURST
        self.updated_at = None

    def try_take(self, servers, in_flight, now):
        """Take a token; see `LoadBudget.try_take`."""
        share = 1.0 / max(servers, 1)
        if self.updated_at is not None:
            earned = (now - self.updated_at) * self.loads_per_s * share
            self.tokens = min(BURST, self.tokens + earned)
        self.updated_at = now
        if in_flight >= max(1, int(self.loads_in_flight * share)) or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class UnlimitedLoadBudget(LoadBudget):
    """Never refuses: the naive version."""

    __slots__ = ()

    def try_take(self, servers, in_flight, now):
        """Return True."""
        return True
