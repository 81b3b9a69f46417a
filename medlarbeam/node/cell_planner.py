"""Decides which change of a cell record this node should write next."""

from math import inf

from medlarbeam.algorithms.assignment import rank_nodes
from medlarbeam.node.cell_changes import drop_member, join_member, set_members

__all__ = ["CellPlanner"]

# Time without a response, in pledge lengths, after which a member loses its backend servers. Two
# allow for one reconnection of the peer link.
_SILENT_PLEDGES = 2.0
# A member that the others marked unreachable reclaims the cell only after a longer time without
# responses, so that two members that both reach the platform do not alternate as owners.
_RECLAIM_PLEDGES = 6.0
_TAKEOVER_PLEDGES = 4.0


class CellPlanner:
    """Decides on joins, handovers, removals and takeovers for one node.

    Parameters
    ----------
    settings : NodeSettings
    pledges : Pledges
    vms : VmTracker
    started_at : float or None
        Time (s) of the first decision; time without responses is counted from here at the earliest.
    """

    __slots__ = ("pledges", "settings", "started_at", "vms")

    def __init__(self, settings, pledges, vms):
        self.settings = settings
        self.pledges = pledges
        self.vms = vms
        self.started_at = None

    def record_start(self, now):
        """Set `started_at` at the first decision."""
        if self.started_at is None:
            self.started_at = now

    def is_silent(self, node, lengths, since, now):
        """Return whether `node` responded to no ping for `lengths` pledge lengths since `since`."""
        last = max(self.pledges.last_contact(node), since)
        return now - last > lengths * self.settings.pledge_s

    def is_leaving(self, node, cell):
        """Return whether `node` reported in its last pong about `cell` that it is leaving."""
        received = self.pledges.find_pong(node, cell)
        return received is not None and received.pong.leaving

    def plan(self, membership, change_id, now):
        """Return the `CellRecord` that this node should write for a cell, or None.

        Parameters
        ----------
        membership : CellMembership
        change_id : str
        now : float
        """
        if membership.has_tag("joining"):
            return self._plan_join(membership, change_id)
        if not membership.has_tag("listed"):
            return self._plan_departure(membership, change_id)
        if membership.has_tag("leaving"):
            return self._plan_hand_over(membership, change_id, now)
        return self._plan_update(membership, change_id, now)

    def _plan_join(self, membership, change_id):
        gone = [m.node for m in membership.list_others() if self.is_gone(m)]
        servers = self._list_servers(membership)
        return join_member(
            membership.record,
            membership.cell,
            membership.node,
            membership.incarnation,
            servers,
            gone,
            change_id,
        )

    def _plan_departure(self, membership, change_id):
        record = membership.record
        me = record.find_member(membership.node) if record is not None else None
        if me is None or me.incarnation != membership.incarnation or membership.has_tag("finished"):
            return None
        return drop_member(record, membership.node, change_id)

    def _plan_hand_over(self, membership, change_id, now):
        """Hand the backend servers over to responsive members; without any, keep them."""
        successors = [m for m in self._list_eligible(membership) if self._is_responsive(m, now)]
        if not successors:
            return None
        return set_members(
            membership.record, {membership.node: False}, [], membership.record.servers, change_id
        )

    def _plan_update(self, membership, change_id, now):
        """Return the record with the changes that this node may make.

        A member changes its own entry; the leader changes the other members and the servers.
        """
        reachable = {}
        me = membership.record.find_member(membership.node)
        if not me.reachable and self._may_become_reachable(membership, now):
            reachable[membership.node] = True
        gone, servers = [], membership.record.servers
        if self._is_leader(membership, me, now):
            for member in membership.list_others() if me.reachable or reachable else ():
                if self.is_leaving(member.node, membership.cell) or self._timed_out(member, now):
                    reachable[member.node] = False
            gone = [m.node for m in membership.list_others() if self.is_gone(m)]
            servers = self._list_servers(membership)
        return set_members(membership.record, reachable, gone, servers, change_id)

    def is_gone(self, member):
        """Return whether the process of a `Member` has certainly ended."""
        if self.pledges.is_replaced(member):
            return True
        # A VM that responds exists even if the list lacks it.
        contact_at = self.pledges.last_contact(member.node)
        return self.vms.is_gone(member.node) and contact_at < self.vms.read_at - (
            self.settings.pledge_s
        )

    def _list_eligible(self, membership):
        """Return the other members that may own backend servers."""
        up = [m for m in membership.list_others() if m.reachable and not self.is_gone(m)]
        return [m for m in up if not self.is_leaving(m.node, membership.cell)]

    def _is_responsive(self, member, now):
        return not self.is_silent(member.node, 1.0, -inf, now)

    def _timed_out(self, member, now):
        return self.is_silent(member.node, _SILENT_PLEDGES, self.started_at, now)

    def _may_become_reachable(self, membership, now):
        """Return whether this node may mark itself reachable, and so own backend servers.

        Notes
        -----
        A member marks itself reachable only if all reachable members respond to it, so that members
        that cannot reach each other do not alternate as owners.
        """
        if membership.find_unaware_member(self.pledges, now) is not None:
            return False
        if all(self._is_responsive(member, now) for member in self._list_eligible(membership)):
            return True
        limit = _RECLAIM_PLEDGES if membership.home else _SILENT_PLEDGES
        return all(
            self.is_gone(member) or self.is_silent(member.node, limit, self.started_at, now)
            for member in membership.list_others()
        )

    def _is_leader(self, membership, me, now):
        """Return whether no member that precedes this one responds.

        Reachable members precede unreachable ones, then the order is by name.
        """
        return not any(
            (not me.reachable or member.node < membership.node) and not self._timed_out(member, now)
            for member in self._list_eligible(membership)
        )

    def _list_servers(self, membership):
        """Return the backend servers of the cell.

        For the home cell, only those in the failure domain of this node.
        """
        listed = {server.name: server for server in self.vms.list_servers(membership.cell)}
        for server in membership.record.servers if membership.record is not None else ():
            if not self.vms.is_gone(server.name):
                listed.setdefault(server.name, server)
        servers = list(listed.values())
        if membership.home:
            domain = self.settings.failure_domain
            servers = [s for s in servers if s.failure_domain == domain]
        return servers

    def should_take_over(self, record, peers, now):
        """Return whether this node should take over the cell of another failure domain.

        Parameters
        ----------
        record : CellRecord
            Record of the cell, of which this node is no member.
        peers : list of str
            Peers that respond. They and this node are ranked for the cell; each rank waits longer,
            so that the next one takes over if the first does not, for example because it cannot
            reach the platform.
        now : float
        """
        ranked = rank_nodes(record.cell, [*peers, self.settings.name])
        limit = _TAKEOVER_PLEDGES * (1 + ranked.index(self.settings.name))
        if not record.servers or now - self.started_at <= limit * self.settings.pledge_s:
            return False
        # A member that does not respond may be partitioned and still evict, so the VM list must
        # also show that it is gone.
        return all(
            self.is_gone(m) and self.is_silent(m.node, limit, self.started_at, now)
            for m in record.members
        )

    def should_return(self, membership, now):
        """Return whether another member can take back a cell that this node took over."""
        for member in membership.list_others():
            received = self.pledges.find_pong(member.node, membership.cell)
            if received is None or now - received.sent_at > self.settings.pledge_s:
                continue
            if received.pong.incarnation == member.incarnation and not received.pong.leaving:
                return True
        return False
