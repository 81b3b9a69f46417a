"""Operator requests, the audit trail and the status document."""

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.classes.catalog import AuditEntry, ReleaseNote
from medlarbeam.classes.effects import LogEvent, OperatorResponse
from medlarbeam.classes.key_value import KvCall, KvGet, KvList, KvOutcome, KvPut
from medlarbeam.classes.messages import OperatorRequest
from medlarbeam.classes.peer_messages import Pong
from medlarbeam.exceptions import ErrorKind, Failure, FormatError
from medlarbeam.node.component import Component
from medlarbeam.readwrite.values import AUDIT_ENTRY, RELEASE_NOTE

__all__ = ["Operations"]

AUDIT_TTL_S = 90 * 86400.0
AUDIT_LIST_LIMIT = 100
UNWRITTEN_LIMIT = 1000  # audit entries kept during a platform outage; the oldest are dropped


class PeerState:
    """State of a peer as of its last pong, received at `received_at` (s)."""

    __slots__ = ("confirm_age_s", "leaving", "received_at", "revision")

    def __init__(self, revision, confirm_age_s, received_at, leaving):
        self.revision = revision
        self.confirm_age_s = confirm_age_s
        self.received_at = received_at
        self.leaving = leaving


class Operations(Component):
    """Responds to operator requests and writes the audit trail."""

    __slots__ = ("next_write_at", "open_queries", "peers", "serial", "tries", "unwritten_entries")

    name = "operations"

    def __init__(self, node):
        super().__init__(node)
        self.peers = {}
        self.open_queries = {}  # requests that wait for a platform read, by operator request id
        self.unwritten_entries = {}  # audit entries that are not written yet, by id
        self.serial = 0
        self.tries = 0
        self.next_write_at = float("inf")

    def handlers(self):
        """Return the handlers by message class."""
        return {OperatorRequest: self.handle_request}

    def peer_handlers(self):
        """Return the handlers by peer message class."""
        return {Pong: self.handle_pong}

    def handle_pong(self, sender, pong, now, out):
        """Store the state of a peer."""
        self.peers[sender] = PeerState(pong.revision, pong.confirm_age_s, now, pong.leaving)

    # Operator requests

    def handle_request(self, request, now, out):
        """Dispatch an operator request by its action."""
        actions = {
            "apply_note": self._apply,
            "dry_run_note": self._apply,
            "drain": self._drain,
            "undrain": self._drain,
            "show_note": self._show_note,
            "list_notes": self._list_notes,
            "audit": self._list_audit,
            "status": self._respond_with_status,
        }
        action = actions.get(request.action)
        if action is None:
            failure = Failure(ErrorKind.INVALID_REQUEST, f"unknown action {request.action!r}")
            out.emit(OperatorResponse(request.op_id, failure, {}))
        else:
            action(request, now, out)

    def _apply(self, request, now, out):
        self.node.notes.begin(request, now, out)

    def _drain(self, request, now, out):
        if self.node.ownership.find_server(request.subject) is None:
            reason = f"unknown backend server {request.subject!r}"
            out.emit(OperatorResponse(request.op_id, Failure(ErrorKind.NOT_FOUND, reason), {}))
            return
        servers = [request.subject]
        note = ReleaseNote(f"{request.action}-{request.op_id}", request.operator, [])
        setattr(note, request.action, servers)
        request.note = note
        self.node.notes.begin(request, now, out)

    def _show_note(self, request, now, out):
        self._query(request, KvGet(f"catalog/note/{request.subject}"), now, out)

    def _list_notes(self, request, now, out):
        self._query(request, KvList("catalog/note/", AUDIT_LIST_LIMIT), now, out)

    def _list_audit(self, request, now, out):
        self._query(request, KvList("audit/", AUDIT_LIST_LIMIT), now, out)

    def _query(self, request, op, now, out):
        self.open_queries[request.op_id] = request
        out.emit(KvCall(self.name, f"ask/{request.op_id}", op, now))

    # Results of platform calls

    def handle_kv(self, result, now, out):
        """Handle the result of an operator's query or of the write of an audit entry."""
        kind, _, ident = result.call.token.partition("/")
        if kind == "ask":
            self._respond_to_query(self.open_queries.pop(ident, None), result, out)
        elif result.outcome in (KvOutcome.APPLIED, KvOutcome.CONFLICT):
            # The key is unique, so a conflict means that an earlier write of the entry was applied.
            self.unwritten_entries.pop(ident, None)
            self.tries = 0
        if self.unwritten_entries:
            self.next_write_at = now + compute_backoff(self.tries + 1, self.node.rng, 0.5, 10.0)

    def _respond_to_query(self, request, result, out):
        if request is None:
            return
        if result.outcome is not KvOutcome.APPLIED:
            failure = Failure(
                ErrorKind.PLATFORM_UNAVAILABLE, "the key-value service does not respond"
            )
            out.emit(OperatorResponse(request.op_id, failure, {}))
            return
        try:
            failure, document = self._build_document(request, result.entries)
        except FormatError as error:
            failure, document = Failure(ErrorKind.INTERNAL, str(error)), {}
        out.emit(OperatorResponse(request.op_id, failure, document))

    def _build_document(self, request, entries):
        if request.action == "audit":
            lines = [AUDIT_ENTRY.codec.to_json(AUDIT_ENTRY.decode(e.value)) for e in entries]
            return None, {"audit": lines}
        notes = [self._describe_note(RELEASE_NOTE.decode(e.value)) for e in entries]
        if request.action == "list_notes":
            return None, {"notes": notes}
        if not notes:
            reason = f"unknown note {request.subject!r}"
            return Failure(ErrorKind.NOT_FOUND, reason), {}
        return None, notes[0]

    def _describe_note(self, note):
        document = RELEASE_NOTE.codec.to_json(note)
        head = self.node.catalog.head
        recent = head.recent if head is not None else []
        if note.note_id in recent:
            later_notes = len(recent) - 1 - recent.index(note.note_id)
            document["revision"] = head.revision - later_notes
        return document

    # Audit trail

    def record(self, change, outcome, now, out):
        """Write an audit entry about an `OpenChange` that has ended."""
        order = change.order
        self.serial += 1
        settings = self.node.settings
        unique = f"{settings.name}-{settings.incarnation}-{self.serial}"
        entry_id = f"{int(order.wall_time_s * 1000):015d}-{unique}"
        before = change.head.revision if change.head is not None else self.node.catalog.revision()
        # Applying a note that was accepted earlier changes nothing.
        changed = outcome == "accepted" and change.change is not None
        after = before + 1 if changed else before
        subject = order.subject or change.note.note_id
        entry = AuditEntry(
            entry_id,
            order.wall_time_s,
            order.operator,
            order.action,
            subject,
            before,
            after,
            outcome,
        )
        self.unwritten_entries[entry_id] = entry
        while len(self.unwritten_entries) > UNWRITTEN_LIMIT:
            del self.unwritten_entries[next(iter(self.unwritten_entries))]
            out.emit(LogEvent("audit_entry_dropped", level="error"))
        out.emit(LogEvent("audit", f"{order.operator} {order.action} {subject}: {outcome}"))
        self._write(entry, now, out)

    def _write(self, entry, now, out):
        put = KvPut(f"audit/{entry.entry_id}", AUDIT_ENTRY.encode(entry), 0, AUDIT_TTL_S)
        out.emit(KvCall(self.name, f"audit/{entry.entry_id}", put, now))

    def next_deadline(self):
        """Return the time (s) of the next retry of audit entries."""
        return self.next_write_at

    def tick(self, now, out):
        """Retry the audit entries that are not written yet."""
        self.tries += 1
        self.next_write_at = float("inf")
        for entry in list(self.unwritten_entries.values())[:20]:
            self._write(entry, now, out)

    # Status

    def find_rollout(self, revision, now):
        """Return where `revision` is in force or pending, and the peers without a recent pong."""
        in_force, pending, out_of_touch = [], [], []
        if self.node.catalog.revision() >= revision:
            in_force.append(self.node.settings.name)
        else:
            pending.append(self.node.settings.name)
        for peer in self.node.settings.peers:
            state = self.peers.get(peer)
            fresh = state is not None and now - state.received_at <= 3 * self._interval()
            if not fresh:
                out_of_touch.append(peer)
            elif state.revision >= revision:
                in_force.append(peer)
            else:
                pending.append(peer)
        return {"in_force": in_force, "pending": pending, "out_of_touch": out_of_touch}

    def _interval(self):
        return self.node.settings.ping_interval_s

    def _respond_with_status(self, request, now, out):
        out.emit(OperatorResponse(request.op_id, None, self.build_status(now)))

    def build_status(self, now):
        """Return the status document of this node."""
        node = self.node
        age_s = node.catalog.confirm_age(now)
        document = {
            "node": node.settings.name,
            "incarnation": node.settings.incarnation,
            "failure_domain": node.settings.failure_domain,
            "cell": node.settings.cell,
            "state": node.lifecycle.state,
            "revision": node.catalog.revision(),
            "confirm_age_s": round(age_s, 3) if age_s < 1e9 else None,
            "adapters": len(node.catalog.index),
            "open_requests": node.requests.open_count(),
            "open_attempts": node.runs.open_count(),
            "unwritten_audit_entries": len(self.unwritten_entries),
            "reach": self.find_rollout(node.catalog.revision(), now),
        }
        document["servers"] = [
            self._describe_view(v) for v in node.ownership.list_server_views(now)
        ]
        return document

    def _describe_view(self, view):
        return {
            "name": view.server.name,
            "service": view.server.service,
            "cell": view.server.cell,
            "failure_domain": view.server.failure_domain,
            "target": view.target,
            "live": view.live,
            "drained": self.node.catalog.is_drained(view.server.name),
            "queued": view.queued,
            "running": view.running,
            "resident": list(view.resident),
        }
