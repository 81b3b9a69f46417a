"""State of a backend server at the node that manages it: queue, adapters and runs."""

from medlarbeam.algorithms.eviction import AdapterUsage
from medlarbeam.classes.peer_messages import ModelCount, ServerSummary

__all__ = ["Adapter", "Attempt", "ManagedBackend"]


class Attempt:
    """An attempt of a request at the node that manages its backend server.

    Parameters
    ----------
    state : str
        State in the chart ``attempt``.
    backend : ManagedBackend
    sender : str
        Entry node, which receives the chunks.
    forward : Forward
    run_id : str
    deadline : float
        Monotonic time (s) of this node.
    queued_at : float
        Time (s) at which it entered the queue.

    Attributes
    ----------
    chunks : int
        Number of chunks received from the backend server.
    load_wait_s : float
        Time (s) that it waited in the queue, if it waited for a load of its adapter.
    """

    __slots__ = (
        "backend",
        "chunks",
        "deadline",
        "failure",
        "forward",
        "load_wait_s",
        "queued_at",
        "request",
        "run_id",
        "sender",
        "started_at",
        "state",
        "waited_for_load",
    )

    def __init__(self, state, backend, sender, forward, run_id, deadline, queued_at):
        self.state = state
        self.backend = backend
        self.sender = sender
        self.forward = forward
        self.request = forward.request
        self.run_id = run_id
        self.deadline = deadline
        self.queued_at = queued_at
        self.started_at = None
        self.chunks = 0
        self.failure = None
        self.load_wait_s = 0.0
        self.waited_for_load = False

    @property
    def model(self):
        """Model that the attempt runs, "" for a plain service."""
        return self.forward.model

    def priority_key(self):
        """Return the sort key for access to shared resources; the lowest key is served first."""
        return (self.request.rank, self.queued_at, self.run_id)


class Adapter:
    """Residency of an adapter on a backend server, as last known.

    Parameters
    ----------
    model : str
    state : str
        State in the chart ``residency``.

    Attributes
    ----------
    changed_at : float
        Time (s) of the last state change.
    failed_loads : int
        Consecutive failed loads.
    abandoned_at : float or None
        Time (s) at which a run was cancelled or lost that the backend server may still serve; None
        once a later report shows no run.
    usage : AdapterUsage
        Input of the eviction policy.
    """

    __slots__ = ("abandoned_at", "changed_at", "failed_loads", "model", "state", "usage")

    def __init__(self, model, state, now):
        self.model = model
        self.state = state
        self.changed_at = now
        self.failed_loads = 0
        self.abandoned_at = None
        self.usage = AdapterUsage(model, 0.0, now)


class ManagedBackend:
    """Queue, adapters and runs of one backend server.

    Parameters
    ----------
    server : BackendServer
    state : str
        State in the chart ``backend_server``.
    queue : WaitingQueue

    Attributes
    ----------
    adapters : dict
        `Adapter` by model.
    runs : dict
        Running `Attempt` by run id.
    lost_runs : list of Attempt
        Runs whose connection broke, kept until a report shows whether the backend server died.
    incarnation : str
        Incarnation in the last report without a failure, "" before the first one.
    pending_load : Attempt or None
        Attempt whose load waits for the load budget.
    polled_at : float
        Time (s) of the last poll.
    report : EngineReport or None
        Last report without a failure.
    eviction_refusal : str
        Reason for the last refusal of an eviction, "" if the last eviction was granted.
    """

    __slots__ = (
        "adapters",
        "eviction_refusal",
        "incarnation",
        "lost_runs",
        "pending_load",
        "polled_at",
        "queue",
        "report",
        "runs",
        "server",
        "state",
    )

    def __init__(self, server, state, queue):
        self.server = server
        self.state = state
        self.queue = queue
        self.adapters = {}
        self.runs = {}
        self.lost_runs = []
        self.incarnation = ""
        self.pending_load = None
        self.polled_at = float("-inf")
        self.report = None
        self.eviction_refusal = ""

    def count_runs(self, model):
        """Return the number of runs of `model`."""
        return sum(1 for a in self.runs.values() if a.model == model)

    def has_work(self):
        """Return whether attempts wait, run or await a report, or an abandoned run may go on."""
        return bool(len(self.queue) or self.runs or self.lost_runs or self.list_abandoned())

    def list_abandoned(self):
        """Return the models of which the backend server may still serve an abandoned run."""
        return [a.model for a in self.adapters.values() if a.abandoned_at is not None]

    def summarize(self, residency, accepting):
        """Return the `ServerSummary`; `residency` is the chart of the adapters."""
        resident = [a.model for a in self.adapters.values() if residency.has_tag(a, "usable")]
        return ServerSummary(self.server.name, accepting, len(self.queue), len(self.runs), resident)

    def model_counts(self):
        """Return a list of `ModelCount` of the runs; an abandoned run of a model counts as one."""
        abandoned = self.list_abandoned()
        models = {a.model for a in self.runs.values()} | set(abandoned)
        return [
            ModelCount(self.server.name, m, self.count_runs(m) + (m in abandoned))
            for m in sorted(models)
        ]
