"""Times of the events of one stream, as seen by the node that relays it."""

__all__ = ["StreamTiming"]


class StreamTiming:
    """Times at which the events of a stream reached this node and left it.

    Parameters
    ----------
    started_at : float
        Time (s) at which the first run of the stream was sent.

    Attributes
    ----------
    first_event_s : float or None
        Time from the start to the first event.
    longest_pause_s : float
        Longest time without an event from the backend server, after the first one.
    pause_after_event : int
        Id of the event before that pause.
    longest_write_s : float
        Longest time for which the caller's connection accepted no more data.
    last_event_at : float or None
        Time (s) of the last event.
    """

    __slots__ = (
        "first_event_s",
        "last_event_at",
        "longest_pause_s",
        "longest_write_s",
        "pause_after_event",
        "started_at",
    )

    def __init__(self, started_at):
        self.started_at = started_at
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.pause_after_event = 0
        self.longest_write_s = 0.0
        self.last_event_at = None

    def record_event(self, last_event, now):
        """Record that events arrived at `now` (s); `last_event` is the id of the one before."""
        if self.last_event_at is None:
            self.first_event_s = now - self.started_at
        elif now - self.last_event_at > self.longest_pause_s:
            self.longest_pause_s = now - self.last_event_at
            self.pause_after_event = last_event
        self.last_event_at = now

    def record_write(self, write_s):
        """Record that a write to the caller took `write_s`, which is no pause of the server."""
        self.longest_write_s = max(self.longest_write_s, write_s)
        self.last_event_at += write_s

    def describe(self):
        """Return the times as fields of a log line."""
        if self.first_event_s is None:
            return "first_event_s=none"
        return (
            f"first_event_s={self.first_event_s:.3f} longest_pause_s={self.longest_pause_s:.3f} "
            f"pause_after={self.pause_after_event} longest_write_s={self.longest_write_s:.3f}"
        )
