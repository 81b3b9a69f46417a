"""Discrete-event simulation of nodes, engines and callers."""

import heapq
from itertools import count
from random import Random

from medlarbeam.algorithms.catalog_changes import compute_shard
from medlarbeam.classes.catalog import AdapterVersion, CatalogHead, CatalogShard
from medlarbeam.classes.cells import BackendServer, VmEntry
from medlarbeam.classes.effects import (
    CancelOnServer,
    LoadAdapter,
    PollServer,
    ReadVmList,
    ResponseChunk,
    ResponseEnd,
    RunOnServer,
    SendPeer,
    UnloadAdapter,
)
from medlarbeam.classes.key_value import KvCall, KvPut
from medlarbeam.classes.messages import (
    CallerRequest,
    EngineFailure,
    PeerMessage,
    PeerUp,
    UnloadResult,
    VmList,
)
from medlarbeam.exceptions import ErrorKind, Failure, MedlarbeamError
from medlarbeam.experiment.engine import TOKEN, TimedEngine
from medlarbeam.experiment.measurements import Measurements, RequestTrace
from medlarbeam.experiment.weight_store import TimedWeightStore
from medlarbeam.experiment.workload import Workload
from medlarbeam.node.catalog import HEAD_KEY
from medlarbeam.node.node import Node
from medlarbeam.node.settings import NodeSettings
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD
from medlarbeam.standins.memory_kv import MemoryKv

__all__ = ["Experiment"]

READY_TIMEOUT_S = 60.0
SETTLE_S = 3.0  # time for the pings to exchange the first server summaries
NEVER = float("inf")


class _Host:
    __slots__ = ("domain", "due", "node")

    def __init__(self, node):
        self.node = node
        self.domain = node.settings.failure_domain
        self.due = NEVER


