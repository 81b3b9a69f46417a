"""Effects that a node requests from its shell, in addition to `KvCall`."""

from medlarbeam.classes.record import Record

__all__ = [
    "CancelOnServer",
    "Exit",
    "LoadAdapter",
    "LogEvent",
    "OperatorResponse",
    "PollServer",
    "ReadVmList",
    "ResponseChunk",
    "ResponseEnd",
    "ResponseStart",
    "RunOnServer",
    "SendPeer",
    "UnloadAdapter",
]


class ResponseStart(Record):
    """Start the response to a caller; emitted at most once per request."""

    __slots__ = ("attempt", "model", "request_id", "server")

    def __init__(self, request_id, model, server, attempt):
        self.request_id = request_id
        self.model = model
        self.server = server
        self.attempt = attempt


class ResponseChunk(Record):
    """Send the next chunk of text to the caller."""

    __slots__ = ("request_id", "text")

    def __init__(self, request_id, text):
        self.request_id = request_id
        self.text = text


class ResponseEnd(Record):
    """End the response to a caller.

    Parameters
    ----------
    request_id : str
    failure : Failure or None
    model, server : str
        Model and backend server that produced the response, "" if there was none.
    status : int
        HTTP status returned by a plain service.
    attempts : int
        Number of attempts made.
    load_wait_s : float
        Seconds that the request waited for an adapter to load.
    replayed : bool
        Whether the response is the recorded outcome of an earlier request with the same
        idempotency key.
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
    """Send `body`, a message of `peer_messages`, to a node.

    Notes
    -----
    The message is dropped if there is no link to the node.
    """

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
        Text that the caller already received; the engine continues after it.
    """

    __slots__ = ("model", "prefix", "request", "run_id", "server")

    def __init__(self, run_id, server, model, request, prefix=""):
        self.run_id = run_id
        self.server = server
        self.model = model
        self.request = request
        self.prefix = prefix


class CancelOnServer(Record):
    """Cancel a run; the node ignores all further messages of the run."""

    __slots__ = ("run_id",)

    def __init__(self, run_id):
        self.run_id = run_id


class LoadAdapter(Record):
    """Order a backend server to load a model.

    Parameters
    ----------
    server : BackendServer
    model : str
    source : str
        Path of the weights in the weight store.
    fencing_token : int
        Fencing token.
    """

    __slots__ = ("fencing_token", "model", "server", "source")

    def __init__(self, server, model, source, fencing_token):
        self.server = server
        self.model = model
        self.source = source
        self.fencing_token = fencing_token


class UnloadAdapter(Record):
    """Order a backend server to unload a model.

    Parameters
    ----------
    server : BackendServer
    model : str
    fencing_token : int
        Fencing token.
    expires_at : float
        Monotonic time (s) after which the shell must drop the order instead of sending it.
    """

    __slots__ = ("expires_at", "fencing_token", "model", "server")

    def __init__(self, server, model, fencing_token, expires_at):
        self.server = server
        self.model = model
        self.fencing_token = fencing_token
        self.expires_at = expires_at


class PollServer(Record):
    """Poll a backend server; the result is an `EngineReport`."""

    __slots__ = ("requested_at", "server")

    def __init__(self, server, requested_at):
        self.server = server
        self.requested_at = requested_at


class ReadVmList(Record):
    """Read the platform's VM list; a successful read results in a `VmList`."""

    __slots__ = ("requested_at",)

    def __init__(self, requested_at):
        self.requested_at = requested_at


class OperatorResponse(Record):
    """Send the response to an operator.

    Parameters
    ----------
    op_id : str
    failure : Failure or None
    document : dict
        Body of the response, serialised as JSON.
    """

    __slots__ = ("document", "failure", "op_id")

    def __init__(self, op_id, failure, document):
        self.op_id = op_id
        self.failure = failure
        self.document = document


class LogEvent(Record):
    """Write a log line and increment the event counter.

    Parameters
    ----------
    name : str
        Name of the event and value of the metric label, for example ``eviction_refused``.
    detail : str
        Text of the log line.
    request_id : str
        Id of the request that the event belongs to, "" for none.
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
    """Exit the process; all work has completed after `Shutdown`."""

    __slots__ = ()

    def __init__(self):
        pass
