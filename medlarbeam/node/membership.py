"""Cell membership: pings, pledges, cell records and the rights that follow from them."""

from math import inf

from medlarbeam.classes.effects import LogEvent, ReadVmList, SendPeer
from medlarbeam.classes.messages import PeerDown, PeerUp, VmList
from medlarbeam.classes.peer_messages import CellRecordUpdate, FetchCellRecord, Leaving, Ping, Pong
from medlarbeam.node.cell_membership import MEMBERSHIP, CellMembership
from medlarbeam.node.cell_planner import CellPlanner
from medlarbeam.node.cell_record_cache import CellRecordCache
from medlarbeam.node.cell_store import CellStore
from medlarbeam.node.component import Ownership, ServerView
from medlarbeam.node.pledges import Pledges
from medlarbeam.node.rights import Rights, make_refusal
from medlarbeam.node.vm_tracker import VmTracker

__all__ = ["Membership"]

_SEQ_BITS = 47  # random first ping number, so that two starts of a node share none


class Membership(Ownership):
    """Decides which node manages which backend server, from cell records and pledges.

    Parameters
    ----------
    node : Node
    """

    __slots__ = (
        "home",
        "last_tick_at",
        "links",
        "memberships",
        "next_ping",
        "next_vm_read",
        "planner",
        "pledges",
        "record_cache",
        "rights",
        "serial",
        "silent_peers",
        "stores",
        "vms",
    )

    name = "ownership"
    # Class attributes, so that tests can disable one mechanism at a time.
    pledges_class = Pledges
    rights_class = Rights
    cell_membership_class = CellMembership

    def __init__(self, node):
        super().__init__(node)
        settings = node.settings
        self.pledges = self.pledges_class(settings.pledge_s, node.rng.getrandbits(_SEQ_BITS))
        self.vms = VmTracker(settings.name)
        self.rights = self.rights_class(settings, self.pledges)
        self.planner = CellPlanner(settings, self.pledges, self.vms)
        self.record_cache = CellRecordCache()
        self.links = {}  # time (s) at which each link was set up
        self.silent_peers = set()
        self.last_tick_at = -inf
        self.memberships = {}
        self.stores = {}
        self.home = self._add_membership(settings.cell, home=True)
        self.next_ping = -inf
        self.next_vm_read = -inf
        self.serial = 0

    def _add_membership(self, cell, home):
        settings = self.node.settings
        membership = self.cell_membership_class(cell, settings.name, settings.incarnation, home)
        membership.record = self.record_cache.records.get(cell)
        self.memberships[cell] = membership
        if cell not in self.stores:
            self.stores[cell] = CellStore(self.name, cell, self.node.rng)
        return membership

    # Interface for the other components

    def list_server_views(self, now):
        """Return a list of `ServerView` of all known backend servers."""
        own = {s.server: s for s in self.node.runs.summaries(now)}
        views = []
        for record in self.record_cache.records.values():
            # Computed once per owner, because routing a request reads the views of all servers.
            summaries = {n: self._map_summaries(n) for n in set(record.owners.values())}
            remote_targets = {n for n in summaries if self._is_target(record, n)}
            for server in record.servers:
                name = server.name
                owner = record.owners.get(name, "")
                target = owner if owner in remote_targets else self._find_own_target(name, now)
                summary = own.get(name) or summaries.get(owner, {}).get(name)
                if target not in ("", owner, self.node.settings.name):
                    summary = self._map_summaries(target).get(name)
                views.append(self._make_view(server, target, summary))
        return views

    def _map_summaries(self, owner):
        newest = self.pledges.newest_pongs.get(owner)
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
        """Return whether requests for the backend servers of `owner` are forwarded to it."""
        member = record.find_member(owner)
        if member is None or owner == self.node.settings.name:
            return False
        return self.is_reachable(owner) and not self.pledges.is_replaced(member)

    def _find_own_target(self, server, now):
        """Return this node if it may run on `server`, else a member that runs there by fallback."""
        if self.may_run(server, now) is None:
            return self.node.settings.name
        return self._find_fallback_member(server)

    def _find_fallback_member(self, server):
        """Return a member whose last pong has a summary of `server`, or ""."""
        for member in self.record_cache.find_record(server).members:
            node = member.node
            if node == self.node.settings.name or not self.is_reachable(node):
                continue
            if not self.pledges.is_replaced(member) and server in self._map_summaries(node):
                return node
        return ""

    def may_run(self, server, now):
        """Return None if this node may start a run on `server` (a name), else a `Failure`."""
        membership = self._find_membership(server)
        if membership is None:
            return make_refusal(f"this node does not belong to the cell of {server}")
        return self.rights.check_run(membership, server, now)

    def may_evict(self, server, model, now):
        """Return an `EvictionGrant`, or a `Failure` with the reason for the refusal."""
        membership = self._find_membership(server)
        if membership is None:
            return make_refusal(f"this node does not belong to the cell of {server}")
        soon = now + self.node.settings.margin_s
        if self.is_owner(server) and self.rights.find_join_guard_end(membership) <= soon:
            membership.confirm_requested = True
        report = self.node.runs.last_report(server)
        return self.rights.check_evict(membership, server, model, report, now)

    def _find_membership(self, server):
        record = self.record_cache.find_record(server)
        return self.memberships.get(record.cell) if record is not None else None

    def is_owner(self, server):
        """Return whether this node's record names it as the owner of `server`."""
        own = self._find_membership(server)
        return own is not None and own.has_tag("listed") and self.find_owner(server) == own.node

    def find_owner(self, server):
        """Return the node that the known record names as the owner of `server`, or ""."""
        record = self.record_cache.find_record(server)
        return record.owners.get(server, "") if record is not None else ""

    def find_server(self, server):
        """Return the `BackendServer` called `server`, or None."""
        return self.record_cache.get_server(server)

    def list_managed_servers(self, now):
        """Return the list of `BackendServer` that this node owns or may run on by fallback."""
        return [
            server
            for membership in self.memberships.values()
            if membership.record is not None and membership.has_tag("listed")
            for server in membership.record.servers
            if self.is_owner(server.name) or self.may_run(server.name, now) is None
        ]

    def get_fencing_token(self, server):
        """Return the fencing token for orders to `server`, 0 if its cell is unknown."""
        record = self.record_cache.find_record(server)
        return record.epoch if record is not None else 0

    def is_reachable(self, node):
        """Return whether there is a working link to `node` (True for this node itself)."""
        if node == self.node.settings.name:
            return True
        return node in self.links and node not in self.silent_peers

    def is_known(self):
        """Return whether this node has the record of its own cell."""
        return self.home.record is not None

    def count_engines(self):
        """Return the number of model engines in all known cells."""
        return sum(not s.service for r in self.record_cache.records.values() for s in r.servers)

    def list_reachable_members(self):
        """Return the names of the reachable members of this node's cell, including itself."""
        record = self.home.record
        names = [m.node for m in record.members] if record is not None else []
        return [n for n in names if self.is_reachable(n)]

    def ping_sent_at(self, peer, seq):
        """Return the send time (s) of the ping to `peer` with number `seq`, or None."""
        return self.pledges.ping_sent_at(peer, seq)

    def start_leaving(self, now, out):
        """Begin to leave: hand over the servers, finish the runs, then leave the cell records."""
        for membership in self.memberships.values():
            MEMBERSHIP.fire(membership, "leave", membership, self.stores[membership.cell])
        for peer in self.links:
            out.emit(SendPeer(peer, Leaving(self.node.settings.name)))
        self._update_cells(now, out)

    def has_left(self):
        """Return whether no cell record names this node as a member any more.

        Leaving needs the platform; a process that exits without it is removed like a failed one.
        """
        return all(membership.has_tag("finished") for membership in self.memberships.values())

    # Messages

    def handlers(self):
        """Return the handlers of messages from the shell."""
        return {
            PeerUp: self.handle_peer_up,
            PeerDown: self.handle_peer_down,
            VmList: self.handle_vm_list,
        }

    def peer_handlers(self):
        """Return the handlers of messages from peers."""
        return {
            Ping: self.handle_ping,
            Pong: self.handle_pong,
            CellRecordUpdate: self.handle_record_update,
            FetchCellRecord: self.handle_fetch,
        }

    def handle_peer_up(self, message, now, out):
        """Send all cell records over a new link, since the peer may have none."""
        self.pledges.record_incarnation(message.node, message.incarnation)
        self.vms.reset_absences(message.node)
        self.links[message.node] = now
        self.record_cache.send_all(message.node, out)
        self._send_pings(message.node, now, out)

    def handle_peer_down(self, message, now, out):
        """Remove a link that was closed."""
        self.links.pop(message.node, None)

    def handle_ping(self, sender, ping, now, out):
        """Respond with a pledge, which lasts from the send time of the ping."""
        membership = self._find_pledging_membership(ping.cell)
        self.pledges.record_ping(sender)
        pong = self._make_pong(sender, ping, membership, now)
        member = membership.record.find_member(sender) if membership.record is not None else None
        # A pledge to a process other than the listed member gives it no rights.
        if membership.cell != ping.cell or member is None or not self.pledges.is_replaced(member):
            self.pledges.record_pledge(sender, now)
        out.emit(SendPeer(sender, pong))
        if ping.cell:
            self.record_cache.reconcile_with(sender, ping.cell, ping.epoch, out)

    def _find_pledging_membership(self, cell):
        membership = self.memberships.get(cell)
        return membership if membership is not None and membership.has_tag("listed") else self.home

    def _make_pong(self, sender, ping, membership, now):
        node = self.node
        membership.finish_orders(node.runs)
        return Pong(
            ping.seq,
            node.settings.incarnation,
            membership.cell,
            self._choose_epoch(membership, ping),
            node.catalog.revision(),
            node.catalog.confirm_age(now),
            node.runs.list_foreign_runs(sender),
            node.runs.summaries(now),
            membership.has_tag("leaving"),
            node.settings.cell,
        )

    def _choose_epoch(self, membership, ping):
        """Return the epoch of a pledge.

        While unload orders to lost backend servers are in flight, the epoch before the loss makes
        a node with a newer record wait. A node that still has the older record gets 0, because
        the foreign runs in the pong are those under the newer one.
        """
        if not membership.list_releasing():
            return membership.epoch
        return membership.epoch_before_loss if ping.epoch > membership.epoch_before_loss else 0

    def handle_pong(self, sender, pong, now, out):
        """Store a pledge; fetch the record if the peer has a newer one."""
        sent_at = self.pledges.store_pong(sender, pong)
        if sent_at is None:
            return
        for membership in self.memberships.values():
            membership.apply_pong(sender, pong, sent_at, self.rights.usable_pledge_s)
        if pong.epoch > 0:
            self.record_cache.reconcile_with(sender, pong.cell, pong.epoch, out)
        else:
            self.record_cache.observe_epoch(pong.cell, 0)

    def handle_record_update(self, sender, update, now, out):
        """Adopt a newer record that a peer sent."""
        self._adopt(update.record, sender, now, out)

    def handle_fetch(self, sender, fetch, now, out):
        """Send a peer the record that it requests."""
        self.record_cache.respond_to_fetch(sender, fetch.cell, out)

    def handle_vm_list(self, vm_list, now, out):
        """Apply a read of the VM list; backend servers that leave get no new work."""
        self.planner.record_start(now)
        records = self.record_cache.records.values()
        names = {m.node for r in records for m in r.members}
        names |= {s.name for r in records for s in r.servers}
        self.vms.track(names | set(self.node.settings.peers))
        before = set(self.vms.leaving)
        if not self.vms.update(vm_list):
            return
        for name in sorted(before - self.vms.leaving):
            self.node.runs.drain(name, False, now, out)
        for name in sorted(self.vms.leaving):
            self.node.runs.drain(name, True, now, out)
        self._update_cells(now, out)

    def handle_kv(self, result, now, out):
        """Apply the result of a platform call."""
        cell = result.call.token.split(":")[1]
        store = self.stores.get(cell)
        if store is None:
            return
        stored = store.apply_result(result, now, out)
        if stored is not None and stored.record is not None:
            self._adopt(stored.record, "", now, out)
        membership = self.memberships.get(cell)
        if membership is None:
            return
        if stored is not None:
            epoch = stored.record.epoch if stored.record is not None else 0
            if self.record_cache.epoch_of(cell) == epoch:
                self._confirm(membership, stored)
        self._update_cell(membership, now, out)

    def _confirm(self, membership, stored):
        """Record that the adopted record was the latest when the call was sent."""
        me = stored.record.find_member(membership.node) if stored.record is not None else None
        if me is None or me.incarnation != membership.incarnation:
            MEMBERSHIP.fire(membership, "unlisted", membership, self.stores[membership.cell])
        else:
            peers = self.rights.list_possible_joiners(membership)
            membership.extend_join_guards(peers, stored.sent_at, self.rights.usable_pledge_s)

    # Records

    def _adopt(self, record, source, now, out):
        """Store a record with a higher epoch and forward it to the peers."""
        before = self.record_cache.records.get(record.cell)
        if not self.record_cache.put(record):
            return
        old = {m.node: m.incarnation for m in before.members} if before is not None else {}
        for member in record.members:
            if old.get(member.node) != member.incarnation:
                self.vms.reset_absences(member.node)
        own = self.memberships.get(record.cell)
        me = record.find_member(self.node.settings.name)
        if own is None and me is not None and me.incarnation == self.node.settings.incarnation:
            # An abandoned takeover took effect late; only a member can leave the record again.
            own = self._add_membership(record.cell, home=False)
            own.record = before
        if own is not None:
            self._apply_record(own, record, now, out)
        for peer in self.links:
            if peer != source:
                out.emit(SendPeer(peer, CellRecordUpdate(record)))

    def _apply_record(self, membership, record, now, out):
        old_epoch = membership.epoch
        was_releasing = bool(membership.list_releasing())
        membership.adopt(
            record, self.pledges, now, self.node.settings.margin_s, self.stores[record.cell]
        )
        if membership.list_releasing() and not was_releasing:
            membership.epoch_before_loss = old_epoch
            membership.finish_orders(self.node.runs)
        owned = sum(owner == membership.node for owner in record.owners.values())
        detail = f"cell {record.cell} epoch {record.epoch}: {membership.state}, owns {owned}"
        out.emit(LogEvent("cell_record_adopted", detail))

    def _update_cells(self, now, out):
        for membership in list(self.memberships.values()):
            self._update_cell(membership, now, out)

    def _update_cell(self, membership, now, out):
        """Send the next platform call for the cell of `membership`, if one is needed."""
        self.planner.record_start(now)
        self._finish_leave(membership, now)
        store = self.stores[membership.cell]
        if not store.is_ready(now) or membership.has_tag("finished"):
            return
        base = membership.epoch
        record = self.planner.plan(membership, self._next_change_id(), now)
        if record is None:
            # A departing node waits for a read that shows that the record lacks it.
            if membership.confirm_requested or membership.has_tag("departing"):
                store.read(now, out)
        elif store.knows_revision(base):
            self.serial += 1
            store.write(record, now, out)
        else:
            store.read(now, out)

    def _next_change_id(self):
        settings = self.node.settings
        return f"{settings.name}.{settings.incarnation}.{self.serial + 1}"

    def _finish_leave(self, membership, now):
        """Fire `drained` once the runs and unload orders of a leaving member have ended."""
        if not membership.has_tag("leaving") or not membership.has_tag("listed"):
            return
        if not self._has_work(membership):
            MEMBERSHIP.fire(membership, "drained", membership)

    def _has_work(self, membership):
        runs = self.node.runs
        if membership.home and runs.open_count() > 0:
            return True
        servers = [server.name for server in membership.record.servers]
        return runs.orders_in_flight(servers) or any(runs.list_runs_on(name) for name in servers)

    # Time

    def tick(self, now, out):
        """Send due pings, read the VM list and continue pending record changes."""
        self.planner.record_start(now)
        self.last_tick_at = now
        self.silent_peers = {
            p for p, since in self.links.items() if self.planner.is_silent(p, 1.0, since, now)
        }
        if now >= self.next_ping:
            self.next_ping = now + self.node.settings.ping_interval_s
            for peer in self.node.settings.peers:
                # A new VM with the name of one that is gone is pinged only once it is linked, so
                # that it does not respond to a ping that was meant for the old one.
                if peer in self.links or not self.vms.is_gone(peer):
                    self._send_pings(peer, now, out)
            self._request_records(out)
            self._update_takeovers(now)
        if now >= self.next_vm_read:
            self.next_vm_read = now + self.node.settings.vm_list_interval_s
            out.emit(ReadVmList(now))
        for membership in self.memberships.values():
            membership.finish_orders(self.node.runs)
        self._update_cells(now, out)

    def _send_pings(self, peer, now, out):
        """Ping `peer` for the home cell and for each other cell of which it is a member."""
        for own in self.memberships.values():
            member = own.record is not None and own.record.find_member(peer) is not None
            if own.home or member:
                seq = self.pledges.register_ping(peer, now)
                out.emit(SendPeer(peer, Ping(seq, own.cell, own.epoch)))

    def _request_records(self, out):
        """Request each record that is missing or outdated here from a random linked peer."""
        peers = sorted(self.links)
        for cell in self.record_cache.list_outdated():
            if peers:
                out.emit(SendPeer(self.node.rng.choice(peers), FetchCellRecord(cell)))

    def _update_takeovers(self, now):
        """Take over cells whose members are gone, and leave cells whose members are back."""
        for membership in list(self.memberships.values()):
            if membership.home:
                continue
            if membership.has_tag("may_evict") and self.planner.should_return(membership, now):
                MEMBERSHIP.fire(membership, "leave", membership, self.stores[membership.cell])
            if membership.has_tag("finished"):
                del self.memberships[membership.cell]  # the store remains, for late results
        if not self.home.has_tag("may_evict"):
            return
        reachable = [p for p in self.links if p not in self.silent_peers]
        for record in list(self.record_cache.records.values()):
            membership = self.memberships.get(record.cell)
            if membership is None and self.planner.should_take_over(record, reachable, now):
                self._add_membership(record.cell, home=False)
            elif membership is not None and membership.has_tag("joining") and not membership.home:
                if not self.planner.should_take_over(record, reachable, now):
                    MEMBERSHIP.fire(membership, "leave", membership, self.stores[membership.cell])

    def next_deadline(self):
        """Return the time (s) of the next ping, VM list read or retry."""
        retries = [s.retry_at for s in self.stores.values() if s.retry_at > self.last_tick_at]
        return min([self.next_ping, self.next_vm_read, *retries])
