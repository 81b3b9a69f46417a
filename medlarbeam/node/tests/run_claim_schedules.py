"""Seeded random schedules of claims: several nodes, one platform, faults, repeated keys.

Run ``python -m medlarbeam.node.tests.run_claim_schedules --first 0 --count 10000``.
"""

import argparse
import time
from collections import Counter
from heapq import heappop, heappush
from math import inf
from random import Random

from medlarbeam.classes.key_value import (
    KvCall,
    KvDelete,
    KvEntry,
    KvGet,
    KvOutcome,
    KvPut,
    KvResult,
)
from medlarbeam.classes.messages import CallerDisconnected
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import ErrorKind, Failure, RunState
from medlarbeam.node.claims import ClaimManager
from medlarbeam.node.component import ClaimOutcome, Component, Outbox, Requests
from medlarbeam.node.node import Node
from medlarbeam.node.parts import NodeParts
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.claim_checker import ClaimChecker

__all__ = ["ClaimSimulation", "run_schedule"]


class NoOp(Component):
    """Component that does nothing."""

    __slots__ = ()

    def tick(self, now, out):
        pass

    def next_deadline(self):
        return inf


class StubRequests(Requests):
    """Passes the decisions of the claims component to the simulation."""

    __slots__ = ("host", "simulation")

    def tick(self, now, out):
        pass

    def next_deadline(self):
        return inf

    def claim_granted(self, request_id, now, out):
        self.simulation.handle_grant(self.host, request_id)

    def claim_replayed(self, request_id, outcome, now, out):
        self.simulation.checker.note_replayed(request_id, outcome)

    def claim_refused(self, request_id, failure, now, out):
        self.simulation.checker.note_refused(request_id, failure)

    def handle_chunk(self, sender, chunk, now, out):
        pass

    def handle_end(self, sender, end, now, out):
        pass

    def open_count(self):
        return 0


class FakePlatform:
    """Key-value service; returns the `KvResult` of a call at the time it takes effect."""

    __slots__ = ("entries", "expiries", "revision")

    def __init__(self):
        self.entries, self.expiries, self.revision = {}, {}, 0

    def apply(self, call, now):
        op = call.op
        if self.expiries.get(op.key, inf) <= now:
            self.entries.pop(op.key, None)
        entry = self.entries.get(op.key)
        present = [entry] if entry else []
        if isinstance(op, KvGet):
            return KvResult(call, KvOutcome.APPLIED, present)
        absent = isinstance(op, KvDelete) and entry is None
        if absent or op.expected_revision != (entry.revision if entry else 0):
            return KvResult(call, KvOutcome.CONFLICT, present)
        if isinstance(op, KvDelete):
            del self.entries[op.key]
            return KvResult(call, KvOutcome.APPLIED, [])
        assert isinstance(op, KvPut)
        self.revision += 1
        self.entries[op.key] = KvEntry(op.key, op.value, self.revision)
        self.expiries[op.key] = now + op.ttl_s
        return KvResult(call, KvOutcome.APPLIED, [self.entries[op.key]])


class Host:
    """A VM with a node; `node` is None while the node is down."""

    __slots__ = ("incarnation", "name", "node", "tick_at")

    def __init__(self, name):
        self.name, self.incarnation, self.node, self.tick_at = name, 0, None, inf


