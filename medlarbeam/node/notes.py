"""Application of release notes by compare-and-swap of the head of the catalog."""

from medlarbeam.algorithms.backoff import compute_backoff
from medlarbeam.algorithms.catalog_changes import apply_note, list_changed_shards
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent, OperatorResponse
from medlarbeam.classes.key_value import KvCall, KvDelete, KvGet, KvOutcome, KvPut
from medlarbeam.exceptions import ErrorKind, Failure, FormatError
from medlarbeam.node.catalog import HEAD_KEY, make_empty_head
from medlarbeam.node.component import Component
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD, RELEASE_NOTE

__all__ = ["NoteApplier", "OpenChange"]

SCAN_INTERVAL_S = 0.1
PREPARE_LIMIT_S = 12.0  # after this the operator request fails as `platform_unavailable`
PROPAGATION_LIMIT_S = 14.0  # time for a change to come into force at all nodes


def make_note_key(note):
    """Return the key of a note on the platform."""
    return f"catalog/note/{note.note_id}"


class OpenChange:
    """A change of the catalog in progress.

    Parameters
    ----------
    order : OperatorRequest
        With the note; its action is ``apply_note``, ``dry_run_note``, ``drain`` or ``undrain``.
    state : str
        State in the chart ``release_note``.
    token : str
        Identifies its platform calls; unique over all nodes and their restarts.
    expires_at : float
        Time (s) at which the present phase expires.

    Attributes
    ----------
    change : object or None
        Result of `apply_note`: the new head and shards.
    head, head_entry : CatalogHead, KvEntry
        Head that was read, and its entry on the platform, None if there is none.
    missing : set of str
        Keys of the shards whose read is awaited.
    shards : dict
        Shards that the note changes, as they were before, by key.
    unwritten : list
        New shards that are not written yet.
    """

    __slots__ = (
        "change",
        "expires_at",
        "failure",
        "head",
        "head_entry",
        "missing",
        "order",
        "retry_at",
        "shards",
        "state",
        "token",
        "tries",
        "unwritten",
    )

    def __init__(self, order, state, token, expires_at):
        self.order = order
        self.state = state
        self.token = token
        self.expires_at = expires_at
        self.change = None
        self.failure = None
        self.head = None
        self.head_entry = None
        self.missing = set()
        self.retry_at = float("inf")
        self.shards = {}
        self.tries = 0
        self.unwritten = []

    @property
    def note(self):
        """The release note."""
        return self.order.note


