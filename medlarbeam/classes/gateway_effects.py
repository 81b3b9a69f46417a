"""Effects that a gateway requests from its shell, in addition to `LogEvent` and `Exit`."""

from medlarbeam.classes.record import Record

__all__ = [
    "AbortResponse",
    "AcquireRight",
    "CancelFleetRun",
    "CloseIdleConnections",
    "FetchConfig",
    "FetchEngineState",
    "PassErrorResponse",
    "ProbeServer",
    "PublishQuarantine",
    "PublishSoftwareVersion",
    "PublishStreams",
    "RecordRequestMetrics",
    "RecordSettledEra",
    "RefuseRequest",
    "ReleaseRights",
    "RenewLease",
    "SendDatagram",
    "ServerLoad",
    "ServerOrder",
    "StartFleetRun",
    "StopListening",
    "SyncStore",
    "WithdrawQuarantine",
    "WithdrawSoftwareVersion",
]


class ServerLoad(Record):
    """Load that a backend server reports in its response headers.

    Parameters
    ----------
    running, waiting : int
        Number of requests running and waiting.
    concurrency : int
        Number of requests that can run at once.
    rate_limit : float or None
        Requests per second that it takes from all nodes together, None for no limit.
    refusal_limit : int or None
        Refusals per second, for lack of room, above which it crashes; None if it names none.
    """

    __slots__ = ("concurrency", "rate_limit", "refusal_limit", "running", "waiting")

    def __init__(self, running, waiting, concurrency, rate_limit=None, refusal_limit=None):
        self.refusal_limit = refusal_limit
        self.running = running
        self.waiting = waiting
        self.concurrency = concurrency
        self.rate_limit = rate_limit


class StartFleetRun(Record):
    """Start a run: send a request to a backend server, or forward it, and relay the response.

    Parameters
    ----------
    run_id, request_id : str
    server : ServerRegistration
    deadline : float
        Monotonic time (s) after which the backend server may abort the run.
    priority : int
    version : int
        Version of the adapter that must be resident, 0 for any.
    is_stream : bool
        Whether the response is an event stream.
    needs_new_connection : bool
        Whether to use a new connection, because the backend server may be closing an idle one
        and the request must not be sent twice, or because it has refused the request before.
    first_event_timeout_s, event_gap_timeout_s : float
        Longest wait for the start of the response and for each further event before `RunStalled`
        is delivered; infinity disables the limit.
    forwarded_runs : int or None
        Number of runs so far of a request that is forwarded to another node, which `server` then
        stands for; None if `server` is a backend server.
    origin : SoftwareVersion or None
        Version that has begun the stream, for the node to which the rest of it is forwarded.
    needs_acceptance : bool
        Whether the response is held back until `AcceptRun`; see `RunAnswered`.
    organisation : str
        Organisation on whose behalf the request runs, "" for none.
    credential : CallerCredential or None
        Credential of the caller, for the node to which the request is forwarded.
    """

    __slots__ = (
        "credential",
        "deadline",
        "event_gap_timeout_s",
        "first_event_timeout_s",
        "forwarded_runs",
        "is_stream",
        "needs_acceptance",
        "needs_new_connection",
        "organisation",
        "origin",
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
        needs_new_connection,
        first_event_timeout_s,
        event_gap_timeout_s,
        forwarded_runs=None,
        origin=None,
        needs_acceptance=False,
        organisation="",
        credential=None,
    ):
        self.credential = credential
        self.organisation = organisation
        self.needs_acceptance = needs_acceptance
        self.forwarded_runs = forwarded_runs
        self.origin = origin
        self.first_event_timeout_s = first_event_timeout_s
        self.event_gap_timeout_s = event_gap_timeout_s
        self.run_id = run_id
        self.request_id = request_id
        self.server = server
        self.deadline = deadline
        self.priority = priority
        self.version = version
        self.is_stream = is_stream
        self.needs_new_connection = needs_new_connection


class CancelFleetRun(Record):
    """Cancel a run by closing its connection."""

    __slots__ = ("run_id",)

    def __init__(self, run_id):
        self.run_id = run_id


class StopListening(Record):
    """Stop accepting connections; those that wait to be accepted still are."""

    __slots__ = ()

    def __init__(self):
        pass


class CloseIdleConnections(Record):
    """Close the idle connections of callers; `CallerConnections` reports how many are left.

    Parameters
    ----------
    quiet_s : float
        Time (s) without a request after which a connection counts as idle.
    """

    __slots__ = ("quiet_s",)

    def __init__(self, quiet_s):
        self.quiet_s = quiet_s


class PassErrorResponse(Record):
    """Send the buffered error response of a run to the caller."""

    __slots__ = ("request_id", "run_id")

    def __init__(self, request_id, run_id):
        self.request_id = request_id
        self.run_id = run_id


class RefuseRequest(Record):
    """Respond to a request with a failure; without a Retry-After header if `retry_after_s` is 0."""

    __slots__ = ("failure", "request_id", "retry_after_s")

    def __init__(self, request_id, failure, retry_after_s=0.0):
        self.request_id = request_id
        self.failure = failure
        self.retry_after_s = retry_after_s


