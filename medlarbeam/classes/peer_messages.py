"""Messages exchanged between nodes."""

from medlarbeam.classes.record import Record

__all__ = [
    "AdapterDemand",
    "AdapterHolding",
    "AttemptChunk",
    "AttemptEnd",
    "CancelAttempt",
    "CatalogUpdate",
    "CellRecordUpdate",
    "ClearanceReport",
    "CrashReport",
    "CreditCall",
    "CreditGrant",
    "CreditItem",
    "CreditOffer",
    "CreditRequest",
    "DeathReport",
    "EarlyRefusal",
    "FetchCatalog",
    "FetchCellRecord",
    "Forward",
    "HoldingReport",
    "Leaving",
    "LeavingServer",
    "LostRun",
    "ModelCount",
    "PathReport",
    "Ping",
    "Pong",
    "RateLimitReport",
    "ServerRate",
    "ServerSummary",
    "UseReport",
]


class Ping(Record):
    """Heartbeat request; the receiver responds with a `Pong`.

    Parameters
    ----------
    seq : int
        Sequence number of the sender's pings.
    cell : str
        Cell of the sender.
    epoch : int
        Epoch of the cell record that the sender has adopted for its cell, 0 for none.
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
    """State of a backend server, reported by its owner to other nodes.

    Parameters
    ----------
    server : str
    live : bool
        Whether the server accepts new requests.
    queued, running : int
        Number of queued and running requests.
    resident : list of str
        Models that are loaded, as far as the owner knows.
    """

    __slots__ = ("live", "queued", "resident", "running", "server")

    def __init__(self, server, live, queued, running, resident):
        self.server = server
        self.live = live
        self.queued = queued
        self.running = running
        self.resident = resident


class Pong(Record):
    """Response to the `Ping` with the same `seq`.

    Within a cell it also grants the receiver a lease of `pledge_s` seconds, counted from the time
    at which the ping was sent.

    Parameters
    ----------
    seq : int
    incarnation : int
        Incarnation of the sender.
    cell : str
        Cell of the sender.
    epoch : int
        Epoch of the cell record that the sender has adopted; the lease applies to this epoch.
    revision : int
        Catalog revision of the sender.
    confirm_age_s : float
        Seconds since the sender last confirmed that revision as the latest; infinity for never.
    foreign_runs : list of ModelCount
        Runs of the sender that are still active on backend servers owned by the receiver.
    summaries : list of ServerSummary
        State of the backend servers that the sender owns.
    leaving : bool
        Whether the sender is shutting down and accepts no new requests.
    home_cell : str
        Cell in the sender's settings; `cell` may be another one that it took over.
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
    """Forwards an attempt of a request to the owner of a backend server.

    Parameters
    ----------
    attempt : int
        Number of the attempt, starting at 1.
    server : str
    model : str
        Model to run, one of `Request.models`; "" for a plain service.
    remaining_s : float
        Time (s) until the deadline of the request.
    position : int
        Number of chunks that the caller already received; the run continues after them.
    prefix : str
        Text of those chunks.
    request : Request
        Its `deadline` is in the sender's monotonic time and is replaced by the receiver.
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


class AttemptChunk(Record):
    """Chunk of a response; `position` is its zero-based index in the whole response."""

    __slots__ = ("attempt", "position", "request_id", "text")

    def __init__(self, request_id, attempt, position, text):
        self.request_id = request_id
        self.attempt = attempt
        self.position = position
        self.text = text


class AttemptEnd(Record):
    """End of an attempt.

    Parameters
    ----------
    request_id : str
    attempt : int
    chunks : int
        Number of chunks in the whole response; 0 on failure.
    model, server : str
        Model and backend server that produced the response.
    status : int
        HTTP status returned by a plain service, 200 for an engine.
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


class CancelAttempt(Record):
    """Cancels an attempt because the caller disconnected or the attempt is obsolete."""

    __slots__ = ("attempt", "request_id")

    def __init__(self, request_id, attempt):
        self.request_id = request_id
        self.attempt = attempt


