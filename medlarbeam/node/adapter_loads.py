"""Scheduling of adapter loads and evictions on the backend servers that a node manages."""

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LoadAdapter, LogEvent, UnloadAdapter
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.managed_backend import Adapter

__all__ = ["AdapterLoads"]

FAILED_LOAD_LIMIT = 2  # consecutive failed loads after which the queued attempts are refused
UNLOAD_UNKNOWN_LIMIT_S = 10.0  # after this an order on a broken connection has no effect
ABSENT_RETENTION_S = 60.0  # absent adapters are removed after this, to keep the table small
MIN_RETRY_DELAY_S = 0.001  # rounding must not make a retry due at the same instant again


class AdapterLoads:
    """Orders loads and evictions, and tracks the residency of adapters.

    Parameters
    ----------
    node : Node
    eviction : EvictionPolicy
    budget : LoadBudget

    Attributes
    ----------
    engine_share : float
        Fraction of the deployment's engines that this node manages.
    retry_at : float
        Time (s) at which the budget will allow a load that it refused.
    """

    __slots__ = ("budget", "chart", "engine_share", "eviction", "node", "retry_at")

    def __init__(self, node, eviction, budget):
        self.node = node
        self.eviction = eviction
        self.budget = budget
        self.engine_share = 0.0
        self.retry_at = float("inf")
        self.chart = load_chart("residency", AdapterLoads)

    def is_usable(self, backend, model):
        """Return whether `model` is loaded and not being evicted, as far as known."""
        adapter = backend.adapters.get(model)
        return adapter is not None and self.chart.has_tag(adapter, "usable")

    def fire(self, adapter, event, now):
        """Fire a chart event for an adapter; return whether its state changed."""
        changed = self.chart.fire(adapter, event, self)
        if changed:
            adapter.changed_at = now
        return changed

    def order_loads(self, backend, now, out):
        """Order the loads that queued attempts need, in queue order."""
        backend.pending_load = None
        waiting = {}
        for attempt in backend.queue:
            waiting.setdefault(attempt.model, attempt)
        for model, attempt in waiting.items():
            if not model:
                return  # a plain service has no adapters
            adapter = self._get_or_create(backend, model, now)
            if self.chart.has_tag(adapter, "slot") or not self.node.catalog.get_source(model):
                continue  # already present, or withdrawn after the attempt was queued
            attempt.waited_for_load = True
            if not self._ensure_free_slot(backend, attempt, waiting, now, out):
                return
            backend.pending_load = attempt
            if not self._has_highest_priority(attempt) or not self._acquire_budget(
                attempt.request.rank, now
            ):
                return
            backend.pending_load = None
            self._order_load(backend, adapter, now, out)

    def _has_highest_priority(self, attempt):
        """Return whether no attempt with a lower priority key waits for the load budget."""
        pending = (b.pending_load for b in self.node.runs.backends.values())
        return not any(w is not None and w.priority_key() < attempt.priority_key() for w in pending)

    def _acquire_budget(self, rank, now):
        backends = self.node.runs.backends.values()
        in_flight = sum(
            self.chart.has_tag(a, "loading") for b in backends for a in b.adapters.values()
        )
        if self.budget.try_acquire(self.engine_share, in_flight, rank, now):
            return True
        # A wait of 0 means that the limit of loads in flight is reached: the end of a load retries.
        wait_s = self.budget.time_until_available(self.engine_share, rank)
        self.retry_at = now + max(wait_s, MIN_RETRY_DELAY_S) if wait_s > 0.0 else float("inf")
        return False

    def _get_or_create(self, backend, model, now):
        adapter = backend.adapters.get(model)
        if adapter is None:
            adapter = backend.adapters[model] = Adapter(model, self.chart.initial, now)
        return adapter

    def _order_load(self, backend, adapter, now, out):
        self.fire(adapter, "load_ordered", now)
        fencing_token = self.node.ownership.get_fencing_token(backend.server.name)
        source = self.node.catalog.get_source(adapter.model)
        out.emit(LoadAdapter(backend.server, adapter.model, source, fencing_token))
        out.emit(LogEvent("load_ordered", f"{adapter.model} on {backend.server.name}"))

    def _ensure_free_slot(self, backend, attempt, waiting, now, out):
        """Return whether a slot is free; order an eviction if none is."""
        occupied = [a for a in backend.adapters.values() if self.chart.has_tag(a, "slot")]
        if len(occupied) < backend.server.slots:
            return True
        if any(not self.chart.has_tag(a, "usable") for a in occupied):
            return False  # a load or an unload in progress will change the slots
        evictable = [a for a in occupied if self._is_evictable(backend, a.model, attempt, waiting)]
        for usage in self.eviction.sort_for_eviction([a.usage for a in evictable], now):
            if self._order_eviction(backend, backend.adapters[usage.model], now, out):
                return False
        return False

    def _is_evictable(self, backend, model, attempt, waiting):
        other = waiting.get(model)
        is_needed = other is not None and other.request.rank <= attempt.request.rank
        no_abandoned_run = backend.adapters[model].abandoned_at is None
        return not is_needed and no_abandoned_run and not backend.count_runs(model)

    def _order_eviction(self, backend, adapter, now, out):
        grant = self.node.ownership.may_evict(backend.server.name, adapter.model, now)
        if isinstance(grant, Failure):
            if grant.reason != backend.eviction_refusal:  # log each reason once, not at each scan
                backend.eviction_refusal = grant.reason
                out.emit(LogEvent("eviction_refused", f"{backend.server.name}: {grant.reason}"))
            return False
        backend.eviction_refusal = ""
        self.fire(adapter, "unload_ordered", now)
        out.emit(
            UnloadAdapter(backend.server, adapter.model, grant.fencing_token, grant.expires_at)
        )
        out.emit(LogEvent("eviction_ordered", f"{adapter.model} on {backend.server.name}"))
        return True

    def handle_load_result(self, backend, result, now):
        """Handle the result of a load; return whether queued attempts have to be refused."""
        adapter = self._get_or_create(backend, result.model, now)
        if result.failure is None:
            adapter.failed_loads = 0
            self.fire(adapter, "loaded", now)
            return False
        if result.already_loaded:
            self.fire(adapter, "already_held", now)
            return False
        self.fire(adapter, "load_failed", now)
        adapter.failed_loads += 1
        if adapter.failed_loads < FAILED_LOAD_LIMIT:
            return False
        adapter.failed_loads = 0
        return True

    def handle_unload_result(self, backend, result, now):
        """Handle the result of an unload."""
        adapter = self._get_or_create(backend, result.model, now)
        if result.failure is None:
            event = "unloaded"
        elif result.failure.kind is ErrorKind.SERVER_LOST:
            event = "unload_lost"
        else:
            event = "unload_failed"
        self.fire(adapter, event, now)

    def mark_run_abandoned(self, backend, model, now):
        """Protect an adapter from eviction after one of its runs was cancelled or lost.

        Engines detect a closed connection late, so an immediate eviction cut off runs that they
        were still serving.
        """
        if model in backend.adapters:
            backend.adapters[model].abandoned_at = now

    def _clear_abandoned(self, backend, report, state_at):
        running = {count.model for count in report.running if count.count}
        for adapter in backend.adapters.values():
            since = adapter.abandoned_at
            if since is not None and state_at > since and adapter.model not in running:
                adapter.abandoned_at = None

    def handle_report(self, backend, report, restarted, now):
        """Update the residency of adapters from a report that is newer than their last change."""
        if restarted:
            for adapter in backend.adapters.values():
                # An abandoned run may have begun after the restart, so `abandoned_at` is kept.
                self.fire(adapter, "restarted", now)
        state_at = report.requested_at - self.node.settings.report_lag_s
        self._clear_abandoned(backend, report, state_at)
        for model in report.resident:
            known = model in backend.adapters
            adapter = self._get_or_create(backend, model, now)
            if restarted or not known or state_at > adapter.changed_at:
                self.fire(adapter, "reported_present", now)
        present = set(report.resident)
        for adapter in list(backend.adapters.values()):
            # A report may show the state before a load ended, by up to the report lag.
            if adapter.model not in present and (restarted or state_at > adapter.changed_at):
                self.fire(adapter, "reported_absent", now)
            if (
                not self.chart.has_tag(adapter, "slot")
                and now - adapter.changed_at > ABSENT_RETENTION_S
            ):
                del backend.adapters[adapter.model]

    def handle_failed_report(self, backend, now):
        """Expire unload orders of unknown outcome on a backend server that cannot be polled.

        An order of unknown outcome withholds this node's pledges for the whole cell.
        """
        for adapter in backend.adapters.values():
            is_unknown = self.chart.has_tag(adapter, "unload_unknown")
            if is_unknown and now - adapter.changed_at > UNLOAD_UNKNOWN_LIMIT_S:
                self.fire(adapter, "reported_absent", now)

    def orders_in_flight(self, backend):
        """Return whether an unload order has no result yet."""
        return any(self.chart.has_tag(a, "unloading") for a in backend.adapters.values())
