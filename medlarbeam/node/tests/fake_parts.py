"""Fake components that run and evict as often as `Membership` allows."""

from math import inf

from medlarbeam.classes.effects import PollServer, RunOnServer, UnloadAdapter
from medlarbeam.classes.messages import EngineEnd, EngineFailure, EngineReport, UnloadResult
from medlarbeam.classes.peer_messages import ModelCount, ServerSummary
from medlarbeam.node.component import Component, Runs

MODELS = ("a@1", "b@1")


class FakeCatalog(Component):
    __slots__ = ()

    def revision(self):
        return 1

    def confirm_age(self, now):
        return 0.0

    def tick(self, now, out):
        pass

    def next_deadline(self):
        return inf


class FakeRuns(Runs):
    """Starts runs and evicts at random whenever `may_run` and `may_evict` allow it."""

    __slots__ = (
        "closed",
        "counters",
        "drained",
        "next_poll",
        "next_try",
        "orders",
        "reports",
        "runs",
        "serial",
    )

    def __init__(self, node):
        super().__init__(node)
        self.runs = {}
        self.orders = set()
        self.reports = {}
        self.drained = set()
        self.next_try = -inf
        self.next_poll = -inf
        self.serial = 0
        self.closed = False
        self.counters = {}

    def count(self, what):
        self.counters[what] = self.counters.get(what, 0) + 1

    def handlers(self):
        return {
            EngineEnd: self.handle_end,
            EngineFailure: self.handle_end,
            EngineReport: self.handle_report,
            UnloadResult: self.handle_unload,
        }

    def handle_end(self, message, now, out):
        self.runs.pop(message.run_id, None)

    def handle_report(self, message, now, out):
        if message.failure is None:
            self.reports[message.server] = message

    def handle_unload(self, message, now, out):
        self.orders.discard((message.server, message.model))

    def tick(self, now, out):
        if now >= self.next_poll:
            self.next_poll = now + 1.0
            for server in self.node.ownership.list_managed_servers(now):
                out.emit(PollServer(server, now))
        if now < self.next_try:
            return
        self.next_try = now + self.node.rng.uniform(0.05, 0.3)
        names = sorted(self.node.ownership.record_cache.servers)
        for name in names if not self.closed else ():
            self.try_run_or_evict(name, self.node.rng.choice(MODELS), now, out)

    def try_run_or_evict(self, name, model, now, out):
        """Start a run if another node owns the server, else mostly evict."""
        server = self.node.ownership.find_server(name)
        if self.node.ownership.is_owner(name) and self.node.rng.random() < 0.85:
            self.try_evict(server, model, now, out)
        else:
            self.try_run(server, model, now, out)
            # A fault is most likely to show when the pledge of this node has just expired.
            pledged_until_s = self.node.ownership.pledges.pledged_until(
                self.node.ownership.find_owner(name)
            )
            if now < pledged_until_s < self.next_try:
                self.next_try = pledged_until_s + 0.001

    def try_run(self, server, model, now, out):
        ownership = self.node.ownership
        blocked = (server.name, model) in self.orders or server.name in self.drained
        if blocked or ownership.may_run(server.name, now) is not None:
            return
        self.serial += 1
        settings = self.node.settings
        run_id = f"{settings.name}.{settings.incarnation}.{self.serial}"
        self.runs[run_id] = (server.name, model)
        own = ownership.is_owner(server.name)
        taken_over = server.cell != settings.cell
        self.count("taken-over runs" if taken_over else "owner runs" if own else "fallback runs")
        out.emit(RunOnServer(run_id, server, model, None))

    def try_evict(self, server, model, now, out):
        key = (server.name, model)
        if key in self.orders or key in self.runs.values():
            return
        grant = self.node.ownership.may_evict(server.name, model, now)
        if hasattr(grant, "expires_at"):
            taken_over = server.cell != self.node.settings.cell
            self.count("taken-over evictions" if taken_over else "evictions")
            self.orders.add(key)
            out.emit(UnloadAdapter(server, model, grant.fencing_token, grant.expires_at))

    def next_deadline(self):
        return min(self.next_try, self.next_poll)

    def summaries(self, now):
        ownership = self.node.ownership
        names = [n for n in ownership.record_cache.servers if ownership.is_owner(n)]
        return [ServerSummary(n, n not in self.drained, 0, 0, []) for n in names]

    def list_foreign_runs(self, owner):
        servers = sorted({server for server, _ in self.runs.values()})
        owned = [s for s in servers if self.node.ownership.find_owner(s) == owner]
        return [count for server in owned for count in self.list_runs_on(server)]

    def list_runs_on(self, server):
        models = [model for name, model in self.runs.values() if name == server]
        return [ModelCount(server, m, models.count(m)) for m in MODELS if m in models]

    def orders_in_flight(self, servers):
        return any(server in servers for server, _ in self.orders)

    def last_report(self, server):
        return self.reports.get(server)

    def drain(self, server, draining, now, out):
        (self.drained.add if draining else self.drained.discard)(server)

    def open_count(self):
        return len(self.runs)

    def submit(self, sender, forward, now, out):
        pass

    def cancel(self, sender, cancel, now, out):
        pass
