"""Orders to the backend servers that this node has the right to order."""

from math import inf

from medlarbeam.algorithms.load_budget import SharedLoadBudget
from medlarbeam.algorithms.load_times import LoadTimes
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import NodeDatagram, OrderAnswered, StateRead
from medlarbeam.classes.peer_messages import (
    AdapterDemand,
    AdapterHolding,
    EarlyRefusal,
    HoldingReport,
    UseReport,
)
from medlarbeam.classes.requests import Rank
from medlarbeam.gateway.order_desk import OrderDesk, load_place_chart
from medlarbeam.node.component import Component

__all__ = ["Orders"]

REVIEW_S = 0.1
# A new holder reads the state once the orders of the process before it have surely arrived.
FIRST_READ_S = 0.05
# Changes within this time are told to the nodes of the pool together; a node whose request waits
# for an adapter is told at once.
SPREAD_S = 0.1
# A right and its fencing number outlive this process and a start of the engine, so the serials of
# reports have to go on from those before: incarnations are milliseconds, and a node sends far fewer
# reports than this in one.
SERIALS_PER_INCARNATION = 1 << 20
TOLD_RUNS = 3  # change of the requests on a backend server that is worth a report
REFRESH_S = 2.0  # full report to the nodes of the pool, against lost datagrams
FAR_REFRESH_S = 6.0  # and to all nodes, which need it when their own pool fails


