"""Admission of requests: route, organisation of the caller, and time left."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import RefuseRequest, SyncStore
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    ConfigFetched,
    EntryUpdated,
    GatewayRequest,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.gateway.relay import RETRY_AFTER_S, Relay
from medlarbeam.gateway.route_table import choose_service
from medlarbeam.node.component import Component

__all__ = ["Admission", "refuse"]

RESPONSE_SLACK_S = 0.15  # for a response that the backend server sends at its deadline
# For the store or another node to answer; the store takes some ms, or 0.25 s if it is slow.
CONFIG_WAIT_S = 0.5
MISSED_S = 1.0  # after a wait in vain, in which callers do not wait again


class WaitingRequest:
    """A request that has waited for a version of the configuration since a time (s)."""

    __slots__ = ("arrived_at", "request", "version")

    def __init__(self, request, version, arrived_at):
        self.request = request
        self.version = version
        self.arrived_at = arrived_at


class Admission(Component):
    """Admits requests by the newest configuration that this node knows, or refuses them.

    A node that learns from another one that a newer version is applied catches up before it decides
    again, so that requests that go through several nodes are not decided by an older version after
    a newer one.

    Attributes
    ----------
    missed_until : float
        Time (s) until which requests of callers do not wait, since others have waited in vain.
    waiting : dict of str to WaitingRequest
        By request id, the oldest first.
    """

    __slots__ = ("missed_until", "waiting")

    def __init__(self, node):
        super().__init__(node)
        self.missed_until = -inf
        self.waiting = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            CallerDisconnected: self.handle_caller_disconnected,
            ConfigFetched: self.handle_config_change,
            EntryUpdated: self.handle_config_change,
            GatewayRequest: self.handle_request,
            StoreSnapshot: self.handle_config_change,
            StoreSynced: self.handle_synced,
        }

    def handle_synced(self, message, now, out):
        """Decide on the requests whose version the store did not have after their arrival."""
        late = [w for w in self.waiting.values() if w.arrived_at <= message.sent_at]
        for waiting in late:
            self._end_wait(waiting, now, out)

    def _end_wait(self, waiting, now, out):
        del self.waiting[waiting.request.request_id]
        self._decide_behind(waiting.request, waiting.version, waiting.arrived_at, now, out)

    def handle_config_change(self, message, now, out):
        """Admit the requests whose version is known now."""
        if not self.waiting:
            return
        version = self.node.config_versions.find_version()
        known = [w for w in self.waiting.values() if w.version <= version]
        for waiting in known:
            del self.waiting[waiting.request.request_id]
            self._admit(waiting.request, waiting.arrived_at, now, out)

    # Requests

    def handle_request(self, request, now, out):
        """Admit or refuse a new request, or let it wait for a newer configuration."""
        stated = request.credential.config_version
        versions = self.node.config_versions
        version = versions.find_applied() if stated is None else stated
        if version <= versions.find_version():
            self._admit(request, now, now, out)
        elif self._can_wait(request, now):
            if not any(waiting.version >= version for waiting in self.waiting.values()):
                out.emit(SyncStore())
            self.waiting[request.request_id] = WaitingRequest(request, version, now)
        else:
            self._decide_behind(request, version, now, now, out)

    def _can_wait(self, request, now):
        if request.runs_elsewhere is None and now < self.missed_until:
            return False
        until = now + CONFIG_WAIT_S
        return request.deadline > until and self.node.lifecycle.can_finish(until, now)

    def _decide_behind(self, request, version, arrived_at, now, out):
        """Decide on a request without the version of the configuration that it needs.

        Another node can decide on a forwarded request. A caller is served by what this node knows,
        so that an outage of the store does not end the service; but the newer version may have the
        route or the key that this one lacks.
        """
        if now >= self.missed_until:
            self.missed_until = now + MISSED_S
            detail = f"version={self._known()} applied_elsewhere={version}"
            out.emit(LogEvent("config_behind", detail, level="warning"))
        if request.runs_elsewhere is None:
            self._admit(request, arrived_at, now, out, is_behind=True)
            return
        reason = f"config {version} is not known here yet, only {self._known()}"
        failure = Failure(ErrorKind.CATALOG_UNCONFIRMED, reason)
        refuse(request, failure, RETRY_AFTER_S, out)

    def _admit(self, request, arrived_at, now, out, is_behind=False):
        """Open a relay for a request, or refuse it.

        Parameters
        ----------
        request : GatewayRequest
        arrived_at, now : float
        out : Outbox
        is_behind : bool
            Whether another node is known to apply a newer configuration.
        """
        fleet = self.node.fleet
        if not fleet.is_known():
            failure = Failure(ErrorKind.CATALOG_UNCONFIRMED, "no configuration is available yet")
            refuse(request, failure, RETRY_AFTER_S, out)
            return
        route = fleet.routes.match(request.host, request.path)
        if route is None:
            reason = f"no route for {request.host}{request.path} in config {fleet.config.version}"
            self._refuse_by_config(
                request, Failure(ErrorKind.UNKNOWN_SERVICE, reason), is_behind, out
            )
            return
        organisation = fleet.access.identify(request.credential, route)
        if isinstance(organisation, Failure):
            organisation.reason += f" in config {fleet.config.version}"
            self._refuse_by_config(request, organisation, is_behind, out)
            return
        service = choose_service(route, self.node.rng)
        initial = self.node.relays.chart.initial
        relay = Relay(request, route, service, organisation, initial, arrived_at)
        relay.priority = fleet.priorities.find(organisation, route)
        if not self.node.lifecycle.can_finish(relay.deadline_at + RESPONSE_SLACK_S, now):
            failure = Failure(ErrorKind.SHUTTING_DOWN, "it might not end before this node stops")
            refuse(request, failure, RETRY_AFTER_S, out)
            return
        self.node.quotas.admit(relay, now, out)

    def _known(self):
        return self.node.config_versions.find_version()

    def _refuse_by_config(self, request, failure, is_behind, out):
        if is_behind:
            reason = f"{failure.reason}, another node applies a newer one"
            failure = Failure(ErrorKind.CATALOG_UNCONFIRMED, reason)
        refuse(request, failure, RETRY_AFTER_S if is_behind else 0.0, out)

    def handle_caller_disconnected(self, message, now, out):
        """Forget a request whose caller has disconnected."""
        self.waiting.pop(message.request_id, None)

    def tick(self, now, out):
        """Decide on the requests that have waited long enough."""
        while self.next_deadline() <= now:
            self._end_wait(next(iter(self.waiting.values())), now, out)

    def next_deadline(self):
        """Return the time (s) at which the oldest waiting request has waited long enough."""
        if not self.waiting:
            return inf
        return next(iter(self.waiting.values())).arrived_at + CONFIG_WAIT_S


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