class ClaimSimulation:
    """Simulation of everything outside of the claims component, on one simulated clock."""

    __slots__ = (
        "checker", "crashed", "events", "faulty", "hosts", "manager", "loss_rate", "mode", "now",
        "platform", "requests", "rng", "seq", "slow_rate",
    )  # fmt: skip

    def __init__(self, seed, manager=ClaimManager, nodes=3):
        self.rng = Random(seed)
        self.manager = manager
        self.now, self.seq, self.events = 0.0, 0, []
        self.checker, self.platform = ClaimChecker(), FakePlatform()
        self.requests, self.crashed = {}, set()
        self.loss_rate = self.rng.choice([0.0, 0.1, 0.4])
        self.slow_rate = self.rng.choice([0.0, 0.1, 0.4])
        self.faulty, self.mode = True, "up"
        self.hosts = [Host(f"n{i}") for i in range(nodes)]
        for host in self.hosts:
            self.start(host)

    def push(self, delay, method, *args):
        self.seq += 1
        heappush(self.events, (self.now + delay, self.seq, method, args))

    def run_until(self, end):
        while self.events and self.events[0][0] <= end:
            self.now, _, method, args = heappop(self.events)
            method(*args)
        self.now = end

    def start(self, host):
        if host.node is None:
            host.incarnation += 1
            settings = NodeSettings(host.name, host.incarnation, "c", "d", [])
            parts = NodeParts(NoOp, NoOp, NoOp, self.manager, NoOp, StubRequests, NoOp, NoOp, NoOp)
            host.node = Node(settings, Random(self.rng.random()), parts)
            host.node.requests.simulation, host.node.requests.host = self, host
            host.tick_at = inf

    def crash(self, host):
        if host.node is not None:
            self.checker.note_crash(host.name)
            self.crashed |= {i for i, a in self.checker.records.items() if a.host == host.name}
            host.node = None

    def execute(self, host, incarnation, call, *args):
        """Call a method of a node if `incarnation` still runs, and perform the effects."""
        if host.node is None or host.incarnation != incarnation:
            return
        for effect in call(*args):
            if isinstance(effect, KvCall):
                self.call_platform(host, effect)
        due = host.node.next_deadline()
        if due < host.tick_at:
            host.tick_at = due
            self.push(max(0.0, due - self.now) + self.lag(), self.tick, host, incarnation)

    def lag(self):
        """Return the delay (s) of a busy loop, so that a result or a tick may come first."""
        return self.rng.choice([0.0, 0.0, 0.01, 0.5]) if self.faulty else 0.0

    def tick(self, host, incarnation):
        if host.node is not None and host.incarnation == incarnation:
            host.tick_at = inf
            self.execute(host, incarnation, host.node.tick, self.now)

    def call_platform(self, host, call):
        rng, destination = self.rng, (host, host.incarnation)
        if self.mode == "refusing":
            result = KvResult(call, KvOutcome.UNAVAILABLE, [])
            self.push(0.002, self.deliver, *destination, result)
            return
        faulty = self.faulty or self.mode == "silent"
        request_delay, response_delay = rng.uniform(0.001, 0.01), rng.uniform(0.001, 0.01)
        if faulty and rng.random() < self.slow_rate:
            request_delay += rng.uniform(0.0, 6.0)  # may take effect after the timeout
        lost = faulty and rng.random() < (0.9 if self.mode == "silent" else self.loss_rate)
        dropped = lost and rng.random() < 0.5
        if not dropped:
            answered = not lost and request_delay + response_delay < call.timeout_s
            self.push(
                request_delay, self.apply, *destination, call, response_delay if answered else None
            )
        if dropped or lost or request_delay + response_delay >= call.timeout_s:
            late = call.timeout_s + self.lag()
            self.push(late, self.deliver, *destination, KvResult(call, KvOutcome.UNKNOWN, []))

    def apply(self, host, incarnation, call, delay):
        result = self.platform.apply(call, self.now)
        if result.outcome is KvOutcome.CONFLICT and self.rng.random() < 0.5:
            result.entries = []
        if delay is not None:
            self.push(delay + self.lag(), self.deliver, host, incarnation, result)

    def deliver(self, host, incarnation, result):
        if host.node is not None:
            self.execute(host, incarnation, host.node.handle, result, self.now)

    def submit(self, host, request):
        if host.node is None:
            return
        self.requests[request.request_id] = request
        request.deadline += self.now
        self.checker.note_request(request, host.name)
        self.execute(host, host.incarnation, self.begin, host, request)

    def begin(self, host, request):
        out = Outbox()
        host.node.claims.begin(request, self.now, out)
        return out.effects

    def cancel(self, host, request_id):
        if host.node is not None and request_id in self.requests:
            message = CallerDisconnected(request_id)
            self.execute(host, host.incarnation, host.node.handle, message, self.now)

    def handle_grant(self, host, request_id):
        self.checker.note_decision(request_id, "granted")
        rng, delay = self.rng, self.rng.choice([0.0, 0.05, self.rng.uniform(0, 5)])
        draw = rng.random()
        if request_id.startswith("probe"):
            return
        if draw < 0.3:
            failure = Failure(ErrorKind.SERVER_REFUSED, "full", RunState.NOT_RUN)
            outcome = ClaimOutcome(0, "", "", "s", failure)
        elif draw < 0.5:
            outcome = ClaimOutcome(0, "", "", "s", Failure(ErrorKind.SERVER_LOST, "broken"))
        else:
            body = f"receipt {request_id}" + "!" * (70000 if rng.random() < 0.1 else 0)
            outcome = ClaimOutcome(200, body, "", "s")
        if draw >= 0.3 and (draw >= 0.5 or rng.random() < 0.5):
            self.push(delay, self.checker.note_run, request_id)
        # The run is sent with the grant, so it happens even if the node crashes before its end.
        self.push(delay, self.finish, host, host.incarnation, request_id, outcome)

    def finish(self, host, incarnation, request_id, outcome):
        if host.node is None or host.incarnation != incarnation:
            return
        failure = outcome.failure
        state = failure.run_state if failure else RunState.RAN
        self.checker.note_answered(request_id, state, None if failure else outcome.body)
        self.execute(host, incarnation, self.end, host, request_id, outcome)

    def end(self, host, request_id, outcome):
        out = Outbox()
        host.node.claims.finish(request_id, outcome, self.now, out)
        return out.effects

    def set_mode(self, mode):
        self.mode = mode

    def end_faults(self):
        self.mode, self.faulty = "up", False
        for host in self.hosts:
            self.start(host)

    def plan(self):
        rng = self.rng
        for i in range(rng.randint(3, 8)):
            key = f"k{rng.randrange(2)}"
            body = "other" if rng.random() < 0.15 else "pay"
            deadline = rng.choice([0.3, 2.0, 8.0, 30.0])
            request = make_request(f"r{i}", key, body, deadline)
            host, at = rng.choice(self.hosts), rng.choice([0.0, rng.uniform(0, 20)])
            self.push(at, self.submit, host, request)
            if rng.random() < 0.25:
                self.push(at + rng.choice([0.004, 1.0, 3.0]), self.cancel, host, f"r{i}")
        for _ in range(rng.choice([0, 0, 1, 2])):
            host, at = rng.choice(self.hosts), rng.uniform(0, 20)
            self.push(at, self.crash, host)
            self.push(at + rng.uniform(0.1, 3), self.start, host)
        for _ in range(rng.choice([0, 1, 2])):
            at = rng.uniform(0, 15)
            self.push(at, self.set_mode, rng.choice(["refusing", "silent"]))
            self.push(at + rng.uniform(0.2, 10), self.set_mode, "up")

    def run(self):
        self.plan()
        self.run_until(40.0)
        self.end_faults()
        self.run_until(240.0)
        for host in self.hosts:
            self.checker.require(host.node.claims.is_idle(), f"{host.name} has claims left")
        self.checker.check_settled(self.crashed)
        for key in ("k0", "k1"):
            self.submit(self.rng.choice(self.hosts), make_request(f"probe-{key}", key, "pay", 5.0))
            self.run_until(self.now + 10.0)
            self.checker.check_probe(f"probe-{key}")


