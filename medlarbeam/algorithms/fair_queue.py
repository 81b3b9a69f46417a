"""Waiting queues: admission, load shedding and scheduling by rank and caller."""

from abc import ABC, abstractmethod
from collections import deque

from sortedcontainers import SortedKeyList

from medlarbeam.classes.requests import Rank

__all__ = ["FifoQueue", "PriorityFairQueue", "WaitingQueue"]

# Minimum share of starts for each rank while attempts of higher ranks wait.
MIN_START_SHARES = {Rank.URGENT: 0.0, Rank.ORDINARY: 0.15, Rank.YIELDING: 0.05}
MAX_CREDIT = 2.0  # starts that a rank can accumulate while none of its attempts is ready
MAX_TRACKED_CALLERS = 1000  # start tags kept before those in the past are discarded
# Share of the queue capacity that other ranks cannot take from a rank.
RESERVED_SHARES = {Rank.URGENT: 0.25, Rank.ORDINARY: 0.25, Rank.YIELDING: 0.125}


class WaitingQueue(ABC):
    """Base class of queues of attempts that wait for a backend server.

    Parameters
    ----------
    limit : int
        Maximum number of attempts. An attempt has the attributes `request.rank` and
        `request.caller`.
    """

    __slots__ = ("limit",)

    def __init__(self, limit):
        self.limit = limit

    @abstractmethod
    def push(self, attempt):
        """Add an attempt.

        Returns
        -------
        object or None
            The attempt that was shed because the queue is full, either `attempt` itself or one
            that was displaced by it; None if the queue was not full.
        """

    @abstractmethod
    def pop(self, is_ready):
        """Remove and return the next attempt for which ``is_ready(attempt)`` is true, or None."""

    @abstractmethod
    def remove(self, attempt):
        """Remove an attempt."""

    @abstractmethod
    def __iter__(self):
        """Iterate over the attempts in scheduling order."""

    @abstractmethod
    def __len__(self):
        """Return the number of waiting attempts."""


class _QueueEntry:
    """An attempt in a `_FairQueue`, with its position."""

    __slots__ = ("attempt", "sort_key")

    def __init__(self, attempt, sort_key):
        self.attempt = attempt
        self.sort_key = sort_key


