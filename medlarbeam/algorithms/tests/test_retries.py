"""Retry budget and backoff."""

from random import Random

import pytest

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.algorithms.retry_budget import TokenRetryBudget, UnlimitedRetryBudget

# First attempts, then (time s, retries asked, retries allowed); the naive version allows all.
BUDGETS = [
    ("quiet-node-cannot-retry", 0, [(0.0, 5, 3)]),
    ("reserve-is-not-refilled", 0, [(0.0, 5, 3), (10.0, 5, 1), (1000.0, 5, 3)]),
    ("retries-multiply-a-fault", 100, [(0.0, 100, 13)]),
    ("burst-after-much-traffic", 10000, [(0.0, 100, 50), (0.0, 100, 0)]),
    ("time-adds-above-the-reserve", 20, [(1000.0, 100, 5)]),
    ("clock-of-an-older-message", 0, [(20.0, 3, 3), (10.0, 3, 0), (20.0, 3, 0)]),
]


@pytest.mark.parametrize(("firsts", "asks"), [b[1:] for b in BUDGETS], ids=[b[0] for b in BUDGETS])
def test_retry_budget(firsts, asks):
    budget, naive = TokenRetryBudget(), UnlimitedRetryBudget()
    for each in (budget, naive):
        for _ in range(firsts):
            each.note_first("d1", 0.0)
    for now, asked, allowed in asks:
        assert sum(budget.take("d1", now) for _ in range(asked)) == allowed
        assert sum(naive.take("d1", now) for _ in range(asked)) == asked
    assert budget.take("d2", 0.0), "one failure domain must not use up the budget of another"


BACKOFFS = [
    ("first-delay", 1, 0.1), ("zero-tries", 0, 0.1), ("growth", 4, 0.8), ("cap", 20, 30.0),
    ("float-overflow", 5000, 30.0),
]  # fmt: skip


@pytest.mark.parametrize(("tries", "full"), [b[1:] for b in BACKOFFS], ids=[b[0] for b in BACKOFFS])
def test_backoff(tries, full):
    delays = [compute_backoff(tries, Random(seed)) for seed in range(200)]
    assert all(full / 2 <= delay <= full for delay in delays)
    assert len(set(delays)) > 100, "callers that back off together must spread"
    assert delays == [compute_backoff(tries, Random(seed)) for seed in range(200)]
