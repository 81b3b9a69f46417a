"""Acquisition and validity of the rights to order backend servers."""

from math import inf

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import OrderRight
from medlarbeam.classes.gateway_effects import AcquireRight, RecordSettledEra, RenewLease
from medlarbeam.classes.gateway_messages import (
    AcquireRightResult,
    EntryUpdated,
    LeaseExpired,
    LeaseRenewed,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.node.component import Component

__all__ = ["LEASE_TTL_S", "OrderRights"]

LEASE_TTL_S = 2.5  # time until the registration of a killed node expires
RENEW_INTERVAL_S = 0.75  # three renewals fail before the lease ends; one costs a tenth of a call
# A node may send orders for this long after its last renewal, so that it tolerates most outages of
# the store. A successor has to wait as long, which makes the takeover from a lost node slow.
RIGHT_VALIDITY_S = 6.0
ORDER_MARGIN_S = 0.5  # for orders in flight and the clock drift within RIGHT_VALIDITY_S
CHECK_INTERVAL_S = 0.25
ACQUIRE_RETRY_S = 1.0  # delay after a refused acquisition, to spare an overloaded store
MAX_ACQUIRING = 4  # concurrent acquisitions
ERA_RECORDER = "era"  # key in the rendezvous order of the nodes, the first of which records the era
# A fencing token is the store's era and, in this many bits, the revision of the right. Revisions
# alone fall when the store is set back. Readers that use floating point have 53 bits, which is
# enough for 10**5 eras.
REVISION_BITS = 36


class OrderRights(Component):
    """Acquires the rights of this node and checks their validity.

    Notes
    -----
    A right is an entry of the store without a lease. It names its holder, and its revision is the
    fencing token. A node may use its rights while, within `RIGHT_VALIDITY_S`, its registration,
    which has a lease, was renewed, and all changes of the store were read, up to that registration
    at least: others may have acquired rights before it, or after it was deleted or overwritten.
    Another node may acquire a right once the registration of its holder has been missing for
    `RIGHT_VALIDITY_S` plus the minimum gap between the orders of two holders; the store checks in
    the same transaction that it is still missing. A restarted node reads its own rights from the
    store and continues to use them.

    When the store is set back to a copy, rights that were acquired since are lost, but their
    holders may use them until they notice. In the new era a node therefore acquires rights, and
    uses those of earlier eras, only after the time of a takeover. Rights that it could use in the
    earlier era are excepted: nobody else can have acquired these. A node records in the store that
    this time has passed, so that restarted nodes do not wait again.

    Attributes
    ----------
    carried : set of str
        Backend servers that this node could order when the store was set back.
    settled_at : float or None
        Time (s) from which no holder of an earlier era can send orders; None before the first
        snapshot.
    holders : dict of str to str
        Last known holder of the right to order a backend server, "" for none.
    usable_at : dict of str to float
        Time (s) from which a right that was acquired from another node may be used.
    """

    __slots__ = (
        "acquire_after",
        "acquiring",
        "carried",
        "check_at",
        "confirmed_at",
        "holders",
        "record_era_at",
        "registered_revision",
        "renew_at",
        "settled_at",
        "synced_at",
        "usable_at",
    )

    def __init__(self, node):
        super().__init__(node)
        self.confirmed_at = -inf
        self.synced_at = -inf
        self.registered_revision = 0
        self.renew_at = 0.0
        self.check_at = 0.0
        self.holders = {}
        self.usable_at = {}
        self.record_era_at = -inf
        self.carried = set()
        self.settled_at = None
        self.acquiring = set()
        self.acquire_after = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            LeaseRenewed: self.handle_lease_renewed,
            LeaseExpired: self.handle_lease_expired,
            AcquireRightResult: self.handle_right_result,
            EntryUpdated: self.handle_entry_updated,
            StoreSnapshot: self.handle_snapshot,
            StoreSynced: self.handle_synced,
        }

    def begin_era(self, now):
        """Keep the rights that can be used, before the fleet state forgets the earlier era."""
        self.carried = {name for name in self.node.fleet.rights if self.find_fence(name, now)}
        self.settled_at = now + self.find_takeover_wait()
        self.confirmed_at = -inf
        self.synced_at = -inf

    def handle_snapshot(self, message, now, out):
        """Wait after the start if the era of the store may have begun just now."""
        rights = self.node.fleet.rights.values()
        if self.settled_at is None:
            is_new_deployment = self.node.settings.is_first_start and not rights
            self.settled_at = -inf if is_new_deployment else now + self.find_takeover_wait()
        for right in rights:
            # It is unknown whether the former holder was registered since the last snapshot.
            self._record_holder(right, now)

    def handle_entry_updated(self, message, now, out):
        """Record the new holder of a right."""
        right = message.value
        if isinstance(right, OrderRight) and self.node.fleet.rights.get(right.server) is right:
            former = self.holders.get(right.server)
            missing_since = self.node.fleet.node_missing_since.get(former, now)
            self._record_holder(right, missing_since)

    def _record_holder(self, right, former_missing_since):
        """Delay the use of a right that was acquired from another node.

        The acquisition may have been carried out late, after its former holder had returned.
        """
        former = self.holders.get(right.server)
        self.holders[right.server] = right.node
        if right.node == self.node.settings.name and former not in (None, "", right.node):
            self.usable_at[right.server] = former_missing_since + self.find_takeover_wait()

    def find_takeover_wait(self):
        """Return the time (s) after which a node that is gone can no longer send orders."""
        return RIGHT_VALIDITY_S + self.node.settings.order_gap_s + ORDER_MARGIN_S

    def handle_lease_renewed(self, message, now, out):
        """Extend the validity of the rights from the time at which the renewal was sent."""
        if message.is_new:
            out.emit(
                LogEvent(
                    "registered",
                    f"valid_s={RIGHT_VALIDITY_S} revision={message.revision} "
                    f"known_revision={self.node.fleet.revision}",
                )
            )
        self.registered_revision = message.revision
        self.confirmed_at = max(self.confirmed_at, message.sent_at)

    def handle_synced(self, message, now, out):
        """Extend the validity of the rights from the time up to which all changes are known."""
        self.synced_at = max(self.synced_at, message.sent_at)

    def handle_lease_expired(self, message, now, out):
        """Invalidate the rights until this node is registered again."""
        self.confirmed_at = -inf
        self.renew_at = now
        out.emit(LogEvent("registration_lost", level="warning"))

    def handle_right_result(self, message, now, out):
        """Record the end of an acquisition; the entry itself arrives through the watch."""
        self.acquiring.discard(message.server)
        self.acquire_after[message.server] = now + ACQUIRE_RETRY_S
        out.emit(LogEvent("right_taken", f"server={message.server} revision={message.revision}"))

    def find_confirmed_at(self):
        """Return the time (s) up to which the lease and the copy of the store are confirmed."""
        return min(self.confirmed_at, self.synced_at)

    def is_valid(self, now):
        """Return whether this node may use its rights."""
        name = self.node.settings.name
        registration = self.node.fleet.nodes.get(name)
        return (
            now < self.find_confirmed_at() + RIGHT_VALIDITY_S
            and self.node.fleet.revision >= self.registered_revision
            and registration is not None
            and registration.incarnation == self.node.settings.incarnation
        )

    def _is_registration_lost(self):
        """Return whether the entry was deleted or overwritten while the lease was renewed.

        A write of an earlier process of this node may be carried out late, under a lease that ends.
        """
        fleet = self.node.fleet
        if not self.registered_revision or fleet.revision < self.registered_revision:
            return False
        registration = fleet.nodes.get(self.node.settings.name)
        return registration is None or registration.incarnation != self.node.settings.incarnation

    def find_fence(self, server, now):
        """Return the fencing token of this node's right to order `server`, 0 if it has none."""
        fleet = self.node.fleet
        right = fleet.rights.get(server)
        if right is None or right.node != self.node.settings.name or not self.is_valid(now):
            return 0
        if right.era != fleet.era and not self._is_settled(server, now):
            return 0
        if now < self.usable_at.get(server, -inf):
            return 0
        return fleet.era << REVISION_BITS | right.revision

    def _is_settled(self, server, now):
        """Return whether no holder of an earlier era of the store can send orders to `server`."""
        return server in self.carried or self._is_era_settled(now)

    def _is_era_settled(self, now):
        fleet = self.node.fleet
        if fleet.settled_era >= fleet.era:
            return True
        return self.settled_at is not None and now >= self.settled_at

    def find_fences(self, now):
        """Return the fencing token of each right that this node may use, by backend server."""
        if not self.is_valid(now):
            return {}
        fences = {right.server: self.find_fence(right.server, now) for right in self.list_own()}
        return {server: fence for server, fence in fences.items() if fence}

    def list_own(self):
        """Return the list of `OrderRight` of this node."""
        name = self.node.settings.name
        return [right for right in self.node.fleet.rights.values() if right.node == name]

    def find_holder(self, server):
        """Return the name of the registered node that holds the right to order `server`, or ""."""
        right = self.node.fleet.rights.get(server)
        if right is None or right.node not in self.node.fleet.nodes:
            return ""
        return right.node

    def next_deadline(self):
        """Return the time (s) of the next renewal or check."""
        return min(self.renew_at, self.check_at)

    def tick(self, now, out):
        """Renew the lease and acquire free rights."""
        if self.renew_at <= now:
            self.renew_at = now + RENEW_INTERVAL_S
            out.emit(RenewLease(LEASE_TTL_S, self._is_registration_lost()))
        if self.check_at <= now:
            self.check_at = now + CHECK_INTERVAL_S
            if self.is_valid(now) and not self.node.lifecycle.is_leaving():
                self._record_settled_era(now, out)
                self._acquire_free(now, out)

    def _record_settled_era(self, now, out):
        fleet = self.node.fleet
        if fleet.settled_era >= fleet.era or self.record_era_at > now:
            return
        if self._is_era_settled(now) and rank_servers(ERA_RECORDER, fleet.nodes)[0] == (
            self.node.settings.name
        ):
            self.record_era_at = now + ACQUIRE_RETRY_S
            out.emit(RecordSettledEra(fleet.era))

    def _acquire_free(self, now, out):
        fleet = self.node.fleet
        for known in fleet.servers.values():
            if len(self.acquiring) >= MAX_ACQUIRING:
                return
            entry = known.entry
            if known.stop_at <= now or fleet.find_engine(entry) is None:
                continue
            if entry.name in self.acquiring or self.acquire_after.get(entry.name, 0.0) > now:
                continue
            right = fleet.rights.get(entry.name)
            if (
                self._is_settled(entry.name, now)
                and self._is_free(entry.name, now)
                and self._is_preferred_holder(entry)
            ):
                revision, holder = (right.revision, right.node) if right is not None else (0, "")
                self._acquire(entry.name, revision, holder, out)

    def _acquire(self, server, revision, missing_node, out):
        self.acquiring.add(server)
        registration = self.node.fleet.registration_revision
        out.emit(AcquireRight(server, revision, missing_node, registration))

    def _is_free(self, server, now):
        fleet = self.node.fleet
        right = fleet.rights.get(server)
        if right is None:
            return True
        required_gap_s = self.node.settings.order_gap_s + ORDER_MARGIN_S
        if not right.node:
            return now - fleet.right_seen_at[server] > required_gap_s
        missing_since = fleet.node_missing_since.get(right.node)
        return missing_since is not None and now - missing_since > self.find_takeover_wait()

    def _is_preferred_holder(self, entry):
        """Return whether this node is first in the rendezvous order for `entry`."""
        nodes = self.node.fleet.nodes.values()
        near = [n.name for n in nodes if n.failure_domain == entry.failure_domain]
        order = rank_servers(entry.name, near or [n.name for n in nodes])
        return bool(order) and order[0] == self.node.settings.name
