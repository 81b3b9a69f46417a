"""Records of requests and injected faults, evaluated by the checker."""

from math import inf

from medlarbeam.classes.record import Record

__all__ = [
    "FAULT_FREE_S",
    "INCOMPLETE",
    "STORE_KINDS",
    "EndTime",
    "FaultInterval",
    "RequestRecord",
    "SentRequest",
]

INCOMPLETE = -1  # status of a request that got no complete response
FAULT_FREE_S = 3.0  # time bounds are checked only after this long without a relevant fault
STORE_KINDS = {"store", "store_link", "store_loss", "store_set_back"}


class SentRequest(Record):
    """A request as its caller sent it.

    Parameters
    ----------
    method, target : str
    headers : list of tuple
        ``(name, value)``, also repeated ones.
    body : bytes
    """

    __slots__ = ("body", "headers", "method", "target")

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def read_values(self, name):
        """Return the values of all headers called `name`, which is compared without case."""
        return [value for field, value in self.headers if field.lower() == name.lower()]

    def find_key(self):
        """Return the key of the request, None if it has none or several."""
        keys = self.read_values("X-Key")
        return keys[0] if len(keys) == 1 else None


class RequestRecord(Record):
    """A request of a caller and its response.

    Parameters
    ----------
    attempt, route, gateway : str
    sent_at, ended_at : float
    status : int
        HTTP status, or `INCOMPLETE` if the response was not complete.
    body : bytes
    headers_sent : bool
        Whether the request headers were sent, that is, whether a connection was established.
    sent : SentRequest or None
        The request itself, None if it was not kept.
    """

    __slots__ = (
        "attempt",
        "body",
        "ended_at",
        "gateway",
        "headers_sent",
        "route",
        "sent",
        "sent_at",
        "status",
    )

    def __init__(
        self, attempt, route, gateway, sent_at, ended_at, status, body, headers_sent, sent=None
    ):
        self.attempt = attempt
        self.route = route
        self.gateway = gateway
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.status = status
        self.body = body
        self.headers_sent = headers_sent
        self.sent = sent


class EndTime(Record):
    """Time (s) at which callers stop; it may be put off while they run."""

    __slots__ = ("at",)

    def __init__(self, at):
        self.at = at


class FaultInterval(Record):
    """Period (s) in which a fault affects a target: a gateway, a worker or ``store``."""

    __slots__ = ("ended_at", "kind", "since", "target")

    def __init__(self, kind, target, since, ended_at=inf):
        self.kind = kind
        self.target = target
        self.since = since
        self.ended_at = ended_at

    def overlaps(self, since, until):
        """Return whether the fault overlaps the period from `since` to `until` (s)."""
        return self.since <= until and self.ended_at >= since