class _FairQueue:
    """Attempts of one rank, scheduled fairly among callers and in order of arrival within each.

    Notes
    -----
    Start-time fair queueing, where every attempt has unit cost. The start tag of an attempt is one
    more than the last tag of its caller, but at least the virtual time. The sort key holds the
    start tag in its upper bits and the arrival number in the lower 64.
    """

    __slots__ = ("arrivals", "entries", "last_start_tags", "ordered", "virtual_time")

    def __init__(self):
        self.ordered = SortedKeyList(key=lambda entry: entry.sort_key)
        self.entries = {}
        self.last_start_tags = {}
        self.virtual_time = 0
        self.arrivals = 0

    def next_start_tag(self, attempt):
        """Return the start tag that `attempt` would get."""
        last = self.last_start_tags.get(attempt.request.caller, -1)
        return max(self.virtual_time, last + 1)

    def push(self, attempt):
        """Add an attempt."""
        start_tag = self.next_start_tag(attempt)
        self.arrivals += 1
        self.last_start_tags[attempt.request.caller] = start_tag
        entry = self.entries[attempt] = _QueueEntry(attempt, start_tag * 2**64 + self.arrivals)
        self.ordered.add(entry)

    def find_last(self):
        """Return the attempt with the greatest sort key."""
        return self.ordered[-1].attempt

    def last_start_tag(self):
        """Return the greatest start tag, or -1 if the queue is empty."""
        return self.ordered[-1].sort_key // 2**64 if self.ordered else -1

    def start(self, attempt):
        """Remove an attempt that starts, and advance the virtual time to its start tag."""
        self.virtual_time = max(self.virtual_time, self.entries[attempt].sort_key // 2**64)
        self.remove(attempt)
        if len(self.last_start_tags) > MAX_TRACKED_CALLERS:
            start_tags = self.last_start_tags.items()
            self.last_start_tags = {c: t for c, t in start_tags if t >= self.virtual_time}

    def remove(self, attempt):
        """Remove an attempt; later attempts of its caller keep their start tags."""
        entry = self.entries.pop(attempt)
        self.ordered.remove(entry)
        caller = attempt.request.caller
        if self.last_start_tags.get(caller) == entry.sort_key // 2**64 > self.virtual_time:
            self.last_start_tags[caller] -= 1

    def __iter__(self):
        return (entry.attempt for entry in self.ordered)

    def __len__(self):
        return len(self.ordered)


class PriorityFairQueue(WaitingQueue):
    """Priority queue by rank with a minimum share for each, and fair queueing within a rank.

    Parameters
    ----------
    limit : int
        Maximum number of attempts.
    """

    __slots__ = ("credit", "queues")

    def __init__(self, limit):
        super().__init__(limit)
        self.queues = {rank: _FairQueue() for rank in Rank}
        self.credit = dict.fromkeys(Rank, 0.0)

    def push(self, attempt):
        """Add an attempt; see `WaitingQueue.push`."""
        queue = self.queues[attempt.request.rank]
        if len(self) < self.limit:
            queue.push(attempt)
            return None
        victim_rank = self._find_victim_rank(attempt.request.rank)
        if victim_rank is not None:
            victim_queue = self.queues[victim_rank]
        elif queue.next_start_tag(attempt) < queue.last_start_tag():
            victim_queue = queue
        else:
            return attempt
        victim = victim_queue.find_last()
        victim_queue.remove(victim)
        queue.push(attempt)
        return victim

    def _find_victim_rank(self, rank):
        """Return the lowest rank from which an attempt is shed in favor of `rank`, or None.

        Attempts are shed only from a rank that exceeds its reserved share, and only in favor of a
        higher rank or of one that is below its own reserved share.
        """
        is_below_reserve = len(self.queues[rank]) < self._reserve(rank)
        for other in sorted(Rank, reverse=True):
            is_over_reserve = len(self.queues[other]) > self._reserve(other)
            if other != rank and is_over_reserve and (other > rank or is_below_reserve):
                return other
        return None

    def _reserve(self, rank):
        return int(self.limit * RESERVED_SHARES[rank])

    def pop(self, is_ready):
        """Remove the next attempt; see `WaitingQueue.pop`."""
        candidates = {}
        for rank in Rank:
            attempt = next((a for a in self.queues[rank] if is_ready(a)), None)
            if attempt is not None:
                candidates[rank] = attempt
        if not candidates:
            return None
        chosen = self._choose_rank(candidates)
        self.queues[chosen].start(candidates[chosen])
        return candidates[chosen]

    def _choose_rank(self, candidates):
        """Return the highest rank, or a lower one with enough credit for a start, and charge it."""
        first = min(candidates)
        # A rank whose adapters are still being loaded earns credit too; otherwise it would stay
        # below its minimum share.
        for rank in Rank:
            if rank != first and self.queues[rank]:
                self.credit[rank] = min(self.credit[rank] + MIN_START_SHARES[rank], MAX_CREDIT)
        # Rounding errors may leave the sum of small increments just below 1.
        credited = [r for r in candidates if r != first and self.credit[r] >= 1.0 - 1e-9]
        chosen = min(credited, default=first)
        if chosen != first:
            self.credit[chosen] -= 1.0
        return chosen

    def remove(self, attempt):
        """Remove an attempt."""
        self.queues[attempt.request.rank].remove(attempt)

    def __iter__(self):
        for rank in Rank:
            yield from self.queues[rank]

    def __len__(self):
        return sum(len(queue) for queue in self.queues.values())


class FifoQueue(WaitingQueue):
    """Naive policy: first come, first served, independent of rank and caller."""

    __slots__ = ("attempts",)

    def __init__(self, limit):
        super().__init__(limit)
        self.attempts = deque()

    def push(self, attempt):
        """Add an attempt; see `WaitingQueue.push`."""
        if len(self.attempts) >= self.limit:
            return attempt
        self.attempts.append(attempt)
        return None

    def pop(self, is_ready):
        """Remove the next attempt; see `WaitingQueue.pop`."""
        attempt = next((a for a in self.attempts if is_ready(a)), None)
        if attempt is not None:
            self.attempts.remove(attempt)
        return attempt

    def remove(self, attempt):
        """Remove an attempt."""
        self.attempts.remove(attempt)

    def __iter__(self):
        return iter(self.attempts)

    def __len__(self):
        return len(self.attempts)
