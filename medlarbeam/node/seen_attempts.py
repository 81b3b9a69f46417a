"""Deduplication of attempts, so that each runs at most once."""

from itertools import islice

__all__ = ["SeenAttempts", "make_attempt_key"]

RETENTION_S = 60.0  # after the deadline; no message is in transit that long
EXPIRY_BATCH = 200  # keys examined by one call of `expire`, which bounds its duration


def make_attempt_key(sender, request_id, number):
    """Return the key of an attempt of the entry node `sender`."""
    return f"{sender}/{request_id}/{number}"


class SeenAttempts:
    """Keys of attempts that were accepted or cancelled, kept for 60 s after their deadline.

    Notes
    -----
    A non-idempotent attempt must not run twice because a message was duplicated, nor run at all
    if its cancellation arrived first.
    """

    __slots__ = ("expires_at",)

    def __init__(self):
        self.expires_at = {}

    def __contains__(self, key):
        return key in self.expires_at

    def add(self, key, deadline):
        """Add an attempt with a deadline (s)."""
        self.expires_at.setdefault(key, deadline + RETENTION_S)

    def expire(self, now):
        """Remove up to `EXPIRY_BATCH` of the oldest keys that have expired."""
        for key, expires_at in list(islice(self.expires_at.items(), EXPIRY_BATCH)):
            if expires_at <= now:
                del self.expires_at[key]
