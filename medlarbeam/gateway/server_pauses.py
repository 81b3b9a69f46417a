"""Pauses that backend servers ask this node for, and the requests that wait for their end."""

from bisect import bisect_left, insort
from math import ceil, inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import ServerRegistration
from medlarbeam.classes.gateway_messages import EntryUpdated
from medlarbeam.node.component import Component

__all__ = ["MAX_PAUSE_S", "PauseRefusal", "ServerPause", "ServerPauses"]

# No request waits longer for a server, so a longer pause only means that the server is asked again
# later. The users' rule allows two requests in a pause. One after each minute keeps it for pauses
# of up to three minutes, and a value in a wrong unit costs a server a minute, not a day.
MAX_PAUSE_S = 60.0
# After a pause, the rate of all nodes begins at the requests that the server runs at once in a
# second, and doubles in each step. The recovery goes on while requests wait.
RECOVERY_S = 1.0
RECOVERY_STEP_S = 0.25
RECOVERY_STEPS = 4
MAX_INTERVAL_S = 0.5  # between requests after a pause; a node must not wait longer for a turn
MIN_WAIT_S = 0.001  # a shorter wait is below the resolution of the timers
END_MARGIN_S = 0.01  # after the end of a pause, as the server reads its clock later than this node
# Callers that are refused return within this time after the pause, the most urgent ones first.
PRIORITY_BAND_S = 0.5
MAX_BAND = 3  # later priorities share the last band


class ServerPause:
    """A pause of one backend server, or the recovery after it.

    Attributes
    ----------
    state : str
        State of the chart ``server_pause``.
    entry : ServerRegistration
        The incarnation of the server that asked for the pause.
    since, until : float
        Start and end (s) of the pause.
    asked_at : float
        Time (s) of the last response that asked for a pause.
    source : str
        Request or call whose response asked for the end that holds, as text.
    text : str
        Value of that response as received.
    answers : int
        Number of responses that asked for a pause.
    recover_at : float
        Time (s) from which the recovery may end.
    refused : int
        Number of requests that were refused because of it.
    next_send_at : float
        Time (s) from which the next request may be sent.
    queue : list of tuple
        Sort keys of the requests that wait for the server, the most urgent first.
    """

    __slots__ = (
        "answers",
        "asked_at",
        "entry",
        "next_send_at",
        "queue",
        "recover_at",
        "refused",
        "since",
        "source",
        "state",
        "text",
        "until",
    )

    def __init__(self, entry, state, now):
        self.entry = entry
        self.state = state
        self.since = now
        self.until = now
        self.asked_at = now
        self.source = ""
        self.text = ""
        self.answers = 0
        self.refused = 0
        self.next_send_at = now
        self.recover_at = now
        self.queue = []

    def describe(self, now):
        """Return the pause as text for log lines and refusals."""
        return (
            f"server={self.entry.name} asked for a pause of {self.text} s in the response to "
            f"{self.source}, {max(0.0, self.until - now):.3f} s are left"
        )


class PauseRefusal:
    """Why a request is refused at once, and the time (s) after which its caller may return."""

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason, retry_after_s):
        self.reason = reason
        self.retry_after_s = retry_after_s


