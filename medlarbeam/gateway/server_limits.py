"""Request rates that backend servers name, kept by all gateways together."""

from math import inf

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_messages import NodeDatagram
from medlarbeam.classes.peer_messages import RateLimitReport, ServerRate
from medlarbeam.node.component import Component

__all__ = ["ServerLimits"]

MIN_NODE_RATE = 1.0  # requests per second; a lower limit is divided among fewer nodes
MAX_TOKENS = 1.5  # of a node; a request needs one
NAMED_S = 5.0  # after which a limit that no node has heard of again is dropped
FIRST_REPORT_S = 0.02
REPORT_INTERVAL_S = 1.0
REPORT_STEP_S = 0.5  # between the nodes that may report a server's limit, in hash order
MIN_CHANGE = 0.1  # relative change of a limit that is reported at once
RANK_INTERVAL_S = 1.0  # in which a change of the nodes is taken into account
MAX_REPORTED = 32  # limits in a datagram


class RateLimit:
    """The limit of one backend server, and this node's share of it as a token bucket.

    Attributes
    ----------
    state : str
        State of the chart ``server_limit``.
    rate : float
        Requests per second from all nodes together.
    share : float
        Requests per second from this node.
    rank : int
        Position of this node among those that may use the server, in hash order.
    ranked_at : float
        Time (s) at which `rank` was determined.
    tokens : float
        Requests that this node may send at `refilled_at` (s).
    heard_at : float
        Time (s) of the last response or report that named it.
    observed_at : float
        Time (s) of the last response to this node that named it.
    report_at : float
        Time (s) of the next report to the other nodes.
    """

    __slots__ = (
        "heard_at",
        "observed_at",
        "rank",
        "ranked_at",
        "rate",
        "refilled_at",
        "report_at",
        "server",
        "share",
        "state",
        "tokens",
    )

    def __init__(self, server, state, now):
        self.server = server
        self.state = state
        self.rate = 0.0
        self.share = 0.0
        self.rank = 0
        self.ranked_at = -inf
        self.tokens = 0.0
        self.refilled_at = now
        self.heard_at = now
        self.observed_at = -inf
        self.report_at = inf

    def refill(self, now):
        """Add the tokens since the last refill and return their number."""
        tokens = self.tokens + self.share * (now - self.refilled_at)
        self.tokens = min(MAX_TOKENS, tokens)
        self.refilled_at = now
        return self.tokens


