"""Account of the memory that callers hold, and the limits of each connection.

Nothing here knows of sockets or of the parser: a connection reports what each piece of bytes has
brought, and gets the failure with which it is to be refused.
"""

from collections import deque

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import ErrorKind, Failure, RunState

__all__ = ["CallerAccount", "CallerLimits", "CallerUsage", "PieceReport", "Refusal"]

# Bytes of bodies in bytes of the account: a body is copied once when it is complete.
CONNECTION_BYTES = 12_288  # objects of a connection without a request
HEAD_COPIES = 3  # raw names and values, decoded values, and the copy that is forwarded
# A piece may contain the end of one message and the start of the next, and is counted as a whole.
PIECE_ALLOWANCE_BYTES = 8192
# Chunks of one byte need 5 bytes of framing for each byte of payload.
FRAMING_PER_PAYLOAD_BYTE = 16
# Requests up to this size are closed only when the account is full; larger ones leave them room.
SMALL_BYTES = 131_072
LARGE_SHARE = 0.75
# Largest requests that fit into the account at least, so that one is served under any limits.
MIN_LARGEST_REQUESTS = 4


class CallerLimits(Record):
    """Limits on what callers may hold.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Maximum size of the head and of the body of a request, by the configuration.
    account_bytes : int
        Size of the account of all connections.
    """

    __slots__ = ("account_bytes", "body_bytes", "head_bytes")

    def __init__(self, head_bytes, body_bytes, account_bytes):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.account_bytes = account_bytes

    def total_bytes(self):
        """Return the size of the account, in which a few of the largest requests fit."""
        largest = self.body_bytes + HEAD_COPIES * self.head_bytes
        return max(self.account_bytes, MIN_LARGEST_REQUESTS * largest)


class PieceReport(Record):
    """What a piece of bytes from a caller has brought.

    Parameters
    ----------
    size : int
        Size of the piece (bytes).
    heads : int
        Number of heads that it completed.
    payload_bytes : int
        Bytes of payload of the last request so far.
    is_complete : bool
        Whether no part of the last request is missing.
    """

    __slots__ = ("heads", "is_complete", "payload_bytes", "size")

    def __init__(self, size, heads, payload_bytes, is_complete):
        self.size = size
        self.heads = heads
        self.payload_bytes = payload_bytes
        self.is_complete = is_complete


class Refusal(Record):
    """Refusal of a request that is incomplete and will therefore never run.

    Parameters
    ----------
    failure : Failure
    is_answerable : bool
        Whether the response to the request is the next one on its connection.
    """

    __slots__ = ("failure", "is_answerable")

    def __init__(self, failure, is_answerable):
        self.failure = failure
        self.is_answerable = is_answerable


class CallerUsage:
    """What one connection holds.

    Parameters
    ----------
    connection : object
        Connection that the account names when it is to be closed.
    state : str
        State of the chart ``caller_connection``.

    Attributes
    ----------
    head_bytes : int
        Bytes of an incomplete head.
    framing_bytes : int
        Bytes of the last request behind its head that are no payload.
    framing_run : int
        Those of them since the last byte of payload.
    payload_bytes : int
        Bytes of payload of the last request.
    request_bytes : collections.deque of int
        Memory of the requests without a response, in order.
    unread_bytes : int
        Bytes of responses that the caller does not read.
    """

    __slots__ = (
        "connection",
        "framing_bytes",
        "framing_run",
        "head_bytes",
        "held_bytes",
        "payload_bytes",
        "request_bytes",
        "state",
        "unread_bytes",
    )

    def __init__(self, connection, state):
        self.connection = connection
        self.state = state
        self.head_bytes = 0
        self.framing_bytes = 0
        self.framing_run = 0
        self.payload_bytes = 0
        self.request_bytes = deque()
        self.unread_bytes = 0
        self.held_bytes = 0

    def count_held(self):
        """Return the memory (bytes) that the connection holds."""
        requests = sum(self.request_bytes)
        return CONNECTION_BYTES + HEAD_COPIES * self.head_bytes + requests + self.unread_bytes


