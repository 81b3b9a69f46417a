"""What a node believes of the store's entries when they come late, twice, or not at all."""

import pytest

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import (
    EntryGone,
    EntryRead,
    LeaseRenewed,
    SnapshotRead,
    StoreLost,
)
from medlarbeam.gateway.route_table import RouteTable
from medlarbeam.gateway.tests.fleet_samples import (
    ROUTES,
    make_config,
    make_driven,
    make_route,
    make_server,
)

READY = make_server("l1", "ledger")
DRAINING = make_server("l1", "ledger", draining=True)
REBORN = make_server("l1", "ledger", born_ms=9)


def read(value, revision):
    return EntryRead("servers/l1", value, revision)


USABLE = [
    ("draining-server-gets-no-work", [read(DRAINING, 20)], 0.0, False),
    ("older-entry-does-not-take-a-drain-back", [read(DRAINING, 20), read(READY, 15)], 0.0, False),
    (
        "late-heartbeat-does-not-take-a-drain-back",
        [read(DRAINING, 20), read(READY, 21)],
        0.0,
        False,
    ),
    ("new-start-under-the-same-name-is-used", [read(DRAINING, 20), read(REBORN, 21)], 0.0, True),
    ("server-without-entry-gets-no-work", [EntryGone("servers/l1", 20)], 0.0, False),
    ("server-that-is-back-is-used", [EntryGone("servers/l1", 20), read(READY, 21)], 0.0, True),
    (
        "entry-that-vanished-after-an-outage-may-come-back",
        [StoreLost("down"), EntryGone("servers/l1", 20)],
        0.5,
        True,
    ),
    (
        "entry-that-stays-away-is-gone-within-the-bound",
        [StoreLost("down"), EntryGone("servers/l1", 20)],
        1.0,
        False,
    ),
    ("old-removal-is-ignored", [read(READY, 20), EntryGone("servers/l1", 15)], 0.0, True),
]


@pytest.mark.parametrize(
    ("messages", "wait_s", "is_used"), [u[1:] for u in USABLE], ids=[u[0] for u in USABLE]
)
def test_which_servers_get_work(messages, wait_s, is_used):
    driven = make_driven()
    for message in messages:
        driven.give(message)
    names = [s.name for s in driven.gateway.book.usable_servers("ledger", driven.now + wait_s)]
    assert ("l1" in names) is is_used


def test_servers_whose_entries_lapse_together_are_used_on():
    driven = make_driven()
    driven.give(StoreLost("down"))
    for name in ("w1", "w2"):
        driven.give(EntryGone(f"servers/{name}", 20))
    assert len(driven.gateway.book.usable_servers("llm", driven.now + 1.5)) == 2
    assert driven.gateway.book.usable_servers("llm", driven.now + 2.0) == []


CONFIGS = [
    ("newer-version-is-adopted", [(2, 20)], 2),
    ("older-version-never-comes-back", [(5, 20), (3, 21)], 5),
    ("late-event-never-comes-back", [(5, 20), (7, 15)], 5),
]


@pytest.mark.parametrize(
    ("versions", "expected"), [c[1:] for c in CONFIGS], ids=[c[0] for c in CONFIGS]
)
def test_configuration_never_goes_back(versions, expected):
    driven = make_driven()
    for version, revision in versions:
        driven.give(EntryRead("op/config", make_config(version), revision))
    assert driven.gateway.book.config.version == expected


def test_snapshot_removes_what_it_does_not_list():
    driven = make_driven()
    driven.give(SnapshotRead([EntryRead("op/config", make_config(), 1)], 30))
    assert driven.gateway.book.usable_servers("ledger", driven.now) == []
    assert driven.gateway.book.config is not None


NESTED = [*ROUTES, make_route("read/deep", ROUTES[0].kind, "ledger")]
PATHS = [
    ("prefix", "host", "/read/1", "read"),
    ("longest-prefix-wins", "host", "/read/deep/1", "read/deep"),
    ("query-is-not-part-of-the-path", "host", "/read/1?next=/pay/", "read"),
    ("part-of-a-segment-does-not-match", "host", "/reads/1", None),
    ("other-host", "other", "/read/1", None),
    ("path-without-a-slash", "host", "read", None),
]


@pytest.mark.parametrize(
    ("host", "path", "name"), [p[1:] for p in PATHS], ids=[p[0] for p in PATHS]
)
def test_longest_prefix_selects_the_route(host, path, name):
    route = RouteTable(NESTED).match(host, path)
    assert (route.name if route else None) == name


LOSSES = [
    ("one-line-when-the-store-is-lost-and-one-when-it-is-back", 3, ["store_lost", "store_heard"]),
    ("renewal-without-a-loss-writes-nothing", 0, []),
]


@pytest.mark.parametrize(("losses", "names"), [c[1:] for c in LOSSES], ids=[c[0] for c in LOSSES])
def test_loss_of_the_store_is_logged(losses, names):
    driven = make_driven()
    events = []
    for _ in range(losses):
        events += driven.give(StoreLost("down"))
    events += driven.give(LeaseRenewed(driven.now, False))
    events += driven.give(LeaseRenewed(driven.now, False))
    assert [e.name for e in events if isinstance(e, LogEvent)] == names
