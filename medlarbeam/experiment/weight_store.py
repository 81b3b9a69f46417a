"""Simulated weight store with the load rate limits of the deployment."""

__all__ = ["RATE_PER_S", "TimedWeightStore"]

LOAD_S = 0.25
FULL_SPEED_CONCURRENCY = 24  # with more loads in flight, each takes proportionally longer
RATE_PER_S = 7.0
BURST_LOADS = 3.0


class TimedWeightStore:
    """Computes the duration of each load from a token bucket and the loads in flight.

    Notes
    -----
    A load that exceeds the sustained rate and burst waits until the rate allows it. While it waits
    it counts as in flight, and it is counted in `over_rate`.

    Attributes
    ----------
    over_rate : int
        Number of loads that exceeded the sustained rate and burst.
    """

    __slots__ = ("in_flight", "over_rate", "refilled_at")

    def __init__(self):
        self.in_flight = 0
        self.over_rate = 0
        self.refilled_at = 0.0  # time (s) at which the token bucket is full again

    def begin_load(self, now):
        """Start a load at `now` (s); return its duration (s)."""
        self.in_flight += 1
        self.refilled_at = max(self.refilled_at, now) + 1.0 / RATE_PER_S
        wait_s = max(0.0, self.refilled_at - BURST_LOADS / RATE_PER_S - now)
        self.over_rate += wait_s > 1e-9
        return wait_s + LOAD_S * max(1.0, self.in_flight / FULL_SPEED_CONCURRENCY)

    def finish_load(self):
        """Record the completion of a load."""
        self.in_flight -= 1
