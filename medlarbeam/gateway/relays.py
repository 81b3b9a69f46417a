"""Relaying of callers' requests: server selection, retries and the response to the caller."""

from math import inf

from medlarbeam.algorithms.direct_routing import AdapterAffinityRouting
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import AbortResponse, CancelFleetRun, PassErrorResponse
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStarted,
)
from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.gateway.admission import RESPONSE_SLACK_S, refuse
from medlarbeam.gateway.crash_evidence import list_request_fingerprints
from medlarbeam.gateway.load_requests import LoadRequests
from medlarbeam.gateway.relay import RETRY_AFTER_S, ElapsedTimes, RelayTimers
from medlarbeam.gateway.run_plan import plan_run
from medlarbeam.gateway.run_refusals import RunRefusals
from medlarbeam.gateway.server_selector import ServerSelector
from medlarbeam.gateway.shared_retry_budget import SharedRetryBudget
from medlarbeam.gateway.stream_origins import COPY_WAIT_S
from medlarbeam.node.component import Component

__all__ = ["Relays"]

EXPECTED_START_S = 0.35  # expected time from a load order to the first event
DEMAND_INTERVAL_S = 0.1  # between repeats of a demand while its request waits
PAUSE_RECHECK_S = 0.1  # between selections while a request waits for the end of a pause
RECHECK_INTERVAL_S = 0.05  # between selections while no backend server is available
NO_SERVER_WAIT_SHARE = 0.5  # of the latency goal, after which the request is refused


