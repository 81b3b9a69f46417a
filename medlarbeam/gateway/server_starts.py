"""Which start of a backend server has written a response."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import RouteKind, ServerRegistration
from medlarbeam.classes.gateway_effects import SyncStore
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.classes.server_starts import (
    AcceptRun,
    CheckServerStart,
    RejectRun,
    RunAnswered,
    RunProgressed,
    ServerStartResult,
    WatchProgress,
)
from medlarbeam.node.component import Component

__all__ = ["ServerStarts"]

MAX_HOLD_S = 0.5  # for which a response is held back; callers give up after gaps of 2 s
CHECK_RETRY_S = 0.25  # after a check without a result
# Bytes that a process has sent before it ended may arrive this much later: a lost segment is sent
# again after 0.2 s at the earliest.
MAX_TRANSIT_S = 0.25
RETENTION_S = 30.0  # for which a caller may take up a stream that is not attributed yet
CLEANUP_INTERVAL_S = 30.0


class PendingRun:
    """A run whose response is not attributed to a start yet.

    Parameters
    ----------
    relay : Relay
    connected_at : float
        Time (s) at which the connection of the run was established.
    is_held : bool
        Whether the response is held back until it is attributed.
    give_up_at : float
        Time (s) from which it is not attributed any more.

    Attributes
    ----------
    server : ServerRegistration
        The start to which it is attributed if that is confirmed.
    has_progressed : bool
        Whether data has arrived since the entry of that start was read.
    """

    __slots__ = (
        "connected_at",
        "give_up_at",
        "has_progressed",
        "is_held",
        "relay",
        "run_id",
        "server",
    )

    def __init__(self, relay, connected_at, is_held, give_up_at):
        self.relay = relay
        self.run_id = relay.run_id
        self.server = relay.server
        self.has_progressed = True
        self.connected_at = connected_at
        self.is_held = is_held
        self.give_up_at = give_up_at


class StartRecord:
    """What is known of one start of a backend server.

    Parameters
    ----------
    entry : ServerRegistration

    Attributes
    ----------
    confirmed_at : float
        Latest time (s) at which this start is known to have been the running one.
    pending : list of PendingRun
    is_checking : bool
    check_at : float
        Time (s) of the next check, infinity for none.
    states_start : bool
        Whether its reports state the start, as far as is known.
    is_replaced : bool
        Whether the server has stated another start, whose entry is not read yet.
    """

    __slots__ = (
        "check_at",
        "confirmed_at",
        "entry",
        "is_checking",
        "is_replaced",
        "pending",
        "states_start",
    )

    def __init__(self, entry):
        self.entry = entry
        self.confirmed_at = -inf
        self.pending = []
        self.is_checking = False
        self.check_at = inf
        self.states_start = True
        self.is_replaced = False


class ServerStarts(Component):
    """Finds out whether a response was written by the start that the entry of a server describes.

    A backend server may start again under its name and at its address, with another software
    version, before its new entry is read. A connection belongs to one start. It belongs to that of
    the entry, or to a later one, if it has answered a request that was sent after the entry was
    read, or has brought data since; and to no later one if that start still ran when the connection
    was established. The last is confirmed by any of these:

    - a report of the server that states the start, asked for after that time;
    - the copy of the store, since a start writes its entry within a heartbeat;
    - data on another connection that belongs to the start.

    Until then the origin of a new stream is not known, and a response that continues a stream is
    held back.

    Attributes
    ----------
    records : dict of str to StartRecord
        The start in the entry of each server that was used, by the name of the server.
    waiting : set of str
        Names of the servers with pending runs.
    """

    __slots__ = ("cleanup_at", "records", "waiting")

    def __init__(self, node):
        super().__init__(node)
        self.records = {}
        self.waiting = set()
        self.cleanup_at = 0.0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            RunAnswered: self.handle_run_answered,
            RunProgressed: self.handle_run_progressed,
            ServerStartResult: self.handle_check_result,
            StoreSynced: self.handle_synced,
            EntryUpdated: self.handle_entries_changed,
            EntryDeleted: self.handle_entries_changed,
            StoreSnapshot: self.handle_entries_changed,
        }

    # Responses

    def handle_run_answered(self, message, now, out):
        """Attribute a response that is held back meanwhile."""
        relay = self.node.relays.relays_by_run.get(message.run_id)
        if relay is not None:
            self._attribute(relay, message.connected_at, True, now, out)

    def record_first_event(self, relay, message, now, out):
        """Attribute a new stream to a start, when its `RunStarted` says that it was passed on."""
        relay.connected_at = message.connected_at
        if relay.route.kind is not RouteKind.STREAM:
            return
        detail = relay.describe_stream_start(message, self.node.fleet, now)
        out.emit(LogEvent("stream_begun", detail, relay.request.request_id))
        if relay.software is None and relay.route.resumable:
            self._attribute(relay, message.connected_at, False, now, out)

    def _attribute(self, relay, connected_at, is_held, now, out):
        record = self._find_record(relay.server)
        give_up_at = now + (MAX_HOLD_S if is_held else RETENTION_S)
        pending = PendingRun(relay, connected_at, is_held, give_up_at)
        if record is None:
            self._give_up(pending, "the server has started again", now, out)
        elif connected_at <= self._find_confirmed_at(record):
            self._confirm(record, relay.sent_at, now, out)
            self._settle(pending, now, out)
        else:
            if not is_held:
                self.node.origins.record_unknown(relay, now)
            record.pending.append(pending)
            self.waiting.add(relay.server.name)
            self._check(record, now, out)
            if not record.states_start or not self._may_ask(record.entry, now):
                self._pass_unbound(record, now, out)

    def is_replaced(self, entry):
        """Return whether a server has stated another start than that of its `entry`."""
        record = self.records.get(entry.name)
        is_known = record is not None and record.entry.started_at_ms == entry.started_at_ms
        return is_known and record.is_replaced

    def has_unread_start(self, service):
        """Return whether a server of `service` has stated a start whose entry is not read yet."""
        servers = self.node.fleet.servers
        return any(
            record.is_replaced
            and record.entry.service == service
            and name in servers
            and servers[name].entry.started_at_ms == record.entry.started_at_ms
            for name, record in self.records.items()
        )

    def _find_record(self, entry):
        """Return the `StartRecord` of the start in `entry`, None if a later start is known."""
        known = self.node.fleet.servers.get(entry.name)
        if known is None or known.entry.started_at_ms != entry.started_at_ms:
            return None
        record = self.records.get(entry.name)
        if record is None or record.entry.started_at_ms != entry.started_at_ms:
            record = self.records[entry.name] = StartRecord(entry)
        return record

    def _find_confirmed_at(self, record):
        known = self.node.fleet.servers.get(record.entry.name)
        if known is None or known.entry.started_at_ms != record.entry.started_at_ms:
            return record.confirmed_at
        return max(record.confirmed_at, self.node.fleet.registered_at)

    def _settle(self, pending, now, out):
        """Act on a response that was written by the start in the entry of its server."""
        if self._has_ended(pending):
            return
        version = pending.server.software_version()
        if pending.is_held:
            out.emit(AcceptRun(pending.run_id, version))
        else:
            self.node.origins.record_start(pending.relay, version, now)

    def _has_ended(self, pending):
        """Return whether a response that was held back is not wanted any more."""
        run = self.node.relays.relays_by_run.get(pending.run_id)
        return pending.is_held and run is not pending.relay

    def _give_up(self, pending, reason, now, out):
        """Act on a response that cannot be attributed."""
        if self._has_ended(pending):
            return
        relay, server = pending.relay, pending.server
        is_bound = relay.software is not None
        out.emit(
            LogEvent(
                "start_unknown",
                f"run={pending.run_id} server={server.name} start={server.started_at_ms} "
                f"connected_s={now - pending.connected_at:.3f} held={pending.is_held} "
                f"bound={is_bound} {reason}",
                relay.request.request_id,
                "warning",
            )
        )
        if not pending.is_held:
            self.node.origins.record_unknown(relay, now)
        elif is_bound:
            reason = f"it is not known which start of {server.name} responded: {reason}"
            out.emit(RejectRun(pending.run_id, reason))
        else:
            out.emit(AcceptRun(pending.run_id, None))

    def _give_up_held(self, record, reason, now, out):
        self._give_up_some([run for run in record.pending if run.is_held], record, reason, now, out)

    def _pass_unbound(self, record, now, out):
        """Pass new streams of other nodes' callers on without an origin, rather than delay them."""
        unbound = [run for run in record.pending if run.is_held and run.relay.software is None]
        self._give_up_some(unbound, record, "the server does not state its start", now, out)

    def _give_up_some(self, runs, record, reason, now, out):
        record.pending = [run for run in record.pending if run not in runs]
        if not record.pending:
            self.waiting.discard(record.entry.name)
        for run in runs:
            self._give_up(run, reason, now, out)

    # Evidence

    def _confirm(self, record, at, now, out):
        """Record that a start was the running one at the time `at` (s)."""
        record.confirmed_at = max(record.confirmed_at, at)
        if record.pending:
            self._settle_confirmed(record, now, out)

    def _settle_confirmed(self, record, now, out):
        confirmed_at = self._find_confirmed_at(record)
        confirmed = [
            run for run in record.pending if run.has_progressed and run.connected_at <= confirmed_at
        ]
        record.pending = [run for run in record.pending if run not in confirmed]
        if not record.pending:
            self.waiting.discard(record.entry.name)
            record.check_at = inf
        for run in confirmed:
            self._settle(run, now, out)

    def _check(self, record, now, out):
        """Look for evidence that a start is still the running one."""
        if not record.states_start:
            self._watch_progress(record, out)
        elif not self._may_ask(record.entry, now):
            record.check_at = now + CHECK_RETRY_S
            self._watch_progress(record, out)
        elif not record.is_checking:
            record.is_checking = True
            record.check_at = inf
            out.emit(CheckServerStart(record.entry))

    def _may_ask(self, entry, now):
        """Return whether a server takes requests that are not of callers."""
        return not (
            self.node.pauses.is_paused(entry, now) or self.node.limits.is_limited(entry.name)
        )

    def _watch_progress(self, record, out):
        """Ask for progress of runs that would confirm a start, or that wait for it themselves."""
        confirmed_at = self._find_confirmed_at(record)
        name = record.entry.name
        runs = [run.run_id for run in record.pending if not run.has_progressed]
        runs += [
            run_id
            for run_id, relay in self.node.relays.relays_by_run.items()
            if relay.server.name == name and relay.connected_at <= confirmed_at
        ]
        if runs:
            out.emit(WatchProgress(runs))

    def handle_check_result(self, message, now, out):
        """Confirm a start that its server states, or give up the runs of another one."""
        record = self.records.get(message.server.name)
        if record is None or record.entry.started_at_ms != message.server.started_at_ms:
            return
        record.is_checking = False
        if message.reason:
            record.check_at = now + CHECK_RETRY_S if record.pending else inf
            return
        if message.started_at_ms is None:
            record.states_start = False
            self._pass_unbound(record, now, out)
            self._watch_progress(record, out)
        elif message.started_at_ms == record.entry.started_at_ms:
            self._confirm(record, message.sent_at, now, out)
            if any(run.connected_at > message.sent_at for run in record.pending):
                self._check(record, now, out)
        else:
            text = f"server={message.server.name} start={message.started_at_ms}"
            out.emit(LogEvent("server_restarted", text))
            record.is_replaced = True
            self._give_up_held(record, f"it states the start {message.started_at_ms}", now, out)
            out.emit(SyncStore())  # for the entry of the later start

    def handle_run_progressed(self, message, now, out):
        """Confirm the start whose connection has brought data."""
        relay = self.node.relays.relays_by_run.get(message.run_id)
        record = self.records.get(relay.server.name) if relay is not None else None
        if record is None or not record.pending:
            return
        written_at = message.received_at - MAX_TRANSIT_S
        known = self.node.fleet.servers.get(record.entry.name)
        for run in record.pending:
            if run.run_id == message.run_id and known is not None and written_at >= known.known_at:
                run.has_progressed = True
        is_of_start = relay.server.started_at_ms == record.entry.started_at_ms
        if is_of_start and relay.connected_at <= self._find_confirmed_at(record):
            self._confirm(record, written_at, now, out)
        self._settle_confirmed(record, now, out)
        if record.pending:
            self._watch_progress(record, out)

    def handle_synced(self, message, now, out):
        """Settle the runs that the copy of the store confirms."""
        for name in list(self.waiting):
            self._settle_confirmed(self.records[name], now, out)

    def handle_entries_changed(self, message, now, out):
        """Attribute the pending runs of servers that have started again to their new start."""
        if isinstance(message, EntryUpdated) and not isinstance(message.value, ServerRegistration):
            return
        for name in list(self.waiting):
            record = self.records[name]
            known = self.node.fleet.servers.get(name)
            if known is None:
                continue
            if known.entry.started_at_ms != record.entry.started_at_ms:
                self._give_up_held(record, "its entry is of another start", now, out)
                self._move_pending(record, self._find_record(known.entry), now, out)

    def _move_pending(self, former, record, now, out):
        """Let the runs that wait for one start wait for a later one, which may have written them.

        Their requests were sent before the entry of the later start was read, so they are of that
        start only if their connections still bring data.
        """
        for run in former.pending:
            run.server = record.entry
            run.has_progressed = False
        record.pending += former.pending
        former.pending = []
        if record.pending:
            self._check(record, now, out)
            if record.states_start:
                self._watch_progress(record, out)

    def tick(self, now, out):
        """Give up runs that wait too long, repeat checks, and forget servers that are gone."""
        for name in list(self.waiting):
            record = self.records[name]
            overdue = [run for run in record.pending if run.give_up_at <= now]
            record.pending = [run for run in record.pending if run.give_up_at > now]
            if not record.pending:
                self.waiting.discard(name)
            for run in overdue:
                self._give_up(run, "nothing confirmed it in time", now, out)
            if record.check_at <= now:
                record.check_at = inf
                if record.pending:
                    self._check(record, now, out)
        if self.cleanup_at <= now:
            self.cleanup_at = now + CLEANUP_INTERVAL_S
            servers = self.node.fleet.servers
            for name in [n for n in self.records if n not in servers and n not in self.waiting]:
                del self.records[name]

    def next_deadline(self):
        """Return the time (s) of the next check, or at which a run is given up."""
        if not self.waiting:
            return self.cleanup_at
        records = [self.records[name] for name in self.waiting]
        times = [run.give_up_at for record in records for run in record.pending]
        times += [record.check_at for record in records]
        return min(times, default=self.cleanup_at)
