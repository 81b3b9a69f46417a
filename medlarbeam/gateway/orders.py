"""Load and unload orders to the backend servers for which this node holds the right."""

from math import inf

from medlarbeam.algorithms.load_budget import SharedLoadBudget
from medlarbeam.algorithms.load_time_estimator import LoadTimeEstimator
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.classes.peer_messages import (
    AdapterDemand,
    AdapterHolding,
    EarlyRefusal,
    HoldingReport,
    UseReport,
)
from medlarbeam.classes.requests import Rank
from medlarbeam.classes.server_messages import EngineStateResult, ServerOrderResult
from medlarbeam.gateway.order_scheduler import OrderScheduler, load_residency_chart
from medlarbeam.node.component import Component

__all__ = ["Orders"]

REVIEW_INTERVAL_S = 0.1
# A new holder reads the state after orders of the previous process can no longer arrive.
FIRST_READ_DELAY_S = 0.05
# Changes within this time are reported together to the nodes of the pool. A node whose request
# waits for an adapter gets a report at once.
REPORT_DELAY_S = 0.1
# A right and its fencing token survive restarts of this process and of the engine, so the serials
# of reports must exceed those of earlier incarnations. Incarnations are milliseconds, and a node
# sends far fewer reports than this in one millisecond.
SERIALS_PER_INCARNATION = 1 << 20
MIN_RUNS_CHANGE = 3  # change of the runs on a backend server that triggers a report
# Change of the prompt tokens that triggers a report, relative to the limit of the backend server.
# The more nodes get a report, the fewer of the tokens are theirs, and the rarer it may be.
MIN_PROMPT_CHANGE_SHARE = 0.2
PROMPT_REPORT_INTERVAL_S = 0.02  # for each node of the pool
REFRESH_INTERVAL_S = 2.0  # full reports to the nodes of the pool, in case datagrams were lost
ALL_NODES_REFRESH_S = 6.0  # full reports to all nodes, which need them if their own pool fails


