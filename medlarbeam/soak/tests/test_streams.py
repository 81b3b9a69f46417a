"""Long streams through releases, with fixed seeds against gateway processes."""

import asyncio

import pytest

from medlarbeam.soak.stream_checker import check_streams
from medlarbeam.soak.stream_faults import STREAM_FAULTS
from medlarbeam.soak.streams import StreamSoakConfig, run_stream_soak

FAULT_NAMES = {"release", "store_link", "store_loss", "kill"}
# Guards against streams joined of two software versions where a worker starts again under its id.
SEEDS = [("reports-state-the-start", 1, True), ("reports-state-no-start", 4, False)]


@pytest.mark.parametrize(
    ("seed", "states_start"), [s[1:] for s in SEEDS], ids=[s[0] for s in SEEDS]
)
def test_streams_are_whole_and_of_one_version(seed, states_start, tmp_path):
    config = StreamSoakConfig(seconds=8.0, callers=24, pause_s=0.4, states_start=states_start)
    faults = [fault for fault in STREAM_FAULTS if fault.name in FAULT_NAMES]
    streams = asyncio.run(run_stream_soak(seed, config, tmp_path, faults))
    assert list(check_streams(streams)) == []
    assert any(len(stream.tries) > 1 for stream in streams)
