"""Incremental parser and formatter of server-sent events."""

from medlarbeam.daemon.delimited_buffer import DelimitedBuffer
from medlarbeam.exceptions import FormatError

__all__ = ["EventStreamParser", "format_event"]


class EventStreamParser:
    """Splits a byte stream into the data of its events.

    Parameters
    ----------
    max_line_bytes : int
        Maximum size of one line (bytes).

    Notes
    -----
    Only ``data`` lines are parsed; comments, ids and event names are ignored.
    """

    __slots__ = ("data_lines", "lines")

    def __init__(self, max_line_bytes=1 << 20):
        self.lines = DelimitedBuffer(b"\n", max_line_bytes, "event stream: line")
        self.data_lines = []

    def feed(self, block):
        """Add a block of bytes; return the data (str) of the events it completes.

        Raises
        ------
        FormatError
            If a line exceeds `max_line_bytes` or the data is not UTF-8.
        """
        events = []
        for line in self.lines.feed(block).split(b"\n")[:-1]:
            self._process_line(line.rstrip(b"\r"), events)
        return events

    def _process_line(self, line, events):
        if not line:
            if self.data_lines:
                events.append("\n".join(self.data_lines))
                self.data_lines = []
        elif line.startswith(b"data:"):
            try:
                text = line[5:].decode("utf-8")
            except UnicodeDecodeError:
                raise FormatError("event stream: data is not UTF-8") from None
            self.data_lines.append(text.removeprefix(" "))


def format_event(data, name=""):
    """Return an event (bytes) with one line of `data` (bytes) and an optional name."""
    header = f"event: {name}\n".encode() if name else b""
    return header + b"data: " + data + b"\n\n"
