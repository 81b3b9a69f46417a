"""The log handler drops lines above its rate and never blocks on a slow reader."""

import fcntl
import logging
import os

import pytest

from medlarbeam.daemon.log_handler import MAX_PENDING_BYTES, LineRateLimiter, NonBlockingLogHandler

PIPE_BYTES = 4096


class HandlerFixture:
    """A handler on a pipe, with a manual clock and the writes that it has scheduled."""

    __slots__ = ("handler", "now", "reader", "scheduled")

    def __init__(self):
        self.reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.set_blocking(self.reader, False)
        self.now = 100.0
        self.scheduled = []
        self.handler = NonBlockingLogHandler(
            writer, lambda: self.now, lambda s, f: self.scheduled.append(f)
        )

    def write(self, count, level=logging.INFO, text="line"):
        for _ in range(count):
            self.handler.handle(logging.LogRecord("n", level, "", 0, text, (), None))

    def run_scheduled(self):
        """Run the scheduled writes and return what the reader receives."""
        due, self.scheduled[:] = list(self.scheduled), []
        for function in due:
            function()
        try:
            return os.read(self.reader, 1 << 22).decode()
        except BlockingIOError:
            return ""

    def close(self):
        os.close(self.reader)
        os.close(self.handler.descriptor)


@pytest.fixture(name="output")
def make_output():
    output = HandlerFixture()
    yield output
    output.close()


FLOODS = [
    ("info-lines-exceed-the-rate", logging.INFO, 5000, 3000),
    ("rate-drops-warnings", logging.WARNING, 5000, 5000),
]


@pytest.mark.parametrize(
    ("level", "lines", "written"), [f[1:] for f in FLOODS], ids=[f[0] for f in FLOODS]
)
def test_rate_limit_of_stream(output, level, lines, written):
    output.write(lines, level)
    assert output.handler.dropped == lines - written
    text = "".join(output.run_scheduled() for _ in range(100))
    assert text.count("line\n") == written
    assert (f"lines={lines - written}\n" in text) is (written < lines)


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(output):
    output.write(100, logging.WARNING, "x" * 50_000)
    pending = output.handler.pending_bytes
    assert PIPE_BYTES < pending <= MAX_PENDING_BYTES
    output.run_scheduled()
    assert output.handler.dropped == 100 - MAX_PENDING_BYTES // 50_001
    assert output.handler.pending_bytes >= pending - PIPE_BYTES


def test_partially_written_line_is_completed_later(output):
    output.write(1, text="a" * (PIPE_BYTES + 10))
    assert output.run_scheduled() + output.run_scheduled() == "a" * (PIPE_BYTES + 10) + "\n"


def test_closed_reader_raises_no_error():
    output = HandlerFixture()
    os.close(output.reader)
    output.write(2)
    output.handler.write_pending()
    assert output.handler.dropped == 2
    os.close(output.handler.descriptor)


RATE_LIMITS = [
    ("burst-is-not-limited", [0.0] * 3, [True, True, False]),
    ("tokens-are-not-refilled", [0.0, 0.0, 0.0, 1.0], [True, True, False, True]),
    ("backward-clock-refills-tokens", [5.0, 5.0, 1.0], [True, True, False]),
]


@pytest.mark.parametrize(
    ("times", "accepted"), [r[1:] for r in RATE_LIMITS], ids=[r[0] for r in RATE_LIMITS]
)
def test_rate_limiter(times, accepted):
    rate_limiter = LineRateLimiter(rate_per_s=1.0, burst=2.0)
    assert [rate_limiter.acquire(now) for now in times] == accepted
