"""The log shows whether a stream was late by its first event, a pause or a slow caller."""

import pytest

from medlarbeam.classes.stream_timing import StreamTiming

# Each step is the time of an event after the start (s) and the duration of its write (s).
TIMINGS = [
    ("no-event", [], "first_event_s=none"),
    ("late-first-event-is-no-pause", [(1.5, 0.0)], "first_event_s=1.500 longest_pause_s=0.000"),
    (
        "longest-pause-is-placed-after-its-event",
        [(0.1, 0.0), (0.2, 0.0), (0.6, 0.0), (0.7, 0.0)],
        "first_event_s=0.100 longest_pause_s=0.400 pause_after=2",
    ),
    (
        "slow-caller-is-no-pause-of-the-server",
        [(0.1, 0.5), (0.65, 0.0)],
        "first_event_s=0.100 longest_pause_s=0.050 pause_after=1 longest_write_s=0.500",
    ),
]


@pytest.mark.parametrize(("steps", "fields"), [t[1:] for t in TIMINGS], ids=[t[0] for t in TIMINGS])
def test_timing_tells_where_a_stream_was_late(steps, fields):
    timing = StreamTiming(10.0)
    for index, (at, write_s) in enumerate(steps):
        timing.record_event(index, 10.0 + at)
        timing.record_write(write_s)
    assert timing.describe().startswith(fields)
