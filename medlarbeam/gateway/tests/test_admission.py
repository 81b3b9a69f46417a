"""Requests that reach a node before the configuration by which another node has decided.

Guards against requests that are decided by an older configuration after a newer one, and against
an outage of the store that ends the service.
"""

import pytest

from medlarbeam.classes.gateway_effects import RefuseRequest, SyncStore
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    ConfigFetched,
    ConfigVersionStated,
    GatewayRequest,
    StoreSetBack,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.classes.organisations import CallerCredential
from medlarbeam.gateway.admission import CONFIG_WAIT_S
from medlarbeam.gateway.config_versions import STATED_S
from medlarbeam.gateway.tests.fleet_samples import ROUTES, make_config, make_harness

OLD, NEW = 1, 2
GONE = "unknown_service"
SHORT = "short"  # of a caller with a short deadline
# The newer configuration has no route for the requests.
NEW_CONFIG = make_config(NEW, [route for route in ROUTES if route.name != "pay"])


def send(harness, stated):
    """Pass a payment, forwarded by a node that states a version, or of a caller otherwise."""
    is_of_caller = stated in (None, SHORT)
    credential = CallerCredential((), None if is_of_caller else stated)
    runs_elsewhere = None if is_of_caller else 0
    path, deadline = "/pay/x", harness.now + (CONFIG_WAIT_S / 2 if stated == SHORT else 5.0)
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
    harness.deliver(ConfigVersionStated("n2", NEW))
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


def learn_newer_long_ago(harness):
    learn_newer(harness)
    harness.pass_time(STATED_S + 0.1)


def answer_without_it(harness):
    harness.effects = harness.deliver(StoreSynced(harness.now))


def fetch_newer(harness):
    harness.deliver(ConfigFetched("n2", NEW_CONFIG))


def wait_in_vain(harness):
    harness.pass_time(CONFIG_WAIT_S - 0.01)
    assert not name_outcome(harness)
    harness.pass_time(0.02)


# What the node has learnt, the version that the request states, the decision at once, what happens
# while it waits, and the decision then.
ARRIVALS = [
    ("forwarded-by-the-same-version", do_nothing, OLD, "run", None, ""),
    ("forwarded-by-a-newer-version", do_nothing, NEW, "", read_newer, GONE),
    ("forwarded-by-an-older-version", read_newer, OLD, GONE, None, ""),
    ("store-is-silent", do_nothing, NEW, "", wait_in_vain, "catalog_unconfirmed"),
    ("store-is-away", lose_store, NEW, "", wait_in_vain, "catalog_unconfirmed"),
    ("caller-of-a-node-that-learnt-more", learn_newer, None, "", read_newer, GONE),
    ("caller-while-the-store-is-silent", learn_newer, None, "", wait_in_vain, "run"),
    ("store-has-no-newer-version", learn_newer, None, "", answer_without_it, "run"),
    (
        "forwarded-and-the-store-has-none",
        do_nothing,
        NEW,
        "",
        answer_without_it,
        "catalog_unconfirmed",
    ),
    ("version-was-stated-long-ago", learn_newer_long_ago, None, "run", None, ""),
    ("deadline-is-before-the-end-of-the-wait", learn_newer, SHORT, "run", None, ""),
    ("caller-does-not-wait-again", learn_newer_in_vain, None, "run", None, ""),
    ("store-is-away-and-a-node-answers", learn_newer_and_lose_store, None, "", fetch_newer, GONE),
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
    assert harness.gateway.config_versions.find_applied() == OLD
    learn_newer(harness)
    assert harness.gateway.config_versions.find_applied() == NEW


def test_key_that_only_the_newer_configuration_has_is_not_refused_for_good():
    harness = make_harness(config=make_config(OLD, [r for r in ROUTES if r.name != "pay"]))
    learn_newer_in_vain(harness)
    send(harness, None)
    assert name_outcome(harness) == "catalog_unconfirmed"
