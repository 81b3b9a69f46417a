"""Priorities of organisations go before those of routes, which decide among equals."""

import pytest

from medlarbeam.algorithms.request_priorities import build_priorities
from medlarbeam.classes.fleet import RouteKind
from medlarbeam.classes.organisations import Organisation
from medlarbeam.gateway.tests.fleet_samples import make_config, make_route

ROUTES = [
    make_route(f"r{priority}", RouteKind.IDEMPOTENT, "ledger", priority=priority)
    for priority in (0, 2, 7)
]
URGENT, NORMAL, BULK = ROUTES
# Priorities of organisations, and requests from the most urgent to the least.
ORDERS = {
    "route-decides-without-organisations": ({}, [("", URGENT), ("", NORMAL), ("", BULK)]),
    "route-decides-within-an-organisation": (
        {"a": 1, "b": 1},
        [("a", URGENT), ("b", NORMAL), ("a", BULK)],
    ),
    "organisation-goes-first": (
        {"a": 0, "b": 3},
        [("a", URGENT), ("a", BULK), ("b", URGENT), ("b", BULK)],
    ),
    "one-without-priority-has-that-of-its-route": (
        {"a": 1, "b": None},
        [("b", URGENT), ("a", URGENT), ("a", BULK), ("b", NORMAL), ("b", BULK)],
    ),
}


@pytest.mark.parametrize(("priorities", "order"), ORDERS.values(), ids=ORDERS)
def test_requests_are_ordered(priorities, order):
    config = make_config(1, ROUTES)
    config.organisations = [Organisation(n, [], priority) for n, priority in priorities.items()]
    found = [build_priorities(config).find(name, route) for name, route in order]
    assert found == sorted(set(found))


def test_priorities_stay_in_the_range_of_backend_servers():
    config = make_config(1, ROUTES)
    config.organisations = [Organisation(f"o{n}", [], n) for n in range(30)]
    priorities = build_priorities(config)
    found = {priorities.find(o.name, route) for o in config.organisations for route in ROUTES}
    assert found == set(range(10))
