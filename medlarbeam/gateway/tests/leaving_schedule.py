"""Random schedules of a gateway whose backend servers announce that they leave."""

from hypothesis import strategies as st

from medlarbeam.classes.fleet import AdapterKey, EngineState, NodeRegistration
from medlarbeam.classes.gateway_effects import (
    AcquireRight,
    CancelFleetRun,
    FetchEngineState,
    ProbeServer,
    ServerLoad,
    ServerOrder,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    LeaseRenewed,
    NodeDatagram,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStalled,
    RunStarted,
    StoreSnapshot,
    StoreSynced,
    StoreUnavailable,
)
from medlarbeam.classes.peer_messages import (
    AdapterDemand,
    LeavingServer,
    RateLimitReport,
)
from medlarbeam.classes.server_messages import (
    EngineStateResult,
    ProbeResult,
    ServerLeaving,
    ServerOrderResult,
)
from medlarbeam.gateway.tests.fleet_samples import (
    COLD,
    HOT,
    SERVERS,
    make_config,
    make_harness,
    make_server,
    own_rights,
)

BASE = AdapterKey("m0", "")
PEERS = [NodeRegistration(f"n{i}", "z1", f"10.0.0.{i}:7000", 5) for i in (2, 3)]
NAMES = [server.name for server in SERVERS]
SERVICES = {server.name: server.service for server in SERVERS}
TARGETED = (StartFleetRun, ServerOrder, FetchEngineState, ProbeServer)


class LeavingSchedule:
    """Drives a gateway with steps in any order and records what reaches servers that have left.

    Attributes
    ----------
    left : set
        Name and start (ms) of the incarnations of which the gateway knows that they leave.
    listed : dict of str to int
        Start (ms) of the incarnation that the store lists, by name.
    violations : list of str
        Effects on incarnations that have left.
    """

    __slots__ = ("count", "harness", "left", "listed", "open_runs", "orders", "violations")

    def __init__(self):
        self.harness = make_harness(rights=own_rights(), nodes=PEERS)
        self.count = 0
        self.left = set()
        self.listed = dict.fromkeys(NAMES, 1)
        self.open_runs = []
        self.orders = []
        self.violations = []

    def check(self, effects):
        """Record the effects of a step."""
        for effect in effects:
            if isinstance(effect, TARGETED):
                server = effect.server
                if (server.name, server.started_at_ms) in self.left:
                    self.violations.append(f"{type(effect).__name__} to {server.name}")
            if isinstance(effect, AcquireRight):
                if (effect.server, self.listed.get(effect.server)) in self.left:
                    self.violations.append(f"AcquireRight of {effect.server}")
            if isinstance(effect, StartFleetRun):
                self.open_runs.append(effect)
            elif isinstance(effect, CancelFleetRun):
                self.open_runs = [r for r in self.open_runs if r.run_id != effect.run_id]
            elif isinstance(effect, ServerOrder):
                self.orders.append(effect)

    def deliver(self, message):
        """Pass a message to the gateway."""
        self.check(self.harness.deliver(message))

    def say_leaving(self, name, started_at_ms, source="success"):
        """Deliver an answer that says that an incarnation leaves."""
        self.left.add((name, started_at_ms))
        self.deliver(ServerLeaving(name, started_at_ms, "r0", source, "1"))

    def write(self, name, started_at_ms, draining, age):
        """Write an entry; one with an `age` is an older revision that arrives late."""
        self.harness.revision += 1
        revision = self.harness.revision - age
        known = self.harness.gateway.fleet.keys.get(f"servers/{name}")
        if known is None or known.revision < revision:
            self.listed[name] = started_at_ms
            if draining:
                self.left.add((name, started_at_ms))
        entry = make_server(name, SERVICES[name], draining=draining, started_at_ms=started_at_ms)
        self.deliver(EntryUpdated(f"servers/{name}", entry, revision))

    def delete(self, name):
        """Delete an entry."""
        self.harness.revision += 1
        self.deliver(EntryDeleted(f"servers/{name}", self.harness.revision))

    def set_back(self, started_at_ms):
        """Read a store that lists each server as an earlier incarnation that stays."""
        self.harness.revision += 1
        self.listed = dict.fromkeys(NAMES, started_at_ms)
        entries = [make_server(n, SERVICES[n], started_at_ms=started_at_ms) for n in NAMES]
        reads = [EntryUpdated(f"servers/{e.name}", e, self.harness.revision) for e in entries]
        for name, value in (("op/config", make_config()), *self._list_nodes()):
            reads.append(EntryUpdated(name, value, self.harness.revision))
        self.deliver(StoreSnapshot(reads, self.harness.revision))

    def _list_nodes(self):
        fleet = self.harness.gateway.fleet
        yield from ((f"node/{n.name}", n) for n in fleet.nodes.values())
        yield from ((f"right/{r.server}", r) for r in fleet.rights.values())

    def report(self, name, started_at_ms, node="n2"):
        """Deliver the report of another node, which may be wrong."""
        items = [LeavingServer(name, started_at_ms)]
        self.deliver(NodeDatagram(RateLimitReport(node, [], items)))

    def demand(self, name, key):
        """Deliver another node's demand for an adapter."""
        self.deliver(NodeDatagram(AdapterDemand("n2", name, key, 0, 1.0)))

    def request(self, route):
        """Deliver a request of a caller."""
        self.count += 1
        key = {"chat": HOT, "draft": COLD}.get(route)
        self.check(self.harness.send_request(route, key, request_id=f"q{self.count}"))

    def end_run(self, build):
        """Deliver a result of the oldest open run; a stream that has begun stays open."""
        if self.open_runs:
            run = self.open_runs[0]
            message = build(run.run_id)
            if not isinstance(message, RunStarted | RunStalled):
                self.open_runs.pop(0)
            self.deliver(message)

    def answer_order(self, status):
        """Answer the oldest order, and a state report."""
        if self.orders:
            self.deliver(ServerOrderResult(self.orders.pop(0), status, ""))

    def read_state(self, name):
        """Deliver the state report of an engine."""
        self.deliver(EngineStateResult(name, EngineState(0, {"m0"}, {}, {}, False), ""))

    def lose_store(self):
        """Report that the store does not respond."""
        self.deliver(StoreUnavailable("down"))

    def probe_result(self, name, is_refused):
        """Deliver the result of a probe."""
        self.deliver(ProbeResult(name, is_refused, "", not is_refused))

    def pass_time(self, seconds):
        """Advance the clock; the store renews the lease unless it is away for long."""
        self.check(self.harness.pass_time(seconds))
        self.deliver(LeaseRenewed(self.harness.now, False, 0))
        self.deliver(StoreSynced(self.harness.now))


