"""Requests through three simulated nodes, from admission to response, without sockets."""

import pytest

from medlarbeam.classes.catalog import NoteAction
from medlarbeam.classes.messages import (
    CallerDisconnected,
    EngineChunk,
    EngineFailure,
    OperatorRequest,
    Shutdown,
)
from medlarbeam.exceptions import ErrorKind, RunState
from medlarbeam.node.tests.fakes import FakeServer
from medlarbeam.node.tests.world_checker import check_cluster
from medlarbeam.node.tests.world_setup import (
    MODELS,
    apply_note,
    make_charge,
    make_cluster,
    make_note,
    make_request,
)
from medlarbeam.readwrite.values import AUDIT_ENTRY


def wait_for_end(cluster, response, limit_s=20.0):
    assert cluster.run_until(lambda: response.end is not None, limit_s), cluster.log[-20:]
    return response.end


PATHS = [
    (f"{model}-through-{node}", node, model) for node in ("n1", "n2", "n3") for model in MODELS
]


@pytest.mark.parametrize(("node", "model"), [p[1:] for p in PATHS], ids=[p[0] for p in PATHS])
def test_response_comes_from_the_requested_model(node, model):
    """A request is served by another model, or by none at some entry node."""
    cluster = make_cluster()
    end = wait_for_end(cluster, cluster.send_request(node, make_request(cluster, node, [model])))
    assert (end.failure, end.model) == (None, model)
    assert check_cluster(cluster, faults_ended=False) == []


def kill_server(cluster, node, response):
    name = next(s.server.name for s in cluster.servers.values() if s.runs)
    cluster.servers[name].crash()


def kill_owner(cluster, node, response):
    owner = next(r.node for s in cluster.servers.values() for r in s.runs.values())
    if owner != node:
        cluster.kill(owner)


def restart_cold(cluster, node, response):
    for server in cluster.servers.values():
        server.crash()


def stop_platform(cluster, node, response):
    cluster.kv.is_unavailable = True


def leave_gracefully(cluster, node, response):
    cluster.deliver(cluster.hosts[node], Shutdown())


FAULTS = [
    ("server-dies-mid-stream", kill_server),
    ("owner-dies-mid-stream", kill_owner),
    ("all-engines-restart-cold", restart_cold),
    ("platform-goes-down", stop_platform),
    ("entry-node-shuts-down-gracefully", leave_gracefully),
]


@pytest.mark.parametrize("seed", [1, 2, 3, 4], ids=lambda s: f"seed-{s}")
@pytest.mark.parametrize("fault", [t[1] for t in FAULTS], ids=[t[0] for t in FAULTS])
def test_idempotent_request_survives(fault, seed):
    """A fault during the response fails a request that can be retried."""
    cluster = make_cluster(seed)
    node = ("n1", "n2", "n3")[seed % 3]
    response = cluster.send_request(node, make_request(cluster, node, [MODELS[seed]]))
    assert cluster.run_until(lambda: "1 " in response.text, 5.0), cluster.log[-20:]
    fault(cluster, node, response)
    end = wait_for_end(cluster, response)
    assert end.failure is None, (end, cluster.log[-30:])
    assert check_cluster(cluster, faults_ended=False) == []


def restart_node(cluster):
    cluster.kill("n1")
    cluster.run(cluster.now + 0.2)
    cluster.start("n1")


HANDOVERS = [
    ("node-leaves", lambda cluster: cluster.deliver(cluster.hosts["n1"], Shutdown())),
    ("node-is-killed-and-started", restart_node),
]


@pytest.mark.parametrize("seed", range(1, 6), ids=lambda s: f"seed-{s}")
@pytest.mark.parametrize("begin", [h[1] for h in HANDOVERS], ids=[h[0] for h in HANDOVERS])
def test_requests_wait_until_a_handover_is_complete(begin, seed):
    """A request is refused though a backend server only changes its owner."""
    cluster = make_cluster(seed)
    begin(cluster)
    responses = []
    for number in range(40):
        cluster.run(cluster.now + 0.1)
        request = make_request(cluster, "n3", [MODELS[number % 3]], f"request {number}")
        responses.append(cluster.send_request("n3", request))
    assert [wait_for_end(cluster, r).failure for r in responses] == [None] * 40
    assert check_cluster(cluster, faults_ended=False) == []


REFUSALS = [
    ("unknown-version", {"models": ["a0@9"]}, ErrorKind.UNKNOWN_ADAPTER),
    ("unknown-service", {"models": [], "service": "bank"}, ErrorKind.UNKNOWN_SERVICE),
    ("deadline-already-passed", {"deadline_s": 0.0}, ErrorKind.DEADLINE_IN_QUEUE),
]


