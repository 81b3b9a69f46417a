"""State of a relayed request, and the timer queue of all relays."""

from heapq import heappop, heappush
from math import inf

from medlarbeam.classes.fleet import RouteKind
from medlarbeam.classes.gateway_effects import RecordRequestMetrics
from medlarbeam.exceptions import ErrorKind

__all__ = ["RETRY_AFTER_S", "ElapsedTimes", "Relay", "RelayTimers"]

RETRY_AFTER_S = 0.2  # until the caller of a refused request should return
MAX_WAIT_SHARE = 0.5  # of the time to the deadline; a late request that waits longer is refused


class Relay:
    """A caller's request from its arrival to the end of its response.

    Parameters
    ----------
    request : GatewayRequest
    route : ServiceRoute
    service : str
    organisation : str
        Name of the organisation on whose behalf the request runs, "" for none.
    state : str
        State of the chart ``relay``.
    now : float

    Attributes
    ----------
    goal_at : float
        Time (s) by which the response should start to meet the latency goal of the route.
    deadline_at : float
        Time (s) at which the caller gets a final response in any case.
    run_id : str
        Id of the current run, "" for none.
    software : str or None
        Software version of the backend servers that may run the request, None for any; a stream
        goes on only at the version that has begun it.
    server : ServerRegistration or None
        Backend server of the current or the last run.
    sends, runs : int
        Number of runs that were sent, and of those that may have been executed.
    excluded : set of str
        Names of backend servers that must not get the request again.
    refused_by : set of str
        Names of backend servers that have refused the request.
    paused_by : set of str
        Names of backend servers that have refused the request and asked for a pause.
    retry_after_s : float
        Time (s) after which the caller of a refused request may return, 0 to name none.
    nodes : set of str
        Names of the nodes to which the request was forwarded.
    is_response_started : bool
        Whether the caller has received a part of the response.
    error_run_id : str
        Id of the run whose error response can be passed to the caller, "" for none.
    reason : str
        Why the last run did not serve the caller.
    first_sent_at, response_started_at : float or None
        Times (s) of the first send and of the start of the response to the caller.
    timing : StreamTiming or None
        Times of the events of a stream that was served.
    outcome : str
        Result of the request, see `RecordRequestMetrics`.
    next_check_at : float
        Time (s) of the valid timer of the relay.
    connected_at : float
        Time (s) at which the connection of the current run was established, infinity before its
        first event.
    copy_needed_at : float or None
        Time (s) up to which the copy of the store must be known before the stream may go on.
    refusal_kind : ErrorKind
        Kind of the failure if the request is not sent.
    priority : int
        Priority at backend servers, 0 is the most urgent.
    quota_cost : float
        What was counted against the quota of the organisation.
    is_abandoned : bool
        Whether its caller disconnected while it waited for credit.
    """

    __slots__ = (
        "arrived_at",
        "connected_at",
        "copy_needed_at",
        "deadline_at",
        "error_run_id",
        "excluded",
        "first_sent_at",
        "goal_at",
        "is_abandoned",
        "is_response_started",
        "next_check_at",
        "nodes",
        "organisation",
        "outcome",
        "paused_by",
        "priority",
        "quota_cost",
        "reason",
        "refusal_kind",
        "refused_by",
        "request",
        "response_started_at",
        "retry_after_s",
        "route",
        "run_id",
        "runs",
        "sends",
        "sent_at",
        "server",
        "service",
        "software",
        "state",
        "timing",
    )

    def __init__(self, request, route, service, organisation, state, now):
        self.request = request
        self.route = route
        self.service = service
        self.organisation = organisation
        self.state = state
        self.arrived_at = now
        self.deadline_at = min(request.deadline, now + route.timeout_s)
        self.goal_at = now + route.latency_goal_s
        self.run_id = ""
        self.server = None
        self.software = None
        self.sends = 0
        self.runs = request.runs_elsewhere or 0
        self.excluded = set()
        self.refused_by = set()
        self.paused_by = set()
        self.nodes = set()
        self.retry_after_s = RETRY_AFTER_S
        self.is_response_started = False
        self.error_run_id = ""
        self.reason = ""
        self.first_sent_at = None
        self.response_started_at = None
        self.outcome = ""
        self.timing = None
        self.sent_at = -inf
        self.next_check_at = inf
        self.connected_at = inf
        self.copy_needed_at = None
        self.refusal_kind = ErrorKind.NO_SERVER
        self.priority = route.priority
        self.quota_cost = 0.0
        self.is_abandoned = False

    def find_wait_limit(self):
        """Return the time (s) until which the request may wait for a backend server."""
        if self.runs or self.is_response_started:
            return self.deadline_at
        share = MAX_WAIT_SHARE * (self.deadline_at - self.arrived_at)
        return min(self.deadline_at, max(self.goal_at, self.arrived_at + share))

    def record_response_start(self, now):
        """Record that the response to the caller has started by `now` (s)."""
        if self.response_started_at is None:
            self.response_started_at = now

    def has_run_written(self):
        """Return whether the current run has written an answer, and not only ended a stream.

        The rest of a stream may be empty, which does not show what a server would write.
        """
        return self.route.kind is not RouteKind.STREAM or self.connected_at < inf

    def may_use(self, entry):
        """Return whether the backend server of a `ServerRegistration` may run the request."""
        return self.software is None or entry.software == self.software

    def describe_service(self, message, now):
        """Return the fields of a request that was served as text for a log line.

        Parameters
        ----------
        message : RunCompleted
        now : float
        """
        timing = f" {message.timing.describe()}" if message.timing is not None else ""
        return (
            f"run={self.run_id} server={self.server.name} software={self.server.software} "
            f"status={message.status} sends={self.sends} "
            f"total_s={now - self.arrived_at:.3f}{timing}"
        )

    def describe_send(self, now):
        """Return the fields of the current run as text for a log line."""
        server, request = self.server, self.request
        return (
            f"run={self.run_id} server={server.name} software={server.software} "
            f"route={self.route.name} organisation={self.organisation} tokens={request.tokens} "
            f"resumes={request.resumed_attempt} "
            f"adapter={request.key} send={self.sends} "
            f"waited_s={now - self.arrived_at:.3f} attempt={request.attempt_id} "
            f"parts={','.join(request.shared_parts)}"
        )

    def describe_stream_start(self, message, fleet, now):
        """Return as text what attributes the first event of a stream to a start of its server.

        Parameters
        ----------
        message : RunStarted
        fleet : FleetState
        now : float
        """
        known = fleet.servers.get(self.server.name)
        start = self.server.started_at_ms
        is_current = known is not None and known.entry.started_at_ms == start
        known_s = f"{now - known.known_at:.3f}" if is_current else "replaced"
        return (
            f"run={self.run_id} server={self.server.name} software={self.server.software} "
            f"start={start} start_known_s={known_s} connected_s={now - message.connected_at:.3f} "
            f"store_copy_s={now - fleet.copied_at:.3f} attempt={self.request.attempt_id} "
            f"resumes={self.request.resumed_attempt}"
        )

    def may_have_run(self):
        """Return whether a backend server may have run the request here or at another node."""
        return bool(self.runs) or self.outcome == "served"

    def measure_refusal(self, failure, now):
        """Return the `RecordRequestMetrics` of a request that is refused before it is opened."""
        self.outcome = failure.kind.value
        return self.measure(now)

    def measure(self, now):
        """Return the `RecordRequestMetrics` of a request that ends at `now` (s)."""
        started_at, sent_at = self.response_started_at, self.first_sent_at
        return RecordRequestMetrics(
            self.route.kind,
            self.route.priority,
            self.outcome,
            None if started_at is None else started_at - self.arrived_at,
            (now if sent_at is None else sent_at) - self.arrived_at,
            self.sends,
            self.timing.longest_pause_s if self.timing is not None else None,
            self.organisation,
            self.request.tokens,
        )


