"""Reports of crashes to the other nodes, repeated and sent again to nodes that start."""

from collections import deque
from math import inf

from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import EntryUpdated, StoreSnapshot
from medlarbeam.classes.peer_messages import DeathReport
from medlarbeam.node.component import Component

__all__ = ["MAX_DEATHS", "MAX_REPORTED", "SUSPECT_S", "CrashReports", "OwnReport"]

SUSPECT_S = 120.0  # for which a suspicion is kept after the last crash
MAX_DEATHS = 256
MAX_REPORTED = 48  # fingerprints in a datagram
REPEATS_AFTER_S = (0.6, 0.15)  # the later one first


class OwnReport:
    """Runs of this node that were lost in a crash, as reported to the other nodes.

    Parameters
    ----------
    death_id : str
    lost_at : float
        Time (s) of the crash.
    runs : list of LostRun
    is_retracted : bool
    now : float

    Attributes
    ----------
    reported_at : float
        Time (s) of the first report.
    repeats : list of float
        Times (s) of the repeats that are due, the latest first.
    """

    __slots__ = ("death_id", "is_retracted", "lost_at", "repeats", "reported_at", "runs")

    def __init__(self, death_id, lost_at, runs, is_retracted, now):
        self.death_id = death_id
        self.lost_at = lost_at
        self.runs = runs
        self.is_retracted = is_retracted
        self.reported_at = now
        self.repeats = [now + after_s for after_s in REPEATS_AFTER_S]


class CrashReports(Component):
    """Keeps the reports of this node for as long as they are evidence.

    Reports are datagrams, which may be lost, and a node that starts knows of no crash. Whoever
    receives a report counts each run in it once.

    Attributes
    ----------
    reports : collections.deque of OwnReport
        The newest last.
    incarnations : dict of str to int
        Of the nodes that have been told, by name.
    """

    __slots__ = ("incarnations", "repeat_at", "reports")

    def __init__(self, node):
        super().__init__(node)
        self.reports = deque()
        self.repeat_at = inf
        self.incarnations = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            EntryUpdated: self.handle_entry_updated,
            StoreSnapshot: self.handle_snapshot,
        }

    def send(self, death_id, lost_at, runs, is_retracted, now, out):
        """Report a crash to this node itself and to the others.

        Parameters
        ----------
        death_id : str
        lost_at : float
            Time (s) of the crash.
        runs : list of LostRun
        is_retracted : bool
            Whether it turned out not to have happened.
        """
        while self.reports and self.reports[0].reported_at < now - SUSPECT_S:
            self.reports.popleft()
        for batch in split_runs(runs):
            report = OwnReport(death_id, lost_at, batch, is_retracted, now)
            self.reports.append(report)
            self.repeat_at = min(self.repeat_at, report.repeats[-1])
            body = self._build(report, now)
            self.node.crashes.apply_death(body, now, out)
            self.node.fleet.broadcast(body, out)
        while len(self.reports) > MAX_DEATHS:
            self.reports.popleft()

    def _build(self, report, now):
        return DeathReport(
            self.node.settings.name,
            report.death_id,
            now - report.lost_at,
            now - self.node.crashes.served.last(),
            report.runs,
            report.is_retracted,
        )

    def handle_entry_updated(self, message, now, out):
        """Inform a node that has started again."""
        value = message.value
        if not isinstance(value, NodeRegistration) or value.name == self.node.settings.name:
            return
        if self.incarnations.get(value.name) == value.incarnation:
            return
        self.incarnations[value.name] = value.incarnation
        for report in self.reports:
            if report.reported_at >= now - SUSPECT_S:
                out.emit(SendDatagram(value.address, self._build(report, now)))

    def handle_snapshot(self, message, now, out):
        """Inform the nodes that have started again."""
        for entry in message.entries:
            self.handle_entry_updated(entry, now, out)
        names = {node for node in self.incarnations if node in self.node.fleet.nodes}
        self.incarnations = {name: self.incarnations[name] for name in names}

    def tick(self, now, out):
        """Repeat the reports that are due."""
        for report in self.reports:
            while report.repeats and report.repeats[-1] <= now:
                report.repeats.pop()
                self.node.fleet.broadcast(self._build(report, now), out)
        self.repeat_at = min((r.repeats[-1] for r in self.reports if r.repeats), default=inf)

    def next_deadline(self):
        """Return the time (s) of the next repeat."""
        return self.repeat_at


def split_runs(runs):
    """Return lists of `LostRun` with about `MAX_REPORTED` fingerprints each."""
    batches = [[]]
    count = 0
    for run in runs:
        if count >= MAX_REPORTED:
            batches.append([])
            count = 0
        batches[-1].append(run)
        count += 1 + len(run.shared_parts)
    return batches
