"""Weight store with the limits of the deployment, in simulated time."""

__all__ = ["RATE_PER_S", "TimedWeightStore"]

LOAD_S = 0.25
FULL_SPEED_LOADS = 24  # loads in flight beyond which each takes proportionally longer
RATE_PER_S = 7.0
BURST = 3.0


class TimedWeightStore:
    """Says how long each load takes.

    Notes
    -----
    A load that asks for more than the sustained rate waits until the store serves it; it counts as
    in flight and as over the rate.

    Attributes
    ----------
    over_rate : int
        Loads that were asked for beyond the sustained rate and burst.
    """

    __slots__ = ("in_flight", "over_rate", "served_until")

    def __init__(self):
        self.in_flight = 0
        self.over_rate = 0
        self.served_until = 0.0  # time at which the bucket is full again

    def begin(self, now):
        """Start a load at `now` (s); return its duration (s)."""
        self.in_flight += 1
        self.served_until = max(self.served_until, now) + 1.0 / RATE_PER_S
        wait_s = max(0.0, self.served_until - BURST / RATE_PER_S - now)
        self.over_rate += wait_s > 1e-9
        return wait_s + LOAD_S * max(1.0, self.in_flight / FULL_SPEED_LOADS)

    def end(self):
        """Note the end of a load."""
        self.in_flight -= 1
