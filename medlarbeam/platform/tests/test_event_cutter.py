"""Streams are passed on in whole events, each once and in order."""

import pytest

from medlarbeam.exceptions import FormatError
from medlarbeam.platform.event_cutter import EventCutter


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


PIECES = [
    ("whole-events", 0, [event(1) + event(2)], event(1) + event(2), 2),
    ("event-in-two-pieces", 0, [event(1)[:5], event(1)[5:]], event(1), 1),
    ("half-an-event-is-held-back", 0, [event(1) + event(2)[:-1]], event(1), 1),
    ("end-of-an-event-between-its-two-line-ends", 0, [event(1)[:-1], b"\n"], event(1), 1),
    ("resumed-stream", 4, [event(5)], event(5), 5),
    ("event-without-an-id", 3, [b"data: x\n\n"], b"data: x\n\n", 3),
]


@pytest.mark.parametrize(
    ("last", "pieces", "passed", "last_event"), [p[1:] for p in PIECES], ids=[p[0] for p in PIECES]
)
def test_whole_events_are_passed(last, pieces, passed, last_event):
    cutter = EventCutter(last)
    assert b"".join(cutter.feed(piece) for piece in pieces) == passed
    assert cutter.last_event == last_event


FAULTS = [
    ("event-is-missing", 1, event(3)),
    ("event-comes-twice", 2, event(2)),
    ("event-is-missing-within-a-piece", 1, event(2) + event(4)),
    ("id-is-no-number", 0, b"id: a\ndata: x\n\n"),
    ("event-without-an-end", 0, b"x" * ((1 << 20) + 1)),
]


@pytest.mark.parametrize(("last", "data"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS])
def test_joined_pieces_of_other_streams_are_found(last, data):
    with pytest.raises(FormatError):
        EventCutter(last).feed(data)
