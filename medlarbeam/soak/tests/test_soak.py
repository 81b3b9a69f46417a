"""Short soak runs with fixed seeds against gateway processes."""

import asyncio

import pytest

from medlarbeam.soak.__main__ import SoakConfig, run_soak
from medlarbeam.soak.checker import find_violations

SEEDS = [("mixed-faults", 1)]
CONFIG = SoakConfig(seconds=6.0, gateways=3, callers=8, pause_s=0.7)


@pytest.mark.parametrize("seed", [s[1] for s in SEEDS], ids=[s[0] for s in SEEDS])
def test_soak_reports_no_violations(seed, tmp_path):
    history = asyncio.run(run_soak(seed, CONFIG, tmp_path))
    assert find_violations(history) == []
    assert history.fault_intervals and history.runs and history.orders
