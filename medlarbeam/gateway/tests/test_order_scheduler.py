"""Orders to one backend server: adapter capacity, versions, and a state that may be stale."""

import pytest

from medlarbeam.algorithms.load_time_estimator import LoadTimeEstimator
from medlarbeam.classes.fleet import AdapterKey, EngineState
from medlarbeam.classes.gateway_effects import FetchEngineState, ServerOrder
from medlarbeam.classes.peer_messages import UseReport
from medlarbeam.classes.server_messages import ServerOrderResult
from medlarbeam.gateway.order_scheduler import OrderScheduler, load_residency_chart
from medlarbeam.gateway.remote_uses import USE_TTL_S, RemoteUses
from medlarbeam.gateway.tests.fleet_samples import ADAPTER_CAPACITY, make_engine, make_server

CHART = load_residency_chart()
KEYS = [AdapterKey("m0", f"a{i}") for i in range(9)]


class Harness:
    """An `OrderScheduler` with a manual clock and the arguments of `decide`."""

    __slots__ = ("in_use", "now", "published_versions", "scheduler")

    def __init__(self, held=(), loading=(), orders=4):
        self.scheduler = OrderScheduler(
            make_server("w1", "llm"), 7, CHART, LoadTimeEstimator(), 0.0
        )
        self.now = 1.0
        self.in_use = set()
        self.published_versions = {}
        state = EngineState(
            orders, {"m0"}, {k: 1 for k in held}, {k: 1 for k in loading}, is_changing_weights=False
        )
        assert isinstance(self.decide(), FetchEngineState)
        self.scheduler.apply_state(state, self.now)

    def decide(self):
        return self.scheduler.decide(
            make_engine(),
            self.published_versions,
            self.in_use,
            lambda: True,
            self.now,
        )

    def demand(self, key, priority=0, due=9.0):
        self.scheduler.add_demand(key, priority, due, "n1", self.now)
        return self.decide()

    def respond(self, order, status):
        self.scheduler.handle_order_result(ServerOrderResult(order, status, ""), self.now)


FULL = [
    ("idle-adapter-is-evicted", KEYS[:3], [], [], False),
    ("adapters-in-use-stay", KEYS[:3], [], KEYS[:3], None),
    ("adapters-in-transit-count-as-held", KEYS[:2], KEYS[3:4], KEYS[:2], None),
    ("free-capacity-is-used", KEYS[:2], [], [], True),
]


@pytest.mark.parametrize(
    ("held", "loading", "in_use", "is_load"), [f[1:] for f in FULL], ids=[f[0] for f in FULL]
)
def test_adapter_capacity_is_never_exceeded(held, loading, in_use, is_load):
    harness = Harness(held, loading)
    harness.in_use = set(in_use)
    order = harness.demand(KEYS[8])
    assert (order.is_load if order else None) is is_load
    assert len(harness.scheduler.residencies) <= ADAPTER_CAPACITY


STATUSES = [
    ("accepted-order-counts", 202, 5, False),
    ("refused-order-invalidates-the-state", 409, None, True),
    ("order-after-a-lost-response-has-the-same-number", 0, 4, False),
    ("other-incarnation-invalidates-the-state", 421, None, True),
]


@pytest.mark.parametrize(
    ("status", "orders", "reads"), [a[1:] for a in STATUSES], ids=[a[0] for a in STATUSES]
)
def test_response_to_an_order_updates_the_number_of_orders(status, orders, reads):
    harness = Harness(KEYS[:1])
    order = harness.demand(KEYS[5])
    assert isinstance(order, ServerOrder) and order.orders == 4 and order.fence == 7
    harness.respond(order, status)
    assert harness.scheduler.orders == orders
    harness.now += 0.5
    harness.scheduler.add_demand(KEYS[6], 0, 9.0, "n1", harness.now)
    assert isinstance(harness.decide(), FetchEngineState if reads else ServerOrder)


DOUBTED = [("load-accepted", KEYS[:1], 202), ("unload-done", KEYS[:3], 200)]


@pytest.mark.parametrize(("held", "status"), [d[1:] for d in DOUBTED], ids=[d[0] for d in DOUBTED])
def test_state_is_read_after_an_order_that_was_pending_when_it_was_doubted(held, status):
    """Otherwise the response raised an exception, and the order stayed pending or uncounted."""
    harness = Harness(held)
    order = harness.demand(KEYS[5])
    harness.scheduler.invalidate(harness.now)
    harness.respond(order, status)
    harness.now += 0.1
    assert isinstance(harness.decide(), FetchEngineState)
    for orders, expected in ((4, None), (5, 5)):
        state = EngineState(orders, {"m0"}, dict.fromkeys(held, 1), {}, is_changing_weights=False)
        harness.scheduler.apply_state(state, harness.now)
        assert harness.scheduler.orders == expected


