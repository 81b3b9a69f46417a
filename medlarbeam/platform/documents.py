"""Decodes and encodes the JSON documents of the platform."""

from base64 import b64decode
from ipaddress import AddressValueError, IPv4Address
from math import inf

from orjson import JSONDecodeError, dumps, loads
from xxhash import xxh3_64_hexdigest

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.classes.fleet import (
    DEFAULT_MAX_HEADER_BYTES,
    AdapterKey,
    BaseModel,
    Engine,
    EngineState,
    FleetConfig,
    NodeRegistration,
    OrderRight,
    PublishedVersion,
    RouteKind,
    RouteTarget,
    ServerRegistration,
    Service,
    ServiceRoute,
    SoftwareVersion,
    StreamReport,
    VersionStreams,
)
from medlarbeam.classes.node_records import Quarantine, SettledEra
from medlarbeam.classes.organisations import Organisation, Quota
from medlarbeam.exceptions import FormatError

__all__ = [
    "CONFIG_KEY",
    "ERA_KEY",
    "NODE_PREFIX",
    "PUBLISHED_VERSION_PREFIX",
    "QUARANTINE_PREFIX",
    "RIGHT_PREFIX",
    "SERVER_PREFIX",
    "SOFTWARE_PREFIX",
    "STREAMS_PREFIX",
    "decode_config",
    "decode_engine_state",
    "decode_entry",
    "decode_object",
    "encode_node",
    "encode_quarantine",
    "encode_right",
    "encode_settled_era",
    "encode_software_version",
    "encode_stream_report",
    "read_field",
    "software_version_key",
]

CONFIG_KEY = "op/config"
PUBLISHED_VERSION_PREFIX = "op/version/"
SERVER_PREFIX = "servers/"
ERA_KEY = "medlarbeam/era"
NODE_PREFIX = "medlarbeam/node/"
RIGHT_PREFIX = "medlarbeam/right/"
QUARANTINE_PREFIX = "medlarbeam/quarantine/"
SOFTWARE_PREFIX = "medlarbeam/software/"
STREAMS_PREFIX = "medlarbeam/streams/"

KEY_DIGESTS = "keyDigests"  # in the configuration as nodes pass it on

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
TOKEN_UNIT = "token_stream"
REQUEST_UNIT = "requests"  # if an organisation names no unit
DEFAULT_MAX_BODY_BYTES = 1 << 20  # if the configuration sets no limit
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 1_000_000
MAX_TIME_MS = 1 << 53  # of a start, the largest integer that every JSON encoder keeps
MAX_VERSION_DIGITS = 15
MAX_PORT = 65535
# What a decoder raises for a document whose values have another type or range than it expects.
DOCUMENT_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def read_field(document, name, kind, default=None):
    """Return the field `name` of a document.

    Parameters
    ----------
    document : dict
    name : str
    kind : type
        Required type; an int is accepted and converted if it is float.
    default : object, optional
        Value of a missing field; None makes the field mandatory.

    Raises
    ------
    FormatError
        If the field is missing and has no default, or is not of type `kind`, or `document` is not
        a dict.
    """
    if type(document) is not dict:
        raise FormatError(f"expected a JSON object with field {name!r}")
    value = document.get(name, default)
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind:
        raise FormatError(f"field {name!r} is missing or not of type {kind.__name__}")
    return value


def decode_object(data):
    """Return the JSON object in `data` (bytes or str); raise FormatError if it is not one."""
    try:
        document = loads(data)
    except JSONDecodeError as error:
        raise FormatError(f"invalid JSON: {error}") from error
    if type(document) is not dict:
        raise FormatError("expected a JSON object")
    return document


