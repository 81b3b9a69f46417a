"""The gateway's state is correct after store entries arrive late, twice or not at all."""

import pytest

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    LeaseRenewed,
    StoreSetBack,
    StoreSnapshot,
    StoreUnavailable,
)
from medlarbeam.classes.server_messages import ServerLeaving
from medlarbeam.gateway.fleet_state import EXPIRY_HEARTBEATS, EXPIRY_MARGIN_S
from medlarbeam.gateway.route_table import RouteTable
from medlarbeam.gateway.tests.fleet_samples import (
    ROUTES,
    make_config,
    make_harness,
    make_route,
    make_server,
)

READY = make_server("l1", "ledger")
DRAINING = make_server("l1", "ledger", draining=True)
RESTARTED = make_server("l1", "ledger", started_at_ms=9)
DRAINING_RESTARTED = make_server("l1", "ledger", started_at_ms=9, draining=True)


def make_update(value, revision):
    return EntryUpdated("servers/l1", value, revision)


USABLE = [
    ("draining-server-gets-no-new-work", [make_update(DRAINING, 20)], 0.0, False),
    (
        "older-revision-does-not-cancel-a-drain",
        [make_update(DRAINING, 20), make_update(READY, 15)],
        0.0,
        False,
    ),
    (
        "late-heartbeat-does-not-cancel-a-drain",
        [make_update(DRAINING, 20), make_update(READY, 21)],
        0.0,
        False,
    ),
    (
        "restarted-server-of-the-same-name-is-used",
        [make_update(DRAINING, 20), make_update(RESTARTED, 21)],
        0.0,
        True,
    ),
    ("removed-server-gets-no-new-work", [EntryDeleted("servers/l1", 20)], 0.0, False),
    (
        "server-whose-entry-is-written-again-is-used",
        [EntryDeleted("servers/l1", 20), make_update(READY, 21)],
        0.0,
        True,
    ),
    (
        "server-whose-entry-lapsed-in-an-outage-is-still-used",
        [StoreUnavailable("down"), EntryDeleted("servers/l1", 20)],
        0.5,
        True,
    ),
    (
        "lapsed-server-is-dropped-within-the-drain-time",
        [StoreUnavailable("down"), EntryDeleted("servers/l1", 20)],
        1.0,
        False,
    ),
    (
        "removal-of-an-older-revision-is-ignored",
        [make_update(READY, 20), EntryDeleted("servers/l1", 15)],
        0.0,
        True,
    ),
]


@pytest.mark.parametrize(
    ("messages", "wait_s", "is_usable"), [u[1:] for u in USABLE], ids=[u[0] for u in USABLE]
)
def test_server_accepts_new_work_only_with_a_current_entry(messages, wait_s, is_usable):
    harness = make_harness()
    for message in messages:
        harness.deliver(message)
    names = [s.name for s in harness.gateway.fleet.usable_servers("ledger", harness.now + wait_s)]
    assert ("l1" in names) is is_usable


HEARTBEAT_S = 2.0
STALE_ENTRY_S = EXPIRY_HEARTBEATS * HEARTBEAT_S + EXPIRY_MARGIN_S


def set_back(*entries):
    """Return the messages of a store that is set back to a copy with `entries` of ``l1``."""
    config = EntryUpdated("op/config", make_config(), 1)
    return [StoreSetBack(1), StoreSnapshot([config, *entries], 15, 1)]


SET_BACK = [
    (
        "removed-server-is-not-used-again",
        [EntryDeleted("servers/l1", 20), *set_back(make_update(READY, 5))],
        STALE_ENTRY_S - 0.1,
        False,
    ),
    (
        "removed-server-whose-entry-does-not-expire-is-used",
        [EntryDeleted("servers/l1", 20), *set_back(make_update(READY, 5))],
        STALE_ENTRY_S + 0.1,
        True,
    ),
    (
        "removed-server-whose-entry-expires-is-not-used",
        [
            EntryDeleted("servers/l1", 20),
            *set_back(make_update(READY, 5)),
            EntryDeleted("servers/l1", 16),
        ],
        STALE_ENTRY_S + 0.1,
        False,
    ),
    (
        "removed-server-that-writes-its-entry-again-is-used",
        [
            EntryDeleted("servers/l1", 20),
            *set_back(make_update(READY, 5)),
            make_update(READY, 16),
        ],
        0.0,
        True,
    ),
    (
        "removed-server-that-says-that-it-leaves-is-not-used",
        [
            EntryDeleted("servers/l1", 20),
            *set_back(make_update(READY, 5)),
            ServerLeaving("l1", 1, "r1", "stream", "1"),
        ],
        STALE_ENTRY_S + 0.1,
        False,
    ),
    (
        "drain-is-not-cancelled",
        [make_update(DRAINING, 20), *set_back(make_update(READY, 5))],
        STALE_ENTRY_S + 0.1,
        False,
    ),
    (
        "drain-with-a-reused-revision-is-applied",
        [make_update(READY, 20), *set_back(make_update(READY, 5)), make_update(DRAINING, 16)],
        0.0,
        False,
    ),
    (
        "server-registered-in-the-lost-time-is-used-until-it-writes-again",
        [make_update(READY, 20), *set_back()],
        1.5,
        True,
    ),
    (
        "server-that-does-not-write-again-is-not-used",
        [make_update(READY, 20), *set_back()],
        2.0,
        False,
    ),
    (
        "drain-of-a-restarted-server-is-not-cancelled-by-its-earlier-start",
        [
            make_update(RESTARTED, 20),
            make_update(DRAINING_RESTARTED, 21),
            *set_back(make_update(READY, 5)),
            make_update(RESTARTED, 16),
        ],
        0.0,
        False,
    ),
]


