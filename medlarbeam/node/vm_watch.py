"""What successive reads of the lagging VM list say."""

from math import inf

__all__ = ["VmWatch"]

_ABSENT_READS = 2  # a truncated list is usually followed by a full one
# The list shows a new VM late, so one that it never showed has to be absent for longer.
_ABSENT_READS_UNSEEN = 15


class VmWatch:
    """The VM list as far as it can be trusted.

    Parameters
    ----------
    node : str
        This node; a list without it is truncated or meant for another place.
    """

    __slots__ = ("absences", "leaving", "node", "read_at", "servers", "unseen")

    def __init__(self, node):
        self.node = node
        self.read_at = -inf
        self.absences = {}
        self.unseen = set()
        self.leaving = set()
        self.servers = {}

    def take(self, vm_list):
        """Take a read of the list.

        Parameters
        ----------
        vm_list : VmList

        Returns
        -------
        bool
            False if the list is empty or older than one that was taken before.
        """
        if not vm_list.vms or vm_list.asked_at <= self.read_at:
            return False
        self.read_at = vm_list.asked_at
        present = {vm.name for vm in vm_list.vms}
        for vm in vm_list.vms:
            self.absences[vm.name] = 0
            self.unseen.discard(vm.name)
            if vm.server is not None:
                self.servers[vm.server.name] = vm.server
        if self.node in present:
            for name in self.absences:
                if name not in present:
                    self.absences[name] += 1
        self.leaving = {vm.server.name for vm in vm_list.vms if vm.server and vm.leaving} | {
            name for name in self.leaving if name not in present
        }
        return True

    def watch(self, names):
        """Count the absences of `names`, and forget other VMs that are gone."""
        for name in names:
            if name not in self.absences:
                self.expect(name)
        for name in [n for n in self.absences if self.is_gone(n) and n not in names]:
            del self.absences[name]
            self.unseen.discard(name)
            self.servers.pop(name, None)
            self.leaving.discard(name)

    def expect(self, name):
        """Count the absences of a VM anew, because it is new or started again."""
        self.absences[name] = 0
        self.unseen.add(name)

    def is_gone(self, name):
        """Return whether the last reads in succession did not have the VM called `name`."""
        limit = _ABSENT_READS_UNSEEN if name in self.unseen else _ABSENT_READS
        return self.absences.get(name, 0) >= limit

    def list_servers(self, cell):
        """Return the backend servers of `cell` that are not gone."""
        found = [s for s in self.servers.values() if s.cell == cell and not self.is_gone(s.name)]
        return sorted(found, key=lambda server: server.name)
