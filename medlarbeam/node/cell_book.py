"""The cell records that a node knows, its own and others, and how they spread."""

from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.peer_messages import FetchRecord, RecordSpread

__all__ = ["CellBook"]


class CellBook:
    """Cell records by cell; a record only gives way to one with a higher epoch.

    Notes
    -----
    `seen` has the highest epoch of each cell that any peer spoke of.
    """

    __slots__ = ("records", "seen", "servers")

    def __init__(self):
        self.records = {}
        self.seen = {}
        self.servers = {}

    def epoch_of(self, cell):
        """Return the epoch of the known record of `cell`, 0 for none."""
        record = self.records.get(cell)
        return record.epoch if record is not None else 0

    def put(self, record):
        """Keep `record` if its epoch is higher; return whether it was."""
        if record.epoch <= self.epoch_of(record.cell):
            return False
        self.records[record.cell] = record
        self.note_epoch(record.cell, record.epoch)
        self.servers = {s.name: (r, s) for r in self.records.values() for s in r.servers}
        return True

    def find(self, server):
        """Return the `BackendServer` called `server`, or None."""
        found = self.servers.get(server)
        return found[1] if found is not None else None

    def find_record(self, server):
        """Return the `CellRecord` that has `server`, or None."""
        found = self.servers.get(server)
        return found[0] if found is not None else None

    def note_epoch(self, cell, epoch):
        """Note that a peer has, or knows of, the record of `cell` with `epoch`."""
        if cell:
            self.seen[cell] = max(epoch, self.seen.get(cell, 0))

    def list_lacking(self):
        """Return the cells of which a peer has a newer record than this node."""
        return [cell for cell, epoch in self.seen.items() if epoch > self.epoch_of(cell)]

    def compare_with(self, peer, cell, epoch, out):
        """Send `peer` a newer record of `cell`, or ask it for its own newer one."""
        self.note_epoch(cell, epoch)
        known = self.epoch_of(cell)
        if epoch < known:
            out.emit(SendPeer(peer, RecordSpread(self.records[cell])))
        elif epoch > known:
            out.emit(SendPeer(peer, FetchRecord(cell)))

    def spread_all(self, peer, out):
        """Send all known records to a peer, which may know none."""
        for record in self.records.values():
            out.emit(SendPeer(peer, RecordSpread(record)))

    def answer_fetch(self, peer, cell, out):
        """Send the record of `cell` to the peer that asked, if there is one."""
        if cell in self.records:
            out.emit(SendPeer(peer, RecordSpread(self.records[cell])))
