"""Routing of a request to one of the backend servers that the gateway reaches directly."""

from abc import ABC, abstractmethod

__all__ = ["AdapterAffinityRouting", "Candidate", "DirectRoutingPolicy", "LeastLoadedRouting"]

# Penalties, in seconds of additional waiting that would cost a caller as much.
# Traffic between failure domains is expensive, but less so than another adapter load.
CROSS_DOMAIN_PENALTY_S = 0.03
LOAD_PENALTY_S = 0.25  # load of an adapter that is not resident
# For each position after the first in rendezvous hash order. An engine reloads a recently evicted
# adapter in a tenth of the time and without the weight store, so an adapter is loaded on another
# engine only if the queue at its preferred one is long.
HASH_POSITION_PENALTY_S = 0.6
QUEUED_DEMAND_PENALTY_S = 0.04  # for each request that waits for an adapter slot there
NO_RIGHT_HOLDER_PENALTY_S = 1.0  # no responsive node may order the load at present
BUSY_OCCUPANCY = 0.6  # occupancy above which a larger batch slows down each request
BUSY_PENALTY_S = 0.5  # per unit of occupancy above BUSY_OCCUPANCY
OVERLOAD_PENALTY_S = 2.0  # per unit of occupancy above 1, where requests have to queue


class Candidate:
    """A backend server with the figures that the routing decision depends on.

    Parameters
    ----------
    entry : ServerRegistration
    occupancy : float
        Requests at the server divided by the number that it runs concurrently.
    is_same_domain : bool
        Whether the server is in the failure domain of this node.
    ready_in_s : float or None
        Time until the adapter is resident; None if it is neither resident nor being loaded.
    has_right_holder : bool
        Whether a responsive node holds the order right of the server; counts for a load only.
    free_slots : int
        Free adapter slots, less the requests that wait for one; counts for a load only.
    hash_position : int
        Position in the rendezvous hash order of the adapter, from 0.
    prompt_wait_s : float
        Time until the server can read the prompt without pausing its streams; counts only where
        no load is needed.
    pause_wait_s : float
        Time until the request may be sent to a server that has asked for a pause.
    """

    __slots__ = (
        "entry",
        "free_slots",
        "has_right_holder",
        "hash_position",
        "is_same_domain",
        "occupancy",
        "pause_wait_s",
        "prompt_wait_s",
        "ready_in_s",
    )

    def __init__(
        self,
        entry,
        occupancy,
        is_same_domain,
        ready_in_s,
        has_right_holder,
        free_slots,
        hash_position=0,
        prompt_wait_s=0.0,
        pause_wait_s=0.0,
    ):
        self.pause_wait_s = pause_wait_s
        self.prompt_wait_s = prompt_wait_s
        self.hash_position = hash_position
        self.free_slots = free_slots
        self.entry = entry
        self.occupancy = occupancy
        self.is_same_domain = is_same_domain
        self.ready_in_s = ready_in_s
        self.has_right_holder = has_right_holder


class DirectRoutingPolicy(ABC):
    """Base class of routing policies."""

    __slots__ = ()

    @abstractmethod
    def choose(self, candidates):
        """Return the best of a list of `Candidate`, or None if the list is empty."""

    def may_be_better(self, best, hash_position):
        """Return whether a server may be better than `best` that has to load the adapter.

        Parameters
        ----------
        best : Candidate
        hash_position : int
            Least position of the server in the hash order. False for a position has to mean False
            for all later ones.
        """
        return True


class AdapterAffinityRouting(DirectRoutingPolicy):
    """Prefers the first server in hash order, and diverts where that reduces the waiting time."""

    __slots__ = ()

    def choose(self, candidates):
        """Return the `Candidate` with the lowest cost; see `DirectRoutingPolicy.choose`."""
        return min(
            candidates, key=lambda c: (self._cost(c), c.occupancy, c.entry.name), default=None
        )

    def may_be_better(self, best, hash_position):
        """Compare `best` with an idle server; see `DirectRoutingPolicy.may_be_better`."""
        return LOAD_PENALTY_S + HASH_POSITION_PENALTY_S * hash_position <= self._cost(best)

    def _cost(self, candidate):
        occupancy = candidate.occupancy
        cost = 0.0
        if occupancy > BUSY_OCCUPANCY:
            cost = BUSY_PENALTY_S * (occupancy - BUSY_OCCUPANCY)
            if occupancy > 1.0:
                cost += OVERLOAD_PENALTY_S * (occupancy - 1.0)
        if candidate.ready_in_s is not None:
            cost += max(candidate.ready_in_s, candidate.prompt_wait_s, candidate.pause_wait_s)
            return cost if candidate.is_same_domain else cost + CROSS_DOMAIN_PENALTY_S
        cost += (
            candidate.pause_wait_s
            + LOAD_PENALTY_S
            + HASH_POSITION_PENALTY_S * candidate.hash_position
            + QUEUED_DEMAND_PENALTY_S * max(0, 1 - candidate.free_slots)
        )
        return cost if candidate.has_right_holder else cost + NO_RIGHT_HOLDER_PENALTY_S


class LeastLoadedRouting(DirectRoutingPolicy):
    """Naive policy: chooses the least occupied server and ignores resident adapters."""

    __slots__ = ()

    def choose(self, candidates):
        """Return the least occupied `Candidate`; see `DirectRoutingPolicy.choose`."""
        return min(candidates, key=lambda c: (c.occupancy, c.entry.name), default=None)
