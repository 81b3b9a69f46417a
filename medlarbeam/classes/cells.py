"""Cells: groups of nodes and the backend servers that they manage."""

from medlarbeam.classes.record import Record

__all__ = ["BackendServer", "CellRecord", "Member", "VmEntry"]


class BackendServer(Record):
    """A backend server as the VM list describes it.

    Parameters
    ----------
    name : str
    address : str
        ``ip:port`` of its HTTP interface.
    failure_domain : str
    cell : str
        Cell that manages it.
    service : str
        Name of the plain service, or "" for a model engine.
    slots : int
        Adapters that the engine holds at once; 0 for a plain service.
    concurrency : int
        Requests that it runs at once.
    fencing : bool
        Whether it refuses orders that carry an old fencing number.
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
    """A node that belongs to a cell.

    Parameters
    ----------
    node : str
    incarnation : int
        Start number of the process; a later start has a greater one.
    reachable : bool
        False while the member owns nothing because the others do not reach it.
    """

    __slots__ = ("incarnation", "node", "reachable")

    def __init__(self, node, incarnation, reachable=True):
        self.node = node
        self.incarnation = incarnation
        self.reachable = reachable


class CellRecord(Record):
    """The agreed state of a cell; changed only by compare-and-swap on the platform.

    Parameters
    ----------
    cell : str
    epoch : int
        Grows by one with each change; the fencing number of orders to engines.
    members : list of Member
    servers : list of BackendServer
    owners : dict of str to str
        Name of the backend server to name of the node that owns it.
    removed_at_epoch : int
        Epoch at which a member was last removed as failed, 0 if never.
    change_id : str
        Unique id of the change that wrote this record, to recognise it after a lost answer.
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
        """Return the member called `node`, or None."""
        return next((m for m in self.members if m.node == node), None)

    def find_server(self, name):
        """Return the backend server called `name`, or None."""
        return next((s for s in self.servers if s.name == name), None)


class VmEntry(Record):
    """One line of the platform's VM list.

    Parameters
    ----------
    name : str
        Name of the VM; for an entry VM also the name of its node.
    leaving : bool
    server : BackendServer or None
        The backend server that runs there, None for an entry VM.
    """

    __slots__ = ("leaving", "name", "server")

    def __init__(self, name, leaving, server=None):
        self.name = name
        self.leaving = leaving
        self.server = server