class Orders(Component):
    """Keeps an `OrderDesk` for each backend server that this node orders."""

    __slots__ = (
        "budget",
        "changed",
        "chart",
        "desks",
        "far_at",
        "load_times",
        "refresh_at",
        "review_at",
        "serial",
        "spread_at",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_place_chart()
        self.desks = {}
        self.load_times = LoadTimes()
        self.serial = node.settings.incarnation * SERIALS_PER_INCARNATION
        self.budget = None
        self.changed = set()
        self.review_at = 0.0
        self.spread_at = inf
        self.refresh_at = 0.0
        self.far_at = 0.0

    def handlers(self):
        """Return the methods by message class."""
        return {
            OrderAnswered: self.take_answer,
            StateRead: self.take_state,
            NodeDatagram: self.take_datagram,
        }

    def take_datagram(self, message, now, out):
        """Take a demand or a report of use of another node."""
        body = message.body
        if isinstance(body, AdapterDemand):
            self.demand(
                body.server, body.key, body.priority, now + body.due_in_s, body.node, now, out
            )
            self._tell(body.server, body.key, {body.node}, now, out)
        elif isinstance(body, UseReport) and body.server in self.desks:
            desk = self.desks[body.server]
            desk.take_use(body, now)
            if desk.wants:
                self._act(desk, now, out)
        elif isinstance(body, EarlyRefusal):
            self.note_early(body.server, body.key, now, out)
            self._tell(body.server, body.key, {body.node}, now, out)

    def demand(self, server, key, priority, due, node, now, out):
        """Note that a request of `node` waits for `key` on `server`; order it if possible."""
        desk = self.desks.get(server)
        if desk is not None:
            desk.want(key, priority, due, node, now)
            self._act(desk, now, out)

    def _tell(self, server, key, nodes, now, out):
        """Tell `nodes` whether `server` holds an adapter or will."""
        desk = self.desks.get(server)
        if desk is None:
            return
        place = desk.places.get(key)
        holdings = []
        if place is not None and self.chart.has_tag(place, "usable"):
            holdings = [AdapterHolding(key, place.version, max(0.0, place.ready_at - now))]
        self._send(self._build_report(desk, now, holdings, [], True), nodes, out)

    def _send(self, report, nodes, out):
        for name in nodes:
            peer = self.node.book.nodes.get(name)
            if peer is not None and name != self.node.settings.name:
                out.emit(SendDatagram(peer.address, report))

    def doubt(self, server, key, now, out):
        """Note that `server` said that it does not hold `key`."""
        desk = self.desks.get(server)
        if desk is not None and key in desk.places:
            out.emit(LogEvent("place_doubted", f"server={server} adapter={key}"))
            desk.doubt(now)

    def note_early(self, server, key, now, out):
        """Pass it on that `server` did not hold `key` yet when it should have."""
        desk = self.desks.get(server)
        holder = self.node.rights.find_holder(server)
        if desk is not None:
            desk.note_early(key, now)
            self._act(desk, now, out)
        elif holder and holder != self.node.settings.name:
            early = EarlyRefusal(self.node.settings.name, server, key)
            out.emit(SendDatagram(self.node.book.nodes[holder].address, early))

    def use(self, server, key, now):
        """Note that a request of this node begins to use `key` on `server`."""
        desk = self.desks.get(server)
        if desk is not None:
            desk.use(key, now)

    def end_use(self, server, now, out):
        """Note that a request of this node has ended on `server`, which may free a place."""
        desk = self.desks.get(server)
        if desk is not None and desk.wants:
            self._act(desk, now, out)

    def take_answer(self, message, now, out):
        """Take the answer to an order."""
        order = message.order
        out.emit(
            LogEvent(
                "order_answered",
                f"server={order.server.name} op={'load' if order.is_load else 'unload'} "
                f"adapter={order.key} version={order.version} orders={order.orders} "
                f"fence={order.fence} status={message.status} reason={message.reason}",
            )
        )
        desk = self.desks.get(order.server.name)
        if desk is not None:
            want = desk.wants.get(order.key)
            desk.take_answer(message, now)
            if want is not None and order.is_load:
                self._tell(order.server.name, order.key, want.nodes, now, out)
            self._act(desk, now, out)

    def take_state(self, message, now, out):
        """Take the report of a backend server."""
        desk = self.desks.get(message.server)
        if desk is not None:
            if message.state is None:
                out.emit(LogEvent("state_unread", f"server={message.server} {message.reason}"))
            desk.take_state(message.state, now)
            self._act(desk, now, out)

    def count_in_transit(self):
        """Return the adapters on their way to the backend servers that this node orders."""
        return sum(desk.count_in_transit() for desk in self.desks.values())

    def _act(self, desk, now, out):
        fence = self.node.rights.find_fence(desk.entry.name, now)
        engine = self.node.book.find_engine(desk.entry)
        if fence == desk.fence and engine is not None:
            effect = desk.decide(
                engine,
                self.node.book.releases,
                self._own_use(desk),
                lambda: self._take_load(engine, now),
                now,
            )
            if effect is not None:
                out.emit(effect)
        if desk.is_changed:
            self._publish(desk, now)

    def _own_use(self, desk):
        return lambda key: self.node.uses.is_in_use(desk.entry.name, key)

    def _publish(self, desk, now):
        """Take a change of a desk over at once, and note that the other nodes have to hear it."""
        desk.is_changed = False
        self.serial += 1
        desk.serial = self.serial
        self.node.holdings.take_report(self._build_full_report(desk, now), now)
        self.changed.add(desk.entry.name)
        self.spread_at = min(self.spread_at, now + SPREAD_S)

    def _take_load(self, engine, now):
        if self.budget is None:
            rate = engine.loads_per_s
            self.budget = SharedLoadBudget(rate, max(1, int(rate)), burst=max(1.0, rate))
        share = len(self.desks) / max(1, len(self.node.book.servers))
        in_flight = sum(1 for d in self.desks.values() if d.is_busy)
        return self.budget.try_take(share, in_flight, Rank.URGENT, now)

    def _build_full_report(self, desk, now):
        holdings = [
            AdapterHolding(p.key, p.version, max(0.0, p.ready_at - now)) for p in desk.usable()
        ]
        return self._build_report(desk, now, holdings, [], False)

    def _build_report(self, desk, now, holdings, removed, is_partial):
        engine = self.node.book.find_engine(desk.entry)
        spare = desk.spare(engine, self._own_use(desk), now) if engine else 0
        name = self.node.settings.name
        return HoldingReport(
            name,
            desk.entry.name,
            desk.fence,
            desk.serial,
            holdings,
            removed,
            spare,
            is_partial,
            self._count_runs(desk, now),
        )

    def _count_runs(self, desk, now):
        return self.node.stats.count_open(desk.entry.name) + desk.count_remote_runs(now)

    def next_deadline(self):
        """Return the time of the next review or report."""
        return min(self.review_at, self.spread_at, self.refresh_at)

    def tick(self, now, out):
        """Review the desks and tell the other nodes what has changed."""
        if self.review_at <= now:
            self._match_rights(now, out)
            self._note_loads(now)
            due = inf
            for desk in self.desks.values():
                self._act(desk, now, out)
                due = min(due, desk.next_due())
            self.review_at = min(now + REVIEW_S, max(due, now + 0.005))
        if min(self.spread_at, self.refresh_at) <= now:
            self._spread(now, out)

    def _note_loads(self, now):
        """Have the nodes of the pool told of backend servers whose load has changed."""
        for desk in self.desks.values():
            if abs(self._count_runs(desk, now) - desk.told_runs) >= TOLD_RUNS:
                desk.is_changed = True

    def _match_rights(self, now, out):
        book = self.node.book
        for name, known in book.servers.items():
            fence = self.node.rights.find_fence(name, now) if known.stop_at > now else 0
            desk = self.desks.get(name)
            if desk is not None and desk.entry.born_ms != known.entry.born_ms:
                desk = None  # it has started again, empty
            if fence and (desk is None or desk.fence != fence):
                self.desks[name] = OrderDesk(
                    known.entry, fence, self.chart, self.load_times, now + FIRST_READ_S
                )
                out.emit(LogEvent("right_held", f"server={name} fence={fence}"))
            elif not fence and desk is not None and known.stop_at <= now:
                del self.desks[name]
                out.emit(LogEvent("right_unused", f"server={name}"))

    def _spread(self, now, out):
        """Tell the pool what has changed, and now and then everything."""
        self.spread_at = inf
        changed, self.changed = self.changed, set()
        is_refresh = now >= self.refresh_at
        if is_refresh:
            self.refresh_at = now + REFRESH_S
        is_far = now >= self.far_at
        if is_far:
            self.far_at = now + FAR_REFRESH_S
        pool = self.node.find_pool_nodes()
        for name, desk in self.desks.items():
            # The first report of a desk replaces what was told of an earlier start of the engine.
            if is_refresh or name in changed and desk.told is None:
                nodes = list(self.node.book.nodes) if is_far else pool
                desk.told = {p.key: p.ready_at for p in desk.usable()}
                desk.told_runs = self._count_runs(desk, now)
                self._send(self._build_full_report(desk, now), nodes, out)
            elif name in changed:
                self._send_changes(desk, pool, now, out)

    def _send_changes(self, desk, nodes, now, out):
        usable = {p.key: p for p in desk.usable()}
        added = [p for p in usable.values() if desk.told.get(p.key) != p.ready_at]
        removed = [key for key in desk.told if key not in usable]
        desk.told = {p.key: p.ready_at for p in usable.values()}
        runs = self._count_runs(desk, now)
        if added or removed or abs(runs - desk.told_runs) >= TOLD_RUNS:
            desk.told_runs = runs
            holdings = [AdapterHolding(p.key, p.version, max(0.0, p.ready_at - now)) for p in added]
            self._send(self._build_report(desk, now, holdings, removed, True), nodes, out)
