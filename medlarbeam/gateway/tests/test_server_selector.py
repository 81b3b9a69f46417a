"""The selection that rates few servers chooses the same server as one that rates all."""

from random import Random

import pytest

from medlarbeam.algorithms.direct_routing import AdapterAffinityRouting, LeastLoadedRouting
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import AdapterKey, NodeRegistration, OrderRight, PublishedVersion
from medlarbeam.classes.gateway_effects import ProbeServer, ServerLoad
from medlarbeam.classes.gateway_messages import EntryDeleted, GatewayRequest
from medlarbeam.classes.peer_messages import AdapterHolding, HoldingReport
from medlarbeam.gateway.fleet_state import GONE_RETENTION_S
from medlarbeam.gateway.relay import Relay
from medlarbeam.gateway.server_selector import ServerSelector
from medlarbeam.gateway.tests.fleet_samples import make_harness, make_server
from medlarbeam.gateway.tests.naive_server_selector import NaiveServerSelector
from medlarbeam.node.component import Outbox

SEEDS = range(8)
STEPS = 250
ADAPTERS = [AdapterKey("m0", f"a{i}") for i in range(6)]
NODES = [NodeRegistration(f"n{i}", "z1", f"n{i}:7000", 5) for i in (2, 3)]


class RandomFleet:
    """A gateway whose view of its backend servers changes at random."""

    __slots__ = ("gateway", "harness", "names", "out", "rng", "serial")

    def __init__(self, seed, servers, busy):
        self.rng = rng = Random(seed)
        entries = [
            make_server(f"w{i}", "llm", domain=rng.choice(("z1", "z2")), adapters=())
            for i in range(servers)
        ]
        for entry in entries:
            entry.concurrency = rng.choice((0, 1, 4, 24) if busy else (24,))
        self.names = [e.name for e in entries]
        rights = [
            OrderRight(n, rng.choice(("n1", "n2", "n3", "gone")), 3)
            for n in self.names
            if rng.random() < 0.9
        ]
        self.harness = make_harness(servers=entries, rights=rights, nodes=NODES)
        self.gateway = self.harness.gateway
        self.out = Outbox()
        self.serial = 0

    def change(self):
        """Change what the gateway knows in one place, and advance the clock."""
        rng, gateway = self.rng, self.gateway
        now = self.harness.now = self.harness.now + rng.choice((0.0, 0.001, 0.05, 0.4))
        name, key = rng.choice(self.names), rng.choice(ADAPTERS)
        gateway.rights.confirmed_at = now - rng.choice((0.0, 7.0))
        gateway.rights.synced_at = now
        step = rng.randrange(9)
        if step <= 2:
            self._report(name, now)
        elif step == 3:
            gateway.health.open_run(name, now)
        elif step == 4:
            gateway.health.record_outcome(name, rng.choice(("succeeded", "failed")), now, self.out)
        elif step == 5 and rng.random() < 0.3:
            gateway.health.record_outcome(name, "unreachable", now, self.out)
        elif step == 6:
            load = ServerLoad(rng.randrange(30), rng.randrange(5), 24)
            gateway.health.record_load(name, load, now)
        elif step == 7:
            gateway.limits.observe(name, rng.choice((None, None, 0.5, 3.0)), now)
        elif rng.random() < 0.2:
            version = PublishedVersion(key, rng.randrange(3))
            self.harness.write_entry(f"op/version/{key}", version)
        if rng.random() < 0.1:
            gateway.reachability.record_demand(rng.choice(("n2", "n3")), now, self.out)

    def _report(self, name, now):
        rng = self.rng
        self.serial += 1
        holdings = [
            AdapterHolding(key, rng.randrange(3), rng.choice((0.0, 0.0, 0.02, 0.3)))
            for key in rng.sample(ADAPTERS, rng.randrange(4))
        ]
        report = HoldingReport("n2", name, 3, self.serial, holdings)
        report.spare, report.running = rng.randrange(-3, 4), rng.randrange(40)
        report.prompt_tokens = rng.choice((0, 500, 20_000))
        self.gateway.holdings.apply_report(report, now)

    def make_relay(self):
        """Return a waiting relay with a random request, some servers excluded."""
        rng, now = self.rng, self.harness.now
        key = rng.choice([*ADAPTERS, AdapterKey("m0", ""), None])
        tokens = rng.choice((0, 300, 9000))
        request = GatewayRequest(
            "r1", "t1", "host", "/chat/x", now + 5.0, key, 100, 7, prompt_tokens=tokens
        )
        route = self.gateway.fleet.routes.match("host", "/chat/x")
        relay = Relay(request, route, "llm", "", "waiting", now)
        relay.excluded.update(n for n in self.names if rng.random() < 0.1)
        return relay

    def choose(self, selector_class, routing, relay):
        """Return the name, ready time and prompt wait of the server that is chosen."""
        choice = selector_class(self.gateway, routing).choose(relay, self.harness.now)
        if choice is None:
            return None
        wait_s = choice.prompt_wait_s if choice.ready_in_s is not None else None
        return [choice.entry.name, choice.ready_in_s, wait_s]


CASES = [
    ("server-that-is-not-rated-would-be-best", 12, False, AdapterAffinityRouting),
    ("full-server-hides-an-idle-one-that-needs-a-load", 12, True, AdapterAffinityRouting),
    ("all-servers-of-a-small-fleet-are-preferred", 3, True, AdapterAffinityRouting),
    ("policy-without-a-bound-skips-servers", 12, True, LeastLoadedRouting),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("servers", "busy", "routing"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_choice_is_that_of_the_naive_selection(servers, busy, routing, seed):
    print("seed", seed)
    fleet = RandomFleet(seed, servers, busy)
    outcomes = set()
    for _ in range(STEPS):
        fleet.change()
        relay = fleet.make_relay()
        expected = fleet.choose(NaiveServerSelector, routing(), relay)
        assert fleet.choose(ServerSelector, routing(), relay) == expected
        outcomes.add(expected is not None and expected[1] is None)
    assert outcomes == {False, True}  # some need a load, some do not
    # Servers that cannot be reached are probed; the selection itself asks for nothing.
    assert all(isinstance(effect, (LogEvent, ProbeServer)) for effect in fleet.out.effects)


GONE = [
    ("removed", 0.0),
    ("forgotten", GONE_RETENTION_S + 1.0),
]


@pytest.mark.parametrize("wait_s", [g[1] for g in GONE], ids=[g[0] for g in GONE])
def test_servers_that_are_gone_take_no_place_among_the_preferred_ones(wait_s):
    """After some rounds of replacements an adapter would have no server on which it is loaded."""
    harness = make_harness(servers=[])
    selector = harness.gateway.relays.selector
    for generation in range(5):
        for number in range(10):
            entry = make_server(f"w{generation}-{number}", "llm", adapters=())
            harness.write_entry(f"servers/{entry.name}", entry)
        for number in range(10 * (generation > 0)):
            harness.revision += 1
            key = f"servers/w{generation - 1}-{number}"
            harness.deliver(EntryDeleted(key, harness.revision))
        harness.pass_time(wait_s)
        for key in ADAPTERS:
            assert len(selector.find_preferred_servers("llm", key, harness.now)) == 8
    assert len(harness.gateway.fleet.servers) == (10 if wait_s else 50)
