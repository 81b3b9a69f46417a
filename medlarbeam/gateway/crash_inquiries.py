"""Inquiries into what became of backend servers that lost runs or fell silent under them."""

from collections import deque
from math import inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import ServerRegistration
from medlarbeam.classes.gateway_effects import ProbeServer
from medlarbeam.classes.gateway_messages import EntryUpdated, StoreSnapshot, StoreSynced
from medlarbeam.classes.server_messages import ProbeResult, RunClosed
from medlarbeam.classes.server_starts import AcceptRun, RejectRun
from medlarbeam.gateway.inquiry import (
    HOLD_S,
    INQUIRY_S,
    PROBE_INTERVAL_S,
    CancelledRun,
    EndedStart,
    Inquiry,
    SuspectedRun,
)
from medlarbeam.node.component import Component

__all__ = ["CrashInquiries"]

MAX_PROBE_INTERVAL_S = 1.0
# After which a server that answers nothing is taken for crashed; a sound one may fall silent for
# about a second.
PRESUMED_CRASHED_S = 1.5
MIN_UNANSWERED = 2  # probes; a single one may be lost
# A run that is silent from its start may have begun, and crashed its server, this much later.
FIRST_DATA_S = 0.35
DATA_GAP_S = 0.1  # from the last data of a server to its crash, while runs bring data
CANCELLED_S = 0.5  # in which a backend server may still crash under a cancelled run
# Bytes that a process has sent before it ended may arrive this much later.
MAX_TRANSIT_S = 0.25
MAX_ENDED = 256
LEAVES = "it had announced that it leaves"


