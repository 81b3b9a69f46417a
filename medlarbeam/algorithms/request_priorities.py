"""Priorities of requests that have one by their organisation and one by their route."""

from abc import ABC, abstractmethod

__all__ = ["OrganisationPriorities", "RequestPriorities", "RoutePriorities", "build_priorities"]

PRIORITIES = 10  # that backend servers distinguish, 0 is the most urgent


class RequestPriorities(ABC):
    """Decides which priority a request has at backend servers."""

    __slots__ = ()

    @abstractmethod
    def find(self, organisation, route):
        """Return the priority of a request, 0 for the most urgent.

        Parameters
        ----------
        organisation : str
            "" for none.
        route : ServiceRoute
        """


class RoutePriorities(RequestPriorities):
    """Priorities under a configuration whose organisations have none."""

    __slots__ = ()

    def find(self, organisation, route):
        """Return the priority of the route."""
        return route.priority


class OrganisationPriorities(RequestPriorities):
    """Priorities of organisations, and those of routes among organisations of the same priority.

    Parameters
    ----------
    organisations : dict of str to int
        Priority by name.
    routes : list of ServiceRoute

    Attributes
    ----------
    ranks : dict
        Priority at backend servers by the priorities of organisation and route.
    """

    __slots__ = ("organisations", "ranks")

    def __init__(self, organisations, routes):
        self.organisations = organisations
        own = {route.priority for route in routes}
        pairs = {(first, second) for first in organisations.values() for second in own}
        pairs |= {(priority, priority) for priority in own}
        count = len(pairs)
        step = max(1.0, count / PRIORITIES)
        self.ranks = {pair: int(index / step) for index, pair in enumerate(sorted(pairs))}

    def find(self, organisation, route):
        """Return the rank of the request; without an organisation the route's priority decides."""
        priority = self.organisations.get(organisation, route.priority)
        return self.ranks[priority, route.priority]


def build_priorities(config):
    """Return the `RequestPriorities` of a `FleetConfig`."""
    known = config.organisations or []
    organisations = {o.name: o.priority for o in known if o.priority is not None}
    if not organisations:
        return RoutePriorities()
    return OrganisationPriorities(organisations, config.routes)
