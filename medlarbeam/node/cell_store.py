"""Reading and changing a cell record at the platform by compare-and-swap."""

from math import inf

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.key_value import KvCall, KvGet, KvOutcome, KvPut
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.values import CELL_RECORD

__all__ = ["CellStore", "StoredRecord", "make_key"]

_FIRST_DELAY_S = 0.2
_LONGEST_DELAY_S = 10.0


def make_key(cell):
    """Return the platform key of the record of `cell`."""
    return f"cell/{cell}"


class StoredRecord(Record):
    """The cell record that a platform call returned.

    Parameters
    ----------
    record : CellRecord or None
        None if the platform has no record.
    sent_at : float
        Send time (s) of the call; the record is no older than this.
    """

    __slots__ = ("record", "sent_at")

    def __init__(self, record, sent_at):
        self.record = record
        self.sent_at = sent_at


class CellStore:
    """Reads and writes the platform's copy of one cell record, with one call in flight at most.

    Parameters
    ----------
    component : str
        Name of the component that receives the results.
    cell : str
    rng : random.Random

    Notes
    -----
    `revision` is the modification revision of the key for the record with epoch
    `revision_epoch`; a write is based on that record. After a conflict or a lost response the
    record is read back, and `made_change` returns whether a change took effect.
    """

    __slots__ = (
        "attempts",
        "cell",
        "change_id",
        "component",
        "pending",
        "pending_until",
        "retry_at",
        "revision",
        "revision_epoch",
        "rng",
        "serial",
        "write_sent",
    )

    def __init__(self, component, cell, rng):
        self.component = component
        self.cell = cell
        self.rng = rng
        self.revision = None
        self.revision_epoch = None
        self.pending = ""
        self.pending_until = -inf
        self.retry_at = -inf
        self.attempts = 0
        self.serial = 0
        self.change_id = ""
        self.write_sent = False

    def is_ready(self, now):
        """Return whether a call may be sent at `now`."""
        if self.pending and now > self.pending_until:
            self.pending = ""  # the shell returned no result: treated as a lost response
            self._back_off(now)
        return not self.pending and now >= self.retry_at

    def knows_revision(self, epoch):
        """Return whether a write on top of the record with `epoch` (0 for none) is possible."""
        return self.revision is not None and self.revision_epoch == epoch

    def read(self, now, out):
        """Emit a call that reads the record."""
        self._call(KvGet(make_key(self.cell)), "read", now, out)

    def write(self, record, now, out):
        """Emit a call that replaces the record that was last read.

        Raises
        ------
        ValueError
            If the platform's copy was never read.
        """
        if self.revision is None:
            raise ValueError(f"the record of cell {self.cell} must be read before it is written")
        self.change_id = record.change_id
        self.write_sent = True
        op = KvPut(make_key(self.cell), CELL_RECORD.encode(record), self.revision)
        self._call(op, "write", now, out)

    def _call(self, op, what, now, out):
        self.serial += 1
        self.pending = f"{what}:{self.cell}:{self.serial}"
        call = KvCall(self.component, self.pending, op, now)
        self.pending_until = now + 2 * call.timeout_s
        out.emit(call)

    def apply_result(self, result, now, out):
        """Apply the result of a call of this store, which may be late.

        Returns
        -------
        StoredRecord or None
            The record at the platform, None if the result does not contain it.
        """
        is_current = result.call.token == self.pending
        if is_current:
            self.pending = ""
        read = isinstance(result.call.op, KvGet)
        if result.outcome is KvOutcome.APPLIED and (read or result.entries):
            if is_current:
                self.attempts = 0
            return self._read_entries(result, now, out)
        if result.outcome is KvOutcome.CONFLICT and is_current:
            self.revision = None
            self.attempts += 1
            self.retry_at = now + self.rng.uniform(0.0, _FIRST_DELAY_S)
            if result.entries:
                return self._read_entries(result, now, out)
        elif is_current:
            # A write with unknown outcome may still take effect, so the record is read before the
            # next write.
            self.revision = None
            self._back_off(now)
        return None

    def _read_entries(self, result, now, out):
        if not result.entries:
            if self.revision is None:
                self.revision, self.revision_epoch = 0, 0
            return StoredRecord(None, result.call.sent_at)
        entry = result.entries[0]
        try:
            record = CELL_RECORD.decode(entry.value)
        except FormatError as error:
            self._back_off(now)
            out.emit(LogEvent("cell_record_unreadable", f"{entry.key}: {error}", level="error"))
            return None
        if self.revision is None or entry.revision > self.revision:
            self.revision, self.revision_epoch = entry.revision, record.epoch
        return StoredRecord(record, result.call.sent_at)

    def made_change(self, record):
        """Return whether `record` was written by the last change of this node."""
        return bool(self.change_id) and record.change_id == self.change_id

    def _back_off(self, now):
        delay = min(_LONGEST_DELAY_S, _FIRST_DELAY_S * 2**self.attempts)
        self.attempts = min(self.attempts + 1, 10)
        self.retry_at = now + self.rng.uniform(0.5, 1.0) * delay
