"""Backend servers that crash when they have to refuse too many requests for lack of room."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.node.component import Component

__all__ = ["RefusalLimits"]

NAMED_S = 5.0  # after the last answer that names a limit, until it counts as ended
MIN_BACKOFF_S = 1.0  # servers count refusals over a second
MAX_BACKOFF_S = 5.0
MIN_LIMIT = 0.5  # refusals per second; a server may name 0
USED_SHARE = 0.5  # of a limit; the rest covers refusals that are on their way


class RefusalLimit:
    """Limit that the backend servers of a service name: refusals per second, valid until a time."""

    __slots__ = ("rate", "valid_until")

    def __init__(self):
        self.rate = inf
        self.valid_until = -inf


class RefusalLimits(Component):
    """Keeps requests away from servers that might refuse them, while their service names a limit.

    Each node has an equal share of the places of a server, at least one, and uses it only while
    the server has free places as far as it knows. After a refusal the node sends it nothing, for so
    long that all nodes together stay below the limit.

    Attributes
    ----------
    limits : dict of str to RefusalLimit
        By service.
    resume_at : dict of str to float
        Time (s) from which a server that has refused a request is used again.
    """

    __slots__ = ("limits", "resume_at")

    def __init__(self, node):
        super().__init__(node)
        self.limits = {}
        self.resume_at = {}

    def is_limited(self, service, now):
        """Return whether the backend servers of `service` name a limit."""
        limit = self.limits.get(service)
        return limit is not None and limit.valid_until > now

    def count_limited(self, now):
        """Return the number of services whose backend servers name a limit."""
        return sum(1 for service in self.limits if self.is_limited(service, now))

    def observe(self, entry, rate, now, out):
        """Record the limit in an answer of a backend server; None if it names none."""
        if rate is None:
            return
        limit = self.limits.setdefault(entry.service, RefusalLimit())
        if not self.is_limited(entry.service, now):
            out.emit(LogEvent("refusals_limited", f"service={entry.service} per_s={rate}"))
            self.resume_at.clear()
        limit.rate = rate
        limit.valid_until = now + NAMED_S

    def record_refusal(self, entry, now):
        """Record that a backend server has refused a request for lack of room."""
        if self.is_limited(entry.service, now):
            share = USED_SHARE * max(MIN_LIMIT, self.limits[entry.service].rate)
            backoff_s = max(1, len(self.node.fleet.nodes)) / share
            backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, backoff_s))
            self.resume_at[entry.name] = now + backoff_s

    def may_send(self, entry, now):
        """Return whether a backend server may get a request without the risk of a refusal."""
        if not self.limits or not self.is_limited(entry.service, now):
            return True
        if self.resume_at.get(entry.name, -inf) > now:
            return False
        places = max(1, entry.concurrency // max(1, len(self.node.fleet.nodes)))
        health = self.node.health
        return health.count_runs(entry.name) < places and health.occupancy(entry, now) < 1.0

    def tick(self, now, out):
        """Do nothing; limits are compared with the time when they are used."""
