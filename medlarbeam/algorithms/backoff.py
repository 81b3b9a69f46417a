"""Exponential backoff with jitter."""

__all__ = ["compute_backoff"]


def compute_backoff(tries, rng, base_s=0.1, cap_s=30.0):
    """Return the delay before the next attempt.

    Parameters
    ----------
    tries : int
        Number of failed attempts so far, from 1.
    rng : random.Random
    base_s, cap_s : float
        Maximum delay (s) after the first attempt, and after any attempt.

    Returns
    -------
    float
        Delay (s) between half of the full exponential delay and all of it. The lower half is
        excluded to bound the number of attempts before the deadline of a request.
    """
    # The limit of 60 prevents a float overflow; 2**60 s exceeds any cap.
    full_delay_s = min(cap_s, base_s * 2.0 ** min(max(tries, 1) - 1, 60))
    return full_delay_s * rng.uniform(0.5, 1.0)
