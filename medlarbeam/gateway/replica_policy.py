"""Policy for replicas of popular adapters in the failure domain of this node."""

from math import exp

__all__ = ["ReplicaPolicy"]

COUNT_WINDOW_S = 20.0  # time constant of the exponential decay of request counts
# Requests in the window that justify a load. Traffic between failure domains is priced: in the
# price lists of the test days, ten local streams save what one load from the weight store costs.
REPLICA_THRESHOLD = 10.0
# Decayed count at this node: a single request is no evidence where many nodes share a domain.
MIN_LOCAL_REQUESTS = 1.5
MAX_TRACKED_ADAPTERS = 5_000  # the counts are cleared beyond this
MIN_SPARE = 2  # free or evictable slots; a replica must not evict adapters in use


class _Count:
    __slots__ = ("at", "weight")

    def __init__(self, now):
        self.weight = 0.0
        self.at = now


class ReplicaPolicy:
    """Counts the requests sent to other failure domains, by adapter.

    Parameters
    ----------
    node : Gateway

    Notes
    -----
    A replica also keeps the adapter available in a failure domain during a network partition.
    """

    __slots__ = ("counts", "node")

    def __init__(self, node):
        self.node = node
        self.counts = {}

    def count_remote(self, key, now):
        """Count a request sent to another failure domain; return whether a replica pays off."""
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
        return sum(1 for n in self.node.fleet.nodes.values() if n.failure_domain == domain)

    def find_server(self, preferred, key, now):
        """Return the name of the local backend server that should load a replica, or "".

        Parameters
        ----------
        preferred : list of ServerRegistration
            Preferred servers of the adapter in hash order.
        key : AdapterKey
        now : float
        """
        node = self.node
        for entry in preferred:
            if entry.failure_domain != node.settings.failure_domain:
                continue
            if node.holdings.find(entry.name, key) is not None:
                return ""  # already loaded or in transit
            if node.holdings.find_spare(entry.name) >= MIN_SPARE and node.health.may_use(
                entry.name, now
            ):
                return entry.name
        return ""
