"""Tracks VMs over successive reads of the VM list, which lags and may be truncated."""

from math import inf

__all__ = ["VmTracker"]

_ABSENT_READS = 2  # a truncated list is usually followed by a full one
# The list shows a new VM late, so one that was never listed must be absent for more reads.
_ABSENT_READS_NEVER_LISTED = 15


class VmTracker:
    """VMs, backend servers and absences according to the reads of the VM list.

    Parameters
    ----------
    node : str
        This node; a list without it is truncated or belongs to another deployment.

    Notes
    -----
    `absence_counts` has the number of successive reads without each VM, `never_listed` the VMs that
    no read has shown since their counts were last reset.
    """

    __slots__ = ("absence_counts", "leaving", "never_listed", "node", "read_at", "servers")

    def __init__(self, node):
        self.node = node
        self.read_at = -inf
        self.absence_counts = {}
        self.never_listed = set()
        self.leaving = set()
        self.servers = {}

    def update(self, vm_list):
        """Apply a read of the list.

        Parameters
        ----------
        vm_list : VmList

        Returns
        -------
        bool
            False if the list is empty or not newer than the last one that was applied.
        """
        if not vm_list.vms or vm_list.requested_at <= self.read_at:
            return False
        self.read_at = vm_list.requested_at
        present = {vm.name for vm in vm_list.vms}
        for vm in vm_list.vms:
            self.absence_counts[vm.name] = 0
            self.never_listed.discard(vm.name)
            if vm.server is not None:
                self.servers[vm.server.name] = vm.server
        if self.node in present:
            for name in self.absence_counts:
                if name not in present:
                    self.absence_counts[name] += 1
        self.leaving = {vm.server.name for vm in vm_list.vms if vm.server and vm.leaving} | {
            name for name in self.leaving if name not in present
        }
        return True

    def track(self, names):
        """Start to count absences of `names`, and remove other VMs that are gone."""
        for name in names:
            if name not in self.absence_counts:
                self.reset_absences(name)
        for name in [n for n in self.absence_counts if self.is_gone(n) and n not in names]:
            del self.absence_counts[name]
            self.never_listed.discard(name)
            self.servers.pop(name, None)
            self.leaving.discard(name)

    def reset_absences(self, name):
        """Reset the absence count of a VM that is new or was restarted."""
        self.absence_counts[name] = 0
        self.never_listed.add(name)

    def is_gone(self, name):
        """Return whether enough successive reads lacked the VM called `name`."""
        limit = _ABSENT_READS_NEVER_LISTED if name in self.never_listed else _ABSENT_READS
        return self.absence_counts.get(name, 0) >= limit

    def list_servers(self, cell):
        """Return the backend servers of `cell` that are not gone."""
        found = [s for s in self.servers.values() if s.cell == cell and not self.is_gone(s.name)]
        return sorted(found, key=lambda server: server.name)
