"""What a node knows about a backend server that it manages: queue, adapters and runs."""

from medlarbeam.algorithms.eviction import AdapterUse
from medlarbeam.classes.peer_messages import ModelCount, ServerSummary

__all__ = ["Adapter", "Attempt", "ServerDesk"]


class Attempt:
    """An attempt of a request at the node that manages its backend server.

    Parameters
    ----------
    state : str
        State in the chart ``attempt``.
    sender : str
        Entry node that gets the chunks.
    forward : Forward
    run_id : str
    deadline : float
        Monotonic time (s) of this node.
    queued_at : float
    """

    __slots__ = (
        "chunks",
        "deadline",
        "desk",
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

    def __init__(self, state, desk, sender, forward, run_id, deadline, queued_at):
        self.state = state
        self.desk = desk
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

    def precedence(self):
        """Return the sort key of its claim to a shared resource, the first claim lowest."""
        return (self.request.rank, self.queued_at, self.run_id)


class Adapter:
    """Belief about an adapter on a backend server.

    Parameters
    ----------
    model : str
    state : str
        State in the chart ``residency``.
    unsettled_at : float or None
        Time (s) at which a run was cancelled or lost that the backend server may still serve; None
        once a later report shows no run.
    """

    __slots__ = ("changed_at", "failed_loads", "model", "state", "unsettled_at", "use")

    def __init__(self, model, state, now):
        self.model = model
        self.state = state
        self.changed_at = now
        self.failed_loads = 0
        self.unsettled_at = None
        self.use = AdapterUse(model, 0.0, now)


class ServerDesk:
    """Queue, adapters and runs of one backend server.

    Parameters
    ----------
    server : BackendServer
    state : str
        State in the chart ``backend_server``.
    queue : WaitingQueue
    """

    __slots__ = (
        "adapters",
        "incarnation",
        "load_wanted",
        "lost",
        "polled_at",
        "queue",
        "refusal",
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
        self.lost = []
        self.incarnation = ""
        self.load_wanted = None  # attempt that waits for the load budget
        self.polled_at = float("-inf")
        self.report = None
        self.refusal = ""  # reason for which an eviction was refused last

    def count_runs(self, model):
        """Return the number of runs of `model`."""
        return sum(1 for a in self.runs.values() if a.model == model)

    def is_open(self):
        """Return whether attempts wait, run or await a report."""
        return bool(len(self.queue) or self.runs or self.lost or self.list_unsettled())

    def list_unsettled(self):
        """Return the models of which the backend server may still serve a run that was given up."""
        return [a.model for a in self.adapters.values() if a.unsettled_at is not None]

    def summarize(self, residency, accepting):
        """Return the `ServerSummary`; `residency` is the chart of the adapters."""
        resident = [a.model for a in self.adapters.values() if residency.has_tag(a, "usable")]
        return ServerSummary(self.server.name, accepting, len(self.queue), len(self.runs), resident)

    def model_counts(self):
        """Return a list of `ModelCount` of the runs, with 1 for a model that is unsettled."""
        unsettled = self.list_unsettled()
        models = {a.model for a in self.runs.values()} | set(unsettled)
        return [
            ModelCount(self.server.name, m, self.count_runs(m) + (m in unsettled))
            for m in sorted(models)
        ]
