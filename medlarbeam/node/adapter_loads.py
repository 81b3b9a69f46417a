"""Loads and evictions of adapters on the backend servers that a node manages."""

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LoadAdapter, LogEvent, UnloadAdapter
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.server_desk import Adapter

__all__ = ["AdapterLoads"]

FAILED_LOAD_LIMIT = 2  # loads that fail in succession before the waiting attempts are refused
DOUBT_LIMIT_S = 10.0  # no backend server keeps an order of a broken connection that long
FORGET_S = 60.0  # an absent adapter is forgotten, so that the table stays small
MIN_WAIT_S = 0.001  # rounding must not make a retry fall due at the same instant again


class AdapterLoads:
    """Decides which adapters are loaded and evicted, and keeps the belief about residency.

    Parameters
    ----------
    node : Node
    eviction : EvictionPolicy
    budget : LoadBudget

    Attributes
    ----------
    share : float
        Part of the deployment's engines that this node manages.
    retry_at : float
        Time (s) at which the budget allows the load that it refused.
    """

    __slots__ = ("budget", "chart", "eviction", "node", "retry_at", "share")

    def __init__(self, node, eviction, budget):
        self.node = node
        self.eviction = eviction
        self.budget = budget
        self.share = 0.0
        self.retry_at = float("inf")
        self.chart = load_chart("residency", AdapterLoads)

    def is_usable(self, desk, model):
        """Return whether `model` is believed to be loaded and not about to leave."""
        adapter = desk.adapters.get(model)
        return adapter is not None and self.chart.has_tag(adapter, "usable")

    def fire(self, adapter, event, now):
        """Pass an event to an adapter; return whether its state changed."""
        changed = self.chart.fire(adapter, event, self)
        if changed:
            adapter.changed_at = now
        return changed

    def order_loads(self, desk, now, out):
        """Order the loads that waiting attempts need, in the order of their rank."""
        desk.load_wanted = None
        waiting = {}
        for attempt in desk.queue:
            waiting.setdefault(attempt.model, attempt)
        for model, attempt in waiting.items():
            if not model:
                return  # a plain service has no adapters
            adapter = self._find(desk, model, now)
            if self.chart.has_tag(adapter, "slot") or not self.node.catalog.source_of(model):
                continue  # there already, or withdrawn since the attempt came
            attempt.waited_for_load = True
            if not self._make_room(desk, attempt, waiting, now, out):
                return
            desk.load_wanted = attempt
            if not self._is_first(attempt) or not self._take_budget(attempt.request.rank, now):
                return
            desk.load_wanted = None
            self._load(desk, adapter, now, out)

    def _is_first(self, attempt):
        """Return whether no other engine waits for the budget with an earlier claim."""
        wanted = (d.load_wanted for d in self.node.runs.desks.values())
        return not any(w is not None and w.precedence() < attempt.precedence() for w in wanted)

    def _take_budget(self, rank, now):
        desks = self.node.runs.desks.values()
        in_flight = sum(
            self.chart.has_tag(a, "loading") for d in desks for a in d.adapters.values()
        )
        if self.budget.try_take(self.share, in_flight, rank, now):
            return True
        # Without a token to wait for, the end of a load makes the engines try again.
        wait_s = self.budget.find_wait(self.share, rank)
        self.retry_at = now + max(wait_s, MIN_WAIT_S) if wait_s > 0.0 else float("inf")
        return False

    def _find(self, desk, model, now):
        adapter = desk.adapters.get(model)
        if adapter is None:
            adapter = desk.adapters[model] = Adapter(model, self.chart.initial, now)
        return adapter

    def _load(self, desk, adapter, now, out):
        self.fire(adapter, "load_ordered", now)
        fencing = self.node.ownership.fencing(desk.server.name)
        source = self.node.catalog.source_of(adapter.model)
        out.emit(LoadAdapter(desk.server, adapter.model, source, fencing))
        out.emit(LogEvent("load_ordered", f"{adapter.model} on {desk.server.name}"))

    def _make_room(self, desk, attempt, waiting, now, out):
        """Return whether a slot is free; order an eviction where none is."""
        taken = [a for a in desk.adapters.values() if self.chart.has_tag(a, "slot")]
        if len(taken) < desk.server.slots:
            return True
        if any(not self.chart.has_tag(a, "usable") for a in taken):
            return False  # a load or an unload will end soon
        idle = [a for a in taken if self._is_idle(desk, a.model, attempt, waiting)]
        for use in self.eviction.order([a.use for a in idle], now):
            if self._evict(desk, desk.adapters[use.model], now, out):
                return False
        return False

    def _is_idle(self, desk, model, attempt, waiting):
        other = waiting.get(model)
        wanted = other is not None and other.request.rank <= attempt.request.rank
        settled = desk.adapters[model].unsettled_at is None
        return not wanted and settled and not desk.count_runs(model)

    def _evict(self, desk, adapter, now, out):
        grant = self.node.ownership.may_evict(desk.server.name, adapter.model, now)
        if isinstance(grant, Failure):
            if grant.reason != desk.refusal:  # not at each scan while it lasts
                desk.refusal = grant.reason
                out.emit(LogEvent("eviction_refused", f"{desk.server.name}: {grant.reason}"))
            return False
        desk.refusal = ""
        self.fire(adapter, "unload_ordered", now)
        out.emit(UnloadAdapter(desk.server, adapter.model, grant.fencing, grant.not_after))
        out.emit(LogEvent("eviction_ordered", f"{adapter.model} on {desk.server.name}"))
        return True

    def take_load_result(self, desk, result, now):
        """Take the outcome of a load; return whether waiting attempts are to be refused."""
        adapter = self._find(desk, result.model, now)
        if result.failure is None:
            adapter.failed_loads = 0
            self.fire(adapter, "loaded", now)
            return False
        if result.held:
            self.fire(adapter, "already_held", now)
            return False
        self.fire(adapter, "load_failed", now)
        adapter.failed_loads += 1
        if adapter.failed_loads < FAILED_LOAD_LIMIT:
            return False
        adapter.failed_loads = 0
        return True

    def take_unload_result(self, desk, result, now):
        """Take the outcome of an unload."""
        adapter = self._find(desk, result.model, now)
        if result.failure is None:
            event = "unloaded"
        elif result.failure.kind is ErrorKind.SERVER_LOST:
            event = "unload_lost"
        else:
            event = "unload_failed"
        self.fire(adapter, event, now)

    def note_unsettled(self, desk, model, now):
        """Keep an adapter, because the backend server may still serve a run that was given up.

        Engines notice a closed connection late: evicting at once cut off such runs.
        """
        if model in desk.adapters:
            desk.adapters[model].unsettled_at = now

    def _settle(self, desk, report, dated):
        running = {count.model for count in report.running if count.count}
        for adapter in desk.adapters.values():
            since = adapter.unsettled_at
            if since is not None and dated > since and adapter.model not in running:
                adapter.unsettled_at = None

    def take_report(self, desk, report, restarted, now):
        """Bring the belief in line with a report that is newer than the belief."""
        if restarted:
            for adapter in desk.adapters.values():
                # A run that was given up may have begun after the restart, so it stays unsettled.
                self.fire(adapter, "restarted", now)
        dated = report.asked_at - self.node.settings.report_lag_s
        self._settle(desk, report, dated)
        for model in report.resident:
            known = model in desk.adapters
            adapter = self._find(desk, model, now)
            if restarted or not known or dated > adapter.changed_at:
                self.fire(adapter, "reported_present", now)
        present = set(report.resident)
        for adapter in list(desk.adapters.values()):
            # A report may be older than the end of a load by the report lag.
            if adapter.model not in present and (restarted or dated > adapter.changed_at):
                self.fire(adapter, "reported_absent", now)
            if not self.chart.has_tag(adapter, "slot") and now - adapter.changed_at > FORGET_S:
                del desk.adapters[adapter.model]

    def take_bad_report(self, desk, now):
        """Give up the doubt about an unload order at a backend server that is out of reach.

        The doubt holds back this node's pledges for the whole cell.
        """
        for adapter in desk.adapters.values():
            in_doubt = self.chart.has_tag(adapter, "doubt")
            if in_doubt and now - adapter.changed_at > DOUBT_LIMIT_S:
                self.fire(adapter, "reported_absent", now)

    def orders_in_flight(self, desk):
        """Return whether an unload order has no result yet."""
        return any(self.chart.has_tag(a, "unloading") for a in desk.adapters.values())