def test_one_order_at_a_time():
    harness = Harness()
    assert harness.demand(KEYS[5]) is not None
    assert harness.demand(KEYS[6]) is None


ORDERINGS = [
    ("demand-that-can-be-on-time-is-first", [(0, 0.5), (2, 9.0)], 1),
    ("more-urgent-demand-is-first", [(2, 9.0), (0, 9.5)], 1),
    ("demand-due-earlier-is-first", [(0, 9.0), (0, 8.0)], 1),
]


@pytest.mark.parametrize(
    ("demands", "first"), [o[1:] for o in ORDERINGS], ids=[o[0] for o in ORDERINGS]
)
def test_order_of_loads(demands, first):
    harness = Harness()
    for index, (priority, due) in enumerate(demands):
        harness.scheduler.add_demand(KEYS[index], priority, due, "n1", harness.now)
    assert harness.decide().key == KEYS[first]


PUBLICATIONS = [
    ("adapter-in-use-is-replaced", True, True),
    ("idle-adapter-is-unloaded", False, False),
]


@pytest.mark.parametrize(
    ("is_used", "is_load"), [r[1:] for r in PUBLICATIONS], ids=[r[0] for r in PUBLICATIONS]
)
def test_published_version_replaces_or_unloads_the_older_one(is_used, is_load):
    harness = Harness(KEYS[:1])
    harness.now += 1.0
    harness.published_versions = {KEYS[0]: 2}
    harness.in_use = set(KEYS[:1]) if is_used else set()
    order = harness.decide()
    assert order.is_load is is_load
    assert order.version == (2 if is_load else 0)


def test_refused_replacement_still_occupies_capacity():
    """The older version is still held; counting its slot as free crashed a backend server."""
    harness = Harness(KEYS[:3])
    harness.now += 1.0
    harness.in_use = set(KEYS[:1])
    harness.published_versions = {KEYS[0]: 2}
    harness.respond(harness.decide(), 0)
    harness.now += 0.1
    assert len(harness.scheduler.residencies) == ADAPTER_CAPACITY
    harness.published_versions = {}
    assert harness.demand(KEYS[8]).is_load is False


@pytest.mark.parametrize("status", [200, 202], ids=["held-already", "accepted"])
def test_replacement_is_ordered_once(status):
    harness = Harness(KEYS[:1])
    harness.now += 1.0
    harness.in_use = set(KEYS[:1])
    harness.published_versions = {KEYS[0]: 2}
    harness.respond(harness.decide(), status)
    harness.now += 1.0
    assert harness.decide() is None


REPORTS = [
    ("report-from-before-the-refusal-is-ignored", 4, 0.1, None),
    ("report-from-after-the-refusal-is-applied", 5, 0.1, 5),
    ("report-is-applied-once-it-can-no-longer-be-stale", 4, 0.5, 4),
]


