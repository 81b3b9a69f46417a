"""Retry budgets, which keep retries from amplifying an overload."""

from abc import ABC, abstractmethod

__all__ = ["RetryBudget", "TokenRetryBudget", "UnlimitedRetryBudget"]


class RetryBudget(ABC):
    """Base class of policies that limit retries."""

    __slots__ = ()

    @abstractmethod
    def record_first_attempt(self, domain, now):
        """Record the first attempt of a request in the failure domain `domain` at `now` (s)."""

    @abstractmethod
    def try_acquire(self, domain, now):
        """Return whether a retry in `domain` is allowed at `now` (s), and count it if so."""


class UnlimitedRetryBudget(RetryBudget):
    """Naive policy: allows every retry."""

    __slots__ = ()

    def record_first_attempt(self, domain, now):
        """Do nothing."""

    def try_acquire(self, domain, now):
        """Return True."""
        return True


class _TokenBucket:
    __slots__ = ("refilled_at", "tokens")

    def __init__(self, tokens, now):
        self.tokens = tokens
        self.refilled_at = now


class TokenRetryBudget(RetryBudget):
    """Token bucket for each failure domain, filled by first attempts.

    Parameters
    ----------
    ratio : float
        Tokens that a first attempt adds; a retry costs one token.
    reserve : float
        Tokens of a domain without traffic, so that a node with few requests can retry.
    reserve_per_s : float
        Rate (tokens/s) at which the bucket fills up to `reserve` without traffic.
    limit : float
        Capacity of the bucket, which bounds a burst of retries after a long time without any.
    """

    __slots__ = ("buckets", "limit", "ratio", "reserve", "reserve_per_s")

    def __init__(self, ratio=0.1, reserve=3.0, reserve_per_s=0.1, limit=50.0):
        self.ratio = ratio
        self.reserve = reserve
        self.reserve_per_s = reserve_per_s
        self.limit = limit
        self.buckets = {}

    def record_first_attempt(self, domain, now):
        """Add `ratio` tokens to the bucket of `domain`."""
        bucket = self._refill(domain, now)
        bucket.tokens = min(self.limit, bucket.tokens + self.ratio)

    def try_acquire(self, domain, now):
        """Take a token from the bucket of `domain`; return whether one was available."""
        bucket = self._refill(domain, now)
        # Ten additions of 0.1 give slightly less than 1 in floating point.
        if bucket.tokens < 1.0 - 1e-9:
            return False
        bucket.tokens -= 1.0
        return True

    def can_acquire(self, domain, now):
        """Return whether `try_acquire` would succeed."""
        return self._refill(domain, now).tokens >= 1.0 - 1e-9

    def _refill(self, domain, now):
        bucket = self.buckets.get(domain)
        if bucket is None:
            bucket = self.buckets[domain] = _TokenBucket(self.reserve, now)
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = max(now, bucket.refilled_at)
        if bucket.tokens < self.reserve:
            bucket.tokens = min(self.reserve, bucket.tokens + elapsed * self.reserve_per_s)
        return bucket
