"""Abstract base classes of the parts of a node, and the outbox that collects their effects."""

from abc import ABC, abstractmethod

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
    """Effects that were decided while one message was handled, in order."""

    __slots__ = ("effects",)

    def __init__(self):
        self.effects = []

    def emit(self, effect):
        """Append an effect."""
        self.effects.append(effect)


class Component(ABC):
    """A part of a node.

    Parameters
    ----------
    node : Node
        Gives `settings`, `rng` and the other components: `ownership`, `catalog`, `claims`,
        `crashes`, `requests`, `runs`.
    """

    __slots__ = ("node",)

    name = ""  # addresses the results of this component's platform calls

    def __init__(self, node):
        self.node = node

    def handlers(self):
        """Return ``{message class: method}``; methods take ``(message, now, out)``."""
        return {}

    def peer_handlers(self):
        """Return ``{peer message class: method}``; methods take ``(sender, body, now, out)``."""
        return {}

    def handle_kv(self, result, now, out):
        """Take the `KvResult` of a call that this component made."""

    @abstractmethod
    def tick(self, now, out):
        """Do what is due at `now` (s)."""

    @abstractmethod
    def next_deadline(self):
        """Return the time (s) at which `tick` has to be called, infinity for never."""


class ComponentHost:
    """A value that is driven by messages, put together from components.

    Parameters
    ----------
    components : list of Component
    """

    __slots__ = ("components", "message_handlers")

    def __init__(self, components):
        self.components = components
        self.message_handlers = {}
        for component in components:
            self.register(component)

    def register(self, component):
        """Note which messages `component` takes."""
        for kind, method in component.handlers().items():
            self.message_handlers.setdefault(kind, []).append(method)

    def dispatch(self, message, now, out):
        """Pass a message to the components that take it."""
        for method in self.message_handlers.get(type(message), ()):
            method(message, now, out)

    def note_time(self, now):
        """Take notice of the time of a call."""

    def handle(self, message, now):
        """Take one message and return the list of effects."""
        out = Outbox()
        self.note_time(now)
        self.dispatch(message, now, out)
        return out.effects

    def tick(self, now):
        """Do what is due and return the list of effects."""
        out = Outbox()
        self.note_time(now)
        for component in self.components:
            if component.next_deadline() <= now:
                component.tick(now, out)
        return out.effects

    def next_deadline(self):
        """Return the time (s) at which `tick` has to be called next."""
        return min(component.next_deadline() for component in self.components)


class ServerView(Record):
    """What the router knows about a backend server.

    Parameters
    ----------
    server : BackendServer
    target : str
        Node that a request for it goes to now: its owner, or this node where it may run there
        itself; "" where nobody can be reached.
    live : bool
        Whether it accepts new work, as far as known.
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
    """Permission to unload an adapter under `fencing` until `not_after` (s)."""

    __slots__ = ("fencing", "not_after")

    def __init__(self, fencing, not_after):
        self.fencing = fencing
        self.not_after = not_after


class Ownership(Component):
    """Who manages which backend server."""

    __slots__ = ()

    @abstractmethod
    def view(self, now):
        """Return a list of `ServerView` of all known backend servers."""

    @abstractmethod
    def may_run(self, server, now):
        """Return None if this node may start a run on `server` (a name), else a `Failure`."""

    @abstractmethod
    def may_evict(self, server, model, now):
        """Return an `EvictionGrant`, or the `Failure` that says why not."""

    @abstractmethod
    def is_owner(self, server):
        """Return whether this node's record names it as the owner of `server`."""

    @abstractmethod
    def find_server(self, server):
        """Return the `BackendServer` called `server`, or None."""

    @abstractmethod
    def managed(self, now):
        """Return the list of `BackendServer` that this node owns or may run on by fallback."""

    @abstractmethod
    def fencing(self, server):
        """Return the fencing number for orders to `server`."""

    @abstractmethod
    def count_engines(self):
        """Return the number of model engines in all known cells."""

    @abstractmethod
    def live_members(self):
        """Return the names of the members of this node's cell that answer, itself included."""

    @abstractmethod
    def ping_sent_at(self, peer, seq):
        """Return when (s) the ping `seq` to `peer` was sent, None if that is not known."""

    @abstractmethod
    def is_known(self):
        """Return whether this node has the records that it needs to route requests."""

    @abstractmethod
    def start_leaving(self, now, out):
        """Hand over the owned backend servers and leave the cell."""

    @abstractmethod
    def has_left(self):
        """Return whether the cell record no longer contains this node."""

    @abstractmethod
    def is_reachable(self, node):
        """Return whether there is a working link to `node` (True for this node itself)."""


