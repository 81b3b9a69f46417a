"""A violation as a table, and as a test case."""

from math import isinf

from medlarbeam.checking.events import find_event, play
from medlarbeam.checking.promises import find_breach
from medlarbeam.checking.world import START_S

__all__ = ["render_case", "render_table"]


def describe_beliefs(gateway, now):
    """Return what a gateway believes, and the age (s) of that."""
    rights = ",".join(
        f"{right.server}:{right.node}@{right.era}.{right.revision}"
        for right in gateway.fleet.rights.values()
    )
    age_s = now - gateway.rights.confirmed_at
    age = "none" if isinf(age_s) else f"{age_s:.2f}"
    version = gateway.fleet.config.version if gateway.fleet.config else 0
    return (
        f"{gateway.name}{' cut' * gateway.is_cut}{' frozen' * gateway.is_frozen}"
        f"{' mute' * gateway.is_mute}: "
        f"known {gateway.fleet.era}.{gateway.fleet.revision} lease age {age} "
        f"registered {gateway.rights.registered_revision} rights {rights or '-'} config {version}"
    )


def render_table(world, events):
    """Return the table of a trace from `world`, one line for each event.

    Times count from the initial state; a revision is written as ``era.revision``, and orders
    as ``node>server@fence``.
    """
    lines = ["  time  event                store   orders; beliefs of each node"]
    for text in events:
        before, world = world, play(world, find_event(text))
        sent = " ".join(sorted({f"{o.node}>{o.server}@{o.fence:#x}" for o in world.orders}))
        store = f"{world.store.era}.{world.store.revision}"
        lines.append(f"{world.now - START_S:6.2f}  {text:20} {store:7} {sent or '-'}")
        for gateway in world.gateways.values():
            lines.append(f"{'':30}{describe_beliefs(gateway, world.now)}")
        reason = find_breach(before, world)
        if reason:
            lines.append(f"{'':8}BROKEN {reason}")
        world.receive_orders()
        world.orders = []
    return "\n".join(lines)


def render_case(name, nodes, servers, violation):
    """Return the source of a row for the table of `checking/tests/trace_cases.py`."""
    events = "\n".join(f'            "{text}",' for text in violation.events)
    return (
        f"    TraceCase(\n"
        f'        "{name}",\n'
        f"        {nodes},\n"
        f"        {servers},\n"
        f"        [\n{events}\n        ],\n"
        f"    ),\n"
    )
