"""Whether this node may run, or evict, on a backend server."""

from math import inf

from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.component import EvictionGrant

__all__ = ["Rights"]


class Rights:
    """The rules of the design page, section 5, for the seats of one node.

    Parameters
    ----------
    settings : NodeSettings
    pledges : Pledges

    Notes
    -----
    Each mechanism is a method of its own, so that tests can take out one at a time and show that
    the schedules find the fault.
    """

    __slots__ = ("pledges", "settings")

    def __init__(self, settings, pledges):
        self.settings = settings
        self.pledges = pledges

    @property
    def usable_s(self):
        """Length of a pledge less the margin (s)."""
        return self.settings.pledge_s - self.settings.margin_s

    def check_run(self, seat, server, now):
        """Return None if a run may start on `server`, else the `Failure`."""
        if not seat.has_tag("runs"):
            return refuse(f"this node is no member of cell {seat.cell}")
        if now <= seat.quiet_until:
            return refuse("orders of a member that is gone may still be under way")
        stranger = seat.find_stranger(self.pledges, now)
        if stranger is not None:
            return refuse(f"{stranger} may not know yet that this node is a member")
        past = seat.settle(server, self.pledges, now)
        if past:
            return refuse(f"{past[0].node} owned {server} and may still evict there")
        owner = seat.record.owners.get(server)
        if owner == seat.node:
            return None
        return self.check_fallback(seat, owner, server, now)

    def check_fallback(self, seat, owner, server, now):
        """Return None if this node may run on `server` in place of its owner."""
        member = seat.record.find_member(owner)
        if member is None:
            return refuse(f"{server} has no owner")
        answers = self.pledges.last_contact(owner) > now - self.settings.pledge_s
        if answers and not self.pledges.is_replaced(member):
            return refuse(f"{owner} owns {server} and answers")
        if now <= self.pledges.given_until(owner):
            return refuse(f"this node pledged to {owner}, which owns {server}")
        return None

    def check_evict(self, seat, server, model, report, now):
        """Return an `EvictionGrant`, or the `Failure` that says why not.

        Parameters
        ----------
        seat : Seat
        server, model : str
        report : EngineReport or None
            The last good one of the backend server.
        now : float
        """
        if not seat.has_tag("evicts") or seat.record.owners.get(server) != seat.node:
            return refuse(f"this node does not own {server}")
        if seat.is_releasing(server):
            return refuse(f"orders to {server} from an earlier epoch are under way")
        failure = (
            self.check_run(seat, server, now)
            or self.check_members(seat, now)
            or self.check_foreign_runs(seat, server, model)
            or self.check_report(seat, server, model, report)
        )
        if failure is not None:
            return failure
        limit = min(self.find_pledge_end(seat), self.find_cover_end(seat))
        if limit == inf:
            limit = now + self.usable_s
        if now >= limit:
            return refuse("a pledge, or the proof that no other node joined the cell, expired")
        return EvictionGrant(seat.epoch, limit)

    def check_members(self, seat, now):
        """Return the `Failure` if a member has no pledge at the epoch of the record."""
        for member in seat.list_others():
            heard = self.pledges.heard_about(member.node, seat.cell)
            if heard is None or not self.is_pledge(seat, member, heard.pong):
                return refuse(f"{member.node} has not pledged at epoch {seat.epoch}")
        return None

    def is_pledge(self, seat, member, pong):
        """Return whether a pong is a pledge of `member` itself at the epoch of the record."""
        return pong.epoch == seat.epoch and pong.incarnation == member.incarnation

    def check_foreign_runs(self, seat, server, model):
        """Return the `Failure` if a member reported a run of `model` on `server`."""
        for member in seat.list_others():
            heard = self.pledges.heard_about(member.node, seat.cell)
            for item in heard.pong.foreign_runs if heard is not None else ():
                if item.server == server and item.model == model and item.count > 0:
                    return refuse(f"{member.node} still runs {model} on {server}")
        return None

    def check_report(self, seat, server, model, report):
        """Return the `Failure` if no report shows `model` idle since the last removal."""
        holding = seat.holdings[server]
        if report is not None and report.failure is None:
            since = seat.removal_seen_at + self.settings.margin_s
            if report.asked_at - self.settings.report_lag_s > since:
                holding.take_report(report, seat.removal_seen_at)
        if holding.proven_since != seat.removal_seen_at:
            return refuse("no engine report is later than the removal of a member")
        if model in holding.doubtful:
            return refuse(f"the engine reports runs of {model} since a member was removed")
        return None

    def find_pledge_end(self, seat):
        """Return the time (s) up to which the pledges of all other members can be used."""
        ends = [inf]
        for member in seat.list_others():
            heard = self.pledges.heard_about(member.node, seat.cell)
            ends.append(heard.sent_at + self.usable_s if heard is not None else -inf)
        return min(ends)

    def find_cover_end(self, seat):
        """Return the time (s) up to which surely no node outside has joined the cell."""
        ends = [seat.cover.get(peer, -inf) for peer in self.list_outside(seat)]
        return min(ends, default=inf)

    def list_outside(self, seat):
        """Return the configured peers that are no members and might join the cell unnoticed.

        Notes
        -----
        A peer whose own cell is another one joins only once all members are gone. Waiting for such
        peers stopped all evictions in a failure domain that was cut off.
        """
        members = {member.node for member in seat.list_others()}
        homes = self.pledges.homes
        peers = [peer for peer in self.settings.peers if peer not in members]
        return [peer for peer in peers if homes.get(peer, seat.cell) == seat.cell]


def refuse(reason):
    """Return the `Failure` of a right that this node does not have."""
    return Failure(ErrorKind.NOT_OWNER, reason)
