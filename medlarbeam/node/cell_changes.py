"""Changes of a cell record, each computed as a new record from the current one."""

from medlarbeam.algorithms.assignment import assign_servers
from medlarbeam.classes.cells import CellRecord, Member

__all__ = ["build_record", "drop_member", "join_member", "set_members"]


def build_record(base, cell, members, servers, removed, change_id):
    """Return the record that follows `base`, with the owners reassigned.

    Parameters
    ----------
    base : CellRecord or None
    cell : str
    members : list of Member
    servers : list of BackendServer
    removed : bool
        Whether a member that may still have runs was removed.
    change_id : str
    """
    epoch = base.epoch + 1 if base is not None else 1
    members = sorted(members, key=lambda member: member.node)
    servers = sorted(servers, key=lambda server: server.name)
    owners = assign_servers(servers, [m.node for m in members if m.reachable])
    removed_at = epoch if removed else (base.removed_at_epoch if base is not None else 0)
    return CellRecord(cell, epoch, members, servers, owners, removed_at, change_id)


def join_member(base, cell, node, incarnation, servers, gone, change_id):
    """Return the record with `node` as a member and without the members in `gone`.

    Parameters
    ----------
    base : CellRecord or None
    cell, node : str
    incarnation : int
    servers : list of BackendServer
    gone : list of str
        Members whose process ended.
    change_id : str

    Notes
    -----
    If there are other members, the new one owns nothing until it is known that all of them require
    its pledge before they evict.
    """
    old = base.members if base is not None else []
    kept = [m for m in old if m.node != node and m.node not in gone]
    members = [*kept, Member(node, incarnation, reachable=not kept)]
    return build_record(base, cell, members, servers, len(kept) < len(old), change_id)


def set_members(base, reachable, gone, servers, change_id):
    """Return the record with updated members and servers, or None if nothing changes.

    Parameters
    ----------
    base : CellRecord
    reachable : dict of str to bool
        By member name; other members keep their values.
    gone : list of str
    servers : list of BackendServer
    change_id : str
    """
    members = [
        Member(m.node, m.incarnation, reachable.get(m.node, m.reachable))
        for m in base.members
        if m.node not in gone
    ]
    removed = len(members) < len(base.members)
    record = build_record(base, base.cell, members, servers, removed, change_id)
    same = record.members == base.members and record.servers == base.servers
    return None if same and record.owners == base.owners else record


def drop_member(base, node, change_id):
    """Return the record without `node`, which must have no runs and no unload orders left."""
    members = [m for m in base.members if m.node != node]
    return build_record(base, base.cell, members, base.servers, False, change_id)
