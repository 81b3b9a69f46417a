"""Messages that drive a gateway, besides those that it shares with the other nodes."""

from medlarbeam.classes.record import Record

__all__ = [
    "CallerLeft",
    "EntryGone",
    "EntryRead",
    "FleetRequest",
    "LeaseEnded",
    "LeaseRenewed",
    "NodeDatagram",
    "OrderAnswered",
    "RightAnswered",
    "RunAnswered",
    "RunBroken",
    "RunEnded",
    "RunRefused",
    "RunStalled",
    "RunStarted",
    "SnapshotRead",
    "StateRead",
    "StoreLost",
]


class FleetRequest(Record):
    """A request of a caller arrived in full.

    Parameters
    ----------
    request_id : str
        Unique over all nodes and their restarts.
    attempt_id : str
        Identity that the caller gave to this attempt.
    host, path : str
    deadline : float
        Monotonic time (s) until which the caller waits.
    key : AdapterKey or None
        Model and adapter, None for a plain service.
    tokens : int
        Tokens of the prompt and of the answer that may be generated.
    fingerprint : int
        Digest of what the request asks for, the same for each attempt.
    """

    __slots__ = (
        "attempt_id",
        "deadline",
        "fingerprint",
        "host",
        "key",
        "path",
        "request_id",
        "tokens",
    )

    def __init__(self, request_id, attempt_id, host, path, deadline, key, tokens, fingerprint):
        self.request_id = request_id
        self.attempt_id = attempt_id
        self.host = host
        self.path = path
        self.deadline = deadline
        self.key = key
        self.tokens = tokens
        self.fingerprint = fingerprint


class CallerLeft(Record):
    """The caller closed its connection before its answer was complete."""

    __slots__ = ("request_id",)

    def __init__(self, request_id):
        self.request_id = request_id


class RunStarted(Record):
    """The backend server began its answer; `load` is a `ServerLoad` or None."""

    __slots__ = ("load", "run_id")

    def __init__(self, run_id, load):
        self.run_id = run_id
        self.load = load


class RunEnded(Record):
    """The whole answer was passed to the caller."""

    __slots__ = ("load", "run_id", "status")

    def __init__(self, run_id, status, load):
        self.run_id = run_id
        self.status = status
        self.load = load


class RunAnswered(Record):
    """The backend server answered with an error of its own, which is kept for the caller."""

    __slots__ = ("load", "run_id", "status")

    def __init__(self, run_id, status, load):
        self.run_id = run_id
        self.status = status
        self.load = load


class RunRefused(Record):
    """The backend server did not run the request and says so, or nothing was sent.

    Parameters
    ----------
    run_id : str
    status : int
        0 if nothing was sent.
    reason : str
    load : ServerLoad or None
    """

    __slots__ = ("load", "reason", "run_id", "status")

    def __init__(self, run_id, status, reason, load):
        self.run_id = run_id
        self.status = status
        self.reason = reason
        self.load = load


class RunBroken(Record):
    """The answer did not arrive, or not whole; the request may have run.

    Parameters
    ----------
    run_id, reason : str
    events : int
        Id of the last event that was passed to the caller, 0 for none.
    is_caller_served : bool
        Whether the caller has got a part of the answer.
    is_silent : bool
        Whether the run was given up because nothing came in time.
    """

    __slots__ = ("events", "is_caller_served", "is_silent", "reason", "run_id")

    def __init__(self, run_id, reason, events, is_caller_served, is_silent=False):
        self.is_silent = is_silent
        self.run_id = run_id
        self.reason = reason
        self.events = events
        self.is_caller_served = is_caller_served


class RunStalled(Record):
    """A run has brought nothing for as long as `StartFleetRun` allows; it goes on.

    Parameters
    ----------
    run_id : str
    events : int
        Id of the last event that was passed to the caller, 0 for none.
    quiet_s : float
        Time since it was sent or brought something.
    """

    __slots__ = ("events", "quiet_s", "run_id")

    def __init__(self, run_id, events, quiet_s):
        self.run_id = run_id
        self.events = events
        self.quiet_s = quiet_s


class EntryRead(Record):
    """An entry of the store that was written.

    Parameters
    ----------
    key : str
        Key in the store.
    value : Record
        One of the classes of `medlarbeam.classes.fleet`.
    revision : int
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class EntryGone(Record):
    """An entry of the store that was deleted, or whose new value cannot be used."""

    __slots__ = ("key", "revision")

    def __init__(self, key, revision):
        self.key = key
        self.revision = revision


class SnapshotRead(Record):
    """All entries of the store at least as of `revision`; what is not listed is gone."""

    __slots__ = ("entries", "revision")

    def __init__(self, entries, revision):
        self.entries = entries
        self.revision = revision


class StoreLost(Record):
    """The store did not answer; what is known of it grows old."""

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason


class LeaseRenewed(Record):
    """The store granted or renewed the node's lease.

    Parameters
    ----------
    sent_at : float
        Boot time (s) just before the call was sent, from which the lease surely runs.
    is_new : bool
        The lease is a new one, and keys of an earlier lease may be gone.
    """

    __slots__ = ("is_new", "sent_at")

    def __init__(self, sent_at, is_new):
        self.sent_at = sent_at
        self.is_new = is_new


class LeaseEnded(Record):
    """The store says that the node's lease has ended."""

    __slots__ = ()

    def __init__(self):
        pass


class RightAnswered(Record):
    """The store answered an attempt to take a right: `fence`, or 0 if it was not given."""

    __slots__ = ("fence", "server")

    def __init__(self, server, fence):
        self.server = server
        self.fence = fence


class OrderAnswered(Record):
    """A backend server answered an order.

    Parameters
    ----------
    order : ServerOrder
    status : int
        HTTP status, 0 if no answer came and the order may be carried out later.
    reason : str
    """

    __slots__ = ("order", "reason", "status")

    def __init__(self, order, status, reason):
        self.order = order
        self.status = status
        self.reason = reason


class StateRead(Record):
    """A backend server reported what it holds; `state` is an `EngineState` or None."""

    __slots__ = ("reason", "server", "state")

    def __init__(self, server, state, reason):
        self.server = server
        self.state = state
        self.reason = reason


class NodeDatagram(Record):
    """A message of another node; it may be lost, late or repeated."""

    __slots__ = ("body",)

    def __init__(self, body):
        self.body = body
