"""Share of this node in the repeats that a service may get from all nodes together."""

from medlarbeam.algorithms.retry_budget import TokenRetryBudget

__all__ = ["SharedRetryBudget"]

USED_SHARE = 0.75  # of the budget; the rest is for nodes that do not know of each other yet


class SharedRetryBudget:
    """Token bucket by service, whose reserve is divided over the registered nodes.

    Parameters
    ----------
    settings : GatewaySettings

    Notes
    -----
    In a window a full bucket, what time refills and a share of the first sends can be spent. Bucket
    and refill are each half of the fixed part of the budget.
    """

    __slots__ = ("bucket", "settings")

    def __init__(self, settings):
        self.settings = settings
        self.bucket = TokenRetryBudget(ratio=USED_SHARE * settings.retry_ratio)

    def _set_share(self, nodes):
        share = USED_SHARE * self.settings.retry_extra / max(1, nodes)
        self.bucket.reserve = max(1.0, 0.5 * share)
        self.bucket.limit = self.bucket.reserve
        self.bucket.reserve_per_s = 0.5 * share / self.settings.retry_window_s

    def note_first(self, service, nodes, now):
        """Count the first send of a request, with `nodes` registered."""
        self._set_share(nodes)
        self.bucket.note_first(service, now)

    def take(self, service, nodes, now):
        """Return whether another send is allowed, and count it if so."""
        self._set_share(nodes)
        return self.bucket.take(service, now)

    def has(self, service, nodes, now):
        """Return whether another send would be allowed."""
        self._set_share(nodes)
        return self.bucket.has(service, now)
