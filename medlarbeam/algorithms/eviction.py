"""Eviction policies for the adapter slots of an engine."""

from abc import ABC, abstractmethod

from medlarbeam.classes.record import Record

__all__ = ["AdapterUsage", "DecayedUseEviction", "EvictionPolicy", "NaiveEviction"]

HALF_LIFE_S = 60.0  # short, so that a burst an hour ago does not keep an adapter in its slot


class AdapterUsage(Record):
    """Usage of an adapter on a backend server.

    Parameters
    ----------
    model : str
    score : float
        Number of uses, halved every `HALF_LIFE_S`, as of `scored_at`.
    scored_at : float
        Monotonic time (s).
    """

    __slots__ = ("model", "score", "scored_at")

    def __init__(self, model, score=0.0, scored_at=0.0):
        self.model = model
        self.score = score
        self.scored_at = scored_at

    def score_at(self, now):
        """Return the decayed score at `now` (s)."""
        return self.score * 0.5 ** ((now - self.scored_at) / HALF_LIFE_S)

    def add_use(self, now):
        """Count a use at `now` (s)."""
        self.score = self.score_at(now) + 1.0
        self.scored_at = now


class EvictionPolicy(ABC):
    """Base class of policies that decide the order in which idle adapters are evicted."""

    __slots__ = ()

    @abstractmethod
    def sort_for_eviction(self, usages, now):
        """Return a list of `usages` (`AdapterUsage`) in the order of eviction at `now` (s)."""


class DecayedUseEviction(EvictionPolicy):
    """Evicts the adapter with the lowest use count, decayed exponentially by age."""

    __slots__ = ()

    def sort_for_eviction(self, usages, now):
        """Return `usages` by ascending decayed score; see `EvictionPolicy.sort_for_eviction`."""
        return sorted(usages, key=lambda usage: (usage.score_at(now), usage.model))


class NaiveEviction(EvictionPolicy):
    """Naive policy: evicts by model name and ignores usage."""

    __slots__ = ()

    def sort_for_eviction(self, usages, now):
        """Return `usages` by model name; see `EvictionPolicy.sort_for_eviction`."""
        return sorted(usages, key=lambda usage: usage.model)
