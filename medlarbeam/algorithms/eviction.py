"""Choice of the adapter that gives up its slot."""

from abc import ABC, abstractmethod

from medlarbeam.classes.record import Record

__all__ = ["AdapterUse", "DecayedUseEviction", "EvictionPolicy", "NaiveEviction"]

HALF_LIFE_S = 60.0  # popularity shifts without warning; an hour-old burst must not pin a slot


class AdapterUse(Record):
    """How an adapter on a backend server was used.

    Parameters
    ----------
    model : str
    score : float
        Uses, halved every `HALF_LIFE_S`, as of `scored_at`.
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
    """Orders idle adapters by how well they can be spared."""

    __slots__ = ()

    @abstractmethod
    def order(self, uses, now):
        """Return the list of `AdapterUse` in the order in which to evict."""


class DecayedUseEviction(EvictionPolicy):
    """Evicts the adapter with the least recent use, weighted by frequency."""

    __slots__ = ()

    def order(self, uses, now):
        """Return `uses`, least used first."""
        return sorted(uses, key=lambda use: (use.score_at(now), use.model))


class NaiveEviction(EvictionPolicy):
    """Evicts by name."""

    __slots__ = ()

    def order(self, uses, now):
        """Return `uses` by model name."""
        return sorted(uses, key=lambda use: use.model)
