"""Messages of the shell about single backend servers, outside the runs of requests."""

from medlarbeam.classes.record import Record

__all__ = ["EngineStateResult", "ProbeResult", "ServerLeaving", "ServerOrderResult"]


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
    """

    __slots__ = ("is_accepted", "is_refused", "reason", "server")

    def __init__(self, server, is_refused, reason, is_accepted=False):
        self.is_accepted = is_accepted
        self.server = server
        self.is_refused = is_refused
        self.reason = reason
