"""Encodes records of the fleet as the documents that operators and workers write to the store."""

from orjson import dumps

from medlarbeam.classes.fleet import RouteKind

__all__ = ["encode_config", "encode_server"]

ROUTE_KINDS = {
    RouteKind.IDEMPOTENT: "idempotent",
    RouteKind.NON_IDEMPOTENT: "non_idempotent",
    RouteKind.STREAM: "streaming",
}


def encode_config(config):
    """Return a `FleetConfig` without organisations as the configuration document."""
    services = [_build_service(service) for service in config.services.values()]
    routes = [_build_route(route) for route in config.routes]
    limits = {"maxBodyBytes": config.max_body_bytes, "maxHeaderBytes": config.max_header_bytes}
    document = {"version": config.version, "routes": routes, "services": services}
    return dumps(document | {"limits": limits})


def _build_service(service):
    engine = service.engine
    if engine is None:
        return {"name": service.name}
    models = [
        {
            "name": model.name,
            "weightsMb": model.weights_mb,
            "loadTimeS": model.load_s,
            "adapterSizeMb": model.adapter_mb,
        }
        for model in engine.models.values()
    ]
    document = {
        "slots": engine.concurrency,
        "weightsMb": engine.memory_mb,
        "adapterCapacity": engine.adapter_capacity,
        "loadsPerS": engine.loads_per_s,
        "models": models,
    }
    return {"name": service.name, "engine": document}


def _build_route(route):
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.prefix,
        "routeKind": ROUTE_KINDS[route.kind],
        "split": [{"service": t.service, "weight": t.weight} for t in route.targets],
        "timeoutMs": route.timeout_s * 1000.0,
        "goalLatencyMs": route.latency_goal_s * 1000.0,
        "gapAimMs": route.gap_goal_s * 1000.0,
        "attempts": route.attempts,
        "priority": route.priority,
        "resumable": route.resumable,
    }


def encode_server(entry, address):
    """Return a `ServerRegistration` of a worker at `address` as the worker's document."""
    adapters = {name: [] for name in entry.models}
    for key, version in entry.adapters.items():
        adapters[key.model].append(f"{key.adapter}@{version}")
    return dumps(
        {
            "service": entry.service,
            "address": address,
            "zone": entry.failure_domain,
            "version": entry.software or "v1",
            "slots": entry.concurrency,
            "coldRemainingMs": 0,
            "seq": 1,
            "state": "ready",
            "born": entry.started_at_ms,
            "models": [{"name": name, "adapters": names} for name, names in adapters.items()],
        }
    )
