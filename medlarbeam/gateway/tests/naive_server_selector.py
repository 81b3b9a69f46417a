"""Naive selection of a backend server, as the reference for `ServerSelector`."""

from medlarbeam.algorithms.direct_routing import Candidate
from medlarbeam.gateway.server_selector import ServerSelector


class NaiveServerSelector(ServerSelector):
    """Rates all servers that may be chosen, with all figures."""

    __slots__ = ()

    def _choose_among(self, entries, preferred, relay, now):
        limit_s = relay.find_wait_limit() - now
        waits = {e.name: self.node.pauses.find_wait(e, relay, now) for e in entries}
        entries = [entry for entry in entries if waits[entry.name] < limit_s]
        trusted = [e for e in entries if self.node.health.may_use(e.name, now)]
        positions = {entry.name: index for index, entry in enumerate(preferred)}
        candidates = [
            self._build_candidate(
                entry, relay, positions.get(entry.name, len(preferred)), waits[entry.name], now
            )
            for entry in self.node.leaving.exclude_reported(trusted or entries, now)
        ]
        return self.routing.choose(candidates)

    def _build_candidate(self, entry, relay, hash_position, pause_wait_s, now):
        node = self.node
        return Candidate(
            entry,
            node.health.occupancy(entry, now),
            entry.failure_domain == node.settings.failure_domain,
            self._find_ready_s(entry, relay.request.key, now),
            self._has_holder(entry.name, now),
            node.holdings.find_spare(entry.name),
            hash_position,
            node.prompts.find_wait(entry.name, relay, now),
            pause_wait_s,
        )
