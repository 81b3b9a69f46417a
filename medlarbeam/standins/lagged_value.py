"""Values that readers see with a delay."""

from collections import deque

__all__ = ["LaggedValue"]


class _TimestampedValue:
    """A value and the time (s) from which it is valid."""

    __slots__ = ("valid_from", "value")

    def __init__(self, valid_from, value):
        self.valid_from = valid_from
        self.value = value


class LaggedValue:
    """A value that readers see as it was `lag_s` seconds ago.

    Parameters
    ----------
    initial : object
        Value returned until the first recorded one is `lag_s` old.
    lag_s : float
        Delay (s).
    """

    __slots__ = ("entries", "lag_s")

    def __init__(self, initial, lag_s):
        self.entries = deque([_TimestampedValue(float("-inf"), initial)])
        self.lag_s = lag_s

    def record(self, value, now):
        """Set the value from time `now` on."""
        self.entries.append(_TimestampedValue(now, value))
        self._discard_outdated(now)

    def read(self, now):
        """Return the value that was valid at ``now - lag_s``."""
        self._discard_outdated(now)
        return self.entries[0].value

    def _discard_outdated(self, now):
        while len(self.entries) > 1 and self.entries[1].valid_from <= now - self.lag_s:
            self.entries.popleft()
