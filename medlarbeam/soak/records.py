"""What the soak notes about requests and disturbances."""

from math import inf

from medlarbeam.classes.record import Record

__all__ = ["BROKEN", "Disturbance", "RequestSeen"]

BROKEN = -1  # status of a request without a complete answer


class RequestSeen(Record):
    """A request of a caller and its answer.

    Parameters
    ----------
    attempt, route, gateway : str
    sent_at, ended_at : float
    status : int
        `BROKEN` where the answer is not complete.
    body : bytes
    is_read : bool
        Whether it was sent on a connection that had been accepted.
    """

    __slots__ = ("attempt", "body", "ended_at", "gateway", "is_read", "route", "sent_at", "status")

    def __init__(self, attempt, route, gateway, sent_at, ended_at, status, body, is_read):
        self.attempt = attempt
        self.route = route
        self.gateway = gateway
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.status = status
        self.body = body
        self.is_read = is_read


class Disturbance(Record):
    """Time (s) in which a target is disturbed: a gateway, a worker or ``store``."""

    __slots__ = ("ended_at", "kind", "since", "target")

    def __init__(self, kind, target, since, ended_at=inf):
        self.kind = kind
        self.target = target
        self.since = since
        self.ended_at = ended_at

    def touches(self, since, until):
        """Return whether it overlaps the span from `since` to `until` (s)."""
        return self.since <= until and self.ended_at >= since
