"""Abstract base classes of a node's components, and the outbox that collects their effects."""

from abc import ABC, abstractmethod
from math import inf

from medlarbeam.classes.record import Record

__all__ = [
    "Catalog",
    "ClaimOutcome",
    "Claims",
    "Component",
    "ComponentHost",
    "Crashes",
    "EvictionGrant",
    "Outbox",
    "Ownership",
    "Requests",
    "Runs",
    "ServerView",
]


class Outbox:
    """Effects that were emitted while one message was handled, in order."""

    __slots__ = ("effects",)

    def __init__(self):
        self.effects = []

    def emit(self, effect):
        """Append an effect."""
        self.effects.append(effect)


class Component(ABC):
    """A component of a node.

    Parameters
    ----------
    node : Node
        Provides `settings`, `rng` and the other components: `ownership`, `catalog`, `claims`,
        `crashes`, `requests`, `runs`.
    """

    __slots__ = ("node",)

    name = ""  # key by which results of this component's platform calls are dispatched

    def __init__(self, node):
        self.node = node

    def handlers(self):
        """Return ``{message class: method}``; methods take ``(message, now, out)``."""
        return {}

    def peer_handlers(self):
        """Return ``{peer message class: method}``; methods take ``(sender, body, now, out)``."""
        return {}

    def handle_kv(self, result, now, out):
        """Handle the `KvResult` of a platform call of this component."""

    @abstractmethod
    def tick(self, now, out):
        """Perform the actions that are due at `now` (s)."""

    def next_deadline(self):
        """Return the time (s) at which `tick` has to be called next, infinity for never."""
        return inf


class ComponentHost:
    """A message-driven object that is composed of components.

    Parameters
    ----------
    components : list of Component

    Attributes
    ----------
    timed_components : list of Component
        Those that override `next_deadline`, which is called after each message.
    """

    __slots__ = ("components", "message_handlers", "timed_components")

    def __init__(self, components):
        self.components = components
        self.timed_components = [
            component
            for component in components
            if type(component).next_deadline is not Component.next_deadline
        ]
        self.message_handlers = {}
        for component in components:
            self.register(component)

    def register(self, component):
        """Register the message handlers of `component`."""
        for kind, method in component.handlers().items():
            self.message_handlers.setdefault(kind, []).append(method)

    def dispatch(self, message, now, out):
        """Pass a message to the components that handle it."""
        for method in self.message_handlers.get(type(message), ()):
            method(message, now, out)

    def record_time(self, now):
        """Record the time of a call; subclasses may override this."""

    def handle(self, message, now):
        """Handle one message and return the list of effects."""
        out = Outbox()
        self.record_time(now)
        self.dispatch(message, now, out)
        return out.effects

    def tick(self, now):
        """Call the components that are due and return the list of effects."""
        out = Outbox()
        self.record_time(now)
        for component in self.timed_components:
            if component.next_deadline() <= now:
                component.tick(now, out)
        return out.effects

    def next_deadline(self):
        """Return the time (s) at which `tick` has to be called next."""
        earliest = inf
        for component in self.timed_components:  # after each message, so without a generator
            deadline = component.next_deadline()
            if deadline < earliest:
                earliest = deadline
        return earliest


class ServerView(Record):
    """State of a backend server as the router sees it.

    Parameters
    ----------
    server : BackendServer
    target : str
        Node to which a request for this server is sent: its owner, this node if it may run there
        itself, or a member that runs there by fallback; "" if there is none.
    live : bool
        Whether it accepts new work according to the last known state.
    queued, running : int
    resident : list of str
    """

    __slots__ = ("live", "queued", "resident", "running", "server", "target")

    def __init__(self, server, target, live, queued=0, running=0, resident=()):
        self.server = server
        self.target = target
        self.live = live
        self.queued = queued
        self.running = running
        self.resident = resident


class EvictionGrant(Record):
    """Permission to unload an adapter under `fencing_token` until `expires_at` (s)."""

    __slots__ = ("expires_at", "fencing_token")

    def __init__(self, fencing_token, expires_at):
        self.fencing_token = fencing_token
        self.expires_at = expires_at


class Ownership(Component):
    """Decides which node manages which backend server."""

    __slots__ = ()

    @abstractmethod
    def list_server_views(self, now):
        """Return a list of `ServerView` of all known backend servers."""

    @abstractmethod
    def may_run(self, server, now):
        """Return None if this node may start a run on `server` (a name), else a `Failure`."""

    @abstractmethod
    def may_evict(self, server, model, now):
        """Return an `EvictionGrant`, or a `Failure` with the reason for the refusal."""

    @abstractmethod
    def is_owner(self, server):
        """Return whether this node's record names it as the owner of `server`."""

    @abstractmethod
    def find_server(self, server):
        """Return the `BackendServer` called `server`, or None."""

    @abstractmethod
    def list_managed_servers(self, now):
        """Return the list of `BackendServer` that this node owns or may run on by fallback."""

    @abstractmethod
    def get_fencing_token(self, server):
        """Return the fencing token for orders to `server`."""

    @abstractmethod
    def count_engines(self):
        """Return the number of model engines in all known cells."""

    @abstractmethod
    def list_reachable_members(self):
        """Return the names of the reachable members of this node's cell, including itself."""

    @abstractmethod
    def ping_sent_at(self, peer, seq):
        """Return the send time (s) of ping `seq` to `peer`, None if it is unknown."""

    @abstractmethod
    def is_known(self):
        """Return whether this node has the records that it needs to route requests."""

    @abstractmethod
    def start_leaving(self, now, out):
        """Begin to hand over the owned backend servers and leave the cell."""

    @abstractmethod
    def has_left(self):
        """Return whether no cell record names this node as a member any more."""

    @abstractmethod
    def is_reachable(self, node):
        """Return whether there is a working link to `node` (True for this node itself)."""


