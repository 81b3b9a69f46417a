"""Entities of a deployment: routes, services, engines, backend servers and entry nodes."""

from enum import Enum

from medlarbeam.classes.record import Record

__all__ = [
    "DEFAULT_MAX_HEADER_BYTES",
    "UNKNOWN_ORIGIN",
    "AdapterKey",
    "BaseModel",
    "Engine",
    "EngineState",
    "FleetConfig",
    "NodeRegistration",
    "OrderRight",
    "PublishedVersion",
    "RouteKind",
    "RouteTarget",
    "ServerRegistration",
    "Service",
    "ServiceRoute",
    "SoftwareVersion",
    "StreamReport",
    "VersionStreams",
]

DEFAULT_MAX_HEADER_BYTES = 16_384  # if the configuration sets no limit


class RouteKind(Enum):
    """Retry semantics of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class HashedRecord(Record):
    """Record that keeps its hash, for keys of many look-ups.

    Attributes
    ----------
    hash_value : int
        Set by the constructor of the subclass; not a field, so it is neither compared nor encoded.
    """

    __slots__ = ("hash_value",)

    def __hash__(self):
        return self.hash_value


class AdapterKey(HashedRecord):
    """Identifies an adapter of a base model; hashable.

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
        self.hash_value = hash((model, adapter))

    def __eq__(self, other):
        return (
            type(other) is AdapterKey
            and self.adapter == other.adapter
            and self.model == other.model
        )

    # A class that defines `__eq__` does not inherit `__hash__`.
    __hash__ = HashedRecord.__hash__

    def __str__(self):
        return f"{self.model}/{self.adapter}"


