"""What one backend server holds, and which order it gets next."""

from math import inf

from medlarbeam.algorithms.eviction import AdapterUse, DecayedUseEviction
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.gateway_effects import ReadState, ServerOrder

__all__ = ["OrderDesk", "Place", "Want", "load_place_chart"]

# A replaced adapter loads once the runs of its older version have ended, in half a second usually.
# Each request that comes before that is refused and takes a part of the budget for repeats.
FIRST_REPLACED_WAIT_S = 0.15
MAX_REPLACED_WAIT_S = 0.6
IN_TRANSIT = 4  # adapters that may be on their way to one backend server
# Those of them that come from the weight store: more over all backend servers slow each other.
COLD_IN_TRANSIT = 3
REPORT_LAG_S = 0.4  # a report describes the engine some hundred ms ago
REFUSED_S = 0.02  # pause after an order that was not accepted
REREAD_S = 0.08  # pause before a report that may be too old is asked for again
ANSWER_LIMIT_S = 2.0  # then the answer to a report is taken to be lost
WANT_S = 0.6  # a demand that is not repeated for this long is dropped
FIRST_USE_S = 0.15  # an adapter that was loaded so lately is kept for the request that waits
USE_LIFE_S = 1.5  # a report of use that is not renewed for this long does not count


class Place:
    """An adapter on a backend server.

    Attributes
    ----------
    state : str
        Of the chart ``place``.
    version : int
        0 while it is not known.
    ready_at, load_s : float
        Time (s) from which it should be loaded, and how long that takes.
    is_warm : bool
        Whether the engine held it lately, so that it loads without the weight store.
    is_replaced : bool
        Whether its load also has to wait for the runs of an older version.
    refusals : int
        Requests that found it missing since then.
    accepted_at : float
        Time (s) of the answer to the order that loads it.
    use : AdapterUse
        For the eviction policy.
    is_fresh : bool
        Whether no request has used it yet.
    """

    __slots__ = (
        "accepted_at",
        "is_fresh",
        "is_replaced",
        "is_warm",
        "key",
        "load_s",
        "ready_at",
        "refusals",
        "state",
        "use",
        "version",
    )

    def __init__(self, key, state, version, ready_at, now):
        self.key = key
        self.state = state
        self.version = version
        self.ready_at = ready_at
        self.load_s = 0.0
        self.is_warm = False
        self.is_replaced = False
        self.refusals = 0
        self.accepted_at = now
        self.use = AdapterUse(str(key), 1.0, now)
        self.is_fresh = True


class Want:
    """A demand for an adapter.

    Attributes
    ----------
    nodes : set of str
        Nodes whose requests wait.
    priority : int
        The most urgent of them.
    due : float
        Time (s) until which one of them can be on time.
    asked_at : float
    """

    __slots__ = ("asked_at", "due", "key", "nodes", "priority")

    def __init__(self, key, priority, due, now):
        self.nodes = set()
        self.key = key
        self.priority = priority
        self.due = due
        self.asked_at = now

    def order(self, now):
        """Return the sort key: what can be on time first, by priority, then the others."""
        return (self.due < now, self.priority, self.due)


class RemoteUse:
    """The adapters that the requests of another node use."""

    __slots__ = ("at", "keys", "running", "serial")

    def __init__(self, keys, serial, running, now):
        self.keys = keys
        self.serial = serial
        self.running = running
        self.at = now


