"""Backend servers that state in their answers that they leave."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.classes.peer_messages import LeavingServer, RateLimitReport
from medlarbeam.classes.server_messages import ServerLeaving
from medlarbeam.gateway.fleet_state import describe_server
from medlarbeam.node.component import Component

__all__ = ["HINT_S", "LeavingServers"]

# Validity of another node's report. A node that ignores the server for longer could not find out
# that the report was wrong, and most servers have left after some seconds.
HINT_S = 5.0
MAX_HINTED_SHARE = 0.5  # of the usable servers of a service; further reports are ignored
# Random, so that few of the nodes that learn it together report it: a report received meanwhile
# replaces a node's own.
REPORT_DELAY_S = (0.02, 0.1)
MAX_REPORTED = 32  # servers in a datagram
MAX_NAMED = 3  # servers in the reason of a refusal


class LeavingServers(Component):
    """Takes out the servers that say so in an answer, and exchanges reports with other nodes.

    A statement in an answer to this node is final for the incarnation, see `FleetState.take_out`.
    The report of another node is a hint: other servers are preferred for `HINT_S`. It does not
    concern orders, order rights and runs.

    Attributes
    ----------
    hints : dict
        Time (s) until which a report is valid, by name and start (ms) of the server.
    unreported : dict
        Servers to report to the other nodes, by name and start (ms).
    report_at : float
        Time (s) of the next report.
    """

    __slots__ = ("hints", "report_at", "unreported")

    def __init__(self, node):
        super().__init__(node)
        self.hints = {}
        self.unreported = {}
        self.report_at = inf

    def handlers(self):
        """Return the handler method of each message class."""
        return {ServerLeaving: self.handle_leaving, NodeDatagram: self.handle_datagram}

    def handle_leaving(self, message, now, out):
        """Take out a backend server that says that it leaves."""
        key = (message.server, message.started_at_ms)
        source = f"in the answer to {message.request_id or message.source}"
        if not self.node.fleet.take_out(*key, source, now):
            return
        entry = self.node.fleet.servers[message.server].entry
        out.emit(
            LogEvent(
                "server_leaving",
                f"{describe_server(entry)} started_at_ms={entry.started_at_ms} "
                f"source={message.source} value={message.value!r}",
                message.request_id,
            )
        )
        if self.hints.pop(key, -inf) <= now:
            self.unreported[key] = LeavingServer(*key)
            self.report_at = min(self.report_at, now + self.node.rng.uniform(*REPORT_DELAY_S))

    # Reports of other nodes

    def handle_datagram(self, message, now, out):
        """Note the servers that leave according to another node."""
        body = message.body
        if not isinstance(body, RateLimitReport) or body.node not in self.node.fleet.nodes:
            return
        for item in body.leaving[:MAX_REPORTED]:
            key = (item.server, item.started_at_ms)
            self.unreported.pop(key, None)
            if self._may_note(key, now):
                if key not in self.hints:
                    detail = f"server={item.server} reported_by={body.node} valid_s={HINT_S}"
                    out.emit(LogEvent("leaving_reported", detail))
                self.hints[key] = now + HINT_S

    def _may_note(self, key, now):
        """Return whether a report names a usable incarnation, and few enough are reported."""
        known = self.node.fleet.servers.get(key[0])
        if known is None or known.entry.started_at_ms != key[1] or known.stop_at <= now:
            return False
        usable = self.node.fleet.usable_servers(known.entry.service, now)
        others = sum(1 for e in usable if e.name != key[0] and self._is_hinted(e, now))
        return others + 1 <= MAX_HINTED_SHARE * len(usable)

    def _is_hinted(self, entry, now):
        until = self.hints.get((entry.name, entry.started_at_ms), -inf)
        # A leaving server says so in all answers, so an own answer without it refutes the report.
        return until > now and not self.node.health.has_responded_since(entry.name, until - HINT_S)

    def exclude_reported(self, entries, now):
        """Return the `ServerRegistration` list without reported servers, unless all of them are."""
        if not self.hints:
            return entries
        return [entry for entry in entries if not self._is_hinted(entry, now)] or entries

    def handle_demand(self, demand, out):
        """Tell a node that demands an adapter on a server that leaves; no order will be sent."""
        known = self.node.fleet.servers.get(demand.server)
        peer = self.node.fleet.nodes.get(demand.node)
        if known is not None and known.draining and peer is not None:
            items = [LeavingServer(demand.server, known.entry.started_at_ms)]
            report = RateLimitReport(self.node.settings.name, [], items)
            out.emit(SendDatagram(peer.address, report))

    # Requests without a server

    def find_refusal_reason(self, relay, choice, now):
        """Return why no server will take a request because servers leave, "" if one may.

        A request for which `choice` offers no server, or one that would have to load first, is
        refused at once if all listed servers of its service leave, or all that have its model:
        models are loaded only on engines that hold none.
        """
        fleet = self.node.fleet
        if not fleet.left or choice is not None and choice.ready_in_s is not None:
            return ""
        known = [k for k in fleet.servers.values() if k.entry.service == relay.service]
        usable = [k.entry for k in known if k.stop_at > now]
        leaving = [k.entry for k in known if k.is_listed_leaving()]
        key = relay.request.key
        wanted = relay.service
        if usable and key is not None:
            if any(key.model in e.models or not e.models for e in usable):
                return ""
            leaving = [entry for entry in leaving if key.model in entry.models]
            wanted = f"model {key.model}"
        elif usable:
            return ""
        if not leaving:
            return ""
        texts = [f"server={e.name} said so {self._find_source(e)}" for e in leaving[:MAX_NAMED]]
        return f"all {len(leaving)} backend servers of {wanted} leave: {', '.join(texts)}"

    def _find_source(self, entry):
        return self.node.fleet.left.get((entry.name, entry.started_at_ms), "before")

    def tick(self, now, out):
        """Report servers that are due, and drop what has expired."""
        if self.report_at <= now:
            self.report_at = inf
            items = list(self.unreported.values())
            self.unreported.clear()
            for start in range(0, len(items), MAX_REPORTED):
                batch = items[start : start + MAX_REPORTED]
                self.node.fleet.broadcast(RateLimitReport(self.node.settings.name, [], batch), out)
        if self.hints and min(self.hints.values()) <= now:
            self.hints = {key: until for key, until in self.hints.items() if until > now}

    def next_deadline(self):
        """Return the time (s) of the next report or expiry."""
        return min(self.report_at, *self.hints.values()) if self.hints else self.report_at
