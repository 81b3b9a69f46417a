"""Dated pledges between nodes: those heard from others, and those given to others."""

from math import inf

from medlarbeam.classes.record import Record

__all__ = ["DRIFT_ALLOWANCE", "Heard", "Pledges"]

# A node waits this much longer than it pledged, because its clock may run 1 % fast while the
# holder's runs 1 % slow. The holder's margin then stays free for orders in flight.
DRIFT_ALLOWANCE = 1.02

_PINGS_KEPT = 32  # pongs to older pings are out of date by far at any sensible interval


class Heard(Record):
    """The newest pong of a peer about one cell.

    Parameters
    ----------
    sent_at : float
        Time (s) at which this node sent the ping; the pledge counts from here.
    pong : Pong
    """

    __slots__ = ("pong", "sent_at")

    def __init__(self, sent_at, pong):
        self.sent_at = sent_at
        self.pong = pong


class Pledges:
    """Pings sent, pongs heard and pledges given by one node.

    Parameters
    ----------
    pledge_s : float
    first_seq : int
        Number before that of the first ping. It has to differ between starts of the process, or a
        late pong to an earlier process would be dated by a ping of this one.

    Notes
    -----
    `homes` has the cell in the settings of each peer that was heard, `incarnations` the highest
    known incarnation of each peer, `pinged_by` the one known when the peer last pinged this node.
    """

    __slots__ = (
        "given",
        "heard",
        "homes",
        "incarnations",
        "newest",
        "pinged_by",
        "pledge_s",
        "seq",
        "sent",
    )

    def __init__(self, pledge_s, first_seq):
        self.pledge_s = pledge_s
        self.seq = first_seq
        self.sent = {}
        self.heard = {}
        self.homes = {}
        self.newest = {}
        self.given = {}
        self.incarnations = {}
        self.pinged_by = {}

    def number_ping(self, peer, now):
        """Return the number of a ping to `peer` that is sent at `now`."""
        self.seq += 1
        times = self.sent.setdefault(peer, {})
        times[self.seq] = now
        while len(times) > _PINGS_KEPT:
            del times[next(iter(times))]
        return self.seq

    def ping_sent_at(self, peer, seq):
        """Return the send time (s) of a ping to `peer`, None if it is unknown or too old."""
        return self.sent.get(peer, {}).get(seq)

    def take_pong(self, peer, pong):
        """Keep a pong if its ping was sent later than that of the one kept for its cell.

        Returns
        -------
        float or None
            Send time (s) of the ping, None if the pong was dropped.
        """
        sent_at = self.ping_sent_at(peer, pong.seq)
        if sent_at is None:
            return None
        known = self.heard.get((peer, pong.cell))
        if known is not None and known.pong.seq >= pong.seq:
            return None
        heard = Heard(sent_at, pong)
        self.heard[peer, pong.cell] = heard
        if pong.home_cell:
            self.homes[peer] = pong.home_cell
        self.note_incarnation(peer, pong.incarnation)
        newest = self.newest.get(peer)
        if newest is None or newest.pong.seq < pong.seq:
            self.newest[peer] = heard
        return sent_at

    def note_incarnation(self, peer, incarnation):
        """Note that a process of `peer` with this incarnation was started."""
        self.incarnations[peer] = max(incarnation, self.incarnations.get(peer, 0))

    def note_ping(self, peer):
        """Note that `peer` pings this node, so that its settings name this node."""
        self.pinged_by[peer] = self.incarnations.get(peer, 0)

    def is_replaced(self, member):
        """Return whether a later process than that of a `Member` was started."""
        return self.incarnations.get(member.node, 0) > member.incarnation

    def note_given(self, peer, now):
        """Remember that a pong goes to `peer` at `now`."""
        self.given[peer] = max(now, self.given.get(peer, now))

    def given_until(self, peer):
        """Return the time (s) until which this node is bound to `peer`, minus infinity if never."""
        return self.given.get(peer, -inf) + self.pledge_s * DRIFT_ALLOWANCE

    def heard_about(self, peer, cell):
        """Return the newest `Heard` of `peer` about `cell`, or None."""
        return self.heard.get((peer, cell))

    def last_contact(self, peer):
        """Return the send time (s) of the newest answered ping, minus infinity if there is none."""
        newest = self.newest.get(peer)
        return newest.sent_at if newest is not None else -inf
