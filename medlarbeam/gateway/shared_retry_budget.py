"""Share of this node in the retry budget that all nodes have for a service."""

from medlarbeam.algorithms.retry_budget import TokenRetryBudget

__all__ = ["SharedRetryBudget"]

USED_SHARE = 0.75  # of the budget; the rest covers nodes that do not know of each other yet


class SharedRetryBudget:
    """Token bucket per service whose reserve is divided among the registered nodes.

    Parameters
    ----------
    settings : GatewaySettings

    Notes
    -----
    A window can consume a full bucket, its refill over time and a share of the first attempts.
    Bucket and refill are each half of the fixed part of the budget.
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

    def record_first_attempt(self, service, nodes, now):
        """Record the first attempt of a request, with `nodes` registered."""
        self._set_share(nodes)
        self.bucket.record_first_attempt(service, now)

    def try_acquire(self, service, nodes, now):
        """Return whether a retry is allowed, and count it if so."""
        self._set_share(nodes)
        return self.bucket.try_acquire(service, now)

    def can_acquire(self, service, nodes, now):
        """Return whether a retry would be allowed."""
        self._set_share(nodes)
        return self.bucket.can_acquire(service, now)
