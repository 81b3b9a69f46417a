"""When a popular adapter gets a copy in the failure domain of this node."""

from math import exp

__all__ = ["ReplicaPolicy"]

COUNT_WINDOW_S = 20.0  # over which requests are counted, with weights that decay
# Requests of the window that pay for a load: bytes between failure domains are priced, and in the
# price lists of the days ten streams that stay near are worth one adapter from the weight store.
REPLICA_THRESHOLD = 10.0
MIN_LOCAL_REQUESTS = (
    1.5  # weight at this node: one request alone says little where many nodes share a domain
)
MAX_TRACKED_ADAPTERS = 5_000  # adapters; beyond this the counts begin anew
MIN_SPARE = 2  # places that the engine could give at once; a copy must not displace what is used


class _Count:
    __slots__ = ("at", "weight")

    def __init__(self, now):
        self.weight = 0.0
        self.at = now


class ReplicaPolicy:
    """Counts the requests that leave the failure domain, by adapter.

    Parameters
    ----------
    node : Gateway

    Notes
    -----
    A copy also keeps the adapter in service for callers of a failure domain that is cut off.
    """

    __slots__ = ("counts", "node")

    def __init__(self, node):
        self.node = node
        self.counts = {}

    def count_remote(self, key, now):
        """Count a request that is sent to another failure domain; return if a copy pays."""
        if len(self.counts) >= MAX_TRACKED_ADAPTERS:
            self.counts.clear()
        count = self.counts.setdefault(key, _Count(now))
        count.weight = count.weight * exp((count.at - now) / COUNT_WINDOW_S) + 1.0
        count.at = now
        local_nodes = max(1, self._count_local_nodes())
        return (
            count.weight >= MIN_LOCAL_REQUESTS and count.weight * local_nodes >= REPLICA_THRESHOLD
        )

    def _count_local_nodes(self):
        domain = self.node.settings.failure_domain
        return sum(1 for n in self.node.book.nodes.values() if n.failure_domain == domain)

    def find_server(self, homes, key, now):
        """Return the name of the engine that should get a copy, or "".

        Parameters
        ----------
        homes : list of ServerEntry
            Homes of the adapter, the first first.
        key : AdapterKey
        now : float
        """
        node = self.node
        for entry in homes:
            if entry.failure_domain != node.settings.failure_domain:
                continue
            if node.holdings.find(entry.name, key) is not None:
                return ""  # it is there already, or on its way
            if node.holdings.find_spare(entry.name) >= MIN_SPARE and node.health.may_use(
                entry.name, now
            ):
                return entry.name
        return ""
