"""Simulates nodes, network, platform and engines in one process, with seeded random faults."""

from heapq import heappop, heappush
from random import Random

from medlarbeam.classes.cells import BackendServer
from medlarbeam.classes.effects import PollServer, ReadVmList, RunOnServer, SendPeer, UnloadAdapter
from medlarbeam.classes.key_value import KvCall
from medlarbeam.classes.messages import (
    EngineEnd,
    EngineFailure,
    EngineReport,
    PeerDown,
    PeerMessage,
    PeerUp,
    UnloadResult,
)
from medlarbeam.classes.peer_messages import ModelCount
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.component import Outbox
from medlarbeam.node.membership import Membership
from medlarbeam.node.node import Node
from medlarbeam.node.parts import NodeParts
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.engine_checker import EngineChecker
from medlarbeam.node.tests.fake_parts import FakeCatalog, FakeRuns
from medlarbeam.node.tests.sim_platform import SimPlatform, make_entries

LAYOUTS = ((2, 1), (2, 2), (3, 1), (1, 1, 1), (3,))  # nodes in each cell
SERVERS_PER_CELL = 2
DURATION_S = 45.0
RECOVERY_S = 45.0
# Below the margin of 0.5 s; two clocks with 1 % of drift use up all but 0.01 s of the rest.
MAX_TRANSIT_S = 0.49
LOST_FAILURE = Failure(ErrorKind.SERVER_LOST, "no response")


class SimNode:
    """A node process with a drifting clock, pauses, and writes that take time."""

    __slots__ = (
        "alive",
        "clock_offset",
        "clock_rate",
        "inbox",
        "incarnation",
        "name",
        "node",
        "paused",
        "tick",
    )

    def __init__(self, simulation, name, incarnation, cell, membership):
        rng = simulation.rng
        self.name = name
        self.incarnation = incarnation
        self.alive = True
        self.paused = False
        self.inbox = []
        self.clock_rate = rng.choice((0.99, 1.01, rng.uniform(0.99, 1.01)))
        self.clock_offset = rng.uniform(0.0, 1000.0)
        self.tick = 0
        peers = [n for n in simulation.home_cells if n != name]
        settings = NodeSettings(name, incarnation, cell, cell, peers)
        fake = FakeCatalog
        parts = NodeParts(membership, fake, fake, fake, fake, fake, FakeRuns, fake, fake)
        self.node = Node(settings, Random(rng.getrandbits(32)), parts)

    def to_local(self, time):
        return time * self.clock_rate + self.clock_offset

    def to_real(self, local_time):
        return (local_time - self.clock_offset) / self.clock_rate


