"""The cell records that a node has, for all cells, and their exchange with peers."""

from medlarbeam.classes.effects import SendPeer
from medlarbeam.classes.peer_messages import CellRecordUpdate, FetchCellRecord

__all__ = ["CellRecordCache"]


class CellRecordCache:
    """Cell records by cell; a record is only replaced by one with a higher epoch.

    Notes
    -----
    `highest_epochs` has the highest epoch of each cell that any peer has reported.
    """

    __slots__ = ("highest_epochs", "records", "servers")

    def __init__(self):
        self.records = {}
        self.highest_epochs = {}
        self.servers = {}

    def epoch_of(self, cell):
        """Return the epoch of the stored record of `cell`, 0 for none."""
        record = self.records.get(cell)
        return record.epoch if record is not None else 0

    def put(self, record):
        """Store `record` if its epoch is higher; return whether it was stored."""
        if record.epoch <= self.epoch_of(record.cell):
            return False
        self.records[record.cell] = record
        self.observe_epoch(record.cell, record.epoch)
        self.servers = {s.name: (r, s) for r in self.records.values() for s in r.servers}
        return True

    def get_server(self, server):
        """Return the `BackendServer` called `server`, or None."""
        found = self.servers.get(server)
        return found[1] if found is not None else None

    def find_record(self, server):
        """Return the `CellRecord` that has `server`, or None."""
        found = self.servers.get(server)
        return found[0] if found is not None else None

    def observe_epoch(self, cell, epoch):
        """Record that `cell` has, or had, a record with `epoch`."""
        if cell:
            self.highest_epochs[cell] = max(epoch, self.highest_epochs.get(cell, 0))

    def list_outdated(self):
        """Return the cells for which a higher epoch than that of the stored record was reported."""
        return [cell for cell, epoch in self.highest_epochs.items() if epoch > self.epoch_of(cell)]

    def reconcile_with(self, peer, cell, epoch, out):
        """Send `peer` the record of `cell` if it is newer than `epoch`, or fetch a newer one."""
        self.observe_epoch(cell, epoch)
        known = self.epoch_of(cell)
        if epoch < known:
            out.emit(SendPeer(peer, CellRecordUpdate(self.records[cell])))
        elif epoch > known:
            out.emit(SendPeer(peer, FetchCellRecord(cell)))

    def send_all(self, peer, out):
        """Send all stored records to a peer, which may have none."""
        for record in self.records.values():
            out.emit(SendPeer(peer, CellRecordUpdate(record)))

    def respond_to_fetch(self, peer, cell, out):
        """Send the record of `cell` to a peer that requested it, if there is a record."""
        if cell in self.records:
            out.emit(SendPeer(peer, CellRecordUpdate(self.records[cell])))