def decode_entry(key, text, revision):
    """Decode a store entry.

    Parameters
    ----------
    key : str
    text : str
        Value of the entry in base64.
    revision : int
        Store revision at which the entry was written.

    Returns
    -------
    Record or None
        None if the gateway does not use this key.

    Raises
    ------
    FormatError
        If the value is invalid.
    """
    for prefix, decode in DECODERS.items():
        if key.startswith(prefix):
            try:
                data = b64decode(text, validate=True)
            except ValueError as error:
                raise FormatError(f"invalid base64 value: {error}") from error
            try:
                return decode(key.removeprefix(prefix), decode_object(data), revision)
            except DOCUMENT_ERRORS as error:
                raise FormatError(f"{type(error).__name__} in the document") from error
    return None


def read_whole_number(document, name, minimum, maximum, default=None):
    """Return an integer field that must be within a range; see `read_field`."""
    value = read_field(document, name, int, default)
    if not minimum <= value <= maximum:
        raise FormatError(f"field {name!r} is not within {minimum} to {maximum}")
    return value


def read_texts(document, name):
    """Return a list of strings, empty if the field is missing; see `read_field`."""
    texts = read_field(document, name, list, [])
    if not all(type(text) is str for text in texts):
        raise FormatError(f"field {name!r} is not a list of strings")
    return texts


def read_address(document, name):
    """Return a field with an IPv4 address and a port that a socket can take, as ``ip:port``."""
    address = read_field(document, name, str)
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise FormatError(f"field {name!r} has no IPv4 address") from error
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise FormatError(f"field {name!r} has no port from 1 to {MAX_PORT}")
    return address


def decode_config(name, document, revision):
    """Decode the configuration document into a `FleetConfig`."""
    limits = read_field(document, "limits", dict, {})
    organisations = None
    if "tenants" in document:
        organisations = decode_organisations(read_field(document, "tenants", list))
    services = [decode_service(s) for s in read_field(document, "services", list)]
    return FleetConfig(
        read_field(document, "version", int),
        [decode_route(r) for r in read_field(document, "routes", list)],
        {service.name: service for service in services},
        read_field(limits, "maxBodyBytes", int, DEFAULT_MAX_BODY_BYTES),
        read_field(limits, "maxHeaderBytes", int, DEFAULT_MAX_HEADER_BYTES),
        organisations,
        encode_shared_config(document, organisations),
    )


def encode_shared_config(document, organisations):
    """Encode a configuration for other nodes, with digests in place of keys."""
    if organisations is None:
        return dumps(document)
    shared = [
        {**{n: v for n, v in item.items() if n != "apiKeys"}, KEY_DIGESTS: organisation.key_digests}
        for item, organisation in zip(document["tenants"], organisations, strict=True)
    ]
    return dumps({**document, "tenants": shared})


def decode_organisations(documents):
    """Decode the organisations of a configuration into a list of `Organisation`."""
    organisations = []
    for number, document in enumerate(documents):
        name = read_field(document, "name", str)
        if not name.isprintable() or not name.strip():
            raise FormatError(f"the name of organisation {number} cannot be sent in a header")
        digests = read_texts(document, KEY_DIGESTS)
        digests += [digest_key(key) for key in read_texts(document, "apiKeys") if key]
        priority = read_field(document, "priority", int) if "priority" in document else None
        try:
            quota, problem = decode_quota(document), ""
        except FormatError as error:
            quota, problem = None, str(error)
        organisations.append(Organisation(name, digests, priority, quota, problem))
    return organisations


def decode_quota(document):
    """Decode the `Quota` of an organisation; None if it has no limit."""
    rate = read_field(document, "ratePerS", float, 0)
    burst = read_field(document, "burst", float, 0)
    plain_tokens = read_field(document, "plainTokens", float, 0)
    unit = document.get("unit", REQUEST_UNIT)
    for name, value in (("ratePerS", rate), ("burst", burst), ("plainTokens", plain_tokens)):
        if not 0.0 <= value < inf:
            raise FormatError(f"field {name!r} is not a number from 0")
    if unit not in (TOKEN_UNIT, REQUEST_UNIT):
        raise FormatError(f"the unit of the quota is not {TOKEN_UNIT!r} or {REQUEST_UNIT!r}")
    if not rate:
        return None
    return Quota(rate, burst, plain_tokens if unit == TOKEN_UNIT else None)