class MembershipSimulation:
    """One simulated schedule; all random choices derive from `seed`."""

    __slots__ = (
        "checker",
        "counters",
        "cuts",
        "faults_ended",
        "home_cells",
        "membership",
        "nodes",
        "platform",
        "queue",
        "rng",
        "serial",
        "servers",
        "starts",
        "time",
    )

    def __init__(self, seed, membership=Membership):
        self.rng = Random(seed)
        self.membership = membership
        self.time = 0.0
        self.queue = []
        self.serial = 0
        self.nodes = {}
        self.starts = 0
        self.faults_ended = False
        self.cuts = set()
        self.counters = {}
        self.checker = EngineChecker()
        self.platform = SimPlatform(self)
        layout = self.rng.choice(LAYOUTS)
        cells = [f"c{i}" for i in range(len(layout))]
        self.home_cells = {
            f"{c}-n{i}": c for c, n in zip(cells, layout, strict=True) for i in range(n)
        }
        self.servers = [
            BackendServer(f"{c}-s{i}", "", c, c) for c in cells for i in range(SERVERS_PER_CELL)
        ]
        self.platform.set_vms(make_entries(self.servers, self.home_cells))

    # Time

    def after(self, delay, action):
        self.serial += 1
        heappush(self.queue, (self.time + delay, self.serial, action))

    def run(self):
        for name in self.home_cells:
            self.after(self.rng.uniform(0.0, 1.0), lambda name=name: self.start(name))
        self.after(5.0, self.make_fault)
        self.run_until(DURATION_S)
        self.collect_all()
        return self.checker.violations

    def run_until(self, end):
        while self.queue and self.queue[0][0] < end:
            self.time, _, action = heappop(self.queue)
            action()

    def recover(self):
        """End all faults, wait, and return the backend servers that no node serves fully."""
        self.faults_ended = True
        self.cuts.clear()
        self.platform.down = False
        self.platform.cut.clear()
        for name in self.home_cells:
            if self.nodes[name].alive:
                self.resume(self.nodes[name])
            else:
                self.start(name)
        running = list(self.nodes.values())
        for a in running:
            for b in running:
                if a.name < b.name:
                    self.link(a, b)
        self.run_until(DURATION_S + RECOVERY_S)
        # A refused eviction requests a platform read, so the check is repeated for some seconds.
        waiting = set(range(len(self.servers)))
        for second in range(10):
            running = [n for n in self.nodes.values() if n.alive]
            waiting -= {
                i for i in waiting if any(self.is_fully_served(n, self.servers[i]) for n in running)
            }
            self.run_until(DURATION_S + RECOVERY_S + second)
        self.collect_all()
        return [self.servers[i].name for i in sorted(waiting)]

    def is_fully_served(self, sim_node, server):
        """Return whether a node of the home cell owns, may run on, and may evict on `server`."""
        ownership, now = sim_node.node.ownership, sim_node.to_local(self.time)
        return (
            self.home_cells[sim_node.name] == server.cell
            and ownership.is_owner(server.name)
            and ownership.may_run(server.name, now) is None
            and hasattr(ownership.may_evict(server.name, "unused", now), "expires_at")
        )

    def collect_all(self):
        for sim_node in self.nodes.values():
            self.collect(sim_node)

    def collect(self, sim_node):
        for what, count in sim_node.node.runs.counters.items():
            self.counters[what] = self.counters.get(what, 0) + count
        sim_node.node.runs.counters = {}

    # Processes

    def start(self, name):
        if name in self.nodes and self.nodes[name].alive:
            return
        self.starts += 1
        self.platform.change_vm(name, make_entries([], [name])[name])
        sim_node = SimNode(self, name, self.starts, self.home_cells[name], self.membership)
        self.nodes[name] = sim_node
        self.schedule_tick(sim_node)
        for other in self.nodes.values():
            if other is not sim_node and other.alive and not self.is_cut(name, other.name):
                self.link(sim_node, other)

    def link(self, a, b):
        self.deliver_to(a)(self.draw_short_delay(), PeerUp(b.name, b.incarnation))
        self.deliver_to(b)(self.draw_short_delay(), PeerUp(a.name, a.incarnation))

    def kill(self, sim_node):
        sim_node.alive = False
        self.collect(sim_node)
        for other in self.nodes.values():
            if other is not sim_node:
                self.after(
                    self.rng.uniform(0.0, 3.0), lambda other=other: self.close_link(other, sim_node)
                )

    def close_link(self, sim_node, peer):
        """Notify a process that its link is down, unless the peer was restarted."""
        if not peer.alive and self.nodes[peer.name] is peer:
            self.deliver_to(sim_node)(0.0, PeerDown(peer.name))

    def resume(self, sim_node):
        sim_node.paused = False
        waiting, sim_node.inbox = sim_node.inbox, []
        for action in waiting:
            self.run_or_queue(sim_node, action)

    def run_or_queue(self, sim_node, action):
        """Run an action of a process now, when it resumes, or not at all if it is dead."""
        if not sim_node.alive:
            return
        if sim_node.paused:
            sim_node.inbox.append(action)
        else:
            action()

    def deliver_to(self, sim_node, _cause=None):
        def deliver(delay, message):
            handle = lambda: self.handle(sim_node, message)  # noqa: E731
            self.after(delay, lambda: self.run_or_queue(sim_node, handle))

        return deliver

    def handle(self, sim_node, message):
        effects = sim_node.node.handle(message, sim_node.to_local(self.time))
        self.execute_effects(sim_node, effects)
        self.schedule_tick(sim_node)

    def schedule_tick(self, sim_node):
        sim_node.tick += 1
        number = sim_node.tick
        delay = max(0.001, sim_node.to_real(sim_node.node.next_deadline()) - self.time)

        def tick():
            if number == sim_node.tick:
                self.execute_effects(sim_node, sim_node.node.tick(sim_node.to_local(self.time)))
                self.schedule_tick(sim_node)

        self.after(min(delay, 1.0), lambda: self.run_or_queue(sim_node, tick))

    def leave(self, sim_node):
        out = Outbox()
        sim_node.node.runs.closed = True
        sim_node.node.ownership.start_leaving(sim_node.to_local(self.time), out)
        self.execute_effects(sim_node, out.effects)

        def check():
            if sim_node.alive and sim_node.node.ownership.has_left():
                self.counters["graceful leaves"] = self.counters.get("graceful leaves", 0) + 1
                self.kill(sim_node)
                self.after(self.rng.uniform(0.1, 15.0), lambda: self.start(sim_node.name))
            elif sim_node.alive:
                self.after(0.2, lambda: self.run_or_queue(sim_node, check))

        check()

    # Effects

    def execute_effects(self, sim_node, effects):
        for effect in effects:
            if isinstance(effect, SendPeer):
                self.send(sim_node, effect)
            elif isinstance(effect, KvCall):
                self.platform.call(sim_node, effect)
            elif isinstance(effect, ReadVmList):
                self.platform.read_vms(sim_node, effect)
            elif isinstance(effect, (RunOnServer, UnloadAdapter, PollServer)):
                transmit = lambda effect=effect: self.transmit(sim_node, effect)  # noqa: E731
                delay = self.choose_write_delay(sim_node, effect)
                self.after(delay, lambda transmit=transmit: self.run_or_queue(sim_node, transmit))

    def choose_write_delay(self, sim_node, effect):
        if self.rng.random() > 0.3:
            return 0.0
        if isinstance(effect, UnloadAdapter) and self.rng.random() < 0.5:
            return max(0.0, sim_node.to_real(effect.expires_at) - self.time - 0.001)
        return self.rng.uniform(0.0, 0.5)

    def draw_short_delay(self):
        return self.rng.uniform(0.001, 0.02)

    def is_cut(self, a, b):
        return (a, b) in self.cuts

    def send(self, sim_node, effect):
        rng = self.rng
        copies = 2 if rng.random() < 0.02 else 1
        for _ in range(copies):
            delay = rng.uniform(0.0, 6.0) if rng.random() < 0.03 else self.draw_short_delay()
            if self.is_cut(sim_node.name, effect.node):
                if rng.random() < 0.8:
                    continue
                delay = rng.uniform(0.0, 12.0)
            message = PeerMessage(sim_node.name, effect.body)
            self.after(
                delay, lambda message=message: self.deliver_peer_message(effect.node, message)
            )

    def deliver_peer_message(self, name, message):
        target = self.nodes.get(name)
        if target is not None:
            self.run_or_queue(target, lambda: self.handle(target, message))

    def transmit(self, sim_node, effect):
        reply = self.deliver_to(sim_node)
        transit = self.rng.choice((0.001, MAX_TRANSIT_S, self.rng.uniform(0.0, 0.4)))
        server = effect.server.name
        cut = self.is_cut(sim_node.name, server)
        if isinstance(effect, PollServer):
            failure = LOST_FAILURE if cut else None
            at = self.time + transit - self.rng.uniform(0.0, 2.0)
            response = lambda: self.report(server, effect, failure, at, reply)  # noqa: E731
            self.after(transit, response)
        elif isinstance(effect, UnloadAdapter):
            if cut or sim_node.to_local(self.time) > effect.expires_at:
                reply(2.0 if cut else 0.0, UnloadResult(server, effect.model, LOST_FAILURE))
            else:
                self.after(transit, lambda: self.unload(sim_node, effect, reply))
        elif cut:
            reply(2.0, EngineFailure(effect.run_id, LOST_FAILURE))
        else:
            self.after(transit, lambda: self.begin_run(sim_node, effect, reply))

    def report(self, server, effect, failure, at, reply):
        running = self.checker.count_running(server, at)
        counts = [ModelCount(server, model, n) for model, n in running.items()]
        reply(
            self.draw_short_delay(),
            EngineReport(server, effect.requested_at, "1", (), counts, False, failure),
        )

    def unload(self, sim_node, effect, reply):
        origin = f"{sim_node.name}.{sim_node.incarnation}"
        self.checker.unload_arrives(self.time, effect.server.name, effect.model, origin)
        delay = self.rng.uniform(0.0, 3.0) if self.rng.random() < 0.1 else self.draw_short_delay()
        reply(delay, UnloadResult(effect.server.name, effect.model))

    def begin_run(self, sim_node, effect, reply):
        server, run_id = effect.server.name, effect.run_id
        origin = f"{sim_node.name}.{sim_node.incarnation}"
        self.checker.run_arrives(self.time, server, effect.model, run_id, origin)
        duration = self.rng.expovariate(1 / self.rng.choice((0.3, 4.0)))

        def end():
            self.checker.run_ends(self.time, server, effect.model, run_id)
            reply(self.draw_short_delay(), EngineEnd(run_id, 1, effect.model))

        self.after(duration, end)

    # Faults

    def make_fault(self):
        rng = self.rng
        if self.faults_ended:
            return
        fault = rng.choice(
            (self.fault_kill, self.fault_pause, self.fault_cut, self.fault_cut, self.fault_isolate)
            + (self.fault_platform, self.fault_vm, self.fault_leave, self.fault_domain)
        )
        fault(self.nodes[rng.choice(sorted(self.nodes))])
        self.after(rng.expovariate(1 / 2.5), self.make_fault)

    def fault_kill(self, sim_node):
        if sim_node.alive:
            self.kill(sim_node)
            delay = self.rng.choice((0.02, 0.5, 5.0, 15.0))
            self.after(self.rng.uniform(0.5, 1.0) * delay, lambda: self.start(sim_node.name))

    def fault_vm(self, sim_node):
        if sim_node.alive:
            self.kill(sim_node)
            self.platform.change_vm(sim_node.name, None)
            self.after(self.rng.uniform(10.0, 25.0), lambda: self.start(sim_node.name))

    def fault_leave(self, sim_node):
        self.run_or_queue(sim_node, lambda: self.leave(sim_node))

    def fault_pause(self, sim_node):
        if sim_node.alive and not sim_node.paused:
            sim_node.paused = True
            delay = self.rng.choice((1.0, 3.0, 6.0, 15.0)) * self.rng.uniform(0.7, 1.2)
            self.after(delay, lambda: self.resume(sim_node))

    def fault_cut(self, sim_node):
        others = [n for n in self.home_cells if n != sim_node.name] + [s.name for s in self.servers]
        self.cut([(sim_node.name, self.rng.choice(others))], self.rng.random() < 0.3)

    def fault_isolate(self, sim_node):
        self.cut([(sim_node.name, n) for n in self.home_cells if n != sim_node.name], False)
        if self.rng.random() < 0.5:
            self.cut_platform([sim_node.name])

    def fault_domain(self, sim_node):
        cell = self.home_cells[sim_node.name]
        inside = [n for n, c in self.home_cells.items() if c == cell]
        outside = [n for n in self.home_cells if n not in inside]
        self.cut([(a, b) for a in inside for b in outside], False)
        if self.rng.random() < 0.7:
            self.cut_platform(inside)

    def cut(self, pairs, one_way):
        pairs = set(pairs) | (set() if one_way else {(b, a) for a, b in pairs})
        self.cuts |= pairs
        seconds = self.rng.choice((1.0, 4.0, 12.0, 20.0)) * self.rng.uniform(0.7, 1.2)
        noticed = self.rng.uniform(0.1, 8.0)
        self.after(noticed, lambda: self.close_cut_links(pairs))
        self.after(seconds, lambda: self.end_cut(pairs))

    def close_cut_links(self, pairs):
        for a, b in sorted(pairs & self.cuts):
            if a in self.nodes and b in self.home_cells:
                self.deliver_to(self.nodes[a])(0.0, PeerDown(b))

    def end_cut(self, pairs):
        self.cuts -= pairs
        for a, b in sorted(pairs):
            if a < b and a in self.nodes and b in self.nodes:
                self.after(0.0, lambda a=a, b=b: self.link(self.nodes[a], self.nodes[b]))

    def cut_platform(self, names):
        names = set(names) - self.platform.cut
        self.platform.cut |= names
        self.after(self.rng.uniform(1.0, 15.0), lambda: self.platform.cut.difference_update(names))

    def fault_platform(self, _sim_node):
        if not self.platform.down:
            self.platform.down = True
            self.after(self.rng.uniform(1.0, 12.0), lambda: setattr(self.platform, "down", False))
