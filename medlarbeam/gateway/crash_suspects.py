"""Quarantine of requests that crash the backend servers that run them."""

from collections import deque
from math import inf

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import Quarantine
from medlarbeam.classes.gateway_effects import (
    ProbeServer,
    PublishQuarantine,
    WithdrawQuarantine,
)
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    NodeDatagram,
    StoreSetBack,
    StoreSnapshot,
)
from medlarbeam.classes.peer_messages import ClearanceReport, DeathReport, LostRun
from medlarbeam.classes.server_messages import ProbeResult
from medlarbeam.gateway.crash_evidence import (
    REQUEST_SCOPE,
    SuspicionRecord,
    find_convictions,
    format_fingerprint,
    format_parts,
    list_fingerprints,
    list_request_fingerprints,
)
from medlarbeam.node.component import Component

__all__ = ["CrashSuspects"]

SUSPECT_S = 120.0  # after the last crash
QUARANTINE_S = 600.0
SETTLE_S = 0.05  # until the reports of all nodes on a crash have arrived
CLEARANCE_DELAY_S = (0.02, 0.1)  # random, so that few nodes announce the same clearance
PUBLISH_STEP_S = 1.5  # between nodes that publish a quarantine; a written one is seen sooner
PROBE_INTERVAL_S = 0.2  # between probes of a backend server that loses connections
CANCELLED_S = 0.5  # in which a backend server may still crash under a cancelled run
LEAVES = "it had announced that it leaves"
MAX_RECORDS = 4096
MAX_DEATHS = 256
MAX_SERVED_PARTS = 20_000  # about 150 bytes each
MAX_REPORTED = 48  # fingerprints in a datagram


class LostRuns:
    """Runs whose connections to a backend server were lost, until a probe shows why.

    Attributes
    ----------
    lost_at : float
        Time (s) of the first loss.
    probe_at : float
        Time (s) of the next probe, infinity while one is in progress.
    requests : list of GatewayRequest
    """

    __slots__ = ("entry", "lost_at", "probe_at", "requests")

    def __init__(self, entry, now, probe_at):
        self.entry = entry
        self.lost_at = now
        self.probe_at = probe_at
        self.requests = []


class CancelledRun:
    """A request whose run on `server` was cancelled at the time `at` (s)."""

    __slots__ = ("at", "request", "server")

    def __init__(self, relay, at):
        self.at = at
        self.request = relay.request
        self.server = relay.server.name


