"""Requests that crash the backend servers that run them."""

from functools import cache
from hashlib import blake2b
from math import ceil, inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent, SendPeer
from medlarbeam.classes.messages import PeerUp
from medlarbeam.classes.peer_messages import CrashReport
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.component import Crashes

__all__ = ["CrashTracker", "Suspicion", "digest_request"]

SUSPICION_S = 120.0
CONVICTION_S = 600.0
# As long as the longest state that a late report could bring back.
MEMORY_S = 600.0
MAX_SUSPICIONS = 4096
# Deaths that are remembered for each fingerprint; it takes down fewer backend servers than that
# except with many copies in flight at once.
MAX_DEATHS = 16

# Strikes that a report carries in each kind of state.
CLEAR, SUSPECTED, CONVICTED = 0, 1, 2


@cache
def _load_chart(handler):
    return load_chart("suspect", handler)


def digest_request(request):
    """Return the fingerprint (hexadecimal text) of what a request makes a backend server do."""
    state = blake2b(digest_size=16)
    parts = [request.service, request.path, str(request.max_tokens), request.body]
    for part in [*parts, *sorted(request.models)]:
        data = part.encode("utf-8", "surrogatepass")
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()


class Suspicion:
    """What is known of one fingerprint; the subject of the chart.

    Parameters
    ----------
    state, fingerprint : str

    Notes
    -----
    `until` is the time (s) at which the state wears off. `deaths` holds the strikes told by death
    id, newest last. `trial_id` is the request that runs as a suspect, at most until `trial_until`.
    """

    __slots__ = ("deaths", "fingerprint", "server", "state", "trial_id", "trial_until", "until")

    def __init__(self, state, fingerprint):
        self.state = state
        self.fingerprint = fingerprint
        self.until = inf
        self.server = ""
        self.deaths = {}
        self.trial_id = ""
        self.trial_until = -inf

    def note_death(self, death_id, server, strikes):
        """Remember a death and the strikes that it led to."""
        self.deaths.pop(death_id, None)
        self.deaths[death_id] = strikes
        self.server = server
        while len(self.deaths) > MAX_DEATHS:
            del self.deaths[next(iter(self.deaths))]

    def last_death(self):
        """Return the newest death id, "" if there is none."""
        return next(reversed(self.deaths), "")