class CellRecordUpdate(Record):
    """A cell record, sent to a peer that has an older one or none."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class FetchCellRecord(Record):
    """Requests the cell record of `cell`."""

    __slots__ = ("cell",)

    def __init__(self, cell):
        self.cell = cell


class FetchCatalog(Record):
    """Requests the catalog head and the shards whose keys are not in `shard_keys`."""

    __slots__ = ("revision", "shard_keys")

    def __init__(self, revision, shard_keys):
        self.revision = revision
        self.shard_keys = shard_keys


class CatalogUpdate(Record):
    """A catalog head and the shards that the receiver does not have.

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
    """Crash count of a request fingerprint that was in flight when a backend server crashed.

    Parameters
    ----------
    fingerprint : str
    strikes : int
        Number of crashes; 0 clears the fingerprint.
    server : str
        Backend server that crashed last.
    remaining_s : float
        Seconds until the report expires.
    death_id : str
        Id of the crash, so that each crash is counted once.
    """

    __slots__ = ("death_id", "fingerprint", "remaining_s", "server", "strikes")

    def __init__(self, fingerprint, strikes, server, remaining_s, death_id):
        self.fingerprint = fingerprint
        self.strikes = strikes
        self.server = server
        self.remaining_s = remaining_s
        self.death_id = death_id


class Leaving(Record):
    """The sender is shutting down and accepts no new requests."""

    __slots__ = ("node",)

    def __init__(self, node):
        self.node = node


class AdapterDemand(Record):
    """Requests the holder of the order right of a backend server to load an adapter there.

    Parameters
    ----------
    node, server : str
    key : AdapterKey
    priority : int
        Priority of the waiting request; 0 is the most urgent.
    due_in_s : float
        Seconds until the load must start for the request to meet its latency goal; may be
        negative.
    """

    __slots__ = ("due_in_s", "key", "node", "priority", "server")

    def __init__(self, node, server, key, priority, due_in_s):
        self.due_in_s = due_in_s
        self.node = node
        self.server = server
        self.key = key
        self.priority = priority


class AdapterHolding(Record):
    """An adapter that is resident on a backend server, or will be in `ready_in_s` seconds."""

    __slots__ = ("key", "ready_in_s", "version")

    def __init__(self, key, version, ready_in_s):
        self.key = key
        self.version = version
        self.ready_in_s = ready_in_s


class HoldingReport(Record):
    """Usable adapters of a backend server, sent by the node that holds its order right.

    Parameters
    ----------
    node, server : str
    fence, serial : int
        Fencing token and sequence number. A report supersedes those with a smaller fence, or
        with the same fence and a smaller serial.
    holdings : list of AdapterHolding
    removed : list of AdapterKey
        Adapters that are no longer resident; only used if `is_partial` is True.
    spare : int
        Adapter slots that are available immediately minus pending demands; may be negative.
    is_partial : bool
        Whether the report lists only some of the resident adapters.
    running : int
        Number of requests from all nodes that are in flight on the backend server.
    prompt_tokens : int
        Tokens of the prompts that all nodes gave the backend server within the longest pause that
        streams may have.
    """

    __slots__ = (
        "fence",
        "holdings",
        "is_partial",
        "node",
        "prompt_tokens",
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
        prompt_tokens=0,
    ):
        self.running = running
        self.prompt_tokens = prompt_tokens
        self.removed = list(removed)
        self.spare = spare
        self.is_partial = is_partial
        self.node = node
        self.server = server
        self.fence = fence
        self.serial = serial
        self.holdings = holdings


class EarlyRefusal(Record):
    """An adapter was not resident although its `HoldingReport` had announced it as ready."""

    __slots__ = ("key", "node", "server")

    def __init__(self, node, server, key):
        self.node = node
        self.server = server
        self.key = key


class CreditItem(Record):
    """Credit for one request of an organisation.

    Parameters
    ----------
    priority : int
        Of the request's route, 0 is the most urgent.
    amount : float
        In the unit of the organisation's quota.
    """

    __slots__ = ("amount", "priority")

    def __init__(self, priority, amount):
        self.priority = priority
        self.amount = amount


class CreditRequest(Record):
    """Asks the receiver for credit of an organisation, and hands in what the sender has.

    Parameters
    ----------
    node, organisation : str
    serial : int
        Rises with each message of the sender about credit, also over its restarts.
    offered : float
        Credit that the sender gives up.
    wanted : list of CreditItem
    """

    __slots__ = ("node", "offered", "organisation", "serial", "wanted")

    def __init__(self, node, organisation, serial, offered, wanted):
        self.node = node
        self.organisation = organisation
        self.serial = serial
        self.offered = offered
        self.wanted = wanted


class CreditGrant(Record):
    """Answer to a `CreditRequest`.

    Parameters
    ----------
    node, organisation : str
    serial : int
        Of the request.
    granted : list of CreditItem
        In the order of the request; an item that is refused has the amount 0.
    stock : float
        Credit of the organisation that the sender has left.
    retry_after_s : float
        Estimated time until the callers of refused requests find credit.
    """

    __slots__ = ("granted", "node", "organisation", "retry_after_s", "serial", "stock")

    def __init__(self, node, organisation, serial, granted, stock, retry_after_s):
        self.node = node
        self.organisation = organisation
        self.serial = serial
        self.granted = granted
        self.stock = stock
        self.retry_after_s = retry_after_s


