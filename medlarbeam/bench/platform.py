"""In-memory platform for the benchmarks: a key-value store and a VM list."""

import orjson

from medlarbeam.classes.key_value import KvEntry
from medlarbeam.node.catalog import HEAD_KEY
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD, CELL_RECORD
from medlarbeam.standins.memory_kv import MemoryKv
from medlarbeam.standins.vm_list import describe_backend_vm, describe_entry_vm

__all__ = ["BenchPlatform"]


class BenchPlatform(MemoryKv):
    """Key-value store and VM list that respond without delay.

    Parameters
    ----------
    records : list of CellRecord
    change : CatalogChange
        The initial catalog.

    Attributes
    ----------
    vm_document : bytes
        Response of the VM list service.
    """

    __slots__ = ("vm_document",)

    def __init__(self, records, change):
        super().__init__()
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
            yield describe_entry_vm(member.node, "10.1.0.1:7000", cell, cell)
        for server in record.servers:
            yield describe_backend_vm(
                server.name, server.address, cell, cell, slots=server.slots, fencing=True
            )

    def put(self, key, value):
        """Store a value; return the new `KvEntry`."""
        self.revision += 1
        entry = self.entries[key] = KvEntry(key, value, self.revision)
        return entry
