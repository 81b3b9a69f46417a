"""Gateways and engines without sockets, at the size of the deployments on the users' platform."""

from collections import deque
from heapq import heappop
from itertools import accumulate
from random import Random

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.fleet import (
    AdapterKey,
    BaseModel,
    Engine,
    EngineState,
    FleetConfig,
    NodeRegistration,
    OrderRight,
    RouteKind,
    ServerRegistration,
    Service,
)
from medlarbeam.classes.gateway_effects import (
    FetchEngineState,
    RenewLease,
    ServerLoad,
    ServerOrder,
)
from medlarbeam.classes.gateway_messages import (
    EntryUpdated,
    GatewayRequest,
    LeaseRenewed,
    RunCompleted,
    RunRefused,
    RunStarted,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.classes.record import Record
from medlarbeam.classes.server_messages import EngineStateResult, ServerOrderResult
from medlarbeam.classes.stream_timing import StreamTiming
from medlarbeam.gateway.gateway import Gateway
from medlarbeam.gateway.tests.crash_fleet import CrashFleet
from medlarbeam.gateway.tests.fleet_samples import make_route, make_settings

__all__ = ["FleetSize", "GatewayFleet"]

NETWORK_S = 0.001
CONCURRENCY = 12  # runs of an engine
PLAIN_CONCURRENCY = 6
ADAPTER_MB = 100.0
COLD_LOAD_S = 0.288  # load of an adapter from the weight store
WARM_LOAD_S = 0.03  # load of an adapter that the engine held recently
WARM_ADAPTERS = 16
READ_TOKENS_PER_S = 38_400.0
EVENT_S = 0.0366  # seven tokens of 5.23 ms
PARTS = 40  # different shared parts of prompts


class Kind(Record):
    """A kind of request: its share of the traffic, prompt (tokens), events and service time (s)."""

    __slots__ = ("events", "prompt_tokens", "route", "share", "work_s")

    def __init__(self, route, share, prompt_tokens, events, work_s):
        self.route = route
        self.share = share
        self.prompt_tokens = prompt_tokens
        self.events = events
        self.work_s = work_s


# The kinds of requests of a grown site, with their shares of its 675 requests per second.
KINDS = [
    Kind("chat", 425.0, 646, 10, 0.02),
    Kind("draft", 55.1, 646, 10, 0.02),
    Kind("review", 18.9, 9190, 7, 0.02),
    Kind("pay", 126.0, 0, 0, 0.0225),
    Kind("read", 50.3, 0, 0, 0.0225),
]


class FleetSize(Record):
    """Size and traffic of a deployment.

    Parameters
    ----------
    name : str
    gateways, engines, plain_servers, domains, adapters : int
    adapter_capacity : int
        Adapters that an engine can hold.
    requests_per_s : float
        Requests of all gateways.
    skew : float
        Exponent of the Zipf distribution of the requests over the adapters.
    """

    __slots__ = (
        "adapter_capacity",
        "adapters",
        "domains",
        "engines",
        "gateways",
        "name",
        "plain_servers",
        "requests_per_s",
        "skew",
    )

    def __init__(
        self,
        name,
        gateways,
        engines,
        plain_servers,
        domains,
        adapters,
        adapter_capacity,
        requests_per_s,
        skew,
    ):
        self.name = name
        self.gateways = gateways
        self.engines = engines
        self.plain_servers = plain_servers
        self.domains = domains
        self.adapters = adapters
        self.adapter_capacity = adapter_capacity
        self.requests_per_s = requests_per_s
        self.skew = skew


class LoadableEngine:
    """An engine that carries out orders, or a plain backend server.

    Attributes
    ----------
    orders : int
        Orders accepted so far.
    adapters, loading : dict of AdapterKey to int
        Versions of the adapters that are resident or being loaded.
    warm : collections.deque of AdapterKey
        Adapters that were unloaded lately.
    users : dict of AdapterKey to int
        Open runs by adapter.
    running : int
    """

    __slots__ = ("adapters", "entry", "loading", "orders", "running", "users", "warm")

    def __init__(self, entry):
        self.entry = entry
        self.orders = 0
        self.adapters = dict(entry.adapters)
        self.loading = {}
        self.warm = deque(maxlen=WARM_ADAPTERS)
        self.users = {}
        self.running = 0


class GatewayFleet(CrashFleet):
    """Gateways of a deployment in steady state, and a meter on the steps of one of them.

    Parameters
    ----------
    seed : int
    size : FleetSize
    meter : object
        ``meter.measure(label, step)`` calls ``step()`` and returns its result; it is called for
        each step of the gateway ``n0``.
    loss : float
        Share of the datagrams that are lost.

    Attributes
    ----------
    deadlines : dict of str to float
        Time (s) of the next tick by gateway.
    served : set of str
        Requests of ``n0`` whose response is complete.
    """

    __slots__ = (
        "adapters",
        "deadlines",
        "hosts",
        "kinds",
        "meter",
        "served",
        "size",
        "timings",
        "weights",
    )

    def __init__(self, seed, size, meter, loss=0.0):
        super().__init__(seed, gateways=0, engines=0, loss=loss)
        self.size = size
        self.meter = meter
        self.deadlines = {}
        self.kinds = {}
        self.timings = {}
        self.served = set()
        self.adapters = [AdapterKey("m0", f"a{i}") for i in range(size.adapters)]
        self.weights = list(accumulate((i + 1) ** -size.skew for i in range(size.adapters)))
        self.hosts = {}
        self.store = {"config": make_site_config(size)}
        self.gateways = {f"n{i}": None for i in range(size.gateways)}
        self._register_servers()
        for name in self.gateways:
            self.store[f"node/{name}"] = NodeRegistration(
                name, self._find_domain(name), f"{name}:7000", 5
            )
        for name in self.engines:
            near = [n for n in self.gateways if self._find_domain(n) == self._find_domain(name)]
            holder = rank_servers(name, near or list(self.gateways))[0]
            self.store[f"right/{name}"] = OrderRight(name, holder, 3)
        for name in self.gateways:
            self.start_gateway(name)

    def _find_domain(self, name):
        return f"z{int(name[1:]) % self.size.domains}"

    def _register_servers(self):
        """Register the backend servers; each popular adapter is resident on its first engine."""
        size = self.size
        names = [f"w{i}" for i in range(size.engines)]
        held = {name: {} for name in names}
        for key in self.adapters[: size.engines * size.adapter_capacity]:
            adapters = held[rank_servers(str(key), names, 1)[0]]
            if len(adapters) < size.adapter_capacity:
                adapters[key] = 1
        for name in names:
            self._add_server(name, "llm", CONCURRENCY, ["m0"], held[name])
        for i in range(size.plain_servers):
            self._add_server(f"l{i}", "ledger", PLAIN_CONCURRENCY, [], {})

    def _add_server(self, name, service, concurrency, models, adapters):
        domain = self._find_domain(name)
        entry = ServerRegistration(
            name, service, f"{name}:80", domain, concurrency, False, 1, models, adapters
        )
        self.store[f"servers/{name}"] = entry
        self.hosts[name] = LoadableEngine(entry)
        if models:
            self.engines[name] = self.hosts[name]

    def start_gateway(self, name):
        """Start a gateway that knows only what is in the store."""
        settings = make_settings(name, self._find_domain(name))
        settings.address = f"{name}:7000"
        self.gateways[name] = Gateway(settings, Random(f"{name}-{self.rng.random()}"))
        entries = [EntryUpdated(key, value, 1) for key, value in self.store.items()]
        self.deliver(name, StoreSnapshot(entries, self.revision))
        self.deliver(name, LeaseRenewed(self.now, True, 0))
        self.deliver(name, StoreSynced(self.now))

    # Steps of the gateways

    def deliver(self, name, message):
        """Pass a message to a gateway and carry out its effects."""
        gateway, now = self.gateways[name], self.now
        kind = type(getattr(message, "body", message)).__name__
        self._step(name, kind, lambda: gateway.handle(message, now))

    def _step(self, name, label, step):
        gateway = self.gateways[name]

        def run():
            effects = step()
            self.deadlines[name] = gateway.next_deadline()
            return effects

        self._carry_out(name, self.meter.measure(label, run) if name == "n0" else run())

    def run_until(self, end):
        """Advance the clock to `end` (s)."""
        while True:
            name = min(self.deadlines, key=self.deadlines.get)
            due = self.deadlines[name]
            is_event = bool(self.events) and self.events[0][0] <= due
            at = self.events[0][0] if is_event else due
            if at >= end:
                self.now = end
                return
            self.now = max(self.now, at)
            if is_event:
                _, _, action, args = heappop(self.events)
                action(*args)
            else:
                self._tick(name)

    def _tick(self, name):
        gateway, now = self.gateways[name], self.now
        self._step(name, "tick", lambda: gateway.tick(now))
        # The event loop's timers have a resolution of 1 ms.
        self.deadlines[name] = max(self.deadlines[name], now + 0.001)

    def _handlers(self):
        return {
            **super()._handlers(),
            FetchEngineState: self._fetch_state,
            RenewLease: self._renew_lease,
            ServerOrder: self._send_order,
        }

    def _renew_lease(self, name, effect):
        self.call_at(self.now + 0.004, self.deliver, name, LeaseRenewed(self.now, False, 0))
        self.call_at(self.now + 0.004, self.deliver, name, StoreSynced(self.now))

    # Callers

    def schedule_traffic(self, start, end):
        """Schedule the requests of the deployment at random gateways."""
        at = start
        while (at := at + self.rng.expovariate(self.size.requests_per_s)) < end:
            self.call_at(at, self.send_request, self.rng.choice(list(self.gateways)))

    def send_request(self, name, key=None):
        """Send a request of random kind; with `key`, a chat that needs this adapter."""
        rng = self.rng
        kind = KINDS[0] if key else rng.choices(KINDS, [k.share for k in KINDS])[0]
        if kind.prompt_tokens and key is None:
            key = rng.choices(self.adapters, cum_weights=self.weights)[0]
        number = next(self.serial)
        request = GatewayRequest(
            f"r{number}",
            f"t{number}",
            "host",
            f"/{kind.route}/x",
            self.now + 5.0,
            key,
            kind.prompt_tokens + 70,
            number,
            (f"{rng.randrange(PARTS):04x}",) if kind.prompt_tokens else (),
            prompt_tokens=kind.prompt_tokens,
        )
        self.kinds[request.request_id] = kind
        self.sent[request.request_id] = self.now
        self.deliver(name, request)

    # Engines

    def _start_run(self, name, effect):
        self.call_at(self.now + NETWORK_S, self._accept_run, name, effect)

    def _accept_run(self, name, effect):
        host = self.hosts[effect.server.name]
        kind = self.kinds[effect.request_id]
        key = self.gateways[name].relays.open_relays[effect.request_id].request.key
        if key is not None and key not in host.adapters:
            refusal = RunRefused(effect.run_id, 421, "adapter not loaded", self._measure_load(host))
            self.call_at(self.now + NETWORK_S, self.deliver, name, refusal)
            return
        host.running += 1
        host.users[key] = host.users.get(key, 0) + 1
        factor = max(1.0, host.running / host.entry.concurrency)
        if not kind.events:
            self.call_at(self.now + kind.work_s * factor, self._complete_run, name, effect, key)
            return
        first_s = (kind.work_s + kind.prompt_tokens / READ_TOKENS_PER_S) * factor
        self.timings[effect.run_id] = timing = StreamTiming(self.now)
        timing.record_event(0, self.now + first_s)
        timing.longest_pause_s = EVENT_S * factor
        self.call_at(self.now + first_s, self._begin_stream, name, effect)
        total_s = first_s + kind.events * EVENT_S * factor
        self.call_at(self.now + total_s, self._complete_run, name, effect, key)

    def _measure_load(self, host):
        concurrency = host.entry.concurrency
        running = min(host.running, concurrency)
        return ServerLoad(running, host.running - running, concurrency)

    def _begin_stream(self, name, effect):
        load = self._measure_load(self.hosts[effect.server.name])
        self.deliver(name, RunStarted(effect.run_id, load))

    def _complete_run(self, name, effect, key):
        host = self.hosts[effect.server.name]
        host.running -= 1
        host.users[key] -= 1
        if name == "n0":
            self.served.add(effect.request_id)
        timing = self.timings.pop(effect.run_id, None)
        message = RunCompleted(effect.run_id, 200, self._measure_load(host), timing)
        self.deliver(name, message)

    def _cancel_run(self, name, effect):
        """Let the run end as it would have; the gateway ignores its messages."""

    # Orders

    def _send_order(self, name, effect):
        self.call_at(self.now + NETWORK_S, self._carry_out_order, name, effect)

    def _carry_out_order(self, name, order):
        engine = self.engines[order.server.name]
        status = self._apply_order(engine, order)
        result = ServerOrderResult(order, status, "")
        self.call_at(self.now + NETWORK_S, self.deliver, name, result)

    def _apply_order(self, engine, order):
        if order.orders != engine.orders:
            return 409
        engine.orders += 1
        if not order.is_load:
            engine.adapters.pop(order.key, None)
            engine.warm.append(order.key)
            return 200
        engine.loading[order.key] = order.version
        load_s = WARM_LOAD_S if order.key in engine.warm else COLD_LOAD_S
        self.call_at(self.now + load_s, self._end_load, engine, order.key)
        return 202

    def _end_load(self, engine, key):
        engine.adapters[key] = engine.loading.pop(key, 1)

    def _fetch_state(self, name, effect):
        engine = self.engines[effect.server.name]
        state = EngineState(
            engine.orders, {"m0"}, dict(engine.adapters), dict(engine.loading), False
        )
        result = EngineStateResult(effect.server.name, state, "")
        self.call_at(self.now + 2 * NETWORK_S, self.deliver, name, result)


def make_site_config(size):
    """Return the `FleetConfig` of a deployment with the kinds of requests in `KINDS`."""
    routes = [
        make_route("chat", RouteKind.STREAM, "llm", resumable=True),
        make_route("draft", RouteKind.STREAM, "llm", priority=2, resumable=True),
        make_route("review", RouteKind.STREAM, "llm", priority=1, resumable=True),
        make_route("pay", RouteKind.NON_IDEMPOTENT, "ledger", attempts=1),
        make_route("read", RouteKind.IDEMPOTENT, "ledger"),
    ]
    for route, goal_s in zip(routes, (0.506, 2.006, 0.814, 0.151, 0.15), strict=True):
        route.latency_goal_s = goal_s
        if route.kind is RouteKind.STREAM:
            route.gap_goal_s = 0.3
    memory_mb = 1000.0 + size.adapter_capacity * ADAPTER_MB
    models = {"m0": BaseModel("m0", 1000.0, 2.1, ADAPTER_MB)}
    engine = Engine(CONCURRENCY, memory_mb, size.adapter_capacity, 37.0, models)
    services = {"llm": Service("llm", engine), "ledger": Service("ledger", None)}
    return FleetConfig(1, routes, services, 1 << 20)
