"""Guards against broken invariants of whole nodes under faults, by seeded schedules."""

import pytest

from medlarbeam.node.assembly import build_node
from medlarbeam.node.tests.mutants import MUTANTS
from medlarbeam.node.tests.run_world_schedules import run_schedule

SEEDS = range(16)


@pytest.mark.parametrize("seed", SEEDS, ids=lambda s: f"seed-{s}")
def test_invariants_hold_under_faults(seed):
    assert run_schedule(seed, build_node) == []


# Seeds whose schedules detect each mutant; run_world_schedules --mutant finds others.
SEEDS_BY_MUTANT = {
    "eviction-without-pledges": [9, 27, 45],
    "run-without-ownership": [22, 29],
    "claims-in-memory": [0, 1],
    "run-state-of-last-attempt": [1, 3],
    "charges-are-retried": [0, 25],
    "chunks-in-arrival-order": [0, 1],
    "exit-without-waiting": [1],
    "head-written-blindly": [0],
    "vm-list-ignored": [16],
}


@pytest.mark.parametrize("name", list(SEEDS_BY_MUTANT))
def test_mutant_is_detected(name):
    faults = [
        fault for seed in SEEDS_BY_MUTANT[name] for fault in run_schedule(seed, MUTANTS[name])
    ]
    assert faults and not any("Traceback" in fault for fault in faults)