def decode_route(document):
    """Decode a route of the configuration into a `ServiceRoute`."""
    kind = ROUTE_KINDS.get(read_field(document, "routeKind", str))
    if kind is None:
        raise FormatError(f"unknown route kind {document['routeKind']!r}")
    timeout_s = read_field(document, "timeoutMs", float) / 1000.0
    targets = [
        RouteTarget(read_field(t, "service", str), read_field(t, "weight", float))
        for t in read_field(document, "split", list, [])
    ]
    if targets and (min(t.weight for t in targets) < 0.0 or not any(t.weight for t in targets)):
        raise FormatError("the weights of a split are negative, or all are 0")
    if not targets:
        targets = [RouteTarget(read_field(document, "service", str), 1.0)]
    return ServiceRoute(
        read_field(document, "name", str),
        read_field(document, "host", str),
        read_field(document, "pathPrefix", str),
        kind,
        targets,
        timeout_s,
        read_field(document, "goalLatencyMs", float, document["timeoutMs"]) / 1000.0,
        read_field(document, "gapAimMs", float, 0) / 1000.0,
        read_field(document, "attempts", int, 1),
        read_field(document, "priority", int, 5),
        read_field(document, "resumable", bool, False),
        read_field(document, "public", bool, False),
    )


def decode_service(document):
    """Decode a service of the configuration into a `Service`."""
    name = read_field(document, "name", str)
    engine = document.get("engine")
    path = document.get("healthPath")
    is_path = type(path) is str and path.startswith("/") and path.isascii() and path.isprintable()
    # Without a usable path the servers are only probed for a connection.
    return Service(name, decode_engine(engine) if engine else None, path if is_path else "")


def decode_engine(document):
    """Decode the engine of a service into an `Engine`."""
    models = [
        BaseModel(
            read_field(m, "name", str),
            read_field(m, "weightsMb", float),
            read_field(m, "loadTimeS", float, 1.0),
            read_field(m, "adapterSizeMb", float, 0),
        )
        for m in read_field(document, "models", list)
    ]
    return Engine(
        read_field(document, "slots", int, 1),
        read_field(document, "weightsMb", float, 0),
        read_field(document, "adapterCapacity", int, 0),
        read_field(document, "loadsPerS", float, 1.0),
        {model.name: model for model in models},
    )


def decode_server(name, document, revision):
    """Decode the registration of a backend server into a `ServerRegistration`.

    An entry without one of the fields that each server writes is of another writer, and names no
    server to use. `born` may be missing.
    """
    read_field(document, "coldRemainingMs", float)
    read_field(document, "seq", int)
    state = DRAINING_BY_STATE.get(read_field(document, "state", str))
    if state is None:
        raise FormatError(f"unknown server state {document['state']!r}")
    if not (name.isascii() and name.isprintable()):
        raise FormatError("the id of a server is no printable ASCII")
    return ServerRegistration(
        name,
        read_field(document, "service", str),
        read_address(document, "address"),
        read_field(document, "zone", str),
        read_whole_number(document, "slots", 1, MAX_SLOTS),
        state,
        read_whole_number(document, "born", 0, MAX_TIME_MS, 0),
        [read_field(m, "name", str) for m in read_field(document, "models", list, [])],
        decode_adapters(read_field(document, "models", list, [])),
        read_field(document, "version", str),
    )


def decode_published_version(name, document, revision):
    """Decode a published version into a `PublishedVersion`; None for a base model."""
    if "adapter" not in document:
        return None
    key = AdapterKey(read_field(document, "model", str), read_field(document, "adapter", str))
    return PublishedVersion(key, read_field(document, "version", int))


def decode_node(name, document, revision):
    """Decode the registration of an entry node into a `NodeRegistration`."""
    return NodeRegistration(
        name,
        read_field(document, "failure_domain", str),
        read_address(document, "address"),
        read_field(document, "incarnation", int),
    )


def decode_right(name, document, revision):
    """Decode an `OrderRight`; `name` is the backend server."""
    node = read_field(document, "node", str)
    return OrderRight(name, node, revision, read_field(document, "era", int, 0))


