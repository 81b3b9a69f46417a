"""Tests of retry budgets and backoff."""

from random import Random

import pytest

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.algorithms.retry_budget import TokenRetryBudget, UnlimitedRetryBudget

# Number of first attempts, then (time in s, retries requested, retries allowed). The naive policy
# allows all of them.
BUDGETS = [
    ("no-retries-without-traffic", 0, [(0.0, 5, 3)]),
    ("reserve-is-not-refilled", 0, [(0.0, 5, 3), (10.0, 5, 1), (1000.0, 5, 3)]),
    ("retries-amplify-an-overload", 100, [(0.0, 100, 13)]),
    ("unbounded-burst-after-heavy-traffic", 10000, [(0.0, 100, 50), (0.0, 100, 0)]),
    ("time-fills-bucket-above-reserve", 20, [(1000.0, 100, 5)]),
    ("earlier-time-refills-bucket", 0, [(20.0, 3, 3), (10.0, 3, 0), (20.0, 3, 0)]),
]


@pytest.mark.parametrize(
    ("first_attempts", "steps"), [b[1:] for b in BUDGETS], ids=[b[0] for b in BUDGETS]
)
def test_retry_budget(first_attempts, steps):
    budget, naive = TokenRetryBudget(), UnlimitedRetryBudget()
    for policy in (budget, naive):
        for _ in range(first_attempts):
            policy.record_first_attempt("d1", 0.0)
    for now, requested, allowed in steps:
        assert sum(budget.try_acquire("d1", now) for _ in range(requested)) == allowed
        assert sum(naive.try_acquire("d1", now) for _ in range(requested)) == requested
    assert budget.try_acquire("d2", 0.0), "a failure domain used up the budget of another"


BACKOFFS = [
    ("first-delay", 1, 0.1), ("zero-tries", 0, 0.1), ("growth", 4, 0.8), ("cap", 20, 30.0),
    ("float-overflow", 5000, 30.0),
]  # fmt: skip


@pytest.mark.parametrize(
    ("tries", "full_delay_s"), [b[1:] for b in BACKOFFS], ids=[b[0] for b in BACKOFFS]
)
def test_backoff(tries, full_delay_s):
    delays = [compute_backoff(tries, Random(seed)) for seed in range(200)]
    assert all(full_delay_s / 2 <= delay <= full_delay_s for delay in delays)
    assert len(set(delays)) > 100, "concurrent callers back off by the same delays"
    assert delays == [compute_backoff(tries, Random(seed)) for seed in range(200)]
