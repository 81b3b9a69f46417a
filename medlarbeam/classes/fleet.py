"""What a deployment consists of: routes, services, engines, backend servers and entry nodes."""

from enum import Enum

from medlarbeam.classes.record import Record

__all__ = [
    "AdapterKey",
    "AdapterRelease",
    "BaseModel",
    "Engine",
    "EngineState",
    "FleetConfig",
    "FleetNode",
    "OrderRight",
    "RouteKind",
    "RouteTarget",
    "ServerEntry",
    "Service",
    "ServiceRoute",
]


class RouteKind(Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class AdapterKey(Record):
    """An adapter of a base model, usable as a key.

    Parameters
    ----------
    model : str
    adapter : str
        "" for the base model itself.
    """

    __slots__ = ("adapter", "model")

    def __init__(self, model, adapter):
        self.model = model
        self.adapter = adapter

    def __eq__(self, other):
        return (
            type(other) is AdapterKey
            and self.adapter == other.adapter
            and self.model == other.model
        )

    def __hash__(self):
        return hash((self.model, self.adapter))

    def __str__(self):
        return f"{self.model}/{self.adapter}"


class RouteTarget(Record):
    """A service that gets a share of a route's requests, by `weight`."""

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class ServiceRoute(Record):
    """A route of the configuration.

    Parameters
    ----------
    name, host, prefix : str
        The longest `prefix` of a host that begins the path selects the route.
    kind : RouteKind
    targets : list of RouteTarget
    timeout_s : float
        Longest time that a request may be kept waiting.
    aim_s : float
        Time within which an answer, or the first event of a stream, is on time.
    gap_s : float
        Longest pause between two events that are on time, 0 for plain answers.
    attempts : int
        Most backend servers that may run one request.
    priority : int
        Rank, 0 is the most urgent.
    resumable : bool
        Whether a stream may go on at another backend server behind its last event.
    """

    __slots__ = (
        "aim_s",
        "attempts",
        "gap_s",
        "host",
        "kind",
        "name",
        "prefix",
        "priority",
        "resumable",
        "targets",
        "timeout_s",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        kind,
        targets,
        timeout_s,
        aim_s,
        gap_s,
        attempts,
        priority,
        resumable,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.targets = targets
        self.timeout_s = timeout_s
        self.aim_s = aim_s
        self.gap_s = gap_s
        self.attempts = attempts
        self.priority = priority
        self.resumable = resumable

    def is_repeatable(self):
        """Return whether a request that may have run may run again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class BaseModel(Record):
    """A base model: weights (MB), load time from the weight store (s), MB of each adapter."""

    __slots__ = ("adapter_mb", "load_s", "name", "weights_mb")

    def __init__(self, name, weights_mb, load_s, adapter_mb):
        self.name = name
        self.weights_mb = weights_mb
        self.load_s = load_s
        self.adapter_mb = adapter_mb


class Engine(Record):
    """What the engines of a service can hold.

    Parameters
    ----------
    slots : int
        Requests of one batch.
    memory_mb : float
        Memory for weights and adapters together.
    adapter_places : int
    loads_per_s : float
        Loads of weights that the weight store allows over all engines.
    models : dict of str to BaseModel
    """

    __slots__ = ("adapter_places", "loads_per_s", "memory_mb", "models", "slots")

    def __init__(self, slots, memory_mb, adapter_places, loads_per_s, models):
        self.slots = slots
        self.memory_mb = memory_mb
        self.adapter_places = adapter_places
        self.loads_per_s = loads_per_s
        self.models = models


class Service(Record):
    """A service of the configuration; `engine` is None for a plain service."""

    __slots__ = ("engine", "name")

    def __init__(self, name, engine):
        self.name = name
        self.engine = engine


class FleetConfig(Record):
    """A configuration in full.

    Parameters
    ----------
    version : int
    routes : list of ServiceRoute
    services : dict of str to Service
    max_body_bytes : int
        Longest body of a request.
    """

    __slots__ = ("max_body_bytes", "routes", "services", "version")

    def __init__(self, version, routes, services, max_body_bytes):
        self.version = version
        self.routes = routes
        self.services = services
        self.max_body_bytes = max_body_bytes


class ServerEntry(Record):
    """A backend server as it registered itself.

    Parameters
    ----------
    name : str
        Identity of this incarnation.
    service, address, failure_domain : str
    slots : int
    draining : bool
    born_ms : int
        Wall clock time of its start (ms), 0 if unknown.
    models : list of str
        Base models that it holds.
    adapters : dict of AdapterKey to int
        Versions of the adapters that it held when it wrote the entry.
    """

    __slots__ = (
        "adapters",
        "address",
        "born_ms",
        "draining",
        "failure_domain",
        "models",
        "name",
        "service",
        "slots",
    )

    def __init__(
        self,
        name,
        service,
        address,
        failure_domain,
        slots,
        draining,
        born_ms,
        models,
        adapters,
    ):
        self.adapters = adapters
        self.name = name
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.draining = draining
        self.born_ms = born_ms
        self.models = models


class EngineState(Record):
    """What an engine says that it holds.

    Parameters
    ----------
    orders : int
        Orders that it has accepted since its start.
    models : set of str
    adapters : dict of AdapterKey to int
        Version of each adapter that is held.
    coming : dict of AdapterKey to int
        Adapters in transit.
    is_busy : bool
        Whether an order for weights is being carried out.
    """

    __slots__ = ("adapters", "coming", "is_busy", "models", "orders")

    def __init__(self, orders, models, adapters, coming, is_busy):
        self.orders = orders
        self.models = models
        self.adapters = adapters
        self.coming = coming
        self.is_busy = is_busy


class AdapterRelease(Record):
    """The newest version of an adapter that an operator has named."""

    __slots__ = ("key", "version")

    def __init__(self, key, version):
        self.key = key
        self.version = version


class FleetNode(Record):
    """An entry node as it registered itself.

    Parameters
    ----------
    name, failure_domain : str
    address : str
        ``ip:port`` for datagrams of other nodes.
    incarnation : int
    """

    __slots__ = ("address", "failure_domain", "incarnation", "name")

    def __init__(self, name, failure_domain, address, incarnation):
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.incarnation = incarnation


class OrderRight(Record):
    """The right of one node to give orders to a backend server.

    Parameters
    ----------
    server, node : str
    fence : int
        Fencing number: the revision of the store at which the right was taken.
    """

    __slots__ = ("fence", "node", "server")

    def __init__(self, server, node, fence):
        self.server = server
        self.node = node
        self.fence = fence
