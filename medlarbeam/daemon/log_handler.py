"""Rate-limited log handler that never blocks on a slow reader of its stream."""

import logging
import os
from collections import deque

__all__ = ["LineRateLimiter", "NonBlockingLogHandler"]

FLUSH_INTERVAL_S = 0.05  # lines of one interval are written with one system call
MAX_PENDING_BYTES = 1 << 20  # memory for lines while the reader of the stream is stalled
# A node at the target size serves about 20 requests per second (docs/CAPACITY.md) with 3 to 6 lines
# each; the limit is about ten times that volume.
MAX_INFO_LINES_PER_S = 1000.0
MAX_INFO_BURST = 3000.0


class LineRateLimiter:
    """Token bucket for lines below the warning level.

    Parameters
    ----------
    rate_per_s, burst : float
    """

    __slots__ = ("burst", "rate_per_s", "refilled_at", "tokens")

    def __init__(self, rate_per_s=MAX_INFO_LINES_PER_S, burst=MAX_INFO_BURST):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0.0

    def acquire(self, now):
        """Take a token and return True, or return False if none is left at `now` (s)."""
        refilled = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refilled)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class NonBlockingLogHandler(logging.Handler):
    """Buffers lines and writes them in batches to a non-blocking file descriptor.

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
        Number of lines dropped since the start: lines below the warning level above the rate
        limit, and lines of any level while the buffer is full.

    Notes
    -----
    The number of dropped lines is logged as a line of its own once the buffer has room again.
    """

    __slots__ = (
        "call_later",
        "descriptor",
        "dropped",
        "is_scheduled",
        "pending",
        "pending_bytes",
        "rate_limiter",
        "read_clock",
        "reported_dropped",
    )

    def __init__(self, descriptor, read_clock, call_later):
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.read_clock = read_clock
        self.call_later = call_later
        self.rate_limiter = LineRateLimiter()
        self.pending = deque()
        self.pending_bytes = 0
        self.is_scheduled = False
        self.dropped = 0
        self.reported_dropped = 0

    def emit(self, record):
        """Queue the line of a log record, or drop it above the limits."""
        try:
            self._enqueue(record)
        except Exception:
            self.handleError(record)

    def _enqueue(self, record):
        is_rate_limited = record.levelno < logging.WARNING
        if is_rate_limited and not self.rate_limiter.acquire(self.read_clock()):
            self.dropped += 1
            return
        data = (self.format(record) + "\n").encode("utf-8", "replace")
        if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.call_later(FLUSH_INTERVAL_S, self.write_pending)

    def write_pending(self):
        """Write as much as the reader accepts now, and schedule a write of the rest."""
        self._report_dropped()
        self._write_available()
        self.is_scheduled = bool(self.pending)
        if self.is_scheduled:
            self.call_later(FLUSH_INTERVAL_S, self.write_pending)

    def _write_available(self):
        data = b"".join(self.pending)
        lines = len(self.pending)
        self.pending.clear()
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the stream, so this cannot be logged either.
            self.dropped += lines
            written = len(data)
        if written < len(data):
            self.pending.append(data[written:])
        self.pending_bytes = len(data) - written

    def _report_dropped(self):
        unreported = self.dropped - self.reported_dropped
        if unreported and self.pending_bytes < MAX_PENDING_BYTES // 2:
            self.reported_dropped = self.dropped
            record = logging.makeLogRecord(
                {
                    "name": __name__,
                    "levelno": logging.WARNING,
                    "levelname": "WARNING",
                    "msg": f"lines={unreported}",
                    "event": "lines_dropped",
                }
            )
            self.emit(record)

    def flush(self):
        """Write what the reader accepts now; called at the end of the process."""
        self._write_available()
