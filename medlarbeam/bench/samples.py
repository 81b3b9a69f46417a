"""Generated release notes, catalogs and cells for the benchmarks."""

from medlarbeam.algorithms.assignment import assign_servers
from medlarbeam.algorithms.catalog_changes import apply_note
from medlarbeam.classes.catalog import (
    AdapterVersion,
    CatalogHead,
    NoteAction,
    NoteEntry,
    ReleaseNote,
)
from medlarbeam.classes.cells import BackendServer, CellRecord, Member

__all__ = ["EPOCH", "make_catalog", "make_cells", "make_note"]

EPOCH = 5
SHARDS = 64


def make_note(note_id, first, count):
    """Return a release note that adds `count` adapters, numbered from `first`."""
    entries = [
        NoteEntry(
            NoteAction.ADD,
            AdapterVersion(f"adapter-{i:06}", "1", f"lora/base-{i % 2}/adapter-{i:06}/1"),
        )
        for i in range(first, first + count)
    ]
    return ReleaseNote(note_id, "bench", entries)


def make_catalog(count):
    """Return the `CatalogChange` that creates a catalog of `count` adapters."""
    head = CatalogHead(0, [""] * SHARDS, [])
    return apply_note(make_note("note-0", 0, count), head, {}, "note-0")


def make_cells(nodes, servers, cell_size):
    """Return the list of `CellRecord` of a fleet.

    Parameters
    ----------
    nodes : int
        Number of nodes, which are named n0, n1 and so on.
    servers : int
        Number of engines in the fleet, distributed to the nodes round-robin.
    cell_size : int
        Number of nodes per cell.
    """
    names = [f"n{i}" for i in range(nodes)]
    records = []
    for start in range(0, nodes, cell_size):
        cell = f"cell{start // cell_size}"
        member_names = names[start : start + cell_size]
        backends = [
            BackendServer(f"e{i}", f"10.0.{i // 250}.{i % 250}:8000", cell, cell, fencing=True)
            for i in range(servers)
            if names[i % nodes] in member_names
        ]
        members = [Member(name, 1) for name in member_names]
        # The same assignment as the nodes compute, so that the records do not change later.
        owners = assign_servers(backends, member_names)
        records.append(CellRecord(cell, EPOCH, members, backends, owners, change_id="bench"))
    return records
