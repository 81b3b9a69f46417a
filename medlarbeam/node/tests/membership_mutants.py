"""Versions of `Membership` without one mechanism each, which cases or schedules must detect."""

from math import inf

from medlarbeam.node.cell_membership import CellMembership
from medlarbeam.node.membership import Membership
from medlarbeam.node.pledges import Pledges
from medlarbeam.node.rights import Rights


def with_rights_methods(**methods):
    """Return a `Membership` class whose `Rights` have some methods replaced."""
    rights = type("MutantRights", (Rights,), {"__slots__": (), **methods})
    return type("Mutant", (Membership,), {"__slots__": (), "rights_class": rights})


def with_pledges_methods(**methods):
    pledges = type("MutantPledges", (Pledges,), {"__slots__": (), **methods})
    return type("Mutant", (Membership,), {"__slots__": (), "pledges_class": pledges})


def with_cell_membership_methods(**methods):
    membership = type("MutantCellMembership", (CellMembership,), {"__slots__": (), **methods})
    return type("Mutant", (Membership,), {"__slots__": (), "cell_membership_class": membership})


def with_membership_methods(**methods):
    return type("Mutant", (Membership,), {"__slots__": (), **methods})


def find_latest_pledge_end(self, membership):
    """Return the end of the longest pledge, so that one valid pledge is enough."""
    received = [self.pledges.find_pong(m.node, membership.cell) for m in membership.list_others()]
    return max([r.sent_at + self.usable_pledge_s for r in received if r is not None], default=inf)


def date_by_last_ping(self, peer, pong):
    sent_at = Pledges.store_pong(self, peer, pong)
    if sent_at is None:
        return None
    sent_at = max(self.ping_times[peer].values())
    self.received[peer, pong.cell].sent_at = sent_at
    return sent_at


def accept_older_pong(self, peer, pong):
    self.received.pop((peer, pong.cell), None)
    return Pledges.store_pong(self, peer, pong)


def extend_guard_across_gaps(self, peer, pong, sent_at, limit_s):
    CellMembership.apply_pong(self, peer, pong, sent_at, limit_s)
    if pong.cell != self.cell:
        self.join_guards[peer] = max(self.join_guards.get(peer, -inf), sent_at + limit_s)


def extend_guard_by_any_pong(self, peer, pong, sent_at, limit_s):
    CellMembership.apply_pong(self, peer, pong, sent_at, limit_s)
    if sent_at <= self.join_guards.get(peer, -inf):
        self.join_guards[peer] = max(self.join_guards[peer], sent_at + limit_s)


def ignore_new_members(self, before, record, pledges, now, margin_s):
    """Update the ownerships without waiting for orders in flight when a member joins."""
    CellMembership._update_ownerships(self, record, record, pledges, now, margin_s)
    for name in self.ownerships:
        self._add_previous_owner(self.ownerships[name], before, record, pledges, now, margin_s)


MUTANTS = {
    "pledge-expiry": with_rights_methods(find_pledge_end=lambda self, membership: inf),
    "unanimity": with_rights_methods(
        check_members=lambda self, membership, now: None, find_pledge_end=find_latest_pledge_end
    ),
    "pledge-epoch": with_rights_methods(
        is_current_pledge=lambda s, membership, m, p: p.incarnation == m.incarnation
    ),
    "pledge-incarnation": with_rights_methods(
        is_current_pledge=lambda s, membership, m, p: p.epoch == membership.epoch
    ),
    "margin": with_rights_methods(usable_pledge_s=property(lambda self: self.settings.pledge_s)),
    "foreign-runs": with_rights_methods(
        check_foreign_runs=lambda self, membership, server, model: None
    ),
    "report-after-removal": with_rights_methods(check_report=lambda *args: None),
    "report-lag": with_rights_methods(
        check_report=lambda self, membership, server, model, report: (
            None
            if report is not None and all(i.model != model for i in report.running)
            else Rights.check_report(self, membership, server, model, report)
        )
    ),
    "join-guard": with_rights_methods(find_join_guard_end=lambda self, membership: inf),
    "join-guard-gaps": with_cell_membership_methods(apply_pong=extend_guard_across_gaps),
    "join-guard-by-member": with_cell_membership_methods(apply_pong=extend_guard_by_any_pong),
    "orders-in-flight": with_membership_methods(
        _choose_epoch=lambda self, membership, ping: membership.epoch
    ),
    "pledge-during-orders": with_membership_methods(
        _choose_epoch=lambda self, membership, ping: (
            membership.epoch_before_loss if membership.list_releasing() else membership.epoch
        )
    ),
    "orders-before-join": with_cell_membership_methods(_update_ownerships=ignore_new_members),
    "pledge-given": with_pledges_methods(pledged_until=lambda self, peer: -inf),
    "previous-owner": with_cell_membership_methods(
        prune_previous_owners=lambda self, server, pledges, now: []
    ),
    "unaware-members": with_cell_membership_methods(find_unaware_member=lambda *args: None),
    "margin-after-removal": with_cell_membership_methods(
        runs_blocked_until=property(lambda self: -inf, lambda self, value: None)
    ),
    "pong-dated-by-arrival": with_pledges_methods(store_pong=date_by_last_ping),
    "older-pong-replaces-newer": with_pledges_methods(store_pong=accept_older_pong),
}
