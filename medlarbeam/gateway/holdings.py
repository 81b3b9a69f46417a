"""Adapter holdings of the backend servers, as reported by the holders of their rights."""

from math import inf

from medlarbeam.classes.fleet import ServerRegistration
from medlarbeam.classes.gateway_messages import EntryUpdated, NodeDatagram, StoreSnapshot
from medlarbeam.classes.peer_messages import AdapterHolding, HoldingReport
from medlarbeam.node.component import Component

__all__ = ["Holding", "Holdings"]

CLEANUP_INTERVAL_S = 30.0
RUNS_MAX_AGE_S = 2.5  # age limit of a run count; a holder repeats its report every 2 s


class Holding:
    """Version (0 if unknown) of an adapter on a backend server, and the time (s) it is ready."""

    __slots__ = ("ready_at", "version")

    def __init__(self, version, ready_at):
        self.version = version
        self.ready_at = ready_at


class _Report:
    __slots__ = ("adapters", "at", "fence", "running", "serial", "spare")

    def __init__(self, report, adapters, now):
        self.at = now
        self.running = report.running
        self.fence = report.fence
        self.serial = report.serial
        self.spare = report.spare
        self.adapters = adapters


class Holdings(Component):
    """Collects the holding reports of the nodes that order the backend servers.

    Attributes
    ----------
    reports : dict
        Latest report by the name of the backend server.
    servers_by_key : dict
        Names of the backend servers that hold or load an `AdapterKey`.
    """

    __slots__ = ("cleanup_at", "reports", "servers_by_key")

    def __init__(self, node):
        super().__init__(node)
        self.reports = {}
        self.servers_by_key = {}
        self.cleanup_at = 0.0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            NodeDatagram: self.handle_datagram,
            EntryUpdated: self.handle_entry_updated,
            StoreSnapshot: self.handle_snapshot,
        }

    def handle_datagram(self, message, now, out):
        """Handle a `HoldingReport` of another node."""
        if isinstance(message.body, HoldingReport):
            self.apply_report(message.body, now)

    def handle_snapshot(self, message, now, out):
        """Handle each entry of a snapshot."""
        for entry in message.entries:
            self.handle_entry_updated(entry, now, out)

    def begin_start(self, entry, now):
        """Replace the report on the former start of a backend server by the new entry.

        It gets a serial above that report's, which may arrive once more.
        """
        known = self.reports.get(entry.name)
        if known is not None:
            self._apply_entry(entry, known.fence, known.serial + 1, now)

    def _apply_entry(self, entry, fence, serial, now):
        holdings = [AdapterHolding(k, version, 0.0) for k, version in entry.adapters.items()]
        self.apply_report(HoldingReport("", entry.name, fence, serial, holdings), now)

    def handle_entry_updated(self, message, now, out):
        """Use the adapters in the entry of a backend server until its holder sends a report."""
        entry = message.value
        if isinstance(entry, ServerRegistration) and entry.name not in self.reports:
            self._apply_entry(entry, 0, 0, now)

    def apply_report(self, report, now):
        """Apply a `HoldingReport` unless a newer one is known."""
        known = self.reports.get(report.server)
        if known is not None and (known.fence, known.serial) > (report.fence, report.serial):
            return
        adapters = {h.key: Holding(h.version, now + h.ready_in_s) for h in report.holdings}
        if report.is_partial and known is not None:
            for key in report.removed:
                self.forget(report.server, key)
            known.adapters.update(adapters)
            known.spare = report.spare
            known.serial = report.serial
            known.running = report.running
            known.at = now
        else:
            self._drop(report.server)
            self.reports[report.server] = _Report(report, adapters, now)
        for key in adapters:
            self.servers_by_key.setdefault(key, set()).add(report.server)
        if report.node:
            self.node.prompts.record_report(report.server, report.prompt_tokens, now)
        self.node.relays.wake(adapters, now)

    def _drop(self, server):
        report = self.reports.pop(server, None)
        for key in list(report.adapters) if report is not None else ():
            self._unlink(server, key)

    def _unlink(self, server, key):
        servers = self.servers_by_key.get(key, set())
        servers.discard(server)
        if not servers:
            self.servers_by_key.pop(key, None)

    def find(self, server, key):
        """Return the `Holding` of `key` on `server`, or None."""
        report = self.reports.get(server)
        return report.adapters.get(key) if report is not None else None

    def find_servers(self, key):
        """Return the names of the backend servers that hold or load `key`."""
        return self.servers_by_key.get(key, ())

    def find_running(self, server, now):
        """Return the last reported runs of all nodes on `server`, 0 if the report is too old."""
        report = self.reports.get(server)
        if report is None or now - report.at > RUNS_MAX_AGE_S:
            return 0
        return report.running

    def find_spare(self, server):
        """Return the number of free or evictable adapter slots of `server`, as last reported."""
        report = self.reports.get(server)
        return report.spare if report is not None else 0

    def forget(self, server, key):
        """Remove `key` from the holdings of `server`."""
        report = self.reports.get(server)
        if report is not None and report.adapters.pop(key, None) is not None:
            self._unlink(server, key)

    def delay(self, server, key, ready_at):
        """Postpone the ready time of `key` on `server` to at least `ready_at` (s)."""
        holding = self.find(server, key)
        if holding is not None:
            holding.ready_at = max(holding.ready_at, ready_at)

    def tick(self, now, out):
        """Delete the reports of removed backend servers."""
        self.cleanup_at = now + CLEANUP_INTERVAL_S
        for name in [n for n in self.reports if n not in self.node.fleet.servers]:
            self._drop(name)

    def next_deadline(self):
        """Return the time (s) of the next cleanup."""
        return self.cleanup_at if self.reports else inf
