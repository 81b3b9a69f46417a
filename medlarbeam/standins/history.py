"""Values that are reported with a lag."""

from collections import deque

__all__ = ["LaggedValue"]


class _Stamped:
    """A value and the time (s) from which it holds."""

    __slots__ = ("since", "value")

    def __init__(self, since, value):
        self.since = since
        self.value = value


class LaggedValue:
    """A value whose readers see the state of `lag_s` seconds ago.

    Parameters
    ----------
    first : object
        What readers see until the first recorded value is old enough.
    lag_s : float
    """

    __slots__ = ("entries", "lag_s")

    def __init__(self, first, lag_s):
        self.entries = deque([_Stamped(float("-inf"), first)])
        self.lag_s = lag_s

    def record(self, value, now):
        """Note that the value is `value` from `now` on."""
        self.entries.append(_Stamped(now, value))
        self._forget(now)

    def read(self, now):
        """Return the value that held at ``now - lag_s``."""
        self._forget(now)
        return self.entries[0].value

    def _forget(self, now):
        while len(self.entries) > 1 and self.entries[1].since <= now - self.lag_s:
            self.entries.popleft()
