"""Gateways in front of engines that ask for pauses, with adapters, orders and returning callers."""

from collections import deque

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.fleet import AdapterKey, EngineState, OrderRight, Service
from medlarbeam.classes.gateway_effects import FetchEngineState, RenewLease, ServerOrder
from medlarbeam.classes.gateway_messages import (
    GatewayRequest,
    LeaseRenewed,
    PauseRequest,
    RunCompleted,
    RunRefused,
    RunStarted,
    StoreSynced,
)
from medlarbeam.classes.server_messages import EngineStateResult, ServerOrderResult
from medlarbeam.gateway.tests.crash_fleet import FIRST_EVENT_S, RUN_S, CrashFleet
from medlarbeam.gateway.tests.fleet_samples import make_config, make_engine, make_server

RESPONSE_S = 0.002
LOAD_S = 0.25
KNOWN_S = 0.5  # after which the users' rule counts arrivals in a pause
ALLOWED_ARRIVALS = 2
DEADLINE_S = 5.0
GOALS_S = {"chat": 0.5, "draft": 0.5}
ADAPTERS_OF_ENGINE = 8
ADAPTER_CAPACITY = 16
SLOTS = 24


class PauseAnswer:
    """A refusal that asked a gateway for a pause, until `until` (s)."""

    __slots__ = ("answered_at", "gateway", "server", "until")

    def __init__(self, server, gateway, answered_at, until):
        self.server = server
        self.gateway = gateway
        self.answered_at = answered_at
        self.until = until


class Arrival:
    """A request or an order that has reached an engine."""

    __slots__ = ("at", "gateway", "is_order", "server")

    def __init__(self, server, gateway, at, is_order):
        self.server = server
        self.gateway = gateway
        self.at = at
        self.is_order = is_order


class PausingEngine:
    """Adapters, places and the pause of an engine.

    Attributes
    ----------
    ready_at : dict of AdapterKey to float
        Time (s) from which an adapter can be used.
    running : int
        Requests that run.
    waiting : collections.deque of tuple
        Gateway and effect of the requests that wait for a place.
    paused_until : float
        Time (s) until which requests are refused.
    value : str
        What a refusal names instead of the rest of the pause, "" for the rest.
    """

    __slots__ = ("orders", "paused_until", "ready_at", "running", "value", "waiting")

    def __init__(self, adapters):
        self.ready_at = dict.fromkeys(adapters, 0.0)
        self.running = 0
        self.waiting = deque()
        self.paused_until = 0.0
        self.value = ""
        self.orders = 0


