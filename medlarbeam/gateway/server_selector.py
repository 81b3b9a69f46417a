"""Selection of the backend server for a request, from reported loads and adapter holdings."""

from medlarbeam.algorithms.direct_routing import Candidate
from medlarbeam.algorithms.routing import rank_servers

__all__ = ["ServerSelector"]

# An adapter is loaded only on its preferred servers, the first ones in hash order, so that the cost
# of a selection does not grow with the fleet. Later ones would cost seconds, see
# `AdapterAffinityRouting`.
MAX_PREFERRED_SERVERS = 8
MAX_MOVE_WAIT_S = 0.05  # longest load time of an adapter to which a stalled run may move
MAX_CACHED_ADAPTERS = 20_000  # adapters with cached server lists, about 400 bytes each


class ServerSelector:
    """Builds the candidates of a request for a routing policy.

    Parameters
    ----------
    node : Gateway
    routing : DirectRoutingPolicy

    Attributes
    ----------
    preferred_servers : dict
        Names of the preferred servers by service and `AdapterKey`, in rendezvous hash order.
    preferred_servers_version : tuple of int
        Versions of `FleetState` and `ServerLimits` for which `preferred_servers` is valid.
    """

    __slots__ = ("node", "preferred_servers", "preferred_servers_version", "routing")

    def __init__(self, node, routing):
        self.node = node
        self.routing = routing
        self.preferred_servers = {}
        self.preferred_servers_version = (0, 0)

    def choose(self, relay, now, excluded=None):
        """Return the best `Candidate` for a relay at `now` (s), or None.

        Suspect backend servers are chosen only if there are no others. Servers named in `excluded`
        are not chosen; the default is `relay.excluded`.
        """
        excluded = relay.excluded if excluded is None else excluded
        key = relay.request.key
        if key is None or not key.adapter:
            return self._choose_among(self._find_all(relay, excluded, now), [], relay, now)
        names = self._find_preferred_servers(relay.service, key, now)
        preferred = self._find_usable(names, relay.service, excluded, now)
        names = self.node.holdings.find_servers(key)
        holders = self._find_usable(names, relay.service, excluded, now)
        preferred = [entry for entry in preferred if self._may_use(relay, entry)]
        holders = [entry for entry in holders if self._may_use(relay, entry)]
        choice = self._choose_among(
            {e.name: e for e in preferred + holders}.values(), preferred, relay, now
        )
        if choice is None:
            preferred = self._find_all(relay, excluded, now)
            choice = self._choose_among(preferred, preferred, relay, now)
        return choice

    def find_preferred_servers(self, service, key, now):
        """Return the preferred servers of an adapter that accept new work, in hash order."""
        names = self._find_preferred_servers(service, key, now)
        return self._find_usable(names, service, (), now)

    def find_better_server(self, relay, now):
        """Return the name of the backend server that should take over a stalled run, or ""."""
        server = relay.server.name
        choice = self.choose(relay, now, relay.excluded | {server})
        if choice is None or choice.pause_wait_s > 0.0:
            return ""
        is_ready = choice.ready_in_s is not None and choice.ready_in_s <= MAX_MOVE_WAIT_S
        if not is_ready and self.node.health.has_responded_since(server, relay.sent_at):
            return ""
        return choice.entry.name

    def _choose_among(self, entries, preferred, relay, now):
        """Return the best `Candidate` among `entries`, of which `preferred` are first, in order.

        Servers that need a load are rated only as long as one of them may be the best: most
        requests find their adapter loaded. Paused servers keep their positions, so that a pause
        moves no other adapter.
        """
        health, key = self.node.health, relay.request.key
        waits = {}
        if self.node.pauses.pauses:
            limit_s = relay.find_wait_limit() - now
            waits = {e.name: self.node.pauses.find_wait(e, relay, now) for e in entries}
            entries = [entry for entry in entries if waits[entry.name] < limit_s]
        trusted = [
            e for e in entries if e.name not in health.suspects or health.may_use(e.name, now)
        ]
        staying = self.node.leaving.exclude_reported(trusted or entries, now)
        is_adapter = key is not None and bool(key.adapter)
        holders = self.node.holdings.find_servers(key) if is_adapter else ()
        ready, others = [], []
        for entry in staying:
            is_known = not is_adapter or entry.name in holders
            ready_in_s = self._find_ready_s(entry, key, now) if is_known else None
            if ready_in_s is None:
                others.append(entry)
            else:
                wait_s = waits.get(entry.name, 0.0)
                ready.append(self._build_ready_candidate(entry, relay, ready_in_s, wait_s, now))
        best = self.routing.choose(ready)
        positions = {entry.name: index for index, entry in enumerate(preferred)}
        for entry in others:
            position = positions.get(entry.name, len(preferred))
            if best is not None and not self.routing.may_be_better(best, position):
                break
            wait_s = waits.get(entry.name, 0.0)
            candidate = self._build_load_candidate(entry, position, wait_s, now)
            best = candidate if best is None else self.routing.choose([best, candidate])
        return best

    def find_blocking_pause(self, relay, now):
        """Return the `PauseRefusal` of a relay that no backend server takes in time, or None."""
        entries = self._list_allowed(relay, now)
        allowed = [entry for entry in entries if entry.name not in relay.excluded]
        return self.node.pauses.find_blocking(allowed, relay, now)

    def find_missing_software(self, relay, now):
        """Return why no server of the version that has begun a stream can go on, "" if one may."""
        if relay.software is None or self.node.paths.is_checking(relay.service):
            return ""
        if any(entry.name not in relay.excluded for entry in self._list_allowed(relay, now)):
            return ""
        return f"no other backend server of {relay.service} runs the version {relay.software}"

    def _list_allowed(self, relay, now):
        entries = self.node.fleet.usable_servers(relay.service, now)
        return [entry for entry in entries if self._may_use(relay, entry)]

    def _may_use(self, relay, entry):
        """Return whether the version that a server is known to run may run a request."""
        is_bound = relay.software is not None
        return relay.may_use(entry) and not (is_bound and self.node.starts.is_replaced(entry))

    def _find_all(self, relay, excluded, now):
        entries = self._list_allowed(relay, now)
        return [e for e in entries if e.name not in excluded and self._may_send(e, now)]

    def _may_send(self, entry, now):
        """Return whether its limits allow a request; for a paused server, the wait says when."""
        limits = self.node.limits
        is_in_rate = (
            entry.name not in limits.limits
            or limits.may_send(entry.name, now)
            or self.node.pauses.has_pause(entry)
        )
        return is_in_rate and self.node.refusals.may_send(entry, now)

    def _find_usable(self, names, service, excluded, now):
        """Return the entries of the named servers that accept requests of `service`, in order."""
        servers = self.node.fleet.servers
        known = [
            servers[name]
            for name in names
            if name in servers and name not in excluded and self._may_send(servers[name].entry, now)
        ]
        return [k.entry for k in known if k.stop_at > now and k.entry.service == service]

    def _find_preferred_servers(self, service, key, now):
        fleet = self.node.fleet
        limits = self.node.limits
        version = (fleet.membership_version, limits.version)
        if (
            self.preferred_servers_version != version
            or len(self.preferred_servers) >= MAX_CACHED_ADAPTERS
        ):
            self.preferred_servers.clear()
            self.preferred_servers_version = version
        preferred = self.preferred_servers.get((service, key))
        if preferred is None:
            names = fleet.list_present(service, now)
            # A server that takes few requests serves the adapters that it holds, but loads no
            # others while there are servers without a limit.
            unlimited = [name for name in names if not limits.is_limited(name)]
            preferred = self.preferred_servers[service, key] = rank_servers(
                str(key), unlimited or names, MAX_PREFERRED_SERVERS
            )
        return preferred

    def _build_ready_candidate(self, entry, relay, ready_in_s, pause_wait_s, now):
        node = self.node
        return Candidate(
            entry,
            node.health.occupancy(entry, now),
            entry.failure_domain == node.settings.failure_domain,
            ready_in_s,
            has_right_holder=True,
            free_slots=0,
            prompt_wait_s=node.prompts.find_wait(entry.name, relay, now),
            pause_wait_s=pause_wait_s,
        )

    def _build_load_candidate(self, entry, hash_position, pause_wait_s, now):
        node = self.node
        return Candidate(
            entry,
            node.health.occupancy(entry, now),
            entry.failure_domain == node.settings.failure_domain,
            None,
            self._has_holder(entry.name, now),
            node.holdings.find_spare(entry.name),
            hash_position,
            pause_wait_s=pause_wait_s,
        )

    def _find_ready_s(self, entry, key, now):
        """Return the time (s) until `entry` can run a request with `key`, None without a load."""
        if key is None:
            return 0.0
        if not key.adapter:
            return 0.0 if key.model in entry.models else None
        holding = self.node.holdings.find(entry.name, key)
        if holding is None or holding.version < self.node.fleet.published_versions.get(key, 0):
            return None
        return max(0.0, holding.ready_at - now)

    def _has_holder(self, server, now):
        """Return whether a responsive node that reaches `server` holds the right to order it."""
        node = self.node
        holder = node.rights.find_holder(server)
        known = node.fleet.servers.get(server)
        service = known.entry.service if known is not None else ""
        if holder == node.settings.name:
            return node.rights.is_valid(now) and not node.paths.is_lost(service)
        return (
            bool(holder)
            and not node.reachability.is_unresponsive(holder, now)
            and not node.paths.is_lost_elsewhere(holder, service, now)
        )
