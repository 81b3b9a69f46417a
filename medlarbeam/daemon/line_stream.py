"""Log handler whose volume is bounded and that never waits for the reader of its stream."""

import logging
import os
from collections import deque

__all__ = ["LineBudget", "LineStream"]

FLUSH_S = 0.05  # lines of this time are written with one system call
MAX_WAITING_BYTES = 1 << 20  # lines that wait for a reader that stands still
# A node at the target size serves about 20 requests a second (docs/CAPACITY.md) with 3 to 6 lines
# each; ten times that is a flood.
ROUTINE_LINES_PER_S = 1000.0
ROUTINE_BURST = 3000.0


class LineBudget:
    """Token bucket for lines below the level of a warning.

    Parameters
    ----------
    rate_per_s, burst : float
    """

    __slots__ = ("burst", "filled_at", "rate_per_s", "tokens")

    def __init__(self, rate_per_s=ROUTINE_LINES_PER_S, burst=ROUTINE_BURST):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.filled_at = 0.0

    def take(self, now):
        """Return whether another line may be written at `now` (s)."""
        gained = max(0.0, now - self.filled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class LineStream(logging.Handler):
    """Collects lines and writes them together to a file descriptor that does not block.

    Parameters
    ----------
    descriptor : int
    read_clock : callable
        Returns monotonic seconds.
    call_later : callable
        ``(seconds, function)``: schedules the next write on the event loop.

    Attributes
    ----------
    dropped : int
        Lines that were lost since the start: first those below the level of a warning that are
        above the rate, then all that find the memory for waiting lines used up.

    Notes
    -----
    How many lines were lost is written as a line of its own as soon as there is room again.
    """

    __slots__ = (
        "budget",
        "call_later",
        "descriptor",
        "dropped",
        "is_scheduled",
        "read_clock",
        "reported",
        "waiting",
        "waiting_bytes",
    )

    def __init__(self, descriptor, read_clock, call_later):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.read_clock = read_clock
        self.call_later = call_later
        self.budget = LineBudget()
        self.waiting = deque()
        self.waiting_bytes = 0
        self.is_scheduled = False
        self.dropped = 0
        self.reported = 0

    def emit(self, record):
        """Take a log record."""
        try:
            self._take(record)
        except Exception:
            self.handleError(record)

    def _take(self, record):
        is_routine = record.levelno < logging.WARNING
        if is_routine and not self.budget.take(self.read_clock()):
            self.dropped += 1
            return
        data = (self.format(record) + "\n").encode("utf-8", "replace")
        if self.waiting_bytes + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self.waiting.append(data)
        self.waiting_bytes += len(data)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.call_later(FLUSH_S, self.write_waiting)

    def write_waiting(self):
        """Write what the reader takes now, and come back for the rest."""
        self._report_dropped()
        self._write_once()
        self.is_scheduled = bool(self.waiting)
        if self.is_scheduled:
            self.call_later(FLUSH_S, self.write_waiting)

    def _write_once(self):
        data = b"".join(self.waiting)
        lines = len(self.waiting)
        self.waiting.clear()
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; there is no place left to report that.
            self.dropped += lines
            written = len(data)
        if written < len(data):
            self.waiting.append(data[written:])
        self.waiting_bytes = len(data) - written

    def _report_dropped(self):
        lost = self.dropped - self.reported
        if lost and self.waiting_bytes < MAX_WAITING_BYTES // 2:
            self.reported = self.dropped
            record = logging.makeLogRecord(
                {
                    "name": __name__,
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    "msg": f"lines={lost}",
                    "event": "lines_dropped",
                }
            )
            self.emit(record)

    def flush(self):
        """Write what can be written at once, at the end of the process."""
        self._write_once()
