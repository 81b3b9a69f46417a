"""Which version of a backend server's software has begun a stream."""

from math import inf

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import (
    UNKNOWN_ORIGIN,
    RouteKind,
    SoftwareVersion,
    StreamReport,
    VersionStreams,
)
from medlarbeam.classes.gateway_effects import (
    PublishSoftwareVersion,
    PublishStreams,
    SyncStore,
    WithdrawSoftwareVersion,
)
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    NodeDatagram,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node.component import Component

__all__ = ["COPY_WAIT_S", "RETENTION_S", "StreamOrigins"]

# A caller takes a stream up again within its deadline, some seconds after it broke off. A version
# whose servers have left matters for the same time.
RETENTION_S = 30.0
SERVED_RETENTION_S = 2.0  # the end of a complete response may be lost on the way to the caller
PUBLICATION_TTL_S = 600.0
# Each node sends a report to all others, and writes one to the store, at an interval that grows
# with their number, so that neither a node nor the store gets more than a fixed number a second.
MIN_REPORT_INTERVAL_S = 0.03
REPORT_INTERVAL_S = 0.0125  # for each node
MIN_PUBLISH_INTERVAL_S = 0.25
PUBLISH_INTERVAL_S = 0.03  # for each node
WRITE_STEP_S = 0.5  # between nodes that write the entry of a version; a written one is seen sooner
REVIEW_INTERVAL_S = 5.0
# For the store to answer; it takes some ms, or 0.25 s if it is slow. Callers wait 2 s for an event.
COPY_WAIT_S = 0.5
MAX_REPORTED = 48  # streams in a datagram
MAX_PUBLISHED = 20_000  # streams in an entry of the store, about 20 bytes each
MAX_ORIGINS = 50_000  # about 300 bytes each


class StreamOrigin:
    """The version that has begun a stream, and until when this is remembered.

    Attributes
    ----------
    version : SoftwareVersion or None
        None while it is not known which start of a server has begun the stream.
    is_doubt_reported : bool
        Whether the other nodes were told that it is not known.
    is_own : bool
        Whether the stream went through this node, so that it reports the origin to the others.
    expires_at : float
        Time (s), infinity while the stream is open at this node.
    """

    __slots__ = ("expires_at", "is_doubt_reported", "is_own", "version")

    def __init__(self, version, is_own, expires_at):
        self.version = version
        self.is_own = is_own
        self.expires_at = expires_at
        self.is_doubt_reported = False


