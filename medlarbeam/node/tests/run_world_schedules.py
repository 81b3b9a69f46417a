"""Run seeded schedules of requests, notes and faults on whole nodes.

Usage: ``python -m medlarbeam.node.tests.run_world_schedules --first 0 --count 1000``
"""

import argparse
import random
import sys
import traceback
from collections import Counter

from medlarbeam.classes.catalog import NoteAction
from medlarbeam.classes.messages import CallerDisconnected, Shutdown
from medlarbeam.classes.requests import Rank
from medlarbeam.node.assembly import build_node
from medlarbeam.node.tests.mutants import MUTANTS
from medlarbeam.node.tests.simulated_cluster import ReceivedResponse
from medlarbeam.node.tests.world_checker import check_cluster
from medlarbeam.node.tests.world_setup import (
    MODELS,
    apply_note,
    make_charge,
    make_cluster,
    make_note,
    make_request,
)

__all__ = ["Schedule", "run_schedule"]

FAULT_S = 20.0  # period in which faults begin
RECOVERY_S = 45.0  # period after the faults in which all nodes recover
STEPS = 40


class Schedule:
    """One schedule of random requests, notes and faults.

    Parameters
    ----------
    seed : int
    build : callable
        Returns a node.
    kinds : list of str or None
        Names of the faults to choose from; None for all.
    """

    __slots__ = ("cluster", "kinds", "note_count", "rng")

    def __init__(self, seed, build=build_node, kinds=None):
        self.rng = random.Random(seed)
        self.cluster = make_cluster(seed, build, fencing=seed % 2 == 0)
        self.kinds = kinds or list(FAULTS)
        self.note_count = 0

    def run(self):
        """Run the schedule; return a list of violations."""
        cluster = self.cluster
        start = cluster.now
        if self.rng.random() < 0.2:
            cluster.at(self.rng.uniform(0.0, FAULT_S), self.send_crashing_requests)
        for _ in range(STEPS):
            at = self.rng.uniform(0.0, FAULT_S)
            steps = [
                self.send_requests,
                self.send_requests,
                self.send_charges,
                self.begin_faults,
                self.send_notes,
            ]
            cluster.at(at, self.rng.choice(steps))
        violations = []
        while cluster.now < start + FAULT_S:
            cluster.run(cluster.now + 0.5)
            violations += check_cluster(cluster, faults_ended=False)
        self.end_faults()
        cluster.run(cluster.now + RECOVERY_S)
        violations += check_cluster(cluster, faults_ended=True)
        return sorted(set(violations))

    def count(self):
        """Return counts of events, which show that the schedule is not empty."""
        totals = Counter()
        for response in self.cluster.responses.values():
            if response.end is None:
                totals["unanswered"] += 1
            elif response.end.failure is None:
                totals["replayed" if response.end.replayed else "complete"] += 1
                totals["complete after retries"] += response.end.attempts > 1
            else:
                totals[response.end.failure.run_state.value] += 1
        for server in self.cluster.servers.values():
            totals["runs"] += len(server.started)
            totals["loads"] += server.loads
            totals["restarts of backend servers"] += server.incarnation - 1
        totals["evictions"] = sum("eviction_ordered" in line for line in self.cluster.log)
        operator_responses = self.cluster.operator_responses.values()
        totals["notes accepted"] = sum(a.failure is None for a in operator_responses)
        totals["notes refused"] = sum(a.failure is not None for a in operator_responses)
        return totals

    def end_faults(self):
        """End all faults."""
        cluster = self.cluster
        cluster.kv.is_unavailable = False
        cluster.response_loss_rate = 0
        cluster.cuts.clear()
        self.end_slow_platform()
        self.end_load_failures()
        self.end_order_losses()
        for name, server in cluster.servers.items():
            server.up = True
            self.undrain_vm(name)
        for name, host in list(cluster.hosts.items()):
            if not host.alive:
                cluster.start(name)

    # Steps

    def choose_live_node(self):
        """Return the name of a random live node, or None."""
        names = [h.name for h in self.cluster.hosts.values() if h.alive]
        return self.rng.choice(names) if names else None

    def send_requests(self):
        """Send some requests, each for one or three models."""
        node = self.choose_live_node()
        for _ in range(self.rng.choice([1, 3, 6]) if node else 0):
            models = self.rng.sample(MODELS, self.rng.choice([1, 1, 3]))
            rank = self.rng.choice(list(Rank))
            body = self.rng.choice(["hello", "long"])
            request = make_request(self.cluster, node, models, body, rank=rank)
            self.cluster.send_request(node, request)
            if self.rng.random() < 0.1:
                host = self.cluster.hosts[node]
                self.cluster.at(
                    0.1, self.cluster.deliver, host, CallerDisconnected(request.request_id)
                )
                self.cluster.responses[request.request_id].at = self.cluster.now

    def send_charges(self):
        """Send a charge and its repeats, each through a random node."""
        key = f"k{self.rng.randrange(1000)}"
        for _ in range(self.rng.choice([1, 2, 3])):
            self.cluster.at(self.rng.uniform(0.0, 3.0), self.send_charge, key)

    def send_charge(self, key):
        """Send one charge."""
        node = self.choose_live_node()
        if node:
            self.cluster.send_request(node, make_charge(self.cluster, node, key))

    def send_notes(self):
        """Send one or two notes that each add or withdraw a model."""
        for _ in range(self.rng.choice([1, 2])):
            node = self.choose_live_node()
            if node:
                self.note_count += 1
                note = make_note(f"note{self.note_count}", [f"b{self.note_count}@1"])
                if self.rng.random() < 0.5:
                    model = self.rng.choice(MODELS)
                    note = make_note(f"note{self.note_count}", [model], NoteAction.WITHDRAW)
                apply_note(self.cluster, node, note)

    def send_crashing_requests(self):
        """Send a request that crashes its engine and its repeats, each through a random node."""
        body = f"crash {self.rng.randrange(1000)}"
        for attempt in range(5):
            self.cluster.at(attempt * 1.5, self.send_crashing_request, body)

    def send_crashing_request(self, body):
        """Send a request that crashes its engine."""
        node = self.choose_live_node()
        if node:
            self.cluster.send_request(node, make_request(self.cluster, node, MODELS[:1], body))

    def begin_faults(self):
        """Begin one or two random faults."""
        for _ in range(self.rng.choice([1, 2])):
            {**FAULTS, **MORE_FAULTS}[self.rng.choice(self.kinds)](self)

    # Faults

    def kill(self):
        name = self.choose_live_node()
        if name:
            self.cluster.kill(name)
            self.cluster.at(self.rng.uniform(0.1, 8.0), self.restart, name)

    def restart(self, name):
        if not self.cluster.hosts[name].alive:
            self.cluster.start(name)

    def pause(self):
        name = self.choose_live_node()
        if name:
            self.cluster.pause(name, self.rng.choice([0.5, 2.0, 4.0, 10.0]))

    def cut_nodes(self):
        one, other = self.rng.sample(sorted(self.cluster.hosts), 2)
        self.cluster.cut(one, other, self.rng.uniform(1.0, 12.0))

    def cut_platform(self):
        self.cluster.cut(self.rng.choice(sorted(self.cluster.hosts)), "kv", self.rng.uniform(1, 12))

    def stop_platform(self):
        self.cluster.kv.is_unavailable = True
        self.cluster.at(self.rng.uniform(0.5, 12.0), self.start_platform)

    def start_platform(self):
        self.cluster.kv.is_unavailable = False

    def lose_responses(self):
        self.cluster.response_loss_rate = 0.5
        self.cluster.at(self.rng.uniform(0.5, 8.0), self.end_response_losses)

    def end_response_losses(self):
        self.cluster.response_loss_rate = 0

    def restart_engine(self):
        self.rng.choice(list(self.cluster.servers.values())).crash()

    def stop_engine(self):
        server = self.rng.choice(list(self.cluster.servers.values()))
        server.crash()
        server.up = False
        self.cluster.at(self.rng.uniform(0.5, 6.0), self.start_engine, server)

    def start_engine(self, server):
        server.up = True

    def drain_vm(self):
        name = self.rng.choice(sorted(self.cluster.servers))
        self.cluster.vms[name].leaving = True
        self.cluster.leaving_since[name] = self.cluster.now
        self.cluster.at(self.rng.uniform(5.0, 12.0), self.undrain_vm, name)

    def undrain_vm(self, name):
        self.cluster.vms[name].leaving = False
        self.cluster.leaving_since.pop(name, None)

    def slow_platform(self):
        self.cluster.slow_kv_s = self.rng.choice([0.5, 3.0])
        self.cluster.at(self.rng.uniform(1.0, 10.0), self.end_slow_platform)

    def end_slow_platform(self):
        self.cluster.slow_kv_s = 0.0

    def fail_loads(self):
        self.cluster.load_failure_rate = 0.7
        self.cluster.at(self.rng.uniform(1.0, 10.0), self.end_load_failures)

    def end_load_failures(self):
        self.cluster.load_failure_rate = 0.0

    def lose_orders(self):
        self.cluster.order_loss_rate = 0.5
        self.cluster.at(self.rng.uniform(1.0, 10.0), self.end_order_losses)

    def end_order_losses(self):
        self.cluster.order_loss_rate = 0.0

    def flood(self):
        node = self.choose_live_node()
        rank = self.rng.choice(list(Rank))
        for number in range(100 if node else 0):
            request = make_request(self.cluster, node, [self.rng.choice(MODELS)], rank=rank)
            self.cluster.at(number * 0.01, self.cluster.send_request, node, request)
            self.cluster.responses[request.request_id] = ReceivedResponse(request)

    def leave(self):
        name = self.choose_live_node()
        if name:
            self.cluster.deliver(self.cluster.hosts[name], Shutdown())
            self.cluster.at(self.rng.uniform(4.0, 12.0), self.restart, name)


