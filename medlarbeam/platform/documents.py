"""Documents of the platform, decoded into the project's types."""

from base64 import b64decode

from orjson import JSONDecodeError, dumps, loads

from medlarbeam.classes.fleet import (
    AdapterKey,
    AdapterRelease,
    BaseModel,
    Engine,
    EngineState,
    FleetConfig,
    FleetNode,
    OrderRight,
    RouteKind,
    RouteTarget,
    ServerEntry,
    Service,
    ServiceRoute,
)
from medlarbeam.exceptions import FormatError

__all__ = [
    "CONFIG_KEY",
    "NODE_PREFIX",
    "RELEASE_PREFIX",
    "RIGHT_PREFIX",
    "SERVER_PREFIX",
    "encode_node",
    "encode_right",
    "read_engine_state",
    "read_object",
    "read_value",
]

CONFIG_KEY = "op/config"
RELEASE_PREFIX = "op/version/"
SERVER_PREFIX = "servers/"
NODE_PREFIX = "medlarbeam/node/"
RIGHT_PREFIX = "medlarbeam/right/"

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
DEFAULT_BODY_BYTES = 1 << 20  # where a configuration states no limit
STATES = {"ready": False, "draining": True}


def take(document, name, kind, default=None):
    """Return the field `name` of a document.

    Raises
    ------
    FormatError
        If it is missing without a default, or not of `kind`, or `document` is no object.
    """
    if type(document) is not dict:
        raise FormatError(f"an object with {name!r} was expected")
    value = document.get(name, default)
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind:
        raise FormatError(f"field {name!r} is missing or not of type {kind.__name__}")
    return value


def read_object(data):
    """Return the JSON object in `data` (bytes or str); raise FormatError if it is none."""
    try:
        document = loads(data)
    except JSONDecodeError as error:
        raise FormatError(f"not JSON: {error}") from error
    if type(document) is not dict:
        raise FormatError("not a JSON object")
    return document


def read_value(key, text, revision):
    """Return the value of an entry of the store, None for a key that is not used here.

    Parameters
    ----------
    key, text : str
        The text is in base64.
    revision : int

    Raises
    ------
    FormatError
        If the value cannot be used.
    """
    for prefix, reader in READERS.items():
        if key.startswith(prefix):
            try:
                data = b64decode(text, validate=True)
            except ValueError as error:
                raise FormatError(f"value is not base64: {error}") from error
            return reader(key.removeprefix(prefix), read_object(data), revision)
    return None


def read_config(name, document, revision):
    """Return the `FleetConfig` of a configuration."""
    limits = take(document, "limits", dict, {})
    services = [read_service(s) for s in take(document, "services", list)]
    return FleetConfig(
        take(document, "version", int),
        [read_route(r) for r in take(document, "routes", list)],
        {service.name: service for service in services},
        take(limits, "maxBodyBytes", int, DEFAULT_BODY_BYTES),
    )


def read_route(document):
    """Return the `ServiceRoute` of a route."""
    kind = ROUTE_KINDS.get(take(document, "routeKind", str))
    if kind is None:
        raise FormatError(f"unknown kind of route {document['routeKind']!r}")
    timeout_s = take(document, "timeoutMs", float) / 1000.0
    targets = [
        RouteTarget(take(t, "service", str), take(t, "weight", float))
        for t in take(document, "split", list, [])
    ]
    if not targets:
        targets = [RouteTarget(take(document, "service", str), 1.0)]
    return ServiceRoute(
        take(document, "name", str),
        take(document, "host", str),
        take(document, "pathPrefix", str),
        kind,
        targets,
        timeout_s,
        take(document, "goalLatencyMs", float, document["timeoutMs"]) / 1000.0,
        take(document, "gapAimMs", float, 0) / 1000.0,
        take(document, "attempts", int, 1),
        take(document, "priority", int, 5),
        take(document, "resumable", bool, False),
    )


def read_service(document):
    """Return the `Service` of a service."""
    engine = document.get("engine")
    return Service(
        take(document, "name", str),
        read_engine(engine) if engine else None,
    )


def read_engine(document):
    """Return the `Engine` of a service's engine."""
    models = [
        BaseModel(
            take(m, "name", str),
            take(m, "weightsMb", float),
            take(m, "loadTimeS", float, 1.0),
            take(m, "adapterSizeMb", float, 0),
        )
        for m in take(document, "models", list)
    ]
    return Engine(
        take(document, "slots", int, 1),
        take(document, "weightsMb", float, 0),
        take(document, "adapterCapacity", int, 0),
        take(document, "loadsPerS", float, 1.0),
        {model.name: model for model in models},
    )


def read_server(name, document, revision):
    """Return the `ServerEntry` of a worker's entry."""
    state = STATES.get(take(document, "state", str))
    if state is None:
        raise FormatError(f"unknown state {document['state']!r}")
    address = take(document, "address", str)
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise FormatError(f"address {address!r} is not ip:port")
    slots = take(document, "slots", int)
    return ServerEntry(
        name,
        take(document, "service", str),
        address,
        take(document, "zone", str),
        slots,
        state,
        take(document, "born", int, 0),
        [take(m, "name", str) for m in take(document, "models", list, [])],
        read_adapters(take(document, "models", list, [])),
    )


def read_release(name, document, revision):
    """Return the `AdapterRelease` of a named version; None for the weights of a base model."""
    if "adapter" not in document:
        return None
    key = AdapterKey(take(document, "model", str), take(document, "adapter", str))
    return AdapterRelease(key, take(document, "version", int))


def read_node(name, document, revision):
    """Return the `FleetNode` of a registration."""
    return FleetNode(
        name,
        take(document, "failure_domain", str),
        take(document, "address", str),
        take(document, "incarnation", int),
    )


def read_right(name, document, revision):
    """Return the `OrderRight` of a right."""
    return OrderRight(name, take(document, "node", str), revision)


READERS = {
    CONFIG_KEY: read_config,
    RELEASE_PREFIX: read_release,
    SERVER_PREFIX: read_server,
    NODE_PREFIX: read_node,
    RIGHT_PREFIX: read_right,
}


def encode_node(node):
    """Return the bytes of a `FleetNode`'s registration."""
    return dumps(
        {
            "failure_domain": node.failure_domain,
            "address": node.address,
            "incarnation": node.incarnation,
        }
    )


def encode_right(node):
    """Return the bytes of a right of the node with this name, "" for nobody."""
    return dumps({"node": node})


def split_version(text):
    """Return ``(name, version)`` of ``NAME@VERSION``, version 0 where there is none."""
    name, _, version = text.partition("@")
    return name, int(version) if version.isdigit() else 0


def read_adapters(models):
    """Return the version by `AdapterKey` of the adapters in a worker's list of models."""
    adapters = {}
    for model in models:
        for text in take(model, "adapters", list, []):
            name, version = split_version(text)
            adapters[AdapterKey(take(model, "name", str), name)] = version
    return adapters


def read_engine_state(document):
    """Return the `EngineState` of a worker's report."""
    models = take(document, "models", list)
    coming = {}
    for text in take(document, "coming", list, []):
        model, _, adapter = text.partition("/")
        name, version = split_version(adapter)
        coming[AdapterKey(model, name)] = version
    return EngineState(
        take(document, "seq", int),
        {take(m, "name", str) for m in models},
        read_adapters(models),
        coming,
        take(document, "busy", bool, False),
    )
