"""Delays between repeated attempts."""

__all__ = ["compute_backoff"]


def compute_backoff(tries, rng, base_s=0.1, cap_s=30.0):
    """Return a jittered, exponentially growing delay.

    Parameters
    ----------
    tries : int
        Attempts that failed so far, from 1.
    rng : random.Random
    base_s, cap_s : float
        Greatest delay (s) after the first attempt, and after any attempt.

    Returns
    -------
    float
        Seconds, between half of the full delay and the full delay. The lower half is excluded so
        that a caller with a deadline can count on a bounded number of attempts.
    """
    # 2**60 s exceeds any cap; the limit keeps the power from growing without bound.
    full = min(cap_s, base_s * 2.0 ** min(max(tries, 1) - 1, 60))
    return full * rng.uniform(0.5, 1.0)