class ElapsedTimes:
    """Estimates how long callers have waited already, by the longest timeout on each route."""

    __slots__ = ("longest_timeouts",)

    def __init__(self):
        self.longest_timeouts = {}

    def estimate(self, relay, now):
        """Return the time (s) that the caller has spent on earlier attempts.

        Assumes equal timeouts for the callers of a route, and retries with the remaining time.
        """
        name = relay.route.name
        left_s = relay.request.deadline - now
        longest_s = max(left_s, self.longest_timeouts.get(name, 0.0))
        self.longest_timeouts[name] = longest_s
        return longest_s - left_s


class _Timer:
    __slots__ = ("at", "relay")

    def __init__(self, at, relay):
        self.at = at
        self.relay = relay

    def __lt__(self, other):
        return self.at < other.at


class RelayTimers:
    """Timer queue of relays, earliest first; a timer that was replaced stays in it as stale."""

    __slots__ = ("heap",)

    def __init__(self):
        self.heap = []

    def set(self, relay, at):
        """Set the timer of `relay` to `at` (s), replacing an earlier one."""
        relay.next_check_at = at
        if at < inf:
            heappush(self.heap, _Timer(at, relay))

    def advance(self, relays, at):
        """Set the timers of `relays` that would expire later to `at` (s)."""
        for relay in relays:
            if relay.next_check_at > at:
                self.set(relay, at)

    def next_at(self):
        """Return the time (s) of the earliest timer, infinity if there is none."""
        while self.heap and self.heap[0].relay.next_check_at != self.heap[0].at:
            heappop(self.heap)
        return self.heap[0].at if self.heap else inf

    def pop_due(self, now):
        """Yield the relays whose timers have expired."""
        while self.next_at() <= now:
            relay = heappop(self.heap).relay
            relay.next_check_at = inf
            yield relay