class Catalog(Component):
    """The catalogue of adapters as this node knows it."""

    __slots__ = ()

    @abstractmethod
    def check(self, model, now):
        """Return None if `model` may be served, else a `Failure`."""

    @abstractmethod
    def is_known(self):
        """Return whether this node has a catalogue."""

    @abstractmethod
    def source_of(self, model):
        """Return the path of the model's weights, "" if it is unknown."""

    @abstractmethod
    def is_drained(self, server):
        """Return whether an operator's order keeps new work from `server` (a name)."""

    @abstractmethod
    def revision(self):
        """Return the revision of the catalogue in force here."""

    @abstractmethod
    def confirm_age(self, now):
        """Return the seconds since that revision was known to be the latest."""


class ClaimOutcome(Record):
    """Recorded outcome of a non-idempotent request.

    Parameters
    ----------
    status : int
        HTTP status of the backend server, 0 where there is none.
    body : str
    model, server : str
    failure : Failure or None
    truncated : bool
        The body was too long to be recorded; `body` is then a notice that says so.
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
    Each `begin` is answered once by `Requests.claim_granted`, `claim_replayed` or `claim_refused`.
    """

    __slots__ = ()

    @abstractmethod
    def begin(self, request, now, out):
        """Claim the right to run `request`."""

    @abstractmethod
    def finish(self, request_id, outcome, now, out):
        """Record the `ClaimOutcome`; one that surely did not run releases the claim."""

    @abstractmethod
    def is_idle(self):
        """Return whether nothing is left to be written to the platform."""


class Crashes(Component):
    """Requests that crash the backend servers that run them."""

    __slots__ = ()

    @abstractmethod
    def check(self, request, now):
        """Return the `Failure` of a request that is refused, else None."""

    @abstractmethod
    def may_start(self, request, running, now):
        """Return whether `request` may start beside the `running` list of Request on a server."""

    @abstractmethod
    def begin_run(self, request, now):
        """Note that `request` starts now."""

    @abstractmethod
    def server_died(self, server, requests, now, out):
        """Note that `server` (a name) died while `requests` (list of Request) ran there."""

    @abstractmethod
    def succeeded(self, request, now, out):
        """Note that `request` ran to its end."""


class Requests(Component):
    """Requests of this node's callers, from admission to answer."""

    __slots__ = ()

    @abstractmethod
    def claim_granted(self, request_id, now, out):
        """Go on with a request whose claim was granted."""

    @abstractmethod
    def claim_replayed(self, request_id, outcome, now, out):
        """Answer with the recorded `ClaimOutcome`."""

    @abstractmethod
    def claim_refused(self, request_id, failure, now, out):
        """Answer with a `Failure`."""

    @abstractmethod
    def take_chunk(self, sender, chunk, now, out):
        """Take a `Chunk` of an attempt; `sender` is the owner node."""

    @abstractmethod
    def take_end(self, sender, end, now, out):
        """Take the `End` of an attempt; `sender` is the owner node."""

    @abstractmethod
    def open_count(self):
        """Return the number of requests that are not answered yet."""


class Runs(Component):
    """Queues, adapters and runs on the backend servers that this node manages."""

    __slots__ = ()

    @abstractmethod
    def submit(self, sender, forward, now, out):
        """Take a `Forward` from the entry node `sender`."""

    @abstractmethod
    def cancel(self, sender, cancel, now, out):
        """Take a `Cancel` from the entry node `sender`."""

    @abstractmethod
    def summaries(self, now):
        """Return a list of `ServerSummary` of the backend servers that this node owns."""

    @abstractmethod
    def foreign_runs(self, owner):
        """Return a list of `ModelCount` of runs here on backend servers of other owners.

        `owner` is the node that asks; runs on the backend servers of others may be included.
        """

    @abstractmethod
    def runs_on(self, server):
        """Return a list of `ModelCount` of the runs here on `server` (a name)."""

    @abstractmethod
    def orders_in_flight(self, servers):
        """Return whether an unload order to one of `servers` (names) has no result yet."""

    @abstractmethod
    def report_for(self, server):
        """Return the last good `EngineReport` of `server`, or None."""

    @abstractmethod
    def drain(self, server, draining, now, out):
        """Stop or resume giving new work to `server`, by an operator's order or the VM list."""

    @abstractmethod
    def open_count(self):
        """Return the number of attempts that wait or run here."""
