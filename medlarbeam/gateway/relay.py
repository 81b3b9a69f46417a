"""A caller's request at its gateway, and the timers of many of them."""

from heapq import heappop, heappush
from math import inf

from medlarbeam.classes.gateway_effects import RequestMeasured

__all__ = ["Relay", "RelayTimers"]


class Relay:
    """A request between its arrival and the end of its answer.

    Parameters
    ----------
    request : FleetRequest
    route : ServiceRoute
    service : str
    state : str
        Of the chart ``relay``.
    now : float

    Attributes
    ----------
    goal_at : float
        Time (s) until which the beginning of an answer is on time.
    deadline_at : float
        Time (s) at which the caller gets a final answer, whatever has come.
    run_id : str
        Of the present run, "" for none.
    server : ServerEntry or None
        Of the present or the last run.
    sends, runs : int
        Runs that were sent, and those that may have run.
    avoid : set of str
        Backend servers that get it no more.
    is_response_started : bool
        Whether the caller has got a part of the answer.
    error_run_id : str
        Run whose error answer can be passed to the caller, "" for none.
    reason : str
        Why the last run did not serve the caller.
    first_sent_at, response_started_at : float or None
        Times (s) of the first send, and at which the caller's answer began.
    outcome : str
        How it ended, see `RequestMeasured`.
    next_check_at : float
    """

    __slots__ = (
        "arrived_at",
        "deadline_at",
        "error_run_id",
        "excluded",
        "first_sent_at",
        "goal_at",
        "is_response_started",
        "next_check_at",
        "outcome",
        "reason",
        "request",
        "response_started_at",
        "route",
        "run_id",
        "runs",
        "sends",
        "sent_at",
        "server",
        "service",
        "state",
    )

    def __init__(self, request, route, service, state, now):
        self.request = request
        self.route = route
        self.service = service
        self.state = state
        self.arrived_at = now
        self.deadline_at = min(request.deadline, now + route.timeout_s)
        self.goal_at = now + route.aim_s
        self.run_id = ""
        self.server = None
        self.sends = 0
        self.runs = 0
        self.excluded = set()
        self.is_response_started = False
        self.error_run_id = ""
        self.reason = ""
        self.first_sent_at = None
        self.response_started_at = None
        self.outcome = ""
        self.sent_at = -inf
        self.next_check_at = inf

    def record_response_start(self, now):
        """Note that the caller's answer has begun by `now` (s)."""
        if self.response_started_at is None:
            self.response_started_at = now

    def measure(self, now):
        """Return the `RequestMeasured` of a relay that ends at `now` (s)."""
        response_started_at, sent_at = self.response_started_at, self.first_sent_at
        return RequestMeasured(
            self.route.kind,
            self.route.priority,
            self.outcome,
            None if response_started_at is None else response_started_at - self.arrived_at,
            (now if sent_at is None else sent_at) - self.arrived_at,
            self.sends,
        )


class _Timer:
    __slots__ = ("at", "relay")

    def __init__(self, at, relay):
        self.at = at
        self.relay = relay

    def __lt__(self, other):
        return self.at < other.at


class RelayTimers:
    """The times at which relays are looked at again, earliest first."""

    __slots__ = ("heap",)

    def __init__(self):
        self.heap = []

    def set(self, relay, at):
        """Look at `relay` at `at` (s), in place of the time that was set before."""
        relay.next_check_at = at
        if at < inf:
            heappush(self.heap, _Timer(at, relay))

    def next_at(self):
        """Return the earliest time (s), infinity if there is none."""
        while self.heap and self.heap[0].relay.next_check_at != self.heap[0].at:
            heappop(self.heap)
        return self.heap[0].at if self.heap else inf

    def pop_due(self, now):
        """Yield the relays whose time has come."""
        while self.next_at() <= now:
            relay = heappop(self.heap).relay
            relay.next_check_at = inf
            yield relay
