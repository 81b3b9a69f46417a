"""Routing of an attempt to a backend server and a model."""

from abc import ABC, abstractmethod
from heapq import nlargest

from xxhash import xxh3_64_intdigest

from medlarbeam.classes.record import Record

__all__ = ["HashRouting", "NaiveRouting", "Route", "RoutingPolicy", "rank_servers"]

LOAD_COST = 1.0  # of an adapter load, in units of a fully used concurrency of a server
HASH_POSITION_COST = 0.5  # for each position after the first in rendezvous hash order
CROSS_DOMAIN_COST = 0.01  # small, so that it only breaks ties between servers


class Route(Record):
    """A backend server and a model that were chosen for an attempt.

    Parameters
    ----------
    view : ServerView
    model : str
        One of the models that the request accepts; "" for a plain service.
    """

    __slots__ = ("model", "view")

    def __init__(self, view, model):
        self.view = view
        self.model = model


def rank_servers(key, names, count=None):
    """Return `names` by descending rendezvous hash score for `key`.

    All nodes that know the same names agree on the order. Adding or removing a name does not
    change the relative order of the others. With `count`, only the first `count` are returned.
    """

    def score(name):
        return xxh3_64_intdigest(f"{key}|{name}".encode())

    if count is not None:
        return nlargest(count, names, key=score)
    return sorted(names, key=score, reverse=True)


class RoutingPolicy(ABC):
    """Base class of policies that choose a server and a model for an attempt."""

    __slots__ = ()

    @abstractmethod
    def choose(self, request, models, views, open_attempts, failure_domain):
        """Return a `Route`, or None if no server is suitable.

        Parameters
        ----------
        request : Request
        models : list of str
            Models of the request that may be served, in order of preference; empty for a plain
            service.
        views : list of ServerView
            Live, reachable servers of the requested service that have not been tried yet.
        open_attempts : dict of str to int
            Number of open attempts of this node by server name; compensates for outdated load
            reports.
        failure_domain : str
            Failure domain of this node.
        """


class HashRouting(RoutingPolicy):
    """Routes each model by rendezvous hashing, and diverts to other servers under load.

    Notes
    -----
    The cost of a server for a model is the number of its requests divided by its concurrency. If
    the model is not resident, `LOAD_COST` is added, and `HASH_POSITION_COST` for each position
    after the first in hash order. A server in another failure domain costs `CROSS_DOMAIN_COST`
    more.
    """

    __slots__ = ()

    def choose(self, request, models, views, open_attempts, failure_domain):
        """Return the `Route` with the lowest cost; see `RoutingPolicy.choose`."""
        best = None
        best_cost = float("inf")
        for model in models or [""]:
            ranked = rank_servers(model or request.request_id, [v.server.name for v in views])
            position = {name: index for index, name in enumerate(ranked)}
            for view in views:
                cost = self._cost(
                    view, model, position[view.server.name], open_attempts, failure_domain
                )
                if cost < best_cost:
                    best, best_cost = Route(view, model), cost
        return best

    def _cost(self, view, model, position, open_attempts, failure_domain):
        server = view.server
        open_requests = max(view.queued + view.running, open_attempts.get(server.name, 0))
        cost = open_requests / server.concurrency + 1e-6 * position
        if model and model not in view.resident:
            cost += LOAD_COST + HASH_POSITION_COST * position
        if server.failure_domain != failure_domain:
            cost += CROSS_DOMAIN_COST
        return cost


class NaiveRouting(RoutingPolicy):
    """Naive policy: chooses the server with the fewest requests and ignores resident models."""

    __slots__ = ()

    def choose(self, request, models, views, open_attempts, failure_domain):
        """Return the `Route` to the least loaded server; see `RoutingPolicy.choose`."""
        if not views:
            return None
        view = min(views, key=lambda v: (v.queued + v.running, v.server.name))
        return Route(view, models[0] if models else "")
