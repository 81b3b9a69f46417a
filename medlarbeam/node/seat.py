"""What a node knows and may do as a member of one cell."""

from math import inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.record import Record
from medlarbeam.node.pledges import DRIFT_ALLOWANCE

__all__ = ["Holding", "PastOwner", "Seat"]


class PastOwner(Record):
    """An earlier owner of a backend server that may still evict there.

    Parameters
    ----------
    node : str
    incarnation : int
        0 if the record did not name the node as a member.
    epoch : int
        The owner has given way once it pledges at this epoch or a later one.
    free_at : float
        Time (s) after which it cannot evict in any case.
    """

    __slots__ = ("epoch", "free_at", "incarnation", "node")

    def __init__(self, node, incarnation, epoch, free_at):
        self.node = node
        self.incarnation = incarnation
        self.epoch = epoch
        self.free_at = free_at


class Holding:
    """A backend server in the chart `ownership`, with its earlier owners.

    Notes
    -----
    `doubtful` has the models that every report since the removal at `proven_since` (s) showed
    running: runs of a removed member among them may go on.
    """

    __slots__ = ("doubtful", "past", "proven_since", "server", "state")

    def __init__(self, server):
        self.server = server
        self.state = OWNERSHIP.initial
        self.past = []
        self.doubtful = frozenset()
        self.proven_since = None

    def take_report(self, report, removal_seen_at):
        """Take an `EngineReport` whose state is later than the removal."""
        running = frozenset(item.model for item in report.running if item.count > 0)
        first = self.proven_since != removal_seen_at
        self.doubtful = running if first else self.doubtful & running
        self.proven_since = removal_seen_at


