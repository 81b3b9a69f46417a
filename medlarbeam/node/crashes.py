"""Detection and quarantine of requests that crash the backend servers that run them."""

from functools import cache
from hashlib import blake2b
from math import ceil, inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent, SendPeer
from medlarbeam.classes.messages import PeerUp
from medlarbeam.classes.peer_messages import CrashReport
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.component import Crashes

__all__ = ["CrashRecord", "CrashTracker", "digest_request"]

SUSPECT_S = 120.0
QUARANTINE_S = 600.0
# As long as the quarantine, the longest state that a late report could restore.
CLEAR_RETENTION_S = 600.0
MAX_RECORDS = 4096
# Deaths kept for each fingerprint. More occur only if many copies are in flight at once.
MAX_DEATHS = 16

# Number of strikes in a `CrashReport`, by state.
CLEAR, SUSPECTED, QUARANTINED = 0, 1, 2


@cache
def _load_chart(handler):
    return load_chart("crash_record", handler)


def digest_request(request):
    """Return the fingerprint (hexadecimal text) of the content of a request."""
    state = blake2b(digest_size=16)
    parts = [request.service, request.path, str(request.max_tokens), request.body]
    for part in [*parts, *sorted(request.models)]:
        data = part.encode("utf-8", "surrogatepass")
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()


class CrashRecord:
    """Crash history of one fingerprint; has a state in the chart ``crash_record``.

    Parameters
    ----------
    state, fingerprint : str

    Attributes
    ----------
    expires_at : float
        Time (s) at which the state expires.
    server : str
        Backend server that died last.
    deaths : dict
        Strikes that were reported, by death id, newest last.
    trial_id : str
        Id of the request that runs as a trial of the fingerprint, "" for none.
    trial_until : float
        Time (s) at which the trial ends at the latest.
    """

    __slots__ = (
        "deaths",
        "expires_at",
        "fingerprint",
        "server",
        "state",
        "trial_id",
        "trial_until",
    )

    def __init__(self, state, fingerprint):
        self.state = state
        self.fingerprint = fingerprint
        self.expires_at = inf
        self.server = ""
        self.deaths = {}
        self.trial_id = ""
        self.trial_until = -inf

    def record_death(self, death_id, server, strikes):
        """Add a death and the strikes that it led to."""
        self.deaths.pop(death_id, None)
        self.deaths[death_id] = strikes
        self.server = server
        while len(self.deaths) > MAX_DEATHS:
            del self.deaths[next(iter(self.deaths))]

    def last_death_id(self):
        """Return the newest death id, "" if there is none."""
        return next(reversed(self.deaths), "")


