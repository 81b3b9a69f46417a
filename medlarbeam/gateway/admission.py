"""Admission of requests: route, organisation of the caller, and time left."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import RefuseRequest
from medlarbeam.classes.gateway_messages import GatewayRequest
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.gateway.relay import RETRY_AFTER_S, Relay
from medlarbeam.gateway.route_table import choose_service
from medlarbeam.node.component import Component

__all__ = ["Admission", "refuse"]

RESPONSE_SLACK_S = 0.15  # for a response that the backend server sends at its deadline


class Admission(Component):
    """Admits requests by the newest configuration that this node knows, or refuses them."""

    __slots__ = ()

    def handlers(self):
        """Return the handler method of each message class."""
        return {GatewayRequest: self.handle_request}

    def handle_request(self, request, now, out):
        """Open a relay for a new request, or refuse it."""
        fleet = self.node.fleet
        if not fleet.is_known():
            failure = Failure(ErrorKind.CATALOG_UNCONFIRMED, "no configuration is available yet")
            refuse(request, failure, RETRY_AFTER_S, out)
            return
        route = fleet.routes.match(request.host, request.path)
        if route is None:
            reason = f"no route for {request.host}{request.path} in config {fleet.config.version}"
            refuse(request, Failure(ErrorKind.UNKNOWN_SERVICE, reason), 0.0, out)
            return
        organisation = fleet.access.identify(request.credential, route)
        if isinstance(organisation, Failure):
            organisation.reason += f" in config {fleet.config.version}"
            refuse(request, organisation, 0.0, out)
            return
        service = choose_service(route, self.node.rng)
        relay = Relay(request, route, service, organisation, self.node.relays.chart.initial, now)
        if not self.node.lifecycle.can_finish(relay.deadline_at + RESPONSE_SLACK_S, now):
            failure = Failure(ErrorKind.SHUTTING_DOWN, "it might not end before this node stops")
            refuse(request, failure, RETRY_AFTER_S, out)
            return
        self.node.relays.open(relay, now, out)

    def tick(self, now, out):
        """Do nothing; a request is admitted or refused when it arrives."""

    def next_deadline(self):
        """Return infinity."""
        return inf


def refuse(request, failure, retry_after_s, out):
    """Refuse a request, and log it.

    Parameters
    ----------
    request : GatewayRequest
    failure : Failure
    retry_after_s : float
        Time (s) after which the caller may return, 0 to name none.
    out : Outbox
    """
    text = f"attempt={request.attempt_id} {failure!r}"
    out.emit(LogEvent("request_refused", text, request.request_id))
    out.emit(RefuseRequest(request.request_id, failure, retry_after_s))
