"""Health and load of the backend servers, as observed by the requests of this node."""

from math import inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.node.component import Component

__all__ = ["HealthRecord", "ServerHealth"]

FAILURE_EWMA_WEIGHT = 0.15  # weight of the newest outcome in the moving average of failures
# A healthy plain service may respond to one request in seven with an error of its own, so a server
# is suspect only well above that rate and well above the other servers of its service.
MIN_FAILING_SHARE = 0.35
FAILING_RATIO = 2.0
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0  # a crashed backend server restarts within seconds
MAX_LOAD_AGE_S = 0.5  # older reports are less accurate than the count of the node's own open runs
CLEANUP_INTERVAL_S = 30.0


class HealthRecord:
    """Health of one backend server; a circuit breaker.

    Attributes
    ----------
    state : str
        State of the chart ``server_health``.
    open_runs : int
        Runs of this node on it.
    failure_share : float
        Exponential moving average of failures, 0 to 1.
    last_response_at : float
        Time (s) of the last response.
    load : ServerLoad or None
    load_at : float
        Time (s) of the last load report.
    backoff_s, retry_at : float
        Duration and end (s) of the current backoff.
    trial_at : float
        Time (s) at which the trial run was sent.
    """

    __slots__ = (
        "backoff_s",
        "failure_share",
        "last_response_at",
        "load",
        "load_at",
        "name",
        "open_runs",
        "retry_at",
        "state",
        "trial_at",
    )

    def __init__(self, name, state):
        self.name = name
        self.state = state
        self.open_runs = 0
        self.failure_share = 0.0
        self.last_response_at = -inf
        self.load = None
        self.load_at = -inf
        self.backoff_s = 0.0
        self.retry_at = -inf
        self.trial_at = -inf


class ServerHealth(Component):
    """Drives the chart ``server_health`` of each backend server, by name.

    Attributes
    ----------
    records : dict of str to HealthRecord
    suspects : set of str
        Backend servers that are suspect or on trial; each selection asks for all that it rates.
    """

    __slots__ = ("chart", "cleanup_at", "records", "suspects")

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("server_health", ServerHealth)
        self.records = {}
        self.suspects = set()
        self.cleanup_at = 0.0

    def record(self, name):
        """Return the `HealthRecord` of a backend server, a new one if it has none."""
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = HealthRecord(name, self.chart.initial)
        return record

    def begin_start(self, name):
        """Forget what the former start of a backend server has shown, but not its open runs."""
        former = self.records.pop(name, None)
        self.suspects.discard(name)
        if former is not None and former.open_runs:
            self.record(name).open_runs = former.open_runs

    def open_run(self, name, now):
        """Count a run that is sent; in the state ``trial`` it is the trial run."""
        record = self.record(name)
        record.open_runs += 1
        if self.chart.has_tag(record, "trial"):
            record.trial_at = now
        return record

    def count_runs(self, name):
        """Return the number of open runs of this node on a backend server."""
        record = self.records.get(name)
        return record.open_runs if record is not None else 0

    def close_run(self, name):
        """Count a run that has ended."""
        record = self.record(name)
        record.open_runs = max(0, record.open_runs - 1)

    def record_response(self, name, now):
        """Record a response of a backend server."""
        self.record(name).last_response_at = now
        self.node.paths.record_answer(name)

    def has_responded_since(self, name, since):
        """Return whether a backend server has responded after `since` (s)."""
        return self.record(name).last_response_at > since

    def record_load(self, name, load, now):
        """Record the load that a backend server reported; `load` may be None."""
        if load is not None:
            record = self.record(name)
            record.load = load
            record.load_at = now

    def record_statements(self, server, load, now, out):
        """Record the load and the limits in the headers of a response that has just begun."""
        self.record_load(server.name, load, now)
        if load is not None:
            self.node.limits.observe(server.name, load.rate_limit, now)
            self.node.refusals.observe(server, load.refusal_limit, now, out)

    def record_outcome(self, name, event, now, out):
        """Record an outcome: ``succeeded``, ``failed`` or ``unreachable``."""
        record = self.record(name)
        if event == "succeeded":
            self.record_response(name, now)
        elif event == "unreachable":
            self.node.paths.record_failure(name, now, out)
        outcome = 0.0 if event == "succeeded" else 1.0
        record.failure_share += FAILURE_EWMA_WEIGHT * (outcome - record.failure_share)
        before = record.state
        self.chart.fire(record, event, self, now)
        if record.state != before:
            self._note_state(record)
            out.emit(
                LogEvent(
                    "server_trust",
                    f"server={name} state={record.state} event={event} "
                    f"failure_share={record.failure_share:.2f} pause_s={record.backoff_s}",
                )
            )

    def _note_state(self, record):
        if self.chart.has_tag(record, "preferred"):
            self.suspects.discard(record.name)
        else:
            self.suspects.add(record.name)

    def may_use(self, name, now):
        """Return whether new work should go to a backend server."""
        if name not in self.suspects:
            return True
        record = self.records[name]
        if record.retry_at <= now:
            self.chart.fire(record, "retried_later")
        return self.chart.has_tag(record, "trial") and now - record.trial_at > record.backoff_s

    def occupancy(self, entry, now):
        """Return the requests on a backend server divided by its slots."""
        busy = self.node.holdings.find_running(entry.name, now)
        record = self.records.get(entry.name)
        if record is not None:
            if record.open_runs > busy:
                busy = record.open_runs
            if record.load is not None and now - record.load_at < MAX_LOAD_AGE_S:
                reported = record.load.running + record.load.waiting
                if reported > busy:
                    busy = reported
        return busy / (entry.concurrency if entry.concurrency > 1 else 1)

    def count_suspects(self):
        """Return the number of backend servers that are suspect or on trial."""
        return len(self.suspects)

    # Guards and actions of the chart

    def is_failing(self, record, now):
        """Return whether the failure rate is too high, also relative to the service."""
        return record.failure_share >= max(
            MIN_FAILING_SHARE, FAILING_RATIO * self._mean_failure_share(record.name)
        )

    def _mean_failure_share(self, name):
        """Return the mean failure share of the other backend servers of the same service."""
        servers = self.node.fleet.servers
        service = servers[name].entry.service if name in servers else None
        shares = [
            r.failure_share
            for r in self.records.values()
            if r.name != name and r.name in servers and servers[r.name].entry.service == service
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def start_backoff(self, record, now):
        """Start an exponential backoff in which the server gets no new work."""
        record.backoff_s = min(MAX_BACKOFF_S, record.backoff_s * 2 or FIRST_BACKOFF_S)
        record.retry_at = now + record.backoff_s
        record.trial_at = -inf

    def reset_failures(self, record, now):
        """Reset the backoff and the failure average."""
        record.backoff_s = 0.0
        record.failure_share = 0.0

    def tick(self, now, out):
        """Delete the records of removed backend servers without open runs."""
        self.cleanup_at = now + CLEANUP_INTERVAL_S
        known = self.node.fleet.servers
        for name in [n for n, r in self.records.items() if n not in known and not r.open_runs]:
            del self.records[name]
            self.suspects.discard(name)

    def next_deadline(self):
        """Return the time (s) of the next cleanup."""
        return self.cleanup_at