class Orders(Component):
    """Runs an `OrderScheduler` for each backend server whose order right this node holds."""

    __slots__ = (
        "all_nodes_refresh_at",
        "budget",
        "changed",
        "chart",
        "load_estimator",
        "refresh_at",
        "report_at",
        "review_at",
        "schedulers",
        "serial",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_residency_chart()
        self.schedulers = {}
        self.load_estimator = LoadTimeEstimator()
        self.serial = node.settings.incarnation * SERIALS_PER_INCARNATION
        self.budget = None
        self.changed = set()
        self.review_at = 0.0
        self.report_at = inf
        self.refresh_at = 0.0
        self.all_nodes_refresh_at = 0.0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            ServerOrderResult: self.handle_order_result,
            EngineStateResult: self.handle_state,
            NodeDatagram: self.handle_datagram,
        }

    def handle_datagram(self, message, now, out):
        """Handle a demand, a use report or an early refusal of another node."""
        body = message.body
        if isinstance(body, AdapterDemand):
            self.node.leaving.handle_demand(body, out)
            self.handle_demand(
                body.server, body.key, body.priority, now + body.due_in_s, body.node, now, out
            )
            self._report_adapter(body.server, body.key, {body.node}, now, out)
        elif isinstance(body, UseReport) and body.server in self.schedulers:
            scheduler = self.schedulers[body.server]
            scheduler.apply_use_report(body, now)
            if scheduler.demands:
                self._send_next_order(scheduler, now, out)
        elif isinstance(body, EarlyRefusal):
            self.handle_early_refusal(body.server, body.key, now, out)
            self._report_adapter(body.server, body.key, {body.node}, now, out)

    def handle_demand(self, server, key, priority, due, node, now, out):
        """Record that a request of `node` waits for `key` on `server`; order a load if possible."""
        scheduler = self.schedulers.get(server)
        if scheduler is not None:
            scheduler.add_demand(key, priority, due, node, now)
            self._send_next_order(scheduler, now, out)

    def _report_adapter(self, server, key, nodes, now, out):
        """Report to `nodes` whether `server` holds or loads an adapter."""
        scheduler = self.schedulers.get(server)
        if scheduler is None:
            return
        residency = scheduler.residencies.get(key)
        holdings = []
        if residency is not None and self.chart.has_tag(residency, "usable"):
            holdings = [AdapterHolding(key, residency.version, max(0.0, residency.ready_at - now))]
        self._send(self._build_report(scheduler, now, holdings, [], True), nodes, out)

    def _send(self, report, nodes, out):
        for name in nodes:
            peer = self.node.fleet.nodes.get(name)
            if peer is not None and name != self.node.settings.name:
                out.emit(SendDatagram(peer.address, report))

    def handle_missing_adapter(self, server, key, now, out):
        """Invalidate the state of `server` after it refused a request because `key` is missing."""
        scheduler = self.schedulers.get(server)
        if scheduler is not None and key in scheduler.residencies:
            out.emit(LogEvent("place_doubted", f"server={server} adapter={key}"))
            scheduler.invalidate(now)

    def handle_early_refusal(self, server, key, now, out):
        """Record, or report to the holder, that `server` did not have `key` loaded in time."""
        scheduler = self.schedulers.get(server)
        holder = self.node.rights.find_holder(server)
        if scheduler is not None:
            scheduler.record_early_refusal(key, now)
            self._send_next_order(scheduler, now, out)
        elif holder and holder != self.node.settings.name:
            early = EarlyRefusal(self.node.settings.name, server, key)
            out.emit(SendDatagram(self.node.fleet.nodes[holder].address, early))

    def record_use(self, server, key, now):
        """Record that a request of this node starts to use `key` on `server`."""
        scheduler = self.schedulers.get(server)
        if scheduler is not None:
            scheduler.record_use(key, now)

    def record_use_end(self, server, now, out):
        """Send the next order to `server` after a run ended, as an adapter may now be evictable."""
        scheduler = self.schedulers.get(server)
        if scheduler is not None and scheduler.demands:
            self._send_next_order(scheduler, now, out)

    def handle_order_result(self, message, now, out):
        """Handle the response to an order."""
        order = message.order
        out.emit(
            LogEvent(
                "order_answered",
                f"server={order.server.name} op={'load' if order.is_load else 'unload'} "
                f"adapter={order.key} version={order.version} orders={order.orders} "
                f"fence={order.fence} status={message.status} reason={message.reason}",
            )
        )
        self._record_pause(order.server, message.pause, "order", now, out)
        if message.status == 0:
            self.node.paths.record_failure(order.server.name, now, out)
        scheduler = self.schedulers.get(order.server.name)
        if scheduler is not None:
            demand = scheduler.demands.get(order.key)
            scheduler.handle_order_result(message, now)
            if demand is not None and order.is_load:
                self._report_adapter(order.server.name, order.key, demand.nodes, now, out)
            self._send_next_order(scheduler, now, out)

    def handle_state(self, message, now, out):
        """Handle the state report of a backend server, or the failure to read it."""
        scheduler = self.schedulers.get(message.server)
        if scheduler is not None:
            if message.state is None:
                out.emit(LogEvent("state_unread", f"server={message.server} {message.reason}"))
            self._record_pause(scheduler.entry, message.pause, "state read", now, out)
            scheduler.apply_state(message.state, now)
            self._send_next_order(scheduler, now, out)

    def _record_pause(self, entry, pause, source, now, out):
        if pause is not None:
            self.node.pauses.record_request(entry, "", pause, now, out, source)

    def count_in_transit(self):
        """Return the number of adapters in transit to the backend servers of this holder."""
        return sum(scheduler.count_in_transit() for scheduler in self.schedulers.values())

    def review_soon(self, now):
        """Review the schedulers at the next tick."""
        self.review_at = min(self.review_at, now)

    def _send_next_order(self, scheduler, now, out):
        entry = scheduler.entry
        if self.node.fleet.is_leaving(entry.name, entry.started_at_ms):
            return  # neither orders nor requests for its state
        fence = self.node.rights.find_fence(scheduler.entry.name, now)
        engine = self.node.fleet.find_engine(scheduler.entry)
        is_paused = self.node.pauses.is_paused(scheduler.entry, now)
        if fence == scheduler.fence and engine is not None and not is_paused:
            effect = scheduler.decide(
                engine,
                self.node.fleet.published_versions,
                self.node.uses.find_keys(scheduler.entry.name),
                lambda: self._acquire_load(engine, now),
                now,
            )
            if effect is not None:
                out.emit(effect)
        if scheduler.is_changed:
            self._publish(scheduler, now)

    def _publish(self, scheduler, now):
        """Apply the changed holdings locally, and schedule a report to the other nodes."""
        scheduler.is_changed = False
        self.serial += 1
        scheduler.serial = self.serial
        self.node.holdings.apply_report(self._build_full_report(scheduler, now), now)
        self.changed.add(scheduler.entry.name)
        self.report_at = min(self.report_at, now + REPORT_DELAY_S)

    def _acquire_load(self, engine, now):
        if self.budget is None:
            rate = engine.loads_per_s
            self.budget = SharedLoadBudget(rate, max(1, int(rate)), burst=max(1.0, rate))
        share = len(self.schedulers) / max(1, len(self.node.fleet.servers))
        in_flight = sum(1 for s in self.schedulers.values() if s.is_changing_weights)
        return self.budget.try_acquire(share, in_flight, Rank.URGENT, now)

    def _build_full_report(self, scheduler, now):
        holdings = [
            AdapterHolding(r.key, r.version, max(0.0, r.ready_at - now))
            for r in scheduler.find_usable()
        ]
        return self._build_report(scheduler, now, holdings, [], False)

    def _build_report(self, scheduler, now, holdings, removed, is_partial):
        engine = self.node.fleet.find_engine(scheduler.entry)
        in_use = self.node.uses.find_keys(scheduler.entry.name)
        spare = scheduler.count_spare(engine, in_use, now) if engine else 0
        name = self.node.settings.name
        return HoldingReport(
            name,
            scheduler.entry.name,
            scheduler.fence,
            scheduler.serial,
            holdings,
            removed,
            spare,
            is_partial,
            self._count_runs(scheduler, now),
            self._count_prompt_tokens(scheduler, now),
        )

    def _count_prompt_tokens(self, scheduler, now):
        prompts = self.node.prompts
        own = prompts.count_own(scheduler.entry.name, now)
        return own + scheduler.remote_uses.count_prompt_tokens(prompts.find_window(), now)

    def _count_runs(self, scheduler, now):
        return self.node.health.count_runs(scheduler.entry.name) + scheduler.remote_uses.count_runs(
            now
        )

    def next_deadline(self):
        """Return the time (s) of the next review or report."""
        return min(self.review_at, self.report_at, self.refresh_at)

    def tick(self, now, out):
        """Review the schedulers, and send the reports that are due."""
        if self.review_at <= now:
            self._sync_schedulers(now, out)
            self._mark_load_changes(now)
            due = inf
            for scheduler in self.schedulers.values():
                self._send_next_order(scheduler, now, out)
                if not self.node.pauses.is_paused(scheduler.entry, now):
                    due = min(due, scheduler.next_due())
            self.review_at = min(now + REVIEW_INTERVAL_S, max(due, now + 0.005))
        if min(self.report_at, self.refresh_at) <= now:
            self._send_reports(now, out)

    def _mark_load_changes(self, now):
        """Mark the backend servers whose runs or prompts have changed enough for a report."""
        for scheduler in self.schedulers.values():
            if self._has_load_changed(scheduler, now):
                scheduler.is_changed = True

    def _has_load_changed(self, scheduler, now):
        if abs(self._count_runs(scheduler, now) - scheduler.reported_runs) >= MIN_RUNS_CHANGE:
            return True
        interval_s = PROMPT_REPORT_INTERVAL_S * len(self.node.fleet.nodes)
        if now < scheduler.prompts_reported_at + interval_s:
            return False
        tokens = self._count_prompt_tokens(scheduler, now)
        limit = self.node.prompts.find_limit(scheduler.entry.service)
        return abs(tokens - scheduler.reported_prompt_tokens) >= MIN_PROMPT_CHANGE_SHARE * limit

    def _sync_schedulers(self, now, out):
        fences = self.node.rights.find_fences(now)
        for name, known in self.node.fleet.servers.items():
            if name not in fences and name not in self.schedulers:
                continue
            fence = fences.get(name, 0) if known.stop_at > now else 0
            scheduler = self.schedulers.get(name)
            if scheduler is not None and scheduler.entry.started_at_ms != known.entry.started_at_ms:
                scheduler = None  # the engine has restarted without adapters
            if fence and (scheduler is None or scheduler.fence != fence):
                self.schedulers[name] = OrderScheduler(
                    known.entry, fence, self.chart, self.load_estimator, now + FIRST_READ_DELAY_S
                )
                out.emit(LogEvent("right_held", f"server={name} fence={fence}"))
            elif not fence and scheduler is not None and known.stop_at <= now:
                del self.schedulers[name]
                out.emit(LogEvent("right_unused", f"server={name}"))

    def _send_reports(self, now, out):
        """Send changes to the nodes of the pool, and full reports at intervals."""
        self.report_at = inf
        changed, self.changed = self.changed, set()
        is_refresh = now >= self.refresh_at
        if is_refresh:
            self.refresh_at = now + REFRESH_INTERVAL_S
        is_for_all = now >= self.all_nodes_refresh_at
        if is_for_all:
            self.all_nodes_refresh_at = now + ALL_NODES_REFRESH_S
        pool = self.node.find_pool_nodes()
        for name, scheduler in self.schedulers.items():
            # The first report replaces the holdings that were reported before an engine restart.
            if is_refresh or name in changed and scheduler.reported is None:
                nodes = list(self.node.fleet.nodes) if is_for_all else pool
                scheduler.reported = {r.key: r.ready_at for r in scheduler.find_usable()}
                self._note_reported_load(scheduler, now)
                self._send(self._build_full_report(scheduler, now), nodes, out)
            elif name in changed:
                self._send_changes(scheduler, pool, now, out)

    def _note_reported_load(self, scheduler, now):
        scheduler.reported_runs = self._count_runs(scheduler, now)
        scheduler.reported_prompt_tokens = self._count_prompt_tokens(scheduler, now)
        scheduler.prompts_reported_at = now

    def _send_changes(self, scheduler, nodes, now, out):
        usable = {r.key: r for r in scheduler.find_usable()}
        added = [r for r in usable.values() if scheduler.reported.get(r.key) != r.ready_at]
        removed = [key for key in scheduler.reported if key not in usable]
        scheduler.reported = {r.key: r.ready_at for r in usable.values()}
        if added or removed or self._has_load_changed(scheduler, now):
            self._note_reported_load(scheduler, now)
            holdings = [AdapterHolding(r.key, r.version, max(0.0, r.ready_at - now)) for r in added]
            self._send(self._build_report(scheduler, now, holdings, removed, True), nodes, out)
