"""The search finds each mutant of the decision code, and no violation in the code as it is."""

import pytest

from medlarbeam.checking import gateway_model
from medlarbeam.checking.__main__ import check_bounds
from medlarbeam.checking.canonical import describe_state
from medlarbeam.checking.events import EVENT_KINDS, find_event, list_events, play
from medlarbeam.checking.search import Search, replay
from medlarbeam.checking.tests import mutants
from medlarbeam.checking.tests.trace_cases import TRACE_CASES
from medlarbeam.checking.trace import render_case, render_table
from medlarbeam.checking.world import make_world
from medlarbeam.gateway.fleet_state import FleetState
from medlarbeam.gateway.order_rights import OrderRights

KINDS = sorted({kind.fault for kind in EVENT_KINDS if kind.fault})


def make_faults(**counts):
    return {**dict.fromkeys(KINDS, 0), **counts}


def make_mutant_world(mutant, faults, nodes=2):
    fleet = mutant if issubclass(mutant, FleetState) else FleetState
    rights = mutant if issubclass(mutant, OrderRights) else OrderRights
    return make_world(nodes, 1, faults, fleet, rights)


# Mutant, the rule that it breaks, depth and bounds with which the search finds it.
MUTANTS = [
    (mutants.UsesRightsOnceRenewed, "ONE fence", 8, {"losses": 1}),
    (mutants.UsesRightsAtOnce, "ONE fence", 8, {"losses": 1}),
    (mutants.KeepsRevisions, "CONFIG", 6, {"set_backs": 1, "configs": 2}),
    (mutants.ShortTakeover, "ONE gap", 5, {"losses": 1, "lapses": 1}),
    (mutants.KeepsVanished, "ONE lost", 4, {"losses": 1, "compactions": 1}),
    (mutants.TakesWithoutCheckOrDelay, "ONE gap", 9, {"losses": 1, "late": 1}),
]


@pytest.mark.parametrize(
    ("mutant", "rule", "depth", "faults"), MUTANTS, ids=[row[0].__name__ for row in MUTANTS]
)
def test_search_finds_mutant(mutant, rule, depth, faults):
    faults = make_faults(**faults)
    result = Search(make_mutant_world(mutant, faults)).run(depth)
    assert result.violation is not None
    assert result.violation.reason.startswith(rule)
    assert len(result.violation.events) == depth
    assert replay(make_mutant_world(mutant, faults), result.violation.events)


# Mutants that a search of a few seconds does not reach, and the trace that shows each.
DEEP_MUTANTS = [
    (mutants.CountsFromArrival, "late-answer-to-a-renewal-counts-from-its-arrival"),
    (mutants.CountsAnyIncarnation, "registration-of-an-earlier-process-counts"),
    (mutants.IgnoresWatch, "right-is-used-without-a-watch-while-the-lease-is-renewed"),
]


@pytest.mark.parametrize(
    ("mutant", "name"), DEEP_MUTANTS, ids=[row[0].__name__ for row in DEEP_MUTANTS]
)
def test_trace_shows_mutant(mutant, name):
    case = next(case for case in TRACE_CASES if case.name == name)
    world = make_mutant_world(mutant, dict.fromkeys(KINDS, 9))
    assert replay(world, case.events).startswith("ONE")


# Nodes, depth and bounds of searches that find nothing, each within some seconds.
SOUND = [
    (2, 40, {"losses": 1}),
    (2, 40, {"losses": 1, "restarts": 1}),
    (2, 7, {"losses": 1, "set_backs": 1}),
    (2, 6, {"set_backs": 1, "configs": 2, "leaves": 1}),
    (3, 6, {"losses": 1, "late": 1}),
]


@pytest.mark.parametrize(("nodes", "depth", "faults"), SOUND)
def test_search_finds_no_violation(nodes, depth, faults):
    result = Search(make_world(nodes, 1, make_faults(**faults))).run(depth)
    assert result.violation is None
    assert result.depth == depth or result.is_complete


@pytest.mark.parametrize("case", TRACE_CASES, ids=lambda case: case.name)
def test_trace_that_broke_a_promise_keeps_it(case):
    world = make_world(case.nodes, case.servers, dict.fromkeys(KINDS, 9))
    assert replay(world, case.events) == ""


def test_copied_slots_are_all_slots():
    """An attribute that is not copied would be shared or lost between two states."""
    fleet = {*gateway_model.FLEET_PLAIN, *gateway_model.FLEET_MAPS, "servers"}
    assert fleet == set(FleetState.__slots__)
    rights = {*gateway_model.RIGHTS_PLAIN, *gateway_model.RIGHTS_CONTAINERS}
    assert rights == set(OrderRights.__slots__)


def test_event_leaves_earlier_state_unchanged():
    """A state that shares a changed part with its predecessor would hide or invent violations."""
    world = make_world(2, 1, dict.fromkeys(KINDS, 2))
    for _ in range(12):
        earlier = repr(describe_state(world))
        events = list_events(world)
        followers = [play(world, event) for event in events]
        assert repr(describe_state(world)) == earlier
        world = followers[len(earlier) % len(followers)]
        world.receive_orders()
        world.orders = []


def test_interrupt_keeps_what_was_searched():
    def interrupt(search):
        raise KeyboardInterrupt

    search = Search(make_world(2, 1, make_faults(losses=2, restarts=1)), interrupt)
    search.parents.extend([0] * (20000 - 50 - len(search.parents)))
    search.steps.extend([0] * (20000 - 50 - len(search.steps)))
    result = search.run(20)
    assert result.stopped_by == "interrupt"
    assert result.states >= 20000
    assert not result.is_complete


@pytest.mark.parametrize(
    ("nodes", "servers", "depth", "losses", "named"),
    [
        (0, 1, 5, 0, "--nodes"),
        (5, 1, 5, 0, "--nodes"),
        (2, 0, 5, 0, "--servers"),
        (2, 1, 0, 0, "--depth"),
        (2, 1, 5, -1, "--losses"),
        (2, 1, 5, 10, "--losses"),
        (2, 1, 5, 1, ""),
    ],
)
def test_bounds_that_cannot_be_met_are_named(nodes, servers, depth, losses, named):
    reason = check_bounds(nodes, servers, depth, {"losses": losses})
    assert reason.startswith(named) and bool(reason) == bool(named)


def test_violation_is_shown_as_table_and_test_case():
    faults = make_faults(losses=1, lapses=1)
    result = Search(make_mutant_world(mutants.ShortTakeover, faults)).run(5)
    world = make_mutant_world(mutants.ShortTakeover, faults)
    assert "BROKEN ONE gap" in render_table(world, result.violation.events)
    case = render_case("short-takeover", 2, 1, result.violation)
    assert '"LoseStore n2",' in case


def test_unknown_event_is_refused():
    with pytest.raises(ValueError, match="Explode"):
        find_event("Explode n1")
