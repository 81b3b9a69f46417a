"""Messages that the shell passes into a node, besides `KvResult`."""

from medlarbeam.classes.record import Record

__all__ = [
    "CallerGone",
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
    """A caller's request that passed the syntax checks."""

    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


class CallerGone(Record):
    """The caller closed the connection before the answer was complete."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class PeerMessage(Record):
    """A message of another node, decoded and authenticated."""

    __slots__ = ("body", "sender")

    def __init__(self, sender, body):
        self.sender = sender
        self.body = body


class PeerUp(Record):
    """A link to a peer was set up."""

    __slots__ = ("incarnation", "node")

    def __init__(self, node, incarnation):
        self.node = node
        self.incarnation = incarnation


class PeerDown(Record):
    """The link to a peer is closed."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node


class SendFailed(Record):
    """A peer message was not sent, so the peer surely did not get it."""

    __slots__ = ("body", "node")

    def __init__(self, node, body):
        self.node = node
        self.body = body


class EngineChunk(Record):
    """A piece of text of a run.

    Parameters
    ----------
    run_id : str
    position : int
        Counts the chunks of this run from 0.
    text : str
    model : str
        Model that the server names as the source of the text, "" for a plain service.
    """

    __slots__ = ("model", "position", "run_id", "text")

    def __init__(self, run_id, position, text, model=""):
        self.run_id = run_id
        self.position = position
        self.text = text
        self.model = model


class EngineEnd(Record):
    """A run is complete; `model` is what the server says produced it."""

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
        ``SERVER_REFUSED`` if nothing was sent or the server said that it did not run the request,
        ``SERVER_LOST`` if the connection broke after the first byte, ``SERVER_ERROR`` otherwise.
    """

    __slots__ = ("failure", "run_id")

    def __init__(self, run_id, failure):
        self.run_id = run_id
        self.failure = failure


class LoadResult(Record):
    """Outcome of `LoadAdapter`; `failure` is None on success.

    Notes
    -----
    `held` says that the engine refused the order because it holds or loads the adapter already.
    """

    __slots__ = ("failure", "held", "model", "server")

    def __init__(self, server, model, failure=None, held=False):
        self.server = server
        self.model = model
        self.failure = failure
        self.held = held


class UnloadResult(Record):
    """Outcome of `UnloadAdapter`; `failure` is None on success."""

    __slots__ = ("failure", "model", "server")

    def __init__(self, server, model, failure=None):
        self.server = server
        self.model = model
        self.failure = failure


class EngineReport(Record):
    """Answer to `PollServer`.

    Parameters
    ----------
    server : str
    asked_at : float
        Monotonic time (s) at which the poll was sent.
    failure : Failure or None
        Set if the server was not reached; the other fields are then empty.
    incarnation : str
        Changes when the server restarts.
    resident : list of str
        Models that are loaded.
    running : list of ModelCount
        Runs by model, as of the report lag before the answer.
    leaving : bool
        The server says that it shuts down.
    """

    __slots__ = ("asked_at", "failure", "incarnation", "leaving", "resident", "running", "server")

    def __init__(
        self, server, asked_at, incarnation="", resident=(), running=(), leaving=False, failure=None
    ):
        self.server = server
        self.asked_at = asked_at
        self.incarnation = incarnation
        self.resident = list(resident)
        self.running = list(running)
        self.leaving = leaving
        self.failure = failure


class VmList(Record):
    """The VM list was read; `asked_at` is the monotonic time (s) of the read, `vms` VmEntry."""

    __slots__ = ("asked_at", "vms")

    def __init__(self, asked_at, vms):
        self.asked_at = asked_at
        self.vms = vms


class OperatorRequest(Record):
    """An order or question of an operator.

    Parameters
    ----------
    op_id : str
        Returned with the `OperatorAnswer`.
    operator : str
    action : str
        ``apply_note``, ``dry_run_note``, ``show_note``, ``list_notes``, ``status``, ``drain``,
        ``undrain`` or ``audit``.
    subject : str
        Note id or backend server name, where the action has one.
    note : ReleaseNote or None
    wall_time_s : float
        Wall clock time of the order, for the audit trail.
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
    """The process was asked to stop."""

    __slots__ = ()

    def __init__(self):
        pass
