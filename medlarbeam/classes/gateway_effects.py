"""Effects that a gateway asks its shell to carry out, besides `LogEvent` and `Exit`."""

from medlarbeam.classes.record import Record

__all__ = [
    "CutAnswer",
    "KeepLease",
    "PassAnswer",
    "ReadState",
    "RefuseRequest",
    "ReleaseRights",
    "RequestMeasured",
    "SendDatagram",
    "ServerLoad",
    "ServerOrder",
    "StartFleetRun",
    "StopFleetRun",
    "StopListening",
    "TakeRight",
]


class ServerLoad(Record):
    """Load that a backend server tells with an answer."""

    __slots__ = ("running", "slots", "waiting")

    def __init__(self, running, waiting, slots):
        self.running = running
        self.waiting = waiting
        self.slots = slots


class StartFleetRun(Record):
    """Send a request to a backend server.

    Parameters
    ----------
    run_id, request_id : str
    server : ServerEntry
    deadline : float
        Monotonic time (s) after which the backend server may stop.
    priority : int
    version : int
        Version of the adapter that the backend server must hold, 0 for any.
    is_stream : bool
        Whether the answer is a series of events.
    is_once : bool
        Whether the request must not meet a connection that the backend server may be closing.
    first_limit_s, gap_limit_s : float
        Longest wait for the beginning of the answer and for each further event, after which the
        gateway hears `RunStalled`. Infinite for none.
    """

    __slots__ = (
        "deadline",
        "first_limit_s",
        "gap_limit_s",
        "is_once",
        "is_stream",
        "priority",
        "request_id",
        "run_id",
        "server",
        "version",
    )

    def __init__(
        self,
        run_id,
        request_id,
        server,
        deadline,
        priority,
        version,
        is_stream,
        is_once,
        first_limit_s,
        gap_limit_s,
    ):
        self.first_limit_s = first_limit_s
        self.gap_limit_s = gap_limit_s
        self.run_id = run_id
        self.request_id = request_id
        self.server = server
        self.deadline = deadline
        self.priority = priority
        self.version = version
        self.is_stream = is_stream
        self.is_once = is_once


class StopFleetRun(Record):
    """Close the connection of a run."""

    __slots__ = ("run_id",)

    def __init__(self, run_id):
        self.run_id = run_id


class StopListening(Record):
    """Take no more connections, and close each open one once it is idle."""

    __slots__ = ()

    def __init__(self):
        pass


class PassAnswer(Record):
    """Pass the kept error answer of a run to the caller."""

    __slots__ = ("request_id", "run_id")

    def __init__(self, request_id, run_id):
        self.request_id = request_id
        self.run_id = run_id


class RefuseRequest(Record):
    """Answer a request with a failure; `retry_after_s` is 0 where the caller is not told."""

    __slots__ = ("failure", "request_id", "retry_after_s")

    def __init__(self, request_id, failure, retry_after_s=0.0):
        self.request_id = request_id
        self.failure = failure
        self.retry_after_s = retry_after_s


class RequestMeasured(Record):
    """Count a request that has ended.

    Parameters
    ----------
    kind : RouteKind
    priority : int
    outcome : str
        ``served``, ``error_passed``, ``cut``, ``left`` or the value of an `ErrorKind`.
    first_s : float or None
        Time until the answer began, None if it did not.
    wait_s : float
        Time until the request was sent to a backend server, or until it ended without that.
    sends : int
    """

    __slots__ = ("first_s", "kind", "outcome", "priority", "sends", "wait_s")

    def __init__(self, kind, priority, outcome, first_s, wait_s, sends):
        self.kind = kind
        self.priority = priority
        self.outcome = outcome
        self.first_s = first_s
        self.wait_s = wait_s
        self.sends = sends


class CutAnswer(Record):
    """Close the caller's connection: its answer cannot be completed."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class KeepLease(Record):
    """Renew the lease of the node, or get one, for `ttl_s` seconds."""

    __slots__ = ("ttl_s",)

    def __init__(self, ttl_s):
        self.ttl_s = ttl_s


class TakeRight(Record):
    """Write the right to order `server`.

    Parameters
    ----------
    server : str
    revision : int
        Revision that the entry must still have, 0 if there must be none.
    gone_node : str
        Node whose registration must be missing, "" for none.
    """

    __slots__ = ("gone_node", "revision", "server")

    def __init__(self, server, revision, gone_node):
        self.server = server
        self.revision = revision
        self.gone_node = gone_node


class ReleaseRights(Record):
    """Give `rights` (list of OrderRight) back and end the node's lease."""

    __slots__ = ("rights",)

    def __init__(self, rights):
        self.rights = rights


class ServerOrder(Record):
    """Order a backend server to load or unload.

    Parameters
    ----------
    server : ServerEntry
    is_load : bool
    key : AdapterKey
        With an empty adapter for the base model.
    version : int
        Version to load, 0 for the newest.
    orders : int
        Orders that the backend server must have accepted, else it refuses this one.
    fence : int
    """

    __slots__ = ("fence", "is_load", "key", "orders", "server", "version")

    def __init__(self, server, is_load, key, version, orders, fence):
        self.server = server
        self.is_load = is_load
        self.key = key
        self.version = version
        self.orders = orders
        self.fence = fence


class ReadState(Record):
    """Ask a backend server what it holds."""

    __slots__ = ("server",)

    def __init__(self, server):
        self.server = server


class SendDatagram(Record):
    """Send a message to another node; it may be lost."""

    __slots__ = ("address", "body")

    def __init__(self, address, body):
        self.address = address
        self.body = body
