"""Tests of the chart loader, which must reject invalid charts, and of the interpreter."""

import pytest

from medlarbeam.charts.loader import parse_chart
from medlarbeam.exceptions import ChartError


class Subject:
    __slots__ = ("log", "state")

    def __init__(self, state):
        self.state = state
        self.log = []


class Handler:
    __slots__ = ()

    def allowed(self, subject):
        return "blocked" not in subject.log

    def note(self, subject):
        subject.log.append("note")

    def enter(self, subject):
        subject.log.append(f"enter {subject.state}")


VALID_CHART = """
chart: door
initial: shut
events: [open, close, lock]
states:
  shut:
    ignore: [close]
    on:
      open: {target: ajar, if: allowed, do: [note]}
      lock: locked
  open_kind:
    initial: ajar
    tags: [open]
    ignore: [lock]
    on: {close: shut}
    states:
      ajar:
        entry: [enter]
        on: {open: wide}
      wide:
        ignore: [open]
  locked: {final: true}
"""

INVALID_CHARTS = [
    ("unknown-target", "lock: locked", "lock: lokced", "door.yaml:10: state 'shut': event 'lock'"),
    (
        "unreachable-state",
        "open: wide",
        "open: {do: [note]}",
        "state 'wide': is unreachable from the initial state",
    ),
    ("unhandled-event", "ignore: [lock]", "ignore: []", "event 'lock' has no handler"),
    ("missing-guard", "if: allowed", "if: alowed", "Handler has no guard 'alowed'"),
    ("missing-action", "do: [note]", "do: [nott]", "Handler has no action 'nott'"),
    ("missing-entry-action", "[enter]", "[entre]", "Handler has no action 'entre'"),
    ("undeclared-event", "[close]", "[close, kick]", "event 'kick' is not declared"),
    ("unknown-key", "tags:", "tag:", "unknown key 'tag'"),
    ("unknown-initial-state", "initial: shut", "initial: sut", "unknown initial state 'sut'"),
    ("duplicate-key", "lock: locked", "lock: locked\n      lock: shut", "duplicate key"),
    ("invalid-yaml", "states:", "states: [", "door.yaml"),
]


@pytest.mark.parametrize(
    ("old", "new", "message"), [c[1:] for c in INVALID_CHARTS], ids=[c[0] for c in INVALID_CHARTS]
)
def test_invalid_chart_is_rejected(old, new, message):
    with pytest.raises(ChartError) as caught:
        parse_chart(VALID_CHART.replace(old, new, 1), "door.yaml", Handler)
    assert message in str(caught.value)


EVENT_SEQUENCES = [
    ("initial-state-of-nested-states-is-entered", ["open"], "ajar", ["note", "enter ajar"]),
    ("ignored-event-changes-nothing", ["close"], "shut", []),
    (
        "parent-handles-event-of-nested-state",
        ["open", "open", "close"],
        "shut",
        ["note", "enter ajar"],
    ),
    ("final-state-ignores-all-events", ["lock", "open", "close"], "locked", []),
]


@pytest.mark.parametrize(
    ("events", "state", "log"),
    [s[1:] for s in EVENT_SEQUENCES],
    ids=[s[0] for s in EVENT_SEQUENCES],
)
def test_events_lead_to_state(events, state, log):
    chart = parse_chart(VALID_CHART, "door.yaml", Handler)
    subject = Subject(chart.initial)
    for event in events:
        chart.fire(subject, event, Handler())
    assert (subject.state, subject.log) == (state, log)


@pytest.mark.parametrize("event", ["kick"], ids=["undeclared-event-raises"])
def test_undeclared_event_is_rejected(event):
    chart = parse_chart(VALID_CHART, "door.yaml", Handler)
    with pytest.raises(ChartError):
        chart.fire(Subject(chart.initial), event, Handler())