class CrashSuspects(Component):
    """Drives the chart ``crash_suspicion`` for what crashed requests have in common.

    A backend server that loses the connections of runs and then refuses connections has crashed.
    Each request that ran on it, and each shared part of their prompts, gets a strike. A complete
    response clears them, at all nodes. What gets several strikes in succession is quarantined:
    requests with it are refused, and those that wait or have not begun are ended.

    Attributes
    ----------
    records : dict of str to SuspicionRecord
        By fingerprint, the oldest first.
    lost : dict of str to LostRuns
        By backend server.
    cancelled : collections.deque of CancelledRun
        The newest last.
    deaths : dict of str to float
        Times (s) of the last reports of crashes, by death id.
    published : dict of str to Quarantine
        Quarantines in the store, by key.
    next_due : float
        Time (s) at or before the earliest deadline of a record.
    lifted : dict of str to float
        Times (s) at which quarantines were deleted from the store, by fingerprint.
    is_set_back : bool
        Whether the next snapshot is of an older copy of the store.
    served_at : float
        Time (s) at which a node known to have served a request has last done so.
    served_parts : dict of str to None
        Prompt parts with which this node has seen requests served, the latest last.
    """

    __slots__ = (
        "announce_at",
        "cancelled",
        "chart",
        "cleared",
        "deaths",
        "is_set_back",
        "lifted",
        "lost",
        "next_due",
        "probed_at",
        "published",
        "records",
        "review_at",
        "served_at",
        "served_parts",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("crash_suspicion", CrashSuspects)
        self.records = {}
        self.lost = {}
        self.cancelled = deque()
        self.deaths = {}
        self.probed_at = {}
        self.published = {}
        self.lifted = {}
        self.is_set_back = False
        self.cleared = set()
        self.announce_at = inf
        self.review_at = inf
        self.next_due = inf
        self.served_at = -inf
        self.served_parts = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            ProbeResult: self.handle_probe_result,
            NodeDatagram: self.handle_datagram,
            EntryUpdated: self.handle_entry_updated,
            EntryDeleted: self.handle_entry_deleted,
            StoreSetBack: self.handle_set_back,
            StoreSnapshot: self.handle_snapshot,
        }

    # Requests

    def find_quarantined(self, request):
        """Return the `SuspicionRecord` for which a request is refused, or None."""
        if self.records:
            for fingerprint in list_request_fingerprints(request):
                record = self.records.get(fingerprint)
                if record is not None and self.chart.has_tag(record, "refused"):
                    return record
        return None

    def count_quarantined(self):
        """Return the number of fingerprints for which requests are refused."""
        return sum(1 for r in self.records.values() if self.chart.has_tag(r, "refused"))

    def record_success(self, request, now, out):
        """Clear what a completely served request contains."""
        self.served_at = now
        for part in request.shared_parts:
            self.served_parts.pop(part, None)
            self.served_parts[part] = None
        while len(self.served_parts) > MAX_SERVED_PARTS:
            del self.served_parts[next(iter(self.served_parts))]
        if self.records:
            for fingerprint in list_request_fingerprints(request):
                record = self.records.get(fingerprint)
                if record is not None:
                    detail = f"{fingerprint} deaths={','.join(record.deaths)}"
                    out.emit(LogEvent("suspicion_cleared", detail, request.request_id))
                    self._fire(fingerprint, "succeeded", now, out)

    def record_cancelled_run(self, relay, now):
        """Record that the current run of `relay` was cancelled; it may crash the server yet."""
        while self.cancelled and self.cancelled[0].at < now - CANCELLED_S:
            self.cancelled.popleft()
        self.cancelled.append(CancelledRun(relay, now))

    def _find_cancelled(self, server, since):
        """Return the requests whose runs on `server` were cancelled after `since` (s)."""
        return [c.request for c in self.cancelled if c.server == server and c.at >= since]

    def record_lost_run(self, relay, now, out):
        """Record that the connection of the current run of `relay` was lost."""
        entry = relay.server
        lost = self.lost.get(entry.name)
        if lost is None:
            probe_at = max(now, self.probed_at.get(entry.name, -inf) + PROBE_INTERVAL_S)
            lost = self.lost[entry.name] = LostRuns(entry, now, probe_at)
        lost.requests.append(relay.request)
        if lost.probe_at <= now:
            self._probe(lost, now, out)

    # Crashes

    def _probe(self, lost, now, out):
        entry = lost.entry
        if self.node.fleet.is_leaving(entry.name, entry.started_at_ms):
            # It may have exited as announced, which is no evidence against the runs that it cut.
            self.lost.pop(entry.name, None)
            self._log_not_crashed(lost, LEAVES, out)
            return
        lost.probe_at = inf
        self.probed_at[lost.entry.name] = now
        out.emit(ProbeServer(lost.entry))

    def _log_not_crashed(self, lost, reason, out):
        detail = f"server={lost.entry.name} lost_runs={len(lost.requests)} {reason}"
        out.emit(LogEvent("server_not_crashed", detail))

    def handle_probe_result(self, message, now, out):
        """Give strikes to the lost runs of a backend server that refuses connections."""
        lost = self.lost.pop(message.server, None)
        if lost is None:
            return
        is_leaving = self.node.fleet.is_leaving(lost.entry.name, lost.entry.started_at_ms)
        if is_leaving or not message.is_refused:
            self._log_not_crashed(lost, LEAVES if is_leaving else message.reason, out)
            return
        self.node.health.record_outcome(message.server, "unreachable", now, out)
        if self._is_path_doubtful(lost, now, out):
            return
        death_id = f"{lost.entry.name}/{lost.entry.started_at_ms}"
        out.emit(
            LogEvent(
                "server_crashed",
                f"death={death_id} lost_runs={len(lost.requests)} {message.reason}",
                level="warning",
            )
        )
        cancelled = self._find_cancelled(message.server, lost.lost_at - CANCELLED_S)
        self._report_death(death_id, now - lost.lost_at, lost.requests + cancelled, now, out)

    def _is_path_doubtful(self, lost, now, out):
        """Return whether a refused connection shows nothing, since others may fail as well.

        While that is being checked, the server is probed again later.
        """
        paths, service = self.node.paths, lost.entry.service
        if paths.is_lost(service):
            self._log_not_crashed(lost, f"no server of {service} is reached", out)
        elif paths.is_doubtful(service):
            lost.probe_at = now + PROBE_INTERVAL_S
            self.lost[lost.entry.name] = lost
        return paths.is_doubtful(service)

    def _report_death(self, death_id, age_s, requests, now, out):
        name, served_age_s = self.node.settings.name, now - self.served_at
        runs = [self._build_lost_run(request) for request in requests]
        for batch in split_runs(runs):
            report = DeathReport(name, death_id, age_s, served_age_s, batch)
            self._apply_death(report, now, out)
            self.node.fleet.broadcast(report, out)

    def _build_lost_run(self, request):
        served = [part for part in request.shared_parts if part in self.served_parts]
        return LostRun(format_fingerprint(request), list(request.shared_parts), served)

    def _handle_death_report(self, report, now, out):
        """Apply a report, and report own runs that were cancelled just before the crash."""
        is_new = report.death_id not in self.deaths
        self._apply_death(report, now, out)
        server = report.death_id.rpartition("/")[0]
        cancelled = self._find_cancelled(server, now - report.age_s - CANCELLED_S)
        if is_new and cancelled:
            self._report_death(report.death_id, report.age_s, cancelled, now, out)

    def handle_datagram(self, message, now, out):
        """Handle a death report or a clearance of another node."""
        body = message.body
        if isinstance(body, DeathReport):
            self._handle_death_report(body, now, out)
        elif isinstance(body, ClearanceReport):
            self.cleared.difference_update(body.fingerprints)
            for fingerprint in body.fingerprints:
                self._fire(fingerprint, "cleared", now, out)

    def _apply_death(self, report, now, out):
        self.deaths[report.death_id] = now
        while len(self.deaths) > MAX_DEATHS:
            del self.deaths[next(iter(self.deaths))]
        self.served_at = max(self.served_at, now - report.served_age_s)
        lost_at = now - report.age_s
        for run in report.runs:
            served = format_parts(run.served_parts)
            for fingerprint in list_fingerprints(run.fingerprint, run.shared_parts):
                record = self._get_or_create(fingerprint, now, out)
                record.was_served = record.was_served or fingerprint in served
                if record.record_run(report.death_id, run.fingerprint, lost_at, self.served_at):
                    self.chart.fire(record, "strike", self, now, out)
        self.review_at = min(self.review_at, now + SETTLE_S)

    def _get_or_create(self, fingerprint, now, out):
        record = self.records.get(fingerprint)
        if record is None:
            if len(self.records) >= MAX_RECORDS:
                evictable = (r for r in self.records.values() if self.chart.has_tag(r, "suspect"))
                self._remove(next(evictable, None) or next(iter(self.records.values())), out)
            record = SuspicionRecord(fingerprint, self.chart.initial)
            self.records[fingerprint] = record
            self.start_suspect_period(record, now, out)
        return record

    def _remove(self, record, out):
        del self.records[record.fingerprint]
        out.emit(LogEvent("suspicion_dropped", record.fingerprint, level="warning"))

    def _fire(self, fingerprint, event, now, out):
        record = self.records.get(fingerprint)
        if record is not None:
            self.chart.fire(record, event, self, now, out)

    def _review(self, now, out):
        """Quarantine what explains the crashes best."""
        self.review_at = inf
        suspected = [r for r in self.records.values() if self.chart.has_tag(r, "suspect")]
        for record in find_convictions(suspected, self.records.values()):
            self.chart.fire(record, "convicted", self, now, out)
            if record.scope != REQUEST_SCOPE:
                self._clear_explained(record, now, out)

    def _clear_explained(self, convicted, now, out):
        """Clear what was in flight only at crashes that a quarantined prompt part explains."""
        for record in list(self.records.values()):
            if record.deaths and record.deaths.keys() < convicted.deaths.keys():
                self.chart.fire(record, "explained", self, now, out)

    # Quarantines in the store

    def handle_entry_updated(self, message, now, out):
        """Apply a quarantine that a node has published."""
        if isinstance(message.value, Quarantine):
            self.published[message.key] = message.value
            self.lifted.pop(message.value.fingerprint, None)
            record = self._get_or_create(message.value.fingerprint, now, out)
            record.publish_at = inf
            self.chart.fire(record, "published", self, now, out)

    def handle_entry_deleted(self, message, now, out):
        """Lift a quarantine that has expired or was withdrawn."""
        quarantine = self.published.pop(message.key, None)
        if quarantine is not None:
            self.lifted = {f: at for f, at in self.lifted.items() if at > now - QUARANTINE_S}
            self.lifted[quarantine.fingerprint] = now
            out.emit(LogEvent("quarantine_lifted", quarantine.fingerprint))
            self._fire(quarantine.fingerprint, "lifted", now, out)

    def handle_snapshot(self, message, now, out):
        """Apply all quarantines of a snapshot."""
        if self.is_set_back:
            self.is_set_back = False
            self._restore_quarantines(message, now, out)
            return
        for entry in message.entries:
            self.handle_entry_updated(entry, now, out)
        present = {entry.key for entry in message.entries}
        for key in [key for key in self.published if key not in present]:
            self.handle_entry_deleted(EntryDeleted(key, message.revision), now, out)

    def handle_set_back(self, message, now, out):
        """Expect the snapshot of an older copy of the store."""
        self.is_set_back = True

    def _restore_quarantines(self, snapshot, now, out):
        """Bring an older copy of the store up to date, in which quarantines and lifts are lost."""
        present = set()
        for entry in snapshot.entries:
            if isinstance(entry.value, Quarantine):
                present.add(entry.key)
                if entry.value.fingerprint in self.lifted:
                    out.emit(WithdrawQuarantine(entry.value.fingerprint))
                else:
                    self.handle_entry_updated(entry, now, out)
        for key in [key for key in self.published if key not in present]:
            record = self.records.get(self.published.pop(key).fingerprint)
            if record is not None and self.chart.has_tag(record, "refused"):
                self.schedule_publication(record, now, out)

    # Time

    def next_deadline(self):
        """Return the time (s) at which the next step is due."""
        due = min(self.announce_at, self.review_at, self.next_due)
        if self.lost:
            due = min(due, *(lost.probe_at for lost in self.lost.values()))
        return due

    def tick(self, now, out):
        """Probe, announce, review, publish and expire what is due."""
        for lost in list(self.lost.values()):
            if lost.probe_at <= now:
                self._probe(lost, now, out)
        if self.announce_at <= now:
            self._announce(out)
        if self.review_at <= now:
            self._review(now, out)
        if self.next_due <= now:
            self._process_due_records(now, out)
        self.probed_at = {n: at for n, at in self.probed_at.items() if at > now - PROBE_INTERVAL_S}

    def _process_due_records(self, now, out):
        for record in list(self.records.values()):
            if record.publish_at <= now:
                record.publish_at = inf
                out.emit(PublishQuarantine(record.fingerprint, QUARANTINE_S))
            if record.expires_at <= now:
                self.chart.fire(record, "expire", self, now, out)
        self.next_due = min((r.next_due() for r in self.records.values()), default=inf)

    def _announce(self, out):
        names = sorted(self.cleared)
        self.cleared.clear()
        self.announce_at = inf
        for start in range(0, len(names), MAX_REPORTED):
            part = names[start : start + MAX_REPORTED]
            self.node.fleet.broadcast(ClearanceReport(self.node.settings.name, part), out)

    def _set_expiry(self, record, at):
        record.expires_at = at
        self.next_due = min(self.next_due, at)

    # Actions of the chart

    def start_suspect_period(self, record, now, out):
        """Forget a suspicion without further crashes after `SUSPECT_S`."""
        self._set_expiry(record, now + SUSPECT_S)

    def start_quarantine(self, record, now, out):
        """Refuse requests with the fingerprint, also those that have not begun."""
        self._set_expiry(record, now + QUARANTINE_S)
        self.node.relays.end_quarantined(record.fingerprint, now, out)

    def schedule_publication(self, record, now, out):
        """Publish the quarantine; each node waits for those before it in hash order."""
        self.log_quarantine(record, now, out)
        names = {*self.node.fleet.nodes, self.node.settings.name}
        rank = rank_servers(record.fingerprint, names).index(self.node.settings.name)
        record.publish_at = now + rank * PUBLISH_STEP_S
        self.next_due = min(self.next_due, record.publish_at)

    def log_quarantine(self, record, now, out):
        """Log a quarantine and the crashes that led to it."""
        out.emit(
            LogEvent(
                "quarantine_started",
                f"{record.fingerprint} deaths={','.join(record.deaths)}",
                level="warning",
            )
        )

    def announce_clearance(self, record, now, out):
        """Announce soon that requests with the fingerprint are served."""
        self.cleared.add(record.fingerprint)
        self.announce_at = min(self.announce_at, now + self.node.rng.uniform(*CLEARANCE_DELAY_S))

    def withdraw(self, record, now, out):
        """Delete the quarantine from the store."""
        out.emit(LogEvent("quarantine_lifted", record.fingerprint))
        out.emit(WithdrawQuarantine(record.fingerprint))

    def withdraw_own(self, record, now, out):
        """Delete the quarantine from the store if this node has published it."""
        own = Quarantine(record.fingerprint, self.node.settings.name)
        if own in self.published.values():
            self.withdraw(record, now, out)

    def remove(self, record, now, out):
        """Remove the record."""
        del self.records[record.fingerprint]


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
