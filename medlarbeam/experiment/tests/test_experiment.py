"""Scenario files, weight store, determinism, and real policies against the naive ones."""

import pytest

from medlarbeam.classes.requests import Rank
from medlarbeam.exceptions import FormatError
from medlarbeam.experiment.deployment import DEPLOYMENTS
from medlarbeam.experiment.driver import Experiment
from medlarbeam.experiment.policies import POLICIES, build_policy_parts
from medlarbeam.experiment.scenario import Event, Scenario, Traffic, list_scenarios, load_scenario
from medlarbeam.experiment.weight_store import TimedWeightStore

INVALID_FILES = [
    ("document-is-not-a-mapping", "[]", "scenario: expected a mapping"),
    ("empty-traffic", "title: t\ntraffic: []", "traffic: no stream"),
    ("unknown-field", "title: t\nspeed: 1", "scenario.speed: unknown field"),
    ("unknown-rank", "title: t\ntraffic: [{rank: top, rate: 1}]", "traffic[0].rank"),
    ("negative-rate", "title: t\ntraffic: [{rank: urgent, rate: -1}]", "-1 is out of range"),
    (
        "string-instead-of-number",
        "title: t\ntraffic: [{rank: urgent, rate: x}]",
        "expected a number",
    ),
    ("yaml-syntax-error", "title: [", "scenario"),
    (
        "more-choices-than-adapters",
        "title: t\nadapters: 2\ntraffic: [{rank: urgent, rate: 1, choices: 3}]",
        "more than the 2 adapters",  # drawing that many distinct adapters would never end
    ),
]


@pytest.mark.parametrize(
    ("text", "reason"), [b[1:] for b in INVALID_FILES], ids=[b[0] for b in INVALID_FILES]
)
def test_invalid_scenario_is_rejected(tmp_path, text, reason):
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(FormatError) as caught:
        load_scenario(str(path))
    assert reason in str(caught.value) and "bad.yaml" in str(caught.value)


@pytest.mark.parametrize("name", list_scenarios(), ids=list_scenarios())
def test_built_in_scenario_loads(name):
    assert load_scenario(name).title


LOAD_COUNTS = [
    ("burst-is-not-delayed", 3, 0, 0.25),
    ("load-beyond-the-burst-waits", 4, 1, 0.25 + 1 / 7),
]


@pytest.mark.parametrize(
    ("loads", "over", "last_s"), [x[1:] for x in LOAD_COUNTS], ids=[x[0] for x in LOAD_COUNTS]
)
def test_weight_store_limits_load_rate(loads, over, last_s):
    store = TimedWeightStore()
    durations = [store.begin_load(10.0) for _ in range(loads)]
    assert (store.over_rate, durations[-1]) == (over, pytest.approx(last_s))


STEADY = [Traffic(Rank.URGENT, 4.0), Traffic(Rank.ORDINARY, 8.0)]
FLOOD = [*STEADY, Traffic(Rank.YIELDING, 100.0)]
SINGLE_CALLER_FLOOD = [*STEADY, Traffic(Rank.ORDINARY, 100.0, caller="flooder", callers=1)]
RESTART = [Event(2.0, "restart_engines", 0.34), Event(4.0, "shift_popularity")]


def run(traffic, naive=(), seed=1, events=()):
    scenario = Scenario("t", "t", traffic, events, adapters=200, warmup_s=6.0, measure_s=6.0)
    parts = build_policy_parts(naive)
    return Experiment(scenario, DEPLOYMENTS["kebun-kira"], seed, parts).run().document(6.0)


def within_target(document):
    return document["ranks"]["urgent"]["within_target_share"]


def over_rate(document):
    return -document["totals"]["loads_over_rate"]


def answered_other_callers(document):
    return document["totals"]["answered_by_caller"]["caller"]


POLICY_COMPARISONS = [
    ("naive-routing-spreads-adapters-and-stalls", "routing", STEADY, within_target),
    ("fifo-queue-serves-yielding-requests-first", "queue", FLOOD, within_target),
    ("fifo-queue-is-filled-by-one-caller", "queue", SINGLE_CALLER_FLOOD, answered_other_callers),
    ("unlimited-budget-exceeds-the-store-rate", "budget", FLOOD, over_rate),
]


@pytest.mark.parametrize(
    ("policy", "traffic", "measure"),
    [d[1:] for d in POLICY_COMPARISONS],
    ids=[d[0] for d in POLICY_COMPARISONS],
)
def test_real_policy_beats_the_naive_one(policy, traffic, measure):
    assert measure(run(traffic)) > measure(run(traffic, [policy]))


def test_unknown_policy_is_rejected():
    with pytest.raises(FormatError):
        build_policy_parts(["luck"])


@pytest.mark.parametrize("naive", [(), POLICIES], ids=["real", "naive"])
def test_same_seed_gives_the_same_results(naive):
    first, again = (run(FLOOD, naive, seed=5, events=RESTART) for _ in range(2))
    assert first == again
    # A full queue evicts attempts: none may be lost, and no adapter in use may be unloaded.
    assert all("unanswered" not in r["shed"] for r in first["ranks"].values())
    assert first["totals"]["evicted_in_use"] == 0
