"""Orders that follow from kept lists equal those that follow from all residencies and demands."""

from random import Random

import pytest

from medlarbeam.algorithms.load_time_estimator import LoadTimeEstimator
from medlarbeam.classes.fleet import AdapterKey, BaseModel, Engine, EngineState
from medlarbeam.classes.gateway_effects import FetchEngineState
from medlarbeam.classes.peer_messages import UseReport
from medlarbeam.classes.server_messages import ServerOrderResult
from medlarbeam.gateway.order_scheduler import OrderScheduler, load_residency_chart
from medlarbeam.gateway.tests.fleet_samples import make_server
from medlarbeam.gateway.tests.naive_order_scheduler import NaiveOrderScheduler

SEEDS = range(12)
STEPS = 1500
CHART = load_residency_chart()
STATUSES = (202, 202, 202, 200, 409, 0, 503)


class Pair:
    """A scheduler and its naive version, which get the same random messages.

    Attributes
    ----------
    pending : list
        The effects of both that have no result yet.
    kinds : set of str
        Kinds of the decisions so far.
    """

    __slots__ = (
        "engine",
        "in_use",
        "keys",
        "kinds",
        "now",
        "pauses_s",
        "pending",
        "rng",
        "schedulers",
        "versions",
    )

    def __init__(self, seed, capacity, adapters, pauses_s):
        self.rng = Random(seed)
        self.engine = self._make_engine(capacity)
        self.keys = [AdapterKey("m0", f"a{i}") for i in range(adapters)] + [AdapterKey("m9", "a0")]
        self.pauses_s = pauses_s
        self.now = 1.0
        self.in_use = {}
        self.versions = {}
        self.pending = []
        self.kinds = set()
        self.schedulers = [
            kind(make_server("w1", "llm"), 7, CHART, LoadTimeEstimator(), 0.0)
            for kind in (OrderScheduler, NaiveOrderScheduler)
        ]

    def _make_engine(self, capacity):
        # One adapter less than the capacity fits beside the base model.
        models = {"m0": BaseModel("m0", 700.0, 2.0, 300.0 / (capacity - 0.5))}
        return Engine(24, 1000.0, capacity, 7.0, models)

    def step(self):
        """Pass one random message to both, and compare what they decide."""
        rng = self.rng
        self.now += rng.choice(self.pauses_s)
        key = rng.choice(self.keys)
        step = rng.randrange(10)
        if step <= 2:
            due = self.now + rng.uniform(-0.5, 1.0)
            self._call("add_demand", key, rng.randrange(3), due, rng.choice("ab"), self.now)
        elif step == 3:
            self.in_use = dict.fromkeys(rng.sample(self.keys, rng.randrange(3)), 1)
        elif step == 4:
            self._call("record_use", key, self.now)
        elif step == 5:
            keys = rng.sample(self.keys, rng.randrange(3))
            node, serial = rng.choice("ab"), rng.randrange(1000)
            self._call("apply_use_report", UseReport(node, "w1", serial, keys), self.now)
        elif step == 6:
            self._call("record_early_refusal", key, self.now)
        elif step == 7 and rng.random() < 0.1:
            self._call("invalidate", self.now)
        elif step == 8 and rng.random() < 0.1:
            self.versions[key] = self.versions.get(key, 1) + 1
        elif step == 9 and rng.random() < 0.03:
            capacity = self.engine.adapter_capacity + rng.choice((-1, 1))
            self.engine = self._make_engine(max(2, capacity))
        if self.pending and rng.random() < 0.4:
            self._respond()
        self.decide()

    def _call(self, method, *args):
        for scheduler in self.schedulers:
            getattr(scheduler, method)(*args)

    def _respond(self):
        rng, effects, self.pending = self.rng, self.pending, []
        if isinstance(effects[0], FetchEngineState):
            state = self._make_state()
            self._call("apply_state", state, self.now)
            return
        status = rng.choice(STATUSES)
        for scheduler, order in zip(self.schedulers, effects, strict=True):
            scheduler.handle_order_result(ServerOrderResult(order, status, ""), self.now)

    def _make_state(self):
        """Return a state report that may differ from what the schedulers expect."""
        rng = self.rng
        if rng.random() < 0.1:
            return None
        held = rng.sample(self.keys[:-1], min(len(self.keys) - 1, rng.randrange(6)))
        split = rng.randrange(len(held) + 1)
        orders = (self.schedulers[0].orders or self.schedulers[0].min_orders) + rng.randrange(3)
        models = {"m0"} if rng.random() < 0.9 else set()
        adapters, loading = dict.fromkeys(held[:split], 1), dict.fromkeys(held[split:], 1)
        return EngineState(orders, models, adapters, loading, rng.random() < 0.05)

    def decide(self):
        """Compare the decisions, and what is reported of the state."""
        effects = [
            s.decide(self.engine, self.versions, self.in_use, lambda: True, self.now)
            for s in self.schedulers
        ]
        views = [
            [
                repr(effect),
                s.count_spare(self.engine, self.in_use, self.now),
                s.count_in_transit(),
                s.next_due(),
                [[r.key, r.state, r.version, r.ready_at] for r in s.find_usable()],
                [[r.key, r.state] for r in s.residencies.values()],
            ]
            for s, effect in zip(self.schedulers, effects, strict=True)
        ]
        assert views[0] == views[1]
        if effects[0] is not None:
            self.pending = effects
            self.kinds.add(type(effects[0]).__name__ + str(getattr(effects[0], "is_load", "")))


CASES = [
    ("state-changed-after-a-list-was-kept", 3, 6, (0.0, 0.01, 0.1)),
    ("demand-expired-or-renewed-after-a-list-was-kept", 8, 30, (0.0, 0.02, 0.7)),
    ("capacity-of-an-older-engine-was-kept", 2, 4, (0.0, 0.05)),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("capacity", "adapters", "pauses_s"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_decisions_equal_those_of_the_naive_scheduler(capacity, adapters, pauses_s, seed):
    print("seed", seed)
    pair = Pair(seed, capacity, adapters, pauses_s)
    for _ in range(STEPS):
        pair.step()
    assert {"ServerOrderTrue", "ServerOrderFalse", "FetchEngineState"} <= pair.kinds
