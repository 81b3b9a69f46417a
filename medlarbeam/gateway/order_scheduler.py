"""State of one backend server, and scheduling of load and unload orders to it."""

from math import inf

from medlarbeam.algorithms.eviction import DecayedUseEviction
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.gateway_effects import FetchEngineState, ServerOrder
from medlarbeam.gateway.adapter_residency import AdapterResidency, LoadDemand
from medlarbeam.gateway.remote_uses import RemoteUses

__all__ = ["OrderScheduler", "load_residency_chart"]

# A replacement loads once the runs of the older version have ended, usually within 0.5 s. Each
# request that arrives earlier is refused and uses up retry budget.
FIRST_REPLACED_WAIT_S = 0.15
MAX_REPLACED_WAIT_S = 0.6
MAX_IN_TRANSIT = 4  # adapters in transit to one backend server
# Of those, loads from the weight store; more of them over all servers slow each other down.
MAX_COLD_IN_TRANSIT = 3
REPORT_LAG_S = 0.4  # a state report may be some hundred ms old
REFUSED_PAUSE_S = 0.02  # delay after an order that was not accepted
REREAD_DELAY_S = 0.08  # delay before the state is read again if the report may be stale
READ_TIMEOUT_S = 2.0  # after which a state read is considered lost
DEMAND_TTL_S = 0.6  # a demand expires if it is not repeated within this time
UNUSED_GRACE_S = 0.15  # no eviction so soon after a load; the waiting request must arrive first