@pytest.mark.parametrize(
    ("options", "kind"), [r[1:] for r in REFUSALS], ids=[r[0] for r in REFUSALS]
)
def test_refusal_says_not_run(options, kind):
    """A request that no server got is reported as possibly run."""
    cluster = make_cluster()
    end = wait_for_end(cluster, cluster.send_request("n1", make_request(cluster, "n1", **options)))
    assert (end.failure.kind, end.failure.run_state) == (kind, RunState.NOT_RUN)
    assert check_cluster(cluster, faults_ended=True) == []


REPEATS = [
    ("same-node", "n1", "charge", None),
    ("another-node", "n3", "charge", None),
    ("another-body", "n3", "charge more", ErrorKind.KEY_REUSED),
]


@pytest.mark.parametrize(
    ("node", "body", "kind"), [r[1:] for r in REPEATS], ids=[r[0] for r in REPEATS]
)
def test_repeated_charge_runs_once(node, body, kind):
    """A non-idempotent request runs twice because it was repeated at some node."""
    cluster = make_cluster()
    first = cluster.send_request("n1", make_charge(cluster, "n1", "k1"))
    assert wait_for_end(cluster, first).failure is None
    cluster.run(cluster.now + 1.0)
    second = cluster.send_request(node, make_charge(cluster, node, "k1", body))
    end = wait_for_end(cluster, second)
    assert (end.failure and end.failure.kind) == kind
    if kind is None:
        assert (second.text, end.replayed) == (first.text, True)
    assert check_cluster(cluster, faults_ended=True) == []


WITHDRAWALS = [("one-of-two", ["a1@1"]), ("all", ["a0@1", "a1@1"])]


@pytest.mark.parametrize("models", [w[1] for w in WITHDRAWALS], ids=[w[0] for w in WITHDRAWALS])
def test_repeat_after_a_withdrawal_gets_the_recorded_outcome(models):
    """The catalog filters the models of a repeat, so that its digest does not match."""
    cluster = make_cluster()
    marked = {"models": ["a0@1", "a1@1"], "non_idempotent": True, "key": "k"}
    first = cluster.send_request("n1", make_request(cluster, "n1", **marked))
    assert wait_for_end(cluster, first).failure is None
    op = apply_note(cluster, "n1", make_note("w", models, NoteAction.WITHDRAW))
    assert cluster.run_until(lambda: op in cluster.operator_responses, 30.0)
    second = cluster.send_request("n3", make_request(cluster, "n3", **marked))
    assert wait_for_end(cluster, second).replayed and second.text == first.text
    assert check_cluster(cluster, faults_ended=False) == []


CRASHES = [("one-model", ["a0@1"]), ("two-models", ["a0@1", "a1@1"])]


@pytest.mark.parametrize("models", [c[1] for c in CRASHES], ids=[c[0] for c in CRASHES])
def test_crashing_request_crashes_two_servers_at_most(models):
    """A request that crashes backend servers is retried until all are down."""
    cluster = make_cluster()
    for _ in range(3):
        for node in cluster.hosts:
            response = cluster.send_request(node, make_request(cluster, node, models, "crash"))
            wait_for_end(cluster, response, 30.0)
            cluster.run(cluster.now + 3.0)
    assert response.end.failure.kind is ErrorKind.CRASH_SUSPECT
    assert sum(server.incarnation - 1 for server in cluster.servers.values()) == 2


@pytest.mark.parametrize("node", ["n1", "n3"], ids=["local-owner", "remote-owner"])
def test_run_is_cancelled_when_its_caller_disconnects(node):
    """A run continues after its caller has closed the connection."""
    cluster = make_cluster()
    request = make_request(cluster, node, ["a1@1"])
    response = cluster.send_request(node, request)
    assert cluster.run_until(lambda: response.text, 5.0)
    cluster.deliver(cluster.hosts[node], CallerDisconnected(request.request_id))
    cluster.run(cluster.now + 0.6)
    assert not any(server.runs for server in cluster.servers.values())


RACES = [("same-base", 1, 1, 1), ("no-base", None, None, 1), ("stale-base", 0, 1, 1)]


@pytest.mark.parametrize(
    ("one", "other", "wins"), [r[1:] for r in RACES], ids=[r[0] for r in RACES]
)
def test_racing_notes_one_wins(one, other, wins):
    """Two concurrent notes are both accepted, so that one overwrites the other."""
    cluster = make_cluster()
    ids = [
        apply_note(cluster, "n1", make_note("x", ["b@1"], base_revision=one)),
        apply_note(cluster, "n3", make_note("y", ["b@2"], base_revision=other)),
    ]
    assert cluster.run_until(lambda: all(i in cluster.operator_responses for i in ids), 30.0)
    failures = [
        cluster.operator_responses[i].failure
        for i in ids
        if cluster.operator_responses[i].failure is not None
    ]
    assert len(failures) == 2 - wins
    assert all(f.kind is ErrorKind.NOTE_CONFLICT for f in failures)
    assert check_cluster(cluster, faults_ended=True) == []


