"""Checks which requests ran, for which organisation, and what of them reached workers.

Rules are those of the users' pages. A gateway with a fault may act by any configuration that was
written before; what holds from any gateway is checked without regard to faults.
"""

from math import inf

from medlarbeam.algorithms.caller_access import digest_key
from medlarbeam.soak.deployment import PUBLIC_ROUTE
from medlarbeam.soak.key_ring import LIMITED_KEY
from medlarbeam.soak.records import FAULT_FREE_S, INCOMPLETE, STORE_KINDS

__all__ = ["ACCESS_CHECKS", "is_owed"]

# ``configApplyMs`` of the pages is 2 s. The other second is for a request between the caller's
# clock reading and the gateway, since callers and workers share a process that may be held up.
CONFIG_APPLY_S = 2.0 + 1.0
# A gateway with such a fault may not know of the newest configuration.
LAGGING_KINDS = {"kill", "terminate", "freeze", "store_silence", *STORE_KINDS}
SECRET_HEADERS = ("x-key", "medlarbeam-key-digest")
UNCHANGED_HEADERS = ("X-Model", "X-Token-Usage", "X-Prompt-Prefix")
UNAUTHORISED = 401
MALFORMED = 400
# A worker's answers, those that keep a key out, and none, which promises nothing.
ANSWERS_TO_OLD_KEYS = (200, 500, UNAUTHORISED, INCOMPLETE)


def is_calm(history, request, until):
    """Return whether nothing kept a gateway from the configuration for a request up to `until`."""
    since = request.sent_at - FAULT_FREE_S
    targets = {request.gateway, "store"}
    # A gateway that starts answers 503 until it has read a configuration.
    return since >= history.started_at and not history.overlaps_fault(
        since, until, LAGGING_KINDS, targets
    )


def find_holders(history, request, until):
    """Return the holders of a request's key in the configurations that may be in force.

    None stands for a configuration that does not hold the key.
    """
    since = request.sent_at - CONFIG_APPLY_S if is_calm(history, request, until) else -inf
    return history.key_ring.find_holders(request.sent.find_key(), since, until)


def is_owed(history, request):
    """Return whether a request has to be served under each configuration that may be in force."""
    if request.sent is None or request.route == PUBLIC_ROUTE:
        return True
    since = request.sent_at - CONFIG_APPLY_S
    key = request.sent.find_key()
    if key == LIMITED_KEY:
        return False
    return None not in history.key_ring.find_holders(key, since, request.ended_at)


def list_receipts(history):
    """Yield each receipt of a worker with the caller's request, None if no caller sent it."""
    requests = {r.attempt: r for r in [*history.requests, *history.harmful_requests]}
    for receipt in history.receipts:
        attempts = receipt.request.read_values("X-Attempt-Id")
        yield receipt, requests.get(attempts[0]) if len(attempts) == 1 else None


def check_secrets(history):
    """Yield requests that reached a worker with a key or a digest of one."""
    if not history.receipts:
        return
    keys = history.key_ring.list_known_keys()
    secrets = keys | {digest_key(key) for key in keys}
    for receipt, request in list_receipts(history):
        label = "a request of no caller"
        if request is not None:
            label = f"{request.attempt} ({request.route}) of {request.gateway}"
        for name, value in receipt.request.headers:
            if name.lower() in SECRET_HEADERS or any(secret in value for secret in secrets):
                yield f"UNASKED {label} reached {receipt.worker} with a key in {name}"


def check_contents(history):
    """Yield requests without an attempt id, and runs of other ones than the caller sent."""
    for receipt, request in list_receipts(history):
        if not receipt.request.read_values("X-Attempt-Id"):
            yield f"UNASKED a request without an attempt id reached {receipt.worker}"
        if not receipt.request.is_run or request is None or request.sent is None:
            continue
        sent, got = request.sent, receipt.request
        changed = [n for n in ("method", "target", "body") if getattr(sent, n) != getattr(got, n)]
        changed += [n for n in UNCHANGED_HEADERS if sent.read_values(n) != got.read_values(n)]
        if changed:
            label = f"{request.attempt} ({request.route}) of {request.gateway}"
            yield f"UNASKED {label} ran at {receipt.worker}, changed in {changed}"


def check_organisations(history):
    """Yield runs for an organisation that does not hold the key, or without a key."""
    for receipt, request in list_receipts(history):
        if not receipt.request.is_run or request is None or request.sent is None:
            continue
        label = f"{request.attempt} ({request.route}) of {request.gateway} ran"
        names = receipt.request.read_values("X-Tenant")
        if request.route == PUBLIC_ROUTE:
            if names:
                yield f"UNASKED {label} for {names}, though its route needs no key"
            continue
        ever = history.key_ring.find_holders(request.sent.find_key(), -inf, receipt.at)
        holders = find_holders(history, request, receipt.at)
        if ever == {None}:
            yield f"ROUTE {label} without a key that some configuration held"
        elif holders == {None}:
            yield f"CONFIG {label} with a key that was withdrawn"
        elif len(names) != 1 or names[0] not in holders:
            yield f"UNASKED {label} for {names}, where {holders} hold its key"


def check_refusals(history):
    """Yield keys that were refused, and those not answered 401, against the configuration."""
    ran = {run.attempt for run in history.runs}
    for request in [*history.requests, *history.harmful_requests]:
        if request.sent is None:
            continue
        label = f"{request.attempt} ({request.route}) of {request.gateway} got {request.status}"
        holders = find_holders(history, request, request.ended_at)
        is_public = request.route == PUBLIC_ROUTE
        if request.status == MALFORMED:
            # Whatever keys they have, all requests of the callers are proper in form.
            yield f"DENIED {label}, though it is well formed"
        elif request.status == UNAUTHORISED:
            key = request.sent.find_key()
            ever = history.key_ring.find_holders(key, -inf, request.ended_at)
            if request.attempt in ran:
                yield f"REFUSED {label} and ran"
            elif is_public or None not in ever:
                yield f"DENIED {label}, though each configuration allows it"
            elif None not in holders:
                yield f"CONFIG {label}, though its key is held"
        elif (
            holders == {None} and not is_public and request.status not in ANSWERS_TO_OLD_KEYS
        ) and is_calm(history, request, request.ended_at):
            yield f"DENIED {label} in place of 401"


ACCESS_CHECKS = [check_secrets, check_contents, check_organisations, check_refusals]