class CreditCall(Record):
    """Asks the receiver to hand in up to `amount` of its credit of an organisation."""

    __slots__ = ("amount", "node", "organisation")

    def __init__(self, node, organisation, amount):
        self.node = node
        self.organisation = organisation
        self.amount = amount


class CreditOffer(Record):
    """Credit of an organisation that the sender gives up; see `CreditRequest`."""

    __slots__ = ("amount", "node", "organisation", "serial")

    def __init__(self, node, organisation, serial, amount):
        self.node = node
        self.organisation = organisation
        self.serial = serial
        self.amount = amount


class UseReport(Record):
    """All adapters of a backend server that are in use by the sender's requests.

    Parameters
    ----------
    node, server : str
    serial : int
        A report supersedes those of the same sender with a smaller serial.
    keys : list of AdapterKey
    running : int
        Number of the sender's requests in flight on the backend server.
    prompt_tokens : int
        Tokens of the prompts that the sender gave the backend server within the longest pause
        that streams may have.
    """

    __slots__ = ("keys", "node", "prompt_tokens", "running", "serial", "server")

    def __init__(self, node, server, serial, keys, running=0, prompt_tokens=0):
        self.running = running
        self.prompt_tokens = prompt_tokens
        self.serial = serial
        self.node = node
        self.server = server
        self.keys = keys


class LostRun(Record):
    """A run that was open on a backend server when it crashed.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    shared_parts : list of str
        Ids of the parts of its prompt that other requests may share.
    served_parts : list of str
        Those of them with which the sender has seen another request served before.
    ran_s : float
        Time (s) from its send to the crash, 0 if unknown, as from nodes of earlier builds.
    """

    __slots__ = ("fingerprint", "ran_s", "served_parts", "shared_parts")

    def __init__(self, fingerprint, shared_parts, served_parts=(), ran_s=0.0):
        self.fingerprint = fingerprint
        self.shared_parts = shared_parts
        self.served_parts = list(served_parts)
        self.ran_s = ran_s


class DeathReport(Record):
    """A backend server has crashed under runs of the sender.

    Parameters
    ----------
    node : str
    death_id : str
        Id of the crash, the same at all nodes.
    age_s : float
        Time (s) since the sender lost the first connection.
    served_age_s : float
        Time (s) since a backend server has last served a request of the sender completely.
    runs : list of LostRun
    is_retracted : bool
        Whether the server turned out not to have crashed.
    """

    __slots__ = ("age_s", "death_id", "is_retracted", "node", "runs", "served_age_s")

    def __init__(self, node, death_id, age_s, served_age_s, runs, is_retracted=False):
        self.is_retracted = is_retracted
        self.node = node
        self.death_id = death_id
        self.age_s = age_s
        self.served_age_s = served_age_s
        self.runs = runs


class ClearanceReport(Record):
    """Requests with these fingerprints were served completely by the sender."""

    __slots__ = ("fingerprints", "node")

    def __init__(self, node, fingerprints):
        self.node = node
        self.fingerprints = fingerprints


class ServerRate(Record):
    """Request rate that a backend server has named.

    Parameters
    ----------
    server : str
    rate : float
        Requests per second from all nodes together; negative if the server no longer names one.
    age_s : float
        Time (s) since the response from which the sender knows it.
    """

    __slots__ = ("age_s", "rate", "server")

    def __init__(self, server, rate, age_s):
        self.server = server
        self.rate = rate
        self.age_s = age_s


class LeavingServer(Record):
    """Incarnation of a backend server that has stated that it leaves."""

    __slots__ = ("server", "started_at_ms")

    def __init__(self, server, started_at_ms):
        self.server = server
        self.started_at_ms = started_at_ms


class RateLimitReport(Record):
    """What backend servers have stated in responses to the sender.

    Parameters
    ----------
    node : str
    limits : list of ServerRate
    leaving : list of LeavingServer
    """

    __slots__ = ("leaving", "limits", "node")

    def __init__(self, node, limits, leaving=()):
        self.node = node
        self.limits = limits
        self.leaving = list(leaving)


class PathReport(Record):
    """What the sender reaches and applies.

    Parameters
    ----------
    node : str
    lost : list of str
        All services of which it reaches no backend server.
    config_version : int
        Version of the configuration that it applies, 0 if it states none.
    """

    __slots__ = ("config_version", "lost", "node")

    def __init__(self, node, lost, config_version=0):
        self.config_version = config_version
        self.node = node
        self.lost = lost
