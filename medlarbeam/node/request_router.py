"""Requests of this node's callers, from admission to response."""

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent, ResponseChunk, ResponseEnd, ResponseStart, SendPeer
from medlarbeam.classes.messages import CallerDisconnected, CallerRequest, PeerDown, SendFailed
from medlarbeam.classes.peer_messages import AttemptChunk, AttemptEnd, CancelAttempt, Forward
from medlarbeam.exceptions import ERROR_RESPONSES, ErrorKind, Failure, RunState
from medlarbeam.node.chunk_reorder_buffer import ChunkReorderBuffer
from medlarbeam.node.component import ClaimOutcome, Requests

__all__ = ["OpenRequest", "RequestRouter"]

SCAN_INTERVAL_S = 0.1  # resolution of deadlines and retries
DEADLINE_GRACE_S = 0.25  # wait past the deadline for the end of a running attempt
RETRY_BASE_S = 0.02
RETRY_LIMIT_S = 0.5


class OpenRequest:
    """A request without a complete response, and its current attempt.

    Parameters
    ----------
    request : Request
    state : str
        State in the chart ``request``.

    Attributes
    ----------
    chunk_buffer : ChunkReorderBuffer
    attempt : int
        Number of the last attempt, 0 before the first one.
    claimed : bool
        Whether the request has a claim whose outcome is not reported yet.
    domain : str
        Failure domain of the backend server of the attempt.
    end : AttemptEnd or ClaimOutcome or None
        End of the attempt, or the recorded outcome of an earlier request.
    failure : Failure or None
        Last failure.
    load_wait_s : float
        Time (s) that all attempts waited for loads.
    logged_kind : ErrorKind or None
        Kind of the failure that was logged last.
    model : str
        Model of the attempt.
    models : list of str
        Acceptable models that are in the catalog.
    refused_attempts : int
        Number of attempts that met a handover and do not count towards the maximum.
    response_started : bool
        Whether text of `model` was sent to the caller; no other model may continue it.
    run_state : RunState
        Combined over all attempts.
    server, target : str
        Backend server of the attempt and the node that it was sent to; `target` is "" while no
        attempt is open.
    tried_servers : set of str
    """

    __slots__ = (
        "attempt",
        "chunk_buffer",
        "claimed",
        "domain",
        "end",
        "failure",
        "load_wait_s",
        "logged_kind",
        "model",
        "models",
        "refused_attempts",
        "request",
        "response_started",
        "retry_at",
        "run_state",
        "server",
        "state",
        "target",
        "tried_servers",
    )

    def __init__(self, request, state):
        self.request = request
        self.state = state
        self.chunk_buffer = ChunkReorderBuffer()
        self.attempt = 0
        self.claimed = False
        self.domain = ""
        self.end = None
        self.failure = None
        self.load_wait_s = 0.0
        self.model = ""
        self.models = []
        self.refused_attempts = 0
        self.response_started = False
        self.logged_kind = None
        self.retry_at = 0.0
        self.run_state = RunState.NOT_RUN
        self.server = ""
        self.target = ""
        self.tried_servers = set()


