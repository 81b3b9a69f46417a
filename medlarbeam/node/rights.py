"""Checks whether this node may start runs or evict adapters on a backend server."""

from math import inf

from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.component import EvictionGrant

__all__ = ["Rights"]


class Rights:
    """The rules of section 5 of the design page, for the cell memberships of one node.

    Parameters
    ----------
    settings : NodeSettings
    pledges : Pledges

    Notes
    -----
    Each mechanism is a separate method, so that tests can disable one at a time and show that the
    schedules detect the fault.
    """

    __slots__ = ("pledges", "settings")

    def __init__(self, settings, pledges):
        self.settings = settings
        self.pledges = pledges

    @property
    def usable_pledge_s(self):
        """Length of a pledge minus the margin (s)."""
        return self.settings.pledge_s - self.settings.margin_s

    def check_run(self, membership, server, now):
        """Return None if a run may start on `server`, else a `Failure` with the reason."""
        if not membership.has_tag("may_run"):
            return make_refusal(f"this node is not a member of cell {membership.cell}")
        if now <= membership.runs_blocked_until:
            return make_refusal("unload orders of a removed member may still be in flight")
        unaware = membership.find_unaware_member(self.pledges, now)
        if unaware is not None:
            return make_refusal(f"member {unaware} may not know yet that this node joined")
        previous_owners = membership.prune_previous_owners(server, self.pledges, now)
        if previous_owners:
            return make_refusal(
                f"{previous_owners[0].node} previously owned {server} and may still evict there"
            )
        owner = membership.record.owners.get(server)
        if owner == membership.node:
            return None
        return self.check_fallback(membership, owner, server, now)

    def check_fallback(self, membership, owner, server, now):
        """Return None if this node may run on `server` in place of its owner."""
        member = membership.record.find_member(owner)
        if member is None:
            return make_refusal(f"{server} has no owner")
        responds = self.pledges.last_contact(owner) > now - self.settings.pledge_s
        if responds and not self.pledges.is_replaced(member):
            return make_refusal(f"{owner} owns {server} and responds to pings")
        if now <= self.pledges.pledged_until(owner):
            return make_refusal(f"the pledge to {owner}, which owns {server}, has not expired")
        return None

    def check_evict(self, membership, server, model, report, now):
        """Return an `EvictionGrant`, or a `Failure` with the reason for the refusal.

        Parameters
        ----------
        membership : CellMembership
        server, model : str
        report : EngineReport or None
            The last report of the backend server without a failure.
        now : float
        """
        if (
            not membership.has_tag("may_evict")
            or membership.record.owners.get(server) != membership.node
        ):
            return make_refusal(f"this node does not own {server}")
        if membership.is_releasing(server):
            return make_refusal(f"unload orders to {server} from an earlier epoch are in flight")
        failure = (
            self.check_run(membership, server, now)
            or self.check_members(membership, now)
            or self.check_foreign_runs(membership, server, model)
            or self.check_report(membership, server, model, report)
        )
        if failure is not None:
            return failure
        limit = min(self.find_pledge_end(membership), self.find_join_guard_end(membership))
        if limit == inf:
            limit = now + self.usable_pledge_s
        if now >= limit:
            return make_refusal(
                "a pledge, or the guard against unnoticed joins of the cell, has expired"
            )
        return EvictionGrant(membership.epoch, limit)

    def check_members(self, membership, now):
        """Return a `Failure` if a member has not pledged at the epoch of the record."""
        for member in membership.list_others():
            received = self.pledges.find_pong(member.node, membership.cell)
            if received is None or not self.is_current_pledge(membership, member, received.pong):
                return make_refusal(f"{member.node} has not pledged at epoch {membership.epoch}")
        return None

    def is_current_pledge(self, membership, member, pong):
        """Return whether `pong` is a pledge of this process of `member` at the current epoch."""
        return pong.epoch == membership.epoch and pong.incarnation == member.incarnation

    def check_foreign_runs(self, membership, server, model):
        """Return a `Failure` if a member reported a run of `model` on `server`."""
        for member in membership.list_others():
            received = self.pledges.find_pong(member.node, membership.cell)
            for item in received.pong.foreign_runs if received is not None else ():
                if item.server == server and item.model == model and item.count > 0:
                    return make_refusal(f"{member.node} still runs {model} on {server}")
        return None

    def check_report(self, membership, server, model, report):
        """Return a `Failure` if no report since the last removal shows `model` idle."""
        ownership = membership.ownerships[server]
        if report is not None and report.failure is None:
            since = membership.removal_seen_at + self.settings.margin_s
            if report.requested_at - self.settings.report_lag_s > since:
                ownership.apply_report(report, membership.removal_seen_at)
        if ownership.checked_removal_at != membership.removal_seen_at:
            return make_refusal("no engine report is later than the last removal of a member")
        if model in ownership.possibly_running:
            return make_refusal(
                f"all engine reports since the last removal of a member show runs of {model}"
            )
        return None

    def find_pledge_end(self, membership):
        """Return the time (s) until which the pledges of all other members are usable."""
        ends = [inf]
        for member in membership.list_others():
            received = self.pledges.find_pong(member.node, membership.cell)
            ends.append(received.sent_at + self.usable_pledge_s if received is not None else -inf)
        return min(ends)

    def find_join_guard_end(self, membership):
        """Return the time (s) until which no peer outside the cell can have joined it."""
        ends = [
            membership.join_guards.get(peer, -inf)
            for peer in self.list_possible_joiners(membership)
        ]
        return min(ends, default=inf)

    def list_possible_joiners(self, membership):
        """Return the configured peers that are not members and might join the cell unnoticed.

        Notes
        -----
        A peer with a different home cell joins only once all members are gone. Requiring guards for
        such peers stopped all evictions in a partitioned failure domain.
        """
        members = {member.node for member in membership.list_others()}
        home_cells = self.pledges.home_cells
        peers = [peer for peer in self.settings.peers if peer not in members]
        return [peer for peer in peers if home_cells.get(peer, membership.cell) == membership.cell]


def make_refusal(reason):
    """Return the `Failure` of a run or eviction that this node may not start."""
    return Failure(ErrorKind.NOT_OWNER, reason)
