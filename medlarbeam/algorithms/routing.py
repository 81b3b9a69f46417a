"""Choice of the backend server and model for an attempt."""

from abc import ABC, abstractmethod
from heapq import nlargest

from xxhash import xxh3_64_intdigest

from medlarbeam.classes.record import Record

__all__ = ["HashRouting", "NaiveRouting", "Route", "RoutingPolicy", "rank_servers"]

LOAD_COST = 1.0  # cost of a load, in units of one full round of a server's concurrency
SPILL_COST = 0.5  # cost of each place behind the first in the hash order
OTHER_DOMAIN_COST = 0.01  # decides between otherwise equal servers


class Route(Record):
    """A chosen backend server.

    Parameters
    ----------
    view : ServerView
    model : str
        One of the request's acceptable models, "" for a plain service.
    """

    __slots__ = ("model", "view")

    def __init__(self, view, model):
        self.view = view
        self.model = model


def rank_servers(key, names, count=None):
    """Return `names` in the order of their rendezvous hash with `key`, best first.

    All nodes that know the same names agree on the order, and a name that comes or goes moves no
    other pair of names. With `count`, only the first ones are returned.
    """

    def weigh(name):
        return xxh3_64_intdigest(f"{key}|{name}".encode())

    if count is not None:
        return nlargest(count, names, key=weigh)
    return sorted(names, key=weigh, reverse=True)


class RoutingPolicy(ABC):
    """Chooses where an attempt goes."""

    __slots__ = ()

    @abstractmethod
    def choose(self, request, models, views, sent, failure_domain):
        """Return a `Route`, or None if no server will do.

        Parameters
        ----------
        request : Request
        models : list of str
            Models of the request that may be served, best first; empty for a plain service.
        views : list of ServerView
            Live and reachable servers of the request's kind that were not tried yet.
        sent : dict of str to int
            Attempts by server name that this node has open there; corrects old load reports.
        failure_domain : str
            Failure domain of this node.
        """


class HashRouting(RoutingPolicy):
    """Sends each model to its place in a rendezvous hash, with spill by load.

    Notes
    -----
    The cost of a server for a model is its load in rounds of its concurrency, plus `LOAD_COST` and
    a cost for its place in the hash order where the model is not resident.
    """

    __slots__ = ()

    def choose(self, request, models, views, sent, failure_domain):
        """Return the cheapest `Route`; see `RoutingPolicy.choose`."""
        best = None
        best_cost = float("inf")
        for model in models or [""]:
            order = rank_servers(model or request.request_id, [v.server.name for v in views])
            place = {name: index for index, name in enumerate(order)}
            for view in views:
                cost = self._cost(view, model, place[view.server.name], sent, failure_domain)
                if cost < best_cost:
                    best, best_cost = Route(view, model), cost
        return best

    def _cost(self, view, model, place, sent, failure_domain):
        server = view.server
        open_runs = max(view.queued + view.running, sent.get(server.name, 0))
        cost = open_runs / server.concurrency + 1e-6 * place
        if model and model not in view.resident:
            cost += LOAD_COST + SPILL_COST * place
        if server.failure_domain != failure_domain:
            cost += OTHER_DOMAIN_COST
        return cost


class NaiveRouting(RoutingPolicy):
    """Sends each attempt to the server with the fewest requests, whatever it has loaded."""

    __slots__ = ()

    def choose(self, request, models, views, sent, failure_domain):
        """Return the least loaded `Route`; see `RoutingPolicy.choose`."""
        if not views:
            return None
        view = min(views, key=lambda v: (v.queued + v.running, v.server.name))
        return Route(view, models[0] if models else "")
