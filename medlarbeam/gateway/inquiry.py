"""One inquiry into what became of a backend server, and what it knows of runs and crashes."""

from math import inf

__all__ = [
    "HOLD_S",
    "INQUIRY_S",
    "PROBE_INTERVAL_S",
    "CancelledRun",
    "EndedStart",
    "Inquiry",
    "SuspectedRun",
]

PROBE_INTERVAL_S = 0.2  # between the first probes of a backend server
INQUIRY_S = 30.0  # after which it is given up
HOLD_S = 2.0  # for which the end of a response is held back; callers give up after gaps of 2 s


class SuspectedRun:
    """A run that a server may have crashed under.

    Parameters
    ----------
    request : GatewayRequest
    sent_at, lost_at : float
        Times (s) of its send, and of its end or of the last data.
    """

    __slots__ = ("lost_at", "request", "sent_at")

    def __init__(self, request, sent_at, lost_at):
        self.request = request
        self.sent_at = sent_at
        self.lost_at = lost_at


class Inquiry:
    """An inquiry into one start of a backend server; has a state in the chart ``crash_inquiry``.

    Parameters
    ----------
    entry : ServerRegistration
    state : str
    lost_at : float
        Time (s) of the first loss, or of the last data.

    Attributes
    ----------
    runs : dict of str to SuspectedRun
        By run id.
    held : dict of str to float
        Times (s) at which responses without a length ended that are held back, by run id.
    death_id : str
        Id of the crash that was reported, "" for none.
    is_exact : bool
        Whether the loss of a connection tells `lost_at`, not only silence.
    alive_at : float
        Latest time (s) at which a run that is silent now has brought data.
    is_probing, is_unreachable : bool
        Whether a probe is in progress, and whether the server was reported as unreachable.
    asked_path : str or None
        What the last probe has asked for, see `ProbeServer`.
    opened_at : float
        Time (s) at which the first loss was noticed.
    asked_at, probe_at, answered_at : float
        Times (s) of the last probe, of the next one, and of the last probe that was answered.
    interval_s : float
        Time (s) between the last probe and the next.
    unanswered : int
        Number of probes without an answer.
    evidence : str
        What the last probe or entry has shown.
    """

    __slots__ = (
        "alive_at",
        "answered_at",
        "asked_at",
        "asked_path",
        "death_id",
        "entry",
        "evidence",
        "held",
        "interval_s",
        "is_exact",
        "is_probing",
        "is_unreachable",
        "lost_at",
        "opened_at",
        "probe_at",
        "runs",
        "state",
        "unanswered",
    )

    def __init__(self, entry, state, lost_at, now):
        self.entry = entry
        self.state = state
        self.lost_at = lost_at
        self.opened_at = now
        self.runs = {}
        self.held = {}
        self.death_id = ""
        self.is_exact = False
        self.alive_at = -inf
        self.is_probing = False
        self.is_unreachable = False
        self.asked_path = None
        self.asked_at = -inf
        self.probe_at = inf
        self.answered_at = inf
        self.interval_s = PROBE_INTERVAL_S
        self.unanswered = 0
        self.evidence = ""

    @property
    def key(self):
        """Return the name and the start (ms) of the server."""
        return self.entry.name, self.entry.started_at_ms

    def next_due(self):
        """Return the time (s) of its next step."""
        due = self.opened_at + INQUIRY_S
        if not self.is_probing:
            due = min(due, self.probe_at)
        return min(due, min(self.held.values()) + HOLD_S) if self.held else due


class EndedStart:
    """A start of a backend server that has crashed.

    Parameters
    ----------
    death_id : str
    lost_at, known_at : float
        Times (s) of the crash, and at which it was found out.
    """

    __slots__ = ("death_id", "known_at", "lost_at")

    def __init__(self, death_id, lost_at, known_at):
        self.death_id = death_id
        self.lost_at = lost_at
        self.known_at = known_at


class CancelledRun:
    """A request whose run on the server `start` (name and start) was cancelled at `at` (s)."""

    __slots__ = ("at", "run", "start")

    def __init__(self, relay, at):
        self.at = at
        self.run = SuspectedRun(relay.request, relay.sent_at, at)
        self.start = f"{relay.server.name}/{relay.server.started_at_ms}"