RUN_ENDS = [
    lambda run: RunCompleted(run, 200, ServerLoad(1, 0, 6, None)),
    lambda run: RunErrorResponse(run, 500, None),
    lambda run: RunRefused(run, 503, "full", None),
    lambda run: RunRefused(run, 421, "missing", None),
    lambda run: RunRefused(run, 0, "nothing was sent", None),
    lambda run: RunInterrupted(run, "reset", 0, False, is_connection_lost=True),
    lambda run: RunStarted(run, None),
    lambda run: RunStalled(run, 0, 0.6),
]
names = st.sampled_from(NAMES)
starts = st.integers(1, 3)
STEPS = st.one_of(
    st.tuples(st.just("request"), st.sampled_from(["read", "pay", "chat", "draft"])),
    st.tuples(st.just("request"), st.sampled_from(["read", "chat"])),
    st.tuples(st.just("end_run"), st.sampled_from(RUN_ENDS)),
    st.tuples(st.just("pass_time"), st.sampled_from([0.01, 0.06, 0.2, 1.0, 6.0])),
    st.tuples(
        st.just("say_leaving"), names, starts, st.sampled_from(["refusal", "order", "report"])
    ),
    st.tuples(st.just("write"), names, starts, st.booleans(), st.integers(0, 3)),
    st.tuples(st.just("delete"), names),
    st.tuples(st.just("set_back"), starts),
    st.tuples(st.just("report"), names, starts),
    st.tuples(st.just("demand"), st.sampled_from(["w1", "w2"]), st.sampled_from([HOT, COLD])),
    st.tuples(st.just("answer_order"), st.sampled_from([0, 200, 202, 409])),
    st.tuples(st.just("read_state"), st.sampled_from(["w1", "w2"])),
    st.tuples(st.just("probe_result"), names, st.booleans()),
    st.tuples(st.just("lose_store")),
)


def play(steps):
    """Return the `LeavingSchedule` after a list of steps, each a method name and arguments."""
    schedule = LeavingSchedule()
    for name, *arguments in steps:
        getattr(schedule, name)(*arguments)
    return schedule
