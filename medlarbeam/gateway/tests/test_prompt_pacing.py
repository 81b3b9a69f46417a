"""More streams are in time when prompts are paced than when each is sent at once."""

from random import Random

import pytest

from medlarbeam.algorithms.pause_feedback import PauseFeedback
from medlarbeam.algorithms.prefill_estimator import PrefillEstimator
from medlarbeam.gateway.prompt_pacing import PromptPacing
from medlarbeam.gateway.tests.batching_fleet import BatchingFleet

WARM_UP_S = 6.0  # until the reading speed has been learned
PLAY_S = 24.0
SEEDS = range(4)

# Prompt tokens a second of all callers, relative to what the engines can read in a second, and the
# least gain of streams in time, as a share of all.
LOADS = [
    ("one-gateway-knows-all-prompts", {"gateways": 1, "engines": 3}, 0.45, 0.1),
    ("gateways-report-their-prompts", {"gateways": 4, "engines": 3}, 0.45, 0.02),
    (
        "fast-engines-are-not-held-back",
        {"gateways": 4, "engines": 3, "tokens_per_s": 6e4},
        0.5,
        -0.02,
    ),
    (
        "slow-engines-keep-working",
        {"gateways": 4, "engines": 3, "tokens_per_s": 1.4e4},
        0.35,
        -0.05,
    ),
    ("lost-reports-do-no-harm", {"gateways": 4, "engines": 3, "loss": 0.25}, 0.4, -0.05),
]


def play(options, load, seed):
    """Return the share of the streams in time under a load of prompts."""
    fleet = BatchingFleet(seed, **options)
    start = fleet.now
    tokens_per_s = load * options["engines"] * fleet.tokens_per_s
    fleet.schedule_prompts(start + 0.5, start + PLAY_S, tokens_per_s)
    fleet.run_until(start + PLAY_S + 8.0)
    return fleet.measure(start + WARM_UP_S)


def play_unpaced(monkeypatch, options, load, seed):
    """Return the same for gateways that send each prompt at once."""
    with monkeypatch.context() as patch:
        patch.setattr(PromptPacing, "find_wait", lambda self, server, relay, now: 0.0)
        return play(options, load, seed)


@pytest.mark.parametrize(
    ("options", "load", "least_gain"), [c[1:] for c in LOADS], ids=[c[0] for c in LOADS]
)
def test_pacing_keeps_streams_in_time(monkeypatch, options, load, least_gain):
    gains = [
        play(options, load, seed) - play_unpaced(monkeypatch, options, load, seed) for seed in SEEDS
    ]
    assert sum(gains) / len(gains) >= least_gain


SPEEDS = [
    ("slow-engine", 1 / 8_000, 0.0, 0.0),
    ("fast-engine", 1 / 60_000, 0.0, 0.0),
    ("waiting-in-the-engine-is-no-reading", 1 / 20_000, 0.15, 0.0),
    ("outlier-is-ignored", 1 / 20_000, 0.05, 0.02),
]


@pytest.mark.parametrize(
    ("s_per_token", "mean_wait_s", "outliers"), [s[1:] for s in SPEEDS], ids=[s[0] for s in SPEEDS]
)
def test_reading_time_is_learned_from_first_events(s_per_token, mean_wait_s, outliers):
    rng = Random(1)
    estimator = PrefillEstimator()
    for _ in range(1_000):
        tokens = 100 + int(rng.expovariate(1 / 1_000))
        wait_s = rng.expovariate(1 / mean_wait_s) if mean_wait_s else 0.0
        wait_s += 30.0 if rng.random() < outliers else 0.0
        estimator.record_first_event(tokens, 0.03 + wait_s + tokens * s_per_token)
    assert estimator.estimate_s_per_token() == pytest.approx(s_per_token, rel=0.35)


PAUSES = [
    ("short-pauses-do-not-limit", [0.1] * 200, 4.0),
    ("long-pauses-limit", [0.35] * 200, 0.8),
    ("one-long-pause-in-twenty-is-tolerated", ([0.35] + [0.1] * 19) * 20, 4.0),
    ("limit-is-lifted-again", [0.35] * 200 + [0.1] * 400, 4.0),
]


@pytest.mark.parametrize(("pauses", "factor"), [p[1:] for p in PAUSES], ids=[p[0] for p in PAUSES])
def test_factor_follows_the_pauses_of_streams(pauses, factor):
    feedback = PauseFeedback(0.8, 4.0)
    for pause_s in pauses:
        feedback.record_stream(pause_s, 0.3)
    assert feedback.factor == pytest.approx(factor, rel=0.1)
