"""The gateway's copy of the entries of the platform's store."""

from math import inf

from medlarbeam.algorithms.caller_access import OpenAccess, build_access
from medlarbeam.algorithms.request_priorities import RoutePriorities, build_priorities
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import (
    FleetConfig,
    NodeRegistration,
    OrderRight,
    PublishedVersion,
    ServerRegistration,
)
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import (
    ConfigFetched,
    EntryDeleted,
    EntryUpdated,
    LeaseRenewed,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.classes.node_records import SettledEra
from medlarbeam.gateway.route_table import RouteTable
from medlarbeam.node.component import Component

__all__ = ["FleetState", "KnownServer", "describe_server"]

# Entries whose leases expired during a store outage are back within about 2 s of its end. A single
# missing entry was more likely removed, so the drain time limit applies to its backend server.
LAPSE_GRACE_S = 1.8
# Minimum share of all backend servers, and at least two, whose entries go missing together if they
# expired in an outage.
LAPSE_SHARE = 0.3
# A store outage this long before an entry went missing may be the cause: an entry expires after
# three failed heartbeats at intervals of about 1.2 s.
OUTAGE_RELEVANCE_S = 5.0
# An older copy of the store may list a backend server that has left since. Its entry expires after
# this many failed heartbeats and some time for the event to be read.
EXPIRY_HEARTBEATS = 3
REWRITE_HEARTBEATS = 2  # within which a backend server has written an entry again that was lost
EXPIRY_MARGIN_S = 0.9
# A backend server whose entry is missing is remembered for this long, so that a store that is set
# back to a copy from a few seconds before does not bring it back.
GONE_RETENTION_S = 60.0
MAX_LEFT = 20_000  # incarnations that have announced their leaving, about 150 bytes each


class KnownServer:
    """A backend server and until when this node uses it.

    Parameters
    ----------
    entry : ServerRegistration
    known_at : float
        Time (s) at which this start of it was read for the first time.

    Attributes
    ----------
    stop_at : float
        Time (s) from which it gets no new work.
    missing_since : float
        Time (s) at which its entry went missing, infinity while it exists.
    draining : bool
        Whether it has announced that it leaves, in its entry or in an answer; an entry that is
        read later does not cancel it.
    """

    __slots__ = ("draining", "entry", "known_at", "missing_since", "stop_at")

    def __init__(self, entry, known_at):
        self.entry = entry
        self.known_at = known_at
        self.stop_at = inf
        self.missing_since = inf
        self.draining = False

    def is_listed_leaving(self):
        """Return whether the store lists it, and it has announced that it leaves."""
        return self.draining and self.missing_since == inf


class FleetState(Component):
    """Keeps the newest entry of each key; older revisions are ignored.

    Attributes
    ----------
    config : FleetConfig or None
    routes : RouteTable
    access : CallerAccess
        Which organisation a request belongs to in `config`.
    quotas : dict of str to Quota
        Of the organisations in `config` that have one.
    priorities : RequestPriorities
    servers : dict of str to KnownServer
    published_versions : dict of AdapterKey to int
    nodes : dict of str to NodeRegistration
    rights : dict of str to OrderRight
        By the name of the backend server.
    revision : int
        Revision of the store up to which all changes are known, 0 before the first snapshot of an
        era.
    era : int
        Number of the era of the store; see `StoreSetBack`.
    registration_revision : int
        Revision of this node's registration, 0 before it is known.
    settled_era : int
        Newest era in which a node has waited for the end of the rights of earlier eras.
    is_set_back : bool
        Whether the entries are from before the store was set back.
    store_returned_at : float
        Time (s) of the end of the last outage of the store.
    store_unavailable_since : float or None
        Time (s) of the first call without a response since the last renewal of the lease.
    left : dict
        Where an incarnation has announced that it leaves, as text, by name and start (ms), the
        oldest first. A store that is set back may list it as staying, even after a later
        incarnation was known.
    copied_at : float
        Time (s) up to which all changes of the store are known, -infinity if that is unknown.
    registered_at : float
        Time (s) up to which the entries of all starts of backend servers are known: a start writes
        its entry within a heartbeat, if the store is available.
    trusted_at : float
        Time (s) at which backend servers have written again what a set-back of the store lost.
    membership_version : int
        Incremented whenever a backend server is added or removed.
    node_missing_since : dict of str to float
        Time (s) since which the registration of a node is missing.
    doubtful_until : dict of str to float
        Time (s) from which to use a backend server that had left but is listed in the copy to
        which the store was set back, unless its entry expires.
    forget_at : float
        Time (s) at which the next backend server that is gone is forgotten.
    """

    __slots__ = (
        "access",
        "config",
        "copied_at",
        "doubtful_until",
        "era",
        "forget_at",
        "is_set_back",
        "keys",
        "left",
        "membership_version",
        "node_missing_since",
        "nodes",
        "priorities",
        "published_versions",
        "quotas",
        "registered_at",
        "registration_revision",
        "revision",
        "right_seen_at",
        "rights",
        "routes",
        "servers",
        "settled_era",
        "store_returned_at",
        "store_unavailable_at",
        "store_unavailable_since",
        "trusted_at",
    )

    def __init__(self, node):
        super().__init__(node)
        self.config = None
        self.copied_at = -inf
        self.registered_at = -inf
        self.trusted_at = -inf
        self.routes = RouteTable()
        self.access = OpenAccess()
        self.quotas = {}
        self.priorities = RoutePriorities()
        self.keys = {}
        self.servers = {}
        self.left = {}
        self.published_versions = {}
        self.nodes = {}
        self.rights = {}
        self.right_seen_at = {}
        self.node_missing_since = {}
        self.revision = 0
        self.era = 0
        self.settled_era = 0
        self.registration_revision = 0
        self.is_set_back = False
        self.doubtful_until = {}
        self.forget_at = inf
        self.store_returned_at = -inf
        self.store_unavailable_at = -inf
        self.store_unavailable_since = None
        self.membership_version = 0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            ConfigFetched: self.handle_config_fetched,
            EntryUpdated: self.handle_entry_updated,
            EntryDeleted: self.handle_entry_deleted,
            StoreSetBack: self.handle_set_back,
            StoreSnapshot: self.handle_snapshot,
            StoreSynced: self.handle_synced,
            StoreUnavailable: self.handle_store_unavailable,
            LeaseRenewed: self.handle_lease_renewed,
        }

    def is_known(self):
        """Return whether requests can be routed."""
        return self.config is not None

    def handle_synced(self, message, now, out):
        """Record up to which time all changes of the store are known."""
        rewrite_s = REWRITE_HEARTBEATS * self.node.settings.heartbeat_s
        if message.sent_at >= self.trusted_at:
            self.copied_at = message.sent_at
            is_away = self.store_unavailable_since is not None
            if not is_away and message.sent_at >= self.store_returned_at + rewrite_s:
                self.registered_at = message.sent_at - self.node.settings.heartbeat_s

    def handle_store_unavailable(self, message, now, out):
        """Record that the store did not respond."""
        if now - self.store_unavailable_at > OUTAGE_RELEVANCE_S:
            out.emit(LogEvent("store_lost", message.reason, level="warning"))
        self.store_unavailable_at = now
        if self.store_unavailable_since is None:
            self.store_unavailable_since = now

    def handle_lease_renewed(self, message, now, out):
        """Record that the store responds, and log the end of an outage."""
        if self.store_unavailable_since is not None:
            away_s = now - self.store_unavailable_since
            self.store_unavailable_since = None
            self.store_returned_at = now
            out.emit(LogEvent("store_heard", f"away_s={away_s:.3f}"))

    def handle_set_back(self, message, now, out):
        """Forget all revisions, so that the following snapshot replaces all entries."""
        self.node.rights.begin_era(now)
        self.era = message.era
        self.revision = 0
        self.is_set_back = True
        self.copied_at = -inf
        self.registered_at = -inf
        self.trusted_at = now + REWRITE_HEARTBEATS * self.node.settings.heartbeat_s
        self.keys = {key: EntryUpdated(key, known.value, 0) for key, known in self.keys.items()}
        out.emit(LogEvent("store_set_back", f"era={message.era}", level="warning"))

    def handle_snapshot(self, message, now, out):
        """Replace all entries by a snapshot."""
        self.era = message.era
        present = set()
        for entry in message.entries:
            present.add(entry.key)
            self._update_entry(entry, now, out)
        for key in [key for key in self.keys if key not in present]:
            if self.keys[key].revision <= message.revision:
                self._delete_entry(EntryDeleted(key, message.revision), now, out)
        for name in self.find_missing_nodes():
            # After a gap in the history it is unknown how long the node has been missing.
            self.node_missing_since[name] = now
        self.revision = max(self.revision, message.revision)
        self.is_set_back = False
        out.emit(
            LogEvent(
                "store_snapshot",
                f"revision={message.revision} era={message.era} keys={len(present)}",
            )
        )

    def find_missing_nodes(self):
        """Return the names of nodes that hold a right but are not registered."""
        return {right.node for right in self.rights.values()} - set(self.nodes)

    def handle_entry_updated(self, message, now, out):
        """Apply a written entry unless a newer one is known."""
        self.revision = max(self.revision, message.revision) if self.revision else 0
        self._update_entry(message, now, out)

    def _update_entry(self, message, now, out):
        known = self.keys.get(message.key)
        if known is not None and known.revision >= message.revision:
            return
        self.keys[message.key] = message
        value = message.value
        if isinstance(value, ServerRegistration):
            self._apply_server(value, now, out)
        elif isinstance(value, FleetConfig):
            self._apply_config(value, now, out)
        elif isinstance(value, PublishedVersion):
            self.published_versions[value.key] = max(
                value.version, self.published_versions.get(value.key, 0)
            )
            out.emit(LogEvent("version_named", f"adapter={value.key} version={value.version}"))
        elif isinstance(value, NodeRegistration):
            self.nodes[value.name] = value
            if value.name == self.node.settings.name:
                self.registration_revision = message.revision
            self.node_missing_since.pop(value.name, None)
        elif isinstance(value, OrderRight):
            self.rights[value.server] = value
            self.right_seen_at[value.server] = now
            if value.node not in self.nodes:
                self.node_missing_since.setdefault(value.node, now)
        elif isinstance(value, SettledEra):
            self.settled_era = max(self.settled_era, value.era)

    def handle_config_fetched(self, message, now, out):
        """Apply the configuration of another node if it is newer."""
        if message.config is not None:
            self._apply_config(message.config, now, out)

    def _apply_config(self, config, now, out):
        if self.config is not None and config.version <= self.config.version:
            return
        self.config = config
        self.routes = RouteTable(config.routes)
        self.access = build_access(config)
        organisations = config.organisations or []
        self.quotas = {o.name: o.quota for o in organisations if o.quota is not None}
        self.priorities = build_priorities(config)
        count = len(organisations)
        detail = f"version={config.version} routes={len(config.routes)} organisations={count}"
        out.emit(LogEvent("config_adopted", detail))
        for first, other in self.access.conflicts:
            detail = f"a key of {other!r} is held by {first!r} and counts as a key of the latter"
            out.emit(LogEvent("key_conflict", detail, level="warning"))
        for organisation in organisations:
            if organisation.quota_problem:
                detail = f"organisation={organisation.name} {organisation.quota_problem}"
                out.emit(LogEvent("quota_unusable", detail, level="error"))

    def _apply_server(self, entry, now, out):
        known = self.servers.get(entry.name)
        if known is not None and not entry.started_at_ms:
            entry.started_at_ms = known.entry.started_at_ms  # it says nothing of another start
        is_stale = self.is_set_back and known is not None
        if is_stale and entry.started_at_ms < known.entry.started_at_ms:
            return  # the copy has an earlier start of the backend server
        if known is None or known.entry.started_at_ms != entry.started_at_ms:
            known = self.servers[entry.name] = KnownServer(entry, now)
            self.membership_version += 1
            self.node.health.begin_start(entry.name)
            self.node.holdings.begin_start(entry, now)
            self.node.pauses.begin_start(entry, self.copied_at)
            out.emit(LogEvent("server_known", describe_server(entry)))
        had_left = known.missing_since <= now and known.stop_at <= now
        if known.entry.software != entry.software:
            self.membership_version += 1
        known.entry = entry
        known.missing_since = inf
        self.doubtful_until.pop(entry.name, None)
        if entry.draining or (entry.name, entry.started_at_ms) in self.left:
            if self.take_out(entry.name, entry.started_at_ms, "in its entry", now):
                out.emit(LogEvent("server_draining", describe_server(entry)))
        elif is_stale and had_left and not known.draining:
            heartbeats_s = EXPIRY_HEARTBEATS * self.node.settings.heartbeat_s
            self.doubtful_until[entry.name] = now + heartbeats_s + EXPIRY_MARGIN_S
            out.emit(LogEvent("server_doubtful", describe_server(entry)))
        elif not known.draining:
            known.stop_at = inf

    def take_out(self, name, started_at_ms, source, now):
        """Give an incarnation of a backend server no new work any more.

        Both announcements of its leaving, in its entry and in an answer, end here; `source` is the
        place of this one as text. Returns whether it was not known before.
        """
        self.left.setdefault((name, started_at_ms), source)
        while len(self.left) > MAX_LEFT:
            del self.left[next(iter(self.left))]
        known = self.servers.get(name)
        if known is None or known.entry.started_at_ms != started_at_ms or known.draining:
            return False
        known.draining = True
        known.stop_at = min(known.stop_at, now)
        self.node.relays.wake_service(known.entry.service, now)
        self.node.orders.review_soon(now)
        return True

    def is_leaving(self, name, started_at_ms):
        """Return whether an incarnation of a backend server has announced that it leaves."""
        known = self.servers.get(name)
        is_current = known is not None and known.entry.started_at_ms == started_at_ms
        return known.draining if is_current else (name, started_at_ms) in self.left

    def handle_entry_deleted(self, message, now, out):
        """Apply the deletion of an entry unless a newer revision is known."""
        self.revision = max(self.revision, message.revision) if self.revision else 0
        self._delete_entry(message, now, out)

    def _delete_entry(self, message, now, out):
        known = self.keys.get(message.key)
        if known is None or known.revision > message.revision:
            return
        del self.keys[message.key]
        value = known.value
        if isinstance(value, ServerRegistration):
            self._remove_server(value, now, out)
        elif isinstance(value, NodeRegistration):
            if self.nodes.pop(value.name, None) is not None:
                self.node_missing_since[value.name] = now
        elif isinstance(value, OrderRight):
            self.rights.pop(value.server, None)

    def _remove_server(self, entry, now, out):
        known = self.servers.get(entry.name)
        if known is None or known.entry.started_at_ms != entry.started_at_ms:
            return
        out.emit(LogEvent("server_gone", describe_server(entry)))
        self.membership_version += 1
        known.missing_since = now
        self.forget_at = min(self.forget_at, now + GONE_RETENTION_S)
        self.doubtful_until.pop(entry.name, None)
        if self.is_set_back and not known.draining:
            # Registered in the time that the store has lost; the entry is written again.
            known.stop_at = min(known.stop_at, now + LAPSE_GRACE_S)
            return
        known.stop_at = min(known.stop_at, now)
        if now - self.store_unavailable_at < OUTAGE_RELEVANCE_S and not known.draining:
            settings = self.node.settings
            known.stop_at = now + max(0.0, settings.drain_s - settings.max_store_lag_s)
            self._keep_lapsed(now)

    def _keep_lapsed(self, now):
        """Keep using the backend servers whose entries appear to have lapsed in a store outage."""
        present = [k for k in self.servers.values() if k.missing_since > now - LAPSE_GRACE_S]
        lapsed = [k for k in present if k.missing_since <= now and not k.draining]
        if len(lapsed) >= max(2, LAPSE_SHARE * len(present)):
            for known in lapsed:
                known.stop_at = known.missing_since + LAPSE_GRACE_S

    def usable_servers(self, service, now):
        """Return the registration of each backend server of `service` that accepts new work."""
        return [
            known.entry
            for known in self.servers.values()
            if known.stop_at > now and known.entry.service == service
        ]

    def broadcast(self, body, out):
        """Send a datagram to each other registered node."""
        for node in self.nodes.values():
            if node.name != self.node.settings.name:
                out.emit(SendDatagram(node.address, body))

    def find_engine(self, server):
        """Return the `Engine` of the service of a `ServerRegistration`, or None."""
        service = self.config.services.get(server.service) if self.config else None
        return service.engine if service else None

    def find_health_path(self, server):
        """Return the health path of the service of a `ServerRegistration`, None if it has none."""
        service = self.config.services.get(server.service) if self.config else None
        return service.health_path or None if service else None

    def tick(self, now, out):
        """Use doubtful backend servers whose entries have not expired, and forget those gone."""
        if self.forget_at <= now:
            self._forget_gone(now)
        for name in [name for name, due in self.doubtful_until.items() if due <= now]:
            del self.doubtful_until[name]
            known = self.servers[name]
            if not known.draining:
                known.stop_at = inf
                out.emit(LogEvent("server_known", describe_server(known.entry)))

    def _forget_gone(self, now):
        for known in list(self.servers.values()):
            if known.missing_since + GONE_RETENTION_S <= now:
                del self.servers[known.entry.name]
                self.membership_version += 1
        missing = [k.missing_since for k in self.servers.values()]
        self.forget_at = min(missing, default=inf) + GONE_RETENTION_S

    def next_deadline(self):
        """Return the time (s) at which a backend server may be used again, or is forgotten."""
        if not self.doubtful_until:
            return self.forget_at
        return min(self.forget_at, *self.doubtful_until.values())

    def list_present(self, service, now):
        """Return the names of the backend servers of `service` that are not gone.

        One that drains is present until its entry is removed, one that lapsed while it is used.
        """
        return [
            name
            for name, known in self.servers.items()
            if known.entry.service == service and (known.missing_since > now or known.stop_at > now)
        ]


def describe_server(entry):
    """Return the fields of a `ServerRegistration` as text for a log line."""
    return (
        f"server={entry.name} service={entry.service} address={entry.address} "
        f"domain={entry.failure_domain}"
    )
