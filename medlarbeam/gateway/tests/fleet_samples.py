"""A sample deployment, and a harness that drives a gateway without sockets."""

from random import Random

from medlarbeam.classes.fleet import (
    AdapterKey,
    BaseModel,
    Engine,
    FleetConfig,
    NodeRegistration,
    OrderRight,
    RouteKind,
    RouteTarget,
    ServerRegistration,
    Service,
    ServiceRoute,
)
from medlarbeam.classes.gateway_effects import StartFleetRun, SyncStore
from medlarbeam.classes.gateway_messages import (
    EntryUpdated,
    GatewayRequest,
    LeaseRenewed,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.gateway.gateway import Gateway
from medlarbeam.gateway.settings import GatewaySettings

NODE = "n1"
HOT = AdapterKey("m0", "a1")
COLD = AdapterKey("m0", "a9")
ADAPTER_CAPACITY = 3


def make_settings(name=NODE, domain="z1"):
    return GatewaySettings(
        name,
        domain,
        "10.0.0.1:7000",
        5,
        order_gap_s=3.0,
        drain_s=2.0,
        max_store_lag_s=1.1,
        grace_s=8.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_extra=60.0,
    )


def make_route(name, kind, service, *, attempts=2, priority=0, resumable=False):
    return ServiceRoute(
        name,
        "host",
        f"/{name}/",
        kind,
        [RouteTarget(service, 1.0)],
        5.0,
        0.5,
        0.25 if kind is RouteKind.STREAM else 0.0,
        attempts,
        priority,
        resumable,
    )


ROUTES = [
    make_route("read", RouteKind.IDEMPOTENT, "ledger"),
    make_route("pay", RouteKind.NON_IDEMPOTENT, "ledger", attempts=1),
    make_route("chat", RouteKind.STREAM, "llm", resumable=True),
    make_route("draft", RouteKind.STREAM, "llm", attempts=1, priority=2),
]


def make_engine(adapter_capacity=ADAPTER_CAPACITY):
    return Engine(24, 1000.0, adapter_capacity, 7.0, {"m0": BaseModel("m0", 700.0, 2.0, 10.0)})


def make_config(version=1, routes=None):
    services = {"llm": Service("llm", make_engine()), "ledger": Service("ledger", None)}
    return FleetConfig(version, ROUTES if routes is None else routes, services, 1 << 20)


def make_server(
    name, service, *, domain="z1", draining=False, started_at_ms=1, adapters=(HOT,), software="v1"
):
    models = ["m0"] if service == "llm" else []
    held = {key: 1 for key in adapters} if models else {}
    concurrency = 24 if models else 6
    return ServerRegistration(
        name,
        service,
        f"{name}:80",
        domain,
        concurrency,
        draining,
        started_at_ms,
        models,
        held,
        software,
    )


SERVERS = [
    make_server("w1", "llm"),
    make_server("w2", "llm"),
    make_server("l1", "ledger"),
    make_server("l2", "ledger"),
]


class GatewayHarness:
    """A gateway with a manual clock that records the effects of its last step."""

    __slots__ = ("effects", "gateway", "now", "revision")

    def __init__(self, settings=None):
        self.gateway = Gateway(settings or make_settings(), Random(1))
        self.now = 100.0
        self.revision = 10
        self.effects = []

    def deliver(self, message):
        """Pass a message to the gateway and return the effects."""
        self.effects = self.gateway.handle(message, self.now)
        return self.effects

    def renew(self, revision=0, is_new=False):
        """Let the store renew the lease and answer the watch."""
        self.deliver(StoreSynced(self.now))
        self.deliver(LeaseRenewed(self.now, is_new, revision))

    def answer_sync(self):
        """Let the store answer that nothing has changed, if the gateway asks it; return effects."""
        if self.find(SyncStore):
            self.deliver(StoreSynced(self.now))
            self.effects += self.gateway.tick(self.now)
        return self.effects

    def write_entry(self, key, value):
        """Pass an entry of the store, with a new revision."""
        self.revision += 1
        return self.deliver(EntryUpdated(key, value, self.revision))

    def pass_time(self, seconds):
        """Advance the clock with a tick at each deadline; return all effects."""
        end = self.now + seconds
        effects = []
        while self.gateway.next_deadline() <= end:
            self.now = max(self.now, self.gateway.next_deadline())
            effects += self.gateway.tick(self.now)
            self.now += 0.001
        self.now = max(self.now, end)
        self.effects = effects
        return effects

    def send_request(
        self,
        route,
        key=None,
        wait_s=5.0,
        request_id="r1",
        parts=(),
        fingerprint=7,
        attempt="id-1",
        last_event=0,
        resumes="",
        runs_elsewhere=None,
        origin=None,
    ):
        """Pass a request of a caller and return the effects."""
        path, deadline = f"/{route}/x", self.now + wait_s
        return self.deliver(
            GatewayRequest(
                request_id,
                attempt,
                "host",
                path,
                deadline,
                key,
                100,
                fingerprint,
                tuple(parts),
                last_event=last_event,
                resumed_attempt=resumes,
                runs_elsewhere=runs_elsewhere,
                origin=origin,
            )
        )

    def find_runs(self):
        """Return the `StartFleetRun` effects of the last step."""
        return self.find(StartFleetRun)

    def find(self, kind):
        """Return the effects of the class `kind` from the last step."""
        return [effect for effect in self.effects if isinstance(effect, kind)]


def make_harness(settings=None, config=None, servers=SERVERS, rights=(), nodes=(), era=0):
    """Return a `GatewayHarness` whose gateway has read its first snapshot, in `era`."""
    harness = GatewayHarness(settings)
    own = harness.gateway.settings
    entries = [("op/config", config or make_config())]
    entries += [(f"servers/{s.name}", s) for s in servers]
    entries += [(f"node/{n.name}", n) for n in nodes]
    entries.append(
        (f"node/{own.name}", NodeRegistration(own.name, own.failure_domain, own.address, 5))
    )
    entries += [(f"right/{r.server}", r) for r in rights]
    reads = [EntryUpdated(key, value, index + 1) for index, (key, value) in enumerate(entries)]
    harness.deliver(StoreSnapshot(reads, 10, era))
    harness.renew(is_new=True)
    return harness


def own_rights(servers=("w1", "w2"), node=NODE):
    """Return rights of `node` to order `servers`."""
    return [OrderRight(server, node, 3) for server in servers]
