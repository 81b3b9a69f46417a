"""Messages of the shell about single backend servers, outside the runs of requests."""

from medlarbeam.classes.record import Record

__all__ = [
    "EngineStateResult",
    "ProbeResult",
    "RunClosed",
    "ServerLeaving",
    "ServerOrderResult",
]


class ServerLeaving(Record):
    """A backend server stated in an answer that it leaves.

    Parameters
    ----------
    server : str
    started_at_ms : int
        Incarnation to which the request was sent, see `ServerRegistration`.
    request_id : str
        Id of the request that was answered, "" for an order or a state report.
    source : str
        Kind of the answer: ``success``, ``refusal``, ``failure``, ``stream``, ``order`` or
        ``report``.
    value : str
        The statement as it was read.
    """

    __slots__ = ("request_id", "server", "source", "started_at_ms", "value")

    def __init__(self, server, started_at_ms, request_id, source, value):
        self.server = server
        self.started_at_ms = started_at_ms
        self.request_id = request_id
        self.source = source
        self.value = value


class ServerOrderResult(Record):
    """Result of a `ServerOrder`.

    Parameters
    ----------
    order : ServerOrder
    status : int
        HTTP status, 0 if there was no response; the order may then still be carried out later.
    reason : str
    pause : PauseRequest or None
        Pause that the backend server asks for when it turns the order away.
    """

    __slots__ = ("order", "pause", "reason", "status")

    def __init__(self, order, status, reason, pause=None):
        self.order = order
        self.status = status
        self.reason = reason
        self.pause = pause


class EngineStateResult(Record):
    """Result of `FetchEngineState`.

    Parameters
    ----------
    server : str
    state : EngineState or None
        None on failure.
    reason : str
    pause : PauseRequest or None
        Pause that the backend server asks for when it turns the call away.
    """

    __slots__ = ("pause", "reason", "server", "state")

    def __init__(self, server, state, reason, pause=None):
        self.server = server
        self.state = state
        self.reason = reason
        self.pause = pause


class ProbeResult(Record):
    """Result of `ProbeServer`.

    Parameters
    ----------
    server : str
    is_refused : bool
        Whether the connection was refused, so that no process listens at the address.
    reason : str
    is_accepted : bool
        Whether the connection was accepted.
    asked_path : str or None
        As in the effect.
    is_answered : bool
        Whether the server has answered; only this shows that more than a proxy is there.
    started_at_ms : int or None
        Wall clock time at which the server states to have started (ms), None if it states none.
    is_other_server : bool
        Whether another server has answered at the address.
    """

    __slots__ = (
        "asked_path",
        "is_accepted",
        "is_answered",
        "is_other_server",
        "is_refused",
        "reason",
        "server",
        "started_at_ms",
    )

    def __init__(
        self,
        server,
        is_refused,
        reason,
        is_accepted=False,
        asked_path=None,
        is_answered=False,
        started_at_ms=None,
        is_other_server=False,
    ):
        self.server = server
        self.is_refused = is_refused
        self.reason = reason
        self.is_accepted = is_accepted
        self.asked_path = asked_path
        self.is_answered = is_answered
        self.started_at_ms = started_at_ms
        self.is_other_server = is_other_server


class RunClosed(Record):
    """A response without a length has ended with its connection.

    Its end is held back until `AcceptRun` or `RejectRun`, since it may have been cut short by the
    end of its server.
    """

    __slots__ = ("run_id",)

    def __init__(self, run_id):
        self.run_id = run_id