def decode_settled_era(name, document, revision):
    """Decode a `SettledEra`."""
    return SettledEra(read_field(document, "era", int))


def decode_quarantine(name, document, revision):
    """Decode a `Quarantine`; `name` is the fingerprint."""
    return Quarantine(name, read_field(document, "node", str))


def decode_software_version(name, document, revision):
    """Decode a `SoftwareVersion`."""
    return SoftwareVersion(
        read_field(document, "service", str), read_field(document, "software", str)
    )


def decode_stream_report(name, document, revision):
    """Decode the `StreamReport` of the node `name`."""
    streams = []
    for item in read_field(document, "streams", list):
        version = decode_software_version("", item, revision)
        streams.append(VersionStreams(version, read_texts(item, "attempts")))
    return StreamReport(name, streams)


DECODERS = {
    CONFIG_KEY: decode_config,
    PUBLISHED_VERSION_PREFIX: decode_published_version,
    SERVER_PREFIX: decode_server,
    NODE_PREFIX: decode_node,
    RIGHT_PREFIX: decode_right,
    QUARANTINE_PREFIX: decode_quarantine,
    ERA_KEY: decode_settled_era,
    SOFTWARE_PREFIX: decode_software_version,
    STREAMS_PREFIX: decode_stream_report,
}


def encode_node(node):
    """Encode a `NodeRegistration` as the registration of an entry node."""
    return dumps(
        {
            "failure_domain": node.failure_domain,
            "address": node.address,
            "incarnation": node.incarnation,
        }
    )


def encode_right(node, era):
    """Encode the holder of an order right, "" for none, and the store's era."""
    return dumps({"node": node, "era": era})


def encode_settled_era(era):
    """Encode a `SettledEra`."""
    return dumps({"era": era})


def encode_quarantine(node):
    """Encode the node that published a quarantine."""
    return dumps({"node": node})


def software_version_key(version):
    """Return the key of a `SoftwareVersion`: a digest, since its names may be long."""
    text = f"{version.service}\0{version.software}"
    return SOFTWARE_PREFIX + xxh3_64_hexdigest(text.encode())


def encode_software_version(version):
    """Encode a `SoftwareVersion`."""
    return dumps({"service": version.service, "software": version.software})


def encode_stream_report(report):
    """Encode a `StreamReport`; its node is in the key."""
    streams = [
        {
            "service": item.version.service,
            "software": item.version.software,
            "attempts": item.attempts,
        }
        for item in report.streams
    ]
    return dumps({"streams": streams})


def split_version(text):
    """Split ``NAME@VERSION`` into ``(name, version)``; a missing or invalid version is 0."""
    name, _, version = text.partition("@")
    if not (version.isascii() and version.isdigit()):
        return name, 0
    if len(version) > MAX_VERSION_DIGITS:
        raise FormatError(f"a version has more than {MAX_VERSION_DIGITS} digits")
    return name, int(version)


def decode_adapters(models):
    """Return the versions by `AdapterKey` of the adapters in a backend server's model list."""
    adapters = {}
    for model in models:
        for text in read_texts(model, "adapters"):
            name, version = split_version(text)
            adapters[AdapterKey(read_field(model, "name", str), name)] = version
    return adapters


def decode_start(document):
    """Return the time (ms) at which the server of a report started, None if it states none."""
    if "born" not in document:
        return None
    return read_whole_number(document, "born", 0, MAX_TIME_MS)


def decode_engine_state(document):
    """Decode the report of an engine into an `EngineState`."""
    models = read_field(document, "models", list)
    loading = {}
    for text in read_texts(document, "coming"):
        model, _, adapter = text.partition("/")
        name, version = split_version(adapter)
        loading[AdapterKey(model, name)] = version
    return EngineState(
        read_field(document, "seq", int),
        {read_field(m, "name", str) for m in models},
        decode_adapters(models),
        loading,
        read_field(document, "busy", bool, False),
        decode_start(document),
    )