FAULTS = {
    "kill": Schedule.kill,
    "pause": Schedule.pause,
    "cut-nodes": Schedule.cut_nodes,
    "cut-platform": Schedule.cut_platform,
    "stop-platform": Schedule.stop_platform,
    "lose-answers": Schedule.lose_responses,
    "restart-engine": Schedule.restart_engine,
    "stop-engine": Schedule.stop_engine,
    "leave": Schedule.leave,
    "drain-vm": Schedule.drain_vm,
}


# Selected only by name (--kinds), so that the schedules of the seeds in the tests do not change.
MORE_FAULTS = {
    "slow-platform": Schedule.slow_platform,
    "fail-loads": Schedule.fail_loads,
    "flood": Schedule.flood,
    "lose-orders": Schedule.lose_orders,
}


def run_schedule(seed, build=build_node, kinds=None, totals=None):
    """Run the schedule of a seed; return the violations, or the traceback of an exception."""
    try:
        schedule = Schedule(seed, build, kinds)
        violations = schedule.run()
        if totals is not None:
            totals.update(schedule.count())
        return violations
    except Exception:
        return [traceback.format_exc(limit=-4)]


def main():
    """Run the schedules of the command line and print totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--kinds", nargs="*", choices=[*FAULTS, *MORE_FAULTS])
    parser.add_argument("--mutant", choices=list(MUTANTS))
    options = parser.parse_args()
    failed = 0
    totals = Counter()
    for seed in range(options.first, options.first + options.count):
        violations = run_schedule(
            seed, MUTANTS.get(options.mutant, build_node), options.kinds, totals
        )
        if violations:
            failed += 1
            print(f"seed {seed}:", *violations[:4], sep="\n  ", flush=True)
    print(", ".join(f"{name} {count}" for name, count in sorted(totals.items())))
    print(f"{options.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
