"""Naive selection of a backend server, as the reference for `ServerSelector`."""

from medlarbeam.algorithms.direct_routing import Candidate
from medlarbeam.gateway.server_selector import ServerSelector


class NaiveServerSelector(ServerSelector):
    """Rates all servers that may be chosen, with all figures."""

    __slots__ = ()

    def _choose_among(self, entries, preferred, relay, now):
        trusted = [e for e in entries if self.node.health.may_use(e.name, now)]
        positions = {entry.name: index for index, entry in enumerate(preferred)}
        candidates = [
            self._build_candidate(entry, relay, positions.get(entry.name, len(preferred)), now)
            for entry in self.node.leaving.exclude_reported(trusted or entries, now)
        ]
        return self.routing.choose(candidates)

    def _build_candidate(self, entry, relay, hash_position, now):
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
        )