class CrashTracker(Crashes):
    """Fingerprints that are suspected of crashing backend servers, or quarantined for it.

    Notes
    -----
    One fingerprint crashes at most ``1 + c + n`` backend servers until its states expire: the first
    one; one for each of the `c` copies that were running then, or that a node started before the
    report of the first death reached it; and one for each of the `n` nodes that run a trial before
    the report of the quarantine reaches them, since a node runs one trial of a fingerprint at a
    time. A caller that sends one copy at a time crashes 2.
    """

    __slots__ = ("chart", "next_due", "records", "unidentified_deaths")

    name = "crashes"

    def __init__(self, node):
        super().__init__(node)
        self.chart = _load_chart(type(self))
        self.records = {}  # by fingerprint, the one with the oldest death first
        self.unidentified_deaths = 0
        self.next_due = inf

    def handlers(self):
        """Return the handlers by message class."""
        return {PeerUp: self.handle_peer_up}

    def peer_handlers(self):
        """Return the handlers by peer message class."""
        return {CrashReport: self.handle_report}

    def check(self, request, now):
        """Return the `Failure` of a quarantined request, else None."""
        record = self._find(request, now)
        if record is None or not self.chart.has_tag(record, "refused"):
            return None
        remaining_s = ceil(record.expires_at - now)
        reason = (
            f"backend servers died while they ran this request, the last one {record.server}; "
            f"it is refused for {remaining_s} s"
        )
        return Failure(ErrorKind.CRASH_SUSPECT, reason)

    def may_start(self, request, running, now):
        """Return whether `request` may start on a backend server that runs `running`.

        Notes
        -----
        A quarantined request may not start; `check` returns the reason.
        """
        record = self._find(request, now)
        if record is None or not self.chart.has_tag(record, "suspect"):
            return True
        if self.chart.has_tag(record, "refused"):
            return False
        if record.trial_id != request.request_id and record.trial_until > now:
            return False
        others = [r for r in running if r.request_id != request.request_id]
        return not any(self._is_suspect(other, now) for other in others)

    def begin_run(self, request, now):
        """Record the start of `request`; for a suspect it is the start of a trial."""
        record = self._find(request, now)
        if record is not None and self.chart.has_tag(record, "suspect"):
            record.trial_id = request.request_id
            record.trial_until = request.deadline

    def server_died(self, server, requests, now, out):
        """Add strikes to the requests that ran on `server` when it died.

        Notes
        -----
        Call it once for each death, with all requests in flight, and before `runs` stores a report
        of the server's next incarnation: the last report identifies the death.
        """
        death_id = self._identify_death(server)
        present = {digest_request(r): None for r in requests}
        suspects = []
        for fingerprint in present:
            record = self.records.get(fingerprint)
            # A suspicion that a peer reported for this same death is not a prior suspicion.
            if record is not None and self._is_prior_suspect(record, death_id, now):
                suspects.append(fingerprint)
        if len(suspects) == 1:
            self._strike(suspects[0], "sole_strike", death_id, server, now, out)
            return
        for fingerprint in present:
            self._strike(fingerprint, "shared_strike", death_id, server, now, out)

    def _is_prior_suspect(self, record, death_id, now):
        if record.expires_at <= now or death_id in record.deaths:
            return False
        return self.chart.has_tag(record, "suspect")

    def _identify_death(self, server):
        """Return an id of the death, equal at all nodes that know the server's incarnation."""
        report = self.node.runs.last_report(server)
        if report is not None and report.incarnation:
            return f"{server}/{report.incarnation}"
        self.unidentified_deaths += 1
        settings = self.node.settings
        return f"{server}/?{settings.name}.{settings.incarnation}.{self.unidentified_deaths}"

    def _strike(self, fingerprint, event, death_id, server, now, out):
        record = self._get_or_create(fingerprint, now, out)
        if death_id in record.deaths:
            return
        record.trial_id, record.trial_until = "", -inf
        # `broadcast` corrects the strikes.
        record.record_death(death_id, server, SUSPECTED)
        self._fire(record, event, now, out)
        name = "request_convicted" if self._level(record) == QUARANTINED else "request_suspected"
        out.emit(LogEvent(name, f"{fingerprint} on {server}", level="warning"))

    def succeeded(self, request, now, out):
        """Clear a suspect that ran to completion."""
        record = self._find(request, now)
        if record is not None:
            record.trial_id, record.trial_until = "", -inf
            self._fire(record, "success", now, out)

    def handle_report(self, sender, report, now, out):
        """Merge the report of a peer, unless its death is already known here."""
        record = self._get_or_create(report.fingerprint, now, out)
        if report.strikes <= CLEAR:
            if report.death_id == record.last_death_id():
                self._fire(record, "reported_clear", now, out)
            elif report.death_id not in record.deaths:
                # The peer cleared a death that is unknown here; its strike may be reported later.
                older = record.deaths
                record.deaths = {report.death_id: SUSPECTED, **older}
            return
        strikes = min(report.strikes, QUARANTINED)
        if record.deaths.get(report.death_id, CLEAR) >= strikes:
            return
        record.record_death(report.death_id, report.server, strikes)
        event = "reported_quarantined" if strikes == QUARANTINED else "reported_suspect"
        old_level, old_expiry = self._level(record), record.expires_at
        self._fire(record, event, now, out)
        if self._level(record) == strikes:
            reported_until = now + max(0.0, min(report.remaining_s, record.expires_at - now))
            record.expires_at = (
                max(reported_until, old_expiry) if old_level == strikes else reported_until
            )

    def handle_peer_up(self, message, now, out):
        """Send all current suspects to a peer that has connected."""
        for record in self.records.values():
            if self.chart.has_tag(record, "suspect") and record.expires_at > now:
                out.emit(SendPeer(message.node, self._build_report(record, now)))

    def tick(self, now, out):
        """Expire states."""
        for record in [r for r in self.records.values() if r.expires_at <= now]:
            self._fire(record, "expire", now, out)
        self.next_due = min((r.expires_at for r in self.records.values()), default=inf)

    def next_deadline(self):
        """Return a time (s) at or before the earliest expiry."""
        return self.next_due

    def _find(self, request, now):
        # Avoids hashing a long prompt while there are no records.
        if not self.records:
            return None
        record = self.records.get(digest_request(request))
        return record if record is not None and record.expires_at > now else None

    def _is_suspect(self, request, now):
        record = self._find(request, now)
        return record is not None and self.chart.has_tag(record, "suspect")

    def _get_or_create(self, fingerprint, now, out):
        """Return the record of a fingerprint, moved to the end of the table."""
        record = self.records.get(fingerprint)
        if record is not None and record.expires_at <= now:
            self._fire(record, "expire", now, out)
        record = self.records.pop(fingerprint, None)
        if record is None:
            record = CrashRecord(self.chart.initial, fingerprint)
            self.start_retention(record, now, out)
            self._evict_one(out)
        self.records[fingerprint] = record
        self.next_due = min(self.next_due, record.expires_at)
        return record

    def _evict_one(self, out):
        """Evict the oldest record; a quarantined one only if there is no other."""
        if len(self.records) < MAX_RECORDS:
            return
        evictable = (f for f, r in self.records.items() if not self.chart.has_tag(r, "refused"))
        dropped = next(evictable, None) or next(iter(self.records))
        del self.records[dropped]
        out.emit(LogEvent("suspicion_dropped", dropped, level="warning"))

    def _fire(self, record, event, now, out):
        self.chart.fire(record, event, self, now, out)
        self.next_due = min(self.next_due, record.expires_at)

    def _level(self, record):
        if self.chart.has_tag(record, "refused"):
            return QUARANTINED
        return SUSPECTED if self.chart.has_tag(record, "suspect") else CLEAR

    def _build_report(self, record, now):
        return CrashReport(
            record.fingerprint,
            self._level(record),
            record.server,
            max(0.0, record.expires_at - now),
            record.last_death_id(),
        )

    # Actions of the chart.

    def start_retention(self, record, now, out):
        """Keep the deaths for `CLEAR_RETENTION_S`."""
        record.expires_at = now + CLEAR_RETENTION_S

    def start_suspect_period(self, record, now, out):
        """Start the suspect period."""
        record.expires_at = now + SUSPECT_S

    def start_quarantine(self, record, now, out):
        """Start the quarantine."""
        record.expires_at = now + QUARANTINE_S

    def broadcast(self, record, now, out):
        """Send the state to all peers."""
        level = self._level(record)
        record.expires_at = now + (CLEAR_RETENTION_S, SUSPECT_S, QUARANTINE_S)[level]
        death_id = record.last_death_id()
        record.deaths[death_id] = max(level, record.deaths.get(death_id, CLEAR))
        for peer in self.node.settings.peers:
            out.emit(SendPeer(peer, self._build_report(record, now)))

    def remove(self, record, now, out):
        """Remove the record."""
        self.records.pop(record.fingerprint, None)
