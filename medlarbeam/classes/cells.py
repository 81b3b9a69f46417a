"""Cells: groups of nodes and the backend servers that they manage."""

from medlarbeam.classes.record import Record

__all__ = ["BackendServer", "CellRecord", "Member", "VmEntry"]


class BackendServer(Record):
    """A backend server as described by the VM list.

    Parameters
    ----------
    name : str
    address : str
        ``ip:port`` of its HTTP interface.
    failure_domain : str
    cell : str
        Cell that manages the server.
    service : str
        Name of the plain service, "" for a model engine.
    slots : int
        Number of adapters that can be resident at once; 0 for a plain service.
    concurrency : int
        Number of requests that can run at once.
    fencing : bool
        Whether the server rejects load and unload orders with a stale fencing token.
    """

    __slots__ = (
        "address",
        "cell",
        "concurrency",
        "failure_domain",
        "fencing",
        "name",
        "service",
        "slots",
    )

    def __init__(
        self, name, address, failure_domain, cell, service="", slots=4, concurrency=8, fencing=False
    ):
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.cell = cell
        self.service = service
        self.slots = slots
        self.concurrency = concurrency
        self.fencing = fencing


class Member(Record):
    """A member node of a cell.

    Parameters
    ----------
    node : str
    incarnation : int
        Increases with each start of the process.
    reachable : bool
        False while the other members cannot reach the node; it then owns no backend servers.
    """

    __slots__ = ("incarnation", "node", "reachable")

    def __init__(self, node, incarnation, reachable=True):
        self.node = node
        self.incarnation = incarnation
        self.reachable = reachable


class CellRecord(Record):
    """Membership and ownership of a cell, updated only by compare-and-swap in the platform's store.

    Parameters
    ----------
    cell : str
    epoch : int
        Incremented by each change; the fencing token of orders to engines.
    members : list of Member
    servers : list of BackendServer
    owners : dict of str to str
        Maps the name of a backend server to the name of its owner node.
    removed_at_epoch : int
        Epoch at which a failed member was last removed, 0 if never.
    change_id : str
        Unique id of the change that wrote this record. Lets the writer recognise its own change
        when the response to the write was lost.
    """

    __slots__ = ("cell", "change_id", "epoch", "members", "owners", "removed_at_epoch", "servers")

    def __init__(self, cell, epoch, members, servers, owners, removed_at_epoch=0, change_id=""):
        self.cell = cell
        self.epoch = epoch
        self.members = members
        self.servers = servers
        self.owners = owners
        self.removed_at_epoch = removed_at_epoch
        self.change_id = change_id

    def find_member(self, node):
        """Return the member with the name `node`, or None."""
        return next((m for m in self.members if m.node == node), None)

    def find_server(self, name):
        """Return the backend server with the name `name`, or None."""
        return next((s for s in self.servers if s.name == name), None)


class VmEntry(Record):
    """An entry of the platform's VM list.

    Parameters
    ----------
    name : str
        Name of the VM; for an entry VM also the name of its node.
    leaving : bool
        Whether the VM is about to be removed.
    server : BackendServer or None
        Backend server that runs on the VM, None for an entry VM.
    """

    __slots__ = ("leaving", "name", "server")

    def __init__(self, name, leaving, server=None):
        self.name = name
        self.leaving = leaving
        self.server = server
