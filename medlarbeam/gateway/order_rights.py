"""Acquisition and validity of the rights to order backend servers."""

from math import inf

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import AcquireRight, RenewLease
from medlarbeam.classes.gateway_messages import AcquireRightResult, LeaseExpired, LeaseRenewed
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


class OrderRights(Component):
    """Acquires the rights of this node and checks their validity.

    Notes
    -----
    A right is an entry of the store without a lease. It names its holder, and its revision is the
    fencing token. A node may use its rights while its registration, which has a lease, was renewed
    within `RIGHT_VALIDITY_S`, and the node knows all changes of the store up to that registration:
    rights of a registered node cannot be acquired, but they may have been before it registered.
    Another node may acquire a right once the registration of its holder has been missing for
    `RIGHT_VALIDITY_S` plus the minimum gap between the orders of two holders; the store checks in
    the same transaction that it is still missing. A restarted node reads its own rights from the
    store and continues to use them.
    """

    __slots__ = (
        "acquire_after",
        "acquiring",
        "check_at",
        "confirmed_at",
        "registered_revision",
        "renew_at",
    )

    def __init__(self, node):
        super().__init__(node)
        self.confirmed_at = -inf
        self.registered_revision = 0
        self.renew_at = 0.0
        self.check_at = 0.0
        self.acquiring = set()
        self.acquire_after = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            LeaseRenewed: self.handle_lease_renewed,
            LeaseExpired: self.handle_lease_expired,
            AcquireRightResult: self.handle_right_result,
        }

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

    def handle_lease_expired(self, message, now, out):
        """Invalidate the rights until this node is registered again."""
        self.confirmed_at = -inf
        self.renew_at = now
        out.emit(LogEvent("registration_lost", level="warning"))

    def handle_right_result(self, message, now, out):
        """Record the end of an acquisition; the entry itself arrives through the watch."""
        self.acquiring.discard(message.server)
        self.acquire_after[message.server] = now + ACQUIRE_RETRY_S
        out.emit(LogEvent("right_taken", f"server={message.server} fence={message.fence}"))

    def is_valid(self, now):
        """Return whether this node may use its rights."""
        name = self.node.settings.name
        registration = self.node.fleet.nodes.get(name)
        return (
            now < self.confirmed_at + RIGHT_VALIDITY_S
            and self.node.fleet.revision >= self.registered_revision
            and registration is not None
            and registration.incarnation == self.node.settings.incarnation
        )

    def find_fence(self, server, now):
        """Return the fencing token of this node's right to order `server`, 0 if it has none."""
        right = self.node.fleet.rights.get(server)
        if right is None or right.node != self.node.settings.name or not self.is_valid(now):
            return 0
        return right.fence

    def find_fences(self, now):
        """Return the fencing token of each right that this node may use, by backend server."""
        if not self.is_valid(now):
            return {}
        return {right.server: right.fence for right in self.list_own()}

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
            out.emit(RenewLease(LEASE_TTL_S))
        if self.check_at <= now:
            self.check_at = now + CHECK_INTERVAL_S
            if self.is_valid(now) and not self.node.lifecycle.is_leaving():
                self._acquire_free(now, out)

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
            if self._is_free(entry.name, now) and self._is_preferred_holder(entry):
                self.acquiring.add(entry.name)
                right = fleet.rights.get(entry.name)
                out.emit(
                    AcquireRight(entry.name, right.fence, right.node)
                    if right
                    else AcquireRight(entry.name, 0, "")
                )

    def _is_free(self, server, now):
        fleet = self.node.fleet
        right = fleet.rights.get(server)
        if right is None:
            return True
        required_gap_s = self.node.settings.order_gap_s + ORDER_MARGIN_S
        if not right.node:
            return now - fleet.right_seen_at[server] > required_gap_s
        missing_since = fleet.node_missing_since.get(right.node)
        return missing_since is not None and now - missing_since > RIGHT_VALIDITY_S + required_gap_s

    def _is_preferred_holder(self, entry):
        """Return whether this node is first in the rendezvous order for `entry`."""
        nodes = self.node.fleet.nodes.values()
        near = [n.name for n in nodes if n.failure_domain == entry.failure_domain]
        order = rank_servers(entry.name, near or [n.name for n in nodes])
        return bool(order) and order[0] == self.node.settings.name
