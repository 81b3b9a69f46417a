"""Simulates several nodes in one process by passing messages, without sockets or clocks."""

import heapq
import random
from itertools import count

from medlarbeam.classes.catalog import NoteAction
from medlarbeam.classes.cells import BackendServer, VmEntry
from medlarbeam.classes.effects import (
    CancelOnServer,
    Exit,
    LoadAdapter,
    LogEvent,
    OperatorResponse,
    PollServer,
    ReadVmList,
    ResponseChunk,
    ResponseEnd,
    ResponseStart,
    RunOnServer,
    SendPeer,
    UnloadAdapter,
)
from medlarbeam.classes.key_value import KvCall, KvGet, KvList, KvOutcome, KvResult
from medlarbeam.classes.messages import (
    CallerRequest,
    EngineEnd,
    EngineFailure,
    EngineReport,
    LoadResult,
    PeerDown,
    PeerMessage,
    PeerUp,
    UnloadResult,
    VmList,
)
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.assembly import build_node
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.fakes import CHUNK_INTERVAL_S, LOAD_S, FakeRun, FakeServer
from medlarbeam.standins.memory_kv import MemoryKv

DELAY_S = 0.0015
NEVER = float("inf")
WITHDRAWAL_LIMIT_S = 14.0  # a confirmed node starts no run of a withdrawn model after this
DRAIN_LIMIT_S = 5.0  # a leaving VM gets no new work after this; the list is read every 2 s


class ReceivedResponse:
    """The response that a caller received."""

    __slots__ = ("at", "end", "request", "start", "text")

    def __init__(self, request):
        self.request = request
        self.start = None
        self.text = ""
        self.end = None
        self.at = None


class Host:
    """A node with the simulated state of its shell and process."""

    __slots__ = ("alive", "due", "name", "node", "paused", "settings")

    def __init__(self, name, settings, node):
        self.name = name
        self.settings = settings
        self.node = node
        self.alive = True
        self.paused = False
        self.due = NEVER


