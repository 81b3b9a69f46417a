"""Acquisition, validity and loss of rights: a backend server never has two active holders."""

import pytest

from medlarbeam.classes.fleet import NodeRegistration, OrderRight
from medlarbeam.classes.gateway_effects import AcquireRight, RecordSettledEra, RenewLease
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    LeaseExpired,
    LeaseRenewed,
    StoreSetBack,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.classes.node_records import SettledEra
from medlarbeam.gateway.order_rights import REVISION_BITS, RIGHT_VALIDITY_S
from medlarbeam.gateway.tests.fleet_samples import (
    make_config,
    make_harness,
    make_server,
    make_settings,
    own_rights,
)

OTHER = NodeRegistration("n2", "z2", "10.0.0.2:7000", 3)
SERVER = [make_server("w1", "llm")]


def renew(harness, seconds):
    """Advance time with a lease renewal each second; return the `AcquireRight` effects."""
    acquired = []
    for _ in range(int(seconds)):
        harness.renew()
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


def hear_nothing_of_the_watch(harness):
    for _ in range(7):
        harness.deliver(LeaseRenewed(harness.now, False, 0))
        harness.pass_time(1.0)


def hear_only_the_watch(harness):
    for _ in range(7):
        harness.deliver(StoreSynced(harness.now))
        harness.pass_time(1.0)


def lose_registration(harness):
    harness.deliver(EntryDeleted("node/n1", harness.revision + 50))


