"""Whether this node, and the others, reach the backend servers of each service."""

from math import inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import ProbeServer
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.classes.peer_messages import PathReport
from medlarbeam.classes.server_messages import ProbeResult
from medlarbeam.node.component import Component

__all__ = ["ServerPaths"]

# Connections to this many servers fail without an answer of another one before the path is checked.
DOUBTFUL_FAILURES = 2
FAILURE_WINDOW_S = 1.0
CHECKED_SERVERS = 4  # that are probed; one that accepts shows that the path is there
CHECK_TIMEOUT_S = 0.5  # longer than a probe takes
# Between the starts of two checks. Orders without an answer cause checks too; they may be many.
CHECK_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 0.5  # while the path is lost
REPORT_INTERVAL_S = 1.0
REPORT_VALIDITY_S = 3.0


class ServerPath:
    """Path of this node to the backend servers of a service.

    Attributes
    ----------
    state : str
        State of the chart ``server_path``.
    failed : dict of str to float
        Times (s) of failed connections since the last answer, by server.
    probed : set of str
        Servers whose probes are awaited.
    due_at : float
        Time (s) of the end of the check, or of the next probe.
    checked_at : float
        Time (s) of the start of the last check.
    """

    __slots__ = ("checked_at", "due_at", "failed", "probed", "service", "state")

    def __init__(self, service, state):
        self.service = service
        self.state = state
        self.failed = {}
        self.probed = set()
        self.due_at = inf
        self.checked_at = -inf


class ServerPaths(Component):
    """Drives the chart ``server_path`` of each service, and exchanges losses with other nodes.

    A node may lose the path to all backend servers while callers, the store and other nodes still
    reach it. Nothing that it finds then is a finding on the servers: its requests go through
    other nodes, and refused connections are no crashes.

    Attributes
    ----------
    paths : dict of str to ServerPath
        By service.
    elsewhere : dict
        Time (s) until which a report is valid, by node and service.
    """

    __slots__ = ("chart", "elsewhere", "paths", "report_at")

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("server_path", ServerPaths)
        self.paths = {}
        self.elsewhere = {}
        self.report_at = inf

    def handlers(self):
        """Return the handler method of each message class."""
        return {ProbeResult: self.handle_probe_result, NodeDatagram: self.handle_datagram}

    # The path of this node

    def is_lost(self, service):
        """Return whether no backend server of `service` accepts connections of this node."""
        path = self.paths.get(service)
        return path is not None and self.chart.has_tag(path, "lost")

    def is_doubtful(self, service):
        """Return whether the path is lost, or is being checked."""
        path = self.paths.get(service)
        return path is not None and self.chart.has_tag(path, "doubtful")

    def is_checking(self, service):
        """Return whether it will be known soon if the path is lost."""
        return self.is_doubtful(service) and not self.is_lost(service)

    def count_lost(self):
        """Return the number of services whose backend servers this node does not reach."""
        return sum(1 for service in self.paths if self.is_lost(service))

    def _find_path(self, server):
        known = self.node.fleet.servers.get(server)
        if known is None:
            return None
        service = known.entry.service
        if service not in self.paths:
            self.paths[service] = ServerPath(service, self.chart.initial)
        return self.paths[service]

    def record_answer(self, server):
        """Record an answer of a backend server; while the path is doubtful, only probes count.

        Connections may live on while new ones are refused.
        """
        path = self._find_path(server)
        if path is not None and path.failed and not self.is_doubtful(path.service):
            path.failed.clear()

    def record_failure(self, server, now, out):
        """Record that a backend server could not be reached."""
        path = self._find_path(server)
        if path is None:
            return
        path.failed = {n: at for n, at in path.failed.items() if at > now - FAILURE_WINDOW_S}
        path.failed[server] = now
        usable = self.node.fleet.usable_servers(path.service, now)
        if now < path.checked_at + CHECK_INTERVAL_S:
            return
        if len(path.failed) >= min(DOUBTFUL_FAILURES, len(usable)):
            self.chart.fire(path, "doubted", self, now, out)

    def start_check(self, path, now, out):
        """Probe servers, of those that have not failed first."""
        path.checked_at = now
        path.due_at = now + CHECK_TIMEOUT_S
        self._probe(path, CHECKED_SERVERS, now, out)

    def _probe(self, path, count, now, out):
        usable = self.node.fleet.usable_servers(path.service, now)
        self.node.rng.shuffle(usable)
        usable.sort(key=lambda entry: entry.name in path.failed)
        path.probed = {entry.name for entry in usable[:count]}
        for entry in usable[:count]:
            out.emit(ProbeServer(entry))

    def handle_probe_result(self, message, now, out):
        """Note whether a backend server accepts connections."""
        path = self._find_path(message.server)
        if path is None:
            return
        path.probed.discard(message.server)
        if message.is_accepted:
            path.failed.clear()
            self.chart.fire(path, "accepted", self, now, out)
        elif not path.probed:
            self.chart.fire(path, "rejected", self, now, out)

    def announce_loss(self, path, now, out):
        """Log that the path is lost, and tell the other nodes."""
        path.due_at = now + PROBE_INTERVAL_S
        out.emit(LogEvent("path_lost", f"service={path.service}", level="warning"))
        self.node.relays.wake_service(path.service, now)
        self.report(now, out)

    def announce_return(self, path, now, out):
        """Log that the path is back, and tell the other nodes."""
        out.emit(LogEvent("path_regained", f"service={path.service}"))
        self.report(now, out)

    def report(self, now, out):
        """Tell the other nodes of the paths of this node, and the configuration that it applies."""
        lost = [service for service in self.paths if self.is_lost(service)]
        self.report_at = now + REPORT_INTERVAL_S if lost else inf
        version = self.node.config_versions.find_version()
        self.node.fleet.broadcast(PathReport(self.node.settings.name, lost, version), out)

    # The paths of other nodes

    def handle_datagram(self, message, now, out):
        """Note the services whose servers another node does not reach."""
        body = message.body
        if isinstance(body, PathReport) and body.node in self.node.fleet.nodes:
            kept = {
                key: until
                for key, until in self.elsewhere.items()
                if key[0] != body.node and until > now
            }
            self.elsewhere = kept
            for service in body.lost:
                self.elsewhere[body.node, service] = now + REPORT_VALIDITY_S

    def is_lost_elsewhere(self, name, service, now):
        """Return whether the node `name` has reported that it reaches no server of `service`."""
        return self.elsewhere.get((name, service), -inf) > now

    def tick(self, now, out):
        """End checks, probe the servers of lost paths, and report them."""
        for path in self.paths.values():
            if path.due_at <= now:
                path.due_at = inf
                self.chart.fire(path, "rejected", self, now, out)
                if self.chart.has_tag(path, "lost"):
                    path.due_at = now + PROBE_INTERVAL_S
                    self._probe(path, 2, now, out)
        if self.report_at <= now:
            self.report(now, out)

    def next_deadline(self):
        """Return the time (s) of the next probe, end of a check, or report."""
        earliest = self.report_at
        for path in self.paths.values():  # after each message, so without a generator
            if path.due_at < earliest:
                earliest = path.due_at
        return earliest
