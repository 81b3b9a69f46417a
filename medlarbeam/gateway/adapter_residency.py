"""An adapter on a backend server, and requests that wait for one."""

from medlarbeam.algorithms.eviction import AdapterUsage

__all__ = ["AdapterResidency", "LoadDemand"]


class AdapterResidency:
    """An adapter that a backend server holds, loads or unloads.

    Attributes
    ----------
    state : str
        State of the chart ``fleet_residency``.
    version : int
        0 if unknown.
    ready_at, load_s : float
        Expected time (s) at which the load ends, and its duration (s).
    is_warm : bool
        Whether the engine held it recently, so that it loads without the weight store.
    is_replacement : bool
        Whether the load also has to wait for runs of an older version.
    refusals : int
        Number of requests that found a replacement not loaded at `ready_at`.
    accepted_at : float
        Time (s) at which the load order was accepted.
    usage : AdapterUsage
        Usage score for the eviction policy.
    is_fresh : bool
        Whether no request has used it yet.
    """

    __slots__ = (
        "accepted_at",
        "is_fresh",
        "is_replacement",
        "is_warm",
        "key",
        "load_s",
        "ready_at",
        "refusals",
        "state",
        "usage",
        "version",
    )

    def __init__(self, key, state, version, ready_at, now):
        self.key = key
        self.state = state
        self.version = version
        self.ready_at = ready_at
        self.load_s = 0.0
        self.is_warm = False
        self.is_replacement = False
        self.refusals = 0
        self.accepted_at = now
        self.usage = AdapterUsage(str(key), 1.0, now)
        self.is_fresh = True


class LoadDemand:
    """Requests that wait for an adapter to be loaded.

    Attributes
    ----------
    nodes : set of str
        Names of the nodes whose requests wait.
    priority : int
        Priority of the most urgent request; lower is more urgent.
    due : float
        Latest time (s) at which a load order still meets the latency goal of a request.
    requested_at : float
    """

    __slots__ = ("due", "key", "nodes", "priority", "requested_at")

    def __init__(self, key, priority, due, now):
        self.nodes = set()
        self.key = key
        self.priority = priority
        self.due = due
        self.requested_at = now

    def sort_key(self, now):
        """Return the sort key: demands that can be on time first, then by priority and due time."""
        return (self.due < now, self.priority, self.due)