class CallerAccount:
    """Counts what callers hold, and decides which connections are refused or closed.

    Parameters
    ----------
    read_limits : callable
        Returns the `CallerLimits` in force.

    Attributes
    ----------
    usages : dict
        Usages of the open connections as keys, the oldest first.
    held_bytes : int
        Memory that all connections hold.
    refused_count : int
        Connections that were refused or closed since the start.
    """

    __slots__ = ("chart", "held_bytes", "read_limits", "refused_count", "usages")

    def __init__(self, read_limits):
        self.chart = load_chart("caller_connection", CallerAccount)
        self.read_limits = read_limits
        self.usages = {}
        self.held_bytes = 0
        self.refused_count = 0

    def open(self, connection):
        """Return the `CallerUsage` of a new connection."""
        usage = CallerUsage(connection, self.chart.initial)
        self.usages[usage] = None
        self._update(usage)
        return usage

    def close(self, usage):
        """Forget a connection that is closed."""
        if usage in self.usages:
            del self.usages[usage]
            self.held_bytes -= usage.held_bytes

    def record_piece(self, usage, piece):
        """Record a `PieceReport`; return the `Refusal` of a connection beyond its limits."""
        if self.chart.has_tag(usage, "refused"):
            return None
        if piece.heads:
            self._begin_request(usage, piece)
        elif self.chart.has_tag(usage, "framed"):
            self._continue_body(usage, piece)
        elif piece.size:
            self.chart.fire(usage, "bytes_arrived")
            usage.head_bytes += piece.size
        if piece.is_complete:
            self.chart.fire(usage, "message_complete")
        self._update(usage)
        return self._check_limits(usage)

    def _begin_request(self, usage, piece):
        self.chart.fire(usage, "head_parsed")
        size = HEAD_COPIES * piece.size // piece.heads
        usage.request_bytes.extend([size] * piece.heads)
        usage.request_bytes[-1] += HEAD_COPIES * usage.head_bytes
        usage.head_bytes = usage.framing_bytes = usage.framing_run = 0
        usage.payload_bytes = piece.payload_bytes

    def _continue_body(self, usage, piece):
        grown = piece.payload_bytes - usage.payload_bytes
        usage.payload_bytes = piece.payload_bytes
        # Bytes that the parser left over are counted before they are found to be payload.
        usage.framing_bytes = max(0, usage.framing_bytes + piece.size - grown)
        usage.framing_run = usage.framing_run + piece.size if not grown else 0
        if usage.request_bytes:  # none once the request has its response, as one too long
            usage.request_bytes[-1] += grown

    def _check_limits(self, usage):
        limits = self.read_limits()
        section = limits.head_bytes + PIECE_ALLOWANCE_BYTES
        if usage.head_bytes > section:
            return self.refuse(usage, "the head of the request is too long")
        if usage.framing_run > section:
            return self.refuse(usage, "the trailers or extensions of the body are too long")
        if usage.framing_bytes > section + FRAMING_PER_PAYLOAD_BYTE * usage.payload_bytes:
            return self.refuse(usage, "the framing of the body is too long")
        return None

    def refuse(self, usage, reason, kind=ErrorKind.INVALID_REQUEST):
        """Return the `Refusal` of an incomplete request, of which nothing is used any more."""
        incomplete = 1 if self.chart.has_tag(usage, "framed") else 0
        is_next = len(usage.request_bytes) == incomplete
        is_answerable = is_next and self.chart.has_tag(usage, "incomplete")
        self.chart.fire(usage, "limit_exceeded")
        self.refused_count += 1
        self.close(usage)
        return Refusal(Failure(kind, reason, RunState.NOT_RUN), is_answerable)

    def record_response(self, usage):
        """Record that the response to the first request is decided."""
        if usage.request_bytes:
            usage.request_bytes.popleft()
            self._update(usage)

    def record_unread(self, usage, size):
        """Record how many bytes (`size`) of responses the caller does not read."""
        usage.unread_bytes = size
        self._update(usage)

    def is_in_service(self, usage):
        """Return whether a request of the connection is complete and has no response yet."""
        return len(usage.request_bytes) > (1 if self.chart.has_tag(usage, "framed") else 0)

    def _update(self, usage):
        if usage not in self.usages:
            return
        held = usage.count_held()
        self.held_bytes += held - usage.held_bytes
        usage.held_bytes = held

    def count_reclaimable(self, usage):
        """Return the memory (bytes) of a connection beside that of a request in service."""
        if self.chart.has_tag(usage, "refused"):
            return 0
        if self.is_in_service(usage):
            return usage.held_bytes - usage.request_bytes[0] - CONNECTION_BYTES
        return usage.held_bytes

    def select_excess(self):
        """Return ``(usage, refusal)`` of the connection to close next, None if there is room."""
        total = self.read_limits().total_bytes()
        if self.held_bytes <= LARGE_SHARE * total:
            return None
        dearest = max(self.usages, key=self.count_reclaimable)
        size = self.count_reclaimable(dearest)
        if not size or (size <= SMALL_BYTES and self.held_bytes <= total):
            return None
        return dearest, self.refuse(dearest, "callers hold too much memory", ErrorKind.OVERLOADED)
