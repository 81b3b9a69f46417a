"""Queues by rank: who is admitted, who runs next."""

from abc import ABC, abstractmethod
from collections import deque

from sortedcontainers import SortedKeyList

from medlarbeam.classes.requests import Rank

__all__ = ["FifoQueue", "RankQueue", "WaitingQueue"]

# Share of the starts that a rank keeps while higher ranks have work waiting.
FLOORS = {Rank.URGENT: 0.0, Rank.ORDINARY: 0.15, Rank.YIELDING: 0.05}
CREDIT_LIMIT = 2.0  # starts that a rank can save while nothing of it is ready
LAST_TURNS = 1000  # callers that are remembered before those without a claim are forgotten
# Share of the places that a rank keeps while the queue is full of other ranks.
RESERVED_PLACES = {Rank.URGENT: 0.25, Rank.ORDINARY: 0.25, Rank.YIELDING: 0.125}


class WaitingQueue(ABC):
    """Attempts that wait for a backend server; an attempt has `request.rank`."""

    __slots__ = ("limit",)

    def __init__(self, limit):
        self.limit = limit

    @abstractmethod
    def push(self, attempt):
        """Add an attempt.

        Returns
        -------
        object or None
            The attempt that finds no place: `attempt` itself or another that gave way; None if
            there was room.
        """

    @abstractmethod
    def pop(self, is_ready):
        """Remove and return the next attempt for which ``is_ready(attempt)`` is true, or None."""

    @abstractmethod
    def remove(self, attempt):
        """Remove an attempt."""

    @abstractmethod
    def __iter__(self):
        """Iterate over the attempts in the order of their rank and arrival."""

    @abstractmethod
    def __len__(self):
        """Return the number of attempts."""


class _Place:
    """An attempt in a `_FairLine`."""

    __slots__ = ("attempt", "order")

    def __init__(self, attempt, order):
        self.attempt = attempt
        self.order = order


class _FairLine:
    """Attempts of one rank: callers in turn, each caller's in the order of arrival.

    Notes
    -----
    Start-time fair queueing: an attempt's turn is one after the last of its caller, but not before
    the turn that is being served.
    """

    __slots__ = ("last_turns", "now_serving", "places", "serial", "sorted")

    def __init__(self):
        self.sorted = SortedKeyList(key=lambda place: place.order)
        self.places = {}
        self.last_turns = {}
        self.now_serving = 0
        self.serial = 0

    def next_turn(self, attempt):
        """Return the turn that `attempt` would get."""
        last = self.last_turns.get(attempt.request.caller, -1)
        return max(self.now_serving, last + 1)

    def push(self, attempt):
        """Add an attempt."""
        turn = self.next_turn(attempt)
        self.serial += 1
        self.last_turns[attempt.request.caller] = turn
        place = self.places[attempt] = _Place(attempt, turn * 2**64 + self.serial)
        self.sorted.add(place)

    def last(self):
        """Return the attempt whose turn comes last."""
        return self.sorted[-1].attempt

    def last_turn(self):
        """Return the last turn, -1 if nothing waits."""
        return self.sorted[-1].order // 2**64 if self.sorted else -1

    def serve(self, attempt):
        """Remove the attempt that starts."""
        self.now_serving = max(self.now_serving, self.places[attempt].order // 2**64)
        self.remove(attempt)
        if len(self.last_turns) > LAST_TURNS:
            turns = self.last_turns.items()
            self.last_turns = {c: t for c, t in turns if t >= self.now_serving}

    def remove(self, attempt):
        """Remove an attempt; its caller's later ones keep their turns."""
        place = self.places.pop(attempt)
        self.sorted.remove(place)
        caller = attempt.request.caller
        if self.last_turns.get(caller) == place.order // 2**64 > self.now_serving:
            self.last_turns[caller] -= 1

    def __iter__(self):
        return (place.attempt for place in self.sorted)

    def __len__(self):
        return len(self.sorted)


class RankQueue(WaitingQueue):
    """Highest rank first, with a floor for each rank; within a rank the callers in turn.

    Parameters
    ----------
    limit : int
        Places in the queue.
    """

    __slots__ = ("by_rank", "credit")

    def __init__(self, limit):
        super().__init__(limit)
        self.by_rank = {rank: _FairLine() for rank in Rank}
        self.credit = dict.fromkeys(Rank, 0.0)

    def push(self, attempt):
        """Add an attempt; see `WaitingQueue.push`."""
        line = self.by_rank[attempt.request.rank]
        if len(self) < self.limit:
            line.push(attempt)
            return None
        victim_rank = self._find_victim_rank(attempt.request.rank)
        if victim_rank is not None:
            line_of_victim = self.by_rank[victim_rank]
        elif line.next_turn(attempt) < line.last_turn():
            line_of_victim = line
        else:
            return attempt
        victim = line_of_victim.last()
        line_of_victim.remove(victim)
        line.push(attempt)
        return victim

    def _find_victim_rank(self, rank):
        """Return the lowest rank that holds more than its reserved places, for one below it."""
        below_reserve = len(self.by_rank[rank]) < self._reserve(rank)
        for other in sorted(Rank, reverse=True):
            over_reserve = len(self.by_rank[other]) > self._reserve(other)
            if other != rank and over_reserve and (other > rank or below_reserve):
                return other
        return None

    def _reserve(self, rank):
        return int(self.limit * RESERVED_PLACES[rank])

    def pop(self, is_ready):
        """Remove the next attempt; see `WaitingQueue.pop`."""
        found = {}
        for rank in Rank:
            attempt = next((a for a in self.by_rank[rank] if is_ready(a)), None)
            if attempt is not None:
                found[rank] = attempt
        if not found:
            return None
        chosen = self._choose_rank(found)
        self.by_rank[chosen].serve(found[chosen])
        return found[chosen]

    def _choose_rank(self, found):
        """Return the highest rank, or a lower one that has earned a start; count the start."""
        first = min(found)
        # A rank whose adapters are not loaded yet earns as well, or it would stay below its floor.
        for rank in Rank:
            if rank != first and self.by_rank[rank]:
                self.credit[rank] = min(self.credit[rank] + FLOORS[rank], CREDIT_LIMIT)
        # Sums of small steps may stop just below a whole start.
        earned = [r for r in found if r != first and self.credit[r] >= 1.0 - 1e-9]
        chosen = min(earned, default=first)
        if chosen != first:
            self.credit[chosen] -= 1.0
        return chosen

    def remove(self, attempt):
        """Remove an attempt."""
        self.by_rank[attempt.request.rank].remove(attempt)

    def __iter__(self):
        for rank in Rank:
            yield from self.by_rank[rank]

    def __len__(self):
        return sum(len(waiting) for waiting in self.by_rank.values())


class FifoQueue(WaitingQueue):
    """First come, first served, whatever the rank: the naive version."""

    __slots__ = ("waiting",)

    def __init__(self, limit):
        super().__init__(limit)
        self.waiting = deque()

    def push(self, attempt):
        """Add an attempt; see `WaitingQueue.push`."""
        if len(self.waiting) >= self.limit:
            return attempt
        self.waiting.append(attempt)
        return None

    def pop(self, is_ready):
        """Remove the next attempt; see `WaitingQueue.pop`."""
        attempt = next((a for a in self.waiting if is_ready(a)), None)
        if attempt is not None:
            self.waiting.remove(attempt)
        return attempt

    def remove(self, attempt):
        """Remove an attempt."""
        self.waiting.remove(attempt)

    def __iter__(self):
        return iter(self.waiting)

    def __len__(self):
        return len(self.waiting)
