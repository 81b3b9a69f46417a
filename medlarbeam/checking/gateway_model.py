"""A gateway under check: the real decision code, and a model of its client of the store."""

from random import Random

from medlarbeam.checking.store_model import Transaction
from medlarbeam.classes.fleet import NodeRegistration, OrderRight
from medlarbeam.classes.gateway_effects import AcquireRight, RecordSettledEra, RenewLease
from medlarbeam.classes.gateway_messages import (
    AcquireRightResult,
    LeaseExpired,
    LeaseRenewed,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.classes.node_records import SettledEra
from medlarbeam.gateway.fleet_state import FleetState, KnownServer
from medlarbeam.gateway.order_rights import OrderRights
from medlarbeam.gateway.settings import GatewaySettings
from medlarbeam.node.component import Outbox

__all__ = ["ORDER_GAP_S", "CheckedGateway", "StoreSession", "node_key", "right_key", "server_key"]

ERA_KEY = "era"
ORDER_GAP_S = 3.0  # as on the sites of the milestone
FLEET_PLAIN = (
    "access",
    "config",
    "copied_at",
    "era",
    "forget_at",
    "is_set_back",
    "membership_version",
    "priorities",
    "quotas",
    "registered_at",
    "registration_revision",
    "revision",
    "routes",
    "settled_era",
    "store_returned_at",
    "store_unavailable_at",
    "store_unavailable_since",
    "trusted_at",
)
FLEET_MAPS = (
    "doubtful_until",
    "keys",
    "left",
    "node_missing_since",
    "nodes",
    "published_versions",
    "right_seen_at",
    "rights",
)
RIGHTS_PLAIN = (
    "check_at",
    "confirmed_at",
    "record_era_at",
    "registered_revision",
    "renew_at",
    "settled_at",
    "synced_at",
)
RIGHTS_CONTAINERS = ("acquire_after", "acquiring", "carried", "holders", "usable_at")
# Copied above, apart from the servers, which are changed in place. A test compares them with the
# slots of the components, so that a new attribute is not left out.


handler_names = {}


def find_handler(component_class, message_class, component):
    """Return the name of the method that handles a message class, "" for none.

    Building the dict of handlers for each message took a tenth of the time of a search.
    """
    names = handler_names.get(component_class)
    if names is None:
        handlers = component.handlers()
        names = {kind: method.__name__ for kind, method in handlers.items()}
        handler_names[component_class] = names
    return names.get(message_class, "")


def node_key(name):
    """Return the key of a node's registration."""
    return f"node/{name}"


def right_key(server):
    """Return the key of the right to order `server`."""
    return f"right/{server}"


def server_key(server):
    """Return the key of the registration of `server`."""
    return f"servers/{server}"


class RunningLifecycle:
    """Stands in for the lifecycle of a gateway that is not shutting down."""

    __slots__ = ()

    def is_leaving(self):
        """Return whether the node is shutting down."""
        return False


class IgnoredCalls:
    """Stands in for the components that are told of servers that leave or start again."""

    __slots__ = ()

    def wake_service(self, service, now):
        """Ignore that requests of a service may be sent elsewhere."""

    def review_soon(self, now):
        """Ignore that orders are due for review."""

    def begin_start(self, *arguments):
        """Ignore that a backend server has started again."""


class StoreSession:
    """Model of `StoreClient`: what it remembers between calls.

    Attributes
    ----------
    late_answer : LeaseRenewed or None
        Response to a renewal that has not arrived yet; no other renewal is sent meanwhile.
    """

    __slots__ = (
        "era",
        "is_registered",
        "known_revision",
        "late_answer",
        "lease",
        "registration_revision",
    )

    def __init__(self):
        self.era = 0
        self.known_revision = 0
        self.lease = 0
        self.is_registered = False
        self.registration_revision = 0
        self.late_answer = None

    def copy(self):
        """Return an independent copy."""
        new = StoreSession.__new__(StoreSession)
        new.era = self.era
        new.is_registered = self.is_registered
        new.known_revision = self.known_revision
        new.late_answer = self.late_answer
        new.lease = self.lease
        new.registration_revision = self.registration_revision
        return new


class CheckedGateway:
    """The components of a gateway that decide on orders, and their connection to the store.

    Parameters
    ----------
    settings : GatewaySettings
    fleet_class, rights_class : type
        `FleetState` and `OrderRights`, or mutants of them.

    Attributes
    ----------
    is_cut : bool
        Whether the store does not respond to this node.
    is_frozen : bool
        Whether the process does not run.
    is_mute : bool
        Whether its watches and reads get no response, though renewals and writes do.
    """

    __slots__ = (
        "fleet",
        "health",
        "holdings",
        "is_cut",
        "is_frozen",
        "is_mute",
        "lifecycle",
        "orders",
        "pauses",
        "relays",
        "rights",
        "rng",
        "session",
        "settings",
    )

    def __init__(self, settings, fleet_class=FleetState, rights_class=OrderRights):
        self.settings = settings
        self.rng = Random(1)
        self.lifecycle = RunningLifecycle()
        self.relays = self.orders = self.health = self.holdings = self.pauses = IgnoredCalls()
        self.fleet = fleet_class(self)
        self.rights = rights_class(self)
        self.session = StoreSession()
        self.is_cut = False
        self.is_frozen = False
        self.is_mute = False

    def copy(self):
        """Return an independent copy; settings and messages are shared."""
        new = CheckedGateway.__new__(CheckedGateway)
        new.settings = self.settings
        new.rng = self.rng
        new.lifecycle = self.lifecycle
        new.relays = new.orders = new.health = new.holdings = new.pauses = self.relays
        new.session = self.session.copy()
        new.is_cut = self.is_cut
        new.is_frozen = self.is_frozen
        new.is_mute = self.is_mute
        fleet = new.fleet = type(self.fleet).__new__(type(self.fleet))
        fleet.node = new
        for name in FLEET_PLAIN:
            setattr(fleet, name, getattr(self.fleet, name))
        for name in FLEET_MAPS:
            setattr(fleet, name, dict(getattr(self.fleet, name)))
        fleet.servers = {name: copy_server(k) for name, k in self.fleet.servers.items()}
        rights = new.rights = type(self.rights).__new__(type(self.rights))
        rights.node = new
        for name in RIGHTS_PLAIN:
            setattr(rights, name, getattr(self.rights, name))
        for name in RIGHTS_CONTAINERS:
            setattr(rights, name, getattr(self.rights, name).copy())
        return new

    def restart(self):
        """Return the gateway after its process was killed and started again."""
        old = self.settings
        settings = make_settings(old.name, old.incarnation + 1)
        new = CheckedGateway(settings, type(self.fleet), type(self.rights))
        new.is_cut = self.is_cut
        new.is_mute = self.is_mute
        return new

    @property
    def name(self):
        """Name of the node."""
        return self.settings.name

    def is_in_touch(self):
        """Return whether the process runs and the store responds to it."""
        return not self.is_cut and not self.is_frozen

    def deliver(self, message, now):
        """Pass a message to the components, in the order of `Gateway`."""
        out = Outbox()
        for component in (self.fleet, self.rights):
            name = find_handler(type(component), type(message), component)
            if name:
                getattr(component, name)(message, now, out)

    def find_fence(self, server, now):
        """Return the fencing token with which this node orders `server`, 0 if it does not."""
        known = self.fleet.servers.get(server)
        if self.is_frozen or known is None or known.stop_at <= now:
            return 0
        return self.rights.find_fence(server, now)

    # Calls to the store

    def meet_store(self, store, now):
        """Process the era of a response; return False if the store was set back."""
        session = self.session
        if not session.era:
            session.era = store.era
        if session.era == store.era:
            return True
        session.era = store.era
        session.is_registered = False
        session.lease = 0
        session.known_revision = 0
        session.late_answer = None
        self.deliver(StoreSetBack(store.era), now)
        return False

    def decide_renewal(self, now):
        """Return the `RenewLease` that the rights request."""
        out = Outbox()
        self.rights.renew_at = now
        self.rights.check_at = now + 1.0
        self.rights.tick(now, out)
        return next(effect for effect in out.effects if isinstance(effect, RenewLease))

    def prepare_registration(self, store, now, ttl_s):
        """Obtain a lease if there is none; return the `Transaction` of the registration."""
        session = self.session
        if not session.lease:
            session.lease = store.grant_lease(now + ttl_s)
        own = self.settings
        value = NodeRegistration(own.name, own.failure_domain, own.address, own.incarnation)
        return Transaction({}, node_key(own.name), value, session.lease)

    def renew(self, store, now, is_late=False):
        """Renew the lease or register; the response arrives at once unless `is_late`."""
        session = self.session
        effect = self.decide_renewal(now)
        if session.late_answer is not None or not self.meet_store(store, now):
            return
        if effect.must_register:
            session.is_registered = False
            session.lease = 0
        is_new = not session.is_registered
        if is_new:
            revision = store.write(self.prepare_registration(store, now, effect.ttl_s))
            is_alive = revision > 0
            if is_alive:
                session.registration_revision = revision
                session.is_registered = True
        else:
            is_alive = store.renew_lease(session.lease, now + effect.ttl_s)
        if not is_alive:
            session.is_registered = False
            session.lease = 0
            self.deliver(LeaseExpired(), now)
            return
        answer = LeaseRenewed(now, is_new, session.registration_revision)
        if is_late:
            session.late_answer = answer
        else:
            self.deliver(answer, now)

    def watch(self, store, now):
        """Apply the changes of the store, or all entries where there is no history."""
        if self.is_mute:
            self.lose_calls(now)
            return
        session = self.session
        changes = None
        if self.meet_store(store, now) and session.known_revision:
            changes = store.list_changes(session.known_revision)
        if changes is None:
            self.renew(store, now)
            entries = list(store.entries.values())
            self.deliver(StoreSnapshot(entries, store.revision, store.era), now)
        else:
            for message in changes:
                self.deliver(message, now)
        session.known_revision = store.revision
        self.deliver(StoreSynced(now), now)

    def decide_acquisitions(self, now, store=None):
        """Return the transactions by which the rights acquire backend servers, by server.

        That the era has settled is recorded in `store`, or lost if there is None.
        """
        out = Outbox()
        self.fleet.tick(now, out)
        self.rights.check_at = now
        self.rights.renew_at = now + 1.0
        self.rights.tick(now, out)
        for effect in out.effects:
            if isinstance(effect, RecordSettledEra) and store is not None:
                store.write(Transaction({}, ERA_KEY, SettledEra(effect.era)))
        return {
            effect.server: self.encode_acquisition(effect)
            for effect in out.effects
            if isinstance(effect, AcquireRight)
        }

    def encode_acquisition(self, effect):
        """Return the `Transaction` of an `AcquireRight`, as `StoreClient` writes it."""
        expected = {
            right_key(effect.server): effect.revision,
            node_key(self.name): effect.registration_revision,
        }
        if effect.missing_node:
            expected[node_key(effect.missing_node)] = 0
        right = OrderRight(effect.server, self.name, 0, self.session.era)
        return Transaction(expected, right_key(effect.server), right)

    def acquire(self, store, now):
        """Acquire free rights."""
        if not self.meet_store(store, now):
            return
        for server, transaction in self.decide_acquisitions(now, store).items():
            revision = store.write(transaction)
            self.deliver(AcquireRightResult(server, revision), now)

    def lose_calls(self, now):
        """Process that the store does not respond."""
        self.deliver(StoreUnavailable("no response"), now)


def make_settings(name, incarnation=1):
    """Return the settings of a checked gateway."""
    return GatewaySettings(
        name,
        "z1",
        f"{name}:7000",
        incarnation,
        order_gap_s=ORDER_GAP_S,
        drain_s=2.0,
        max_store_lag_s=1.1,
        grace_s=8.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_extra=60.0,
        is_first_start=incarnation == 1,
    )


def copy_server(known):
    """Return a copy of a `KnownServer`."""
    new = KnownServer(known.entry, known.known_at)
    new.stop_at = known.stop_at
    new.missing_since = known.missing_since
    new.draining = known.draining
    return new