class Experiment:
    """Simulation of one scenario with one set of policies.

    Parameters
    ----------
    scenario : Scenario
    deployment : Deployment
    seed : int
    parts : NodeParts
        Component classes of the nodes, which determine the policies.
    """

    __slots__ = (
        "deployment",
        "engines",
        "events",
        "hosts",
        "kv",
        "measure_start",
        "measurements",
        "now",
        "run_engines",
        "scenario",
        "seed",
        "sequence",
        "traces",
        "weight_store",
        "workload",
    )

    def __init__(self, scenario, deployment, seed, parts):
        self.scenario = scenario
        self.deployment = deployment
        self.seed = seed
        self.now = 0.0
        self.sequence = count()
        self.events = []
        self.kv = MemoryKv()
        self.weight_store = TimedWeightStore()
        self.measurements = Measurements()
        self.traces = {}
        self.run_engines = {}
        self.measure_start = NEVER
        self.workload = Workload(scenario, Random(f"{seed} workload"))
        spec = scenario.engine
        self.engines = {}
        for name, domain in deployment.place_engines(spec.workers).items():
            server = BackendServer(
                name, "127.0.0.1:1", domain, domain, "", spec.slots, spec.concurrency, True
            )
            self.engines[name] = TimedEngine(server, spec)
        self._write_catalog()
        self.hosts = {}
        placement = deployment.place_nodes()
        for name, domain in placement.items():
            settings = NodeSettings(name, 1, domain, domain, [n for n in placement if n != name])
            self.hosts[name] = _Host(Node(settings, Random(f"{seed} {name}"), parts))

    def _write_catalog(self):
        shards = [[] for _ in range(64)]
        for i in range(self.scenario.adapters):
            item = AdapterVersion(f"a{i}", "1", f"w/a{i}@1")
            shards[compute_shard(item.adapter, len(shards))].append(item)
        keys = [f"catalog/shard/{i}/first" if s else "" for i, s in enumerate(shards)]
        for key, items in zip(keys, shards, strict=True):
            if key:
                self._put(key, CATALOG_SHARD.encode(CatalogShard(key, items)))
        self._put(HEAD_KEY, CATALOG_HEAD.encode(CatalogHead(1, keys, ["first"])))

    def _put(self, key, value):
        self.kv.execute(KvCall("experiment", "", KvPut(key, value), 0.0))

    # Simulated time

    def schedule(self, delay_s, action, *args):
        """Schedule ``action(*args)`` after a delay (s)."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action, args))

    def _run_until(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until

    def run(self):
        """Run the scenario and return its `Measurements`.

        Raises
        ------
        MedlarbeamError
            If the nodes did not become ready in time.
        """
        self._start_nodes()
        self._warm_up()
        baseline = self._read_totals()
        end = self.measure_start + self.scenario.measure_s
        self._run_until(end)
        totals = self._read_totals()
        self.measurements.totals = self._summarize_totals(baseline, totals)
        self._run_until(end + max(t.deadline_s for t in self.scenario.traffic) + 1.0)
        for trace in self.traces.values():
            if trace.is_measured:
                self.measurements.add(trace)
        return self.measurements

    def _start_nodes(self):
        for name, host in self.hosts.items():
            for other in self.hosts:
                if other != name:
                    self._deliver(host, PeerUp(other, 1))
            self._schedule_tick(host)
        while not all(h.node.lifecycle.is_accepting() for h in self.hosts.values()):
            if self.now > READY_TIMEOUT_S:
                raise MedlarbeamError("not all nodes became ready in time")
            self._run_until(self.now + 1.0)
        self._run_until(self.now + SETTLE_S)

    def _warm_up(self):
        self.measure_start = self.now + self.scenario.warmup_s
        for traffic in self.scenario.traffic:
            start = self.now if traffic.start_s == 0 else self.measure_start + traffic.start_s
            self.schedule(
                start - self.now + self.workload.draw_interarrival_s(traffic),
                self._handle_arrival,
                traffic,
            )
        actions = {
            "shift_popularity": lambda event: self.workload.shift_popularity(),
            "restart_engines": self._restart_engines,
        }
        for event in self.scenario.events:
            delay = self.measure_start + event.at_s - self.now
            self.schedule(delay, actions[event.kind], event)
        self._run_until(self.measure_start)

    def _read_totals(self):
        engines = self.engines.values()
        fields = ("loads", "evictions", "evicted_in_use", "steps", "step_runs", "tokens")
        totals = {f: sum(getattr(e, f) for e in engines) for f in fields}
        totals["loads_over_rate"] = self.weight_store.over_rate
        return totals

    def _summarize_totals(self, before, after):
        totals = {key: after[key] - before[key] for key in after}
        steps = totals.pop("steps")
        totals["mean_batch"] = round(totals.pop("step_runs") / max(1, steps), 3)
        totals["loads_per_s"] = round(totals["loads"] / self.scenario.measure_s, 3)
        totals["tokens_per_s"] = round(totals.pop("tokens") / self.scenario.measure_s, 1)
        return totals

    def _restart_engines(self, event):
        names = sorted(self.engines)
        for name in names[: max(1, round(len(names) * event.share))]:
            for delivery in self.engines[name].restart(self.now):
                self._deliver(self.hosts[delivery.node], delivery.message)

    # Callers

    def _handle_arrival(self, traffic):
        end = self.measure_start + min(traffic.stop_s, self.scenario.measure_s)
        if self.now >= end:
            return
        names = list(self.hosts)
        name = names[len(self.traces) % len(names)]
        request_id = f"{name}-1-{len(self.traces) + 1}"
        request = self.workload.draw_request(traffic, request_id, self.now)
        self.traces[request_id] = RequestTrace(request, self.now, self.now >= self.measure_start)
        self.schedule(
            self.deployment.to_callers_s, self._deliver, self.hosts[name], CallerRequest(request)
        )
        self.schedule(self.workload.draw_interarrival_s(traffic), self._handle_arrival, traffic)

    def _deliver_chunk(self, host, effect):
        now = self.now + self.deployment.to_callers_s
        self.traces[effect.request_id].record_tokens(len(effect.text) // len(TOKEN), now)

    def _finish_request(self, host, effect):
        self.traces[effect.request_id].end = effect

    # Nodes

    def _deliver(self, host, message):
        self._apply_effects(host, host.node.handle(message, self.now))
        self._schedule_tick(host)

    def _schedule_tick(self, host):
        due = max(host.node.next_deadline(), self.now)
        if due < host.due:
            host.due = due
            self.schedule(due - self.now, self._tick, host, due)

    def _tick(self, host, due):
        if due != host.due:
            return
        host.due = NEVER
        self._apply_effects(host, host.node.tick(self.now))
        self._schedule_tick(host)

    def _apply_effects(self, host, effects):
        for effect in effects:
            action = self.ACTIONS.get(type(effect))
            if action is not None:
                action(self, host, effect)

    def _send_peer(self, host, effect):
        other = self.hosts[effect.node]
        delay = self.deployment.find_latency(host.domain, other.domain)
        self.schedule(
            delay, self._deliver, other, PeerMessage(host.node.settings.name, effect.body)
        )

    def _call_kv(self, host, call):
        self.schedule(self.deployment.platform_s, self._deliver, host, self.kv.execute(call))

    def _read_vms(self, host, effect):
        vms = [VmEntry(n, False) for n in self.hosts]
        vms += [VmEntry(n, False, e.server) for n, e in self.engines.items()]
        self.schedule(
            self.deployment.platform_s, self._deliver, host, VmList(effect.requested_at, vms)
        )

    # Engines

    def _find_latency(self, host, engine):
        return self.deployment.find_latency(host.domain, engine.server.failure_domain)

    def _start_run(self, host, effect):
        engine = self.engines[effect.server.name]
        self.run_engines[effect.run_id] = engine
        if self.measure_start <= self.now < self.measure_start + self.scenario.measure_s:
            self.measurements.starts[effect.request.rank] += 1
        self.schedule(self._find_latency(host, engine), self._begin_run, host, engine, effect)

    def _begin_run(self, host, engine, effect):
        failure = engine.add_run(host.node.settings.name, effect, self.now)
        if failure is not None:
            message = EngineFailure(effect.run_id, failure)
            self.schedule(self._find_latency(host, engine), self._deliver, host, message)
        elif not engine.stepping:
            self._begin_step(engine)

    def _begin_step(self, engine):
        duration = engine.begin_step()
        if duration:
            self.schedule(duration, self._end_step, engine, list(engine.runs), engine.incarnation)

    def _end_step(self, engine, started, incarnation):
        if incarnation == engine.incarnation:
            for delivery in engine.end_step(started, self.now):
                host = self.hosts[delivery.node]
                self.schedule(
                    self._find_latency(host, engine), self._deliver, host, delivery.message
                )
        self._begin_step(engine)

    def _cancel_run(self, host, effect):
        engine = self.run_engines[effect.run_id]
        delay = self._find_latency(host, engine)
        self.schedule(delay, lambda: engine.cancel(effect.run_id, self.now))

    def _load(self, host, effect):
        engine = self.engines[effect.server.name]
        delay = 2 * self._find_latency(host, engine) + self.weight_store.begin_load(self.now)
        self.schedule(delay, self._end_load, host, engine, effect, engine.incarnation)

    def _end_load(self, host, engine, effect, incarnation):
        self.weight_store.finish_load()
        self._deliver(host, engine.load(effect, incarnation, self.now))

    def _unload(self, host, effect):
        engine = self.engines[effect.server.name]
        self.schedule(self._find_latency(host, engine), self._end_unload, host, engine, effect)

    def _end_unload(self, host, engine, effect):
        delay = self._find_latency(host, engine)
        if self.now > effect.expires_at + delay:
            failure = Failure(ErrorKind.SERVER_REFUSED, "the unload order has expired")
            result = UnloadResult(engine.server.name, effect.model, failure)
        else:
            result = engine.unload(effect, self.now)
        self.schedule(delay, self._deliver, host, result)

    def _poll(self, host, effect):
        engine = self.engines[effect.server.name]
        report = engine.report(effect.requested_at, self.now)
        self.schedule(2 * self._find_latency(host, engine), self._deliver, host, report)

    ACTIONS = {
        SendPeer: _send_peer,
        KvCall: _call_kv,
        ReadVmList: _read_vms,
        RunOnServer: _start_run,
        CancelOnServer: _cancel_run,
        LoadAdapter: _load,
        UnloadAdapter: _unload,
        PollServer: _poll,
        ResponseChunk: _deliver_chunk,
        ResponseEnd: _finish_request,
    }
