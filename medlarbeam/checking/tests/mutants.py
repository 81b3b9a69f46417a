"""Mutants of the decision code, each with a fault that the search has to find."""

from math import inf

from medlarbeam.checking.gateway_model import ORDER_GAP_S
from medlarbeam.classes.gateway_messages import EntryUpdated
from medlarbeam.gateway.fleet_state import FleetState
from medlarbeam.gateway.order_rights import ORDER_MARGIN_S, RIGHT_VALIDITY_S, OrderRights

__all__ = [
    "CountsAnyIncarnation",
    "CountsFromArrival",
    "IgnoresWatch",
    "KeepsRevisions",
    "KeepsVanished",
    "ShortTakeover",
    "TakesWithoutCheck",
    "TakesWithoutCheckOrDelay",
    "UsesRightsAtOnce",
    "UsesRightsOnceRenewed",
]


class UsesRightsOnceRenewed(OrderRights):
    """Without any check of how new the copy of the store is; as before d0f3d8a."""

    __slots__ = ()

    def is_valid(self, now):
        known = self.node.fleet.nodes.get(self.node.settings.name)
        return (
            now < self.confirmed_at + RIGHT_VALIDITY_S
            and known is not None
            and known.incarnation == self.node.settings.incarnation
        )


class UsesRightsAtOnce(OrderRights):
    """Rights are valid as soon as the lease is renewed, whatever is known of the store."""

    __slots__ = ()

    def is_valid(self, now):
        return now < self.confirmed_at + RIGHT_VALIDITY_S


class KeepsRevisions(FleetState):
    """Compares revisions of two eras; as before 49cea0e."""

    __slots__ = ()

    def handle_set_back(self, message, now, out):
        self.node.rights.begin_era(now)
        self.era = message.era
        self.is_set_back = True


class ShortTakeover(OrderRights):
    """Takes a right one second too early."""

    __slots__ = ()

    def find_takeover_wait(self):
        return RIGHT_VALIDITY_S + ORDER_GAP_S + ORDER_MARGIN_S - 1.0


class TakesWithoutCheck(OrderRights):
    """The transaction does not check that the registration of the old holder is gone."""

    __slots__ = ()

    def _acquire(self, server, revision, missing_node, out):
        super()._acquire(server, revision, "", out)


class TakesWithoutCheckOrDelay(TakesWithoutCheck):
    """Neither the transaction nor the delay after an acquisition guards against a late one."""

    __slots__ = ()

    def _record_holder(self, right, former_missing_since):
        self.holders[right.server] = right.node


class KeepsVanished(FleetState):
    """A snapshot does not remove entries that it does not list."""

    __slots__ = ()

    def handle_snapshot(self, message, now, out):
        self.era = message.era
        for entry in message.entries:
            self.handle_entry_updated(
                EntryUpdated(entry.key, entry.value, entry.revision), now, out
            )
        self.revision = max(self.revision, message.revision)
        self.is_set_back = False


class IgnoresWatch(OrderRights):
    """Rights stay valid while the store is not read; as before 58a8efe."""

    __slots__ = ()

    def find_confirmed_at(self):
        return self.confirmed_at


class CountsAnyIncarnation(IgnoresWatch):
    """Counts a registration that an earlier process of the node has written.

    The age of the last answer to the watch guards the same case, so it is ignored as well.
    """

    __slots__ = ()

    def is_valid(self, now):
        return (
            now < self.find_confirmed_at() + RIGHT_VALIDITY_S
            and self.node.fleet.revision >= self.registered_revision
            and self.node.settings.name in self.node.fleet.nodes
        )

    def _is_registration_lost(self):
        fleet = self.node.fleet
        if not self.registered_revision or fleet.revision < self.registered_revision:
            return False
        return self.node.settings.name not in fleet.nodes


class CountsFromArrival(IgnoresWatch):
    """Counts a late answer to a renewal from its arrival.

    The age of the last answer to the watch guards the same case, so it is ignored as well.
    """

    __slots__ = ()

    def handle_lease_renewed(self, message, now, out):
        super().handle_lease_renewed(message, now, out)
        self.confirmed_at = max(self.confirmed_at, now if self.confirmed_at > -inf else -inf)