class CrashInquiries(Component):
    """Drives the chart ``crash_inquiry``, and reports crashes to `CrashSuspects`.

    A lost connection, silence, or a response that ends with its connection may have any cause.
    Only an answer that states the start of the server shows that it lives, and only a refused
    connection or another start that it has ended. Silence alone is a presumption, which is taken
    back if the same start answers later.

    Attributes
    ----------
    inquiries : dict of tuple to Inquiry
        By name and start (ms) of the server.
    answered : list of Inquiry
        Those that wait for the copy of the store.
    ended : dict of tuple to EndedStart
        The same, the oldest first.
    cancelled : collections.deque of CancelledRun
        The newest last.
    probed_at : dict of str to float
        Times (s) of the last probes, by server.
    """

    __slots__ = ("answered", "cancelled", "chart", "ended", "inquiries", "probed_at")

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("crash_inquiry", CrashInquiries)
        self.inquiries = {}
        self.answered = []
        self.ended = {}
        self.cancelled = deque()
        self.probed_at = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            ProbeResult: self.handle_probe_result,
            RunClosed: self.handle_run_closed,
            StoreSynced: self.handle_entries_known,
            StoreSnapshot: self.handle_entries_known,
            EntryUpdated: self.handle_entry_updated,
        }

    # Runs

    def record_lost_run(self, relay, now, out):
        """Record that the connection of the current run of `relay` was lost."""
        self._suspect(relay, now, True, now, out)

    def record_silent_run(self, relay, since, has_data, now, out):
        """Record that the current run of `relay` has brought no data since the time `since` (s).

        `has_data` tells whether it had brought some before.
        """
        # An older response may be from before a crash that this run has caused.
        if not self.node.health.has_responded_since(relay.server.name, now - MAX_TRANSIT_S):
            self._suspect(relay, since, False, now, out)
            inquiry = self.inquiries.get((relay.server.name, relay.server.started_at_ms))
            if inquiry is not None and has_data:
                inquiry.alive_at = max(inquiry.alive_at, since)

    def record_cancelled_run(self, relay, now):
        """Record that the current run of `relay` was cancelled; it may crash the server yet."""
        while self.cancelled and self.cancelled[0].at < now - CANCELLED_S:
            self.cancelled.popleft()
        self.cancelled.append(CancelledRun(relay, now))

    def find_cancelled(self, death_id, lost_at, until):
        """Return the runs that were cancelled shortly before a crash, or since, and sent before it.

        Parameters
        ----------
        death_id : str
        lost_at, until : float
            Time (s) of the crash, as far as known, and latest time of it.
        """
        return [
            cancelled.run
            for cancelled in self.cancelled
            if (death_id == cancelled.start or death_id.startswith(f"{cancelled.start}."))
            and cancelled.at >= lost_at - CANCELLED_S
            and cancelled.run.sent_at <= until
        ]

    def handle_run_closed(self, message, now, out):
        """Hold the end of a response back that any end of its server looks like."""
        relay = self.node.relays.relays_by_run.get(message.run_id)
        if relay is None:  # from another node, which frames its responses
            out.emit(AcceptRun(message.run_id, None))
            return
        ended = self.ended.get((relay.server.name, relay.server.started_at_ms))
        if ended is not None and relay.sent_at <= ended.known_at:
            out.emit(RejectRun(message.run_id, f"{relay.server.name} has crashed"))
            return
        inquiry = self._find_or_open(relay.server, now, now)
        inquiry.held[message.run_id] = now
        self._probe_soon(inquiry, now, now, out)

    def _suspect(self, relay, lost_at, is_lost, now, out):
        run = SuspectedRun(relay.request, relay.sent_at, lost_at)
        ended = self.ended.get((relay.server.name, relay.server.started_at_ms))
        if ended is not None and relay.sent_at <= ended.lost_at:
            self.node.crashes.report_death(ended.death_id, now - ended.lost_at, [run], now, out)
            return
        if ended is not None and (
            relay.sent_at <= ended.known_at
            or not self._has_responded(relay.server.name, ended.lost_at)
        ):
            return  # it was sent while the server was down
        inquiry = self._find_or_open(relay.server, lost_at, now)
        if is_lost and not inquiry.is_exact:
            inquiry.is_exact = True
            inquiry.lost_at = lost_at
        inquiry.runs[relay.run_id] = run
        earliest = self.probed_at.get(relay.server.name, -inf) + PROBE_INTERVAL_S
        self._probe_soon(inquiry, max(now, earliest), now, out)

    def _has_responded(self, server, since):
        return self.node.health.has_responded_since(server, since + MAX_TRANSIT_S)

    def _find_or_open(self, entry, lost_at, now):
        key = entry.name, entry.started_at_ms
        inquiry = self.inquiries.get(key)
        if inquiry is None:
            inquiry = Inquiry(entry, self.chart.initial, lost_at, now)
            self.inquiries[key] = inquiry
        if not inquiry.is_exact:
            inquiry.lost_at = min(inquiry.lost_at, lost_at)
        return inquiry

    # Probes

    def _probe_soon(self, inquiry, at, now, out):
        inquiry.probe_at = min(inquiry.probe_at, at)
        if inquiry.probe_at <= now and not inquiry.is_probing:
            self._probe(inquiry, now, out)

    def _probe(self, inquiry, now, out):
        entry = inquiry.entry
        if self._is_leaving(entry) and not inquiry.death_id:
            # It may have exited as announced, which is no evidence against the runs that it cut.
            if inquiry.runs:
                self._log_not_crashed(inquiry, LEAVES, out)
                inquiry.runs.clear()
            if not inquiry.held:
                self.remove(inquiry, now, out)
                return
        known = self.node.fleet.servers.get(entry.name)
        if known is not None and known.entry.started_at_ms != entry.started_at_ms:
            self._fire(inquiry, "replaced", "its entry is of another start", now, out)
            return
        inquiry.probe_at = inf
        inquiry.is_probing = True
        inquiry.asked_at = self.probed_at[entry.name] = now
        inquiry.asked_path = self._choose_path(entry, now)
        out.emit(ProbeServer(entry, inquiry.asked_path))

    def _choose_path(self, entry, now):
        """Return what to ask a server for, None for no request; see `ProbeServer`."""
        return None if self.node.pauses.is_paused(entry, now) else self._find_path(entry)

    def _find_path(self, entry):
        if self.node.fleet.find_engine(entry) is not None:
            return ""
        return self.node.fleet.find_health_path(entry)

    def _is_leaving(self, entry):
        return self.node.fleet.is_leaving(entry.name, entry.started_at_ms)

    def handle_probe_result(self, message, now, out):
        """Draw conclusions from the result of a probe."""
        for inquiry in list(self.inquiries.values()):
            if inquiry.entry.name != message.server or not inquiry.is_probing:
                continue
            if message.asked_path != inquiry.asked_path and not message.is_refused:
                continue  # of a probe that has asked for less
            inquiry.is_probing = False
            event = self._judge(inquiry, message)
            later = self._take_later(inquiry) if event in ("lived", "answered") else None
            if event == "refused" or inquiry.unanswered == MIN_UNANSWERED:
                self._mark_unreachable(inquiry, now, out)
            self._fire(inquiry, event, message.reason, now, out)
            if later is not None:
                self._go_on(later, now, out)

    def _take_later(self, inquiry):
        """Return an `Inquiry` into what was lost after the last probe was sent, or None."""
        later = Inquiry(inquiry.entry, self.chart.initial, inf, inquiry.asked_at)
        later.is_exact = inquiry.is_exact
        later.runs = {k: r for k, r in inquiry.runs.items() if r.lost_at > inquiry.asked_at}
        later.held = {k: at for k, at in inquiry.held.items() if at > inquiry.asked_at}
        for run_id in later.runs:
            del inquiry.runs[run_id]
        for run_id in later.held:
            del inquiry.held[run_id]
        times = [run.lost_at for run in later.runs.values()] + list(later.held.values())
        later.lost_at = min(times, default=inf)
        return later if times else None

    def _go_on(self, later, now, out):
        inquiry = self._find_or_open(later.entry, later.lost_at, now)
        if later.is_exact:
            inquiry.is_exact, inquiry.lost_at = True, later.lost_at
        inquiry.runs.update(later.runs)
        inquiry.held.update(later.held)
        self._probe_soon(inquiry, now, now, out)

    def _judge(self, inquiry, message):
        """Return the event of the chart that a `ProbeResult` stands for."""
        entry = inquiry.entry
        is_same = message.started_at_ms == entry.started_at_ms
        if message.is_refused:
            return "refused"
        if message.is_other_server or message.started_at_ms is not None and not is_same:
            return "replaced"
        if message.is_answered and (is_same or not entry.started_at_ms):
            return "lived"
        last_at = max([inquiry.lost_at, *inquiry.held.values()])
        # Without a path to ask for, an open connection is all that can be found out.
        is_all = message.is_accepted and self._find_path(entry) is None
        if message.is_answered or is_all or self._has_responded(entry.name, last_at):
            inquiry.answered_at = inquiry.asked_at
            return "answered"
        inquiry.answered_at = inf
        if not message.is_accepted or inquiry.asked_path is not None:
            inquiry.unanswered += 1  # an open connection alone shows nothing
        return "unanswered"

    def _mark_unreachable(self, inquiry, now, out):
        """Report that the server cannot be reached, once to its health, each time to the path."""
        name = inquiry.entry.name
        known = self.node.fleet.servers.get(name)
        if known is None or known.entry.started_at_ms != inquiry.entry.started_at_ms:
            return
        if inquiry.is_unreachable:
            self.node.paths.record_failure(name, now, out)
        else:
            inquiry.is_unreachable = True
            self.node.health.record_outcome(name, "unreachable", now, out)

    def _fire(self, inquiry, event, evidence, now, out):
        inquiry.evidence = evidence
        self.chart.fire(inquiry, event, self, now, out)

    # Entries of the store

    def handle_entry_updated(self, message, now, out):
        """End the inquiries into former starts of a server."""
        if isinstance(message.value, ServerRegistration):
            self._review(now, out)

    def handle_entries_known(self, message, now, out):
        """Compare the starts under inquiry with those in the entries."""
        self._review(now, out)

    def _review(self, now, out):
        for inquiry in [*self.inquiries.values(), *self.answered]:
            known = self.node.fleet.servers.get(inquiry.entry.name)
            if known is not None and known.entry.started_at_ms != inquiry.entry.started_at_ms:
                self._fire(inquiry, "replaced", "its entry is of another start", now, out)
        for inquiry in list(self.answered):
            if self.node.fleet.registered_at >= inquiry.answered_at:
                self._fire(inquiry, "lived", "its entry is of the same start", now, out)

    # Guards and actions of the chart

    def is_path_sound(self, inquiry, now, out):
        """Return whether a server that is not reached is down, rather than out of reach.

        That is so unless the path of this node is in doubt, and also if no node has a path: then
        the servers are down, or their answers after a cut of all nodes retract the findings.
        """
        paths, service = self.node.paths, inquiry.entry.service
        if not paths.is_doubtful(service):
            return True
        others = [name for name in self.node.fleet.nodes if name != self.node.settings.name]
        is_lost_by_all = all(paths.is_lost_elsewhere(name, service, now) for name in others)
        return bool(others) and paths.is_lost(service) and is_lost_by_all

    def is_overdue(self, inquiry, now, out):
        """Return whether a server has answered nothing for longer than a sound one."""
        is_long = now - inquiry.lost_at >= PRESUMED_CRASHED_S
        is_repeated = inquiry.unanswered >= MIN_UNANSWERED
        return is_long and is_repeated and self.is_path_sound(inquiry, now, out)

    def has_evidence(self, inquiry, now, out):
        """Return whether an inquiry is into runs, not only into ends of responses."""
        return bool(inquiry.runs or inquiry.death_id)

    def set_aside(self, inquiry, now, out):
        """Let an inquiry wait for the copy of the store; what is lost later is another matter."""
        self.inquiries.pop(inquiry.key, None)
        inquiry.probe_at = inf
        self.answered.append(inquiry)

    def probe_later(self, inquiry, now, out):
        """Probe again, at growing intervals."""
        at = now + inquiry.interval_s
        if not inquiry.death_id:
            overdue_at = max(now + PROBE_INTERVAL_S, inquiry.lost_at + PRESUMED_CRASHED_S)
            at = min(at, overdue_at)
        inquiry.probe_at = min(inquiry.probe_at, at)
        inquiry.interval_s = min(MAX_PROBE_INTERVAL_S, 2 * inquiry.interval_s)

    def accept_held(self, inquiry, now, out):
        """Pass on the ends of responses that were held back."""
        for run_id in inquiry.held:
            out.emit(AcceptRun(run_id, None))
        inquiry.held.clear()

    def dismiss(self, inquiry, now, out):
        """Drop the evidence against the runs of a server that lives."""
        self.accept_held(inquiry, now, out)
        if inquiry.death_id:
            self.ended.pop(inquiry.key, None)
            self.node.crashes.retract_death(inquiry.death_id, now, out)
        self._log_not_crashed(inquiry, inquiry.evidence, out)

    def report_crash(self, inquiry, now, out):
        """Report the runs that a server has crashed under."""
        entry = inquiry.entry
        self._reject_held(inquiry, f"{entry.name} has crashed: {inquiry.evidence}", out)
        if self._is_leaving(entry):
            return
        death_id = self.node.crashes.name_death(entry, inquiry.lost_at)
        inquiry.death_id = death_id
        self.ended.pop(inquiry.key, None)
        self.ended[inquiry.key] = EndedStart(death_id, inquiry.lost_at, now)
        while len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        detail = f"death={death_id} lost_runs={len(inquiry.runs)} {inquiry.evidence}"
        out.emit(LogEvent("server_crashed", detail, level="warning"))
        # What was sent later never reached the start that has crashed.
        until = inquiry.lost_at
        if not inquiry.is_exact:
            last_at = max(inquiry.alive_at, self.node.health.record(entry.name).last_response_at)
            until = max(until + FIRST_DATA_S, last_at + DATA_GAP_S)
        runs = [run for run in inquiry.runs.values() if run.sent_at <= until]
        runs += self.find_cancelled(death_id, inquiry.lost_at, until)
        if runs:
            self.node.crashes.report_death(death_id, now - inquiry.lost_at, runs, now, out)

    def give_up(self, inquiry, now, out):
        """End an inquiry without a result."""
        self._log_not_crashed(inquiry, f"not found out: {inquiry.evidence}", out)

    def remove(self, inquiry, now, out):
        """Remove an inquiry that has ended."""
        self._reject_held(inquiry, f"{inquiry.entry.name} may have crashed", out)
        if self.inquiries.get(inquiry.key) is inquiry:
            del self.inquiries[inquiry.key]
        if inquiry in self.answered:
            self.answered.remove(inquiry)

    def _reject_held(self, inquiry, reason, out):
        for run_id in inquiry.held:
            out.emit(RejectRun(run_id, reason))
        inquiry.held.clear()

    def _log_not_crashed(self, inquiry, reason, out):
        if inquiry.runs:
            detail = f"server={inquiry.entry.name} lost_runs={len(inquiry.runs)} {reason}"
            out.emit(LogEvent("server_not_crashed", detail))

    # Time

    def tick(self, now, out):
        """Probe what is due, and give up what takes too long."""
        for inquiry in [*self.inquiries.values(), *self.answered]:
            overdue = [run_id for run_id, at in inquiry.held.items() if at + HOLD_S <= now]
            for run_id in overdue:
                del inquiry.held[run_id]
                reason = f"it is not known whether {inquiry.entry.name} has crashed"
                out.emit(RejectRun(run_id, reason))
            if inquiry.opened_at + INQUIRY_S <= now:
                self._fire(inquiry, "expire", inquiry.evidence, now, out)
            elif inquiry.probe_at <= now and not inquiry.is_probing:
                self._probe(inquiry, now, out)
        self.probed_at = {n: at for n, at in self.probed_at.items() if at > now - PROBE_INTERVAL_S}

    def next_deadline(self):
        """Return the time (s) of the next step of an inquiry."""
        if not self.inquiries and not self.answered:
            return inf
        due = min((inquiry.next_due() for inquiry in self.inquiries.values()), default=inf)
        return min([due, *(inquiry.opened_at + INQUIRY_S for inquiry in self.answered)])
