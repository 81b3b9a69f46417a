"""Use of one backend server by the other nodes, as they report it to the holder of its right."""

from collections import deque

__all__ = ["USE_TTL_S", "RemoteUses"]

USE_TTL_S = 1.5  # a use report expires if it is not renewed within this time


class _Use:
    __slots__ = ("at", "is_counted", "keys", "report")

    def __init__(self, report, keys, now):
        self.at = now
        self.is_counted = False
        self.keys = keys
        self.report = report


class RemoteUses:
    """The last `UseReport` of each other node, with an index of the adapters in use.

    Attributes
    ----------
    uses : dict
        Last report by name of the node, the latest last.
    nodes_by_key : dict of AdapterKey to set of str
        Names of the nodes that use an adapter. The eviction asks for each adapter of a backend
        server, and there may be dozens of nodes.
    running : int
        Sum of the runs in the reports that are counted.
    counted : collections.deque
        Reports that are counted in `running` or were replaced, the oldest first. Each report on the
        backend server has the sum, so that it must not be computed from all nodes each time.
    """

    __slots__ = ("counted", "nodes_by_key", "running", "uses")

    def __init__(self):
        self.uses = {}
        self.nodes_by_key = {}
        self.running = 0
        self.counted = deque()

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
        if known is not None:
            del self.uses[report.node]  # the entry moves to the end
            self._stop_counting(known)
        use = self.uses[report.node] = _Use(report, keys, now)
        use.is_counted = True
        self.running += report.running
        self.counted.append(use)
        return keys - known_keys

    def _stop_counting(self, use):
        if use.is_counted:
            use.is_counted = False
            self.running -= use.report.running

    def is_used(self, key, now):
        """Return whether runs of other nodes use `key`."""
        for node in self.nodes_by_key.get(key, ()):
            if now - self.uses[node].at < USE_TTL_S:
                return True
        return False

    def count_runs(self, now):
        """Return the number of runs of other nodes on the backend server."""
        counted = self.counted
        while counted and not (counted[0].is_counted and now - counted[0].at < USE_TTL_S):
            self._stop_counting(counted.popleft())
        return self.running

    def count_prompt_tokens(self, window_s, now):
        """Return the prompt tokens of other nodes within the last `window_s`, as last reported."""
        tokens = 0
        for use in reversed(self.uses.values()):
            if now - use.at >= window_s:
                break
            tokens += use.report.prompt_tokens
        return tokens
