"""Messages between nodes."""

from medlarbeam.classes.record import Record

__all__ = [
    "AdapterDemand",
    "AdapterHolding",
    "Cancel",
    "Chunk",
    "CrashReport",
    "EarlyRefusal",
    "End",
    "FetchCatalog",
    "FetchRecord",
    "Forward",
    "HoldingReport",
    "Leaving",
    "ModelCount",
    "NoteSpread",
    "Ping",
    "Pong",
    "RecordSpread",
    "ServerSummary",
    "UseReport",
]


class Ping(Record):
    """Heartbeat; asks for a `Pong`.

    Parameters
    ----------
    seq : int
        Number of this ping of this sender.
    cell : str
        Cell of the sender.
    epoch : int
        Epoch of the sender's own cell record, 0 for none.
    """

    __slots__ = ("cell", "epoch", "seq")

    def __init__(self, seq, cell, epoch):
        self.seq = seq
        self.cell = cell
        self.epoch = epoch


class ModelCount(Record):
    """Number of runs of a model on a backend server; `model` is "" for a plain service."""

    __slots__ = ("count", "model", "server")

    def __init__(self, server, model, count):
        self.server = server
        self.model = model
        self.count = count


class ServerSummary(Record):
    """State of a backend server as its owner tells other nodes.

    Parameters
    ----------
    server : str
    live : bool
        Whether new work is accepted.
    queued, running : int
        Requests waiting and running.
    resident : list of str
        Models believed to be loaded.
    """

    __slots__ = ("live", "queued", "resident", "running", "server")

    def __init__(self, server, live, queued, running, resident):
        self.server = server
        self.live = live
        self.queued = queued
        self.running = running
        self.resident = resident


class Pong(Record):
    """Answer to a `Ping` with the same `seq`; within a cell also a dated pledge.

    Parameters
    ----------
    seq : int
    incarnation : int
        Incarnation of the sender.
    cell : str
        Cell of the sender.
    epoch : int
        Epoch of the cell record that the sender has adopted; the pledge counts at this epoch.
    revision : int
        Catalogue revision of the sender.
    confirm_age_s : float
        Seconds since the sender knew that revision to be the latest; infinity for never.
    foreign_runs : list of ModelCount
        Runs that the sender still has on backend servers that the pinger owns.
    summaries : list of ServerSummary
        State of the backend servers that the sender owns.
    leaving : bool
        The sender takes no new work.
    home_cell : str
        Cell in the sender's settings; `cell` may be one that it took over.
    """

    __slots__ = (
        "cell",
        "confirm_age_s",
        "epoch",
        "foreign_runs",
        "home_cell",
        "incarnation",
        "leaving",
        "revision",
        "seq",
        "summaries",
    )

    def __init__(
        self,
        seq,
        incarnation,
        cell,
        epoch,
        revision,
        confirm_age_s,
        foreign_runs,
        summaries,
        leaving=False,
        home_cell="",
    ):
        self.seq = seq
        self.home_cell = home_cell
        self.incarnation = incarnation
        self.cell = cell
        self.epoch = epoch
        self.revision = revision
        self.confirm_age_s = confirm_age_s
        self.foreign_runs = foreign_runs
        self.summaries = summaries
        self.leaving = leaving


class Forward(Record):
    """Hands an attempt of a request to the owner of a backend server.

    Parameters
    ----------
    attempt : int
        Number of the attempt, from 1.
    server : str
    model : str
        Model to run, one of the request's acceptable ones; "" for a plain service.
    remaining_s : float
        Seconds left until the deadline of the request.
    position : int
        Number of chunks that the caller has already; the run continues behind them.
    prefix : str
        Text of those chunks.
    request : Request
        Its `deadline` field counts on the sender's clock and is replaced by the receiver.
    """

    __slots__ = ("attempt", "model", "position", "prefix", "remaining_s", "request", "server")

    def __init__(self, request, attempt, server, model, remaining_s, position=0, prefix=""):
        self.request = request
        self.attempt = attempt
        self.server = server
        self.model = model
        self.remaining_s = remaining_s
        self.position = position
        self.prefix = prefix


class Chunk(Record):
    """Piece of an answer; `position` counts the chunks of the whole answer from 0."""

    __slots__ = ("attempt", "position", "request_id", "text")

    def __init__(self, request_id, attempt, position, text):
        self.request_id = request_id
        self.attempt = attempt
        self.position = position
        self.text = text


class End(Record):
    """End of an attempt.

    Parameters
    ----------
    request_id : str
    attempt : int
    chunks : int
        Number of chunks of the whole answer; 0 on a failure.
    model, server : str
        What answered.
    status : int
        HTTP status of a plain service, 200 for an engine.
    failure : Failure or None
    load_wait_s : float
        Seconds that the attempt waited for its adapter to load.
    """

    __slots__ = (
        "attempt",
        "chunks",
        "failure",
        "load_wait_s",
        "model",
        "request_id",
        "server",
        "status",
    )

    def __init__(
        self, request_id, attempt, chunks, model, server, status=200, failure=None, load_wait_s=0.0
    ):
        self.request_id = request_id
        self.attempt = attempt
        self.chunks = chunks
        self.model = model
        self.server = server
        self.status = status
        self.failure = failure
        self.load_wait_s = load_wait_s