class OrderDesk:
    """The state of one backend server, as the node that orders it believes.

    Parameters
    ----------
    entry : ServerEntry
    fence : int
    chart : Chart
    load_times : LoadTimes

    Notes
    -----
    Each order names the number of orders that the backend server must have accepted. So an order
    is carried out only if the belief it rests on is true, also when it arrives late, and the
    places are never exceeded. After an answer that is lost or a refusal the state is read again.
    """

    __slots__ = (
        "asked_at",
        "chart",
        "doubted_at",
        "entry",
        "eviction",
        "fence",
        "is_busy",
        "is_changed",
        "is_reading",
        "least_orders",
        "load_times",
        "models",
        "not_before",
        "orders",
        "pending",
        "places",
        "recent",
        "remote",
        "serial",
        "told",
        "told_runs",
        "wants",
    )

    def __init__(self, entry, fence, chart, load_times, now):
        self.entry = entry
        self.fence = fence
        self.chart = chart
        self.load_times = load_times
        self.eviction = DecayedUseEviction()
        self.orders = None
        self.least_orders = 0
        self.doubted_at = -inf
        self.models = set()
        self.places = {}
        self.recent = {}
        self.wants = {}
        self.remote = {}
        self.pending = None
        self.is_busy = False
        self.is_reading = False
        self.is_changed = True
        self.asked_at = -inf
        self.not_before = now
        self.serial = 0
        self.told = None
        self.told_runs = 0

    # Knowledge

    def doubt(self, now, least_orders=0):
        """Forget the number of orders; a report is believed once it is new enough.

        A report with `least_orders` is surely newer than what is doubted.
        """
        self.orders = None
        self.least_orders = least_orders
        self.doubted_at = now
        self.not_before = max(self.not_before, now)

    def take_state(self, state, now):
        """Take what the backend server reports; `state` may be None."""
        self.is_reading = False
        if state is None or self.pending is not None:
            self.not_before = now + REPORT_LAG_S
            return
        if self.orders is not None and state.orders < self.orders:
            return  # older than the last order
        is_old = state.orders < self.least_orders
        if self.orders is None and is_old and now - self.doubted_at < REPORT_LAG_S:
            self.not_before = now + REREAD_S
            return
        self.orders = state.orders
        self.models = set(state.models)
        self.is_busy = state.is_busy
        places = {}
        for key, version in state.adapters.items():
            places[key] = self._keep(key, "resident", version, now, now)
        for key, version in state.coming.items():
            places[key] = self._keep(key, "coming", version, now + self.load_times.cold_s, now)
        self.places = places
        self.is_changed = True
        if state.is_busy or self._has_leaving():
            self.not_before = now + REPORT_LAG_S

    def _keep(self, key, state, version, ready_at, now):
        place = self.places.get(key) or Place(key, state, version, ready_at, now)
        if self.chart.has_tag(place, "leaving") and state == "resident":
            return place  # it still waits for its runs
        place.version = version or place.version
        place.state = state
        place.is_fresh = state == "coming"
        return place

    # Demand and use

    def want(self, key, priority, due, node, now):
        """Note that a request of the node named `node` waits for `key`."""
        want = self.wants.get(key)
        if want is None:
            want = self.wants[key] = Want(key, priority, due, now)
        want.due = max(want.due, due)
        want.priority = min(want.priority, priority)
        want.asked_at = now
        want.nodes.add(node)

    def use(self, key, now):
        """Note that a request begins to use `key`."""
        place = self.places.get(key)
        if place is not None:
            place.use.count(now)
            place.is_fresh = False

    def note_early(self, key, now):
        """Note that a request found `key` still missing when it should have been loaded."""
        place = self.places.get(key)
        if place is None or not self.chart.has_tag(place, "usable"):
            return
        if place.is_replaced:
            wait_s = FIRST_REPLACED_WAIT_S * 2**place.refusals
            place.refusals += 1
            place.ready_at = max(place.ready_at, now + min(MAX_REPLACED_WAIT_S, wait_s))
        else:
            self.load_times.note_early(now - place.accepted_at, place.is_warm)
            place.is_warm = False
            place.ready_at = max(now, place.accepted_at + self.load_times.cold_s)
        self.is_changed = True

    def take_use(self, report, now):
        """Take the adapters that the requests of another node use."""
        known = self.remote.get(report.node)
        if known is not None and known.serial > report.serial and now - known.at < USE_LIFE_S:
            return
        keys = set(report.keys)
        for key in keys - (known.keys if known is not None else set()):
            self.use(key, now)
        self.remote[report.node] = RemoteUse(keys, report.serial, report.running, now)

    def is_used(self, key, now):
        """Return whether requests of other nodes use `key`."""
        return any(key in use.keys and now - use.at < USE_LIFE_S for use in self.remote.values())

    def count_remote_runs(self, now):
        """Return the number of requests of other nodes that run there."""
        return sum(use.running for use in self.remote.values() if now - use.at < USE_LIFE_S)

    def spare(self, engine, in_use, now):
        """Return the places that could be had at once, less the demands that wait."""
        waiting = sum(1 for key in self.wants if key not in self.places)
        idle = sum(1 for p in self.places.values() if self._is_idle(p, in_use, now))
        return self._capacity(engine) - len(self.places) + idle - waiting

    def _is_idle(self, place, in_use, now):
        return (
            self.chart.has_tag(place, "resident")
            and not (place.is_fresh and now - place.ready_at < FIRST_USE_S)
            and not in_use(place.key)
            and not self.is_used(place.key, now)
            and place.key not in self.wants
        )

    # Orders

    def settle(self, now):
        """Let adapters become resident whose time has come."""
        for place in self.places.values():
            if place.ready_at <= now and self.chart.has_tag(place, "in_transit"):
                self.chart.fire(place, "ready")

    def count_in_transit(self):
        """Return the adapters on their way to the backend server."""
        return sum(1 for p in self.places.values() if self.chart.has_tag(p, "in_transit"))

    def next_due(self):
        """Return the time (s) of the next thing that only time brings about."""
        due = [self.not_before] if self.orders is None else []
        due += [p.ready_at for p in self.places.values() if self.chart.has_tag(p, "in_transit")]
        return min(due, default=inf)

    def decide(self, engine, releases, in_use, may_load_weights, now):
        """Return the next effect, or None.

        Parameters
        ----------
        engine : Engine
        releases : dict of AdapterKey to int
        in_use : callable
            ``(AdapterKey) -> bool``: whether a request of this node runs with it.
        may_load_weights : callable
            ``() -> bool``: takes a load of weights out of the budget.
        now : float
        """
        self.settle(now)
        self._drop_wants(now)
        if self.pending is not None or now < self.not_before:
            return None
        if self.is_reading:
            if now - self.asked_at < ANSWER_LIMIT_S:
                return None
            self.is_reading = False
        if self.orders is None or self.is_busy or self._has_leaving():
            self.is_reading = True
            self.asked_at = now
            self.not_before = now
            return ReadState(self.entry)
        model = self._find_missing_model(engine)
        if model is not None:
            return self._order(True, AdapterKey(model, ""), 0) if may_load_weights() else None
        return self._decide_adapter(engine, releases, in_use, now)

    def _has_leaving(self):
        return any(self.chart.has_tag(p, "leaving") for p in self.places.values())

    def _find_missing_model(self, engine):
        if self.models:
            return None
        fitting = [m for m in engine.models.values() if m.weights_mb <= engine.memory_mb]
        return fitting[0].name if fitting else None

    def _drop_wants(self, now):
        for key in [k for k, w in self.wants.items() if now - w.asked_at > WANT_S]:
            del self.wants[key]

    def _decide_adapter(self, engine, releases, in_use, now):
        for place in self.places.values():
            newest = releases.get(place.key, 0)
            if newest > place.version and self.chart.has_tag(place, "resident"):
                if not self._is_idle(place, in_use, now):
                    return self._replace(place, newest, now)
                return self._unload(place, now)
        coming = [p for p in self.places.values() if self.chart.has_tag(p, "in_transit")]
        cold = sum(1 for p in coming if not p.is_warm)
        wants = [
            w
            for w in self.wants.values()
            if w.key not in self.places and (cold < COLD_IN_TRANSIT or w.key in self.recent)
        ]
        if not wants or len(coming) >= IN_TRANSIT:
            return None
        want = min(wants, key=lambda w: w.order(now))
        if want.key.model not in self.models or want.key.model not in engine.models:
            return None
        if len(self.places) < self._capacity(engine):
            return self._load(want.key, releases.get(want.key, 0), now)
        return self._evict(in_use, now)

    def _capacity(self, engine):
        held = [engine.models[m] for m in self.models if m in engine.models]
        free_mb = engine.memory_mb - sum(m.weights_mb for m in held)
        largest = max((m.adapter_mb for m in held), default=0.0)
        fitting = int(free_mb / largest) if largest > 0 else engine.adapter_places
        return min(engine.adapter_places, fitting)

    def _load(self, key, version, now):
        place = self.places[key] = Place(key, self.chart.initial, version, inf, now)
        place.is_warm = self.recent.pop(key, False)
        place.load_s = self.load_times.begin_load(place.is_warm)
        return self._order(True, key, version)

    def _replace(self, place, version, now):
        self.chart.fire(place, "replace_sent")
        place.is_warm = False
        place.is_replaced = True
        place.refusals = 0
        place.load_s = self.load_times.begin_load(is_warm=False)
        self.is_changed = True
        return self._order(True, place.key, version)

    def _evict(self, in_use, now):
        idle = {str(p.key): p for p in self.places.values() if self._is_idle(p, in_use, now)}
        order = self.eviction.order([p.use for p in idle.values()], now)
        return self._unload(idle[order[0].model], now) if order else None

    def _unload(self, place, now):
        self.chart.fire(place, "unload_sent")
        self.is_changed = True
        return self._order(False, place.key, 0)

    def _order(self, is_load, key, version):
        self.pending = ServerOrder(self.entry, is_load, key, version, self.orders, self.fence)
        return self.pending

    def take_answer(self, message, now):
        """Take the answer to the pending order."""
        if message.order is not self.pending:
            return
        self.pending = None
        self.is_changed = True
        place = self.places.get(message.order.key)
        if message.status == 202:
            self.orders += 1
            self._accept(message.order, place, now)
        elif message.status == 200:
            # An unload that is done at once counts as an order, a load that held already does not.
            self.orders += 0 if message.order.is_load else 1
            self._finish(message.order, place, now)
        else:
            self._drop(message.order, place)
            if message.status == 409:
                self.doubt(now, message.order.orders + 1)
            elif message.status != 0:
                self.doubt(now)
            self.not_before = max(self.not_before, now + REFUSED_S)
            # An order without an answer may be carried out late, but only while no other one was
            # accepted; the next order has the same number and shows which of them it was.

    def _accept(self, order, place, now):
        if not order.key.adapter:
            self.is_busy = True
            self.not_before = now + REPORT_LAG_S
        elif place is not None:
            self.chart.fire(place, "accepted" if order.is_load else "unload_queued")
            place.version = order.version if order.is_load else place.version
            place.accepted_at = now
            place.ready_at = now + place.load_s
            if not order.is_load:
                # It takes no other order until the runs of the adapter have ended.
                self.not_before = now + REPORT_LAG_S

    def _finish(self, order, place, now):
        if not order.key.adapter:
            self.models.add(order.key.model)
        elif order.is_load and place is not None:
            self.chart.fire(place, "accepted")
            place.version = order.version
            place.ready_at = now
        elif place is not None:
            self.chart.fire(place, "unloaded")
            del self.places[place.key]
            self._remember(place.key)

    def _drop(self, order, place):
        if place is not None:
            self.chart.fire(place, "refused")
            if not self.chart.has_tag(place, "occupied"):
                del self.places[place.key]

    def _remember(self, key):
        self.recent[key] = True
        while len(self.recent) > self.load_times.warm_count:
            del self.recent[next(iter(self.recent))]

    def usable(self):
        """Return the places that requests may use now or soon."""
        return [p for p in self.places.values() if self.chart.has_tag(p, "usable")]


def load_place_chart():
    """Return the chart ``place``."""
    return load_chart("place", OrderDesk)