class NoteApplier(Component):
    """Runs each change through the chart ``release_note``."""

    __slots__ = ("chart", "next_scan", "open", "serial")

    name = "notes"

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("release_note", NoteApplier)
        self.open = {}
        self.serial = 0
        self.next_scan = float("inf")

    def begin(self, order, now, out):
        """Start to apply the note of an `OperatorRequest`; ends with an `OperatorResponse`."""
        self.serial += 1
        settings = self.node.settings
        token = f"{settings.name}-{settings.incarnation}-n{self.serial}"
        change = OpenChange(order, self.chart.initial, token, now + PREPARE_LIMIT_S)
        self.open[token] = change
        self.next_scan = min(self.next_scan, now + SCAN_INTERVAL_S)
        self.read_head(change, now, out)

    def _fire(self, change, event, now, out):
        self.chart.fire(change, event, self, now, out)

    def _call(self, change, op, now, out):
        out.emit(KvCall(self.name, change.token, op, now))

    # Results of platform calls

    def handle_kv(self, result, now, out):
        """Dispatch a result to the change that waits for it."""
        change = self.open.get(result.call.token)
        if change is None:
            return
        try:
            self._handle_result(change, result, now, out)
        except FormatError as error:
            change.failure = Failure(ErrorKind.INTERNAL, f"invalid value on the platform: {error}")
            self._fire(change, "refused", now, out)

    def _handle_result(self, change, result, now, out):
        op = result.call.op
        if isinstance(op, KvDelete):
            return
        if isinstance(op, KvGet) and result.outcome is not KvOutcome.APPLIED:
            self._fail_platform(change, now, out)
        elif isinstance(op, KvGet) and op.key == HEAD_KEY:
            self._handle_head(change, result, now, out)
        elif isinstance(op, KvGet) and op.key == make_note_key(change.note):
            self._handle_note(change, result, now, out)
        elif isinstance(op, KvGet):
            self._handle_shard(change, result, now, out)
        elif op.key == HEAD_KEY:
            self._handle_head_write(change, result, now, out)
        else:
            self._handle_staged_write(change, result, now, out)

    def _fail_platform(self, change, now, out):
        reason = "the key-value service does not respond; nothing has changed"
        change.failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        self._fire(change, "unavailable", now, out)

    def _handle_head(self, change, result, now, out):
        change.head_entry = result.entries[0] if result.entries else None
        if change.head_entry is None:
            change.head = make_empty_head(self.node.settings.catalog_shards)
        else:
            change.head = CATALOG_HEAD.decode(change.head_entry.value)
        known = change.note.note_id in change.head.recent
        if change.change is None:
            self._fire(change, "known_id" if known else "head_read", now, out)
        else:
            self._fire(change, "accepted" if known else "conflict", now, out)

    def _handle_note(self, change, result, now, out):
        """Compare the note with the one that was accepted under its id."""
        earlier = [RELEASE_NOTE.decode(entry.value) for entry in result.entries]
        if earlier and earlier[0].has_content_of(change.note):
            self._fire(change, "accepted", now, out)
            return
        reason = f"the note id {change.note.note_id} was already used by another note"
        change.failure = Failure(ErrorKind.NOTE_CONFLICT, reason)
        self._fire(change, "refused", now, out)

    def _handle_shard(self, change, result, now, out):
        for entry in result.entries:
            change.shards[entry.key] = CATALOG_SHARD.decode(entry.value)
        change.missing.discard(result.call.op.key)
        if not result.entries:
            reason = f"{result.call.op.key} is missing on the platform"
            change.failure = Failure(ErrorKind.INTERNAL, reason)
            self._fire(change, "refused", now, out)
        elif not change.missing:
            self._fire(change, "shards_read", now, out)

    def _handle_staged_write(self, change, result, now, out):
        if result.outcome is KvOutcome.UNAVAILABLE:
            self._fail_platform(change, now, out)
        elif result.outcome is KvOutcome.UNKNOWN:
            self._fire(change, "response_lost", now, out)
        elif result.call.op.key.startswith("catalog/shard/"):
            self._fire(change, "shard_written", now, out)
        else:
            self._fire(change, "note_written", now, out)

    def _handle_head_write(self, change, result, now, out):
        events = {
            KvOutcome.APPLIED: "accepted",
            KvOutcome.CONFLICT: "conflict",
            KvOutcome.UNKNOWN: "response_lost",
            KvOutcome.UNAVAILABLE: "unavailable",
        }
        self._fire(change, events[result.outcome], now, out)

    # Actions of the chart

    def read_head(self, change, now, out):
        """Read the current head."""
        self._call(change, KvGet(HEAD_KEY), now, out)

    def read_note(self, change, now, out):
        """Read the note that was accepted under this id."""
        self._call(change, KvGet(make_note_key(change.note)), now, out)

    def read_shards(self, change, now, out):
        """Read the shards that the note changes, unless this node has them."""
        keys = [change.head.shard_keys[n] for n in list_changed_shards(change.note, change.head)]
        for key in filter(None, keys):
            present = self.node.catalog.shards.get(key)
            if present is not None:
                change.shards[key] = present
            else:
                change.missing.add(key)
                self._call(change, KvGet(key), now, out)
        if not change.missing:
            self._fire(change, "shards_read", now, out)

    def compute_change(self, change, now, out):
        """Compute the new head and shards, and start to write them."""
        result = apply_note(change.note, change.head, change.shards, change.token)
        if isinstance(result, Failure):
            change.failure = result
            self._fire(change, "refused", now, out)
            return
        change.change = result
        if change.order.action == "dry_run_note":
            self._fire(change, "dry_run_done", now, out)
            return
        change.unwritten = list(result.shards)
        self.write_next_shard(change, now, out)

    def write_next_shard(self, change, now, out):
        """Write the next shard; one write is in flight at a time."""
        if not change.unwritten:
            self._fire(change, "shards_written", now, out)
            return
        shard = change.unwritten[-1]
        self._call(change, KvPut(shard.key, CATALOG_SHARD.encode(shard), 0), now, out)

    def drop_written_shard(self, change, now, out):
        """Remove the shard that was just written from the pending ones."""
        change.unwritten.pop()

    def write_note(self, change, now, out):
        """Write the note itself, which operators can read."""
        value = RELEASE_NOTE.encode(change.note)
        self._call(change, KvPut(make_note_key(change.note), value), now, out)

    def write_head(self, change, now, out):
        """Accept the note by a compare-and-swap of the head."""
        expected = change.head_entry.revision if change.head_entry else 0
        value = CATALOG_HEAD.encode(change.change.head)
        self._call(change, KvPut(HEAD_KEY, value, expected), now, out)

    def schedule_retry(self, change, now, out):
        """Set the time of the next attempt."""
        change.tries += 1
        change.retry_at = now + compute_backoff(change.tries, self.node.rng, 0.1, 2.0)

    def read_conflicting_head(self, change, now, out):
        """Read the head that conflicts with this change."""
        self._call(change, KvGet(HEAD_KEY), now, out)

    def propagate_change(self, change, now, out):
        """Adopt the change at this node and send it to the peers."""
        change.expires_at = now + PROPAGATION_LIMIT_S
        if change.change is None or change.note.note_id in change.head.recent:
            return  # accepted earlier, or superseded already; the catalog replica reads it itself
        catalog = self.node.catalog
        known = set(catalog.shards)
        for shard in [*change.change.shards, *change.shards.values()]:
            catalog.stage_shard(shard)
        catalog.offer_head(change.change.head, now, out, now)
        if catalog.revision() == change.change.head.revision:
            for peer in self.node.settings.peers:
                catalog.send_to_peer(peer, known, out)

    # Responses

    def _respond(self, change, failure, now, out, **document):
        del self.open[change.token]
        outcome = "accepted" if failure is None else f"{failure.kind.value}: {failure.reason}"
        if change.order.action != "dry_run_note":
            self.node.operations.record(change, outcome, now, out)
        out.emit(LogEvent("note_settled", f"{change.note.note_id}: {outcome}"))
        document["note_id"] = change.note.note_id
        out.emit(OperatorResponse(change.order.op_id, failure, document))

    def respond_refused(self, change, now, out):
        """Respond with the reason of the refusal."""
        self._respond(change, change.failure, now, out)

    def respond_unavailable(self, change, now, out):
        """Respond that the platform timed out."""
        reason = "the key-value service does not respond; nothing has changed"
        self._respond(change, Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason), now, out)

    def respond_outcome_unknown(self, change, now, out):
        """Respond that the note may have been accepted."""
        reason = "the note may have been accepted; apply the same note again to find out"
        self._respond(change, Failure(ErrorKind.PLATFORM_UNKNOWN, reason), now, out)

    def respond_conflict(self, change, now, out):
        """Respond with the note that was accepted first."""
        self._delete([shard.key for shard in change.change.shards], change, now, out)
        winner = change.head.recent[-1] if change.head.recent else "none"
        reason = f"note {winner} was accepted first, as revision {change.head.revision}"
        self._respond(change, Failure(ErrorKind.NOTE_CONFLICT, reason), now, out)

    def respond_dry_run(self, change, now, out):
        """Respond with the revision and the number of shards that the note would change."""
        head = change.change.head
        self._respond(change, None, now, out, revision=head.revision, shards=len(change.shards))

    def respond_accepted(self, change, now, out):
        """Respond with the nodes at which the note is in force."""
        if change.change is not None:
            replaced = set(change.shards) - set(change.change.head.shard_keys)
            self._delete(sorted(replaced), change, now, out)
        revision = self._revision(change)
        rollout = self.node.operations.find_rollout(revision, now)
        document = {"revision": revision, **rollout}
        self._respond(change, None, now, out, **document)

    def _delete(self, keys, change, now, out):
        """Delete shards that no head refers to, or that never came into force."""
        for key in keys:
            self._call(change, KvDelete(key, None), now, out)

    def _revision(self, change):
        recent = change.head.recent
        if change.note.note_id in recent:
            later_notes = len(recent) - 1 - recent.index(change.note.note_id)
            return change.head.revision - later_notes
        return change.change.head.revision

    # Time

    def next_deadline(self):
        """Return the time (s) of the next scan."""
        return self.next_scan

    def tick(self, now, out):
        """Handle retries, time limits, and changes that are in force at all reachable nodes."""
        for change in list(self.open.values()):
            if now >= change.expires_at:
                self._fire(change, "expired", now, out)
            elif now >= change.retry_at:
                change.retry_at = float("inf")
                self._fire(change, "retry_due", now, out)
            elif self.chart.has_tag(change, "propagating"):
                rollout = self.node.operations.find_rollout(self._revision(change), now)
                if not rollout["pending"]:
                    self._fire(change, "in_force", now, out)
        self.next_scan = now + SCAN_INTERVAL_S if self.open else float("inf")