class CrashTracker(Crashes):
    """Fingerprints that are suspected or convicted of crashing backend servers.

    Notes
    -----
    One fingerprint takes down at most ``1 + c + n`` backend servers within the wear-off times:
    the first one; one for each of the `c` copies that were running then, or that a node started
    before the report of the first death reached it; and one for each of the `n` nodes that run a
    suspect trial before the conviction reaches them, since a node runs one trial of a fingerprint
    at a time. A caller that sends one copy at a time takes down 2.
    """

    __slots__ = ("chart", "deaths_seen", "due", "suspicions")

    name = "crashes"

    def __init__(self, node):
        super().__init__(node)
        self.chart = _load_chart(type(self))
        self.suspicions = {}  # by fingerprint, the one with the oldest death first
        self.deaths_seen = 0
        self.due = inf

    def handlers(self):
        """Return the handlers of messages."""
        return {PeerUp: self.take_peer_up}

    def peer_handlers(self):
        """Return the handlers of peer messages."""
        return {CrashReport: self.take_report}

    def check(self, request, now):
        """Return the `Failure` of a convicted request, else None."""
        suspicion = self._find(request, now)
        if suspicion is None or not self.chart.has_tag(suspicion, "refused"):
            return None
        rest = ceil(suspicion.until - now)
        reason = (
            f"backend servers died while they ran this request, the last one {suspicion.server}; "
            f"it is refused for {rest} s"
        )
        return Failure(ErrorKind.CRASH_SUSPECT, reason)

    def may_start(self, request, running, now):
        """Return whether `request` may start beside `running`.

        Notes
        -----
        A convicted request may not start; `check` gives the reason.
        """
        suspicion = self._find(request, now)
        if suspicion is None or not self.chart.has_tag(suspicion, "suspect"):
            return True
        if self.chart.has_tag(suspicion, "refused"):
            return False
        if suspicion.trial_id != request.request_id and suspicion.trial_until > now:
            return False
        others = [r for r in running if r.request_id != request.request_id]
        return not any(self._is_suspect(other, now) for other in others)

    def begin_run(self, request, now):
        """Note that `request` starts now; the trial of a suspect begins with it."""
        suspicion = self._find(request, now)
        if suspicion is not None and self.chart.has_tag(suspicion, "suspect"):
            suspicion.trial_id = request.request_id
            suspicion.trial_until = request.deadline

    def server_died(self, server, requests, now, out):
        """Give strikes to the requests that ran on `server` when it died.

        Notes
        -----
        It has to be called once for a death, with all requests in flight, and before `runs` keeps
        a report of the server's next incarnation: the last report identifies the death.
        """
        death_id = self._identify_death(server)
        present = {digest_request(r): None for r in requests}
        suspects = []
        for fingerprint in present:
            suspicion = self.suspicions.get(fingerprint)
            # One that is suspected only because a peer told of this same death gives no evidence.
            if suspicion is not None and self._counts(suspicion, death_id, now):
                suspects.append(fingerprint)
        if len(suspects) == 1:
            self._strike(suspects[0], "sole", death_id, server, now, out)
            return
        for fingerprint in present:
            self._strike(fingerprint, "shared", death_id, server, now, out)

    def _counts(self, suspicion, death_id, now):
        if suspicion.until <= now or death_id in suspicion.deaths:
            return False
        return self.chart.has_tag(suspicion, "suspect")

    def _identify_death(self, server):
        """Return the same id at every node that knows the server's incarnation."""
        report = self.node.runs.report_for(server)
        if report is not None and report.incarnation:
            return f"{server}/{report.incarnation}"
        self.deaths_seen += 1
        settings = self.node.settings
        return f"{server}/?{settings.name}.{settings.incarnation}.{self.deaths_seen}"

    def _strike(self, fingerprint, event, death_id, server, now, out):
        suspicion = self._get(fingerprint, now, out)
        if death_id in suspicion.deaths:
            return
        suspicion.trial_id, suspicion.trial_until = "", -inf
        # The level is corrected by the action that tells it to the peers.
        suspicion.note_death(death_id, server, SUSPECTED)
        self._fire(suspicion, event, now, out)
        name = "request_convicted" if self._level(suspicion) == CONVICTED else "request_suspected"
        out.emit(LogEvent(name, f"{fingerprint} on {server}", level="warning"))

    def succeeded(self, request, now, out):
        """Clear a suspect that ran to its end."""
        suspicion = self._find(request, now)
        if suspicion is not None:
            suspicion.trial_id, suspicion.trial_until = "", -inf
            self._fire(suspicion, "success", now, out)

    def take_report(self, sender, report, now, out):
        """Take over what a peer knows, unless it is known here already."""
        suspicion = self._get(report.fingerprint, now, out)
        if report.strikes <= CLEAR:
            if report.death_id == suspicion.last_death():
                self._fire(suspicion, "reported_clear", now, out)
            elif report.death_id not in suspicion.deaths:
                # The peer cleared a death that is not known here; its strike may still arrive.
                older = suspicion.deaths
                suspicion.deaths = {report.death_id: SUSPECTED, **older}
            return
        strikes = min(report.strikes, CONVICTED)
        if suspicion.deaths.get(report.death_id, CLEAR) >= strikes:
            return
        suspicion.note_death(report.death_id, report.server, strikes)
        event = "reported_convicted" if strikes == CONVICTED else "reported_suspect"
        before, until = self._level(suspicion), suspicion.until
        self._fire(suspicion, event, now, out)
        if self._level(suspicion) == strikes:
            told = now + max(0.0, min(report.remaining_s, suspicion.until - now))
            suspicion.until = max(told, until) if before == strikes else told

    def take_peer_up(self, message, now, out):
        """Tell a peer all present suspicions."""
        for suspicion in self.suspicions.values():
            if self.chart.has_tag(suspicion, "suspect") and suspicion.until > now:
                out.emit(SendPeer(message.node, self._describe(suspicion, now)))

    def tick(self, now, out):
        """Let states wear off."""
        for suspicion in [s for s in self.suspicions.values() if s.until <= now]:
            self._fire(suspicion, "wear_off", now, out)
        self.due = min((s.until for s in self.suspicions.values()), default=inf)

    def next_deadline(self):
        """Return a time (s) no later than the first wear-off."""
        return self.due

    def _find(self, request, now):
        # Hashing a long prompt is avoided while nothing is suspected.
        if not self.suspicions:
            return None
        suspicion = self.suspicions.get(digest_request(request))
        return suspicion if suspicion is not None and suspicion.until > now else None

    def _is_suspect(self, request, now):
        suspicion = self._find(request, now)
        return suspicion is not None and self.chart.has_tag(suspicion, "suspect")

    def _get(self, fingerprint, now, out):
        """Return the suspicion of a fingerprint, as the newest of the table."""
        suspicion = self.suspicions.get(fingerprint)
        if suspicion is not None and suspicion.until <= now:
            self._fire(suspicion, "wear_off", now, out)
        suspicion = self.suspicions.pop(fingerprint, None)
        if suspicion is None:
            suspicion = Suspicion(self.chart.initial, fingerprint)
            self.keep_memory(suspicion, now, out)
            self._make_room(out)
        self.suspicions[fingerprint] = suspicion
        self.due = min(self.due, suspicion.until)
        return suspicion

    def _make_room(self, out):
        """Drop the oldest suspicion, a conviction only if there is nothing else."""
        if len(self.suspicions) < MAX_SUSPICIONS:
            return
        mild = (f for f, s in self.suspicions.items() if not self.chart.has_tag(s, "refused"))
        dropped = next(mild, None) or next(iter(self.suspicions))
        del self.suspicions[dropped]
        out.emit(LogEvent("suspicion_dropped", dropped, level="warning"))

    def _fire(self, suspicion, event, now, out):
        self.chart.fire(suspicion, event, self, now, out)
        self.due = min(self.due, suspicion.until)

    def _level(self, suspicion):
        if self.chart.has_tag(suspicion, "refused"):
            return CONVICTED
        return SUSPECTED if self.chart.has_tag(suspicion, "suspect") else CLEAR

    def _describe(self, suspicion, now):
        return CrashReport(
            suspicion.fingerprint,
            self._level(suspicion),
            suspicion.server,
            max(0.0, suspicion.until - now),
            suspicion.last_death(),
        )

    # Actions of the chart.

    def keep_memory(self, suspicion, now, out):
        """Remember the deaths for a while."""
        suspicion.until = now + MEMORY_S

    def start_suspicion(self, suspicion, now, out):
        """Suspect the fingerprint."""
        suspicion.until = now + SUSPICION_S

    def start_conviction(self, suspicion, now, out):
        """Refuse the fingerprint."""
        suspicion.until = now + CONVICTION_S

    def announce(self, suspicion, now, out):
        """Tell all peers."""
        level = self._level(suspicion)
        suspicion.until = now + (MEMORY_S, SUSPICION_S, CONVICTION_S)[level]
        death_id = suspicion.last_death()
        suspicion.deaths[death_id] = max(level, suspicion.deaths.get(death_id, CLEAR))
        for peer in self.node.settings.peers:
            out.emit(SendPeer(peer, self._describe(suspicion, now)))

    def drop(self, suspicion, now, out):
        """Forget the fingerprint."""
        self.suspicions.pop(suspicion.fingerprint, None)
