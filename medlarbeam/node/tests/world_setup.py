"""Simulated clusters, requests and notes for several tests."""

from medlarbeam.classes.catalog import AdapterVersion, NoteAction, NoteEntry, ReleaseNote
from medlarbeam.classes.messages import OperatorRequest
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.node.assembly import build_node
from medlarbeam.node.tests.simulated_cluster import SimulatedCluster

__all__ = ["MODELS", "apply_note", "make_charge", "make_cluster", "make_note", "make_request"]

NODES = {"n1": "fd1", "n2": "fd1", "n3": "fd2"}
ENGINES = {"e1": "fd1", "e2": "fd1", "e3": "fd2"}
SERVICES = {"t1": "fd1", "t2": "fd2"}
MODELS = [f"a{i}@1" for i in range(14)]


class RecordedRequest(Request):
    """A request that also records the models that its caller requested."""

    __slots__ = ("requested_models",)

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.requested_models = list(self.models)


def make_request(cluster, node, models=("a0@1",), body="hello", deadline_s=10.0, **options):
    """Return a new request for `node`."""
    incarnation = cluster.hosts[node].settings.incarnation
    request_id = f"{node}-{incarnation}-{len(cluster.responses) + 1}"
    rank = options.pop("rank", Rank.ORDINARY)
    caller = options.pop("caller", "kiosk")
    deadline = cluster.now + deadline_s
    return RecordedRequest(request_id, caller, rank, deadline, list(models), body, **options)


def make_charge(cluster, node, key, body="charge", **options):
    """Return a new non-idempotent request to the service `till`."""
    options = {"service": "till", "path": "charge", "non_idempotent": True, "key": key, **options}
    return make_request(cluster, node, (), body, **options)


def apply_note(cluster, node, note, action="apply_note"):
    """Send an operator's request to apply a note to a node; return its id."""
    op_id = f"op{len(cluster.operator_responses)}-{note.note_id}-{node}"
    cluster.orders[op_id] = note
    order = OperatorRequest(op_id, "kira", action, note.note_id, note, 1000.0 + cluster.now)
    cluster.deliver(cluster.hosts[node], order)
    return op_id


def make_note(note_id, models, action=NoteAction.ADD, base_revision=None):
    """Return a note with one entry per model."""
    entries = []
    for model in models:
        adapter, version = model.split("@")
        entries.append(NoteEntry(action, AdapterVersion(adapter, version, f"w/{model}")))
    return ReleaseNote(note_id, "kira", entries, base_revision)


def make_cluster(seed=1, build=build_node, ready=True, fencing=False):
    """Return a cluster of three nodes in two failure domains, with a catalog if `ready`."""
    cluster = SimulatedCluster(seed, NODES, ENGINES, SERVICES, build, fencing)
    if ready:
        assert cluster.run_until(lambda: all(is_ready(h) for h in cluster.hosts.values()), 60.0)
        op_id = apply_note(cluster, "n1", make_note("first", MODELS))
        assert cluster.run_until(lambda: op_id in cluster.operator_responses, 30.0), cluster.log
        assert cluster.operator_responses[op_id].failure is None, cluster.operator_responses[op_id]
        cluster.run(cluster.now + 5.0)
    return cluster


def is_ready(host):
    """Return whether a node accepts requests."""
    return host.node.lifecycle.is_accepting()
