"""Key-value service in memory."""

from medlarbeam.classes.platform import (
    KvDelete,
    KvEntry,
    KvGet,
    KvList,
    KvOutcome,
    KvPut,
    KvResult,
    KvWatch,
)

__all__ = ["MemoryKv"]


class MemoryKv:
    """Key-value service with compare-and-swap.

    Attributes
    ----------
    writes : int
        Calls that asked for a change.
    down : bool
        Set by a driver that answers no calls.
    """

    __slots__ = ("down", "entries", "revision", "writes")

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.writes = 0
        self.down = False

    def execute(self, call):
        """Return the `KvResult` of a call."""
        op = call.op
        if isinstance(op, (KvGet, KvWatch)):
            entry = self.entries.get(op.key)
            return KvResult(call, KvOutcome.APPLIED, [entry] if entry else [])
        if isinstance(op, KvList):
            keys = sorted((k for k in self.entries if k.startswith(op.prefix)), reverse=True)
            return KvResult(call, KvOutcome.APPLIED, [self.entries[k] for k in keys[: op.limit]])
        return self._write(call, op)

    def _write(self, call, op):
        self.writes += 1
        present = self.entries.get(op.key)
        revision = present.revision if present else 0
        if op.expected_revision is not None and op.expected_revision != revision:
            return KvResult(call, KvOutcome.CONFLICT, [present] if present else [])
        self.revision += 1
        if isinstance(op, KvDelete):
            self.entries.pop(op.key, None)
            return KvResult(call, KvOutcome.APPLIED, [])
        assert isinstance(op, KvPut)
        entry = KvEntry(op.key, op.value, self.revision)
        self.entries[op.key] = entry
        return KvResult(call, KvOutcome.APPLIED, [entry])
