"""A state of the search: the store, the gateways, what backend servers saw, and faults left."""

from math import inf

from medlarbeam.checking.gateway_model import (
    ORDER_GAP_S,
    CheckedGateway,
    make_settings,
    right_key,
    server_key,
)
from medlarbeam.checking.store_model import ModelStore, Transaction
from medlarbeam.classes.fleet import (
    BaseModel,
    Engine,
    FleetConfig,
    ServerRegistration,
    Service,
)
from medlarbeam.gateway.fleet_state import FleetState
from medlarbeam.gateway.order_rights import (
    LEASE_TTL_S,
    ORDER_MARGIN_S,
    RIGHT_VALIDITY_S,
    OrderRights,
)

__all__ = ["CONFIG_KEY", "Order", "OrderLog", "World", "make_config", "make_server", "make_world"]

CONFIG_KEY = "config"
CALL_TIMEOUT_S = 1.0  # after this time the client gives up a call; as in the store's client
START_S = 100.0  # time of the initial state
# The rights compare some times strictly, so a decision falls due just after the deadline.
INSTANT_S = 1 / 64
TAKEOVER_WAIT_S = RIGHT_VALIDITY_S + ORDER_GAP_S + ORDER_MARGIN_S


class Order:
    """An order as the backend server sees it: its sender, fencing token and time (s)."""

    __slots__ = ("at", "fence", "node", "server")

    def __init__(self, server, node, fence, at):
        self.server = server
        self.node = node
        self.fence = fence
        self.at = at


class OrderLog:
    """What a backend server remembers of its orders; replaced and never changed.

    Attributes
    ----------
    highest_fence : int
    node : str
        Sender of the last order.
    at : float
        Time (s) of the last order.
    """

    __slots__ = ("at", "highest_fence", "node")

    def __init__(self, highest_fence=0, node="", at=-inf):
        self.highest_fence = highest_fence
        self.node = node
        self.at = at


