"""Gateways and engines without sockets, for requests that crash the engines that run them."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.fleet import NodeRegistration
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    CancelFleetRun,
    ProbeServer,
    PublishQuarantine,
    RefuseRequest,
    SendDatagram,
    StartFleetRun,
    WithdrawQuarantine,
)
from medlarbeam.classes.gateway_messages import (
    EntryDeleted,
    EntryUpdated,
    GatewayRequest,
    LeaseRenewed,
    NodeDatagram,
    RunCompleted,
    RunInterrupted,
    RunRefused,
    RunStarted,
    StoreSnapshot,
    StoreSynced,
)
from medlarbeam.classes.node_records import Quarantine
from medlarbeam.classes.server_messages import ProbeResult, RunClosed
from medlarbeam.classes.server_starts import AcceptRun, RejectRun
from medlarbeam.gateway.gateway import Gateway
from medlarbeam.gateway.tests.crash_ways import WAYS
from medlarbeam.gateway.tests.fleet_samples import HOT, make_config, make_server, make_settings

HARMFUL = "bad0"
SYSTEM_PART = "5e5e"  # first part of all prompts
DATAGRAM_S = 0.002
FIRST_EVENT_S = 0.1
CRASH_S = 0.08  # from the first event of a harmful request to the crash of its engine
RUN_S = 0.6
RESTART_S = 3.3
STORE_LAG_S = 0.9
LAPSE_S = 3.6  # after which the entry of a crashed engine is gone


class SimulatedEngine:
    """An engine that crashes a moment after it has begun a harmful request.

    Attributes
    ----------
    runs : dict of str to str
        Name of the gateway of each open run, by run id.
    """

    __slots__ = ("entry", "is_up", "runs")

    def __init__(self, entry):
        self.entry = entry
        self.is_up = True
        self.runs = {}


class CrashFleet:
    """Gateways, engines, callers and the store, with one clock and one queue of events.

    Parameters
    ----------
    seed : int
    gateways, engines : int
    loss : float
        Share of the datagrams that are lost.
    way : CrashWay
        How engines crash.
    harm : float
        Probability with which a harmful request crashes its engine.

    Attributes
    ----------
    crashed_at : list of float
        Times (s) of the crashes.
    harmful_sends : list of float
        Times (s) at which harmful requests began at an engine.
    sent, refused, begun : dict of str to float
        Times (s) by request id: arrival, refusal and first event.
    """

    __slots__ = (
        "begun",
        "crashed_at",
        "engines",
        "events",
        "gateways",
        "harm",
        "harmful_sends",
        "is_harmful",
        "log",
        "loss",
        "now",
        "refused",
        "requests",
        "revision",
        "rng",
        "sent",
        "serial",
        "store",
        "way",
    )

    def __init__(self, seed, gateways=4, engines=9, loss=0.0, way=WAYS[0], harm=1.0):
        self.rng = Random(seed)
        self.loss = loss
        self.way = way
        self.harm = harm
        self.now = 100.0
        self.serial = count(1)
        self.revision = 10
        self.events = []
        self.crashed_at = []
        self.harmful_sends = []
        self.sent = {}
        self.refused = {}
        self.begun = {}
        self.is_harmful = {}
        self.requests = {}
        self.log = []
        self.engines = {}
        self.store = {"op/config": make_config()}
        for index in range(engines):
            self._register(make_server(f"w{index}", "llm", started_at_ms=1))
        self.gateways = {f"n{index}": None for index in range(gateways)}
        for name in self.gateways:
            self.store[f"node/{name}"] = NodeRegistration(name, "z1", f"{name}:7000", 5)
        for name in self.gateways:
            self.start_gateway(name)

    def _register(self, entry):
        self.engines[entry.name] = SimulatedEngine(entry)
        self.store[f"servers/{entry.name}"] = entry

    def start_gateway(self, name):
        """Start a gateway that knows only what is in the store."""
        settings = make_settings(name, "z1")
        settings.address = f"{name}:7000"
        gateway = self.gateways[name] = Gateway(settings, Random(f"{name}-{self.rng.random()}"))
        entries = [EntryUpdated(key, value, 1) for key, value in self.store.items()]
        self._carry_out(name, gateway.handle(StoreSnapshot(entries, self.revision), self.now))
        self._carry_out(name, gateway.handle(LeaseRenewed(self.now, True, 0), self.now))
        self._carry_out(name, gateway.handle(StoreSynced(self.now), self.now))

    # Events

    def call_at(self, at, action, *args):
        """Schedule ``action(*args)`` at `at` (s)."""
        heappush(self.events, (at, next(self.serial), action, args))

    def deliver(self, name, message):
        """Pass a message to a gateway and carry out its effects."""
        self._carry_out(name, self.gateways[name].handle(message, self.now))

    def run_until(self, end):
        """Advance the clock to `end` (s)."""
        while True:
            due = min((g.next_deadline(), name) for name, g in self.gateways.items())
            at = min(due[0], self.events[0][0] if self.events else end, end)
            self.now = max(self.now, at)
            if self.now >= end:
                return
            if self.events and self.events[0][0] <= due[0]:
                _, _, action, args = heappop(self.events)
                action(*args)
            else:
                self._carry_out(due[1], self.gateways[due[1]].tick(self.now))
                self.now += 0.0005

    def _carry_out(self, name, effects):
        for effect in effects:
            handler = self._handlers().get(type(effect))
            if handler is not None:
                handler(name, effect)

    def _handlers(self):
        return {
            StartFleetRun: self._start_run,
            CancelFleetRun: self._cancel_run,
            SendDatagram: self._send_datagram,
            RefuseRequest: self._record_refusal,
            AbortResponse: self._record_refusal,
            ProbeServer: self._probe,
            AcceptRun: self._accept,
            RejectRun: self._reject,
            PublishQuarantine: self._publish,
            WithdrawQuarantine: self._withdraw,
            LogEvent: lambda name, effect: self.log.append((self.now, name, effect)),
        }

    # Callers

    def send(self, name, request_id, parts, fingerprint):
        """Send a request for a stream to a gateway."""
        self.sent[request_id] = self.now
        self.is_harmful[request_id] = HARMFUL in parts
        request = GatewayRequest(
            request_id, request_id, "host", "/chat/x", self.now + 5.0, HOT, 100, fingerprint, parts
        )
        self.requests[request_id] = request
        self.deliver(name, request)

    def schedule_load(self, start, end, sound_per_s, harmful_per_s, sessions=40):
        """Schedule harmless and harmful requests at random gateways."""
        for rate, is_harmful in ((sound_per_s, False), (harmful_per_s, True)):
            at = start
            while rate and (at := at + self.rng.expovariate(rate)) < end:
                session = f"{self.rng.randrange(sessions):04x}"
                parts = (SYSTEM_PART, session, *([HARMFUL] if is_harmful else []))
                number = next(self.serial)
                name = self.rng.choice(list(self.gateways))
                self.call_at(at, self.send, name, f"r{number}", parts, number)

    def _record_refusal(self, name, effect):
        self.refused[effect.request_id] = self.now

    # Engines

    def _start_run(self, name, effect):
        engine = self.engines.get(effect.server.name)
        if engine is None or not engine.is_up and self.way.name in ("refused", "closed-unframed"):
            # No engine of this name: a node, to forward to.
            refusal = RunRefused(effect.run_id, 0, "connection refused", None)
            self.call_at(self.now + 0.001, self.deliver, name, refusal)
            return
        if not engine.is_up:
            self.way.end_run(self, name, effect.run_id)
            return
        engine.runs[effect.run_id] = name
        self.call_at(self.now + FIRST_EVENT_S, self._begin, engine, effect)

    def _begin(self, engine, effect):
        name = engine.runs.get(effect.run_id)
        if name is None or not engine.is_up:
            return
        self.begun.setdefault(effect.request_id, self.now)
        if self.is_harmful[effect.request_id]:
            self.harmful_sends.append(self.now)
            if self.rng.random() < self.harm:
                self.call_at(self.now + CRASH_S, self.crash, engine)
                return
        self.deliver(name, RunStarted(effect.run_id, None))
        self.call_at(self.now + RUN_S, self._complete, engine, effect.run_id)

    def _complete(self, engine, run_id):
        name = engine.runs.pop(run_id, None)
        if name is not None and engine.is_up:
            is_unframed = self.way.name == "closed-unframed"
            self.deliver(
                name, RunClosed(run_id) if is_unframed else RunCompleted(run_id, 200, None)
            )

    def _cancel_run(self, name, effect):
        for engine in self.engines.values():
            engine.runs.pop(effect.run_id, None)

    def crash(self, engine):
        """Crash an engine; it restarts under a new name."""
        if not engine.is_up:
            return
        engine.is_up = False
        self.crashed_at.append(self.now)
        runs, engine.runs = engine.runs, {}
        for run_id, name in runs.items():
            self.way.end_run(self, name, run_id)
        self.call_at(self.now + RESTART_S, self._restart, engine)
        self.call_at(self.now + LAPSE_S, self.write_entry, f"servers/{engine.entry.name}", None)

    def _accept(self, name, effect):
        self.call_at(self.now, self.deliver, name, RunCompleted(effect.run_id, 200, None))

    def _reject(self, name, effect):
        message = RunInterrupted(effect.run_id, effect.reason, 0, False, is_connection_lost=True)
        self.call_at(self.now, self.deliver, name, message)

    def _probe(self, name, effect):
        entry = effect.server
        engine = self.engines[entry.name]
        path = effect.asked_path
        start = engine.entry.started_at_ms
        result, after_s = ProbeResult(entry.name, False, "", True, path, True, start), 0.002
        if not engine.is_up:
            result, after_s = self.way.answer_probe(entry, path)
        self.call_at(self.now + after_s, self.deliver, name, result)

    def _restart(self, engine):
        name = f"{engine.entry.name}.{next(self.serial)}"
        entry = make_server(name, "llm", started_at_ms=int(self.now * 1000))
        self._register(entry)
        self.write_entry(f"servers/{name}", entry)

    # Store and datagrams

    def write_entry(self, key, value):
        """Write or, if `value` is None, delete an entry; gateways see it after a while."""
        self.revision += 1
        if value is None:
            self.store.pop(key, None)
            message = EntryDeleted(key, self.revision)
        else:
            self.store[key] = value
            message = EntryUpdated(key, value, self.revision)
        for name in self.gateways:
            lag_s = STORE_LAG_S * self.rng.random()
            self.call_at(self.now + lag_s, self.deliver, name, message)

    def _publish(self, name, effect):
        key = f"quarantine/{effect.fingerprint}"
        if key not in self.store:
            self.write_entry(key, Quarantine(effect.fingerprint, name))

    def _withdraw(self, name, effect):
        self.write_entry(f"quarantine/{effect.fingerprint}", None)

    def _send_datagram(self, name, effect):
        receiver = effect.address.partition(":")[0]
        if receiver in self.gateways and self.rng.random() >= self.loss:
            message = NodeDatagram(effect.body)
            self.call_at(self.now + DATAGRAM_S, self.deliver, receiver, message)