class Relays(Component):
    """Drives the chart ``relay`` for each open request."""

    __slots__ = (
        "chart",
        "elapsed_times",
        "load_requests",
        "open_relays",
        "refusals",
        "relays_by_run",
        "retry_budget",
        "run_count",
        "selector",
        "timers",
        "waiting",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("relay", Relays)
        self.selector = ServerSelector(node, AdapterAffinityRouting())
        self.load_requests = LoadRequests(node, self.selector)
        self.refusals = RunRefusals(node)
        self.retry_budget = SharedRetryBudget(node.settings)
        self.elapsed_times = ElapsedTimes()
        self.open_relays = {}
        self.relays_by_run = {}
        self.waiting = {}
        self.timers = RelayTimers()
        self.run_count = 0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            CallerDisconnected: self.handle_caller_disconnected,
            RunStarted: self.handle_run_started,
            RunCompleted: self.handle_run_completed,
            RunErrorResponse: self.handle_error_response,
            RunRefused: self.handle_run_refused,
            RunInterrupted: self.handle_run_interrupted,
        }

    def open_count(self):
        """Return the number of requests without a complete response."""
        return len(self.open_relays)

    # New requests

    def open(self, relay, now, out):
        """Send an admitted request to a backend server if one is available."""
        request = relay.request
        failure = self.node.origins.bind(relay, now, out)
        if failure is not None:
            self.node.quotas.refund(relay, now)
            refuse(request, failure, 0.0, out)
            return
        relay.goal_at = now + relay.route.latency_goal_s - self.elapsed_times.estimate(relay, now)
        self.open_relays[request.request_id] = relay
        if request.runs_elsewhere is None:
            self.retry_budget.record_first_attempt(relay.service, len(self.node.fleet.nodes), now)
        self._dispatch(relay, now, out)

    def handle_caller_disconnected(self, message, now, out):
        """Cancel the run of a request whose caller has disconnected."""
        relay = self.open_relays.get(message.request_id)
        if relay is not None:
            self.advance(relay, "caller_disconnected", message, now, out)

    # Server selection

    def _dispatch(self, relay, now, out):
        """Start a run of a waiting relay, or schedule the next selection."""
        if self.node.crashes.find_quarantined(relay.request) is not None:
            self._fire_and_process(relay, "quarantined", now, out)
            return
        if now >= relay.find_wait_limit():
            relay.reason = relay.reason or "no backend server had capacity in time"
            self._fire_and_process(relay, "deadline", now, out)
            return
        self.node.pauses.leave(relay)
        if self._is_unbound(relay, self.node.origins.bind_waiting, now, out):
            return
        node = self.node.forwarding.choose_node(relay, now)
        if node is not None:
            self._stop_waiting(relay)
            self.timers.set(relay, relay.deadline_at + RESPONSE_SLACK_S)
            self.node.forwarding.send(relay, node, now, out)
            return
        if self._is_unbound(relay, self.node.origins.bind_rest, now, out):
            return
        choice = self.selector.choose(relay, now)
        reason = self.selector.find_missing_software(relay, now)
        relay.retry_after_s = 0.0 if reason else RETRY_AFTER_S
        reason = reason or self.node.leaving.find_refusal_reason(relay, choice, now)
        if reason:
            relay.reason = reason
            self._fire_and_process(relay, "unroutable", now, out)
        elif choice is None:
            self._wait_for_server(relay, now, out)
        elif choice.ready_in_s is None or choice.ready_in_s > 0.0:
            self._wait_for_adapter(relay, choice, now, out)
        elif choice.pause_wait_s > 0.0:
            self.node.pauses.wait(choice.entry, relay)
            self._wait(relay, now + min(choice.pause_wait_s, PAUSE_RECHECK_S))
            relay.reason = f"waited for the end of the pause of server={choice.entry.name}"
        elif choice.prompt_wait_s > 0.0:
            self._wait(relay, now + choice.prompt_wait_s)
            relay.reason = f"waited until {choice.entry.name} had read other prompts"
        else:
            self._start_run(relay, choice.entry, now, out)

    def _is_unbound(self, relay, bind, now, out):
        """Return whether `bind` has not bound a stream, which then ends or waits for the store."""
        failure = bind(relay, now, out)
        if failure is not None:
            relay.reason, relay.refusal_kind = failure.reason, failure.kind
            relay.retry_after_s = 0.0
            self._fire_and_process(relay, "unroutable", now, out)
        elif self.node.origins.is_waiting(relay):
            self._wait(relay, relay.copy_needed_at + COPY_WAIT_S)
        return failure is not None or self.node.origins.is_waiting(relay)

    def _wait_for_server(self, relay, now, out):
        limit = relay.arrived_at + relay.route.latency_goal_s * NO_SERVER_WAIT_SHARE
        blocking = self.selector.find_blocking_pause(relay, now)
        if blocking is not None:
            relay.reason = blocking.reason
            relay.retry_after_s = blocking.retry_after_s
            self._fire_and_process(relay, "unroutable", now, out)
        elif now >= limit and not self._may_find_server_soon(relay, now):
            relay.reason = relay.reason or "no backend server accepts new work"
            self._fire_and_process(relay, "unroutable", now, out)
        else:
            until = limit if now < limit else inf
            self._wait(relay, min(now + RECHECK_INTERVAL_S, until))

    def _may_find_server_soon(self, relay, now):
        """Return whether no server is available only for a short time."""
        service = relay.service
        return self.node.paths.is_checking(service) or self.node.refusals.is_limited(service, now)

    def _wait_for_adapter(self, relay, choice, now, out):
        if choice.ready_in_s is not None:
            self._wait(relay, min(now + choice.ready_in_s, now + DEMAND_INTERVAL_S))
            return
        key = relay.request.key
        server = choice.entry.name
        self._wait(relay, now + DEMAND_INTERVAL_S)
        holder = self.load_requests.request_load(
            server, key, relay.priority, relay.goal_at - EXPECTED_START_S, now, out
        )
        relay.reason = f"waited for {key} on {server}, ordered by {holder or 'nobody'}"

    def _wait(self, relay, until):
        key = relay.request.key
        if key is not None:
            self.waiting.setdefault(key, {})[relay.request.request_id] = relay
        self.timers.set(relay, min(until, relay.find_wait_limit()))

    def wake(self, keys, now):
        """Schedule an immediate selection for the relays that wait for one of `keys`."""
        for key in keys:
            self.timers.advance(self.waiting.get(key, {}).values(), now)

    def wake_service(self, service, now):
        """Schedule an immediate selection for the relays that wait for a server of `service`."""
        relays = [r for r in self.open_relays.values() if r.service == service]
        self.timers.advance([r for r in relays if self.chart.has_tag(r, "waiting")], now)

    def _stop_waiting(self, relay):
        self.node.pauses.leave(relay)
        relays = self.waiting.get(relay.request.key)
        if relays is not None and relays.pop(relay.request.request_id, None) and not relays:
            del self.waiting[relay.request.key]

    # Runs and their results

    def _start_run(self, relay, entry, now, out):
        if relay.sends and not self.retry_budget.try_acquire(
            relay.service, len(self.node.fleet.nodes), now
        ):
            self._wait(relay, now + RECHECK_INTERVAL_S)  # until the retry budget allows it
            return
        self._stop_waiting(relay)
        self.run_count += 1
        relay.run_id = f"{relay.request.request_id}.{self.run_count}"
        relay.server = entry
        relay.sends += 1
        relay.reason = ""
        relay.sent_at = now
        relay.connected_at = inf
        if relay.first_sent_at is None:
            relay.first_sent_at = now
        self.relays_by_run[relay.run_id] = relay
        self.node.health.open_run(entry.name, now)
        self.node.limits.record_send(entry.name, now)
        self.node.pauses.record_send(entry, now)
        self.node.prompts.record_send(entry.name, relay, now)
        self.node.uses.begin(entry.name, relay.request.key, now)
        self.chart.fire(relay, "sent", self, now, out, None)
        self.timers.set(relay, relay.deadline_at + RESPONSE_SLACK_S)
        version = self.node.fleet.published_versions.get(relay.request.key, 0)
        out.emit(plan_run(relay, entry, version))
        self.load_requests.request_replica(relay, entry, now, out)
        out.emit(LogEvent("run_sent", relay.describe_send(now), relay.request.request_id))

    def end_run(self, relay, now, out, message):
        """Record the end of the current run."""
        self.relays_by_run.pop(relay.run_id, None)
        self.node.health.close_run(relay.server.name)
        self.node.uses.end(relay.server.name, relay.request.key, now, out)

    def handle_run_started(self, message, now, out):
        """Record that the caller receives the response."""
        relay = self.relays_by_run.get(message.run_id)
        if relay is not None:
            relay.is_response_started = True
            relay.record_response_start(now)
            self.node.starts.record_first_event(relay, message, now, out)
            self.node.health.record_response(relay.server.name, now)
            self.node.health.record_statements(relay.server, message.load, now, out)
            self.chart.fire(relay, "started", self, now, out, message)

    def handle_run_completed(self, message, now, out):
        """Record that the caller has received the whole response."""
        relay = self.relays_by_run.get(message.run_id)
        if relay is not None:
            if relay.is_response_started:  # its limit is known since the start
                self.node.health.record_load(relay.server.name, message.load, now)
            else:
                self.node.health.record_statements(relay.server, message.load, now, out)
            self.node.health.record_outcome(relay.server.name, "succeeded", now, out)
            if relay.has_run_written():
                self.node.crashes.record_success(relay.request, now, out)
            self.node.prompts.record_stream(relay, message.timing)
            relay.record_response_start(now)
            self.advance(relay, "completed", message, now, out)

    def handle_error_response(self, message, now, out):
        """Handle an error response of the backend server."""
        relay = self.relays_by_run.get(message.run_id)
        if relay is None:
            return
        self.node.health.record_statements(relay.server, message.load, now, out)
        event = "failed" if message.status >= 500 else "succeeded"
        self.node.health.record_outcome(relay.server.name, event, now, out)
        relay.runs += 1
        relay.error_run_id = message.run_id
        relay.reason = f"{relay.server.name} responded with status {message.status}"
        self.advance(relay, "error_returned", message, now, out)

    def handle_run_refused(self, message, now, out):
        """Handle the refusal of a run that is known not to have run."""
        relay = self.relays_by_run.get(message.run_id)
        if relay is None:
            return
        self.node.health.record_statements(relay.server, message.load, now, out)
        self.refusals.record(relay, message, now, out)
        out.emit(
            LogEvent(
                "run_refused",
                f"run={message.run_id} status={message.status} {relay.reason}",
                relay.request.request_id,
            )
        )
        self.advance(relay, "refused", message, now, out)

    def handle_run_interrupted(self, message, now, out):
        """Handle a missing or incomplete response."""
        relay = self.relays_by_run.get(message.run_id)
        if relay is None:
            return
        relay.runs += 1
        relay.is_response_started = relay.is_response_started or message.has_partial_response
        relay.reason = f"{relay.server.name}: {message.reason}"
        has_responded = self.node.health.has_responded_since(relay.server.name, relay.sent_at)
        event = "unreachable" if message.is_timed_out and not has_responded else "failed"
        if message.is_connection_lost:
            self.node.inquiries.record_lost_run(relay, now, out)
        self.node.health.record_outcome(relay.server.name, event, now, out)
        out.emit(
            LogEvent(
                "run_broken",
                f"run={message.run_id} events={message.last_event_id} {relay.reason}",
                relay.request.request_id,
                "warning",
            )
        )
        self.advance(relay, "interrupted", message, now, out)

    def end_quarantined(self, fingerprint, now, out):
        """End the open requests with a quarantined fingerprint that no backend server has begun."""
        for relay in list(self.open_relays.values()):
            if fingerprint in list_request_fingerprints(relay.request):
                self._fire_and_process(relay, "quarantined", now, out)

    def end_all(self, now, out):
        """End the open requests, because the process exits soon."""
        for relay in list(self.open_relays.values()):
            relay.reason = "this node stops"
            self._fire_and_process(relay, "node_stopping", now, out)

    def advance(self, relay, event, message, now, out):
        """Fire an event of the chart, and do what the new state asks for."""
        self.chart.fire(relay, event, self, now, out, message)
        self._process_state(relay, now, out)

    def _fire_and_process(self, relay, event, now, out):
        self.advance(relay, event, None, now, out)

    def _process_state(self, relay, now, out):
        """Dispatch a relay that waits again, or remove one that has ended."""
        if self.chart.has_tag(relay, "waiting"):
            self._dispatch(relay, now, out)
        elif not self.chart.has_tag(relay, "running"):
            self._stop_waiting(relay)
            self.timers.set(relay, inf)
            if self.open_relays.pop(relay.request.request_id, None) is not None:
                self.node.origins.record_end(relay, now)
                if not relay.may_have_run():
                    self.node.quotas.refund(relay, now)
                out.emit(relay.measure(now))

    # Guards and actions of the chart

    def may_retry(self, relay, now, out, message):
        """Return whether the request may run on another backend server."""
        if not relay.route.is_retryable() or relay.runs >= relay.route.attempts:
            return False
        if relay.is_response_started and not relay.route.resumable:
            return False
        return self.retry_budget.can_acquire(relay.service, len(self.node.fleet.nodes), now)

    def has_node_left(self, relay, now, out, message):
        """Return whether the request may be forwarded to one more node.

        A node with the same configuration or a newer one has found the request not authorised.
        """
        is_authorised = relay.refusal_kind is not ErrorKind.NOT_AUTHORIZED
        return is_authorised and self.node.forwarding.has_node_left(relay)

    def cancel_forwarded(self, relay, now, out, message):
        """Cancel the request at the node to which it was forwarded."""
        relay.reason = relay.reason or "deadline exceeded"
        self.node.forwarding.cancel(relay, out)

    def exclude_server(self, relay, now, out, message):
        """Exclude the backend server that failed from further runs of the request."""
        relay.excluded.add(relay.server.name)

    def log_served(self, relay, now, out, message):
        """Log a request that was served."""
        relay.outcome = "served"
        relay.timing = message.timing
        detail = relay.describe_service(message, now)
        out.emit(LogEvent("request_served", detail, relay.request.request_id))

    def log_caller_disconnected(self, relay, now, out, message):
        """Log a request whose caller has disconnected."""
        relay.outcome = "left"
        out.emit(
            LogEvent(
                "caller_left",
                f"sends={relay.sends} total_s={now - relay.arrived_at:.3f} {relay.reason}",
                relay.request.request_id,
            )
        )

    def cancel_run(self, relay, now, out, message):
        """Cancel the current run and close its connection."""
        relay.reason = relay.reason or "deadline exceeded"
        relay.runs += 1
        self.node.inquiries.record_cancelled_run(relay, now)
        out.emit(CancelFleetRun(relay.run_id))

    def pass_response(self, relay, now, out, message):
        """Pass the error response of the backend server to the caller."""
        if relay.is_response_started:
            self._abort_response(relay, out)
            return
        relay.outcome = "error_passed"
        out.emit(LogEvent("error_passed", relay.reason, relay.request.request_id))
        out.emit(PassErrorResponse(relay.request.request_id, relay.error_run_id))

    def fail_interrupted(self, relay, now, out, message):
        """Respond with a failure that indicates that the request may have run."""
        if relay.is_response_started:
            self._abort_response(relay, out)
            return
        kind = ErrorKind.DEADLINE_RUNNING if now >= relay.deadline_at else ErrorKind.SERVER_LOST
        self._fail(relay, Failure(kind, relay.reason), 0.0, out)

    def fail_waiting(self, relay, now, out, message):
        """Respond to a request that is not at a backend server."""
        if relay.error_run_id:
            self.pass_response(relay, now, out, message)
        elif relay.is_response_started or relay.runs:
            self.fail_interrupted(relay, now, out, message)
        else:
            failure = Failure(relay.refusal_kind, relay.reason, RunState.NOT_RUN)
            self._fail(relay, failure, relay.retry_after_s, out)

    def fail_quarantined(self, relay, now, out, message):
        """Respond to a request that may not run because it crashes backend servers."""
        record = self.node.crashes.find_quarantined(relay.request)
        relay.reason = f"requests with {record.fingerprint} crash the backend servers that run them"
        if relay.runs or relay.is_response_started:
            self.fail_waiting(relay, now, out, message)
        else:
            failure = Failure(ErrorKind.CRASH_SUSPECT, relay.reason, RunState.NOT_RUN)
            self._fail(relay, failure, record.expires_at - now, out)

    def _fail(self, relay, failure, retry_after_s, out):
        relay.outcome = failure.kind.value
        refuse(relay.request, failure, retry_after_s, out)

    def _abort_response(self, relay, out):
        relay.outcome = "cut"
        out.emit(LogEvent("answer_cut", relay.reason, relay.request.request_id, level="warning"))
        out.emit(AbortResponse(relay.request.request_id))

    def next_deadline(self):
        """Return the time (s) at which the next relay is due."""
        return self.timers.next_at()

    def tick(self, now, out):
        """Dispatch or end the relays that are due."""
        for relay in self.timers.pop_due(now):
            if self.chart.has_tag(relay, "waiting"):
                self._dispatch(relay, now, out)
            elif self.chart.has_tag(relay, "running"):
                relay.reason = relay.reason or "no complete response before the deadline"
                self._fire_and_process(relay, "deadline", now, out)