def make_request(request_id, key, body, deadline, **fields):
    return Request(
        request_id, "caller", Rank.URGENT, deadline, [], body,
        service="ledger", path="/pay", non_idempotent=True, key=key, **fields,
    )  # fmt: skip


def run_schedule(seed, manager=ClaimManager):
    """Run one schedule and return its simulation; raises `ViolationError`."""
    simulation = ClaimSimulation(seed, manager)
    simulation.run()
    return simulation


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=1000, help="number of seeds")
    options = parser.parse_args()
    totals, failed, started = Counter(), [], time.monotonic()
    for seed in range(options.first, options.first + options.count):
        try:
            simulation = run_schedule(seed)
        except Exception as error:  # continue with the remaining seeds
            failed.append(seed)
            print(f"seed {seed}: {type(error).__name__}: {error}")
            continue
        totals.update(simulation.checker.kinds)
        totals["requests"] += len(simulation.checker.records)
        totals["runs"] += sum(len(r) for r in simulation.checker.runs.values())
        totals["crashed_requests"] += len(simulation.crashed)
        totals["platform_writes"] += simulation.platform.revision
    print(f"schedules {options.count}, failed {len(failed)} {failed[:20]}")
    print(", ".join(f"{name} {count}" for name, count in sorted(totals.items())))
    print(f"{time.monotonic() - started:.1f} s")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
