"""Splits an event stream into complete events."""

from medlarbeam.daemon.delimited_buffer import DelimitedBuffer
from medlarbeam.exceptions import FormatError

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
# Each event of a backend server has an id; comments that keep a connection open have none. Without
# a limit, line feeds without end would be passed on as empty events.
MAX_EVENTS_WITHOUT_ID = 1000


class EventSplitter:
    """Returns complete events from a byte stream and checks that their ids are consecutive.

    Parameters
    ----------
    last_event : int
        Id of the event that precedes the stream, 0 if the stream starts at its beginning.

    Attributes
    ----------
    pending : DelimitedBuffer
        Start of an incomplete event.
    event_count, unnumbered_count : int
        Numbers of all events and of those without an id.
    """

    __slots__ = ("event_count", "last_event", "pending", "unnumbered_count")

    def __init__(self, last_event=0):
        self.last_event = last_event
        self.pending = DelimitedBuffer(EVENT_END, MAX_EVENT_BYTES, "event")
        self.event_count = 0
        self.unnumbered_count = 0

    def is_inside_event(self):
        """Return whether the stream so far ends inside an event."""
        return bool(self.pending.rest)

    def feed(self, data):
        """Return the bytes of all events that are complete after adding `data`.

        Raises
        ------
        FormatError
            If an event is missing, duplicated or too long, its id is not a number, or too many
            events have none.
        """
        complete_events = self.pending.feed(data)
        last = self.last_event
        events = complete_events.split(EVENT_END)[:-1]
        self.event_count += len(events)
        for event in events:
            last = self._check_id(event, last)
        self.last_event = last
        return complete_events

    def _check_id(self, event, last):
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                text = line[3:].strip()
                if not text.isdigit():
                    raise FormatError("event id is not a number")
                if last and int(text) != last + 1:
                    raise FormatError(f"event id {int(text)} does not follow event id {last}")
                return int(text)
        self.unnumbered_count += 1
        if self.unnumbered_count > MAX_EVENTS_WITHOUT_ID:
            raise FormatError(f"more than {MAX_EVENTS_WITHOUT_ID} events have no id")
        return last
