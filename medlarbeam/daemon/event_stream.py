"""Server-sent events: the incremental reader, and the writer of events."""

from medlarbeam.exceptions import FormatError

__all__ = ["EventStreamReader", "format_event"]


class EventStreamReader:
    """Cuts a byte stream into the data of its events.

    Parameters
    ----------
    limit : int
        Greatest size of one line in bytes.

    Notes
    -----
    Only ``data`` lines count; comments, ids and event names are left out.
    """

    __slots__ = ("data", "limit", "rest")

    def __init__(self, limit=1 << 20):
        self.limit = limit
        self.rest = b""
        self.data = []

    def feed(self, piece):
        """Return the list of complete event data texts after `piece` (bytes).

        Raises
        ------
        FormatError
            On a line above the limit, or text that is not UTF-8.
        """
        lines = (self.rest + piece).split(b"\n")
        self.rest = lines.pop()
        if len(self.rest) > self.limit:
            raise FormatError(f"event stream: line above {self.limit} bytes")
        events = []
        for line in lines:
            self._take_line(line.rstrip(b"\r"), events)
        return events

    def _take_line(self, line, events):
        if not line:
            if self.data:
                events.append("\n".join(self.data))
                self.data = []
        elif line.startswith(b"data:"):
            try:
                text = line[5:].decode("utf-8")
            except UnicodeDecodeError:
                raise FormatError("event stream: data is not UTF-8") from None
            self.data.append(text.removeprefix(" "))


def format_event(data, name=""):
    """Return the bytes of an event with one line of `data` (bytes) and an optional name."""
    head = f"event: {name}\n".encode() if name else b""
    return head + b"data: " + data + b"\n\n"
