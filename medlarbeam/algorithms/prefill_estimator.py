"""Estimate of the time in which engines read a prompt, from the first events of their streams."""

__all__ = ["PrefillEstimator"]

# Assumed until streams have been seen, with the weight of `INITIAL_STREAMS`.
INITIAL_S_PER_TOKEN = 1.0 / 20_000
INITIAL_STREAMS = 10.0
INITIAL_SPREAD_TOKENS = 1_000.0  # standard deviation of the assumed prompts
DECAY = 0.995  # of the weight of earlier streams, for each new one
# A run that takes longer than this multiple of the estimate has waited for something else.
MAX_DEVIATION = 5.0
MIN_S_PER_TOKEN = 1e-7
MAX_S_PER_TOKEN = 1e-3


class PrefillEstimator:
    """Linear regression of the time to the first event on the tokens of the prompt.

    Waiting time in an engine does not depend on the prompt of the request itself, so it adds to the
    intercept only, and the slope is the time for each token. Tokens that an engine had kept reduce
    it, in proportion to their share in the prompts.

    Attributes
    ----------
    weight, mean_tokens, mean_s : float
        Weight and weighted means of the streams.
    variance, covariance : float
        Weighted sums of squares (tokens squared) and of products (tokens x s).
    """

    __slots__ = ("covariance", "mean_s", "mean_tokens", "variance", "weight")

    def __init__(self):
        self.weight = 0.0
        self.mean_tokens = 0.0
        self.mean_s = 0.0
        self.variance = INITIAL_STREAMS * INITIAL_SPREAD_TOKENS**2
        self.covariance = self.variance * INITIAL_S_PER_TOKEN

    def estimate_s_per_token(self):
        """Return the estimated time (s) in which an engine reads one prompt token."""
        slope = self.covariance / self.variance
        return min(MAX_S_PER_TOKEN, max(MIN_S_PER_TOKEN, slope))

    def record_first_event(self, tokens, first_event_s):
        """Record the time from the send of a prompt to its first event."""
        expected_s = self.mean_s + self.estimate_s_per_token() * (tokens - self.mean_tokens)
        if self.weight > INITIAL_STREAMS and first_event_s > MAX_DEVIATION * max(0.0, expected_s):
            return
        self.weight = self.weight * DECAY + 1.0
        share = 1.0 / self.weight
        tokens_change = tokens - self.mean_tokens
        s_change = first_event_s - self.mean_s
        self.mean_tokens += share * tokens_change
        self.mean_s += share * s_change
        kept = 1.0 - share
        self.variance = DECAY * self.variance + kept * tokens_change**2
        self.covariance = DECAY * self.covariance + kept * tokens_change * s_change
