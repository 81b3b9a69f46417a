"""In-memory key-value service."""

from medlarbeam.classes.key_value import (
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
    """In-memory key-value service with compare-and-swap writes.

    Attributes
    ----------
    entries : dict
        `KvEntry` by key.
    revision : int
        Number of applied writes.
    write_calls : int
        Number of write calls, including those that conflicted.
    is_unavailable : bool
        Set by a test driver that simulates an outage; `execute` does not read it.
    """

    __slots__ = ("entries", "is_unavailable", "revision", "write_calls")

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.write_calls = 0
        self.is_unavailable = False

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
        self.write_calls += 1
        current = self.entries.get(op.key)
        revision = current.revision if current else 0
        if op.expected_revision is not None and op.expected_revision != revision:
            return KvResult(call, KvOutcome.CONFLICT, [current] if current else [])
        self.revision += 1
        if isinstance(op, KvDelete):
            self.entries.pop(op.key, None)
            return KvResult(call, KvOutcome.APPLIED, [])
        assert isinstance(op, KvPut)
        entry = KvEntry(op.key, op.value, self.revision)
        self.entries[op.key] = entry
        return KvResult(call, KvOutcome.APPLIED, [entry])
