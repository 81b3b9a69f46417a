"""Routing table by host and path prefix, and weighted choice of the service."""

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """Routes by host and path prefix; the longest prefix wins.

    Parameters
    ----------
    routes : list of ServiceRoute
    """

    __slots__ = ("hosts",)

    def __init__(self, routes=()):
        self.hosts = {}
        for route in routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def match(self, host, path):
        """Return the `ServiceRoute` with the longest prefix of `path`, or None.

        Prefixes end with a slash, so only the slashes of the path have to be tried.
        """
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = path.partition("?")[0].rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route, rng):
    """Return the name of a service of `route`, chosen at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights)[0].service
