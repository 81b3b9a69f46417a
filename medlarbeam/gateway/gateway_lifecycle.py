"""Start, readiness and graceful shutdown of a gateway."""

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import Exit, LogEvent
from medlarbeam.classes.gateway_effects import (
    CloseIdleConnections,
    ReleaseRights,
    StopListening,
)
from medlarbeam.classes.gateway_messages import CallerConnections
from medlarbeam.classes.messages import Shutdown
from medlarbeam.node.component import Component

__all__ = ["GatewayLifecycle"]

CHECK_INTERVAL_S = 0.1
# The load balancer checks readiness once a second and removes a node after two failed checks.
LB_REMOVAL_S = 2.6
# A caller that has not used its connection for this long after a response counts as idle. Callers
# that send one request after the other do so within a few ms.
IDLE_CONNECTION_S = 0.2
EXIT_S = 0.7  # end of the grace period, for the rights to be given back and the process to exit
FINAL_RESPONSES_S = 0.3  # before that, for the last responses to reach their callers


class GatewayLifecycle(Component):
    """Drives the chart ``node`` of this process."""

    __slots__ = (
        "chart",
        "has_open_connections",
        "is_listening",
        "leaving_at",
        "next_check",
        "state",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("node", GatewayLifecycle)
        self.state = self.chart.initial
        self.is_listening = True
        self.has_open_connections = True
        self.leaving_at = 0.0
        self.next_check = 0.0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            Shutdown: self.handle_shutdown,
            CallerConnections: self.handle_caller_connections,
        }

    def is_accepting(self):
        """Return whether the node reports itself ready for new connections."""
        return self.chart.has_tag(self, "accepting")

    def is_leaving(self):
        """Return whether the node is shutting down."""
        return self.chart.has_tag(self, "leaving")

    def handle_shutdown(self, message, now, out):
        """Start the graceful shutdown."""
        self.chart.fire(self, "shutdown", self, now, out)

    def handle_caller_connections(self, message, now, out):
        """Record whether callers may still send requests."""
        self.has_open_connections = message.count > 0

    def start_leaving(self, subject, now, out):
        """Report not ready; requests that still arrive are served."""
        self.leaving_at = now
        out.emit(LogEvent("leaving", f"open={self.node.relays.open_count()}"))

    def exit_process(self, subject, now, out):
        """Release the rights and exit the process."""
        out.emit(LogEvent("stopped", f"open={self.node.relays.open_count()}"))
        registration = self.node.fleet.registration_revision
        out.emit(ReleaseRights(self.node.rights.list_own(), registration))
        out.emit(Exit())

    def next_deadline(self):
        """Return the time (s) of the next check."""
        return self.next_check

    def tick(self, now, out):
        """Become ready once the configuration is known, or stop once open requests have ended."""
        self.next_check = now + CHECK_INTERVAL_S
        if self.node.fleet.is_known() and self.chart.fire(self, "ready"):
            out.emit(LogEvent("ready", f"version={self.node.fleet.config.version}"))
        if self.is_leaving():
            self._leave(now, out)

    def _leave(self, now, out):
        waited_s = now - self.leaving_at
        if waited_s <= LB_REMOVAL_S:
            return
        if self.is_listening:
            self.is_listening = False
            out.emit(StopListening())
        if now >= self._find_work_end():
            self.node.relays.end_all(now, out)
        open_count = self.node.relays.open_count() + self.node.quotas.count_waiting()
        is_idle = not self.has_open_connections and open_count == 0
        if is_idle or now >= self._find_work_end() + FINAL_RESPONSES_S:
            self.chart.fire(self, "left", self, now, out)
        else:
            out.emit(CloseIdleConnections(IDLE_CONNECTION_S))

    def can_finish(self, deadline_at, now):
        """Return whether a request that arrives at `now` (s) may be taken.

        A request that arrives late in a planned stop must be sure to end before the process does.
        While the load balancer still sends new connections, every request is taken: most end long
        before their deadline.

        Parameters
        ----------
        deadline_at : float
            Time (s) at which the request ends in any case.
        now : float
        """
        if not self.is_leaving() or now - self.leaving_at <= LB_REMOVAL_S:
            return True
        return deadline_at <= self._find_work_end()

    def _find_work_end(self):
        """Return the time (s) at which the open requests of a stopping node are ended."""
        return self.leaving_at + self.node.settings.grace_s - EXIT_S - FINAL_RESPONSES_S
