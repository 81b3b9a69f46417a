"""State of a node's membership in one cell and of the ownership of its backend servers."""

from math import inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.record import Record
from medlarbeam.node.pledges import DRIFT_ALLOWANCE

__all__ = ["CellMembership", "PreviousOwner", "ServerOwnership"]


class PreviousOwner(Record):
    """A previous owner of a backend server that may still evict there.

    Parameters
    ----------
    node : str
    incarnation : int
        0 if the record did not name the node as a member.
    epoch : int
        The owner can no longer evict once it pledges at this epoch or a later one.
    expires_at : float
        Time (s) after which it cannot evict in any case.
    """

    __slots__ = ("epoch", "expires_at", "incarnation", "node")

    def __init__(self, node, incarnation, epoch, expires_at):
        self.node = node
        self.incarnation = incarnation
        self.epoch = epoch
        self.expires_at = expires_at


class ServerOwnership:
    """Ownership of one backend server, the subject of the chart `ownership`.

    Notes
    -----
    `possibly_running` has the models that every report since the member removal at
    `checked_removal_at` (s) showed running: runs of the removed member may be among them.
    """

    __slots__ = ("checked_removal_at", "possibly_running", "previous_owners", "server", "state")

    def __init__(self, server):
        self.server = server
        self.state = OWNERSHIP.initial
        self.previous_owners = []
        self.possibly_running = frozenset()
        self.checked_removal_at = None

    def apply_report(self, report, removal_seen_at):
        """Apply an `EngineReport` whose state is later than the removal at `removal_seen_at`."""
        running = frozenset(item.model for item in report.running if item.count > 0)
        first = self.checked_removal_at != removal_seen_at
        self.possibly_running = running if first else self.possibly_running & running
        self.checked_removal_at = removal_seen_at