class Seat:
    """State of this node in one cell, the subject of the chart `membership`.

    Parameters
    ----------
    cell : str
    node : str
    incarnation : int
    home : bool
        Whether it is the node's own cell and not one that it took over.

    Notes
    -----
    `strangers` are members that may have a record from before this node joined, and so may evict
    without its pledge. `cover` is, for each peer that is no member, the time (s) up to which it
    surely has not taken this cell over.
    """

    __slots__ = (
        "cell",
        "confirm_wanted",
        "cover",
        "held_back_epoch",
        "holdings",
        "home",
        "incarnation",
        "join_epoch",
        "joined_at",
        "node",
        "quiet_until",
        "record",
        "removal_seen_at",
        "state",
        "strangers",
    )

    def __init__(self, cell, node, incarnation, home=True):
        self.cell = cell
        self.node = node
        self.incarnation = incarnation
        self.home = home
        self.state = MEMBERSHIP.initial
        self.record = None
        self.holdings = {}
        self.strangers = {}
        self.cover = {}
        self.join_epoch = 0
        self.joined_at = -inf
        self.quiet_until = -inf
        self.removal_seen_at = -inf
        self.held_back_epoch = 0
        self.confirm_wanted = False

    def has_tag(self, tag):
        """Return whether the state in the chart `membership` carries `tag`."""
        return MEMBERSHIP.has_tag(self, tag)

    @property
    def epoch(self):
        """Epoch of the adopted record, 0 for none."""
        return self.record.epoch if self.record is not None else 0

    def list_others(self):
        """Return the other members of the record."""
        members = self.record.members if self.record is not None else []
        return [member for member in members if member.node != self.node]

    def list_releasing(self):
        """Return the names of the backend servers with unload orders that may be under way."""
        held = self.holdings.values()
        return [h.server for h in held if OWNERSHIP.has_tag(h, "releasing")]

    def is_releasing(self, server):
        """Return whether orders to `server` from an earlier record may be under way."""
        holding = self.holdings.get(server)
        return holding is not None and OWNERSHIP.has_tag(holding, "releasing")

    # Actions of the chart `membership`

    def may_have_joined(self, _seat, store):
        """Return whether a write that joins the cell was ever sent."""
        return store.wrote

    def start_membership(self, _seat, record, now, margin_s):
        """Begin as a member: nobody is known to need this node's pledge yet."""
        self.join_epoch = record.epoch
        self.joined_at = now
        self.quiet_until = now + margin_s
        self.removal_seen_at = now
        self.strangers = {m.node: m.incarnation for m in record.members if m.node != self.node}

    def end_membership(self, _seat, *_):
        """Forget what counts for a member only."""
        self.strangers = {}
        self.cover = {}

    # Records

    def adopt(self, record, pledges, now, margin_s, store):
        """Take a record with a higher epoch.

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
        self._drop_strangers(record, now, margin_s)
        self._move_holdings(before, record, pledges, now, margin_s)

    def _drop_strangers(self, record, now, margin_s):
        """Forget strangers that are gone; their last orders arrive within the margin."""
        for node, incarnation in list(self.strangers.items()):
            member = record.find_member(node)
            if member is None or member.incarnation != incarnation:
                del self.strangers[node]
                self.quiet_until = max(self.quiet_until, now + margin_s)

    def _move_holdings(self, before, record, pledges, now, margin_s):
        me = record.find_member(self.node)
        owns = me is not None and me.incarnation == self.incarnation
        joined = before is not None and _has_new_member(before, record)
        names = set(self.holdings) | set(record.owners) | {s.name for s in record.servers}
        for name in names:
            holding = self.holdings.setdefault(name, Holding(name))
            self._note_past_owner(holding, before, record, pledges, now, margin_s)
            if owns and record.owners.get(name) == self.node:
                event = "gained"
            elif record.find_server(name) is not None or holding.past:
                event = "lost"  # a name may return while an earlier owner still holds pledges
            else:
                event = "dropped"
            OWNERSHIP.fire(holding, event)
            if joined:
                OWNERSHIP.fire(holding, "joined")
            if OWNERSHIP.has_tag(holding, "over"):
                del self.holdings[name]

    def _note_past_owner(self, holding, before, record, pledges, now, margin_s):
        """Remember the owner of the earlier record if it changed or restarted."""
        owner = before.owners.get(holding.server) if before is not None else None
        if owner is None or owner == self.node:
            return
        old = before.find_member(owner)
        new = record.find_member(owner)
        incarnation = old.incarnation if old is not None else 0
        stays = old is not None and new is not None and new.incarnation == incarnation
        if stays and record.owners.get(holding.server) == owner:
            return
        free_at = max(now, pledges.given_until(owner))
        if stays:
            epoch = record.epoch
        else:
            # A new incarnation's pledge says nothing about orders that the old one sent.
            epoch = inf
            free_at = min(free_at, now + margin_s)
        holding.past.append(PastOwner(owner, incarnation, epoch, free_at))

    def settle(self, server, pledges, now):
        """Drop the earlier owners of `server` that can no longer evict; return those left."""
        holding = self.holdings.get(server)
        if holding is None:
            return []
        holding.past = [p for p in holding.past if not self._has_given_way(p, pledges, now)]
        if not holding.past:
            OWNERSHIP.fire(holding, "settled")
        return holding.past

    def _has_given_way(self, past, pledges, now):
        if now > past.free_at:
            return True
        heard = pledges.heard_about(past.node, self.cell)
        return (
            heard is not None
            and heard.pong.incarnation == past.incarnation
            and heard.pong.epoch >= past.epoch
        )

    def finish_orders(self, runs):
        """Let go of backend servers whose unload orders all have results."""
        for name in self.list_releasing():
            if not runs.orders_in_flight([name]):
                OWNERSHIP.fire(self.holdings[name], "orders_done")

    # Contact

    def take_pong(self, peer, pong, sent_at, limit_s):
        """Take note of a pong that counts for this cell.

        Parameters
        ----------
        peer : str
        pong : Pong
        sent_at : float
            Time (s) at which the ping was sent.
        limit_s : float
            Length of a pledge less the margin.
        """
        if pong.cell == self.cell and pong.epoch >= self.join_epoch > 0:
            if self.strangers.get(peer) == pong.incarnation:
                del self.strangers[peer]
        if pong.cell == self.cell and not 0 < pong.epoch <= self.epoch:
            return  # the peer may be a member under a record that this node does not know
        covered = self.cover.get(peer, -inf)
        if sent_at <= covered:
            self.cover[peer] = max(covered, sent_at + limit_s)

    def confirm(self, peers, sent_at, limit_s):
        """Note that a read sent at `sent_at` found the adopted record to be the latest."""
        self.confirm_wanted = False
        for peer in peers:
            self.cover[peer] = max(self.cover.get(peer, -inf), sent_at + limit_s)

    def find_stranger(self, pledges, now):
        """Return a member that may evict without regard to this node, or None.

        Notes
        -----
        A stranger that pings this node counts it among its configured peers. It stops evicting
        when this node answers none of its pings and the platform does not confirm its record.
        """
        joined = now > self.joined_at + pledges.pledge_s * DRIFT_ALLOWANCE
        for node, incarnation in self.strangers.items():
            known = joined and pledges.pinged_by.get(node) == incarnation
            if not known or now <= pledges.given_until(node):
                return node
        return None


def _has_new_member(before, record):
    """Return whether `record` has a member, or a restarted one, that `before` lacks."""
    old = {(m.node, m.incarnation) for m in before.members}
    return any((m.node, m.incarnation) not in old for m in record.members)


MEMBERSHIP = load_chart("membership", Seat)
OWNERSHIP = load_chart("ownership")
