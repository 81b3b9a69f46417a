"""Splitting of event streams.

Guards against passing partial, missing, duplicated or reordered events to the caller, for example
when a resumed stream continues at the wrong event.
"""

import pytest

from medlarbeam.exceptions import FormatError
from medlarbeam.platform.event_splitter import EventSplitter


def event(number, text="x"):
    return f"id: {number}\ndata: {text}\n\n".encode()


PIECES = [
    ("complete-events", 0, [event(1) + event(2)], event(1) + event(2), 2),
    ("event-in-two-pieces", 0, [event(1)[:5], event(1)[5:]], event(1), 1),
    ("incomplete-event-is-held-back", 0, [event(1) + event(2)[:-1]], event(1), 1),
    ("piece-ends-inside-the-event-terminator", 0, [event(1)[:-1], b"\n"], event(1), 1),
    ("resumed-stream", 4, [event(5)], event(5), 5),
    ("event-without-an-id", 3, [b"data: x\n\n"], b"data: x\n\n", 3),
    ("comments-that-keep-the-connection-open", 3, [b":\n\n" * 1000], b":\n\n" * 1000, 3),
]


@pytest.mark.parametrize(
    ("last", "pieces", "passed", "last_event"),
    [p[1:] for p in PIECES],
    ids=[p[0] for p in PIECES],
)
def test_complete_events_are_returned(last, pieces, passed, last_event):
    splitter = EventSplitter(last)
    assert b"".join(splitter.feed(piece) for piece in pieces) == passed
    assert splitter.last_event == last_event


FAULTS = [
    ("event-is-missing", 1, event(3)),
    ("duplicate-event", 2, event(2)),
    ("event-is-missing-within-a-piece", 1, event(2) + event(4)),
    ("id-is-not-a-number", 0, b"id: a\ndata: x\n\n"),
    ("event-above-the-size-limit", 0, b"x" * ((1 << 20) + 1)),
    ("line-feeds-without-end", 1, b"\n" * 4096),
    ("events-without-ids-without-end", 1, b"data: x\n\n" * 1001),
    ("comments-between-numbered-events-without-end", 0, (event(1) + b":\n\n" * 1001)),
]


@pytest.mark.parametrize(("last", "data"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS])
def test_inconsistent_stream_is_rejected(last, data):
    with pytest.raises(FormatError):
        EventSplitter(last).feed(data)
