"""Choice of the backend server for a request that can go straight to any of them."""

from abc import ABC, abstractmethod

__all__ = ["Candidate", "FleetRouting", "LeastLoadedRouting", "PlacedRouting"]

# Costs in seconds of waiting that a caller would accept instead.
OTHER_DOMAIN_S = 0.03  # bytes between failure domains are dear, but less so than another load
LOAD_S = 0.25  # load of an adapter that nobody holds
# For each place behind the first in the hash order: an engine loads what it held lately in a tenth
# of the time and without the weight store, so an adapter leaves its home only for a long queue.
PLACE_S = 0.6
QUEUE_S = 0.04  # for each demand that waits there for a place
NO_HOLDER_S = 1.0  # nobody can order the load now
BUSY_SHARE = 0.6  # of the slots, above which the batch gets slower
BUSY_S = 0.5  # of a further round of the slots
FULL_S = 2.0  # of each round beyond the slots, which has to wait


class Candidate:
    """A backend server as the routing sees it.

    Parameters
    ----------
    entry : ServerEntry
    occupancy : float
        Requests there in rounds of its slots.
    is_near : bool
        Whether it is in this node's failure domain.
    ready_in_s : float or None
        Time until it holds the adapter, None if it does not.
    has_holder : bool
        Whether a live node can order it to load.
    spare : int
        Places for another adapter, less the demands that wait for one.
    place : int
        Its place among the homes of the adapter, 0 is the first.
    """

    __slots__ = ("entry", "has_holder", "is_near", "occupancy", "place", "ready_in_s", "spare")

    def __init__(self, entry, occupancy, is_near, ready_in_s, has_holder, spare, place=0):
        self.place = place
        self.spare = spare
        self.entry = entry
        self.occupancy = occupancy
        self.is_near = is_near
        self.ready_in_s = ready_in_s
        self.has_holder = has_holder


class FleetRouting(ABC):
    """Chooses among backend servers."""

    __slots__ = ()

    @abstractmethod
    def choose(self, candidates):
        """Return the best of a list of `Candidate`, or None if it is empty."""


class PlacedRouting(FleetRouting):
    """Keeps each adapter at its first home, and leaves that when it saves waiting."""

    __slots__ = ()

    def choose(self, candidates):
        """Return the cheapest `Candidate`; see `FleetRouting.choose`."""
        return min(
            candidates, key=lambda c: (self._cost(c), c.occupancy, c.entry.name), default=None
        )

    def _cost(self, candidate):
        occupancy = candidate.occupancy
        cost = BUSY_S * max(0.0, occupancy - BUSY_SHARE) + FULL_S * max(0.0, occupancy - 1.0)
        if candidate.ready_in_s is not None:
            cost += candidate.ready_in_s
            return cost if candidate.is_near else cost + OTHER_DOMAIN_S
        cost += LOAD_S + PLACE_S * candidate.place + QUEUE_S * max(0, 1 - candidate.spare)
        return cost if candidate.has_holder else cost + NO_HOLDER_S


class LeastLoadedRouting(FleetRouting):
    """Naive version: the backend server with the fewest requests, whatever it holds."""

    __slots__ = ()

    def choose(self, candidates):
        """Return the least loaded `Candidate`; see `FleetRouting.choose`."""
        return min(candidates, key=lambda c: (c.occupancy, c.entry.name), default=None)
