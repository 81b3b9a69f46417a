"""Platform of the benchmarks: a key-value store and a VM list in memory."""

import orjson

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
from medlarbeam.node.catalog import HEAD_KEY
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD, CELL_RECORD
from medlarbeam.standins.vm_list import describe_backend, describe_entry

__all__ = ["BenchPlatform"]


class BenchPlatform:
    """Key-value store and VM list that answer at once.

    Parameters
    ----------
    records : list of CellRecord
    change : CatalogChange
        The catalogue in force.

    Attributes
    ----------
    vm_document : bytes
        Answer of the VM list service.
    """

    __slots__ = ("entries", "revision", "vm_document")

    def __init__(self, records, change):
        self.entries = {}
        self.revision = 0
        for record in records:
            self.put(f"cell/{record.cell}", CELL_RECORD.encode(record))
        for shard in change.shards:
            self.put(shard.key, CATALOG_SHARD.encode(shard))
        self.put(HEAD_KEY, CATALOG_HEAD.encode(change.head))
        vms = [vm for record in records for vm in self._describe(record)]
        self.vm_document = orjson.dumps({"vms": vms})

    def _describe(self, record):
        cell = record.cell
        for member in record.members:
            yield describe_entry(member.node, "10.1.0.1:7000", cell, cell)
        for server in record.servers:
            yield describe_backend(
                server.name, server.address, cell, cell, slots=server.slots, fencing=True
            )

    def put(self, key, value):
        """Store a value; return the new `KvEntry`."""
        self.revision += 1
        entry = self.entries[key] = KvEntry(key, value, self.revision)
        return entry

    def execute(self, call):
        """Return the `KvResult` of a `KvCall`."""
        op = call.op
        if isinstance(op, (KvGet, KvWatch)):
            entry = self.entries.get(op.key)
            return KvResult(call, KvOutcome.APPLIED, [entry] if entry else [])
        if isinstance(op, KvList):
            keys = sorted((k for k in self.entries if k.startswith(op.prefix)), reverse=True)
            return KvResult(call, KvOutcome.APPLIED, [self.entries[k] for k in keys[: op.limit]])
        present = self.entries.get(op.key)
        revision = present.revision if present else 0
        if op.expected_revision not in (None, revision):
            return KvResult(call, KvOutcome.CONFLICT, [present] if present else [])
        if isinstance(op, KvDelete):
            self.entries.pop(op.key, None)
            return KvResult(call, KvOutcome.APPLIED, [])
        assert isinstance(op, KvPut)
        return KvResult(call, KvOutcome.APPLIED, [self.put(op.key, op.value)])
