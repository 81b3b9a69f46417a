"""Quarantine of requests that crash the backend servers that run them."""

from math import inf

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import PublishQuarantine, WithdrawQuarantine
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    NodeDatagram,
    StoreSetBack,
    StoreSnapshot,
)
from medlarbeam.classes.node_records import Quarantine
from medlarbeam.classes.peer_messages import ClearanceReport, DeathReport, LostRun
from medlarbeam.gateway.crash_evidence import (
    REQUEST_SCOPE,
    ServedTimes,
    SuspicionRecord,
    find_convictions,
    format_fingerprint,
    format_parts,
    list_fingerprints,
    list_request_fingerprints,
)
from medlarbeam.gateway.crash_reports import MAX_DEATHS, MAX_REPORTED, SUSPECT_S
from medlarbeam.node.component import Component

__all__ = ["CrashSuspects"]

QUARANTINE_S = 600.0
SETTLE_S = 0.05  # until the reports of all nodes on a crash have arrived
# A crash that silence shows is found out later, and by each node at its own time.
LATE_FINDING_S = 1.0
LATE_SETTLE_S = 0.3
CLEARANCE_DELAY_S = (0.02, 0.1)  # random, so that few nodes announce the same clearance
PUBLISH_STEP_S = 1.5  # between nodes that publish a quarantine; a written one is seen sooner
# Crashes of one start that are found this close to each other (s) are the same; nodes notice a
# server that falls silent at different times.
SAME_CRASH_S = 2.0
LATER_CRASH = ".later"  # added to the id of a crash that was retracted, for the next one
MIN_RUN_S = 0.001  # 0 stands for unknown
MAX_RECORDS = 4096
MAX_SERVED_PARTS = 20_000  # about 150 bytes each


