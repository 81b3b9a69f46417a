"""Acquisition, validity and loss of rights: a backend server never has two active holders."""

import pytest

from medlarbeam.classes.fleet import NodeRegistration, OrderRight
from medlarbeam.classes.gateway_effects import AcquireRight
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    LeaseExpired,
    LeaseRenewed,
    StoreSnapshot,
)
from medlarbeam.gateway.order_rights import RIGHT_VALIDITY_S
from medlarbeam.gateway.tests.fleet_samples import make_harness, make_server, own_rights

OTHER = NodeRegistration("n2", "z2", "10.0.0.2:7000", 3)
SERVER = [make_server("w1", "llm")]


def renew(harness, seconds):
    """Advance time with a lease renewal each second; return the `AcquireRight` effects."""
    acquired = []
    for _ in range(int(seconds)):
        harness.deliver(LeaseRenewed(harness.now, False, 0))
        harness.pass_time(1.0)
        acquired += harness.find(AcquireRight)
    return acquired


FREE = [
    ("free-right-is-acquired-at-once", [], [], 1, 1),
    ("right-of-a-registered-node-is-kept", [OrderRight("w1", "n2", 3)], [OTHER], 60, 0),
    (
        "right-of-a-missing-node-may-still-be-valid",
        [OrderRight("w1", "n2", 3)],
        [],
        RIGHT_VALIDITY_S + 2.9,
        0,
    ),
    (
        "right-of-a-missing-node-is-acquired-after-its-validity",
        [OrderRight("w1", "n2", 3)],
        [],
        RIGHT_VALIDITY_S + 6,
        1,
    ),
    ("released-right-is-not-acquired-within-the-order-gap", [OrderRight("w1", "", 3)], [], 3, 0),
    ("released-right-is-acquired-after-the-order-gap", [OrderRight("w1", "", 3)], [], 5, 1),
    ("own-right-is-not-acquired-again", own_rights(["w1"]), [], 20, 0),
]


@pytest.mark.parametrize(
    ("rights", "nodes", "seconds", "acquires"), [f[1:] for f in FREE], ids=[f[0] for f in FREE]
)
def test_right_is_acquired_only_when_its_holder_can_no_longer_send_orders(
    rights, nodes, seconds, acquires
):
    harness = make_harness(servers=SERVER, rights=rights, nodes=nodes)
    assert bool(renew(harness, seconds)) is bool(acquires)


def lose_lease(harness):
    harness.deliver(LeaseExpired())


def pass_validity(harness):
    harness.pass_time(RIGHT_VALIDITY_S + 0.1)


def keep_renewing(harness):
    renew(harness, RIGHT_VALIDITY_S + 5)


def lose_registration(harness):
    harness.deliver(EntryDeleted("node/n1", harness.revision + 50))


VALIDITY = [
    ("renewed-right-is-valid", keep_renewing, True),
    ("right-expires-without-renewals", pass_validity, False),
    ("right-ends-with-the-lease", lose_lease, False),
    ("right-ends-with-the-registration", lose_registration, False),
]


@pytest.mark.parametrize(
    ("change", "is_valid"), [v[1:] for v in VALIDITY], ids=[v[0] for v in VALIDITY]
)
def test_right_is_valid_only_with_a_renewed_registration(change, is_valid):
    harness = make_harness(servers=SERVER, rights=own_rights(["w1"]))
    assert harness.gateway.rights.find_fence("w1", harness.now) == 3
    change(harness)
    assert bool(harness.gateway.rights.find_fence("w1", harness.now)) is is_valid


TAKEN = OrderRight("w1", "n2", 61)
OWN = OrderRight("w1", "n1", 3)
REGISTRATION = NodeRegistration("n1", "z1", "10.0.0.1:7000", 5)
# Revisions: the other node took the right at 61, this node registered again at 62.
RETURNS = [
    ("nothing-read-since", [], 0),
    ("only-the-loss-of-the-registration-read", [EntryDeleted("node/n1", 60)], 0),
    (
        "takeover-read",
        [EntryUpdated("right/w1", TAKEN, 61), EntryUpdated("node/n1", REGISTRATION, 62)],
        0,
    ),
    (
        "no-takeover-up-to-the-registration",
        [EntryDeleted("node/n1", 60), EntryUpdated("node/n1", REGISTRATION, 62)],
        3,
    ),
    (
        "snapshot-from-before-the-registration",
        [
            StoreSnapshot(
                [EntryUpdated("right/w1", OWN, 6), EntryUpdated("node/n1", REGISTRATION, 62)], 59
            )
        ],
        0,
    ),
    (
        "snapshot-with-the-takeover",
        [
            StoreSnapshot(
                [EntryUpdated("right/w1", TAKEN, 61), EntryUpdated("node/n1", REGISTRATION, 62)], 62
            )
        ],
        0,
    ),
]


@pytest.mark.parametrize(
    ("messages", "fence"), [r[1:] for r in RETURNS], ids=[r[0] for r in RETURNS]
)
def test_right_is_used_after_an_outage_only_when_its_takeover_would_be_known(messages, fence):
    harness = make_harness(servers=SERVER, rights=own_rights(["w1"]))
    harness.pass_time(12.0)
    harness.deliver(LeaseExpired())
    harness.deliver(LeaseRenewed(harness.now, True, 62))
    for message in messages:
        harness.deliver(message)
    assert harness.gateway.rights.find_fence("w1", harness.now) == fence


def test_all_nodes_agree_on_the_preferred_holder():
    """Two nodes of a failure domain must not compete in the store for the same right."""
    nodes = [NodeRegistration(f"n{i}", "z1", f"10.0.0.{i}:7000", 5) for i in (1, 2, 3)]
    servers = [make_server(f"w{i}", "llm") for i in range(12)]
    holders = []
    for node in nodes:
        harness = make_harness(servers=servers, nodes=nodes)
        harness.gateway.settings.name = node.name
        harness.gateway.rights.confirmed_at = harness.now
        for server in servers:
            if harness.gateway.rights._is_preferred_holder(server):
                holders.append(server.name)
    assert sorted(holders) == sorted(server.name for server in servers)