class Catalog(Component):
    """Copy of the adapter catalog on one node."""

    __slots__ = ()

    @abstractmethod
    def check(self, model, now):
        """Return None if `model` may be served, else a `Failure`."""

    @abstractmethod
    def is_known(self):
        """Return whether this node has a catalog."""

    @abstractmethod
    def get_source(self, model):
        """Return the path of the weights of `model`, "" if it is unknown."""

    @abstractmethod
    def is_drained(self, server):
        """Return whether an operator drained `server` (a name), so that it gets no new work."""

    @abstractmethod
    def revision(self):
        """Return the revision in force at this node, 0 for none."""

    @abstractmethod
    def confirm_age(self, now):
        """Return the time (s) since this revision was last confirmed as the latest."""


class ClaimOutcome(Record):
    """Recorded outcome of a non-idempotent request.

    Parameters
    ----------
    status : int
        HTTP status of the backend server, 0 if there is none.
    body : str
    model, server : str
    failure : Failure or None
    truncated : bool
        Whether the body was too long to be recorded; `body` then has a notice instead.
    """

    __slots__ = ("body", "failure", "model", "server", "status", "truncated")

    def __init__(self, status, body, model, server, failure=None, truncated=False):
        self.status = status
        self.body = body
        self.model = model
        self.server = server
        self.failure = failure
        self.truncated = truncated


class Claims(Component):
    """At-most-once claims of non-idempotent requests.

    Notes
    -----
    Each `begin` has one result: `Requests.claim_granted`, `claim_replayed` or `claim_refused`.
    """

    __slots__ = ()

    @abstractmethod
    def begin(self, request, now, out):
        """Claim the right to run `request`."""

    @abstractmethod
    def finish(self, request_id, outcome, now, out):
        """Record the `ClaimOutcome`; release the claim if the request certainly did not run."""

    @abstractmethod
    def is_idle(self):
        """Return whether no write to the platform is outstanding."""


class Crashes(Component):
    """Tracks requests that crash the backend servers that run them."""

    __slots__ = ()

    @abstractmethod
    def check(self, request, now):
        """Return the `Failure` if `request` is refused, else None."""

    @abstractmethod
    def may_start(self, request, running, now):
        """Return whether `request` may start on a server that runs `running` (list of Request)."""

    @abstractmethod
    def begin_run(self, request, now):
        """Record that `request` starts at `now`."""

    @abstractmethod
    def server_died(self, server, requests, now, out):
        """Record that `server` (a name) crashed while `requests` (list of Request) ran there."""

    @abstractmethod
    def succeeded(self, request, now, out):
        """Record that `request` ran to completion."""


class Requests(Component):
    """Requests of this node's callers, from admission to response."""

    __slots__ = ()

    @abstractmethod
    def claim_granted(self, request_id, now, out):
        """Continue a request whose claim was granted."""

    @abstractmethod
    def claim_replayed(self, request_id, outcome, now, out):
        """Respond with a `ClaimOutcome` that was recorded earlier."""

    @abstractmethod
    def claim_refused(self, request_id, failure, now, out):
        """Respond to a request whose claim was refused with a `Failure`."""

    @abstractmethod
    def handle_chunk(self, sender, chunk, now, out):
        """Handle an `AttemptChunk`; `sender` is the node that runs it."""

    @abstractmethod
    def handle_end(self, sender, end, now, out):
        """Handle an `AttemptEnd`; `sender` is the node that runs it."""

    @abstractmethod
    def open_count(self):
        """Return the number of requests without a complete response."""


class Runs(Component):
    """Queues, adapters and runs on the backend servers that this node manages."""

    __slots__ = ()

    @abstractmethod
    def submit(self, sender, forward, now, out):
        """Queue the attempt of a `Forward` from the entry node `sender`."""

    @abstractmethod
    def cancel(self, sender, cancel, now, out):
        """Handle a `CancelAttempt` from the entry node `sender`."""

    @abstractmethod
    def summaries(self, now):
        """Return a list of `ServerSummary` of the backend servers that this node owns."""

    @abstractmethod
    def list_foreign_runs(self, owner):
        """Return a list of `ModelCount` of runs here on backend servers of other owners.

        `owner` is the node that sent the ping; runs on backend servers of other owners may be
        included.
        """

    @abstractmethod
    def list_runs_on(self, server):
        """Return a list of `ModelCount` of the runs here on `server` (a name)."""

    @abstractmethod
    def orders_in_flight(self, servers):
        """Return whether an unload order to one of `servers` (names) is in flight."""

    @abstractmethod
    def last_report(self, server):
        """Return the last `EngineReport` of `server` without a failure, or None."""

    @abstractmethod
    def drain(self, server, draining, now, out):
        """Stop or resume new work for `server`, as an operator or the VM list requests."""

    @abstractmethod
    def open_count(self):
        """Return the number of attempts that are queued or running here."""
