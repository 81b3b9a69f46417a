"""Simulated platform: compare-and-swap store with lost responses, and a lagging VM list."""

from medlarbeam.classes.cells import VmEntry
from medlarbeam.classes.key_value import KvEntry, KvOutcome, KvPut, KvResult
from medlarbeam.classes.messages import VmList


class SimPlatform:
    """Key-value store and VM list of one schedule; times (s) are not those of a node's clock."""

    __slots__ = ("changes", "cut", "down", "revision", "rng", "simulation", "values")

    def __init__(self, simulation):
        self.simulation = simulation
        self.rng = simulation.rng
        self.values = {}
        self.revision = 0
        self.down = False
        self.cut = set()
        self.changes = []  # (time, {name: VmEntry}) after each change

    def is_reached_by(self, node):
        return not self.down and node not in self.cut

    def call(self, sim_node, call):
        rng = self.rng
        reply = self.simulation.deliver_to(sim_node, call)
        if not self.is_reached_by(sim_node.name) and rng.random() < 0.5:
            reply(0.01, KvResult(call, KvOutcome.UNAVAILABLE, []))
            return
        slow = rng.random() < 0.08
        request_delay = rng.uniform(0.0, 4.0) if slow else rng.uniform(0.001, 0.02)
        reply_delay = request_delay + rng.uniform(0.001, 0.02)
        if (
            rng.random() < 0.06
            or reply_delay > call.timeout_s
            or not self.is_reached_by(sim_node.name)
        ):
            reply(call.timeout_s, KvResult(call, KvOutcome.UNKNOWN, []))
            reply = None
        self.simulation.after(
            request_delay, lambda: self.apply(sim_node, call, reply, reply_delay - request_delay)
        )

    def apply(self, sim_node, call, reply, reply_delay):
        if not self.is_reached_by(sim_node.name):
            if reply is not None:
                reply(call.timeout_s, KvResult(call, KvOutcome.UNKNOWN, []))
            return
        outcome = KvOutcome.APPLIED
        present = self.values.get(call.op.key)
        if isinstance(call.op, KvPut):
            if call.op.expected_revision != (present.revision if present else 0):
                outcome = KvOutcome.CONFLICT
            else:
                self.revision += 1
                present = KvEntry(call.op.key, call.op.value, self.revision)
                self.values[call.op.key] = present
        shown = (
            [present] if present and (outcome is KvOutcome.APPLIED or reply_delay < 0.01) else []
        )
        if reply is not None:
            reply(reply_delay, KvResult(call, outcome, shown))

    def set_vms(self, entries):
        self.changes.append((self.simulation.time, entries))

    def change_vm(self, name, entry):
        entries = dict(self.changes[-1][1])
        entries.pop(name, None)
        if entry is not None:
            entries[name] = entry
        self.set_vms(entries)

    def read_vms(self, sim_node, effect):
        if not self.is_reached_by(sim_node.name):
            return
        at = self.simulation.time - self.rng.uniform(0.0, 3.0)
        entries = [c for c in self.changes if c[0] <= at] or self.changes[:1]
        vms = list(entries[-1][1].values())
        draw = self.rng.random()
        if draw < 0.02:
            vms = []
        elif draw < 0.06:
            vms = self.rng.sample(vms, len(vms) // 2)
        delay = self.rng.uniform(0.001, 0.05)
        self.simulation.deliver_to(sim_node, effect)(delay, VmList(effect.requested_at, vms))


def make_entries(servers, nodes):
    entries = {node: VmEntry(node, False) for node in nodes}
    entries.update({s.name: VmEntry(s.name, False, s) for s in servers})
    return entries
