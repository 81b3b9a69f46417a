"""Messages that the shell delivers to a node, in addition to `KvResult`."""

from medlarbeam.classes.record import Record

__all__ = [
    "CallerDisconnected",
    "CallerRequest",
    "EngineChunk",
    "EngineEnd",
    "EngineFailure",
    "EngineReport",
    "LoadResult",
    "OperatorRequest",
    "PeerDown",
    "PeerMessage",
    "PeerUp",
    "SendFailed",
    "Shutdown",
    "UnloadResult",
    "VmList",
]


class CallerRequest(Record):
    """A request from a caller that passed syntax validation."""

    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


class CallerDisconnected(Record):
    """The caller closed the connection before the response was complete."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class PeerMessage(Record):
    """A message from another node, decoded and authenticated."""

    __slots__ = ("body", "sender")

    def __init__(self, sender, body):
        self.sender = sender
        self.body = body


class PeerUp(Record):
    """The link to a peer was established."""

    __slots__ = ("incarnation", "node")

    def __init__(self, node, incarnation):
        self.node = node
        self.incarnation = incarnation


class PeerDown(Record):
    """The link to a peer was closed."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node


class SendFailed(Record):
    """A peer message was not sent; the peer cannot have received it."""

    __slots__ = ("body", "node")

    def __init__(self, node, body):
        self.node = node
        self.body = body


class EngineChunk(Record):
    """A chunk of text produced by a run.

    Parameters
    ----------
    run_id : str
    position : int
        Zero-based index of the chunk in this run.
    text : str
    model : str
        Model that the server reports as the source of the text, "" for a plain service.
    """

    __slots__ = ("model", "position", "run_id", "text")

    def __init__(self, run_id, position, text, model=""):
        self.run_id = run_id
        self.position = position
        self.text = text
        self.model = model


class EngineEnd(Record):
    """A run completed; `model` is the model that the server reports as the source."""

    __slots__ = ("chunks", "model", "run_id", "status")

    def __init__(self, run_id, chunks, model, status=200):
        self.run_id = run_id
        self.chunks = chunks
        self.model = model
        self.status = status


class EngineFailure(Record):
    """A run failed.

    Parameters
    ----------
    run_id : str
    failure : Failure
        ``SERVER_REFUSED`` if nothing was sent or the server reported that it did not run the
        request, ``SERVER_LOST`` if the connection broke after the first byte was sent,
        ``SERVER_ERROR`` otherwise.
    """

    __slots__ = ("failure", "run_id")

    def __init__(self, run_id, failure):
        self.run_id = run_id
        self.failure = failure


class LoadResult(Record):
    """Outcome of `LoadAdapter`; `failure` is None on success.

    Notes
    -----
    `already_loaded` is True if the engine rejected the order because the adapter is already
    resident or loading.
    """

    __slots__ = ("already_loaded", "failure", "model", "server")

    def __init__(self, server, model, failure=None, already_loaded=False):
        self.server = server
        self.model = model
        self.failure = failure
        self.already_loaded = already_loaded


class UnloadResult(Record):
    """Outcome of `UnloadAdapter`; `failure` is None on success."""

    __slots__ = ("failure", "model", "server")

    def __init__(self, server, model, failure=None):
        self.server = server
        self.model = model
        self.failure = failure


class EngineReport(Record):
    """Response to `PollServer`.

    Parameters
    ----------
    server : str
    requested_at : float
        Monotonic time (s) at which the poll was sent.
    failure : Failure or None
        Set if the server could not be reached; the fields below are then empty.
    incarnation : str
        Changes when the server restarts.
    resident : list of str
        Models that are loaded.
    running : list of ModelCount
        Number of runs of each model. May be out of date by up to the setting `report_lag_s`.
    leaving : bool
        Whether the server is shutting down.
    """

    __slots__ = (
        "failure",
        "incarnation",
        "leaving",
        "requested_at",
        "resident",
        "running",
        "server",
    )

    def __init__(
        self,
        server,
        requested_at,
        incarnation="",
        resident=(),
        running=(),
        leaving=False,
        failure=None,
    ):
        self.server = server
        self.requested_at = requested_at
        self.incarnation = incarnation
        self.resident = list(resident)
        self.running = list(running)
        self.leaving = leaving
        self.failure = failure


class VmList(Record):
    """The VM list was read.

    Parameters
    ----------
    requested_at : float
        Monotonic time (s) at which the read was started.
    vms : list of VmEntry
    """

    __slots__ = ("requested_at", "vms")

    def __init__(self, requested_at, vms):
        self.requested_at = requested_at
        self.vms = vms


class OperatorRequest(Record):
    """An administrative command or query from an operator.

    Parameters
    ----------
    op_id : str
        Correlates the request with its `OperatorResponse`.
    operator : str
    action : str
        ``apply_note``, ``dry_run_note``, ``show_note``, ``list_notes``, ``status``, ``drain``,
        ``undrain`` or ``audit``.
    subject : str
        Note id or backend server name, "" for actions without a subject.
    note : ReleaseNote or None
    wall_time_s : float
        Wall clock time of the request (s since the epoch), for the audit log.
    """

    __slots__ = ("action", "note", "op_id", "operator", "subject", "wall_time_s")

    def __init__(self, op_id, operator, action, subject="", note=None, wall_time_s=0.0):
        self.op_id = op_id
        self.operator = operator
        self.action = action
        self.subject = subject
        self.note = note
        self.wall_time_s = wall_time_s


class Shutdown(Record):
    """The process was asked to shut down."""

    __slots__ = ()

    def __init__(self):
        pass
