"""Cuts a stream of events into whole events."""

from medlarbeam.exceptions import FormatError

__all__ = ["EventCutter"]

END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventCutter:
    """Passes whole events on and watches that their ids follow each other.

    Parameters
    ----------
    last_event : int
        Id of the event before the first, 0 if the stream starts at its beginning.

    Attributes
    ----------
    rest : bytes
        Beginning of an event that is not complete.
    """

    __slots__ = ("last_event", "rest")

    def __init__(self, last_event=0):
        self.last_event = last_event
        self.rest = b""

    def feed(self, data):
        """Return the bytes of the events that `data` completes.

        Raises
        ------
        FormatError
            If an event is missing, comes again or is too long.
        """
        data = self.rest + data
        end = data.rfind(END)
        if end < 0:
            self.rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise FormatError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
            return b""
        whole = data[: end + len(END)]
        self.rest = data[end + len(END) :]
        last = self.last_event
        for event in whole.split(END)[:-1]:
            last = self._check(event, last)
        self.last_event = last
        return whole

    def _check(self, event, last):
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                text = line[3:].strip()
                if not text.isdigit():
                    raise FormatError("an event has an id that is not a number")
                if last and int(text) != last + 1:
                    raise FormatError(f"event {int(text)} follows event {last}")
                return int(text)
        return last
