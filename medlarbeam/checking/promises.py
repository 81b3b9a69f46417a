"""What must hold in each state; each promise is named after the rule that it stands for."""

from abc import ABC, abstractmethod

from medlarbeam.checking.canonical import hash_state
from medlarbeam.checking.events import FindStore, FindWatch, Thaw, Wait, play
from medlarbeam.checking.gateway_model import ORDER_GAP_S, right_key, server_key
from medlarbeam.checking.world import CONFIG_KEY

__all__ = ["PROMISES", "RECOVERY_WAITS", "Promise", "find_breach"]

# With all faults over: the leases of lost nodes end, the rights of the last holder, the wait for a
# takeover in the new era and that for a takeover from a lost holder, each with what follows it.
RECOVERY_WAITS = 24
RECOVERY_SAMPLE = 16  # of so many states, one is checked for recovery; chosen by its hash
CLOCK_TOLERANCE_S = 1e-6


class Promise(ABC):
    """Something that must hold in each state or for each event.

    Attributes
    ----------
    rule : str
        Name of the rule.
    """

    __slots__ = ()

    rule = ""

    @abstractmethod
    def find_breach(self, before, after):
        """Return how the event between two `World` breaks the promise, "" if it holds."""


class HighestFence(Promise):
    """The highest fencing token that a backend server has seen is never undercut."""

    __slots__ = ()

    rule = "ONE fence"

    def find_breach(self, before, after):
        """Return how the event breaks the promise."""
        highest = {server: log.highest_fence for server, log in before.logs.items()}
        for order in after.orders:
            if order.fence < highest[order.server]:
                return (
                    f"{order.node} orders {order.server} with fence {order.fence:#x} after "
                    f"{highest[order.server]:#x}"
                )
            highest[order.server] = order.fence
        return ""


class OneSender(Promise):
    """Two holders never order within the gap."""

    __slots__ = ()

    rule = "ONE gap"

    def find_breach(self, before, after):
        """Return how the event breaks the promise."""
        last = dict(before.logs)
        for order in after.orders:
            log = last[order.server]
            if log.node not in ("", order.node):
                gap_s = abs(order.at - log.at)
                if gap_s < ORDER_GAP_S - CLOCK_TOLERANCE_S:
                    return (
                        f"{order.node} orders {order.server} {gap_s:.3f} s after {log.node}, "
                        f"the gap is {ORDER_GAP_S} s"
                    )
            if order.at >= log.at:
                last[order.server] = order
        return ""


def list_synchronous(world):
    """Return the gateways whose copy is as new as the store, by what they have read."""
    return [
        gateway
        for gateway in world.gateways.values()
        if gateway.session.known_revision == world.store.revision
        and gateway.session.era == world.store.era
    ]


class ConfirmedInForce(Promise):
    """A confirmed configuration is in force once it was read, and none goes back."""

    __slots__ = ()

    rule = "CONFIG"

    def find_breach(self, before, after):
        """Return how the event breaks the promise."""
        confirmed = after.store.entries[CONFIG_KEY].value.version
        for gateway in list_synchronous(after):
            version = gateway.fleet.config.version
            if version < confirmed:
                return f"{gateway.name} uses configuration {version}, the store has {confirmed}"
        for name, gateway in after.gateways.items():
            earlier = before.gateways[name]
            if earlier.settings.incarnation != gateway.settings.incarnation:
                continue
            if earlier.fleet.config is not None:
                former = earlier.fleet.config.version
                if gateway.fleet.config.version < former:
                    return f"{name} goes back from configuration {former}"
        return ""


class LostNotInForce(Promise):
    """A right or a node that the store does not have is not in force once this was read."""

    __slots__ = ()

    rule = "ONE lost"

    def find_breach(self, before, after):
        """Return how the event breaks the promise."""
        entries = after.store.entries
        for gateway in list_synchronous(after):
            for server, right in gateway.fleet.rights.items():
                entry = entries.get(right_key(server))
                if entry is None or entry.value.node != right.node:
                    return f"{gateway.name} believes that {right.node} holds {server}"
            for name in gateway.fleet.nodes:
                if f"node/{name}" not in entries:
                    return f"{gateway.name} believes that {name} is registered"
        return ""


class LeavingServer(Promise):
    """A backend server that is known to leave gets nothing new, also when the store forgets it."""

    __slots__ = ()

    rule = "DRAIN"

    def find_breach(self, before, after):
        """Return how the event breaks the promise."""
        for gateway in list_synchronous(after):
            for server, known in gateway.fleet.servers.items():
                is_leaving = after.store.entries[server_key(server)].value.draining
                if is_leaving and known.stop_at > after.now:
                    return f"{gateway.name} uses {server}, which leaves"
        for name, gateway in after.gateways.items():
            earlier = before.gateways[name]
            if earlier.settings.incarnation != gateway.settings.incarnation:
                continue
            for server, known in earlier.fleet.servers.items():
                is_used = gateway.fleet.servers[server].stop_at > after.now
                if known.draining and is_used:
                    return f"{name} uses {server} again, which it knew to leave"
        return ""


class Recovery(Promise):
    """With all faults over, each engine has one holder and all nodes agree."""

    __slots__ = ()

    rule = "RECOVER"

    def find_breach(self, before, after):
        """Return how the event breaks the promise; only some states are looked at."""
        if hash_state(after) % RECOVERY_SAMPLE:
            return ""
        return self.find_stuck(after)

    def find_stuck(self, world):
        """Return what is not restored after `RECOVERY_WAITS` waits without faults."""
        for name in world.gateways:
            for kind in (FindStore, FindWatch, Thaw):
                event = kind(name)
                if event.is_enabled(world):
                    world = play(world, event)
        for _ in range(RECOVERY_WAITS):
            before, world = world, play(world, Wait())
            for promise in PROMISES:
                if promise is not self:
                    reason = promise.find_breach(before, world)
                    if reason:
                        return f"after all faults: {promise.rule}: {reason}"
            world.receive_orders()
            world.orders = []
        world = world.copy()
        world.settle_calm_nodes()
        return self.compare_nodes(world)

    def compare_nodes(self, world):
        """Return how the nodes differ in what they believe, or which server has no holder."""
        confirmed = world.store.entries[CONFIG_KEY].value.version
        for name, gateway in world.gateways.items():
            if gateway.fleet.config is None or gateway.fleet.config.version < confirmed:
                return f"{name} does not use configuration {confirmed} after all faults"
        for server in world.logs:
            if any(gateway.fleet.servers[server].draining for gateway in world.gateways.values()):
                continue
            senders = [
                gateway.name
                for gateway in world.gateways.values()
                if gateway.find_fence(server, world.now)
            ]
            believed = {gateway.rights.find_holder(server) for gateway in world.gateways.values()}
            if len(senders) != 1 or believed != set(senders):
                return (
                    f"after all faults {server} is ordered by {senders or 'nobody'}, the nodes "
                    f"believe in {sorted(believed)}"
                )
        return ""


PROMISES = [
    HighestFence(),
    OneSender(),
    ConfirmedInForce(),
    LostNotInForce(),
    LeavingServer(),
    Recovery(),
]


def find_breach(before, after):
    """Return the rule and the reason as text if the event broke a promise, else ""."""
    for promise in PROMISES:
        reason = promise.find_breach(before, after)
        if reason:
            return f"{promise.rule}: {reason}"
    return ""