class RouteTarget(Record):
    """A service that receives a share of a route's requests in proportion to `weight`."""

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class ServiceRoute(Record):
    """A route of the configuration.

    Parameters
    ----------
    name, host, prefix : str
        A request uses the route with its host and the longest `prefix` that matches its path.
    kind : RouteKind
    targets : list of RouteTarget
    timeout_s : float
        Timeout of a request.
    latency_goal_s : float
        Latency goal for the response, or for the first event of a stream.
    gap_goal_s : float
        Latency goal between two events of a stream, 0 for other responses.
    attempts : int
        Maximum number of backend servers that may run a request.
    priority : int
        0 is the most urgent.
    resumable : bool
        Whether another backend server may resume a stream after its last event.
    is_public : bool
        Whether its requests need no key.
    """

    __slots__ = (
        "attempts",
        "gap_goal_s",
        "host",
        "is_public",
        "kind",
        "latency_goal_s",
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
        latency_goal_s,
        gap_goal_s,
        attempts,
        priority,
        resumable,
        is_public=False,
    ):
        self.is_public = is_public
        self.name = name
        self.host = host
        self.prefix = prefix
        self.kind = kind
        self.targets = targets
        self.timeout_s = timeout_s
        self.latency_goal_s = latency_goal_s
        self.gap_goal_s = gap_goal_s
        self.attempts = attempts
        self.priority = priority
        self.resumable = resumable

    def is_retryable(self):
        """Return whether a request that may have run may be retried."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class BaseModel(Record):
    """A base model.

    Parameters
    ----------
    name : str
    weights_mb : float
        Size of the weights (MB).
    load_s : float
        Time to load the weights from the weight store (s).
    adapter_mb : float
        Size of each adapter (MB).
    """

    __slots__ = ("adapter_mb", "load_s", "name", "weights_mb")

    def __init__(self, name, weights_mb, load_s, adapter_mb):
        self.name = name
        self.weights_mb = weights_mb
        self.load_s = load_s
        self.adapter_mb = adapter_mb


class Engine(Record):
    """Capacity of the engines of a service.

    Parameters
    ----------
    concurrency : int
        Number of requests in a batch.
    memory_mb : float
        Memory for weights and adapters together (MB).
    adapter_capacity : int
        Number of adapters that can be resident at once.
    loads_per_s : float
        Rate limit of the weight store for loads by all engines together.
    models : dict of str to BaseModel
    """

    __slots__ = ("adapter_capacity", "concurrency", "loads_per_s", "memory_mb", "models")

    def __init__(self, concurrency, memory_mb, adapter_capacity, loads_per_s, models):
        self.concurrency = concurrency
        self.memory_mb = memory_mb
        self.adapter_capacity = adapter_capacity
        self.loads_per_s = loads_per_s
        self.models = models


class Service(Record):
    """A service in the configuration.

    Parameters
    ----------
    name : str
    engine : Engine or None
        None for a plain service.
    health_path : str
        Path at which its servers tell their health, "" for none.
    """

    __slots__ = ("engine", "health_path", "name")

    def __init__(self, name, engine, health_path=""):
        self.name = name
        self.engine = engine
        self.health_path = health_path


class FleetConfig(Record):
    """A complete configuration.

    Parameters
    ----------
    version : int
    routes : list of ServiceRoute
    services : dict of str to Service
    max_body_bytes : int
        Maximum size of a request body (bytes).
    max_header_bytes : int
        Maximum size of a request head (bytes).
    organisations : list of Organisation or None
        None if callers need no keys.
    shared_document : bytes
        Its document for other nodes, without keys.
    """

    __slots__ = (
        "max_body_bytes",
        "max_header_bytes",
        "organisations",
        "routes",
        "services",
        "shared_document",
        "version",
    )

    def __init__(
        self,
        version,
        routes,
        services,
        max_body_bytes,
        max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
        organisations=None,
        shared_document=b"",
    ):
        self.organisations = organisations
        self.shared_document = shared_document
        self.version = version
        self.routes = routes
        self.services = services
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = max_header_bytes


class ServerRegistration(Record):
    """Registration of a backend server in the store.

    Parameters
    ----------
    name : str
        Unique id of this incarnation of the server.
    service, address, failure_domain : str
    concurrency : int
        Number of requests that can run at once.
    draining : bool
    started_at_ms : int
        Wall clock time at which the server started (ms), 0 if unknown.
    models : list of str
        Resident base models.
    adapters : dict of AdapterKey to int
        Versions of the adapters that were resident when the entry was written.
    software : str
        Version of the software that it runs, "" if it states none.
    """

    __slots__ = (
        "adapters",
        "address",
        "concurrency",
        "draining",
        "failure_domain",
        "models",
        "name",
        "service",
        "software",
        "started_at_ms",
    )

    def __init__(
        self,
        name,
        service,
        address,
        failure_domain,
        concurrency,
        draining,
        started_at_ms,
        models,
        adapters,
        software="",
    ):
        self.adapters = adapters
        self.software = software
        self.name = name
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.concurrency = concurrency
        self.draining = draining
        self.started_at_ms = started_at_ms
        self.models = models

    def software_version(self):
        """Return the `SoftwareVersion` of the backend server."""
        return SoftwareVersion(self.service, self.software)


class EngineState(Record):
    """State of an engine, as reported by the engine.

    Parameters
    ----------
    orders : int
        Number of orders accepted since the engine started.
    models : set of str
        Resident base models.
    adapters : dict of AdapterKey to int
        Version of each resident adapter.
    loading : dict of AdapterKey to int
        Version of each adapter that is being loaded.
    is_changing_weights : bool
        Whether the engine is loading or unloading the weights of a base model.
    started_at_ms : int or None
        Wall clock time at which the engine started (ms), None if it states none.
    """

    __slots__ = (
        "adapters",
        "is_changing_weights",
        "loading",
        "models",
        "orders",
        "started_at_ms",
    )

    def __init__(self, orders, models, adapters, loading, is_changing_weights, started_at_ms=None):
        self.started_at_ms = started_at_ms
        self.orders = orders
        self.models = models
        self.adapters = adapters
        self.loading = loading
        self.is_changing_weights = is_changing_weights


class PublishedVersion(Record):
    """The newest version of an adapter that an operator has published."""

    __slots__ = ("key", "version")

    def __init__(self, key, version):
        self.key = key
        self.version = version


class NodeRegistration(Record):
    """Registration of an entry node in the store.

    Parameters
    ----------
    name, failure_domain : str
    address : str
        ``ip:port`` for datagrams from other nodes.
    incarnation : int
        Increases with each start of the process.
    """

    __slots__ = ("address", "failure_domain", "incarnation", "name")

    def __init__(self, name, failure_domain, address, incarnation):
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.incarnation = incarnation


class OrderRight(Record):
    """The exclusive right of a node to send load and unload orders to a backend server.

    Parameters
    ----------
    server, node : str
    revision : int
        Store revision at which the right was acquired.
    era : int
        Era of the store in which it was acquired.
    """

    __slots__ = ("era", "node", "revision", "server")

    def __init__(self, server, node, revision, era=0):
        self.server = server
        self.node = node
        self.revision = revision
        self.era = era


class SoftwareVersion(HashedRecord):
    """A version of the software of a service's backend servers; hashable.

    Streams of two versions do not fit together, so a stream continues only at the version that has
    begun it.
    """

    __slots__ = ("service", "software")

    def __init__(self, service, software):
        self.service = service
        self.software = software
        self.hash_value = hash((service, software))

    def __eq__(self, other):
        return (
            type(other) is SoftwareVersion
            and self.service == other.service
            and self.software == other.software
        )

    # A class that defines `__eq__` does not inherit `__hash__`.
    __hash__ = HashedRecord.__hash__

    def __str__(self):
        return f"{self.service}@{self.software}"


# Stated for a stream whose origin is not known. No service has this name, so a node of an earlier
# build, which takes it for a version, does not let the stream go on either.
UNKNOWN_ORIGIN = SoftwareVersion("?", "")


class VersionStreams(Record):
    """Attempt ids (list of str) of streams that the `SoftwareVersion` `version` has begun."""

    __slots__ = ("attempts", "version")

    def __init__(self, version, attempts):
        self.version = version
        self.attempts = attempts


class StreamReport(Record):
    """Streams of the callers of `node`, as a list of `VersionStreams`."""

    __slots__ = ("node", "streams")

    def __init__(self, node, streams):
        self.node = node
        self.streams = streams
