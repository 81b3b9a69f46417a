"""Turns in which connections whose bytes are costly to parse are read."""

from collections import deque

__all__ = ["ReadTurns"]

# A piece of 8 KB in chunks of one byte takes about 2 ms to parse.
CONNECTIONS_PER_TURN = 2


class ReadTurns:
    """Lets connections read one after the other, a few in each turn of the event loop.

    A selector loop reads from every readable connection in a turn, so that many connections with
    costly bytes would delay all other events by the sum of their work.

    Parameters
    ----------
    call_soon : callable
        Schedules a function for the next turn of the event loop.
    """

    __slots__ = ("call_soon", "is_scheduled", "waiting")

    def __init__(self, call_soon):
        self.call_soon = call_soon
        self.waiting = deque()
        self.is_scheduled = False

    def add(self, resume):
        """Call `resume` once it is the turn of this connection."""
        self.waiting.append(resume)
        self._schedule()

    def run(self):
        """Resume the connections of this turn."""
        self.is_scheduled = False
        for _ in range(min(CONNECTIONS_PER_TURN, len(self.waiting))):
            self.waiting.popleft()()
        if self.waiting:
            self._schedule()

    def _schedule(self):
        if not self.is_scheduled:
            self.is_scheduled = True
            self.call_soon(self.run)