class World:
    """One state of the search; copies share what the next event does not change.

    Attributes
    ----------
    now : float
        Time (s).
    store : ModelStore
    gateways : dict of str to CheckedGateway
    logs : dict of str to OrderLog
        By the name of the backend server.
    faults : dict of str to int
        Number of events of each limited kind that may still occur.
    late_writes : list of Transaction
        Calls without a response that the store may still carry out.
    orders : list of Order
        Orders that arrived in the last event.
    """

    __slots__ = (
        "faults",
        "gateways",
        "late_writes",
        "logs",
        "now",
        "orders",
        "owned",
        "owns_store",
        "store",
    )

    def __init__(self, now, store, gateways, logs, faults):
        self.now = now
        self.store = store
        self.gateways = gateways
        self.logs = logs
        self.faults = faults
        self.late_writes = []
        self.orders = []
        self.owned = set(gateways)
        self.owns_store = True

    def copy(self):
        """Return a copy; change its parts through `own_store` and `own_gateway` only."""
        new = World(self.now, self.store, dict(self.gateways), dict(self.logs), dict(self.faults))
        new.late_writes = list(self.late_writes)
        new.owned = set()
        new.owns_store = False
        return new

    def own_store(self):
        """Return the store, which belongs to this state alone from now on."""
        if not self.owns_store:
            self.store = self.store.copy()
            self.owns_store = True
        return self.store

    def own_gateway(self, name):
        """Return a gateway, which belongs to this state alone from now on."""
        if name not in self.owned:
            self.gateways[name] = self.gateways[name].copy()
            self.owned.add(name)
        return self.gateways[name]

    def spend(self, fault):
        """Use up one event of a limited kind."""
        self.faults[fault] -= 1

    def send_orders(self):
        """Send an order from each node to each backend server that it may order now."""
        for gateway in self.gateways.values():
            for server in self.logs:
                fence = gateway.find_fence(server, self.now)
                if fence:
                    self.orders.append(Order(server, gateway.name, fence, self.now))

    def receive_orders(self):
        """Record the orders of the last event at the backend servers."""
        for order in self.orders:
            log = self.logs[order.server]
            highest = max(log.highest_fence, order.fence)
            self.logs[order.server] = OrderLog(highest, order.node, order.at)

    def settle_calm_nodes(self):
        """Let all nodes in touch with the store renew, watch and acquire until nothing is left."""
        store = self.own_store()
        calm = [name for name, gateway in self.gateways.items() if gateway.is_in_touch()]
        for name in calm:
            gateway = self.own_gateway(name)
            gateway.renew(store, self.now)
            if not gateway.session.is_registered:
                gateway.renew(store, self.now)  # registers after an expired lease at once
            gateway.watch(store, self.now)
        for name in calm:
            self.gateways[name].watch(store, self.now)
            self.gateways[name].acquire(store, self.now)
        for name in calm:
            self.gateways[name].watch(store, self.now)

    def pass_time(self, longest_s):
        """Advance to the next deadline; calm nodes go on, holders order as long as they may.

        Parameters
        ----------
        longest_s : float
            Time (s) by which to advance at most.
        """
        for name, gateway in self.gateways.items():
            answer = gateway.session.late_answer
            is_overdue = answer is not None and self.now >= answer.sent_at + CALL_TIMEOUT_S
            if is_overdue and not gateway.is_frozen:
                gateway = self.own_gateway(name)
                gateway.session.late_answer = None
                gateway.lose_calls(self.now)
        self.settle_calm_nodes()
        deadline = self.find_deadline()
        if deadline == inf:
            deadline = self.now + LEASE_TTL_S
        until = min(deadline, self.now + longest_s)
        self.send_orders()
        for order in list(self.orders):
            gateway = self.gateways[order.node]
            end = until
            is_calm = gateway.is_in_touch() and not gateway.is_mute
            if not is_calm or gateway.session.late_answer is not None:
                end = min(end, gateway.rights.find_confirmed_at() + RIGHT_VALIDITY_S)
            self.orders.append(Order(order.server, order.node, order.fence, end))
        self.now = until
        store = self.own_store()
        for name, gateway in self.gateways.items():
            if gateway.is_in_touch():
                gateway = self.own_gateway(name)
                gateway.renew(store, until)
                gateway.watch(store, until)
            elif gateway.is_cut and not gateway.is_frozen:
                self.own_gateway(name).lose_calls(until)
        store.expire_leases(until)

    def find_deadline(self):
        """Return the next time (s) at which a decision may change, infinity for none."""
        times = []
        calm_leases = set()
        for gateway in self.gateways.values():
            rights, fleet = gateway.rights, gateway.fleet
            answer = gateway.session.late_answer
            if gateway.is_in_touch() and answer is None:
                calm_leases.add(gateway.session.lease)
            if gateway.is_mute or not gateway.is_in_touch() or answer is not None:
                times.append(rights.find_confirmed_at() + RIGHT_VALIDITY_S)
            if answer is not None:
                times.append(answer.sent_at + CALL_TIMEOUT_S)
            wait_s = rights.find_takeover_wait() + INSTANT_S  # mutants change it
            times += [t + wait_s for t in fleet.node_missing_since.values()]
            times += rights.usable_at.values()
            times += [
                time
                for server, time in rights.acquire_after.items()
                if fleet.rights.get(server) is None or fleet.rights[server].node != gateway.name
            ]
            times += fleet.doubtful_until.values()
            times += [known.stop_at for known in fleet.servers.values()]
            if rights.settled_at is not None:
                times.append(rights.settled_at)
        times += [t for lease, t in self.store.leases.items() if lease not in calm_leases]
        return min((t for t in times if t > self.now), default=inf)

    def forget_history(self):
        """Drop the history of the store that each gateway has read."""
        revisions = [
            gateway.session.known_revision
            for gateway in self.gateways.values()
            if gateway.session.era == self.store.era and gateway.session.known_revision
        ]
        oldest = min(revisions, default=self.store.revision)
        if self.store.history and self.store.history[0].revision <= oldest:
            self.own_store().forget_history(oldest)


def make_config(version):
    """Return a configuration with one service of engines."""
    engine = Engine(24, 1000.0, 3, 7.0, {"m0": BaseModel("m0", 700.0, 2.0, 10.0)})
    return FleetConfig(version, [], {"llm": Service("llm", engine)}, 1 << 20)


def make_server(name, draining=False):
    """Return the registration of a backend server."""
    return ServerRegistration(name, "llm", f"{name}:80", "z1", 24, draining, 1, ["m0"], {})


def make_world(nodes, servers, faults, fleet_class=FleetState, rights_class=OrderRights):
    """Return the initial state: all nodes are registered and have acquired their rights.

    Parameters
    ----------
    nodes, servers : int
        Number of gateways and of backend servers.
    faults : dict of str to int
        Number of events of each limited kind.
    fleet_class, rights_class : type
        `FleetState` and `OrderRights`, or mutants of them.
    """
    store = ModelStore()
    store.write(Transaction({}, CONFIG_KEY, make_config(1)))
    names = [f"w{number}" for number in range(1, servers + 1)]
    for name in names:
        store.write(Transaction({}, server_key(name), make_server(name)))
    gateways = {}
    for number in range(1, nodes + 1):
        settings = make_settings(f"n{number}")
        gateways[settings.name] = CheckedGateway(settings, fleet_class, rights_class)
    logs = {name: OrderLog() for name in names}
    world = World(START_S, store, gateways, logs, dict(faults))
    # The store is empty of rights at first, so the nodes acquire them without waiting.
    world.settle_calm_nodes()
    world.pass_time(LEASE_TTL_S)
    world.settle_calm_nodes()
    world.receive_orders()
    world.orders = []
    world.forget_history()
    missing = [name for name in names if not store.find_revision(right_key(name))]
    if missing:
        raise ValueError(f"no node acquires {', '.join(missing)} in the initial state")
    return world
