"""Choice of the backend server for a request, from all that the gateway knows."""

from medlarbeam.algorithms.fleet_routing import Candidate

__all__ = ["ServerChoice"]


class ServerChoice:
    """Puts the candidates of a request together for a routing policy.

    Parameters
    ----------
    node : Gateway
    routing : FleetRouting
    """

    __slots__ = ("node", "routing")

    def __init__(self, node, routing):
        self.node = node
        self.routing = routing

    def choose(self, relay, now):
        """Return the best `Candidate` for a relay at `now` (s), or None.

        Backend servers that are suspected are taken only where there are no others.
        """
        key = relay.request.key
        entries = [
            entry
            for entry in self.node.book.usable_servers(relay.service, now)
            if entry.name not in relay.avoid
        ]
        trusted = [e for e in entries if self.node.stats.may_use(e.name, now)]
        candidates = [self._view(entry, key, now) for entry in trusted or entries]
        return self.routing.choose(str(key) if key is not None else "", candidates)

    def _view(self, entry, key, now):
        node = self.node
        return Candidate(
            entry,
            node.stats.occupancy(entry, now),
            entry.failure_domain == node.settings.failure_domain,
            self._find_ready_s(entry, key, now),
            self._has_holder(entry.name, now),
            node.holdings.find_spare(entry.name),
        )

    def _find_ready_s(self, entry, key, now):
        """Return the time (s) until `entry` can run a request with `key`, None if it cannot."""
        if key is None:
            return 0.0
        if not key.adapter:
            return 0.0 if key.model in entry.models else None
        holding = self.node.holdings.find(entry.name, key)
        if holding is None or holding.version < self.node.book.releases.get(key, 0):
            return None
        return max(0.0, holding.ready_at - now)

    def _has_holder(self, server, now):
        """Return whether a node that answers can order `server` to load."""
        holder = self.node.rights.find_holder(server)
        if holder == self.node.settings.name:
            return self.node.rights.is_valid(now)
        return bool(holder) and not self.node.contacts.is_silent(holder, now)
