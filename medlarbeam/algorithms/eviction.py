"""Eviction policies for the adapter slots of an engine."""

from abc import ABC, abstractmethod

from medlarbeam.classes.record import Record

__all__ = ["AdapterUse", "DecayedUseEviction", "EvictionPolicy", "NaiveEviction"]

HALF_LIFE_S = 60.0  # short, so that a burst an hour ago does not keep an adapter in its slot


class AdapterUse(Record):
    """Usage statistics of an adapter on a backend server.

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

    def count(self, now):
        """Count a use at `now` (s)."""
        self.score = self.score_at(now) + 1.0
        self.scored_at = now


class EvictionPolicy(ABC):
    """Base class of policies that decide the order in which idle adapters are evicted."""

    __slots__ = ()

    @abstractmethod
    def order(self, uses, now):
        """Return a list of `uses` (`AdapterUse`) in the order of eviction at `now` (s)."""


class DecayedUseEviction(EvictionPolicy):
    """Evicts the adapter with the lowest use count, decayed exponentially by age."""

    __slots__ = ()

    def order(self, uses, now):
        """Return `uses` by ascending decayed score; see `EvictionPolicy.order`."""
        return sorted(uses, key=lambda use: (use.score_at(now), use.model))


class NaiveEviction(EvictionPolicy):
    """Naive policy: evicts by model name and ignores usage."""

    __slots__ = ()

    def order(self, uses, now):
        """Return `uses` by model name; see `EvictionPolicy.order`."""
        return sorted(uses, key=lambda use: use.model)
