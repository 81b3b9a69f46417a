"""The log handler that bounds its volume and never waits for its reader."""

import fcntl
import logging
import os

import pytest

from medlarbeam.daemon.line_stream import MAX_WAITING_BYTES, LineBudget, LineStream

PIPE_BYTES = 4096


class Logged:
    """A `LineStream` on a pipe, with a clock and the writes that it has scheduled."""

    __slots__ = ("now", "reader", "scheduled", "stream")

    def __init__(self):
        self.reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.set_blocking(self.reader, False)
        self.now = 100.0
        self.scheduled = []
        self.stream = LineStream(writer, lambda: self.now, lambda s, f: self.scheduled.append(f))

    def write(self, count, level=logging.INFO, text="line"):
        for _ in range(count):
            self.stream.handle(logging.LogRecord("n", level, "", 0, text, (), None))

    def turn(self):
        """Carry out the scheduled writes and return what the reader gets."""
        due, self.scheduled[:] = list(self.scheduled), []
        for function in due:
            function()
        try:
            return os.read(self.reader, 1 << 22).decode()
        except BlockingIOError:
            return ""

    def close(self):
        os.close(self.reader)
        os.close(self.stream.descriptor)


@pytest.fixture(name="logged")
def make_logged():
    logged = Logged()
    yield logged
    logged.close()


FLOODS = [
    ("flood-of-routine-lines-is-bounded", logging.INFO, 5000, 3000),
    ("warnings-are-not-dropped-by-the-rate", logging.WARNING, 5000, 5000),
]


@pytest.mark.parametrize(
    ("level", "lines", "kept"), [f[1:] for f in FLOODS], ids=[f[0] for f in FLOODS]
)
def test_lines_above_the_rate(logged, level, lines, kept):
    logged.write(lines, level)
    assert logged.stream.dropped == lines - kept
    text = "".join(logged.turn() for _ in range(100))
    assert text.count("line\n") == kept
    assert (f"lines={lines - kept}\n" in text) is (kept < lines)


def test_reader_that_stands_still_blocks_nothing_and_loses_counted_lines(logged):
    logged.write(100, logging.WARNING, "x" * 50_000)
    waiting = logged.stream.waiting_bytes
    assert PIPE_BYTES < waiting <= MAX_WAITING_BYTES
    logged.turn()
    assert logged.stream.dropped == 100 - MAX_WAITING_BYTES // 50_001
    assert logged.stream.waiting_bytes >= waiting - PIPE_BYTES


def test_line_cut_by_a_full_pipe_is_completed_later(logged):
    logged.write(1, text="a" * (PIPE_BYTES + 10))
    assert logged.turn() + logged.turn() == "a" * (PIPE_BYTES + 10) + "\n"


def test_closed_reader_does_not_raise():
    logged = Logged()
    os.close(logged.reader)
    logged.write(2)
    logged.stream.write_waiting()
    assert logged.stream.dropped == 2
    os.close(logged.stream.descriptor)


RATES = [
    ("burst-is-allowed", [0.0] * 3, [True, True, False]),
    ("time-allows-another", [0.0, 0.0, 0.0, 1.0], [True, True, False, True]),
    ("clock-that-goes-back-gives-nothing", [5.0, 5.0, 1.0], [True, True, False]),
]


@pytest.mark.parametrize(("times", "taken"), [r[1:] for r in RATES], ids=[r[0] for r in RATES])
def test_rate_of_lines(times, taken):
    budget = LineBudget(rate_per_s=1.0, burst=2.0)
    assert [budget.take(now) for now in times] == taken