class SimulatedCluster:
    """Simulated nodes, backend servers and platform, with messages delivered in time order.

    Parameters
    ----------
    seed : int
    placement : dict of str to str
        Failure domain by node name.
    engines, services : dict of str to str
        Failure domain by backend server name.
    build : callable
        Returns a node, given its settings and random source.
    """

    __slots__ = (
        "build",
        "cancelled",
        "cuts",
        "events",
        "forbidden_runs",
        "hosts",
        "kv",
        "leaving_since",
        "load_failure_rate",
        "log",
        "now",
        "operator_responses",
        "order_loss_rate",
        "orders",
        "placement",
        "response_loss_rate",
        "responses",
        "rng",
        "seen_revisions",
        "sequence",
        "servers",
        "slow_kv_s",
        "vms",
        "withdrawn_at",
    )

    def __init__(self, seed, placement, engines, services, build=build_node, fencing=False):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.sequence = count()
        self.events = []
        self.kv = MemoryKv()
        self.cuts = set()
        self.cancelled = set()
        self.response_loss_rate = 0
        self.slow_kv_s = 0.0
        self.load_failure_rate = 0.0
        self.order_loss_rate = 0.0
        self.responses = {}
        self.operator_responses = {}
        self.orders = {}  # notes by the id of the operator's request
        self.withdrawn_at = {}  # time at which the withdrawal was accepted, by model
        self.seen_revisions = {}
        self.log = []
        self.forbidden_runs = []  # started on a leaving server, or of a withdrawn model
        self.leaving_since = {}  # time since which the VM list marks a VM as leaving
        self.build = build
        self.placement = placement
        self.servers = {}
        for name, domain in {**engines, **services}.items():
            service = "" if name in engines else "till"
            server = BackendServer(
                name, "127.0.0.1:1", domain, domain, service, 0 if service else 2, 4, fencing
            )
            self.servers[name] = FakeServer(server)
        self.vms = {n: VmEntry(n, False) for n in placement}
        self.vms.update({n: VmEntry(n, False, s.server) for n, s in self.servers.items()})
        self.hosts = {}
        for name in placement:
            self.start(name)

    # Time

    def at(self, delay_s, action, *args):
        """Call ``action(*args)`` after a delay."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action, args))

    def run(self, until):
        """Execute all events up to a time (s)."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until

    def run_until(self, condition, limit_s):
        """Run until ``condition()`` holds; return whether it did within the limit."""
        end = self.now + limit_s
        while self.events and self.events[0][0] <= end and not condition():
            self.run(self.events[0][0])
        return condition()

    # Nodes

    def start(self, name):
        """Start a node, or restart it with a new incarnation."""
        old = self.hosts.get(name)
        incarnation = old.settings.incarnation + 1 if old else 1
        domain = self.placement[name]
        peers = [n for n in self.placement if n != name]
        settings = NodeSettings(name, incarnation, domain, domain, peers)
        rng = random.Random(self.rng.random())
        host = self.hosts[name] = Host(name, settings, self.build(settings, rng))
        for other in self.hosts.values():
            if other is not host and other.alive and self.is_connected(name, other.name):
                self.deliver(host, PeerUp(other.name, other.settings.incarnation))
                self.deliver(other, PeerUp(name, incarnation))
        self.schedule_tick(host)

    def kill(self, name):
        """Kill a node without a graceful shutdown."""
        host = self.hosts[name]
        host.alive = False
        for response in self.responses.values():
            if response.end is None and response.request.request_id.startswith(f"{name}-"):
                response.at = self.now  # its connection breaks without a response
        for other in self.hosts.values():
            if other is not host:
                self.at(DELAY_S, self.deliver, other, PeerDown(name))

    def pause(self, name, seconds):
        """Pause a node for a time; its messages are delivered afterwards."""
        self.hosts[name].paused = True
        self.at(seconds, self.resume, self.hosts[name])

    def resume(self, host):
        """Resume a paused node."""
        host.paused = False

    def cut(self, one, other, seconds):
        """Drop all messages between two nodes, or between a node and "kv", for a time."""
        pair = frozenset((one, other))
        self.cuts.add(pair)
        self.at(seconds, self.cuts.discard, pair)
        if "kv" not in pair:
            self.at(self.rng.uniform(0.0, 2.0), self.close_link, one, other)

    def close_link(self, one, other):
        """Notify two nodes that their link is down."""
        for name, peer in ((one, other), (other, one)):
            self.deliver(self.hosts[name], PeerDown(peer))

    def is_connected(self, one, other):
        """Return whether messages between two names are delivered."""
        return frozenset((one, other)) not in self.cuts

    def deliver(self, host, message):
        """Deliver a message to a node, now or when it resumes."""
        if not host.alive:
            if isinstance(message, CallerRequest):
                self.responses[message.request.request_id].at = self.now  # connection refused
            return
        if host.paused:
            self.at(0.05, self.deliver, host, message)
            return
        self.execute_effects(host, host.node.handle(message, self.now))
        self.schedule_tick(host)

    def schedule_tick(self, host):
        """Schedule a call of the node's `tick` for its next deadline."""
        due = max(host.node.next_deadline(), self.now)
        if due < host.due:
            host.due = due
            self.at(due - self.now, self.tick, host, due)

    def tick(self, host, due):
        """Call a node's `tick` unless the call was rescheduled."""
        if not host.alive or due != host.due:
            return
        if host.paused:
            self.at(0.05, self.tick, host, due)
            return
        host.due = NEVER
        self.execute_effects(host, host.node.tick(self.now))
        self.schedule_tick(host)

    # Effects

    def execute_effects(self, host, effects):
        """Execute the effects of a node."""
        for effect in effects:
            self.ACTIONS[type(effect)](self, host, effect)

    def send_peer(self, host, effect):
        other = self.hosts.get(effect.node)
        if other is None or not self.is_connected(host.name, effect.node):
            return
        # Some messages are late enough to be reordered, and some are duplicated.
        late_s = 0.1 * self.rng.random() if self.rng.random() < 0.05 else 0.0
        for _ in range(2 if self.rng.random() < 0.02 else 1):
            self.at(self.draw_delay() + late_s, self.deliver_from, host.name, other, effect.body)

    def deliver_from(self, sender, other, body):
        if self.is_connected(sender, other.name) and self.hosts[other.name] is other:
            self.deliver(other, PeerMessage(sender, body))

    def draw_delay(self):
        return DELAY_S * self.rng.uniform(0.5, 2.0)

    def call_kv(self, host, call):
        if self.kv.is_unavailable or not self.is_connected(host.name, "kv"):
            self.at(
                self.draw_delay(), self.deliver, host, KvResult(call, KvOutcome.UNAVAILABLE, [])
            )
            return
        if self.slow_kv_s:
            self.start_slow_call(host, call)
            return
        result = self.kv.execute(call)
        is_write = not isinstance(call.op, (KvGet, KvList))
        if is_write and self.rng.random() < self.response_loss_rate:
            self.at(call.timeout_s, self.deliver, host, KvResult(call, KvOutcome.UNKNOWN, []))
            return
        self.at(self.draw_delay(), self.deliver, host, result)

    def start_slow_call(self, host, call):
        """Execute a platform call late, perhaps after its sender has timed out."""
        before_s, after_s = (self.rng.uniform(0.0, self.slow_kv_s) for _ in range(2))
        late = before_s + after_s > call.timeout_s
        if late:
            is_write = not isinstance(call.op, (KvGet, KvList))
            outcome = KvOutcome.UNKNOWN if is_write else KvOutcome.UNAVAILABLE
            self.at(call.timeout_s, self.deliver, host, KvResult(call, outcome, []))
        self.at(before_s, self.end_slow_call, host, call, None if late else after_s)

    def end_slow_call(self, host, call, after_s):
        result = self.kv.execute(call)
        if after_s is not None:
            self.at(after_s, self.deliver, host, result)

    def read_vms(self, host, effect):
        self.at(
            self.draw_delay(),
            self.deliver,
            host,
            VmList(effect.requested_at, list(self.vms.values())),
        )

    def start_run(self, host, effect):
        self.at(self.draw_delay(), self.begin_run, host, effect)

    def begin_run(self, host, effect):
        if effect.run_id in self.cancelled:
            return
        run = self.servers[effect.server.name].begin(host.name, effect, self.now)
        in_touch = host.node.catalog.confirm_age(self.now) <= host.settings.confirm_limit_s
        if in_touch and self.now > self.withdrawn_at.get(effect.model, NEVER) + WITHDRAWAL_LIMIT_S:
            self.forbidden_runs.append(f"{effect.run_id} of {effect.model}")
        if self.now > self.leaving_since.get(effect.server.name, NEVER) + DRAIN_LIMIT_S:
            self.forbidden_runs.append(effect.run_id)
        if isinstance(run, FakeRun):
            self.at(CHUNK_INTERVAL_S, self.step_run, host, run)
        else:
            self.deliver(host, EngineFailure(effect.run_id, run))

    def step_run(self, host, run):
        server = self.servers[run.effect.server.name]
        if not host.alive:
            server.runs.pop(run.effect.run_id, None)  # the connection broke
            return
        message = server.next_message(run)
        self.deliver(host, message)
        if not isinstance(message, (EngineEnd, EngineFailure)):
            self.at(CHUNK_INTERVAL_S, self.step_run, host, run)

    def cancel_run(self, host, effect):
        # An engine detects a closed connection late and continues the run until then.
        self.cancelled.add(effect.run_id)
        self.at(self.rng.uniform(0.0, 0.5), self.end_run, effect.run_id)

    def end_run(self, run_id):
        for server in self.servers.values():
            server.runs.pop(run_id, None)

    def load(self, host, effect):
        self.at(LOAD_S, self.end_load, host, effect)

    def end_load(self, host, effect):
        if self.load_failure_rate and self.rng.random() < self.load_failure_rate:
            failure = Failure(ErrorKind.LOAD_FAILED, "the weight store did not send the weights")
            self.deliver(host, LoadResult(effect.server.name, effect.model, failure))
        else:
            self.deliver(host, self.servers[effect.server.name].load(effect))

    def unload(self, host, effect):
        self.at(self.draw_delay(), self.end_unload, host, effect)

    def end_unload(self, host, effect):
        if self.order_loss_rate and self.rng.random() < self.order_loss_rate:
            failure = Failure(ErrorKind.SERVER_LOST, "the connection broke")
            self.deliver(host, UnloadResult(effect.server.name, effect.model, failure))
            late_s = self.rng.uniform(0.0, 1.0)
            self.at(late_s, self.servers[effect.server.name].unload, effect)
        elif self.now > effect.expires_at + DELAY_S * 2:
            failure = Failure(ErrorKind.SERVER_REFUSED, "the order arrived after its deadline")
            self.deliver(host, UnloadResult(effect.server.name, effect.model, failure))
        else:
            self.deliver(host, self.servers[effect.server.name].unload(effect))

    def poll(self, host, effect):
        server = self.servers[effect.server.name]
        report = server.report(effect.requested_at)
        if host.name in server.unreachable_from:
            failure = Failure(ErrorKind.SERVER_REFUSED, "connection refused")
            report = EngineReport(server.server.name, effect.requested_at, failure=failure)
        self.at(self.draw_delay(), self.deliver, host, report)

    def start_response(self, host, effect):
        self.responses[effect.request_id].start = effect

    def append_chunk(self, host, effect):
        self.responses[effect.request_id].text += effect.text

    def end_response(self, host, effect):
        response = self.responses[effect.request_id]
        assert response.end is None, "a request has one response"
        response.end = effect
        response.at = self.now

    def record_operator_response(self, host, effect):
        self.operator_responses[effect.op_id] = effect
        note = self.orders.get(effect.op_id)
        if note is not None and effect.failure is None:
            for entry in note.entries:
                if entry.action is NoteAction.WITHDRAW:
                    self.withdrawn_at[entry.item.model] = self.now

    def write_log(self, host, effect):
        self.log.append(f"{self.now:.3f} {host.name} {effect.name} {effect.detail}")

    def exit(self, host, effect):
        host.alive = False
        for other in self.hosts.values():
            if other is not host:
                self.deliver(other, PeerDown(host.name))

    ACTIONS = {
        SendPeer: send_peer,
        KvCall: call_kv,
        ReadVmList: read_vms,
        RunOnServer: start_run,
        CancelOnServer: cancel_run,
        LoadAdapter: load,
        UnloadAdapter: unload,
        PollServer: poll,
        ResponseStart: start_response,
        ResponseChunk: append_chunk,
        ResponseEnd: end_response,
        OperatorResponse: record_operator_response,
        LogEvent: write_log,
        Exit: exit,
    }

    # Callers

    def send_request(self, node, request):
        """Send a caller's request to a node; return its `ReceivedResponse`."""
        response = self.responses[request.request_id] = ReceivedResponse(request)
        self.deliver(self.hosts[node], CallerRequest(request))
        return response
