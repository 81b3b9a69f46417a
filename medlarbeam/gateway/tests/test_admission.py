"""Requests that reach a node before the configuration by which another node has decided.

Guards against requests that are decided by an older configuration after a newer one, and against
an outage of the store that ends the service.
"""

import pytest

from medlarbeam.classes.gateway_effects import RefuseRequest, SyncStore
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    ConfigVersionStated,
    GatewayRequest,
    StoreSetBack,
    StoreUnavailable,
)
from medlarbeam.classes.organisations import CallerCredential
from medlarbeam.gateway.admission import CONFIG_WAIT_S
from medlarbeam.gateway.tests.fleet_samples import ROUTES, make_config, make_harness

OLD, NEW = 1, 2
# The newer configuration has no route for the requests.
NEW_CONFIG = make_config(NEW, [route for route in ROUTES if route.name != "pay"])


def send(harness, stated):
    """Pass a payment, forwarded by a node that states a version, or of a caller if it is None."""
    credential = CallerCredential((), stated)
    runs_elsewhere = None if stated is None else 0
    path, deadline = "/pay/x", harness.now + 5.0
    harness.deliver(
        GatewayRequest(
            f"r{harness.now}",
            "id-1",
            "host",
            path,
            deadline,
            None,
            0,
            7,
            runs_elsewhere=runs_elsewhere,
            credential=credential,
        )
    )


def name_outcome(harness):
    """Return what the last step has decided on a request, "" if it waits."""
    refusals = [effect.failure.kind.value for effect in harness.find(RefuseRequest)]
    return "".join(["run" for _ in harness.find_runs()] + refusals)


def do_nothing(harness):
    pass


def learn_newer(harness):
    harness.deliver(ConfigVersionStated(NEW))
    assert harness.find(SyncStore)


def learn_newer_in_vain(harness):
    learn_newer(harness)
    send(harness, None)
    wait_in_vain(harness)


def lose_store(harness):
    harness.deliver(StoreUnavailable("no response"))


def learn_newer_and_lose_store(harness):
    learn_newer(harness)
    lose_store(harness)


def learn_newer_and_set_store_back(harness):
    learn_newer(harness)
    harness.deliver(StoreSetBack(1))


def read_newer(harness):
    harness.write_entry("op/config", NEW_CONFIG)


def wait_in_vain(harness):
    harness.pass_time(CONFIG_WAIT_S - 0.01)
    assert not name_outcome(harness)
    harness.pass_time(0.02)


# What the node has learnt, the version that the request states, the decision at once, what happens
# while it waits, and the decision then.
ARRIVALS = [
    ("forwarded-by-the-same-version", do_nothing, OLD, "run", None, ""),
    ("forwarded-by-a-newer-version", do_nothing, NEW, "", read_newer, "unknown_service"),
    ("forwarded-by-an-older-version", read_newer, OLD, "unknown_service", None, ""),
    ("store-is-silent", do_nothing, NEW, "", wait_in_vain, "catalog_unconfirmed"),
    ("store-is-away", lose_store, NEW, "catalog_unconfirmed", None, ""),
    ("caller-of-a-node-that-learnt-more", learn_newer, None, "", read_newer, "unknown_service"),
    ("caller-while-the-store-is-silent", learn_newer, None, "", wait_in_vain, "run"),
    ("caller-does-not-wait-again", learn_newer_in_vain, None, "run", None, ""),
    ("caller-while-the-store-is-away", learn_newer_and_lose_store, None, "run", None, ""),
    ("version-is-lost-with-the-store", learn_newer_and_set_store_back, None, "run", None, ""),
]


@pytest.mark.parametrize(
    ("prepare", "stated", "first", "happen", "then"),
    [a[1:] for a in ARRIVALS],
    ids=[a[0] for a in ARRIVALS],
)
def test_request_is_not_decided_by_an_older_configuration_than_another_node_applies(
    prepare, stated, first, happen, then
):
    harness = make_harness()
    prepare(harness)
    send(harness, stated)
    assert name_outcome(harness) == first
    if happen is not None:
        assert harness.find(SyncStore)
        happen(harness)
        assert name_outcome(harness) == then
    assert not harness.gateway.admission.waiting


def test_request_whose_caller_leaves_while_it_waits_is_not_run():
    harness = make_harness()
    learn_newer(harness)
    send(harness, None)
    harness.deliver(CallerDisconnected(f"r{harness.now}"))
    read_newer(harness)
    assert not name_outcome(harness)
    harness.pass_time(CONFIG_WAIT_S)
    assert not name_outcome(harness)


def test_forwarded_request_states_the_newest_version_that_any_node_applies():
    harness = make_harness()
    assert harness.gateway.admission.find_applied_version() == OLD
    learn_newer(harness)
    assert harness.gateway.admission.find_applied_version() == NEW