class CellMembership:
    """Membership of this node in one cell, the subject of the chart `membership`.

    Parameters
    ----------
    cell : str
    node : str
    incarnation : int
    home : bool
        Whether this is the node's own cell rather than one that it took over.

    Notes
    -----
    `unaware_members` maps members that may have a record from before this node joined, and so may
    evict without its pledge, to their incarnations. `join_guards` has, for each peer that is not a
    member, the time (s) until which it cannot have joined this cell.
    """

    __slots__ = (
        "cell",
        "confirm_requested",
        "epoch_before_loss",
        "home",
        "incarnation",
        "join_epoch",
        "join_guards",
        "joined_at",
        "node",
        "ownerships",
        "record",
        "removal_seen_at",
        "runs_blocked_until",
        "state",
        "unaware_members",
    )

    def __init__(self, cell, node, incarnation, home=True):
        self.cell = cell
        self.node = node
        self.incarnation = incarnation
        self.home = home
        self.state = MEMBERSHIP.initial
        self.record = None
        self.ownerships = {}
        self.unaware_members = {}
        self.join_guards = {}
        self.join_epoch = 0
        self.joined_at = -inf
        self.runs_blocked_until = -inf
        self.removal_seen_at = -inf
        self.epoch_before_loss = 0
        self.confirm_requested = False

    def has_tag(self, tag):
        """Return whether the state in the chart `membership` carries `tag`."""
        return MEMBERSHIP.has_tag(self, tag)

    @property
    def epoch(self):
        """Epoch of the adopted record, 0 without a record."""
        return self.record.epoch if self.record is not None else 0

    def list_others(self):
        """Return the other members of the record."""
        members = self.record.members if self.record is not None else []
        return [member for member in members if member.node != self.node]

    def list_releasing(self):
        """Return the names of the backend servers with unload orders that may be in flight."""
        candidates = self.ownerships.values()
        return [o.server for o in candidates if OWNERSHIP.has_tag(o, "releasing")]

    def is_releasing(self, server):
        """Return whether unload orders to `server` from an earlier record may be in flight."""
        ownership = self.ownerships.get(server)
        return ownership is not None and OWNERSHIP.has_tag(ownership, "releasing")

    # Guards and actions of the chart `membership`

    def has_sent_write(self, _membership, store):
        """Return whether a write that joins the cell was ever sent."""
        return store.write_sent

    def start_membership(self, _membership, record, now, margin_s):
        """Initialize the state of a member; all others count as unaware of this node at first."""
        self.join_epoch = record.epoch
        self.joined_at = now
        self.runs_blocked_until = now + margin_s
        self.removal_seen_at = now
        self.unaware_members = {
            m.node: m.incarnation for m in record.members if m.node != self.node
        }

    def end_membership(self, _membership, *_):
        """Clear the state that applies only to a member."""
        self.unaware_members = {}
        self.join_guards = {}

    # Records

    def adopt(self, record, pledges, now, margin_s, store):
        """Adopt a record with a higher epoch.

        Parameters
        ----------
        record : CellRecord
        pledges : Pledges
        now, margin_s : float
        store : CellStore
        """
        before = self.record
        self.record = record
        me = record.find_member(self.node)
        if me is not None and me.incarnation > self.incarnation:
            MEMBERSHIP.fire(self, "superseded", self)
        elif me is not None and me.incarnation == self.incarnation:
            MEMBERSHIP.fire(self, "listed", self, record, now, margin_s)
        else:
            MEMBERSHIP.fire(self, "unlisted", self, store)
        if before is not None and record.removed_at_epoch > before.removed_at_epoch:
            self.removal_seen_at = now
        self._prune_unaware_members(record, now, margin_s)
        self._update_ownerships(before, record, pledges, now, margin_s)

    def _prune_unaware_members(self, record, now, margin_s):
        """Remove the unaware members that the record no longer has.

        Their last orders arrive within the margin, so no run starts until it is over.
        """
        for node, incarnation in list(self.unaware_members.items()):
            member = record.find_member(node)
            if member is None or member.incarnation != incarnation:
                del self.unaware_members[node]
                self.runs_blocked_until = max(self.runs_blocked_until, now + margin_s)

    def _update_ownerships(self, before, record, pledges, now, margin_s):
        me = record.find_member(self.node)
        owns = me is not None and me.incarnation == self.incarnation
        joined = before is not None and _has_new_member(before, record)
        names = set(self.ownerships) | set(record.owners) | {s.name for s in record.servers}
        for name in names:
            ownership = self.ownerships.setdefault(name, ServerOwnership(name))
            self._add_previous_owner(ownership, before, record, pledges, now, margin_s)
            if owns and record.owners.get(name) == self.node:
                event = "gained"
            elif record.find_server(name) is not None or ownership.previous_owners:
                event = "lost"  # a name may return while a previous owner still holds pledges
            else:
                event = "server_removed"
            OWNERSHIP.fire(ownership, event)
            if joined:
                OWNERSHIP.fire(ownership, "member_joined")
            if OWNERSHIP.has_tag(ownership, "finished"):
                del self.ownerships[name]

    def _add_previous_owner(self, ownership, before, record, pledges, now, margin_s):
        """Keep the owner of the earlier record as a previous owner if it changed or restarted."""
        owner = before.owners.get(ownership.server) if before is not None else None
        if owner is None or owner == self.node:
            return
        old = before.find_member(owner)
        new = record.find_member(owner)
        incarnation = old.incarnation if old is not None else 0
        stays = old is not None and new is not None and new.incarnation == incarnation
        if stays and record.owners.get(ownership.server) == owner:
            return
        expires_at = max(now, pledges.pledged_until(owner))
        if stays:
            epoch = record.epoch
        else:
            # A pledge of a new incarnation does not cover orders that the old one sent.
            epoch = inf
            expires_at = min(expires_at, now + margin_s)
        ownership.previous_owners.append(PreviousOwner(owner, incarnation, epoch, expires_at))

    def prune_previous_owners(self, server, pledges, now):
        """Drop the previous owners of `server` that can no longer evict; return those left."""
        ownership = self.ownerships.get(server)
        if ownership is None:
            return []
        ownership.previous_owners = [
            p for p in ownership.previous_owners if not self._cannot_evict(p, pledges, now)
        ]
        if not ownership.previous_owners:
            OWNERSHIP.fire(ownership, "settled")
        return ownership.previous_owners

    def _cannot_evict(self, previous_owner, pledges, now):
        if now > previous_owner.expires_at:
            return True
        received = pledges.find_pong(previous_owner.node, self.cell)
        return (
            received is not None
            and received.pong.incarnation == previous_owner.incarnation
            and received.pong.epoch >= previous_owner.epoch
        )

    def finish_orders(self, runs):
        """Release the backend servers whose unload orders all have results."""
        for name in self.list_releasing():
            if not runs.orders_in_flight([name]):
                OWNERSHIP.fire(self.ownerships[name], "orders_done")

    # Pongs and confirmations

    def apply_pong(self, peer, pong, sent_at, limit_s):
        """Apply a pong to the unaware members and the join guards.

        Parameters
        ----------
        peer : str
        pong : Pong
        sent_at : float
            Time (s) at which the ping was sent.
        limit_s : float
            Length of a pledge minus the margin.
        """
        if pong.cell == self.cell and pong.epoch >= self.join_epoch > 0:
            if self.unaware_members.get(peer) == pong.incarnation:
                del self.unaware_members[peer]
        if pong.cell == self.cell and not 0 < pong.epoch <= self.epoch:
            return  # the peer may be a member under a record that this node does not have
        guarded_until = self.join_guards.get(peer, -inf)
        if sent_at <= guarded_until:
            self.join_guards[peer] = max(guarded_until, sent_at + limit_s)

    def extend_join_guards(self, peers, sent_at, limit_s):
        """Extend the join guards after a read sent at `sent_at` (s) returned the adopted record."""
        self.confirm_requested = False
        for peer in peers:
            self.join_guards[peer] = max(self.join_guards.get(peer, -inf), sent_at + limit_s)

    def find_unaware_member(self, pledges, now):
        """Return a member that may evict without this node's pledge, or None.

        Notes
        -----
        An unaware member that pings this node has it among its configured peers. It stops evicting
        when this node responds to none of its pings and the platform does not confirm its record.
        """
        joined = now > self.joined_at + pledges.pledge_s * DRIFT_ALLOWANCE
        for node, incarnation in self.unaware_members.items():
            known = joined and pledges.pinged_by_incarnation.get(node) == incarnation
            if not known or now <= pledges.pledged_until(node):
                return node
        return None


def _has_new_member(before, record):
    """Return whether `record` has a member, or a restarted one, that `before` lacks."""
    old = {(m.node, m.incarnation) for m in before.members}
    return any((m.node, m.incarnation) not in old for m in record.members)


MEMBERSHIP = load_chart("membership", CellMembership)
OWNERSHIP = load_chart("ownership")