REUSED_IDS = [
    ("same-note", "first", MODELS, None),
    ("another-note-with-its-id", "first", ["z@1"], ErrorKind.NOTE_CONFLICT),
]


@pytest.mark.parametrize(
    ("note_id", "models", "kind"), [a[1:] for a in REUSED_IDS], ids=[a[0] for a in REUSED_IDS]
)
def test_note_id_is_reused(note_id, models, kind):
    """A repeated note is applied twice, or another note with its id is accepted."""
    cluster = make_cluster()
    op = apply_note(cluster, "n3", make_note(note_id, models))
    assert cluster.run_until(lambda: op in cluster.operator_responses, 30.0)
    failure = cluster.operator_responses[op].failure
    assert (failure and failure.kind) == kind
    cluster.run(cluster.now + 5.0)
    assert {h.node.catalog.revision() for h in cluster.hosts.values()} == {1}
    entries = [AUDIT_ENTRY.decode(e.value) for k, e in cluster.kv.entries.items() if "audit/" in k]
    assert sorted((e.revision_before, e.revision_after) for e in entries) == [(0, 1), (1, 1)]


@pytest.mark.parametrize("server", ["e1", "e3"], ids=["own-domain", "other-domain"])
def test_drained_server_gets_no_new_work(server):
    """A backend server gets new work after an operator has drained it."""
    cluster = make_cluster()
    order = OperatorRequest("op-drain", "kira", "drain", server, None, 1000.0)
    cluster.deliver(cluster.hosts["n1"], order)
    assert cluster.run_until(lambda: "op-drain" in cluster.operator_responses, 30.0)
    assert cluster.operator_responses["op-drain"].failure is None
    cluster.vms[server].leaving = True
    cluster.run(cluster.now + 5.0)
    cluster.vms[server].leaving = False  # the VM list must not revoke the operator's order
    cluster.run(cluster.now + 5.0)
    assert "draining" in {
        h.node.runs.backends[server].state
        for h in cluster.hosts.values()
        if server in h.node.runs.backends
    }
    before = len(cluster.servers[server].started)
    responses = [
        cluster.send_request(n, make_request(cluster, n, [m]))
        for n in cluster.hosts
        for m in MODELS
    ]
    cluster.run(cluster.now + 15.0)
    assert len(cluster.servers[server].started) == before
    assert [a.end.failure for a in responses if a.end.failure] == []


@pytest.mark.parametrize(
    "cut_kv", [False, True], ids=["peers-unreachable", "peers-and-platform-unreachable"]
)
def test_partitioned_failure_domain_serves_every_adapter(cut_kv):
    """A partitioned node refuses adapters although its backend servers are reachable."""
    cluster = make_cluster()
    for one, other in [("n1", "n3"), ("n2", "n3")] + [("n3", "kv")] * cut_kv:
        cluster.cut(one, other, 60.0)
    for name, server in cluster.servers.items():
        server.unreachable_from = {"n1", "n2"} if name in ("e3", "t2") else {"n3"}
    cluster.run(cluster.now + 12.0)
    ends = [
        wait_for_end(
            cluster, cluster.send_request("n3", make_request(cluster, "n3", [model])), 30.0
        )
        for model in MODELS
    ]
    assert [end.failure for end in ends if end.failure] == []


def skip_model_check(dispatcher, message):
    attempt = dispatcher.runs.get(message.run_id)
    message.model = attempt.model if attempt is not None else message.model


MODEL_CHECKS = [("checked", False), ("mutant-without-the-check-is-detected", True)]


@pytest.mark.parametrize("mutant", [m[1] for m in MODEL_CHECKS], ids=[m[0] for m in MODEL_CHECKS])
def test_text_of_another_model_never_reaches_the_caller(mutant, monkeypatch):
    """A caller gets text that the engine labels as that of another model."""
    cluster = make_cluster()

    def mislabel(server, run):
        message = next_message(server, run)
        if isinstance(message, EngineChunk):
            message.text, message.model = message.text.replace("a1@1", "a2@1"), "a2@1"
        if mutant and not isinstance(message, EngineFailure):
            skip_model_check(cluster.hosts[run.node].node.runs, message)
        return message

    next_message = FakeServer.next_message
    monkeypatch.setattr(FakeServer, "next_message", mislabel)
    response = cluster.send_request("n1", make_request(cluster, "n1", ["a1@1"]))
    wait_for_end(cluster, response, 30.0)
    assert ("a2@1" in response.text) == mutant
    assert (check_cluster(cluster, faults_ended=False) != []) == mutant
