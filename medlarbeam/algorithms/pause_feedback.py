"""A factor that follows the pauses of streams."""

from math import exp

__all__ = ["PauseFeedback"]

# Share of the streams that may have a longer pause than their route allows.
TARGET_LATE_SHARE = 0.1
# Pauses are measured at the gateway; the network adds to what the caller sees.
USED_PAUSE_SHARE = 0.95
STEP = 0.1  # relative change after a stream


class PauseFeedback:
    """A factor that shrinks while too many streams have too long a pause, and grows otherwise.

    Parameters
    ----------
    lowest, highest : float
        Bounds of the factor, which starts at the highest.
    """

    __slots__ = ("factor", "highest", "lowest")

    def __init__(self, lowest, highest):
        self.factor = highest
        self.lowest = lowest
        self.highest = highest

    def record_stream(self, longest_pause_s, allowed_pause_s):
        """Adjust the factor to the longest pause of a stream that has ended."""
        is_late = longest_pause_s > USED_PAUSE_SHARE * allowed_pause_s
        change = TARGET_LATE_SHARE - 1.0 if is_late else TARGET_LATE_SHARE
        self.factor = min(self.highest, max(self.lowest, self.factor * exp(STEP * change)))
