"""Memory of attempts that were taken or cancelled, so that each runs once at most."""

from itertools import islice

__all__ = ["SeenAttempts", "make_attempt_key"]

SEEN_S = 60.0  # beyond the deadline; no message is on its way that long
BATCH = 200  # old attempts looked at in one call, so that a call stays short


def make_attempt_key(sender, request_id, number):
    """Return the key of an attempt of the entry node `sender`."""
    return f"{sender}/{request_id}/{number}"


class SeenAttempts:
    """Attempts by key, remembered until a minute after their deadline.

    Notes
    -----
    A non-idempotent attempt must not run again because a message arrives twice, or run at all if
    its cancellation overtook it.
    """

    __slots__ = ("until",)

    def __init__(self):
        self.until = {}

    def __contains__(self, key):
        return key in self.until

    def remember(self, key, deadline):
        """Remember an attempt with a deadline (s)."""
        self.until.setdefault(key, deadline + SEEN_S)

    def forget_old(self, now):
        """Forget some of the attempts whose time has passed."""
        for key, until in list(islice(self.until.items(), BATCH)):
            if until <= now:
                del self.until[key]
