"""Faults in chart files are found when the chart is loaded."""

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


GOOD = """
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

FAULTS = [
    ("unknown-target", "lock: locked", "lock: lokced", "door.yaml:10: state 'shut': event 'lock'"),
    ("unreachable-state", "open: wide", "open: {do: [note]}", "state 'wide': is unreachable"),
    ("event-with-no-handler", "ignore: [lock]", "ignore: []", "event 'lock' has no handler"),
    ("missing-guard", "if: allowed", "if: alowed", "Handler has no guard 'alowed'"),
    ("missing-action", "do: [note]", "do: [nott]", "Handler has no action 'nott'"),
    ("missing-entry-action", "[enter]", "[entre]", "Handler has no action 'entre'"),
    ("undeclared-event", "[close]", "[close, kick]", "event 'kick' is not declared"),
    ("unknown-key", "tags:", "tag:", "unknown key 'tag'"),
    ("unknown-initial", "initial: shut", "initial: sut", "unknown initial state 'sut'"),
    ("key-given-twice", "lock: locked", "lock: locked\n      lock: shut", "given twice"),
    ("not-yaml", "states:", "states: [", "door.yaml"),
]


@pytest.mark.parametrize(
    ("old", "new", "message"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS]
)
def test_fault_is_reported(old, new, message):
    with pytest.raises(ChartError) as caught:
        parse_chart(GOOD.replace(old, new, 1), "door.yaml", Handler)
    assert message in str(caught.value)


RUNS = [
    ("nested-initial-and-entry", ["open"], "ajar", ["note", "enter ajar"]),
    ("ignored-event-changes-nothing", ["close"], "shut", []),
    ("parent-handles-for-child", ["open", "open", "close"], "shut", ["note", "enter ajar"]),
    ("final-state-ignores-all", ["lock", "open", "close"], "locked", []),
]


@pytest.mark.parametrize(
    ("events", "state", "log"), [r[1:] for r in RUNS], ids=[r[0] for r in RUNS]
)
def test_events_lead_to_state(events, state, log):
    chart = parse_chart(GOOD, "door.yaml", Handler)
    subject = Subject(chart.initial)
    for event in events:
        chart.fire(subject, event, Handler())
    assert (subject.state, subject.log) == (state, log)


@pytest.mark.parametrize("event", ["kick"], ids=["undeclared-event-is-an-error"])
def test_undeclared_event(event):
    chart = parse_chart(GOOD, "door.yaml", Handler)
    with pytest.raises(ChartError):
        chart.fire(Subject(chart.initial), event, Handler())
