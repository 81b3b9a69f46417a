"""The time of a load is learnt from requests that came too early."""

import pytest

from medlarbeam.algorithms.load_times import (
    COLD_LOAD_S,
    MAX_COLD_LOAD_S,
    MAX_WARM_ADAPTERS,
    WARM_LOAD_S,
    LoadTimes,
)

TRUE_TIMES = [
    ("fast-store-keeps-the-first-estimate", 0.25, 0, 0.3),
    ("slower-store-is-learnt-within-a-few-loads", 0.288, 5, 0.33),
    ("store-at-four-times-its-full-speed", 0.9, 50, 0.95),
    ("adapter-that-never-comes-does-not-raise-it-without-end", 99.0, 500, MAX_COLD_LOAD_S + 0.01),
]


@pytest.mark.parametrize(
    ("true_s", "most_early", "limit_s"), [t[1:] for t in TRUE_TIMES], ids=[t[0] for t in TRUE_TIMES]
)
def test_estimate_meets_the_true_time(true_s, most_early, limit_s):
    times = LoadTimes()
    early = 0
    for _ in range(500):
        elapsed_s = times.begin_load(is_warm=False)
        if elapsed_s < true_s:
            early += 1
            times.note_early(elapsed_s, is_warm=False)
    assert early <= most_early + 500 // 20 if true_s > COLD_LOAD_S else early == most_early
    assert min(true_s, COLD_LOAD_S) <= times.cold_s <= limit_s


def test_estimate_comes_down_after_a_flood_of_loads():
    times = LoadTimes()
    for _ in range(50):
        times.note_early(times.cold_s, is_warm=False)
    for _ in range(3000):
        times.begin_load(is_warm=False)
    assert times.cold_s == COLD_LOAD_S


def test_adapter_that_was_not_held_any_more_shortens_the_memory():
    times = LoadTimes()
    assert times.begin_load(is_warm=True) == WARM_LOAD_S
    times.note_early(WARM_LOAD_S, is_warm=True)
    assert times.warm_count == MAX_WARM_ADAPTERS - 1
    assert times.cold_s == COLD_LOAD_S