class CrashSuspects(Component):
    """Drives the chart ``crash_suspicion`` for what crashed requests have in common.

    Each request that ran on a crashed backend server, and each shared part of their prompts, gets a
    strike; `CrashInquiries` finds out what has crashed. Complete responses count against the
    crashes, at all nodes. What gets several strikes in succession is quarantined: requests with it
    are refused, and those that wait or have not begun are ended.

    Attributes
    ----------
    records : dict of str to SuspicionRecord
        By fingerprint, the oldest first.
    deaths : dict of str to float
        Times (s) of crashes, by death id, those that were reported last at the end.
    retracted : dict of str to float
        Times (s) at which crashes turned out not to have happened, by death id, the latest last.
    published : dict of str to Quarantine
        Quarantines in the store, by key.
    next_due : float
        Time (s) at or before the earliest deadline of a record.
    lifted : dict of str to float
        Times (s) at which quarantines were deleted from the store, by fingerprint.
    is_set_back : bool
        Whether the next snapshot is of an older copy of the store.
    served : ServedTimes
        When nodes have served requests, as far as known.
    served_parts : dict of str to None
        Prompt parts with which this node has seen requests served, the latest last.
    """

    __slots__ = (
        "announce_at",
        "chart",
        "cleared",
        "deaths",
        "is_set_back",
        "lifted",
        "next_due",
        "published",
        "records",
        "retracted",
        "review_at",
        "served",
        "served_parts",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("crash_suspicion", CrashSuspects)
        self.records = {}
        self.deaths = {}
        self.retracted = {}
        self.published = {}
        self.lifted = {}
        self.is_set_back = False
        self.cleared = set()
        self.announce_at = inf
        self.review_at = inf
        self.next_due = inf
        self.served = ServedTimes()
        self.served_parts = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
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
        """Count a complete run in favour of what its request contains."""
        self.served.record(now)
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
                    out.emit(LogEvent("suspicion_answered", detail, request.request_id))
                    record.completions += 1
                    self.chart.fire(record, "succeeded", self, now, out)

    # Crashes

    def name_death(self, entry, lost_at):
        """Return the id of a crash of the start in `entry` at the time `lost_at` (s).

        A server may start again and crash once more before its new entry is read.
        """
        start = f"{entry.name}/{entry.started_at_ms}"
        for number in range(MAX_DEATHS):
            death_id = f"{start}.{number}" if number else start
            if death_id in self.retracted:
                continue
            if abs(self.deaths.get(death_id, lost_at) - lost_at) <= SAME_CRASH_S:
                break
        return death_id

    def report_death(self, death_id, age_s, runs, now, out):
        """Count a crash `age_s` (s) ago under `runs`, and tell the other nodes.

        Parameters
        ----------
        death_id : str
        age_s : float
        runs : list of SuspectedRun
        """
        lost_at = now - age_s
        lost_runs = [self._build_lost_run(run, lost_at) for run in runs]
        self.node.crash_reports.send(death_id, lost_at, lost_runs, False, now, out)

    def retract_death(self, death_id, now, out):
        """Take back the report of a crash that did not happen."""
        lost_at = self.deaths.get(death_id, now)
        self.node.crash_reports.send(death_id, lost_at, [], True, now, out)

    def _list_served(self, run):
        """Return the parts of a request or a `LostRun` with which others were served here."""
        return [part for part in run.shared_parts if part in self.served_parts]

    def _build_lost_run(self, run, lost_at):
        request = run.request
        served = self._list_served(request)
        ran_s = max(MIN_RUN_S, lost_at - run.sent_at)
        return LostRun(format_fingerprint(request), list(request.shared_parts), served, ran_s)

    def _handle_death_report(self, report, now, out):
        """Apply a report, and report own runs that were cancelled just before the crash."""
        is_new = report.death_id not in self.deaths
        self.apply_death(report, now, out)
        if not is_new or report.death_id not in self.deaths:
            return
        lost_at = self.deaths[report.death_id]
        cancelled = self.node.inquiries.find_cancelled(report.death_id, lost_at, lost_at)
        if cancelled:
            self.report_death(report.death_id, report.age_s, cancelled, now, out)

    def handle_datagram(self, message, now, out):
        """Handle a death report or a clearance of another node."""
        body = message.body
        if isinstance(body, DeathReport):
            self._handle_death_report(body, now, out)
        elif isinstance(body, ClearanceReport):
            self.cleared.difference_update(body.fingerprints)
            for fingerprint in body.fingerprints:
                record = self.records.get(fingerprint)
                if record is not None:
                    record.completions += 1
                    self.chart.fire(record, "cleared", self, now, out)

    def apply_death(self, report, now, out):
        """Count the runs in a `DeathReport`, of this node or another one."""
        if report.is_retracted:
            self._forget_death(report.death_id, now, out)
        lost_at = now - max(0.0, report.age_s)  # a faulty node may report the future
        death_id = report.death_id
        if death_id in self.retracted:
            if lost_at <= self.retracted[death_id]:
                return
            death_id += LATER_CRASH  # of a node that has not heard of the retraction
        self.deaths.setdefault(death_id, lost_at)
        while len(self.deaths) > MAX_DEATHS:
            del self.deaths[next(iter(self.deaths))]
        self.served.record(now - max(0.0, report.served_age_s))
        for run in report.runs:
            served = format_parts({*run.served_parts, *self._list_served(run)})
            sent_at = lost_at - run.ran_s if run.ran_s > 0.0 else -inf
            for fingerprint in list_fingerprints(run.fingerprint, run.shared_parts):
                record = self._get_or_create(fingerprint, now, out)
                record.was_served = record.was_served or fingerprint in served
                if record.record_run(
                    death_id, report.node, run.fingerprint, lost_at, sent_at, self.served
                ):
                    self.chart.fire(record, "strike", self, now, out)
        settle_s = SETTLE_S if report.age_s < LATE_FINDING_S else LATE_SETTLE_S
        self.review_at = min(self.review_at, now + settle_s)

    def _forget_death(self, death_id, now, out):
        """Forget a crash that did not happen, and lift quarantines that rest on it."""
        self.retracted.setdefault(death_id, now)
        while len(self.retracted) > MAX_DEATHS:
            del self.retracted[next(iter(self.retracted))]
        if self.deaths.pop(death_id, None) is None:
            return
        out.emit(LogEvent("crash_retracted", f"death={death_id}"))
        for record in list(self.records.values()):
            # A quarantine that was read from the store may rest on crashes that are not known here.
            had_enough = record.has_enough_strikes()
            is_changed = record.forget_death(death_id)
            if is_changed and (had_enough or self.chart.has_tag(record, "suspect")):
                self.chart.fire(record, "retracted", self, now, out)

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
        for record in [r for r in self.records.values() if self.chart.has_tag(r, "refused")]:
            if record.scope != REQUEST_SCOPE:
                self._clear_explained(record, now, out)

    def _clear_explained(self, convicted, now, out):
        """Clear what was in flight only at crashes that a quarantined prompt part explains."""
        for record in list(self.records.values()):
            is_part_of_it = record.deaths and record.deaths.keys() < convicted.deaths.keys()
            # A popular part that is refused wrongly must not lift what is refused rightly.
            if is_part_of_it and record.find_weight() <= convicted.find_weight():
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
        return min(self.announce_at, self.review_at, self.next_due)

    def tick(self, now, out):
        """Announce, review, publish and expire what is due."""
        if self.announce_at <= now:
            self._announce(out)
        if self.review_at <= now:
            self._review(now, out)
        if self.next_due <= now:
            self._process_due_records(now, out)

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

    # Guards and actions of the chart

    def is_outweighed(self, record, now, out):
        """Return whether complete runs outweigh the crashes."""
        return record.is_outweighed()

    def has_no_deaths(self, record, now, out):
        """Return whether no crash is left as evidence."""
        return not record.deaths

    def has_too_few_strikes(self, record, now, out):
        """Return whether what is left of the evidence does not suffice for a quarantine."""
        return not record.has_enough_strikes()

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
