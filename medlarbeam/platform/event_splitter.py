"""Splits an event stream into complete events."""

from medlarbeam.exceptions import FormatError

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Returns complete events from a byte stream and checks that their ids are consecutive.

    Parameters
    ----------
    last_event : int
        Id of the event that precedes the stream, 0 if the stream starts at its beginning.

    Attributes
    ----------
    remainder : bytes
        Start of an incomplete event.
    """

    __slots__ = ("last_event", "remainder")

    def __init__(self, last_event=0):
        self.last_event = last_event
        self.remainder = b""

    def feed(self, data):
        """Return the bytes of all events that are complete after adding `data`.

        Raises
        ------
        FormatError
            If an event is missing, duplicated or too long, or its id is not a number.
        """
        data = self.remainder + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.remainder = data
            if len(data) > MAX_EVENT_BYTES:
                raise FormatError(f"event exceeds the limit of {MAX_EVENT_BYTES} bytes")
            return b""
        complete_events = data[: end + len(EVENT_END)]
        self.remainder = data[end + len(EVENT_END) :]
        last = self.last_event
        for event in complete_events.split(EVENT_END)[:-1]:
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
        return last