class ServerLimits(Component):
    """Keeps the limits that backend servers name, by server.

    A limit is divided equally among the first nodes in rendezvous hash order for the server, as
    many as get `MIN_NODE_RATE` each. The other nodes do not use the server. Nodes report a limit
    to each other, so that a node that sends nothing to a server knows when its limit ends.

    Attributes
    ----------
    limits : dict of str to RateLimit
        By backend server.
    ended : set of str
        Backend servers whose limits have ended since the last report.
    report_at : float
        Time (s) of the next report or expiry.
    version : int
        Incremented whenever a backend server begins or ceases to name a limit.
    """

    __slots__ = ("chart", "ended", "limits", "report_at", "version")

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("server_limit", ServerLimits)
        self.limits = {}
        self.ended = set()
        self.report_at = inf
        self.version = 0

    def handlers(self):
        """Return the handler method of each message class."""
        return {NodeDatagram: self.handle_datagram}

    def is_limited(self, server):
        """Return whether a backend server names a limit."""
        return server in self.limits

    def may_send(self, server, now):
        """Return whether a request may be sent to a backend server."""
        limit = self.limits.get(server)
        return limit is None or limit.refill(now) >= 1.0

    def find_token_wait(self, server, now):
        """Return the time (s) until a request may be sent to a backend server."""
        limit = self.limits.get(server)
        missing = 0.0 if limit is None else 1.0 - limit.refill(now)
        if missing <= 0.0:
            return 0.0
        return missing / limit.share if limit.share else inf

    def find_interval(self, server):
        """Return the mean time (s) between two requests to a backend server, 0 without a limit."""
        limit = self.limits.get(server)
        if limit is None:
            return 0.0
        return 1.0 / limit.share if limit.share else inf

    def record_send(self, server, now):
        """Count a request that is sent to a backend server."""
        limit = self.limits.get(server)
        if limit is not None:
            limit.tokens = limit.refill(now) - 1.0

    def observe(self, server, rate, now):
        """Record the limit in a response of a backend server; None if it names none."""
        limit = self.limits.get(server)
        if rate is None:
            if limit is not None:
                self.ended.add(server)
                self._schedule(now + FIRST_REPORT_S)
                self.chart.fire(limit, "ended", self, now)
            return
        is_changed = limit is None or abs(rate - limit.rate) > MIN_CHANGE * limit.rate
        limit = self._set(server, rate, now)
        limit.observed_at = now
        if is_changed:
            limit.report_at = now + FIRST_REPORT_S
        elif limit.report_at == inf:
            limit.report_at = now + REPORT_INTERVAL_S + limit.rank * REPORT_STEP_S
        self._schedule(limit.report_at)

    def _schedule(self, at):
        self.report_at = min(self.report_at, at)

    def _set(self, server, rate, now):
        limit = self.limits.get(server)
        if limit is None:
            limit = self.limits[server] = RateLimit(server, self.chart.initial, now)
            self.version += 1
        limit.refill(now)
        limit.rate = rate
        names = {*self.node.fleet.nodes, self.node.settings.name}
        if limit.ranked_at < now - RANK_INTERVAL_S:
            limit.ranked_at = now
            limit.rank = rank_servers(server, names).index(self.node.settings.name)
        users = max(1, min(len(names), int(rate / MIN_NODE_RATE)))
        limit.share = rate / users if limit.rank < users else 0.0
        limit.heard_at = now
        self._schedule(now + NAMED_S)
        self.chart.fire(limit, "named", self, now)
        return limit

    def handle_datagram(self, message, now, out):
        """Apply the limits that another node has seen."""
        if not isinstance(message.body, RateLimitReport):
            return
        for item in message.body.limits:
            limit = self.limits.get(item.server)
            if item.rate >= 0.0:
                limit = self._set(item.server, item.rate, now)
                limit.report_at = inf  # set again by this node's next response of the server
            elif limit is not None and limit.observed_at <= now - item.age_s:
                self.chart.fire(limit, "ended", self, now)

    def next_deadline(self):
        """Return the time (s) of the next report or expiry."""
        return self.report_at

    def tick(self, now, out):
        """Report limits that are due, and drop those that nobody has heard of."""
        items = [ServerRate(server, -1.0, 0.0) for server in sorted(self.ended)]
        self.ended.clear()
        for limit in list(self.limits.values()):
            if limit.heard_at <= now - NAMED_S:
                out.emit(LogEvent("rate_limit_ended", f"server={limit.server} unheard"))
                self.chart.fire(limit, "expire", self, now)
            elif limit.report_at <= now:
                limit.report_at = inf
                age_s = now - limit.observed_at
                items.append(ServerRate(limit.server, limit.rate, age_s))
        for start in range(0, len(items), MAX_REPORTED):
            self._report(items[start : start + MAX_REPORTED], out)
        self.report_at = min(
            (min(k.report_at, k.heard_at + NAMED_S) for k in self.limits.values()), default=inf
        )

    def _report(self, items, out):
        text = " ".join(f"{item.server}={item.rate:.2f}" for item in items)
        out.emit(LogEvent("rate_limits", text))
        self.node.fleet.broadcast(RateLimitReport(self.node.settings.name, items), out)

    # Actions of the chart

    def remove(self, limit, now):
        """Forget a limit."""
        del self.limits[limit.server]
        self.version += 1