class PausingFleet(CrashFleet):
    """Engines that refuse requests for a while and say for how long.

    Attributes
    ----------
    arrivals : list of Arrival
    answers : list of PauseAnswer
    first_sent : dict of str to float
        Time (s) of the first attempt of each request of a caller.
    routes : dict of str to str
        Route of each request.
    begun_by : dict of str to float
        Time (s) of the first event of each request.
    load_count : int
        Load orders that were accepted.
    """

    __slots__ = (
        "adapters",
        "answers",
        "arrivals",
        "begun_by",
        "first_sent",
        "keys",
        "load_count",
        "pausing",
        "routes",
        "run_gateways",
    )

    def __init__(self, seed, gateways=4, engines=9, loss=0.0, absent=0):
        names = [f"w{index}" for index in range(engines)]
        self.keys = [AdapterKey("m0", f"a{index}") for index in range(ADAPTERS_OF_ENGINE * engines)]
        self.adapters = {name: [] for name in names}
        for key in self.keys:
            self.adapters[rank_servers(str(key), names)[0]].append(key)
        self.pausing = {name: PausingEngine(self.adapters[name]) for name in names}
        self.arrivals = []
        self.answers = []
        self.first_sent = {}
        self.routes = {}
        self.begun_by = {}
        self.run_gateways = {}
        self.load_count = 0
        super().__init__(seed, gateways, engines, loss)
        config = make_config(2)
        config.services["llm"] = Service("llm", make_engine(ADAPTER_CAPACITY))
        self.write_entry("op/config", config)
        for index, name in enumerate(names):
            holder = list(self.gateways)[index % gateways]
            self.write_entry(f"right/{name}", OrderRight(name, holder, 3))
        for name in names[:absent]:
            self.write_entry(f"servers/{name}", None)

    def _register(self, entry):
        server = make_server(entry.name, "llm", adapters=tuple(self.adapters[entry.name]))
        server.concurrency = SLOTS
        super()._register(server)

    def _handlers(self):
        return {
            **super()._handlers(),
            FetchEngineState: self._fetch_state,
            RenewLease: self._renew_lease,
            ServerOrder: self._take_order,
        }

    def _renew_lease(self, name, effect):
        self.call_at(self.now + RESPONSE_S, self.deliver, name, LeaseRenewed(self.now, False, 0))
        self.call_at(self.now + RESPONSE_S, self.deliver, name, StoreSynced(self.now))

    # Engines

    def pause(self, name, pause_s, value=""):
        """Let an engine refuse requests for `pause_s` seconds."""
        self.pausing[name].paused_until = self.now + pause_s
        self.pausing[name].value = value

    def schedule_turns(self, groups, start, end, pause_s, gap_s=0.0, value=""):
        """Let groups of engines pause in turn."""
        at, turn = start, 0
        while at < end:
            for name in groups[turn % len(groups)]:
                self.call_at(at, self.pause, name, pause_s, value)
            at, turn = at + pause_s + gap_s, turn + 1

    def _arrive(self, server, gateway, is_order):
        self.arrivals.append(Arrival(server, gateway, self.now, is_order))

    def _fetch_state(self, name, effect):
        engine = self.pausing[effect.server.name]
        self._arrive(effect.server.name, name, True)
        held = {key: 1 for key, at in engine.ready_at.items() if at <= self.now}
        loading = {key: 1 for key, at in engine.ready_at.items() if at > self.now}
        state = EngineState(engine.orders, ["m0"], held, loading, False)
        result = EngineStateResult(effect.server.name, state, "")
        self.call_at(self.now + RESPONSE_S, self.deliver, name, result)

    def _take_order(self, name, effect):
        engine = self.pausing[effect.server.name]
        self._arrive(effect.server.name, name, True)
        status = 409
        if effect.orders == engine.orders:
            engine.orders += 1
            status = 202 if effect.is_load else 200
            if effect.is_load:
                self.load_count += 1
                engine.ready_at[effect.key] = self.now + LOAD_S
            else:
                engine.ready_at.pop(effect.key, None)
        result = ServerOrderResult(effect, status, "")
        self.call_at(self.now + RESPONSE_S, self.deliver, name, result)

    def _start_run(self, name, effect):
        engine = self.pausing[effect.server.name]
        self._arrive(effect.server.name, name, False)
        left_s = engine.paused_until - self.now
        if left_s > 0.0:
            # The rest of the pause, unless the engine names something else.
            text = engine.value or f"{left_s:.3f}"
            is_number = text.replace(".", "").isdigit()
            pause = PauseRequest(text, float(text) if is_number else None, "" if is_number else "?")
            if is_number:
                until = self.now + float(text)
                self.answers.append(PauseAnswer(effect.server.name, name, self.now, until))
            self._refuse_run(name, effect, 503, pause)
        elif engine.ready_at.get(self.requests[effect.request_id].key, self.now + 1) > self.now:
            self._refuse_run(name, effect, 421, None)
        elif engine.running >= SLOTS:
            self.run_gateways[effect.run_id] = name
            engine.waiting.append((name, effect))
        else:
            self.run_gateways[effect.run_id] = name
            self._begin_run(engine, name, effect)

    def _refuse_run(self, name, effect, status, pause):
        message = RunRefused(effect.run_id, status, f"HTTP {status}", None, pause)
        self.call_at(self.now + RESPONSE_S, self.deliver, name, message)

    def _begin_run(self, engine, name, effect):
        engine.running += 1
        self.call_at(self.now + FIRST_EVENT_S, self._pass_first_event, name, effect)
        self.call_at(self.now + RUN_S, self._end_run, engine, name, effect)

    def _pass_first_event(self, name, effect):
        if effect.run_id in self.run_gateways:
            self.begun_by.setdefault(effect.request_id.partition("+")[0], self.now)
            self.deliver(name, RunStarted(effect.run_id, None))

    def _end_run(self, engine, name, effect):
        engine.running -= 1
        if self.run_gateways.pop(effect.run_id, None) is not None:
            self.deliver(name, RunCompleted(effect.run_id, 200, None))
        while engine.waiting and engine.running < SLOTS:
            name, effect = engine.waiting.popleft()
            if effect.run_id in self.run_gateways:
                self._begin_run(engine, name, effect)

    def _cancel_run(self, name, effect):
        self.run_gateways.pop(effect.run_id, None)

    # Callers

    def schedule_requests(self, start, end, urgent_per_s, other_per_s):
        """Schedule requests of the routes `chat`, which is urgent, and `draft`."""
        for route, rate in (("chat", urgent_per_s), ("draft", other_per_s)):
            at = start
            while (at := at + self.rng.expovariate(rate)) < end:
                key = self.rng.choice(self.keys)
                self.call_at(at, self.send_request, f"r{next(self.serial)}", route, key)

    def send_request(self, request_id, route, key):
        """Send a new request to a random gateway."""
        self.first_sent[request_id] = self.now
        self.routes[request_id] = route
        self._send_attempt(request_id, route, key, self.now + DEADLINE_S)

    def _send_attempt(self, request_id, route, key, deadline):
        request = GatewayRequest(
            request_id, request_id, "host", f"/{route}/x", deadline, key, 100, next(self.serial)
        )
        self.requests[request_id] = request
        self.deliver(self.rng.choice(list(self.gateways)), request)

    def _record_refusal(self, name, effect):
        """Let the caller return after the time that the refusal names, as clients do."""
        self.refused[effect.request_id] = self.now
        request = self.requests[effect.request_id]
        retry_after_s = getattr(effect, "retry_after_s", 0.0)
        if 0.0 < retry_after_s <= (request.deadline - self.now) / 3:
            first_id = effect.request_id.partition("+")[0]
            again = f"{first_id}+{next(self.serial)}"
            route = self.routes[first_id]
            at = self.now + retry_after_s
            self.call_at(at, self._send_attempt, again, route, request.key, request.deadline)

    # Figures

    def count_excess(self):
        """Return the most arrivals of one gateway in a pause, and all arrivals in pauses."""
        worst = total = 0
        for answer in self.answers:
            count = sum(
                arrival.server == answer.server
                and arrival.gateway == answer.gateway
                and answer.answered_at + KNOWN_S < arrival.at < answer.until
                for arrival in self.arrivals
            )
            worst, total = max(worst, count), total + count
        return worst, total

    def find_largest_burst(self, window_s):
        """Return the most requests that reach an engine within `window_s` (s) after a pause."""
        ends = {(a.server, round(a.until, 2)) for a in self.answers}
        return max(
            (
                sum(
                    a.server == server and end - 0.01 <= a.at < end + window_s and not a.is_order
                    for a in self.arrivals
                )
                for server, end in ends
            ),
            default=0,
        )

    def measure_in_time(self, route, since, until):
        """Return the share of the requests of a route that began within their goal."""
        names = [
            name
            for name, at in self.first_sent.items()
            if self.routes[name] == route and since <= at < until
        ]
        in_time = [
            name
            for name in names
            if name in self.begun_by
            and self.begun_by[name] <= self.first_sent[name] + GOALS_S[route]
        ]
        return len(in_time) / len(names)
