"""Membership of cells: pings, pledges, cell records and the rights that follow from them."""

from math import inf

from medlarbeam.classes.effects import LogEvent, ReadVmList, SendPeer
from medlarbeam.classes.messages import PeerDown, PeerUp, VmList
from medlarbeam.classes.peer_messages import (
    FetchRecord,
    Leaving,
    Ping,
    Pong,
    RecordSpread,
)
from medlarbeam.node.cell_book import CellBook
from medlarbeam.node.cell_planner import CellPlanner
from medlarbeam.node.cell_store import CellStore
from medlarbeam.node.component import Ownership, ServerView
from medlarbeam.node.pledges import Pledges
from medlarbeam.node.rights import Rights, refuse
from medlarbeam.node.seat import MEMBERSHIP, Seat
from medlarbeam.node.vm_watch import VmWatch

__all__ = ["Membership"]

_SEQ_BITS = 47  # random start of the ping numbers, so that two starts of a node do not share any


class Membership(Ownership):
    """Who manages which backend server, by cell records and dated pledges.

    Parameters
    ----------
    node : Node
    """

    __slots__ = (
        "book",
        "home",
        "links",
        "next_ping",
        "next_vm_read",
        "planner",
        "pledges",
        "rights",
        "seats",
        "serial",
        "silent",
        "stores",
        "ticked_at",
        "vms",
    )

    name = "ownership"
    # Named here so that tests can take out one mechanism at a time.
    pledges_class = Pledges
    rights_class = Rights
    seat_class = Seat

    def __init__(self, node):
        super().__init__(node)
        settings = node.settings
        self.pledges = self.pledges_class(settings.pledge_s, node.rng.getrandbits(_SEQ_BITS))
        self.vms = VmWatch(settings.name)
        self.rights = self.rights_class(settings, self.pledges)
        self.planner = CellPlanner(settings, self.pledges, self.vms)
        self.book = CellBook()
        self.links = {}  # time (s) at which each link was set up
        self.silent = set()
        self.ticked_at = -inf
        self.seats = {}
        self.stores = {}
        self.home = self._add_seat(settings.cell, home=True)
        self.next_ping = -inf
        self.next_vm_read = -inf
        self.serial = 0

    def _add_seat(self, cell, home):
        settings = self.node.settings
        seat = self.seat_class(cell, settings.name, settings.incarnation, home)
        seat.record = self.book.records.get(cell)
        self.seats[cell] = seat
        if cell not in self.stores:
            self.stores[cell] = CellStore(self.name, cell, self.node.rng)
        return seat

    # Interface of the other components

    def view(self, now):
        """Return a list of `ServerView` of all known backend servers."""
        own = {s.server: s for s in self.node.runs.summaries(now)}
        views = []
        for record in self.book.records.values():
            # By owner once, not by server: a request looks at all servers of the fleet.
            summaries = {n: self._map_summaries(n) for n in set(record.owners.values())}
            away = {n for n in summaries if self._is_target(record, n)}
            for server in record.servers:
                name = server.name
                owner = record.owners.get(name, "")
                target = owner if owner in away else self._find_own_target(name, now)
                summary = own.get(name) or summaries.get(owner, {}).get(name)
                if target not in ("", owner, self.node.settings.name):
                    summary = self._map_summaries(target).get(name)
                views.append(self._make_view(server, target, summary))
        return views

    def _map_summaries(self, owner):
        newest = self.pledges.newest.get(owner)
        summaries = newest.pong.summaries if newest is not None else ()
        return {s.server: s for s in summaries}

    def _make_view(self, server, target, summary):
        live = server.name not in self.vms.leaving and not self.vms.is_gone(server.name)
        if summary is None:
            return ServerView(server, target, live)
        return ServerView(
            server,
            target,
            live and summary.live,
            summary.queued,
            summary.running,
            summary.resident,
        )

    def _is_target(self, record, owner):
        """Return whether requests for the backend servers of `owner` go to that node."""
        member = record.find_member(owner)
        if member is None or owner == self.node.settings.name:
            return False
        return self.is_reachable(owner) and not self.pledges.is_replaced(member)

    def _find_own_target(self, server, now):
        """Return this node where it may run on `server`, else a member that stands in for it."""
        if self.may_run(server, now) is None:
            return self.node.settings.name
        return self._find_stand_in(server)

    def _find_stand_in(self, server):
        """Return a member whose last pong says that it manages `server` for its owner, or ""."""
        for member in self.book.find_record(server).members:
            node = member.node
            if node == self.node.settings.name or not self.is_reachable(node):
                continue
            if not self.pledges.is_replaced(member) and server in self._map_summaries(node):
                return node
        return ""

    def may_run(self, server, now):
        """Return None if this node may start a run on `server` (a name), else a `Failure`."""
        seat = self._find_seat(server)
        if seat is None:
            return refuse(f"this node does not belong to the cell of {server}")
        return self.rights.check_run(seat, server, now)

    def may_evict(self, server, model, now):
        """Return an `EvictionGrant`, or the `Failure` that says why not."""
        seat = self._find_seat(server)
        if seat is None:
            return refuse(f"this node does not belong to the cell of {server}")
        soon = now + self.node.settings.margin_s
        if self.is_owner(server) and self.rights.find_cover_end(seat) <= soon:
            seat.confirm_wanted = True
        report = self.node.runs.report_for(server)
        return self.rights.check_evict(seat, server, model, report, now)

    def _find_seat(self, server):
        record = self.book.find_record(server)
        return self.seats.get(record.cell) if record is not None else None

    def is_owner(self, server):
        """Return whether this node's record names it as the owner of `server`."""
        seat = self._find_seat(server)
        return seat is not None and seat.has_tag("listed") and self.owner_of(server) == seat.node

    def owner_of(self, server):
        """Return the node that the known record names as the owner of `server`, or ""."""
        record = self.book.find_record(server)
        return record.owners.get(server, "") if record is not None else ""

    def find_server(self, server):
        """Return the `BackendServer` called `server`, or None."""
        return self.book.find(server)

    def managed(self, now):
        """Return the list of `BackendServer` that this node owns or may run on by fallback."""
        return [
            server
            for seat in self.seats.values()
            if seat.record is not None and seat.has_tag("listed")
            for server in seat.record.servers
            if self.is_owner(server.name) or self.may_run(server.name, now) is None
        ]

    def fencing(self, server):
        """Return the fencing number for orders to `server`, 0 if its cell is unknown."""
        record = self.book.find_record(server)
        return record.epoch if record is not None else 0

    def is_reachable(self, node):
        """Return whether there is a working link to `node` (True for this node itself)."""
        if node == self.node.settings.name:
            return True
        return node in self.links and node not in self.silent

    def is_known(self):
        """Return whether this node has the record of its own cell."""
        return self.home.record is not None

    def count_engines(self):
        """Return the number of model engines in all known cells."""
        return sum(not s.service for r in self.book.records.values() for s in r.servers)

    def live_members(self):
        """Return the names of the members of this node's cell that answer, itself included."""
        record = self.home.record
        names = [m.node for m in record.members] if record is not None else []
        return [n for n in names if self.is_reachable(n)]

    def ping_sent_at(self, peer, seq):
        """Return the send time (s) of the ping to `peer` with number `seq`, or None."""
        return self.pledges.ping_sent_at(peer, seq)

    def start_leaving(self, now, out):
        """Begin the graceful leave: hand over, finish the runs, then leave the records."""
        for seat in self.seats.values():
            MEMBERSHIP.fire(seat, "leave", seat, self.stores[seat.cell])
        for peer in self.links:
            out.emit(SendPeer(peer, Leaving(self.node.settings.name)))
        self._review_all(now, out)

    def has_left(self):
        """Return whether no cell record names this node any more.

        Notes
        -----
        This needs the platform; a process that ends without it is removed like a failed one.
        """
        return all(seat.has_tag("over") for seat in self.seats.values())

    # Messages

    def handlers(self):
        """Return the handlers of messages from the shell."""
        return {PeerUp: self.take_peer_up, PeerDown: self.take_peer_down, VmList: self.take_vm_list}

    def peer_handlers(self):
        """Return the handlers of messages from peers."""
        return {
            Ping: self.take_ping,
            Pong: self.take_pong,
            RecordSpread: self.take_spread,
            FetchRecord: self.take_fetch,
        }

    def take_peer_up(self, message, now, out):
        """Send all known records over a new link, since the peer may know none."""
        self.pledges.note_incarnation(message.node, message.incarnation)
        self.vms.expect(message.node)
        self.links[message.node] = now
        self.book.spread_all(message.node, out)
        self._send_pings(message.node, now, out)

    def take_peer_down(self, message, now, out):
        """Forget a link that is closed."""
        self.links.pop(message.node, None)

    def take_ping(self, sender, ping, now, out):
        """Answer with a pledge, dated at the other side by the ping's send time."""
        seat = self._find_seat_for(ping.cell)
        self.pledges.note_ping(sender)
        pong = self._make_pong(sender, ping, seat, now)
        member = seat.record.find_member(sender) if seat.record is not None else None
        # A pledge to a process that is not the listed member counts for nobody.
        if seat.cell != ping.cell or member is None or not self.pledges.is_replaced(member):
            self.pledges.note_given(sender, now)
        out.emit(SendPeer(sender, pong))
        if ping.cell:
            self.book.compare_with(sender, ping.cell, ping.epoch, out)

    def _find_seat_for(self, cell):
        seat = self.seats.get(cell)
        return seat if seat is not None and seat.has_tag("listed") else self.home

    def _make_pong(self, sender, ping, seat, now):
        node = self.node
        seat.finish_orders(node.runs)
        return Pong(
            ping.seq,
            node.settings.incarnation,
            seat.cell,
            self._choose_epoch(seat, ping),
            node.catalog.revision(),
            node.catalog.confirm_age(now),
            node.runs.foreign_runs(sender),
            node.runs.summaries(now),
            seat.has_tag("leaves"),
            node.settings.cell,
        )

    def _choose_epoch(self, seat, ping):
        """Return the epoch of a pledge.

        Notes
        -----
        While unload orders to lost backend servers are under way, the epoch before the loss tells
        a node with a newer record to wait. A node that still has the older record gets 0, because
        the foreign runs in the pong follow the newer one.
        """
        if not seat.list_releasing():
            return seat.epoch
        return seat.held_back_epoch if ping.epoch > seat.held_back_epoch else 0

    def take_pong(self, sender, pong, now, out):
        """Take a pledge; ask for the record if the peer has a newer one."""
        sent_at = self.pledges.take_pong(sender, pong)
        if sent_at is None:
            return
        for seat in self.seats.values():
            seat.take_pong(sender, pong, sent_at, self.rights.usable_s)
        if pong.epoch > 0:
            self.book.compare_with(sender, pong.cell, pong.epoch, out)
        else:
            self.book.note_epoch(pong.cell, 0)

    def take_spread(self, sender, spread, now, out):
        """Take a record that a peer sent."""
        self._adopt(spread.record, sender, now, out)

    def take_fetch(self, sender, fetch, now, out):
        """Answer a peer that lacks a record."""
        self.book.answer_fetch(sender, fetch.cell, out)

    def take_vm_list(self, vm_list, now, out):
        """Take a read of the VM list; backend servers that leave get no new work."""
        self.planner.note_start(now)
        records = self.book.records.values()
        names = {m.node for r in records for m in r.members}
        names |= {s.name for r in records for s in r.servers}
        self.vms.watch(names | set(self.node.settings.peers))
        before = set(self.vms.leaving)
        if not self.vms.take(vm_list):
            return
        for name in sorted(before - self.vms.leaving):
            self.node.runs.drain(name, False, now, out)
        for name in sorted(self.vms.leaving):
            self.node.runs.drain(name, True, now, out)
        self._review_all(now, out)

    def handle_kv(self, result, now, out):
        """Take the result of a platform call."""
        cell = result.call.token.split(":")[1]
        store = self.stores.get(cell)
        if store is None:
            return
        stored = store.take_result(result, now, out)
        if stored is not None and stored.record is not None:
            self._adopt(stored.record, "", now, out)
        seat = self.seats.get(cell)
        if seat is None:
            return
        if stored is not None:
            epoch = stored.record.epoch if stored.record is not None else 0
            if self.book.epoch_of(cell) == epoch:
                self._confirm(seat, stored)
        self._review(seat, now, out)

    def _confirm(self, seat, stored):
        """Take note that the adopted record was the latest when the call was sent."""
        me = stored.record.find_member(seat.node) if stored.record is not None else None
        if me is None or me.incarnation != seat.incarnation:
            MEMBERSHIP.fire(seat, "unlisted", seat, self.stores[seat.cell])
        else:
            peers = self.rights.list_outside(seat)
            seat.confirm(peers, stored.sent_at, self.rights.usable_s)

    # Records

    def _adopt(self, record, source, now, out):
        """Keep a record with a higher epoch and pass it on to the peers."""
        before = self.book.records.get(record.cell)
        if not self.book.put(record):
            return
        old = {m.node: m.incarnation for m in before.members} if before is not None else {}
        for member in record.members:
            if old.get(member.node) != member.incarnation:
                self.vms.expect(member.node)
        seat = self.seats.get(record.cell)
        me = record.find_member(self.node.settings.name)
        if seat is None and me is not None and me.incarnation == self.node.settings.incarnation:
            # A takeover that was given up took effect late; the seat is needed to leave again.
            seat = self._add_seat(record.cell, home=False)
            seat.record = before
        if seat is not None:
            self._seat_record(seat, record, now, out)
        for peer in self.links:
            if peer != source:
                out.emit(SendPeer(peer, RecordSpread(record)))

    def _seat_record(self, seat, record, now, out):
        old_epoch = seat.epoch
        was_releasing = bool(seat.list_releasing())
        seat.adopt(record, self.pledges, now, self.node.settings.margin_s, self.stores[record.cell])
        if seat.list_releasing() and not was_releasing:
            seat.held_back_epoch = old_epoch
            seat.finish_orders(self.node.runs)
        owned = sum(owner == seat.node for owner in record.owners.values())
        detail = f"cell {record.cell} epoch {record.epoch}: {seat.state}, owns {owned}"
        out.emit(LogEvent("cell_record_adopted", detail))

    def _review_all(self, now, out):
        for seat in list(self.seats.values()):
            self._review(seat, now, out)

    def _review(self, seat, now, out):
        """Send the platform call that `seat` needs next, if any."""
        self.planner.note_start(now)
        self._finish_seat(seat, now)
        store = self.stores[seat.cell]
        if not store.is_ready(now) or seat.has_tag("over"):
            return
        base = seat.epoch
        record = self.planner.plan(seat, self._peek_change_id(), now)
        if record is None:
            # A node that departs waits for a read that shows it is off the record.
            if seat.confirm_wanted or seat.has_tag("departs"):
                store.read(now, out)
        elif store.knows_revision(base):
            self.serial += 1
            store.write(record, now, out)
        else:
            store.read(now, out)

    def _peek_change_id(self):
        settings = self.node.settings
        return f"{settings.name}.{settings.incarnation}.{self.serial + 1}"

    def _finish_seat(self, seat, now):
        """Move a seat on that waits for its runs and orders to end."""
        if not seat.has_tag("leaves") or not seat.has_tag("listed"):
            return
        if not self._has_work(seat):
            MEMBERSHIP.fire(seat, "drained", seat)

    def _has_work(self, seat):
        runs = self.node.runs
        if seat.home and runs.open_count() > 0:
            return True
        servers = [server.name for server in seat.record.servers]
        return runs.orders_in_flight(servers) or any(runs.runs_on(name) for name in servers)

    # Time

    def tick(self, now, out):
        """Send pings, read the VM list, and go on with changes that wait."""
        self.planner.note_start(now)
        self.ticked_at = now
        self.silent = {
            p for p, since in self.links.items() if self.planner.is_silent(p, 1.0, since, now)
        }
        if now >= self.next_ping:
            self.next_ping = now + self.node.settings.ping_interval_s
            for peer in self.node.settings.peers:
                # A new VM under the name of one that is gone is pinged from its link on, so that
                # it takes no ping to the old one for its own.
                if peer in self.links or not self.vms.is_gone(peer):
                    self._send_pings(peer, now, out)
            self._ask_for_records(out)
            self._review_takeovers(now)
        if now >= self.next_vm_read:
            self.next_vm_read = now + self.node.settings.vm_list_interval_s
            out.emit(ReadVmList(now))
        for seat in self.seats.values():
            seat.finish_orders(self.node.runs)
        self._review_all(now, out)

    def _send_pings(self, peer, now, out):
        """Ping `peer` once for each cell that this node shares, or may share, with it."""
        for seat in self.seats.values():
            member = seat.record is not None and seat.record.find_member(peer) is not None
            if seat.home or member:
                seq = self.pledges.number_ping(peer, now)
                out.emit(SendPeer(peer, Ping(seq, seat.cell, seat.epoch)))

    def _ask_for_records(self, out):
        """Ask one reachable peer for each record that this node lacks."""
        peers = sorted(self.links)
        for cell in self.book.list_lacking():
            if peers:
                out.emit(SendPeer(self.node.rng.choice(peers), FetchRecord(cell)))

    def _review_takeovers(self, now):
        """Begin to take over cells whose members are gone, and give back those that answer."""
        for seat in list(self.seats.values()):
            if seat.home:
                continue
            if seat.has_tag("evicts") and self.planner.wants_return(seat, now):
                MEMBERSHIP.fire(seat, "leave", seat, self.stores[seat.cell])
            if seat.has_tag("over"):
                del self.seats[seat.cell]  # the store stays for late results
        if not self.home.has_tag("evicts"):
            return
        answering = [p for p in self.links if p not in self.silent]
        for record in list(self.book.records.values()):
            seat = self.seats.get(record.cell)
            if seat is None and self.planner.wants_takeover(record, answering, now):
                self._add_seat(record.cell, home=False)
            elif seat is not None and seat.has_tag("joins") and not seat.home:
                if not self.planner.wants_takeover(record, answering, now):
                    MEMBERSHIP.fire(seat, "leave", seat, self.stores[seat.cell])

    def next_deadline(self):
        """Return the time (s) of the next ping, VM list read or retry."""
        retries = [s.retry_at for s in self.stores.values() if s.retry_at > self.ticked_at]
        return min([self.next_ping, self.next_vm_read, *retries])
