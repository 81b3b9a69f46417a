"""Messages and effects that attribute the responses to runs to starts of backend servers."""

from medlarbeam.classes.record import Record

__all__ = [
    "AcceptRun",
    "CheckServerStart",
    "RejectRun",
    "RunAnswered",
    "RunProgressed",
    "ServerStartResult",
    "WatchProgress",
]


class RunAnswered(Record):
    """The head of a response has arrived that is held back until `AcceptRun` or `RejectRun`.

    Parameters
    ----------
    run_id : str
    connected_at : float
        Time (s) at which the connection of the run was established.
    """

    __slots__ = ("connected_at", "run_id")

    def __init__(self, run_id, connected_at):
        self.run_id = run_id
        self.connected_at = connected_at


class RunProgressed(Record):
    """A run for which `WatchProgress` asked has brought data.

    Parameters
    ----------
    run_id : str
    received_at : float
        Time (s) at which data last arrived on its connection; it may have waited to be read.
    """

    __slots__ = ("received_at", "run_id")

    def __init__(self, run_id, received_at):
        self.run_id = run_id
        self.received_at = received_at


class ServerStartResult(Record):
    """Result of `CheckServerStart`.

    Parameters
    ----------
    server : ServerRegistration
    started_at_ms : int or None
        Wall clock time at which the server started (ms), None if its report states none.
    sent_at : float
        Time (s) just before the report was asked for.
    reason : str
        Why there is no report, "" if there is one.
    """

    __slots__ = ("reason", "sent_at", "server", "started_at_ms")

    def __init__(self, server, started_at_ms, sent_at, reason=""):
        self.server = server
        self.started_at_ms = started_at_ms
        self.sent_at = sent_at
        self.reason = reason


class AcceptRun(Record):
    """Pass the response to a run on.

    Parameters
    ----------
    run_id : str
    origin : SoftwareVersion or None
        Version that has written the response, for the node that forwards the request; None if it
        is not known.
    """

    __slots__ = ("origin", "run_id")

    def __init__(self, run_id, origin):
        self.run_id = run_id
        self.origin = origin


class RejectRun(Record):
    """Discard the response to a run, which ends as interrupted for `reason`."""

    __slots__ = ("reason", "run_id")

    def __init__(self, run_id, reason):
        self.run_id = run_id
        self.reason = reason


class CheckServerStart(Record):
    """Ask a backend server when it started."""

    __slots__ = ("server",)

    def __init__(self, server):
        self.server = server


class WatchProgress(Record):
    """Deliver `RunProgressed` when one of the runs `run_ids` next brings data."""

    __slots__ = ("run_ids",)

    def __init__(self, run_ids):
        self.run_ids = run_ids
