"""How long adapters take to load, learnt from requests that came too early."""

__all__ = ["LoadTimes"]

# The users' brief: about a quarter of a second from the weight store; the engine answers an order
# at once, so that the margin only covers the way there.
COLD_LOAD_S = 0.255
WARM_LOAD_S = 0.03  # the users' protocol: a tenth for adapters that the engine held lately
MAX_COLD_LOAD_S = 1.0  # four times as many loads in flight as the weight store takes at full speed
STEP_S = 0.02  # beyond the time at which the adapter was still missing
# A load takes longer while many are in flight; after that the estimate has to come down again. One
# load in about 70 is then tried too early.
DECAY_S = 0.0003
MAX_WARM_ADAPTERS = 100  # that one engine is taken to have held lately, before anything is learnt
MIN_WARM_ADAPTERS = 10


class LoadTimes:
    """Estimates of one node for the engines that it orders.

    Attributes
    ----------
    cold_s : float
        Time (s) of a load from the weight store.
    warm_count : int
        Adapters unloaded last that an engine is taken to load fast.
    """

    __slots__ = ("cold_s", "warm_count")

    def __init__(self):
        self.cold_s = COLD_LOAD_S
        self.warm_count = MAX_WARM_ADAPTERS

    def begin_load(self, is_warm):
        """Return the time (s) that a load takes that is ordered now."""
        if is_warm:
            return WARM_LOAD_S
        self.cold_s = max(COLD_LOAD_S, self.cold_s - DECAY_S)
        return self.cold_s

    def note_early(self, elapsed_s, is_warm):
        """Note that an adapter was still missing `elapsed_s` after the answer to its order."""
        if is_warm:
            self.warm_count = max(MIN_WARM_ADAPTERS, self.warm_count - 1)
        elif elapsed_s + STEP_S > self.cold_s:
            step = min(STEP_S, elapsed_s + STEP_S - self.cold_s)
            self.cold_s = min(MAX_COLD_LOAD_S, self.cold_s + step)
