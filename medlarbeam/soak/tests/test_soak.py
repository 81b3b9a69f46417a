"""Short runs of the soak with fixed seeds, on real processes."""

import asyncio

import pytest

from medlarbeam.soak.__main__ import Scale, run_soak
from medlarbeam.soak.checker import find_violations

SEEDS = [("mixed-faults", 1)]
SCALE = Scale(seconds=6.0, gateways=3, callers=8, pause_s=0.7)


@pytest.mark.parametrize("seed", [s[1] for s in SEEDS], ids=[s[0] for s in SEEDS])
def test_no_promise_is_broken(seed, tmp_path):
    evidence = asyncio.run(run_soak(seed, SCALE, tmp_path))
    assert find_violations(evidence) == []
    assert evidence.disturbances and evidence.runs and evidence.orders