class RecordRequestMetrics(Record):
    """Update the metrics for a request that has ended.

    Parameters
    ----------
    kind : RouteKind
    priority : int
    outcome : str
        ``served``, ``error_passed``, ``cut``, ``left`` or the value of an `ErrorKind`.
    first_response_s : float or None
        Time until the response started, None if it did not start.
    wait_s : float
        Time until the request was first sent to a backend server, or until it ended unsent.
    send_count : int
        Number of times the request was sent to a backend server.
    longest_pause_s : float or None
        Longest time between two events of a complete stream, None for other responses.
    organisation : str
        Organisation of the caller, "" for none.
    tokens : int
        Tokens of the prompt and the response that the caller stated.
    """

    __slots__ = (
        "first_response_s",
        "kind",
        "longest_pause_s",
        "organisation",
        "outcome",
        "priority",
        "send_count",
        "tokens",
        "wait_s",
    )

    def __init__(
        self,
        kind,
        priority,
        outcome,
        first_response_s,
        wait_s,
        send_count,
        longest_pause_s=None,
        organisation="",
        tokens=0,
    ):
        self.organisation = organisation
        self.tokens = tokens
        self.kind = kind
        self.priority = priority
        self.outcome = outcome
        self.first_response_s = first_response_s
        self.wait_s = wait_s
        self.send_count = send_count
        self.longest_pause_s = longest_pause_s


class AbortResponse(Record):
    """Close the caller's connection because the response cannot be completed."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class RenewLease(Record):
    """Renew the node's lease in the store, or register under a new one.

    Parameters
    ----------
    ttl_s : float
        Time to live of a new lease (s).
    must_register : bool
        Whether to register again although the lease may be valid.
    """

    __slots__ = ("must_register", "ttl_s")

    def __init__(self, ttl_s, must_register=False):
        self.ttl_s = ttl_s
        self.must_register = must_register


class AcquireRight(Record):
    """Acquire the right to send orders to `server`, by a conditional write to the store.

    Parameters
    ----------
    server : str
    revision : int
        Revision that the entry must still have, 0 if the entry must not exist.
    missing_node : str
        Node whose registration must not exist, "" for no condition.
    registration_revision : int
        Revision that this node's registration must have.
    """

    __slots__ = ("missing_node", "registration_revision", "revision", "server")

    def __init__(self, server, revision, missing_node, registration_revision):
        self.registration_revision = registration_revision
        self.server = server
        self.revision = revision
        self.missing_node = missing_node


class RecordSettledEra(Record):
    """Record in the store that no holder of an order right of an era before `era` is left."""

    __slots__ = ("era",)

    def __init__(self, era):
        self.era = era


class ReleaseRights(Record):
    """Release `rights` (list of OrderRight) and revoke the node's lease.

    The node's registration must have the revision `registration_revision`.
    """

    __slots__ = ("registration_revision", "rights")

    def __init__(self, rights, registration_revision):
        self.rights = rights
        self.registration_revision = registration_revision


class ServerOrder(Record):
    """Order a backend server to load or unload an adapter or a base model.

    Parameters
    ----------
    server : ServerRegistration
    is_load : bool
        True to load, False to unload.
    key : AdapterKey
        `adapter` is "" for the base model.
    version : int
        Version to load, 0 for the newest.
    orders : int
        Number of orders that the backend server must have accepted so far; otherwise it rejects
        this one.
    fence : int
        Fencing token.
    """

    __slots__ = ("fence", "is_load", "key", "orders", "server", "version")

    def __init__(self, server, is_load, key, version, orders, fence):
        self.server = server
        self.is_load = is_load
        self.key = key
        self.version = version
        self.orders = orders
        self.fence = fence


class FetchEngineState(Record):
    """Request the `EngineState` of a backend server."""

    __slots__ = ("server",)

    def __init__(self, server):
        self.server = server


class FetchConfig(Record):
    """Ask another node, a `NodeRegistration`, for its configuration; `ConfigFetched` follows."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node


class SyncStore(Record):
    """Read the changes of the store now; `StoreSynced` or `StoreUnavailable` follows."""

    __slots__ = ()

    def __init__(self):
        pass


class SendDatagram(Record):
    """Send a message to another node as a datagram, without delivery guarantee."""

    __slots__ = ("address", "body")

    def __init__(self, address, body):
        self.address = address
        self.body = body


class ProbeServer(Record):
    """Check on a new connection whether a backend server accepts connections, or answers.

    Parameters
    ----------
    server : ServerRegistration
    asked_path : str or None
        Path to ask for, "" for the report of a server with an engine, None for a connection
        without a request.
    """

    __slots__ = ("asked_path", "server")

    def __init__(self, server, asked_path=None):
        self.server = server
        self.asked_path = asked_path


class PublishQuarantine(Record):
    """Write the quarantine of `fingerprint` to the store, where it expires after `ttl_s` (s)."""

    __slots__ = ("fingerprint", "ttl_s")

    def __init__(self, fingerprint, ttl_s):
        self.fingerprint = fingerprint
        self.ttl_s = ttl_s


class WithdrawQuarantine(Record):
    """Delete the quarantine of `fingerprint` from the store."""

    __slots__ = ("fingerprint",)

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint


class PublishSoftwareVersion(Record):
    """Write to the store that servers with the `SoftwareVersion` `version` are in service."""

    __slots__ = ("version",)

    def __init__(self, version):
        self.version = version


class WithdrawSoftwareVersion(Record):
    """Delete the entry of the `SoftwareVersion` `version` from the store.

    The entry must have the revision `revision`.
    """

    __slots__ = ("revision", "version")

    def __init__(self, version, revision):
        self.version = version
        self.revision = revision


class PublishStreams(Record):
    """Write the `StreamReport` of this node to the store, in place of the last one.

    The store may delete the entry after `ttl_s` (s).
    """

    __slots__ = ("report", "ttl_s")

    def __init__(self, report, ttl_s):
        self.report = report
        self.ttl_s = ttl_s