@pytest.mark.parametrize(
    ("orders", "wait_s", "expected"), [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_report_after_a_refused_order(orders, wait_s, expected):
    harness = Harness(KEYS[:1])
    harness.respond(harness.demand(KEYS[5]), 409)
    harness.now += wait_s
    harness.decide()
    harness.scheduler.apply_state(
        EngineState(orders, {"m0"}, {}, {}, is_changing_weights=False), harness.now
    )
    assert harness.scheduler.orders == expected


def make_state(orders, started_at_ms, held=(), *, is_changing_weights=False):
    """Return the report of an engine that holds its base model unless it is changing that."""
    models = {"m0"} if orders and not is_changing_weights else set()
    held = dict.fromkeys(held, 1)
    return EngineState(orders, models, held, {}, is_changing_weights, started_at_ms)


LOADED, LOADING = make_state(4, 1, KEYS[:2]), make_state(1, 1, is_changing_weights=True)
STARTS = [
    ("later-start-has-lost-the-load-of-its-base-model", LOADING, make_state(0, 2), 0, []),
    ("later-start-holds-nothing-of-before", LOADED, make_state(0, 2), 0, []),
    ("later-start-has-as-many-orders", LOADED, make_state(4, 2, KEYS[5:6]), 4, KEYS[5:6]),
    ("former-start-had-more-orders", LOADED, make_state(9, 0, KEYS[5:6]), 4, KEYS[:2]),
    ("older-report-of-the-same-start", LOADED, make_state(3, 1, KEYS[:1]), 4, KEYS[:2]),
    ("start-that-is-not-stated", LOADED, make_state(5, None, KEYS[:1]), 5, KEYS[:1]),
]


@pytest.mark.parametrize(
    ("before", "state", "orders", "held"), [s[1:] for s in STARTS], ids=[s[0] for s in STARTS]
)
def test_report_of_another_start(before, state, orders, held):
    """A restarted engine was taken for a late report, and stayed without its base model."""
    harness = Harness(orders=0)
    harness.scheduler.apply_state(before, harness.now)
    harness.now += 1.0
    harness.scheduler.apply_state(state, harness.now)
    assert harness.scheduler.orders == orders
    assert list(harness.scheduler.residencies) == list(held)


EARLIER = [("of-a-former-start", 9, 0), ("of-the-same-start", 0, 1)]


@pytest.mark.parametrize(
    ("orders", "started_at_ms"), [e[1:] for e in EARLIER], ids=[e[0] for e in EARLIER]
)
def test_state_is_not_read_again_at_once_after_an_earlier_report(orders, started_at_ms):
    """After a restart the state was read again with each answer, without a delay."""
    harness = Harness(orders=0)
    harness.scheduler.apply_state(LOADING, harness.now)
    harness.now += 1.0
    assert isinstance(harness.decide(), FetchEngineState)
    harness.scheduler.apply_state(make_state(orders, started_at_ms), harness.now)
    assert harness.decide() is None
    harness.now += 0.1
    assert isinstance(harness.decide(), FetchEngineState)


REMOTE = [
    ("use-by-another-node-prevents-eviction", 0.1, None),
    ("expired-use-report-allows-eviction", USE_TTL_S + 0.1, False),
]


@pytest.mark.parametrize(("age_s", "is_load"), [r[1:] for r in REMOTE], ids=[r[0] for r in REMOTE])
def test_adapters_in_use_by_other_nodes_are_not_evicted(age_s, is_load):
    harness = Harness(KEYS[:3])
    harness.now += 1.0
    harness.scheduler.apply_use_report(UseReport("n2", "w1", 1, KEYS[:3]), harness.now)
    harness.now += age_s
    order = harness.demand(KEYS[8])
    assert (order.is_load if order else None) is is_load


# Reports as (age in s, node, serial, keys), and whether the first key is in use.
REPORTS = [
    ("no-report", [], False),
    ("use-by-one-of-two-nodes", [(0.2, "n2", 1, KEYS[:2]), (0.1, "n3", 1, [])], True),
    ("use-that-ended", [(0.2, "n2", 1, KEYS[:2]), (0.1, "n2", 2, KEYS[1:2])], False),
    ("ended-at-one-of-two-users", [(0.3, n, 1, KEYS[:1]) for n in ("n2", "n3")], True),
    ("older-report-arrives-later", [(0.2, "n2", 2, KEYS[:1]), (0.1, "n2", 1, [])], True),
    ("expired", [(USE_TTL_S + 0.1, "n2", 1, KEYS[:1])], False),
    ("expired-use-is-reported-anew", [(2.0, "n2", 1, KEYS[:1]), (0.1, "n2", 2, KEYS[:1])], True),
    ("restarted-node-begins-anew", [(2.0, "n2", 9, []), (0.1, "n2", 1, KEYS[:1])], True),
]


@pytest.mark.parametrize(
    ("reports", "expected"), [r[1:] for r in REPORTS], ids=[r[0] for r in REPORTS]
)
def test_use_by_other_nodes_follows_their_last_reports(reports, expected):
    uses = RemoteUses()
    for age_s, node, serial, keys in reports:
        uses.apply_report(UseReport(node, "w1", serial, keys), 100.0 - age_s)
    assert uses.is_used(KEYS[0], 100.0) is expected


EARLY = [
    ("load-takes-longer-than-estimated", False, 0.26, 0.26, 0.29),
    ("replacement-waits-for-its-runs", True, 0.3, 0.44, 0.46),
]


@pytest.mark.parametrize(
    ("is_replacement", "elapsed_s", "least_s", "most_s"),
    [e[1:] for e in EARLY],
    ids=[e[0] for e in EARLY],
)
def test_early_refusal_postpones_the_ready_time(is_replacement, elapsed_s, least_s, most_s):
    """Otherwise each waiting request was refused in turn and exhausted the retry budget."""
    harness = Harness(KEYS[:1])
    harness.now += 1.0
    if is_replacement:
        harness.in_use = set(KEYS[:1])
        harness.published_versions = {KEYS[0]: 2}
    key = KEYS[0] if is_replacement else KEYS[5]
    order = harness.decide() if is_replacement else harness.demand(key)
    harness.respond(order, 202)
    accepted_at = harness.now
    harness.now += elapsed_s
    harness.scheduler.is_changed = False
    harness.scheduler.record_early_refusal(key, harness.now)
    assert harness.scheduler.is_changed
    assert least_s <= harness.scheduler.residencies[key].ready_at - accepted_at <= most_s