class Cancel(Record):
    """The caller has gone away or the attempt is no longer wanted."""

    __slots__ = ("attempt", "request_id")

    def __init__(self, request_id, attempt):
        self.request_id = request_id
        self.attempt = attempt


class RecordSpread(Record):
    """A cell record, sent to a peer that has an older one."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class FetchRecord(Record):
    """Asks for the record of `cell`."""

    __slots__ = ("cell",)

    def __init__(self, cell):
        self.cell = cell


class FetchCatalog(Record):
    """Asks for the catalogue head and the shards whose keys are not in `shard_keys`."""

    __slots__ = ("revision", "shard_keys")

    def __init__(self, revision, shard_keys):
        self.revision = revision
        self.shard_keys = shard_keys


class NoteSpread(Record):
    """A catalogue head with the shards that the receiver lacks.

    Parameters
    ----------
    head : CatalogHead
    shards : list of CatalogShard
    """

    __slots__ = ("head", "shards")

    def __init__(self, head, shards):
        self.head = head
        self.shards = shards


class CrashReport(Record):
    """What the sender knows of a fingerprint that was in flight when a backend server died.

    Parameters
    ----------
    fingerprint : str
    strikes : int
        0 clears the fingerprint.
    server : str
        Backend server that died last.
    remaining_s : float
        Seconds until this knowledge wears off.
    death_id : str
        Identifies the death of the server, so that one death counts once.
    """

    __slots__ = ("death_id", "fingerprint", "remaining_s", "server", "strikes")

    def __init__(self, fingerprint, strikes, server, remaining_s, death_id):
        self.fingerprint = fingerprint
        self.strikes = strikes
        self.server = server
        self.remaining_s = remaining_s
        self.death_id = death_id


class Leaving(Record):
    """The sender shuts down and takes no new work."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node


class AdapterDemand(Record):
    """Ask the node that orders a backend server to load an adapter there.

    Parameters
    ----------
    node, server : str
    key : AdapterKey
    priority : int
        Priority of the request that waits, 0 is the most urgent.
    due_in_s : float
        Time in which the load has to start for the request to be on time; may be negative.
    """

    __slots__ = ("due_in_s", "key", "node", "priority", "server")

    def __init__(self, node, server, key, priority, due_in_s):
        self.due_in_s = due_in_s
        self.node = node
        self.server = server
        self.key = key
        self.priority = priority


class AdapterHolding(Record):
    """An adapter that a backend server holds, or will hold in `ready_in_s` seconds."""

    __slots__ = ("key", "ready_in_s", "version")

    def __init__(self, key, version, ready_in_s):
        self.key = key
        self.version = version
        self.ready_in_s = ready_in_s


class HoldingReport(Record):
    """Adapters of a backend server that may be used, from the node that orders it.

    Parameters
    ----------
    node, server : str
    fence, serial : int
        A report replaces those with a smaller fence, or with the same fence and a smaller serial.
    holdings : list of AdapterHolding
    removed : list of AdapterKey
        Adapters that it holds no more; only with `is_partial`.
    spare : int
        Places that a demand could get at once, less the demands that wait; may be negative.
    is_partial : bool
        Whether the backend server holds others besides.
    running : int
        Requests that all nodes together have sent there and that have not ended.
    """

    __slots__ = (
        "fence",
        "holdings",
        "is_partial",
        "node",
        "removed",
        "running",
        "serial",
        "server",
        "spare",
    )

    def __init__(
        self,
        node,
        server,
        fence,
        serial,
        holdings,
        removed=(),
        spare=0,
        is_partial=False,
        running=0,
    ):
        self.running = running
        self.removed = list(removed)
        self.spare = spare
        self.is_partial = is_partial
        self.node = node
        self.server = server
        self.fence = fence
        self.serial = serial
        self.holdings = holdings


class EarlyRefusal(Record):
    """A backend server did not hold an adapter yet that its holder had announced as loaded."""

    __slots__ = ("key", "node", "server")

    def __init__(self, node, server, key):
        self.node = node
        self.server = server
        self.key = key


class UseReport(Record):
    """All adapters of a backend server that the sender's requests use at present.

    A report replaces those of the sender with a smaller `serial`. `running` is the number of these
    requests.
    """

    __slots__ = ("keys", "node", "running", "serial", "server")

    def __init__(self, node, server, serial, keys, running=0):
        self.running = running
        self.serial = serial
        self.node = node
        self.server = server
        self.keys = keys
