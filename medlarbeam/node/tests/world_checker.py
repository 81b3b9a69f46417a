"""Checks a `SimulatedCluster` from the records of callers, operators and servers."""

from medlarbeam.exceptions import RunState
from medlarbeam.node.tests.fakes import make_chunks

__all__ = ["check_cluster"]


def check_cluster(cluster, faults_ended):
    """Return a list of violations.

    Parameters
    ----------
    cluster : SimulatedCluster
    faults_ended : bool
        Whether all faults ended long enough ago that the cluster must have recovered.
    """
    runs = [run for server in cluster.servers.values() for run in server.started]
    violations = []
    for name, server in cluster.servers.items():
        violations += [
            f"{model} was evicted on {name} while it ran" for model in server.evicted_in_use
        ]
    violations += [
        f"run {run_id} started after its server or model was withdrawn"
        for run_id in cluster.forbidden_runs
    ]
    violations += check_crashes(cluster, runs)
    runs_by_request = count_by(runs, lambda run: run.effect.request.request_id)
    for response in cluster.responses.values():
        violations += check_response(cluster, response, runs_by_request, faults_ended)
    violations += check_keys(runs)
    violations += check_notes(cluster, faults_ended)
    return violations


def check_crashes(cluster, runs):
    """Check how often a crashing request runs that its caller repeats one at a time."""
    crashed = [run for run in runs if "crash" in run.prompt]
    counts = count_by(crashed, lambda run: run.prompt)
    # 2 without other faults; a crash report that is lost on the network, or in a restart, costs one
    # more run for each of the three nodes.
    return [f"{body} ran {n} times" for body, n in counts.items() if n > 2 + 3]


def count_by(runs, key):
    counts = {}
    for run in runs:
        counts[key(run)] = counts.get(key(run), 0) + 1
    return counts


def check_response(cluster, response, runs_by_request, faults_ended):
    request, end = response.request, response.end
    label = request.request_id
    if end is None:
        return [f"{label} got no response"] if faults_ended and response.at is None else []
    if end.failure is not None:
        contradicted = end.failure.run_state is RunState.NOT_RUN and runs_by_request.get(label)
        return [f"{label} got {end.failure}, but ran"] if contradicted else []
    if request.service:
        return [] if response.text.startswith("done ") else [f"{label} got {response.text!r}"]
    if response.start.model not in request.requested_models:
        return [f"{label} requested {request.requested_models} and got {response.start.model}"]
    expected = "".join(make_chunks(response.start.model, request.body))
    return [] if response.text == expected else [f"{label} got {response.text!r}"]


def check_keys(runs):
    claimed = [run for run in runs if run.effect.request.non_idempotent]
    counts = count_by(claimed, lambda r: f"{r.effect.request.caller}/{r.effect.request.key}")
    return [f"key {key} ran {n} times" for key, n in counts.items() if n > 1]


def check_notes(cluster, faults_ended):
    accepted = [a.document for a in cluster.operator_responses.values() if a.failure is None]
    accepted = {d["note_id"]: d["revision"] for d in accepted if "revision" in d}
    violations = []
    if len(set(accepted.values())) < len(accepted):
        violations.append(f"two notes were accepted at one revision: {accepted}")
    for name, host in cluster.hosts.items():
        revision = host.node.catalog.revision()
        if revision < cluster.seen_revisions.get(f"{name}-{host.settings.incarnation}", 0):
            violations.append(f"{name} reverted to revision {revision}")
        cluster.seen_revisions[f"{name}-{host.settings.incarnation}"] = revision
        if faults_ended and host.alive and accepted and revision < max(accepted.values()):
            violations.append(f"{name} is at revision {revision}, but accepted were {accepted}")
        recent = host.node.catalog.head.recent if host.node.catalog.head else []
        for note_id, at in accepted.items():
            if revision >= at and recent[at - 1] != note_id:
                violations.append(
                    f"{name} has {recent[at - 1]} at revision {at} instead of {note_id}"
                )
    return violations
