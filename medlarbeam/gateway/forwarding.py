"""Requests that go through another node, which reaches the backend servers."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import (
    UNKNOWN_ORIGIN,
    RouteKind,
    ServerRegistration,
    SoftwareVersion,
)
from medlarbeam.classes.gateway_effects import CancelFleetRun, StartFleetRun
from medlarbeam.classes.gateway_messages import (
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStarted,
)
from medlarbeam.classes.organisations import CallerCredential
from medlarbeam.exceptions import ERROR_RESPONSES, ErrorKind
from medlarbeam.node.component import Component

__all__ = ["Forwarding"]

MAX_NODES = 3  # that one request is sent to
MAX_RETRY_AFTER_S = 600.0  # of another node, the length of a quarantine


class Forwarding(Component):
    """Sends requests to other nodes while this one does not reach the backend servers.

    The other node treats such a request as its own: it selects the backend server, retries, and
    answers for the whole. It does not forward it again.

    Attributes
    ----------
    relays_by_run : dict of str to Relay
        Relays at other nodes, by run id.
    """

    __slots__ = ("relays_by_run", "run_count")

    def __init__(self, node):
        super().__init__(node)
        self.relays_by_run = {}
        self.run_count = 0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            RunStarted: self.handle_run_started,
            RunCompleted: self.handle_run_completed,
            RunErrorResponse: self.handle_error_response,
            RunRefused: self.handle_run_refused,
            RunInterrupted: self.handle_run_interrupted,
        }

    def choose_node(self, relay, now):
        """Return the `NodeRegistration` of the node to which a relay should go, or None."""
        paths, service = self.node.paths, relay.service
        if relay.request.runs_elsewhere is not None or not paths.is_lost(service):
            return None
        if not self.has_node_left(relay) or relay.runs and not self._may_repeat(relay, now):
            return None
        others = [
            node
            for node in self.node.fleet.nodes.values()
            if node.name != self.node.settings.name
            and node.name not in relay.nodes
            and not paths.is_lost_elsewhere(node.name, service, now)
            and not self.node.reachability.is_unresponsive(node.name, now)
        ]
        domain = self.node.settings.failure_domain
        near = [node for node in others if node.failure_domain == domain]
        return self.node.rng.choice(near or others) if others else None

    def has_node_left(self, relay):
        """Return whether a relay may go to one more node."""
        return len(relay.nodes) < MAX_NODES

    def _may_repeat(self, relay, now):
        count = len(self.node.fleet.nodes)
        return self.node.relays.retry_budget.can_acquire(relay.service, count, now)

    def send(self, relay, node, now, out):
        """Send a waiting relay to another node."""
        if relay.runs:
            count = len(self.node.fleet.nodes)
            self.node.relays.retry_budget.try_acquire(relay.service, count, now)
        self.run_count += 1
        relay.run_id = f"{relay.request.request_id}.f{self.run_count}"
        relay.nodes.add(node.name)
        relay.sends += 1
        relay.reason = ""
        relay.sent_at = now
        if relay.first_sent_at is None:
            relay.first_sent_at = now
        # Stands for the node in the log lines and in the client.
        relay.server = ServerRegistration(
            node.name, relay.service, node.address, node.failure_domain, 0, False, 0, [], {}
        )
        self.relays_by_run[relay.run_id] = relay
        self.node.relays.advance(relay, "forwarded", None, now, out)
        route = relay.route
        is_bound = relay.software is not None
        origin = SoftwareVersion(relay.service, relay.software) if is_bound else None
        out.emit(
            StartFleetRun(
                relay.run_id,
                relay.request.request_id,
                relay.server,
                relay.deadline_at,
                relay.priority,
                0,
                route.kind is RouteKind.STREAM,
                not route.is_retryable(),
                inf,  # the other node moves stalled runs
                inf,
                relay.runs,
                origin,
                organisation=relay.organisation,
                credential=CallerCredential(
                    relay.request.credential.key_digests,
                    self.node.config_versions.find_applied(),
                ),
            )
        )
        out.emit(
            LogEvent(
                "request_forwarded",
                f"run={relay.run_id} node={node.name} service={relay.service} "
                f"route={route.name} runs={relay.runs} waited_s={now - relay.arrived_at:.3f} "
                f"attempt={relay.request.attempt_id}",
                relay.request.request_id,
            )
        )

    def cancel(self, relay, out):
        """Cancel the request at the other node by closing its connection."""
        self.relays_by_run.pop(relay.run_id, None)
        relay.runs += 1
        out.emit(CancelFleetRun(relay.run_id))

    # Answers

    def handle_run_started(self, message, now, out):
        """Record that the caller receives the response."""
        relay = self.relays_by_run.get(message.run_id)
        if relay is not None:
            relay.is_response_started = True
            relay.record_response_start(now)
            if message.origin == UNKNOWN_ORIGIN:
                if relay.software is None:
                    self.node.origins.record_unknown(relay, now)
            elif message.origin is not None:
                self.node.origins.record_start(relay, message.origin, now)
            self._fire(relay, "started", message, now, out)

    def handle_run_completed(self, message, now, out):
        """Record that the caller has received the whole response."""
        relay = self.relays_by_run.pop(message.run_id, None)
        if relay is not None:
            relay.record_response_start(now)
            self._fire(relay, "completed", message, now, out)

    def handle_error_response(self, message, now, out):
        """Pass the error response that the other node has passed or given."""
        relay = self.relays_by_run.pop(message.run_id, None)
        if relay is not None:
            relay.runs += 1
            relay.error_run_id = message.run_id
            relay.reason = f"{relay.server.name} responded with status {message.status}"
            self._fire(relay, "error_returned", message, now, out)

    def handle_run_refused(self, message, now, out):
        """Try the next node, or refuse the request as not run."""
        relay = self.relays_by_run.pop(message.run_id, None)
        if relay is not None:
            relay.reason = f"{relay.server.name}: {message.reason}"
            pause_s = message.pause.pause_s if message.pause is not None else None
            if pause_s is not None and pause_s < MAX_RETRY_AFTER_S:
                relay.retry_after_s = pause_s
            if message.status == ERROR_RESPONSES[ErrorKind.NOT_AUTHORIZED].status:
                relay.refusal_kind = ErrorKind.NOT_AUTHORIZED
                relay.retry_after_s = 0.0
            out.emit(
                LogEvent(
                    "run_refused",
                    f"run={message.run_id} status={message.status} {relay.reason}",
                    relay.request.request_id,
                )
            )
            self._fire(relay, "refused", message, now, out)

    def handle_run_interrupted(self, message, now, out):
        """Handle the loss of the other node, or of its connection."""
        relay = self.relays_by_run.pop(message.run_id, None)
        if relay is not None:
            relay.runs += 1
            relay.is_response_started = relay.is_response_started or message.has_partial_response
            relay.reason = f"{relay.server.name}: {message.reason}"
            out.emit(
                LogEvent(
                    "run_broken",
                    f"run={message.run_id} events={message.last_event_id} {relay.reason}",
                    relay.request.request_id,
                    "warning",
                )
            )
            self._fire(relay, "interrupted", message, now, out)

    def _fire(self, relay, event, message, now, out):
        self.node.relays.advance(relay, event, message, now, out)

    def tick(self, now, out):
        """Do nothing; the timers of the relays cover forwarded requests."""
