"""Pace at which the stream of one peer is read, so that its processing leaves time for others."""

__all__ = ["ReadPacing"]

# A token of text comes every 40 ms, so that sound streams have some 25 events a second; the rest is
# margin, and the burst allows for events that have piled up. An event takes about 2 us.
EVENTS_PER_S = 2000.0
BURST_EVENTS = 2000.0
# Bytes that take as long as one event: of the text, and of what frames it, such as the length of
# each chunk of a body.
TEXT_BYTES_PER_EVENT = 16384
FRAMING_BYTES_PER_EVENT = 32
# Text that may have been received and wait to be read: aiohttp stops reading above 512 KiB, after a
# read of 256 KiB at most.
READ_AHEAD_BYTES = 768 << 10


class ReadPacing:
    """Token bucket over the work that one stream causes, counted in events.

    Parameters
    ----------
    now : float
        Monotonic time (s).

    Notes
    -----
    The stream of a sound backend server stays far below the rate. Reading a faster one is delayed,
    not ended: the peer notices it as backpressure.
    """

    __slots__ = ("available", "framing_bytes", "text_bytes", "updated_at")

    def __init__(self, now):
        self.available = BURST_EVENTS
        self.framing_bytes = 0
        self.text_bytes = 0
        self.updated_at = now

    def record(self, event_count, text_bytes, received_bytes, now):
        """Record a block and return the time (s) to wait before the next one is read.

        Parameters
        ----------
        event_count, text_bytes : int
            Events that the block has completed, and its size without framing.
        received_bytes : int
            Bytes that have come from the network since the start of the stream.
        now : float
            Monotonic time (s).
        """
        work = event_count + text_bytes / TEXT_BYTES_PER_EVENT
        self.text_bytes += text_bytes
        framing_bytes = received_bytes - self.text_bytes - READ_AHEAD_BYTES
        work += max(0, framing_bytes - self.framing_bytes) / FRAMING_BYTES_PER_EVENT
        self.framing_bytes = max(self.framing_bytes, framing_bytes)
        refill = (now - self.updated_at) * EVENTS_PER_S
        self.available = min(BURST_EVENTS, self.available + refill) - work
        self.updated_at = now
        return max(0.0, -self.available / EVENTS_PER_S)
