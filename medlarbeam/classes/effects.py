"""Effects that a node asks its shell to carry out, besides `KvCall`."""

from medlarbeam.classes.record import Record

__all__ = [
    "AnswerChunk",
    "AnswerEnd",
    "AnswerStart",
    "CancelOnServer",
    "Exit",
    "LoadAdapter",
    "LogEvent",
    "OperatorAnswer",
    "PollServer",
    "ReadVmList",
    "RunOnServer",
    "SendPeer",
    "UnloadAdapter",
]


class AnswerStart(Record):
    """Begin the answer to a caller; at most once a request."""

    __slots__ = ("attempt", "model", "request_id", "server")

    def __init__(self, request_id, model, server, attempt):
        self.request_id = request_id
        self.model = model
        self.server = server
        self.attempt = attempt


class AnswerChunk(Record):
    """Pass text to the caller, in order."""

    __slots__ = ("request_id", "text")

    def __init__(self, request_id, text):
        self.request_id = request_id
        self.text = text


class AnswerEnd(Record):
    """End the answer to a caller.

    Parameters
    ----------
    request_id : str
    failure : Failure or None
    model, server : str
        What answered, "" where nothing did.
    status : int
        HTTP status of a plain service.
    attempts : int
    load_wait_s : float
        Seconds that the request waited for an adapter to load.
    replayed : bool
        The answer is the recorded outcome of an earlier request with the same key.
    """

    __slots__ = (
        "attempts",
        "failure",
        "load_wait_s",
        "model",
        "replayed",
        "request_id",
        "server",
        "status",
    )

    def __init__(
        self,
        request_id,
        failure=None,
        model="",
        server="",
        status=200,
        attempts=0,
        load_wait_s=0.0,
        replayed=False,
    ):
        self.request_id = request_id
        self.failure = failure
        self.model = model
        self.server = server
        self.status = status
        self.attempts = attempts
        self.load_wait_s = load_wait_s
        self.replayed = replayed


class SendPeer(Record):
    """Send `body`, a class of `peer_messages`, to a node; dropped where there is no link."""

    __slots__ = ("body", "node")

    def __init__(self, node, body):
        self.node = node
        self.body = body


class RunOnServer(Record):
    """Run a request on a backend server.

    Parameters
    ----------
    run_id : str
    server : BackendServer
    model : str
    request : Request
    prefix : str
        Text that the caller has already; the engine continues behind it.
    """

    __slots__ = ("model", "prefix", "request", "run_id", "server")

    def __init__(self, run_id, server, model, request, prefix=""):
        self.run_id = run_id
        self.server = server
        self.model = model
        self.request = request
        self.prefix = prefix


class CancelOnServer(Record):
    """Cancel a run; its later messages are dropped by the node."""

    __slots__ = ("run_id",)

    def __init__(self, run_id):
        self.run_id = run_id


class LoadAdapter(Record):
    """Order a backend server to load a model from `source` under a fencing number."""

    __slots__ = ("fencing", "model", "server", "source")

    def __init__(self, server, model, source, fencing):
        self.server = server
        self.model = model
        self.source = source
        self.fencing = fencing


class UnloadAdapter(Record):
    """Order a backend server to unload a model.

    Parameters
    ----------
    server : BackendServer
    model : str
    fencing : int
    not_after : float
        Monotonic time (s) after which the shell has to drop the order instead of sending it.
    """

    __slots__ = ("fencing", "model", "not_after", "server")

    def __init__(self, server, model, fencing, not_after):
        self.server = server
        self.model = model
        self.fencing = fencing
        self.not_after = not_after


class PollServer(Record):
    """Ask a backend server for its `EngineReport`."""

    __slots__ = ("asked_at", "server")

    def __init__(self, server, asked_at):
        self.server = server
        self.asked_at = asked_at


class ReadVmList(Record):
    """Read the platform's VM list; answered by `VmList` or not at all."""

    __slots__ = ("asked_at",)

    def __init__(self, asked_at):
        self.asked_at = asked_at


class OperatorAnswer(Record):
    """Answer an operator.

    Parameters
    ----------
    op_id : str
    failure : Failure or None
    document : dict
        JSON document for the operator.
    """

    __slots__ = ("document", "failure", "op_id")

    def __init__(self, op_id, failure, document):
        self.op_id = op_id
        self.failure = failure
        self.document = document


class LogEvent(Record):
    """Write a log line and count it.

    Parameters
    ----------
    name : str
        Name of the event, also the label of the metric, for example ``eviction_refused``.
    detail : str
    request_id : str
    level : str
        ``info``, ``warning`` or ``error``.
    """

    __slots__ = ("detail", "level", "name", "request_id")

    def __init__(self, name, detail="", request_id="", level="info"):
        self.name = name
        self.detail = detail
        self.request_id = request_id
        self.level = level


class Exit(Record):
    """All work is done after `Shutdown`; the process may end."""

    __slots__ = ()

    def __init__(self):
        pass
