"""All gateways together keep the request rate that a backend server names.

Guards against a backend server in need that gets more requests than it takes, and against gateways
that go on avoiding it afterwards.
"""

import pytest

from medlarbeam.classes.gateway_effects import ServerLoad
from medlarbeam.classes.gateway_messages import NodeDatagram, RunCompleted, RunStarted
from medlarbeam.classes.peer_messages import RateLimitReport, ServerRate
from medlarbeam.gateway.server_limits import NAMED_S
from medlarbeam.gateway.tests.crash_fleet import FIRST_EVENT_S, RUN_S, CrashFleet
from medlarbeam.gateway.tests.fleet_samples import make_harness

CONTACT_S = 3.0
WINDOW_S = 4.0
LEARNED_S = 0.5  # after which a gateway that has passed on a limit has to keep it
OVERSHOOT = 1.5
EXTRA_REQUESTS = 5


class LimitedFleet(CrashFleet):
    """Engines that name a limit in their responses for a while.

    Attributes
    ----------
    limits : dict of str to float
        Limits (requests per second) by engine.
    arrivals : list of tuple
        Time (s), engine and gateway of each request at an engine.
    learned_at : dict
        Time (s) at which a gateway first passed on the limit of an engine, by both names.
    """

    __slots__ = ("arrivals", "learned_at", "limits")

    def __init__(self, seed, **options):
        self.limits = {}
        self.arrivals = []
        self.learned_at = {}
        super().__init__(seed, **options)

    def set_limits(self, limits):
        """Replace the limits by those of a mapping."""
        self.limits = dict(limits)

    def _start_run(self, name, effect):
        self.arrivals.append((self.now, effect.server.name, name))
        super()._start_run(name, effect)

    def _report_load(self, server, name):
        limit = self.limits.get(server)
        if limit is not None:
            self.learned_at.setdefault((server, name), self.now)
        return ServerLoad(1, 0, 24, limit)

    def _begin(self, engine, effect):
        name = engine.runs.get(effect.run_id)
        if name is not None:
            load = self._report_load(effect.server.name, name)
            self.begun.setdefault(effect.request_id, self.now)
            self.deliver(name, RunStarted(effect.run_id, load))
            self.call_at(self.now + RUN_S - FIRST_EVENT_S, self._complete, engine, effect.run_id)

    def _complete(self, engine, run_id):
        name = engine.runs.pop(run_id, None)
        if name is not None:
            load = self._report_load(engine.entry.name, name)
            self.deliver(name, RunCompleted(run_id, 200, load))

    def find_worst_excess(self, server, limit, since):
        """Return the largest number of requests in a window beyond those that the limit allows."""
        times = [
            at
            for at, engine, name in self.arrivals
            if engine == server and at > self.learned_at.get((server, name), at) + LEARNED_S
        ]
        times = [at for at in times if at >= since]
        most = max((sum(a <= t < a + WINDOW_S for t in times) for a in times), default=0)
        return most - (OVERSHOOT * limit * WINDOW_S + EXTRA_REQUESTS)


FLEETS = [
    ("two-thirds-of-the-engines", {}, 110.0, 6, 5.0),
    ("limit-below-the-number-of-gateways", {"gateways": 16, "engines": 24}, 200.0, 16, 2.5),
    ("limit-below-one-a-second", {"gateways": 16, "engines": 24}, 200.0, 6, 0.4),
    ("all-engines", {}, 60.0, 9, 8.0),
    ("lost-datagrams", {"loss": 0.2, "gateways": 16, "engines": 24}, 200.0, 16, 2.5),
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("options", "requests_per_s", "limited", "limit"),
    [f[1:] for f in FLEETS],
    ids=[f[0] for f in FLEETS],
)
def test_gateways_together_keep_the_limit_of_a_server(
    options, requests_per_s, limited, limit, seed
):
    fleet = LimitedFleet(seed, **options)
    start = fleet.now
    fleet.schedule_load(start, start + 24, requests_per_s, 0.0)
    names = list(fleet.engines)[:limited]
    fleet.call_at(start + 4, fleet.set_limits, dict.fromkeys(names, limit))
    fleet.call_at(start + 16, fleet.set_limits, {})
    fleet.run_until(start + 16)
    for name in names:
        assert fleet.find_worst_excess(name, limit, start + 4 + CONTACT_S) <= 0
    kept = sum(start + 8 <= at < start + 16 for at, name, _ in fleet.arrivals if name in names)
    assert kept >= 0.4 * 8 * limit * limited  # limited engines are used, not avoided
    fleet.run_until(start + 24)
    free = sum(at >= start + 20 for at, name, _ in fleet.arrivals if name in names)
    assert free >= 0.5 * 4 * requests_per_s * limited / len(fleet.engines)


def name_limit(harness, rate):
    harness.gateway.limits.observe("w1", rate, harness.now)


def report_limit(harness, rate):
    report = RateLimitReport("n2", [ServerRate("w1", rate, 0.0)])
    harness.deliver(NodeDatagram(report))


STEPS = [
    ("no-limit", [], True),
    ("limit-of-a-response", [(name_limit, 2.0)], False),
    ("limit-of-another-node", [(report_limit, 2.0)], False),
    ("server-names-none-any-more", [(name_limit, 2.0), (name_limit, None)], True),
    ("another-node-sees-the-end", [(report_limit, 2.0), (report_limit, -1.0)], True),
    ("token-after-a-while", [(name_limit, 2.0), 0.6], True),
    ("limit-of-zero", [(name_limit, 0.0), 4.0], False),
    ("nobody-hears-of-it", [(name_limit, 0.0), NAMED_S + 0.1], True),
]


@pytest.mark.parametrize(("steps", "expected"), [s[1:] for s in STEPS], ids=[s[0] for s in STEPS])
def test_limit_decides_whether_a_server_may_be_used(steps, expected):
    harness = make_harness()
    for step in steps:
        if isinstance(step, float):
            harness.pass_time(step)
        else:
            step[0](harness, step[1])
    assert harness.gateway.limits.may_send("w1", harness.now) is expected