@pytest.mark.parametrize(
    ("messages", "wait_s", "is_usable"), [s[1:] for s in SET_BACK], ids=[s[0] for s in SET_BACK]
)
def test_server_known_to_have_left_is_not_used_after_a_set_back(messages, wait_s, is_usable):
    harness = make_harness()
    harness.gateway.settings.heartbeat_s = HEARTBEAT_S
    for message in messages:
        harness.deliver(message)
    harness.pass_time(wait_s)
    names = [s.name for s in harness.gateway.fleet.usable_servers("ledger", harness.now)]
    assert ("l1" in names) is is_usable


def test_servers_whose_entries_lapse_together_stay_in_use():
    harness = make_harness()
    harness.deliver(StoreUnavailable("down"))
    for name in ("w1", "w2"):
        harness.deliver(EntryDeleted(f"servers/{name}", 20))
    assert len(harness.gateway.fleet.usable_servers("llm", harness.now + 1.5)) == 2
    assert harness.gateway.fleet.usable_servers("llm", harness.now + 2.0) == []


CONFIGS = [
    ("newer-version-is-adopted", [(2, 20)], 2),
    ("older-version-is-ignored", [(5, 20), (3, 21)], 5),
    ("event-of-an-older-revision-is-ignored", [(5, 20), (7, 15)], 5),
]


@pytest.mark.parametrize(
    ("versions", "expected"), [c[1:] for c in CONFIGS], ids=[c[0] for c in CONFIGS]
)
def test_configuration_version_never_decreases(versions, expected):
    harness = make_harness()
    for version, revision in versions:
        harness.deliver(EntryUpdated("op/config", make_config(version), revision))
    assert harness.gateway.fleet.config.version == expected


def test_snapshot_removes_entries_that_it_does_not_list():
    harness = make_harness()
    harness.deliver(StoreSnapshot([EntryUpdated("op/config", make_config(), 1)], 30))
    assert harness.gateway.fleet.usable_servers("ledger", harness.now) == []
    assert harness.gateway.fleet.config is not None


NESTED = [*ROUTES, make_route("read/deep", ROUTES[0].kind, "ledger")]
PATHS = [
    ("prefix", "host", "/read/1", "read"),
    ("longest-prefix-wins", "host", "/read/deep/1", "read/deep"),
    ("query-is-not-part-of-the-path", "host", "/read/1?next=/pay/", "read"),
    ("partial-path-segment-does-not-match", "host", "/reads/1", None),
    ("other-host", "other", "/read/1", None),
    ("path-without-a-slash", "host", "read", None),
]


@pytest.mark.parametrize(
    ("host", "path", "name"), [p[1:] for p in PATHS], ids=[p[0] for p in PATHS]
)
def test_route_with_the_longest_prefix_is_selected(host, path, name):
    route = RouteTable(NESTED).match(host, path)
    assert (route.name if route else None) == name


OUTAGES = [
    ("one-line-at-the-start-and-one-at-the-end-of-an-outage", 3, ["store_lost", "store_heard"]),
    ("renewal-without-an-outage-logs-nothing", 0, []),
]


@pytest.mark.parametrize(("losses", "names"), [c[1:] for c in OUTAGES], ids=[c[0] for c in OUTAGES])
def test_store_outage_is_logged_once(losses, names):
    harness = make_harness()
    events = []
    for _ in range(losses):
        events += harness.deliver(StoreUnavailable("down"))
    events += harness.deliver(LeaseRenewed(harness.now, False, 0))
    events += harness.deliver(LeaseRenewed(harness.now, False, 0))
    assert [e.name for e in events if isinstance(e, LogEvent)] == names
