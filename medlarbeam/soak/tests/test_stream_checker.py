"""The checker of streams reports each kind of violation and accepts what is allowed."""

import pytest

from medlarbeam.soak.long_streams import LONG_EVENTS, LongEvent
from medlarbeam.soak.stream_callers import BROKEN, COMPLETE, StreamRecord, StreamTry
from medlarbeam.soak.stream_checker import MAX_JOINED, check_streams, count_take_ups


def make_try(numbers, end=COMPLETE, *, software="v1", stream="s", after=0, rest=b""):
    one = StreamTry(f"{stream}.{after}", "gw-0", after, 0.0)
    one.events = [LongEvent(n, software, "engine-0", 1, stream) for n in numbers]
    one.end = end
    one.rest = rest
    return one


def make_stream(*tries):
    stream = StreamRecord("s")
    stream.tries += tries
    return stream


WHOLE = range(1, LONG_EVENTS + 1)
FIRST = range(1, 6)
REST = range(6, LONG_EVENTS + 1)
JOINED = make_stream(make_try(FIRST, BROKEN), make_try(REST, software="v2", after=5))

CASES = [
    ("whole-stream", [make_stream(make_try(WHOLE))], []),
    ("stream-that-broke-off", [make_stream(make_try(FIRST, BROKEN, rest=b"id: 6"))], []),
    (
        "stream-that-was-taken-up",
        [make_stream(make_try(FIRST, BROKEN), make_try(REST, after=5))],
        [],
    ),
    ("piece-is-missing", [make_stream(make_try([1, 2, 4], BROKEN))], ["ORDER"]),
    ("piece-comes-twice", [make_stream(make_try([1, 2, 2, 3], BROKEN))], ["ORDER"]),
    (
        "piece-comes-twice-over-two-tries",
        [make_stream(make_try(FIRST, BROKEN), make_try([5, 6], BROKEN, after=5))],
        ["ORDER"],
    ),
    ("end-comes-too-early", [make_stream(make_try(FIRST))], ["ORDER"]),
    (
        "early-end-of-a-rest",
        [make_stream(make_try(FIRST, BROKEN), make_try([], after=5))],
        ["ORDER"],
    ),
    ("bytes-after-the-end", [make_stream(make_try(WHOLE, rest=b"HTTP/1.1"))], ["ORDER"]),
    ("other-stream", [make_stream(make_try(WHOLE, stream="t"))], ["MIXED"]),
    ("few-joined-streams", [JOINED] * MAX_JOINED, []),
    ("joined-streams", [JOINED] * (MAX_JOINED + 1), ["ORDER"] * (MAX_JOINED + 1)),
    (
        "joined-within-one-answer",
        [
            make_stream(
                StreamTry("s.1", "gw-0", 0, 0.0),
                make_try(FIRST, BROKEN),
                make_try(REST, software="v2"),
            )
        ]
        * (MAX_JOINED + 1),
        ["ORDER"] * (MAX_JOINED + 1),
    ),
]


@pytest.mark.parametrize(("streams", "expected"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_violations_of_streams(streams, expected):
    assert [text.split()[0] for text in check_streams(streams)] == expected


def test_take_ups_that_went_on_are_counted():
    streams = [JOINED, make_stream(make_try(FIRST, BROKEN), make_try([], BROKEN, after=5))]
    assert count_take_ups(streams) == (2, 1)