class ServerPauses(Component):
    """Drives the chart ``server_pause`` of each backend server that asked for a pause.

    Attributes
    ----------
    pauses : dict of str to ServerPause
        By backend server.
    waiting : dict of str to ServerPause
        The pause for whose end a request waits, by request id.
    """

    __slots__ = ("chart", "pauses", "waiting")

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("server_pause", ServerPauses)
        self.pauses = {}
        self.waiting = {}

    def handlers(self):
        """Return the handler method of each message class."""
        return {EntryUpdated: self.handle_entry_updated}

    def handle_entry_updated(self, message, now, out):
        """End the pause of a backend server that has restarted."""
        if isinstance(message.value, ServerRegistration):
            pause = self.pauses.get(message.value.name)
            if pause is not None and not self._is_current(pause):
                self._end(pause, "forgotten", "the server has restarted", now, out)

    def begin_start(self, entry, copied_at):
        """Keep a pause that the new start of a backend server may have asked for.

        It may have answered before its entry was read: it has not started earlier than a heartbeat
        before `copied_at`, the time (s) up to which the copy of the store was known to be current.
        """
        pause = self.pauses.get(entry.name)
        if pause is not None and pause.asked_at > copied_at - self.node.settings.heartbeat_s:
            pause.entry = entry

    def _is_current(self, pause):
        known = self.node.fleet.servers.get(pause.entry.name)
        return known is not None and known.entry.started_at_ms == pause.entry.started_at_ms

    # What servers ask for

    def record_request(self, entry, request_id, request, now, out, source="run"):
        """Record that the refusal of a run, an order or a state read asks for a pause.

        The later end holds: each response asks for its own time, and responses to requests that
        were sent before the first one arrive in any order.

        Returns
        -------
        bool
            Whether the server is paused now.
        """
        problem = request.problem
        known = self.node.fleet.servers.get(entry.name)
        if known is not None and known.entry.started_at_ms != entry.started_at_ms:
            problem = "the server has restarted since the request was sent"
        if problem or request.pause_s is None:
            detail = f"server={entry.name} value={request.text} {problem}"
            out.emit(LogEvent("pause_unread", detail, request_id))
            return self.is_paused(entry, now)
        pause_s = min(request.pause_s, MAX_PAUSE_S)
        if pause_s <= 0.0:
            return self.is_paused(entry, now)
        pause = self._find(entry, now, out)
        is_new = pause is None
        if is_new:
            pause = self.pauses[entry.name] = ServerPause(entry, self.chart.initial, now)
        was_paused = not is_new and self.chart.has_tag(pause, "paused")
        pause.answers += 1
        pause.asked_at = now
        until = self._find_end_of_answers(pause, now + pause_s)
        if until != pause.until:
            pause.until = until
            pause.source = f"request={request_id}" if request_id else f"the {source}"
            pause.text = request.text
        pause.next_send_at = pause.until + END_MARGIN_S
        pause.recover_at = pause.next_send_at + RECOVERY_S
        self.chart.fire(pause, "asked", self, now)
        if not was_paused:
            out.emit(
                LogEvent(
                    "server_paused",
                    f"server={entry.name} request={request_id} value={request.text} "
                    f"pause_s={pause_s:.3f} source=503 to a {source}",
                )
            )
        return True

    def _find_end_of_answers(self, pause, asked_until):
        """Return the time (s) at which a pause ends after another answer asked for an end."""
        return max(pause.until, asked_until)

    def _find(self, entry, now, out):
        """Return the `ServerPause` of a backend server, or None."""
        pause = self.pauses.get(entry.name)
        if pause is not None and pause.entry.started_at_ms != entry.started_at_ms:
            self._end(pause, "forgotten", "the server has restarted", now, out)
            return None
        return pause

    def _get(self, entry):
        """Return the `ServerPause` of this incarnation of a backend server, or None."""
        pause = self.pauses.get(entry.name)
        is_same = pause is not None and pause.entry.started_at_ms == entry.started_at_ms
        return pause if is_same else None

    # What may be sent

    def is_paused(self, entry, now):
        """Return whether nothing may be sent to a backend server at `now` (s)."""
        pause = self._get(entry)
        return pause is not None and now < pause.until + END_MARGIN_S

    def find_wait(self, entry, relay, now):
        """Return the time (s) until a relay may be sent to a backend server.

        After a pause the server gets one request after the other, the most urgent ones first.
        """
        pause = self._get(entry)
        if pause is None:
            return 0.0
        position = bisect_left(pause.queue, self._sort_key(relay))
        limits = self.node.limits
        wait_s = max(pause.next_send_at, self._find_turn(pause, position, now)) - now
        token_wait_s = limits.find_token_wait(entry.name, now)
        if position:
            token_wait_s += position * limits.find_interval(entry.name)
        wait_s = max(wait_s, token_wait_s)
        return wait_s if wait_s >= MIN_WAIT_S else 0.0

    def _find_turn(self, pause, position, now):
        """Return the time (s) at which the request at a position in the queue may be sent."""
        at = max(pause.next_send_at, now)
        while position > 0:
            interval_s = self._find_spread(pause, at)
            step = self._count_steps(pause, at)
            sends = position
            if step < RECOVERY_STEPS:
                step_end = pause.until + (step + 1) * RECOVERY_STEP_S
                sends = min(position, max(1, ceil((step_end - at) / interval_s)))
            at += sends * interval_s
            position -= sends
        return at

    def has_pause(self, entry):
        """Return whether `find_wait` decides when a backend server gets requests."""
        return self._get(entry) is not None

    def find_blocking(self, entries, relay, now):
        """Return the `PauseRefusal` of a relay that none of `entries` takes in time, or None.

        Parameters
        ----------
        entries : list of ServerRegistration
            Backend servers that could run the request.
        relay : Relay
        now : float
        """
        pauses = [pause for entry in entries if (pause := self._get(entry)) is not None]
        limit_s = relay.find_wait_limit() - now
        if (
            not pauses
            or len(pauses) < len(entries)
            or any(self.find_wait(pause.entry, relay, now) < limit_s for pause in pauses)
        ):
            return None
        pause = min(pauses, key=lambda p: p.next_send_at)
        pause.refused += 1
        band = min(relay.priority, MAX_BAND) + self.node.rng.random()
        retry_after_s = max(0.0, pause.next_send_at - now) + PRIORITY_BAND_S * band
        reason = f"each of {len(entries)} backend servers pauses; {pause.describe(now)}"
        return PauseRefusal(reason, retry_after_s)

    def wait(self, entry, relay):
        """Give a relay its place among the requests that wait for a backend server."""
        self.leave(relay)
        pause = self._get(entry)
        if pause is not None:
            insort(pause.queue, self._sort_key(relay))
            self.waiting[relay.request.request_id] = pause

    def leave(self, relay):
        """Remove a relay from the requests that wait for a backend server."""
        pause = self.waiting.pop(relay.request.request_id, None)
        if pause is not None:
            del pause.queue[bisect_left(pause.queue, self._sort_key(relay))]

    def record_send(self, entry, now):
        """Count a request that is sent to a backend server."""
        pause = self._get(entry)
        if pause is not None:
            spread_s = self._find_spread(pause, now)
            pause.next_send_at = max(pause.next_send_at, now + spread_s)

    def _sort_key(self, relay):
        return (relay.priority, relay.goal_at, relay.request.request_id)

    def _find_spread(self, pause, now):
        """Return the time (s) between two requests of this node in the recovery.

        All nodes may have been asked for the pause, so they share the places of the server.
        """
        nodes = max(1, len(self.node.fleet.nodes))
        interval_s = min(MAX_INTERVAL_S, RECOVERY_S * nodes / max(1, pause.entry.concurrency))
        return interval_s / 2 ** self._count_steps(pause, now)

    def _count_steps(self, pause, now):
        """Return how often the rate of the recovery has doubled."""
        return max(0, min(RECOVERY_STEPS, int((now - pause.until) / RECOVERY_STEP_S)))

    # The end of a pause

    def next_deadline(self):
        """Return the time (s) at which the next pause or recovery ends."""
        if not self.pauses:
            return inf
        return min(self._find_end(pause) for pause in self.pauses.values())

    def _find_end(self, pause):
        is_paused = self.chart.has_tag(pause, "paused")
        return pause.until + END_MARGIN_S if is_paused else pause.recover_at

    def tick(self, now, out):
        """End the pauses and recoveries that are due."""
        for pause in list(self.pauses.values()):
            if self._find_end(pause) > now:
                continue
            if not self._is_current(pause):
                self._end(pause, "forgotten", "the server has restarted", now, out)
            elif self.chart.has_tag(pause, "paused"):
                self._log_end(pause, "its time is over", now, out)
                self.chart.fire(pause, "elapsed", self, now)
            else:
                pause.recover_at = now + RECOVERY_STEP_S  # unless it ends now
                self.chart.fire(pause, "recovered", self, now)

    def _end(self, pause, event, reason, now, out):
        if self.chart.has_tag(pause, "paused"):
            self._log_end(pause, reason, now, out)
        self.chart.fire(pause, event, self, now)

    def _log_end(self, pause, reason, now, out):
        out.emit(
            LogEvent(
                "server_pause_ended",
                f"server={pause.entry.name} {pause.source} value={pause.text} "
                f"lasted_s={now - pause.since:.3f} answers={pause.answers} "
                f"waiting={len(pause.queue)} refused={pause.refused} {reason}",
            )
        )

    def count_paused(self, now):
        """Return the number of backend servers that are paused."""
        return sum(1 for p in self.pauses.values() if now < p.until + END_MARGIN_S)

    # Guards and actions of the chart

    def has_no_queue(self, pause, now):
        """Return whether no request waits for the server."""
        return not pause.queue

    def repeat_pause(self, pause, now):
        """Begin another pause after the one that has ended."""
        pause.since = now
        pause.answers = 1
        pause.refused = 0

    def remove(self, pause, now):
        """Forget a pause; the requests that waited for its end are selected for again."""
        if self.pauses.get(pause.entry.name) is pause:
            del self.pauses[pause.entry.name]
