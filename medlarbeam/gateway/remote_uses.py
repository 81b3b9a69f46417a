"""Use of one backend server by the other nodes, as they report it to the holder of its right."""

__all__ = ["USE_TTL_S", "RemoteUses"]

USE_TTL_S = 1.5  # a use report expires if it is not renewed within this time


class _Use:
    __slots__ = ("at", "keys", "report")

    def __init__(self, report, keys, now):
        self.at = now
        self.keys = keys
        self.report = report


class RemoteUses:
    """The last `UseReport` of each other node, with an index of the adapters in use.

    Attributes
    ----------
    uses : dict
        Last report by name of the node.
    nodes_by_key : dict of AdapterKey to set of str
        Names of the nodes that use an adapter. The eviction asks for each adapter of a backend
        server, and there may be dozens of nodes.
    """

    __slots__ = ("nodes_by_key", "uses")

    def __init__(self):
        self.uses = {}
        self.nodes_by_key = {}

    def apply_report(self, report, now):
        """Apply a `UseReport`; return the keys that its node did not use before."""
        known = self.uses.get(report.node)
        if known is not None and known.report.serial > report.serial:
            if now - known.at < USE_TTL_S:
                return set()
        keys = set(report.keys)
        known_keys = known.keys if known is not None else set()
        for key in keys - known_keys:
            self.nodes_by_key.setdefault(key, set()).add(report.node)
        for key in known_keys - keys:
            nodes = self.nodes_by_key[key]
            nodes.discard(report.node)
            if not nodes:
                del self.nodes_by_key[key]
        self.uses[report.node] = _Use(report, keys, now)
        return keys - known_keys

    def is_used(self, key, now):
        """Return whether runs of other nodes use `key`."""
        nodes = self.nodes_by_key.get(key, ())
        return any(now - self.uses[node].at < USE_TTL_S for node in nodes)

    def count_runs(self, now):
        """Return the number of runs of other nodes on the backend server."""
        return sum(u.report.running for u in self.uses.values() if now - u.at < USE_TTL_S)

    def count_prompt_tokens(self, window_s, now):
        """Return the prompt tokens of other nodes within the last `window_s`, as last reported."""
        return sum(u.report.prompt_tokens for u in self.uses.values() if now - u.at < window_s)
