"""Pledges between nodes: those received from peers and those given to peers.

A pledge is a lease that a pong grants to the sender of the ping, counted from the send time of
that ping: until it expires, its giver starts no run on the backend servers of the holder.
"""

from math import inf

from medlarbeam.classes.record import Record

__all__ = ["DRIFT_ALLOWANCE", "Pledges", "ReceivedPong"]

# A node waits for this multiple of a pledge that it gave, because its clock may run 1 % fast while
# the holder's runs 1 % slow. The holder's margin then remains available for orders in flight.
DRIFT_ALLOWANCE = 1.02

_PINGS_KEPT = 32  # a pong to an older ping is long out of date at any practical ping interval


class ReceivedPong(Record):
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
    """Pings sent, pongs received and pledges given by one node.

    Parameters
    ----------
    pledge_s : float
    first_seq : int
        Sequence number before that of the first ping. It has to differ between starts of the
        process, or a late pong to an earlier process would be matched to a ping of this one.

    Notes
    -----
    `home_cells` has the home cell of each peer that sent a pong, `incarnations` the highest known
    incarnation of each peer, and `pinged_by_incarnation` the incarnation that was known when the
    peer last pinged this node.
    """

    __slots__ = (
        "home_cells",
        "incarnations",
        "newest_pongs",
        "ping_times",
        "pinged_by_incarnation",
        "pledge_s",
        "pledged_at",
        "received",
        "seq",
    )

    def __init__(self, pledge_s, first_seq):
        self.pledge_s = pledge_s
        self.seq = first_seq
        self.ping_times = {}
        self.received = {}
        self.home_cells = {}
        self.newest_pongs = {}
        self.pledged_at = {}
        self.incarnations = {}
        self.pinged_by_incarnation = {}

    def register_ping(self, peer, now):
        """Return the sequence number of a ping to `peer` and store `now` as its send time."""
        self.seq += 1
        times = self.ping_times.setdefault(peer, {})
        times[self.seq] = now
        while len(times) > _PINGS_KEPT:
            del times[next(iter(times))]
        return self.seq

    def ping_sent_at(self, peer, seq):
        """Return the send time (s) of ping `seq` to `peer`, None if it is unknown or too old."""
        return self.ping_times.get(peer, {}).get(seq)

    def store_pong(self, peer, pong):
        """Store a pong if its ping was sent later than that of the pong stored for its cell.

        Returns
        -------
        float or None
            Send time (s) of the ping, None if the pong was dropped.
        """
        sent_at = self.ping_sent_at(peer, pong.seq)
        if sent_at is None:
            return None
        known = self.received.get((peer, pong.cell))
        if known is not None and known.pong.seq >= pong.seq:
            return None
        received = ReceivedPong(sent_at, pong)
        self.received[peer, pong.cell] = received
        if pong.home_cell:
            self.home_cells[peer] = pong.home_cell
        self.record_incarnation(peer, pong.incarnation)
        newest = self.newest_pongs.get(peer)
        if newest is None or newest.pong.seq < pong.seq:
            self.newest_pongs[peer] = received
        return sent_at

    def record_incarnation(self, peer, incarnation):
        """Record that a process of `peer` with this incarnation was started."""
        self.incarnations[peer] = max(incarnation, self.incarnations.get(peer, 0))

    def record_ping(self, peer):
        """Record that `peer` pinged this node, which shows that its settings name this node."""
        self.pinged_by_incarnation[peer] = self.incarnations.get(peer, 0)

    def is_replaced(self, member):
        """Return whether a later process than that of `member` (a `Member`) was started."""
        return self.incarnations.get(member.node, 0) > member.incarnation

    def record_pledge(self, peer, now):
        """Record that a pledge is given to `peer` at `now`."""
        self.pledged_at[peer] = max(now, self.pledged_at.get(peer, now))

    def pledged_until(self, peer):
        """Return when (s) the pledge given to `peer` expires, minus infinity if there is none."""
        return self.pledged_at.get(peer, -inf) + self.pledge_s * DRIFT_ALLOWANCE

    def find_pong(self, peer, cell):
        """Return the newest `ReceivedPong` of `peer` about `cell`, or None."""
        return self.received.get((peer, cell))

    def last_contact(self, peer):
        """Return the send time (s) of the newest ping with a response, minus infinity if none."""
        newest = self.newest_pongs.get(peer)
        return newest.sent_at if newest is not None else -inf