class RequestRouter(Requests):
    """Admits requests, routes their attempts and assembles the responses.

    Parameters
    ----------
    node : Node
    routing : RoutingPolicy
    budget : RetryBudget
    """

    __slots__ = ("attempts_by_server", "budget", "chart", "next_scan", "open", "routing")

    def __init__(self, node, routing, budget):
        super().__init__(node)
        self.routing = routing
        self.budget = budget
        self.chart = load_chart("request", RequestRouter)
        self.open = {}
        self.attempts_by_server = {}  # number of open attempts, by server name
        self.next_scan = float("inf")

    def handlers(self):
        """Return the handlers by message class."""
        return {
            CallerRequest: self.handle_request,
            CallerDisconnected: self.handle_caller_disconnected,
            PeerDown: self.handle_peer_down,
            SendFailed: self.handle_send_failed,
        }

    def peer_handlers(self):
        """Return the handlers by peer message class."""
        return {AttemptChunk: self.handle_chunk, AttemptEnd: self.handle_end}

    def open_count(self):
        """Return the number of requests without a complete response."""
        return len(self.open)

    # Messages

    def handle_request(self, message, now, out):
        """Admit a request, or refuse it."""
        request = message.request
        entry = OpenRequest(request, self.chart.initial)
        self.open[request.request_id] = entry
        self.next_scan = min(self.next_scan, now + SCAN_INTERVAL_S)
        entry.failure = self._check(request, now)
        if entry.failure is not None:
            self._fire(entry, "refused", now, out)
        elif request.non_idempotent:
            entry.claimed = True
            self._fire(entry, "claim", now, out)
            self.node.claims.begin(request, now, out)
        else:
            self._fire(entry, "start", now, out)

    def _check(self, request, now):
        if not self.node.lifecycle.is_accepting():
            return Failure(ErrorKind.SHUTTING_DOWN, "this node accepts no new requests")
        if not request.service and not request.models:
            return Failure(ErrorKind.INVALID_REQUEST, "the request names no model")
        return self.node.crashes.check(request, now)

    def handle_caller_disconnected(self, message, now, out):
        """Cancel a request whose caller has closed the connection."""
        entry = self.open.get(message.request_id)
        if entry is not None:
            self._fire(entry, "caller_disconnected", now, out)

    def handle_peer_down(self, message, now, out):
        """Fail the attempts that were sent to a peer whose link broke."""
        failure = Failure(ErrorKind.PEER_LOST, f"the link to node {message.node} broke")
        for entry in self._list_attempts_at(message.node):
            self._fail_attempt(entry, failure, now, out)

    def handle_send_failed(self, message, now, out):
        """Fail an attempt whose `Forward` was not sent."""
        forward = message.body
        entry = self._find(message.node, forward.request.request_id, forward.attempt)
        if entry is not None:
            reason = f"the request could not be sent to node {message.node}"
            failure = Failure(ErrorKind.PEER_LOST, reason, RunState.NOT_RUN)
            self._fail_attempt(entry, failure, now, out)

    def _list_attempts_at(self, target):
        entries = [e for e in self.open.values() if e.target == target]
        return [e for e in entries if self.chart.has_tag(e, "attempt")]

    def claim_granted(self, request_id, now, out):
        """Route a request whose claim was granted."""
        entry = self.open.get(request_id)
        if entry is not None:
            self._fire(entry, "granted", now, out)

    def claim_replayed(self, request_id, outcome, now, out):
        """Respond with the recorded outcome of an earlier request."""
        entry = self.open.get(request_id)
        if entry is not None:
            entry.claimed = False
            entry.end = outcome
            self._fire(entry, "replayed", now, out)

    def claim_refused(self, request_id, failure, now, out):
        """Respond with the failure of the claim."""
        entry = self.open.get(request_id)
        if entry is not None:
            entry.claimed = False
            entry.failure = failure
            self._fire(entry, "refused", now, out)

    def handle_chunk(self, sender, chunk, now, out):
        """Add a chunk to the response; chunks of other attempts are dropped."""
        entry = self._find_attempt(sender, chunk)
        if entry is None:
            return
        if not entry.chunk_buffer.add(chunk.position, chunk.text):
            failure = Failure(ErrorKind.STREAM_BROKEN, "too many chunks arrived out of order")
            self._cancel(entry, now, out)
            self._fail_attempt(entry, failure, now, out)
            return
        self._emit_ready_text(entry, out)
        self._complete_if_received(entry, now, out)

    def handle_end(self, sender, end, now, out):
        """Handle the end of an attempt."""
        entry = self._find_attempt(sender, end)
        if entry is None:
            return
        entry.load_wait_s += end.load_wait_s
        if end.failure is not None:
            self._fail_attempt(entry, end.failure, now, out)
        elif end.model != entry.model:
            failure = Failure(ErrorKind.WRONG_MODEL, f"{end.model} responded for {entry.model}")
            self._fail_attempt(entry, failure, now, out)
        else:
            entry.end = end
            self._complete_if_received(entry, now, out)

    def _find_attempt(self, sender, body):
        """Return the open request whose current attempt at `sender` sent a message, or None."""
        return self._find(sender, body.request_id, body.attempt)

    def _find(self, sender, request_id, attempt):
        entry = self.open.get(request_id)
        if entry is None or not self.chart.has_tag(entry, "attempt"):
            return None
        is_current = entry.target == sender and entry.attempt == attempt
        return entry if is_current else None

    def _emit_ready_text(self, entry, out):
        text = entry.chunk_buffer.take_ready()
        if not text:
            return
        if not entry.response_started:
            entry.response_started = True
            out.emit(
                ResponseStart(entry.request.request_id, entry.model, entry.server, entry.attempt)
            )
        out.emit(ResponseChunk(entry.request.request_id, text))

    def _complete_if_received(self, entry, now, out):
        if entry.end is not None and entry.chunk_buffer.is_complete(entry.end.chunks):
            self._fire(entry, "completed", now, out)

    def _fail_attempt(self, entry, failure, now, out):
        entry.failure = failure
        if failure.run_state is not RunState.NOT_RUN:
            entry.run_state = RunState.MAY_HAVE_RUN
        self._release_attempt(entry)
        self._fire(entry, "attempt_failed", now, out)

    def _fire(self, entry, event, now, out):
        self.chart.fire(entry, event, self, now, out)

    # Guards and actions of the chart

    def choose_route(self, entry, now, out):
        """Send the next attempt, or report that no backend server is eligible."""
        views = self.node.ownership.list_server_views(now)
        entry.failure = self._find_refusal(entry, views, now)
        if entry.failure is not None:
            self._fire(entry, "refused", now, out)
            return
        usable = [v for v in views if self._is_eligible(entry, v)]
        domain = self.node.settings.failure_domain
        route = self.routing.choose(
            entry.request, entry.models, usable, self.attempts_by_server, domain
        )
        if route is None:
            target = f"service {entry.request.service}" if entry.request.service else "the engines"
            entry.failure = Failure(ErrorKind.NO_SERVER, f"no live backend server of {target}")
            self._fire(entry, "unroutable", now, out)
            return
        self._send_attempt(entry, route, now, out)

    def _find_refusal(self, entry, views, now):
        """Return the `Failure` of a request that no backend server may run, else None.

        Only ``entry.models`` is filtered: the request keeps all models that the caller named, so
        that its digest and its fingerprint are the same in each attempt.
        """
        service = entry.request.service
        if service:
            if views and not any(v.server.service == service for v in views):
                return Failure(ErrorKind.UNKNOWN_SERVICE, f"unknown service {service}")
            return None
        models = [entry.model] if entry.response_started else entry.request.models
        failures = [self.node.catalog.check(model, now) for model in models]
        entry.models = [m for m, failure in zip(models, failures, strict=True) if failure is None]
        return None if entry.models else failures[0]

    def _is_eligible(self, entry, view):
        server = view.server
        usable = view.live and view.target and server.service == entry.request.service
        if not usable or server.name in entry.tried_servers:
            return False
        return not self.node.catalog.is_drained(server.name)

    def _send_attempt(self, entry, route, now, out):
        entry.attempt += 1
        entry.server = route.view.server.name
        entry.domain = route.view.server.failure_domain
        entry.model = route.model
        entry.target = route.view.target
        entry.tried_servers.add(entry.server)
        entry.end = None
        entry.chunk_buffer.drop_pending()
        if entry.attempt == 1:
            self.budget.record_first_attempt(entry.domain, now)
        self.attempts_by_server[entry.server] = self.attempts_by_server.get(entry.server, 0) + 1
        remaining_s = entry.request.deadline - now
        forward = Forward(
            entry.request,
            entry.attempt,
            entry.server,
            entry.model,
            remaining_s,
            entry.chunk_buffer.position,
            entry.chunk_buffer.text(),
        )
        self._fire(entry, "routed", now, out)
        if entry.target == self.node.settings.name:
            self.node.runs.submit(entry.target, forward, now, out)
        else:
            out.emit(SendPeer(entry.target, forward))

    def may_wait_for_server(self, entry, now, out):
        """Return whether routing may be repeated later; all backend servers are eligible again."""
        entry.tried_servers.clear()
        return self._is_repeatable(entry) and now + RETRY_LIMIT_S < entry.request.deadline

    def may_retry(self, entry, now, out):
        """Return whether another attempt is allowed, and charge it to the retry budget."""
        if not ERROR_RESPONSES[entry.failure.kind].retryable or not self._is_repeatable(entry):
            return False
        is_suspect = self.node.crashes.check(entry.request, now) is not None
        if is_suspect or now + RETRY_LIMIT_S >= entry.request.deadline:
            return False
        if entry.failure.kind is ErrorKind.NOT_OWNER:  # until a handover is complete
            entry.refused_attempts += 1
            return True
        if entry.attempt - entry.refused_attempts >= self.node.settings.max_attempts:
            return False
        return self.budget.try_acquire(entry.domain, now)

    def _is_repeatable(self, entry):
        return not entry.request.non_idempotent or entry.run_state is RunState.NOT_RUN

    def schedule_retry(self, entry, now, out):
        """Set the time of the next attempt."""
        delay = compute_backoff(entry.attempt, self.node.rng, RETRY_BASE_S, RETRY_LIMIT_S)
        entry.retry_at = now + delay
        self.next_scan = min(self.next_scan, entry.retry_at)
        if entry.failure.kind is not entry.logged_kind:  # log each kind once, not at each scan
            entry.logged_kind = entry.failure.kind
            detail = f"{entry.failure.kind.value}: {entry.failure.reason}"
            out.emit(LogEvent("retry", detail, entry.request.request_id))

    def complete_response(self, entry, now, out):
        """Complete the response."""
        self._release_attempt(entry)
        text = entry.chunk_buffer.text()
        outcome = ClaimOutcome(entry.end.status, text, entry.model, entry.server)
        self._finish_claim(entry, outcome, now, out)
        if not entry.response_started:
            out.emit(
                ResponseStart(entry.request.request_id, entry.model, entry.server, entry.attempt)
            )
        self._end_request(entry, None, out, entry.end.status)

    def respond_failure(self, entry, now, out):
        """End the response with `entry.failure` and the combined run state of all attempts."""
        self._respond_failure(entry, now, out, entry.failure)

    def _respond_failure(self, entry, now, out, failure):
        if entry.run_state is RunState.MAY_HAVE_RUN and failure.run_state is RunState.NOT_RUN:
            failure = Failure(failure.kind, failure.reason, RunState.MAY_HAVE_RUN)
        self._finish_claim(entry, ClaimOutcome(0, "", "", entry.server, failure), now, out)
        self._end_request(entry, failure, out)

    def respond_deadline_passed(self, entry, now, out):
        """End the response because the deadline has passed."""
        if entry.run_state is RunState.NOT_RUN:
            failure = Failure(ErrorKind.DEADLINE_IN_QUEUE, "the deadline passed before a run")
        else:
            failure = Failure(ErrorKind.DEADLINE_RUNNING, "the deadline passed during a run")
        self._respond_failure(entry, now, out, failure)

    def replay_response(self, entry, now, out):
        """Respond with the recorded outcome."""
        outcome = entry.end
        request_id = entry.request.request_id
        entry.model, entry.server = outcome.model, outcome.server
        if outcome.failure is None:
            out.emit(ResponseStart(request_id, outcome.model, outcome.server, 0))
            out.emit(ResponseChunk(request_id, outcome.body))
        self._end_request(entry, outcome.failure, out, outcome.status, replayed=True)

    def cancel_attempt(self, entry, now, out):
        """Cancel the open attempt, if there is one."""
        if not entry.target:
            return
        # An attempt that was sent may run until the cancellation arrives.
        entry.run_state = RunState.MAY_HAVE_RUN
        self._cancel(entry, now, out)
        self._release_attempt(entry)

    def _cancel(self, entry, now, out):
        cancel = CancelAttempt(entry.request.request_id, entry.attempt)
        if entry.target == self.node.settings.name:
            self.node.runs.cancel(entry.target, cancel, now, out)
        elif entry.target:
            out.emit(SendPeer(entry.target, cancel))

    def end_cancelled(self, entry, now, out):
        """End a request whose caller has closed the connection."""
        failure = Failure(ErrorKind.CANCELLED, "the caller closed the connection", entry.run_state)
        self._finish_claim(entry, ClaimOutcome(0, "", "", entry.server, failure), now, out)
        self._end_request(entry, failure, out)

    # End of a request

    def _finish_claim(self, entry, outcome, now, out):
        if entry.claimed:
            entry.claimed = False
            self.node.claims.finish(entry.request.request_id, outcome, now, out)

    def _release_attempt(self, entry):
        if entry.target:
            self.attempts_by_server[entry.server] -= 1
            if not self.attempts_by_server[entry.server]:
                del self.attempts_by_server[entry.server]
            entry.target = ""

    def _end_request(self, entry, failure, out, status=200, replayed=False):
        del self.open[entry.request.request_id]
        out.emit(
            ResponseEnd(
                entry.request.request_id,
                failure,
                entry.model,
                entry.server,
                status,
                entry.attempt,
                entry.load_wait_s,
                replayed,
            )
        )

    # Time

    def next_deadline(self):
        """Return the time (s) of the next scan."""
        return self.next_scan

    def _expires_at(self, entry):
        # The node that manages the backend server ends the attempt at the deadline and knows
        # whether it ran, so its `AttemptEnd` is awaited for a short time.
        grace_s = DEADLINE_GRACE_S if self.chart.has_tag(entry, "attempt") else 0.0
        return entry.request.deadline + grace_s

    def tick(self, now, out):
        """Handle deadlines, due retries and attempts at unreachable peers."""
        for entry in list(self.open.values()):
            if now >= self._expires_at(entry):
                self._fire(entry, "deadline", now, out)
            elif self.chart.has_tag(entry, "backoff"):
                if now >= entry.retry_at:
                    self._fire(entry, "retry_due", now, out)
            elif entry.target and not self.node.ownership.is_reachable(entry.target):
                failure = Failure(ErrorKind.PEER_LOST, f"node {entry.target} does not respond")
                self._cancel(entry, now, out)
                self._fail_attempt(entry, failure, now, out)
        self.next_scan = now + SCAN_INTERVAL_S if self.open else float("inf")