VALIDITY = [
    ("renewed-right-is-valid", keep_renewing, True),
    ("right-expires-without-renewals", pass_validity, False),
    ("right-ends-with-the-lease", lose_lease, False),
    ("right-ends-with-the-registration", lose_registration, False),
    ("right-ends-when-the-store-is-not-read", hear_nothing_of_the_watch, False),
    ("right-ends-when-the-lease-is-not-renewed", hear_only_the_watch, False),
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
    harness.renew(62, is_new=True)
    for message in messages:
        harness.deliver(message)
    assert harness.gateway.rights.find_fence("w1", harness.now) == fence


EARLIER = NodeRegistration("n1", "z1", "10.0.0.1:7000", 4)
REGISTRATIONS = [
    ("present", [], False),
    ("deleted", [EntryDeleted("node/n1", 70)], True),
    ("written-late-by-an-earlier-process", [EntryUpdated("node/n1", EARLIER, 70)], True),
    (
        "deleted-before-the-last-registration",
        [LeaseRenewed(0.0, True, 80), EntryDeleted("node/n1", 70)],
        False,
    ),
]


@pytest.mark.parametrize(
    ("messages", "must_register"), [r[1:] for r in REGISTRATIONS], ids=[r[0] for r in REGISTRATIONS]
)
def test_node_whose_registration_is_gone_registers_again(messages, must_register):
    """Without its registration a node has no rights and is unknown to the others."""
    harness = make_harness(servers=SERVER)
    harness.renew(9, is_new=True)
    for message in messages:
        harness.deliver(message)
    harness.pass_time(1.0)
    assert {effect.must_register for effect in harness.find(RenewLease)} == {must_register}


ACQUIRED = OrderRight("w1", "n1", 70)
RETURNED = EntryUpdated("node/n2", OTHER, 65)
# Messages, each followed by a time in seconds.
TAKEOVERS = [
    ("holder-was-missing-long-enough", [(EntryUpdated("right/w1", ACQUIRED, 70), 0)], True),
    (
        "holder-was-registered-until-shortly-before",
        [
            (RETURNED, 3),
            (EntryDeleted("node/n2", 69), 1),
            (EntryUpdated("right/w1", ACQUIRED, 70), 0),
        ],
        False,
    ),
    (
        "time-of-a-takeover-has-passed-since",
        [
            (RETURNED, 3),
            (EntryDeleted("node/n2", 69), 1),
            (EntryUpdated("right/w1", ACQUIRED, 70), RIGHT_VALIDITY_S + 3.5),
        ],
        True,
    ),
    (
        "history-of-the-holder-is-unknown",
        [
            (
                StoreSnapshot(
                    [
                        EntryUpdated("right/w1", ACQUIRED, 70),
                        EntryUpdated("node/n1", REGISTRATION, 9),
                    ],
                    71,
                ),
                0,
            )
        ],
        False,
    ),
]


@pytest.mark.parametrize(
    ("messages", "is_used"), [t[1:] for t in TAKEOVERS], ids=[t[0] for t in TAKEOVERS]
)
def test_acquired_right_is_used_when_its_former_holder_can_no_longer_send_orders(messages, is_used):
    """The store may carry out an acquisition seconds after it was sent."""
    harness = make_harness(servers=SERVER, rights=[OrderRight("w1", "n2", 3)])
    harness.now += RIGHT_VALIDITY_S + 5
    for message, seconds in messages:
        harness.deliver(message)
        harness.now += seconds
    harness.renew(9)
    assert bool(harness.gateway.rights.find_fence("w1", harness.now)) is is_used


TAKEOVER_WAIT_S = RIGHT_VALIDITY_S + 3.5
FENCE = 1 << REVISION_BITS | 3


def set_store_back(harness, rights, nodes=()):
    """Set the store back to a copy with `rights`, in which this node registers again."""
    harness.deliver(StoreSetBack(1))
    registrations = [REGISTRATION, *nodes]
    entries = [EntryUpdated("op/config", make_config(), 1)]
    entries += [EntryUpdated(f"servers/{s.name}", s, 2) for s in SERVER]
    entries += [EntryUpdated(f"right/{r.server}", r, r.revision) for r in rights]
    entries += [EntryUpdated(f"node/{n.name}", n, 8) for n in registrations]
    harness.deliver(StoreSnapshot(entries, 8, 1))
    harness.renew(8, is_new=True)


def hold_right(harness):
    pass


def lose_right(harness):
    harness.write_entry("right/w1", TAKEN)


# What happens to the right before the set-back, the rights in the copy, seconds since, the token.
SET_BACKS = [
    ("held-right-is-used-at-once", hold_right, [OWN], 0, FENCE),
    ("right-acquired-since-may-be-in-use", lose_right, [OWN], TAKEOVER_WAIT_S - 0.1, 0),
    ("right-lost-since-is-used-after-a-takeover", lose_right, [OWN], TAKEOVER_WAIT_S, FENCE),
    ("expired-right-may-be-in-use", pass_validity, [OWN], TAKEOVER_WAIT_S - 0.1, 0),
    ("expired-right-is-used-after-a-takeover", pass_validity, [OWN], TAKEOVER_WAIT_S, FENCE),
    ("right-that-the-copy-gives-to-another-node", hold_right, [OrderRight("w1", "n2", 2)], 0, 0),
    ("right-that-the-copy-does-not-have", hold_right, [], 0, 0),
]


@pytest.mark.parametrize(
    ("change", "rights", "wait_s", "fence"),
    [s[1:] for s in SET_BACKS],
    ids=[s[0] for s in SET_BACKS],
)
def test_right_after_a_set_back_of_the_store(change, rights, wait_s, fence):
    """Revisions of the lost time are above those of the copy, so tokens have the era."""
    harness = make_harness(servers=SERVER, rights=[OWN])
    change(harness)
    set_store_back(harness, rights)
    harness.now += wait_s
    harness.renew(8)
    assert harness.gateway.rights.find_fence("w1", harness.now) == fence


def test_right_is_not_used_between_a_set_back_and_the_new_registration():
    harness = make_harness(servers=SERVER, rights=[OWN])
    harness.deliver(StoreSetBack(1))
    assert harness.gateway.rights.find_fence("w1", harness.now) == 0


ACQUISITIONS = [
    ("free-right-may-be-in-use", lose_right, [], TAKEOVER_WAIT_S - 1, 0),
    ("free-right-is-acquired-after-a-takeover", lose_right, [], TAKEOVER_WAIT_S + 1, 1),
    ("lost-right-is-acquired-again-at-once", hold_right, [], 1, 1),
    ("held-right-of-an-earlier-era-is-kept", hold_right, [OWN], TAKEOVER_WAIT_S + 1, 0),
]


@pytest.mark.parametrize(
    ("change", "rights", "seconds", "acquires"),
    [a[1:] for a in ACQUISITIONS],
    ids=[a[0] for a in ACQUISITIONS],
)
def test_right_is_acquired_after_a_set_back_when_no_holder_can_be_left(
    change, rights, seconds, acquires
):
    harness = make_harness(servers=SERVER, rights=[OWN])
    change(harness)
    set_store_back(harness, rights)
    acquired = []
    while seconds > 0:
        harness.renew(8)
        harness.pass_time(min(1.0, seconds))
        acquired += harness.find(AcquireRight)
        seconds -= 1.0
    assert bool(acquired) is bool(acquires)


EARLIER_RIGHT = OrderRight("w1", "n1", 3, 1)
STARTS = [
    ("rights-are-of-an-earlier-era", [EARLIER_RIGHT], 0, False),
    ("takeover-time-has-passed", [EARLIER_RIGHT], TAKEOVER_WAIT_S, True),
    ("right-is-of-this-era", [OrderRight("w1", "n1", 3, 2)], 0, True),
    ("another-right-is-of-this-era", [EARLIER_RIGHT, OrderRight("w2", "n2", 4, 2)], 0, False),
]


@pytest.mark.parametrize(
    ("rights", "wait_s", "is_used"), [s[1:] for s in STARTS], ids=[s[0] for s in STARTS]
)
def test_restarted_node_uses_its_right_when_the_era_cannot_have_begun_just_now(
    rights, wait_s, is_used
):
    harness = make_harness(servers=SERVER, rights=rights, era=2)
    harness.now += wait_s
    harness.renew()
    assert bool(harness.gateway.rights.find_fence("w1", harness.now)) is is_used


SETTLED = [
    ("era-before-this-one", 1, False),
    ("this-era", 2, True),
]


@pytest.mark.parametrize(("era", "is_used"), [s[1:] for s in SETTLED], ids=[s[0] for s in SETTLED])
def test_restarted_node_uses_its_right_once_another_has_waited(era, is_used):
    harness = make_harness(servers=SERVER, rights=[EARLIER_RIGHT], era=2)
    harness.write_entry("era", SettledEra(era))
    assert bool(harness.gateway.rights.find_fence("w1", harness.now)) is is_used


DEPLOYMENTS = [
    ("first-start", True, 2, [], 1),
    ("restart-with-a-copy-from-before-the-first-rights", False, 2, [], 0),
    ("store-that-was-never-set-back", False, 0, [], 1),
    ("first-start-beside-nodes-with-rights", True, 2, [OrderRight("w2", "n2", 3, 1)], 0),
]


@pytest.mark.parametrize(
    ("is_first_start", "era", "rights", "acquires"),
    [d[1:] for d in DEPLOYMENTS],
    ids=[d[0] for d in DEPLOYMENTS],
)
def test_started_node_acquires_rights_when_no_holder_can_be_left(
    is_first_start, era, rights, acquires
):
    settings = make_settings()
    settings.is_first_start = is_first_start
    harness = make_harness(settings, servers=SERVER, rights=rights, era=era)
    harness.pass_time(1.0)
    assert bool(harness.find(AcquireRight)) is bool(acquires)


RECORDS = [
    ("before-the-time-of-a-takeover", TAKEOVER_WAIT_S - 1, []),
    ("after-the-time-of-a-takeover", TAKEOVER_WAIT_S + 1, [1]),
]


@pytest.mark.parametrize(("seconds", "eras"), [r[1:] for r in RECORDS], ids=[r[0] for r in RECORDS])
def test_era_is_recorded_as_settled_when_no_earlier_right_can_be_in_use(seconds, eras):
    harness = make_harness(servers=SERVER, rights=[OWN])
    set_store_back(harness, [OWN])
    recorded = []
    while seconds > 0:
        harness.renew(8)
        harness.pass_time(min(1.0, seconds))
        for effect in harness.find(RecordSettledEra):
            recorded.append(effect.era)
            harness.write_entry("era", SettledEra(effect.era))
        seconds -= 1.0
    assert recorded == eras


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