class StreamOrigins(Component):
    """Finds the software version at which a stream must go on.

    While the backend servers of a service run one version, that is the answer. While there are
    several, also of servers that have left, nodes report the origin of each stream to one another
    and to the store, which remembers it when all nodes restart. The store also has an entry for
    each version in service, so that a node that has just started knows of those that have left.

    Attributes
    ----------
    origins : dict of str to StreamOrigin
        By attempt id, the oldest first.
    present_at : dict of SoftwareVersion to float
        Time (s) at which a version was last in service, for those that still matter.
    entries : dict of str to EntryUpdated
        Entries of the store that name versions, by key.
    versions : dict of str to list of SoftwareVersion
        Versions in `present_at` by service.
    waiting : dict of str to Relay
        Relays that wait until the copy of the store is known up to a time, by request id.
    write_at : dict of SoftwareVersion to float
        Time (s) at which this node writes or deletes the entry of a version.
    unreported, published : list of str
        Attempt ids that the other nodes are not told of yet, and those last written to the store.
    """

    __slots__ = (
        "entries",
        "known_membership",
        "origins",
        "present_at",
        "published",
        "publish_at",
        "report_at",
        "review_at",
        "unreported",
        "versions",
        "waiting",
        "write_at",
    )

    def __init__(self, node):
        super().__init__(node)
        self.origins = {}
        self.present_at = {}
        self.entries = {}
        self.versions = {}
        self.waiting = {}
        self.write_at = {}
        self.unreported = []
        self.published = []
        self.known_membership = 0
        self.report_at = inf
        self.publish_at = inf
        self.review_at = inf

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            EntryUpdated: self.handle_entry_updated,
            EntryDeleted: self.handle_entry_deleted,
            StoreSnapshot: self.handle_snapshot,
            StoreSetBack: self.handle_set_back,
            StoreSynced: self.handle_synced,
            StoreUnavailable: self.handle_unavailable,
            NodeDatagram: self.handle_datagram,
        }

    # Versions in service

    def is_ambiguous(self, route):
        """Return whether servers of several versions may have begun a stream on `route`."""
        return len(self._list_versions(route)) > 1

    def _list_versions(self, route):
        return [v for target in route.targets for v in self.versions.get(target.service, ())]

    def handle_entry_updated(self, message, now, out):
        """Note a version or streams that a node has published, and the versions of servers."""
        value = message.value
        if isinstance(value, SoftwareVersion):
            self.entries[message.key] = message
            self._note_version(value, now)
        elif isinstance(value, StreamReport) and value.node != self.node.settings.name:
            self._note_streams(value, now)
        self._follow_membership(now, out)

    def handle_entry_deleted(self, message, now, out):
        """Note that the entry of a version was deleted."""
        self.entries.pop(message.key, None)
        self._follow_membership(now, out)

    def handle_snapshot(self, message, now, out):
        """Replace the entries of versions by those of a snapshot."""
        self.entries = {}
        for entry in message.entries:
            self.handle_entry_updated(entry, now, out)
            if isinstance(entry.value, StreamReport):
                # That of this node is of an earlier process, whose streams it goes on to publish.
                self._note_streams(entry.value, now)
        self._review(now, out)

    def handle_set_back(self, message, now, out):
        """Publish the streams again, which the store may have lost."""
        self.published = []
        if self.origins:
            self._schedule_reports(now)

    def _follow_membership(self, now, out):
        if self.known_membership != self.node.fleet.membership_version:
            self._review(now, out)

    def _note_version(self, version, now):
        """Note a version that may be in service; a node of an earlier build may report none."""
        if version not in self.present_at and version != UNKNOWN_ORIGIN:
            self.present_at[version] = now
            self._index_versions(now)

    def _index_versions(self, now):
        former = self.versions
        self.versions = {}
        for version in self.present_at:
            self.versions.setdefault(version.service, []).append(version)
        if any(len(v) > 1 and len(former.get(s, ())) < 2 for s, v in self.versions.items()):
            # Streams that began before there were several versions were not reported.
            self.unreported = [name for name, origin in self.origins.items() if origin.is_own]
            self._schedule_reports(now)

    def _review(self, now, out):
        """Update the versions in service and their entries in the store."""
        fleet = self.node.fleet
        self.known_membership = fleet.membership_version
        self.review_at = now + REVIEW_INTERVAL_S
        for known in fleet.servers.values():
            if known.missing_since == inf:
                version = known.entry.software_version()
                if version not in self.present_at:
                    out.emit(LogEvent("software_known", f"version={version}"))
                self.present_at[version] = now
        expired = [v for v, at in self.present_at.items() if at + RETENTION_S <= now]
        for version in expired:
            del self.present_at[version]
            out.emit(LogEvent("software_gone", f"version={version}"))
        self._index_versions(now)
        self._write_entries(now, out)
        for name in [n for n, origin in self.origins.items() if origin.expires_at <= now]:
            del self.origins[name]

    def _write_entries(self, now, out):
        """Write and delete entries of versions; each node waits for those before it."""
        written = {entry.value: entry for entry in self.entries.values()}
        missing = [version for version in self.present_at if version not in written]
        surplus = [version for version in written if version not in self.present_at]
        due = {}
        for version in missing + surplus:
            due[version] = self.write_at.get(version, now + self._find_rank(version) * WRITE_STEP_S)
            if due[version] <= now:
                due[version] = now + REVIEW_INTERVAL_S
                if version in written:
                    out.emit(WithdrawSoftwareVersion(version, written[version].revision))
                else:
                    out.emit(PublishSoftwareVersion(version))
        self.write_at = due
        self.review_at = min(self.review_at, *due.values(), inf)

    def _find_rank(self, version):
        name = self.node.settings.name
        return rank_servers(str(version), {*self.node.fleet.nodes, name}).index(name)

    # Origins of streams

    def bind(self, relay, now, out):
        """Bind a relay that takes up a stream to the service and version that have begun it.

        Returns
        -------
        Failure or None
            Why the stream cannot go on. It may also have to wait, see `is_waiting`.
        """
        request = relay.request
        if relay.route.kind is not RouteKind.STREAM or not request.last_event:
            return None
        if request.origin is not None:
            version = None if request.origin == UNKNOWN_ORIGIN else request.origin
            self._note_attempt(request.resumed_attempt, version, False, now)
        return self._bind_to_origin(relay, request.resumed_attempt, now, out)

    def bind_waiting(self, relay, now, out):
        """Bind a relay that has waited for the store since `bind` or `bind_rest`.

        The rest of a stream of unknown origin is not forwarded either: another node may know less.
        """
        is_unknown = relay.is_response_started and self.is_unknown(relay)
        if not self.is_waiting(relay) and not is_unknown:
            return None
        bind = self.bind_rest if relay.is_response_started else self.bind
        return bind(relay, now, out)

    def bind_rest(self, relay, now, out):
        """Bind a relay whose caller has a part of the stream, unless the start has bound it.

        That is the case after the loss of a node that has not stated the origin of the stream, and
        while it is not known which start of a server has begun it; see `bind`.
        """
        if (
            relay.software is not None
            or relay.route.kind is not RouteKind.STREAM
            or not relay.is_response_started
        ):
            return None
        return self._bind_to_origin(relay, relay.request.attempt_id, now, out)

    def is_waiting(self, relay):
        """Return whether a relay waits until the copy of the store is new enough."""
        return relay.request.request_id in self.waiting

    def _bind_to_origin(self, relay, attempt, now, out):
        self.waiting.pop(relay.request.request_id, None)
        route = relay.route
        version = self._find(attempt, relay, now, out)
        reason = ""
        if self.is_waiting(relay):
            return None
        if version is None:
            versions = ", ".join(str(v) for v in self._list_versions(route)) or "unknown ones"
            reason = f"it is not known which of {versions}, or of starts unknown here, began "
            reason += repr(attempt)
        elif version.service not in {target.service for target in route.targets}:
            reason = f"{version} began the stream, and the route leads to other services"
        if reason:
            return Failure(ErrorKind.STREAM_ORIGIN_LOST, reason, RunState.NOT_RUN)
        relay.service = version.service
        relay.software = version.software
        return None

    def _find(self, attempt, relay, now, out):
        """Return the `SoftwareVersion` that has begun a stream, None if it is not known.

        If only one version is registered, no other one can have begun the stream before `now`,
        provided that the copy of the store is as new as that. If it is older, the relay waits. A
        server that serves before its entry is written is found out by the node that used it, which
        reports the streams of that server as unknown.
        """
        origin = self.origins.get(attempt)
        if origin is not None:
            return origin.version
        versions = self._list_versions(relay.route)
        if len(versions) != 1 or self.node.starts.has_unread_start(versions[0].service):
            return None
        fleet = self.node.fleet
        if relay.copy_needed_at is None:
            relay.copy_needed_at = now
        if fleet.copied_at >= relay.copy_needed_at:
            return versions[0]
        wait_until = relay.copy_needed_at + COPY_WAIT_S
        if fleet.store_unavailable_since is None and max(now, fleet.trusted_at) < wait_until:
            self.waiting[relay.request.request_id] = relay
            out.emit(SyncStore())
        return None

    def handle_synced(self, message, now, out):
        """Bind the relays for which the copy of the store is new enough now."""
        self.node.relays.timers.advance(self.waiting.values(), now)

    def handle_unavailable(self, message, now, out):
        """Refuse the relays that wait for the store."""
        self.node.relays.timers.advance(self.waiting.values(), now)

    def record_start(self, relay, version, now):
        """Record the version that has brought the first event of a stream, and bind it to that.

        Parameters
        ----------
        relay : Relay
            At a backend server, or at another node, which may have chosen another service.
        version : SoftwareVersion
        now : float
        """
        if relay.software is not None or relay.route.kind is not RouteKind.STREAM:
            return
        relay.service = version.service
        relay.software = version.software
        attempt = relay.request.attempt_id
        if not relay.route.resumable or not attempt:
            return
        self._note_version(version, now)
        former = self.origins.get(attempt)
        origin = StreamOrigin(version, True, self._find_expiry(relay, now))
        origin.is_doubt_reported = former is not None and former.is_doubt_reported
        self._remember(attempt, origin)
        if self.is_ambiguous(relay.route):
            self.unreported.append(attempt)
            self._schedule_reports(now)
        elif origin.is_doubt_reported:
            self._report_soon(attempt, now)

    def is_unknown(self, relay):
        """Return whether it is not known which start of a server has begun a stream."""
        origin = self.origins.get(relay.request.attempt_id)
        return origin is not None and origin.version is None

    def record_unknown(self, relay, now):
        """Record that it is not known which start of a server has begun a stream.

        Other nodes are told with the next report if it is not known until then, since they may
        know of one version only.
        """
        attempt = relay.request.attempt_id
        if relay.route.resumable and attempt:
            self._remember(attempt, StreamOrigin(None, True, self._find_expiry(relay, now)))
            self._report_soon(attempt, now)

    def _report_soon(self, attempt, now):
        self.unreported.append(attempt)
        self.report_at = min(self.report_at, now + self._find_report_interval())

    def _find_expiry(self, relay, now):
        is_open = relay.request.request_id in self.node.relays.open_relays
        return inf if is_open else now + RETENTION_S

    def _remember(self, attempt, origin):
        while len(self.origins) >= MAX_ORIGINS:
            del self.origins[next(iter(self.origins))]
        self.origins[attempt] = origin

    def record_end(self, relay, now):
        """Record that a stream has ended at this node; its caller may take it up again."""
        self.waiting.pop(relay.request.request_id, None)
        origin = self.origins.get(relay.request.attempt_id)
        if origin is not None and origin.is_own:
            is_served = relay.outcome == "served"
            origin.expires_at = now + (SERVED_RETENTION_S if is_served else RETENTION_S)

    def handle_datagram(self, message, now, out):
        """Note the streams of another node."""
        body = message.body
        if isinstance(body, StreamReport) and body.node in self.node.fleet.nodes:
            self._note_streams(body, now)

    def _note_streams(self, report, now):
        is_own = report.node == self.node.settings.name
        for item in report.streams:
            self._note_version(item.version, now)
            version = None if item.version == UNKNOWN_ORIGIN else item.version
            for attempt in item.attempts:
                self._note_attempt(attempt, version, is_own, now)

    def _note_attempt(self, attempt, version, is_own, now):
        """Remember the origin of a stream of another node or process, if it is not known yet."""
        origin = self.origins.get(attempt)
        if origin is None:
            self._remember(attempt, StreamOrigin(version, is_own, now + RETENTION_S))
        elif origin.expires_at < inf and not origin.is_own:
            origin.expires_at = now + RETENTION_S
            origin.version = origin.version or version

    # Reports

    def _schedule_reports(self, now):
        count = len(self.node.fleet.nodes)
        publish_s = max(MIN_PUBLISH_INTERVAL_S, PUBLISH_INTERVAL_S * count)
        self.report_at = min(self.report_at, now + self._find_report_interval())
        self.publish_at = min(self.publish_at, now + publish_s)

    def _find_report_interval(self):
        return max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_S * len(self.node.fleet.nodes))

    def _group(self, attempts):
        """Return `attempts` as a list of `VersionStreams`."""
        groups = {}
        for attempt in attempts:
            version = self.origins[attempt].version or UNKNOWN_ORIGIN
            groups.setdefault(version, []).append(attempt)
        return [VersionStreams(version, names) for version, names in groups.items()]

    def _report(self, out):
        attempts = [a for a in dict.fromkeys(self.unreported) if self._must_report(a)]
        self.unreported = []
        for attempt in attempts:
            origin = self.origins[attempt]
            origin.is_doubt_reported = origin.version is None
        for start in range(0, len(attempts), MAX_REPORTED):
            streams = self._group(attempts[start : start + MAX_REPORTED])
            self.node.fleet.broadcast(StreamReport(self.node.settings.name, streams), out)

    def _must_report(self, attempt):
        """Return whether other nodes need the origin of a stream, or that it is not known."""
        origin = self.origins.get(attempt)
        if origin is None:
            return False
        is_ambiguous = origin.version and len(self.versions.get(origin.version.service, ())) > 1
        return origin.version is None or is_ambiguous or origin.is_doubt_reported

    def _publish(self, now, out):
        """Write the streams that callers may take up again."""
        open_streams = [
            n for n, o in self.origins.items() if o.is_own and o.version and o.expires_at > now
        ]
        open_streams = open_streams[-MAX_PUBLISHED:]
        if open_streams != self.published:
            self.published = open_streams
            report = StreamReport(self.node.settings.name, self._group(open_streams))
            out.emit(PublishStreams(report, PUBLICATION_TTL_S))

    def tick(self, now, out):
        """Report and publish streams, and review the versions in service."""
        if self.report_at <= now:
            self.report_at = inf
            self._report(out)
        if self.publish_at <= now:
            self.publish_at = inf
            self._publish(now, out)
        if self.review_at <= now:
            self._review(now, out)

    def next_deadline(self):
        """Return the time (s) of the next report, publication or review."""
        return min(self.report_at, self.publish_at, self.review_at)
