"""Startup, readiness and graceful shutdown of a node."""

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import Exit, LogEvent
from medlarbeam.classes.messages import Shutdown
from medlarbeam.node.component import Component

__all__ = ["Lifecycle"]

CHECK_INTERVAL_S = 0.1
LEAVE_LIMIT_S = 10.0  # a platform outage must not keep an idle process from exiting


class Lifecycle(Component):
    """Lifecycle of the node process, the subject of the chart ``node``.

    Attributes
    ----------
    state : str
    idle_since : float or None
        Time (s) since which a leaving node has no work; None while it has some.
    """

    __slots__ = ("chart", "idle_since", "next_check", "state")

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("node", Lifecycle)
        self.state = self.chart.initial
        self.idle_since = None
        self.next_check = 0.0

    def handlers(self):
        """Return the handlers by message class."""
        return {Shutdown: self.handle_shutdown}

    def is_accepting(self):
        """Return whether the node accepts callers' requests, which is its readiness."""
        return self.chart.has_tag(self, "accepting")

    def handle_shutdown(self, message, now, out):
        """Begin the graceful shutdown."""
        self.chart.fire(self, "shutdown", self, now, out)

    def start_leaving(self, subject, now, out):
        """Begin to hand over the backend servers; requests in progress continue."""
        out.emit(LogEvent("leaving"))
        self.node.ownership.start_leaving(now, out)

    def exit_process(self, subject, now, out):
        """Log the stop and end the process."""
        out.emit(LogEvent("stopped"))
        out.emit(Exit())

    def next_deadline(self):
        """Return the time (s) of the next check."""
        return self.next_check

    def tick(self, now, out):
        """Become ready once the records and the catalog are known; exit once all work is done."""
        self.next_check = now + CHECK_INTERVAL_S
        if self._has_initial_state():
            if self.chart.fire(self, "ready"):
                out.emit(LogEvent("ready"))
        if self.chart.has_tag(self, "leaving") and self._may_exit(now):
            self.chart.fire(self, "left", self, now, out)

    def _has_initial_state(self):
        return self.node.catalog.is_known() and self.node.ownership.is_known()

    def _may_exit(self, now):
        node = self.node
        busy = node.requests.open_count() or node.runs.open_count() or not node.claims.is_idle()
        if busy:
            self.idle_since = None
            return False
        if self.idle_since is None:
            self.idle_since = now
        return node.ownership.has_left() or now - self.idle_since > LEAVE_LIMIT_S
