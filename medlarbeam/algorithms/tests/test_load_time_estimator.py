"""Tests of load time estimates, which requests sent before the end of a load adjust."""

import pytest

from medlarbeam.algorithms.load_time_estimator import (
    COLD_LOAD_S,
    MAX_COLD_LOAD_S,
    MAX_WARM_ADAPTERS,
    WARM_LOAD_S,
    LoadTimeEstimator,
)

TRUE_TIMES = [
    ("fast-store-keeps-initial-estimate", 0.25, 0, 0.3),
    ("estimate-follows-slower-store-within-few-loads", 0.288, 5, 0.33),
    ("estimate-follows-overloaded-store", 0.9, 50, 0.95),
    ("estimate-is-bounded-if-load-never-finishes", 99.0, 500, MAX_COLD_LOAD_S + 0.01),
]


@pytest.mark.parametrize(
    ("true_s", "max_early", "limit_s"), [t[1:] for t in TRUE_TIMES], ids=[t[0] for t in TRUE_TIMES]
)
def test_estimate_converges_to_load_time(true_s, max_early, limit_s):
    estimator = LoadTimeEstimator()
    early = 0
    for _ in range(500):
        elapsed_s = estimator.estimate_load(is_warm=False)
        if elapsed_s < true_s:
            early += 1
            estimator.record_early_refusal(elapsed_s, is_warm=False)
    assert early <= max_early + 500 // 20 if true_s > COLD_LOAD_S else early == max_early
    assert min(true_s, COLD_LOAD_S) <= estimator.cold_load_s <= limit_s


def test_estimate_decreases_after_burst_of_loads():
    estimator = LoadTimeEstimator()
    for _ in range(50):
        estimator.record_early_refusal(estimator.cold_load_s, is_warm=False)
    for _ in range(3000):
        estimator.estimate_load(is_warm=False)
    assert estimator.cold_load_s == COLD_LOAD_S


def test_slow_reload_reduces_warm_adapter_count():
    estimator = LoadTimeEstimator()
    assert estimator.estimate_load(is_warm=True) == WARM_LOAD_S
    estimator.record_early_refusal(WARM_LOAD_S, is_warm=True)
    assert estimator.warm_adapter_limit == MAX_WARM_ADAPTERS - 1
    assert estimator.cold_load_s == COLD_LOAD_S