class OrderScheduler:
    """The expected state of one backend server, and its queue of demands.

    Parameters
    ----------
    entry : ServerRegistration
    fence : int
    chart : Chart
    load_estimator : LoadTimeEstimator

    Attributes
    ----------
    tagged : dict of str to list of AdapterResidency
        Residencies by a tag of their states, as of the last change of a residency.
    wanted : list of LoadDemand or None
        Demands for adapters without a residency; None if it has to be found again.
    started_at_ms : int
        Latest start (ms) of which a state report was read.
    capacity : int
        Adapters that fit into `capacity_engine` beside the base models that it holds.

    Notes
    -----
    Demands and use reports arrive far more often than the state changes, so `tagged`, `wanted` and
    `capacity` are kept from one decision to the next.

    Each order states how many orders the backend server must have accepted before. An order is
    executed only if the state it is based on is current, even if it arrives late, so the adapter
    capacity is never exceeded. After a lost response or a refusal the state is read again.
    """

    __slots__ = (
        "capacity",
        "capacity_engine",
        "chart",
        "demands",
        "entry",
        "eviction",
        "fence",
        "invalidated_at",
        "is_changed",
        "is_changing_weights",
        "is_reading",
        "load_estimator",
        "min_orders",
        "models",
        "not_before",
        "orders",
        "pending",
        "read_sent_at",
        "recently_unloaded",
        "remote_uses",
        "prompts_reported_at",
        "reported",
        "reported_prompt_tokens",
        "reported_runs",
        "residencies",
        "serial",
        "started_at_ms",
        "tagged",
        "wanted",
    )

    def __init__(self, entry, fence, chart, load_estimator, now):
        self.entry = entry
        self.started_at_ms = entry.started_at_ms
        self.fence = fence
        self.chart = chart
        self.load_estimator = load_estimator
        self.eviction = DecayedUseEviction()
        self.orders = None
        self.min_orders = 0
        self.invalidated_at = -inf
        self.models = set()
        self.residencies = {}
        self.tagged = {}
        self.wanted = None
        self.capacity = 0
        self.capacity_engine = None
        self.recently_unloaded = {}
        self.demands = {}
        self.remote_uses = RemoteUses()
        self.pending = None
        self.is_changing_weights = False
        self.is_reading = False
        self.is_changed = True
        self.read_sent_at = -inf
        self.not_before = now
        self.serial = 0
        self.reported = None
        self.reported_runs = 0
        self.reported_prompt_tokens = 0
        self.prompts_reported_at = -inf

    # State of the backend server

    def invalidate(self, now, min_orders=0):
        """Discard the number of orders until a new enough state report arrives.

        A report with at least `min_orders` is newer than the invalidated state.
        """
        self.orders = None
        self.min_orders = min_orders
        self.invalidated_at = now
        self.not_before = max(self.not_before, now)

    def apply_state(self, state, now):
        """Apply a state report; `state` is None if it could not be read."""
        self.is_reading = False
        if state is None or self.pending is not None:
            self.not_before = now + REPORT_LAG_S
            return
        started_at_ms = state.started_at_ms
        if started_at_ms is not None and started_at_ms < self.started_at_ms:
            self.not_before = now + REREAD_DELAY_S
            return  # of a former start
        if started_at_ms is not None and started_at_ms > self.started_at_ms:
            # Its entry is not read yet. It counts orders anew, and holds nothing of before.
            self.started_at_ms = started_at_ms
            self.orders = None
            self.min_orders = 0
            self.residencies = {}
            self.recently_unloaded.clear()
        if self.orders is not None and state.orders < self.orders:
            self.not_before = now + REREAD_DELAY_S
            return  # the report is older than the last order
        is_stale = state.orders < self.min_orders
        if self.orders is None and is_stale and now - self.invalidated_at < REPORT_LAG_S:
            self.not_before = now + REREAD_DELAY_S
            return
        self.orders = state.orders
        self.models = set(state.models)
        self.capacity_engine = None
        self.is_changing_weights = state.is_changing_weights
        residencies = {}
        for key, version in state.adapters.items():
            residencies[key] = self._merge_residency(key, "resident", version, now, now)
        for key, version in state.loading.items():
            residencies[key] = self._merge_residency(
                key, "loading", version, now + self.load_estimator.cold_load_s, now
            )
        self.residencies = residencies
        self._note_changed_residencies()
        self.is_changed = True
        if state.is_changing_weights or self._has_pending_unload():
            self.not_before = now + REPORT_LAG_S

    def _note_changed_residencies(self):
        """Discard what was derived from the residencies before a change."""
        self.tagged.clear()
        self.wanted = None

    def _find_tagged(self, tag):
        """Return the list of the residencies whose states have the tag `tag`."""
        found = self.tagged.get(tag)
        if found is None:
            has_tag = self.chart.has_tag
            found = [r for r in self.residencies.values() if has_tag(r, tag)]
            self.tagged[tag] = found
        return found

    def _find_wanted(self):
        """Return the demands for adapters without a residency."""
        if self.wanted is None:
            self.wanted = [d for key, d in self.demands.items() if key not in self.residencies]
        return self.wanted

    def _merge_residency(self, key, state, version, ready_at, now):
        residency = self.residencies.get(key) or AdapterResidency(
            key, state, version, ready_at, now
        )
        if self.chart.has_tag(residency, "unload_pending") and state == "resident":
            return residency  # the unload still waits for runs to end
        residency.version = version or residency.version
        residency.state = state
        residency.is_fresh = state == "loading"
        return residency

    # Demand and use

    def add_demand(self, key, priority, due, node, now):
        """Record that a request of the node named `node` waits for `key`."""
        demand = self.demands.get(key)
        if demand is None:
            demand = self.demands[key] = LoadDemand(key, priority, due, now)
            self.wanted = None
        demand.due = max(demand.due, due)
        demand.priority = min(demand.priority, priority)
        demand.requested_at = now
        demand.nodes.add(node)

    def record_use(self, key, now):
        """Record that a request starts to use `key`."""
        residency = self.residencies.get(key)
        if residency is not None:
            residency.usage.add_use(now)
            residency.is_fresh = False

    def record_early_refusal(self, key, now):
        """Postpone the ready time of `key` after a request was refused at the expected time."""
        residency = self.residencies.get(key)
        if residency is None or not self.chart.has_tag(residency, "usable"):
            return
        if residency.is_replacement:
            wait_s = FIRST_REPLACED_WAIT_S * 2**residency.refusals
            residency.refusals += 1
            residency.ready_at = max(residency.ready_at, now + min(MAX_REPLACED_WAIT_S, wait_s))
        else:
            self.load_estimator.record_early_refusal(now - residency.accepted_at, residency.is_warm)
            residency.is_warm = False
            residency.ready_at = max(now, residency.accepted_at + self.load_estimator.cold_load_s)
        self.is_changed = True

    def apply_use_report(self, report, now):
        """Apply the use report of another node, unless a newer one is known."""
        for key in self.remote_uses.apply_report(report, now):
            self.record_use(key, now)

    def count_spare(self, engine, in_use, now):
        """Return the number of free or evictable adapter slots, minus the waiting demands.

        `in_use` has the `AdapterKey` of each adapter that runs of this node use.
        """
        idle = len(self._find_idle(in_use, now))
        free = self._find_capacity(engine) - len(self.residencies)
        return free + idle - len(self._find_wanted())

    def _find_idle(self, in_use, now):
        return [r for r in self._find_tagged("resident") if self._is_idle(r, in_use, now)]

    def _is_idle(self, residency, in_use, now):
        """Return whether a resident adapter may be evicted."""
        key = residency.key
        return (
            not (residency.is_fresh and now - residency.ready_at < UNUSED_GRACE_S)
            and key not in in_use
            and not self.remote_uses.is_used(key, now)
            and key not in self.demands
        )

    # Orders

    def complete_loads(self, now):
        """Mark adapters as resident whose expected load time has passed."""
        ready = [r for r in self._find_tagged("in_transit") if r.ready_at <= now]
        for residency in ready:
            self.chart.fire(residency, "ready")
        if ready:
            self._note_changed_residencies()

    def count_in_transit(self):
        """Return the number of adapters in transit to the backend server."""
        return len(self._find_tagged("in_transit"))

    def next_due(self):
        """Return the time (s) of the next change that no message triggers."""
        due = [self.not_before] if self.orders is None else []
        due += [r.ready_at for r in self._find_tagged("in_transit")]
        return min(due, default=inf)

    def decide(self, engine, published_versions, in_use, may_load_weights, now):
        """Return the next order or state read, or None.

        Parameters
        ----------
        engine : Engine
        published_versions : dict of AdapterKey to int
            Published version of each adapter.
        in_use : container of AdapterKey
            Adapters that runs of this node use.
        may_load_weights : callable
            ``() -> bool``: acquires the load of a base model from the load budget.
        now : float
        """
        self.complete_loads(now)
        self._drop_expired_demands(now)
        if self.pending is not None or now < self.not_before:
            return None
        if self.is_reading:
            if now - self.read_sent_at < READ_TIMEOUT_S:
                return None
            self.is_reading = False
        if self.orders is None or self.is_changing_weights or self._has_pending_unload():
            self.is_reading = True
            self.read_sent_at = now
            self.not_before = now
            return FetchEngineState(self.entry)
        model = self._find_missing_model(engine)
        if model is not None:
            return self._order(True, AdapterKey(model, ""), 0) if may_load_weights() else None
        return self._decide_adapter(engine, published_versions, in_use, now)

    def _has_pending_unload(self):
        return bool(self._find_tagged("unload_pending"))

    def _find_missing_model(self, engine):
        if self.models:
            return None
        fitting = [m for m in engine.models.values() if m.weights_mb <= engine.memory_mb]
        return fitting[0].name if fitting else None

    def _drop_expired_demands(self, now):
        for key in [k for k, d in self.demands.items() if now - d.requested_at > DEMAND_TTL_S]:
            del self.demands[key]
            self.wanted = None

    def _decide_adapter(self, engine, published_versions, in_use, now):
        for residency in self._find_tagged("resident"):
            newest = published_versions.get(residency.key, 0)
            if newest > residency.version:
                if not self._is_idle(residency, in_use, now):
                    return self._replace(residency, newest, now)
                return self._unload(residency, now)
        demands = self._find_wanted()
        in_transit = self._find_tagged("in_transit")
        if sum(not r.is_warm for r in in_transit) >= MAX_COLD_IN_TRANSIT:
            demands = [d for d in demands if d.key in self.recently_unloaded]
        if not demands or len(in_transit) >= MAX_IN_TRANSIT:
            return None
        is_full = len(self.residencies) >= self._find_capacity(engine)
        idle = self._find_idle(in_use, now) if is_full else []
        if is_full and not idle:
            return None  # most demands arrive while all adapters are in use
        demand = min(demands, key=lambda d: d.sort_key(now))
        if demand.key.model not in self.models or demand.key.model not in engine.models:
            return None
        if is_full:
            return self._evict(idle, now)
        return self._load(demand.key, published_versions.get(demand.key, 0), now)

    def _find_capacity(self, engine):
        if engine is not self.capacity_engine:
            self.capacity_engine = engine
            self.capacity = self._compute_capacity(engine)
        return self.capacity

    def _compute_capacity(self, engine):
        held = [engine.models[m] for m in self.models if m in engine.models]
        free_mb = engine.memory_mb - sum(m.weights_mb for m in held)
        largest = max((m.adapter_mb for m in held), default=0.0)
        fitting = int(free_mb / largest) if largest > 0 else engine.adapter_capacity
        return min(engine.adapter_capacity, fitting)

    def _load(self, key, version, now):
        residency = self.residencies[key] = AdapterResidency(
            key, self.chart.initial, version, inf, now
        )
        self._note_changed_residencies()
        residency.is_warm = self.recently_unloaded.pop(key, False)
        residency.load_s = self.load_estimator.estimate_load(residency.is_warm)
        return self._order(True, key, version)

    def _replace(self, residency, version, now):
        self.chart.fire(residency, "replace_sent")
        self._note_changed_residencies()
        residency.is_warm = False
        residency.is_replacement = True
        residency.refusals = 0
        residency.load_s = self.load_estimator.estimate_load(is_warm=False)
        self.is_changed = True
        return self._order(True, residency.key, version)

    def _evict(self, idle, now):
        by_name = {str(r.key): r for r in idle}
        order = self.eviction.sort_for_eviction([r.usage for r in by_name.values()], now)
        return self._unload(by_name[order[0].model], now)

    def _unload(self, residency, now):
        self.chart.fire(residency, "unload_sent")
        self._note_changed_residencies()
        self.is_changed = True
        return self._order(False, residency.key, 0)

    def _order(self, is_load, key, version):
        self.pending = ServerOrder(self.entry, is_load, key, version, self.orders, self.fence)
        return self.pending

    def handle_order_result(self, message, now):
        """Apply the response to the pending order."""
        if message.order is not self.pending:
            return
        self.pending = None
        self.is_changed = True
        residency = self.residencies.get(message.order.key)
        if message.status == 202:
            self._count_order(message.order)
            self._apply_accepted(message.order, residency, now)
        elif message.status == 200:
            # An immediate unload counts as an order; a load of an adapter that is held does not.
            if not message.order.is_load:
                self._count_order(message.order)
            self._apply_done(message.order, residency, now)
        else:
            self._apply_refused(message.order, residency)
            if message.status == 409:
                self.invalidate(now, message.order.orders + 1)
            elif message.status != 0:
                self.invalidate(now)
            self.not_before = max(self.not_before, now + REFUSED_PAUSE_S)
            # An order without a response may be executed late, but only until another one is
            # accepted. The next order has the same number, so its response shows which one was.
        self._note_changed_residencies()

    def _count_order(self, order):
        if self.orders is not None:
            self.orders += 1
        else:  # a request was refused while the order was on its way, see `invalidate`
            self.min_orders = max(self.min_orders, order.orders + 1)

    def _apply_accepted(self, order, residency, now):
        if not order.key.adapter:
            self.is_changing_weights = True
            self.not_before = now + REPORT_LAG_S
        elif residency is not None:
            self.chart.fire(residency, "accepted" if order.is_load else "unload_queued")
            residency.version = order.version if order.is_load else residency.version
            residency.accepted_at = now
            residency.ready_at = now + residency.load_s
            if not order.is_load:
                # The server accepts no other order until the runs of the adapter have ended.
                self.not_before = now + REPORT_LAG_S

    def _apply_done(self, order, residency, now):
        if not order.key.adapter:
            self.models.add(order.key.model)
            self.capacity_engine = None
        elif order.is_load and residency is not None:
            self.chart.fire(residency, "accepted")
            residency.version = order.version
            residency.ready_at = now
        elif residency is not None:
            self.chart.fire(residency, "unloaded")
            del self.residencies[residency.key]
            self._remember(residency.key)

    def _apply_refused(self, order, residency):
        if residency is not None:
            self.chart.fire(residency, "refused")
            if not self.chart.has_tag(residency, "occupied"):
                del self.residencies[residency.key]

    def _remember(self, key):
        self.recently_unloaded[key] = True
        while len(self.recently_unloaded) > self.load_estimator.warm_adapter_limit:
            del self.recently_unloaded[next(iter(self.recently_unloaded))]

    def find_usable(self):
        """Return the residencies that are loaded or in transit."""
        return self._find_tagged("usable")


def load_residency_chart():
    """Return the chart ``fleet_residency``."""
    return load_chart("fleet_residency", OrderScheduler)
