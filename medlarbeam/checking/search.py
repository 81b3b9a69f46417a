"""Breadth-first search through the states, and the shortest trace to a violation."""

import gc
from array import array
from resource import RUSAGE_SELF, getrusage

from medlarbeam.checking.canonical import hash_state
from medlarbeam.checking.events import find_event, list_events, play
from medlarbeam.checking.promises import find_breach
from medlarbeam.classes.record import Record

__all__ = ["Search", "SearchResult", "Violation", "measure_memory_mb", "replay"]

PROGRESS_STATES = 20000
CHECK_STATES = 500  # between two checks of the limits; less than a second
GC_THRESHOLD = 100000  # states hold cycles; collecting them less often saves a third of the time


class Violation(Record):
    """A broken promise.

    Parameters
    ----------
    reason : str
        The rule and how it was broken.
    events : list of str
        The events from the initial state, as `find_event` reads them.
    """

    __slots__ = ("events", "reason")

    def __init__(self, reason, events):
        self.reason = reason
        self.events = events


class SearchResult(Record):
    """What a search has found.

    Parameters
    ----------
    violation : Violation or None
    states, transitions : int
        Number of different states and of events that were played.
    depth : int
        Number of events up to which all orders were searched.
    is_complete : bool
        Whether no further states exist within the bounds on faults.
    stopped_by : str
        Why the search ended early, "" if it did not.
    """

    __slots__ = ("depth", "is_complete", "states", "stopped_by", "transitions", "violation")

    def __init__(self, violation, states, transitions, depth, is_complete, stopped_by=""):
        self.violation = violation
        self.states = states
        self.transitions = transitions
        self.depth = depth
        self.is_complete = is_complete
        self.stopped_by = stopped_by


class Search:
    """Searches all orders of events from an initial state.

    Parameters
    ----------
    world : World
    report : callable
        Called as ``report(search)`` every `PROGRESS_STATES` states.
    should_stop : callable
        Called as ``should_stop(search)`` every `CHECK_STATES` states; returns the reason to stop,
        or "".

    Attributes
    ----------
    depth : int
        Number of events after which the states of the present layer occur.
    """

    __slots__ = (
        "depth",
        "initial",
        "kinds",
        "layer",
        "parents",
        "report",
        "seen",
        "should_stop",
        "steps",
        "transitions",
    )

    def __init__(self, world, report=None, should_stop=None):
        self.initial = world
        self.report = report or (lambda search: None)
        self.should_stop = should_stop or (lambda search: "")
        self.seen = {hash_state(world)}
        self.parents = array("q", [-1])
        self.steps = array("h", [-1])
        self.kinds = []
        self.layer = [world]
        self.depth = 0
        self.transitions = 0

    def run(self, depth):
        """Search up to `depth` events and return the `SearchResult`.

        An interrupt ends the search; what was searched until then is in the result.
        """
        thresholds = gc.get_threshold()
        gc.set_threshold(GC_THRESHOLD, *thresholds[1:])
        try:
            return self._search_layers(depth)
        except KeyboardInterrupt:
            return self._conclude(None, "interrupt")
        finally:
            gc.set_threshold(*thresholds)

    def _conclude(self, violation, stopped_by=""):
        return SearchResult(
            violation, len(self.parents), self.transitions, self.depth, not self.layer, stopped_by
        )

    def _search_layers(self, depth):
        numbers = {}
        first = 0  # number of the first state of the layer
        while self.layer and self.depth < depth:
            following = []
            beyond = len(self.parents)
            for position, before in enumerate(self.layer):
                self.layer[position] = None
                for event in list_events(before):
                    after = play(before, event)
                    self.transitions += 1
                    text = event.describe()
                    reason = find_breach(before, after)
                    if reason:
                        events = [*self._trace(first + position), text]
                        return self._conclude(Violation(reason, events))
                    after.receive_orders()
                    after.orders = []
                    key = hash_state(after)
                    if key in self.seen:
                        continue
                    self.seen.add(key)
                    if text not in numbers:
                        numbers[text] = len(self.kinds)
                        self.kinds.append(text)
                    self.parents.append(first + position)
                    self.steps.append(numbers[text])
                    if self.depth + 1 < depth:
                        following.append(after)
                    if len(self.parents) % PROGRESS_STATES == 0:
                        self.report(self)
                    if len(self.parents) % CHECK_STATES == 0:
                        stopped_by = self.should_stop(self)
                        if stopped_by:
                            return self._conclude(None, stopped_by)
            first = beyond
            self.layer = following
            self.depth += 1
            if self.depth == depth and len(self.parents) > beyond:
                self.layer = [None]  # there are further states
        return self._conclude(None)

    def _trace(self, number):
        events = []
        while self.parents[number] >= 0:
            events.append(self.kinds[self.steps[number]])
            number = self.parents[number]
        return events[::-1]


def measure_memory_mb():
    """Return the largest resident size of this process so far (MB)."""
    return getrusage(RUSAGE_SELF).ru_maxrss / 1024


def replay(world, events):
    """Play events, given as text, from `world`; return the reason of the first breach, or "".

    Raises
    ------
    ValueError
        If an event cannot occur in the state in which it is due.
    """
    for text in events:
        event = find_event(text)
        if event.describe() not in [possible.describe() for possible in list_events(world)]:
            raise ValueError(f"event {text!r} cannot occur here")
        before, world = world, play(world, event)
        reason = find_breach(before, world)
        if reason:
            return reason
        world.receive_orders()
        world.orders = []
    return ""
