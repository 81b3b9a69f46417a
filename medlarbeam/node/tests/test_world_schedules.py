"""Seeded schedules of faults over whole nodes; each mutant has to be caught."""

import pytest

from medlarbeam.node.assembly import build_node
from medlarbeam.node.tests.mutants import MUTANTS
from medlarbeam.node.tests.run_world_schedules import run_schedule

SEEDS = range(16)


@pytest.mark.parametrize("seed", SEEDS, ids=lambda s: f"seed-{s}")
def test_invariants_hold_under_faults(seed):
    assert run_schedule(seed, build_node) == []


# Seeds at which each mutant was seen to fail; run_world_schedules --mutant finds others.
CAUGHT = {}


@pytest.mark.parametrize("name", list(CAUGHT))
def test_mutant_is_caught(name):
    assert run_schedule(CAUGHT[name], MUTANTS[name]) != []
