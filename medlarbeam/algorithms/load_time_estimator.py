"""Estimates of adapter load times, adjusted by requests that arrived before a load finished."""

__all__ = ["LoadTimeEstimator"]

# A load from the weight store takes about 0.25 s. The engine responds to a load order immediately,
# so the margin of 5 ms only has to cover the network delay.
COLD_LOAD_S = 0.255
WARM_LOAD_S = 0.03  # an engine reloads a recently unloaded adapter in about a tenth of the time
# Time of a load with four times the loads in flight that the weight store serves at full speed.
MAX_COLD_LOAD_S = 1.0
# Margin beyond the time at which the adapter was not loaded yet, and largest single increase.
INCREASE_STEP_S = 0.02
# Loads take longer while many are in flight, so the estimate has to decrease again afterwards. At
# this rate, a request is sent too early for about one load in 70.
DECAY_PER_LOAD_S = 0.0003
# Initial estimate, and lower bound, of the recently unloaded adapters that an engine reloads fast.
MAX_WARM_ADAPTERS = 100
MIN_WARM_ADAPTERS = 10


class LoadTimeEstimator:
    """Load time estimates of one node for the engines that it manages.

    Attributes
    ----------
    cold_load_s : float
        Estimated time (s) of a load from the weight store.
    warm_adapter_limit : int
        Estimated number of recently unloaded adapters that an engine reloads in `WARM_LOAD_S`.
    """

    __slots__ = ("cold_load_s", "warm_adapter_limit")

    def __init__(self):
        self.cold_load_s = COLD_LOAD_S
        self.warm_adapter_limit = MAX_WARM_ADAPTERS

    def estimate_load(self, is_warm):
        """Return the estimated time (s) of a load that is ordered now.

        Each cold load reduces the estimate by `DECAY_PER_LOAD_S`.
        """
        if is_warm:
            return WARM_LOAD_S
        self.cold_load_s = max(COLD_LOAD_S, self.cold_load_s - DECAY_PER_LOAD_S)
        return self.cold_load_s

    def record_early_refusal(self, elapsed_s, is_warm):
        """Adjust the estimates for an adapter that was not loaded `elapsed_s` after its order."""
        if is_warm:
            self.warm_adapter_limit = max(MIN_WARM_ADAPTERS, self.warm_adapter_limit - 1)
        elif elapsed_s + INCREASE_STEP_S > self.cold_load_s:
            increase_s = min(INCREASE_STEP_S, elapsed_s + INCREASE_STEP_S - self.cold_load_s)
            self.cold_load_s = min(MAX_COLD_LOAD_S, self.cold_load_s + increase_s)
