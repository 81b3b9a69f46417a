"""Which change of a cell record this node wants to write, if any."""

from math import inf

from medlarbeam.algorithms.assignment import rank_nodes
from medlarbeam.node.cell_changes import drop_member, join_member, set_members

__all__ = ["CellPlanner"]

# Silence, in pledges, after which a member loses its backend servers. Two leave room for one
# reconnection of the peer link.
_SILENT_PLEDGES = 2.0
# A member that the others set aside reclaims the cell only when it hears none of them for longer,
# so that two members that both reach the platform do not take turns.
_RECLAIM_PLEDGES = 6.0
_TAKEOVER_PLEDGES = 4.0


class CellPlanner:
    """Decides on joins, hand-overs, removals and takeovers for one node.

    Parameters
    ----------
    settings : NodeSettings
    pledges : Pledges
    vms : VmWatch
    started_at : float or None
        Time (s) of the first decision; silence is counted from here at the earliest.
    """

    __slots__ = ("pledges", "settings", "started_at", "vms")

    def __init__(self, settings, pledges, vms):
        self.settings = settings
        self.pledges = pledges
        self.vms = vms
        self.started_at = None

    def note_start(self, now):
        """Note the time (s) of the first decision."""
        if self.started_at is None:
            self.started_at = now

    def is_silent(self, node, pledges, since, now):
        """Return whether `node` answered no ping for a number of pledges, counted from `since`."""
        last = max(self.pledges.last_contact(node), since)
        return now - last > pledges * self.settings.pledge_s

    def is_leaving(self, node, cell):
        """Return whether the last pong of `node` about `cell` says that it takes no new work."""
        heard = self.pledges.heard_about(node, cell)
        return heard is not None and heard.pong.leaving

    def plan(self, seat, change_id, now):
        """Return the `CellRecord` that this node wants to write for `seat`, or None."""
        if seat.has_tag("joins"):
            return self._plan_join(seat, change_id)
        if not seat.has_tag("listed"):
            return self._plan_departure(seat, change_id)
        if seat.has_tag("leaves"):
            return self._plan_hand_over(seat, change_id, now)
        return self._plan_upkeep(seat, change_id, now)

    def _plan_join(self, seat, change_id):
        gone = [m.node for m in seat.list_others() if self.is_gone(m)]
        servers = self._list_servers(seat)
        return join_member(
            seat.record, seat.cell, seat.node, seat.incarnation, servers, gone, change_id
        )

    def _plan_departure(self, seat, change_id):
        record = seat.record
        me = record.find_member(seat.node) if record is not None else None
        if me is None or me.incarnation != seat.incarnation or seat.has_tag("over"):
            return None
        return drop_member(record, seat.node, change_id)

    def _plan_hand_over(self, seat, change_id, now):
        """Give the backend servers to reachable members; without any, keep them to the end."""
        heirs = [m for m in self._list_up(seat) if self._answers(m, now)]
        if not heirs:
            return None
        return set_members(seat.record, {seat.node: False}, [], seat.record.servers, change_id)

    def _plan_upkeep(self, seat, change_id, now):
        """Return the record with what this node may change: itself, or all as the leader."""
        reachable = {}
        me = seat.record.find_member(seat.node)
        if not me.reachable and self._may_come_up(seat, now):
            reachable[seat.node] = True
        gone, servers = [], seat.record.servers
        if self._is_leader(seat, me, now):
            for member in seat.list_others() if me.reachable or reachable else ():
                if self.is_leaving(member.node, seat.cell) or self._is_lost(member, now):
                    reachable[member.node] = False
            gone = [m.node for m in seat.list_others() if self.is_gone(m)]
            servers = self._list_servers(seat)
        return set_members(seat.record, reachable, gone, servers, change_id)

    def is_gone(self, member):
        """Return whether the process of a `Member` surely ended."""
        if self.pledges.is_replaced(member):
            return True
        # A VM that answers exists, whatever the list says.
        heard_at = self.pledges.last_contact(member.node)
        return self.vms.is_gone(member.node) and heard_at < self.vms.read_at - (
            self.settings.pledge_s
        )

    def _list_up(self, seat):
        """Return the other members that may own backend servers."""
        up = [m for m in seat.list_others() if m.reachable and not self.is_gone(m)]
        return [m for m in up if not self.is_leaving(m.node, seat.cell)]

    def _answers(self, member, now):
        return not self.is_silent(member.node, 1.0, -inf, now)

    def _is_lost(self, member, now):
        return self.is_silent(member.node, _SILENT_PLEDGES, self.started_at, now)

    def _may_come_up(self, seat, now):
        """Return whether this node may own backend servers, as far as the others are concerned.

        Notes
        -----
        Only the member itself marks itself reachable, and only if it hears all that are, so that
        members which do not hear each other do not take turns.
        """
        if seat.find_stranger(self.pledges, now) is not None:
            return False
        if all(self._answers(member, now) for member in self._list_up(seat)):
            return True
        limit = _RECLAIM_PLEDGES if seat.home else _SILENT_PLEDGES
        return all(
            self.is_gone(member) or self.is_silent(member.node, limit, self.started_at, now)
            for member in seat.list_others()
        )

    def _is_leader(self, seat, me, now):
        """Return whether no member that goes before this one answers: first those that own."""
        return not any(
            (not me.reachable or member.node < seat.node) and not self._is_lost(member, now)
            for member in self._list_up(seat)
        )

    def _list_servers(self, seat):
        """Return the backend servers of the cell, of its own failure domain only."""
        listed = {server.name: server for server in self.vms.list_servers(seat.cell)}
        for server in seat.record.servers if seat.record is not None else ():
            if not self.vms.is_gone(server.name):
                listed.setdefault(server.name, server)
        servers = list(listed.values())
        if seat.home:
            domain = self.settings.failure_domain
            servers = [s for s in servers if s.failure_domain == domain]
        return servers

    def wants_takeover(self, record, peers, now):
        """Return whether this node should take over the cell of another failure domain.

        Parameters
        ----------
        record : CellRecord
            Record of the cell, of which this node is no member.
        peers : list of str
            Peers that answer. The best ranked of them and this node goes first, the next one
            follows if the first does not, for example because it does not reach the platform.
        now : float
        """
        ranked = rank_nodes(record.cell, [*peers, self.settings.name])
        limit = _TAKEOVER_PLEDGES * (1 + ranked.index(self.settings.name))
        if not record.servers or now - self.started_at <= limit * self.settings.pledge_s:
            return False
        # A member that is only silent may be cut off and go on evicting, so the VM list decides.
        return all(
            self.is_gone(m) and self.is_silent(m.node, limit, self.started_at, now)
            for m in record.members
        )

    def wants_return(self, seat, now):
        """Return whether another member can take back a cell that this node took over."""
        for member in seat.list_others():
            heard = self.pledges.heard_about(member.node, seat.cell)
            if heard is None or now - heard.sent_at > self.settings.pledge_s:
                continue
            if heard.pong.incarnation == member.incarnation and not heard.pong.leaving:
                return True
        return False
