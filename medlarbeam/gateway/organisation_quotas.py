"""Quotas of organisations, kept by all nodes together."""

from math import inf

from medlarbeam.algorithms.quota_shares import divide_quota
from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import SendDatagram
from medlarbeam.classes.gateway_messages import (
    CallerDisconnected,
    ConfigFetched,
    EntryUpdated,
    NodeDatagram,
    StoreSnapshot,
)
from medlarbeam.classes.peer_messages import (
    CreditCall,
    CreditGrant,
    CreditItem,
    CreditOffer,
    CreditRequest,
)
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.gateway.admission import refuse
from medlarbeam.gateway.organisation_credit import (
    MAX_RETRY_AFTER_S,
    CreditAsk,
    CreditStock,
    OrganisationCredit,
)
from medlarbeam.node.component import Component

__all__ = ["OrganisationQuotas"]

ANSWER_S = 0.03  # in which a holder answers, which waits up to `OFFER_S` itself
OFFER_S = 0.012  # in which nodes hand in their credit when they are called
CALL_INTERVAL_S = 0.2  # between calls of a holder that has no credit
FILL_INTERVAL_S = 1.0  # between calls of a holder that has some
MAX_SILENT_HOLDERS = 2  # after which a node is its own holder
SILENT_S = 2.0  # for which a node that did not answer is not asked
CLOSED_S = 0.05  # in which requests are refused at once after the holder had no credit
SCARCE_S = 2.0  # after a refusal, in which the holder decides on each request
MAX_ASKED = 64  # requests in a datagram
MAX_CALLED = 100  # nodes at a time, which bounds what a call costs the holder in a large fleet
# Without other nodes in the store, credit begins to accrue this long after the start, when the node
# knows them.
LONE_START_S = 1.0
COUNT_INTERVAL_S = 1.0
# A node that is cut off from the store loses its registration and still spends its share.
ABSENT_S = 12.0
RANK_INTERVAL_S = 1.0
# A request that has not run gives its cost back. Later than this, what was spent since its arrival
# could fill a window together with what is given back.
REFUND_S = 2.0
RETRY_SPREAD = 0.3  # of the time after which callers may return, to either side


class OrganisationQuotas(Component):
    """Admits requests as far as the quotas of their organisations allow.

    An equal share of each quota accrues at each node. A node with too little credit asks the
    holder, the first node in rendezvous hash order for the organisation, which calls in what the
    others have left. Credit is only ever moved, so that nodes keep the quota together even if they
    do not agree on the holder, or messages are lost.

    Attributes
    ----------
    credits : dict of str to OrganisationCredit
        By organisation, once a request or another node has asked for it.
    stocks : dict of str to CreditStock
        For the organisations whose holder this node is or was.
    active : dict of str to OrganisationCredit
        Those that are due at some time.
    pending : dict of str to CreditStock
        Those of which requests wait.
    datagram_handlers : dict of type to callable
    silent_until : dict of str to float
        Time (s) until which a node is not asked.
    node_seen_at : dict of str to float
        Time (s) at which a node was registered last.
    node_count : int
        Number of nodes that share the quotas.
    since : float
        Time (s) from which credit accrues.
    version : int
        Version of the configuration that is applied.
    """

    __slots__ = (
        "active",
        "chart",
        "counted_at",
        "credits",
        "datagram_handlers",
        "node_count",
        "node_seen_at",
        "pending",
        "serial",
        "silent_until",
        "since",
        "stocks",
        "version",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("organisation_credit", OrganisationQuotas)
        self.datagram_handlers = {
            CreditCall: self._hand_in,
            CreditGrant: self._apply_grant,
            CreditOffer: self._take_offer,
            CreditRequest: self._answer_request,
        }
        self.credits = {}
        self.stocks = {}
        self.active = {}
        self.pending = {}
        self.silent_until = {}
        self.node_seen_at = {}
        self.node_count = 1
        self.counted_at = -inf
        self.serial = node.settings.incarnation * 1000
        self.since = None
        self.version = None

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            CallerDisconnected: self.handle_caller_disconnected,
            ConfigFetched: self.handle_config_change,
            EntryUpdated: self.handle_config_change,
            NodeDatagram: self.handle_datagram,
            StoreSnapshot: self.handle_config_change,
        }

    def handle_config_change(self, message, now, out):
        """Apply the quotas of a new configuration."""
        config = self.node.fleet.config
        if config is not None and config.version != self.version:
            self._apply_config(config, now, out)

    # Requests

    def admit(self, relay, now, out):
        """Open a relay if the quota of its organisation allows it, now or in some ms; else refuse.

        Parameters
        ----------
        relay : Relay
        now : float
        out : Outbox
        """
        credit = self._find_credit(relay.organisation, now)
        if credit is None or relay.request.is_counted:
            self.node.relays.open(relay, now, out)
            return
        if relay.request.token_problem and credit.quota.plain_tokens is not None:
            failure = Failure(ErrorKind.INVALID_REQUEST, relay.request.token_problem)
            refuse(relay.request, failure, 0.0, out)
            return
        relay.quota_cost = credit.quota.find_cost(relay.request)
        if relay.quota_cost > credit.shares.largest:
            self._refuse(credit, relay, 0.0, now, out)
        elif self._is_closed(credit, relay):
            self._refuse(credit, relay, credit.retry_after_s, now, out)
        elif not credit.waiting and credit.try_spend(relay.quota_cost, now):
            self.node.relays.open(relay, now, out)
        else:
            credit.waiting.append(relay)
            self.chart.fire(credit, "short", self, now, out)

    def _is_closed(self, credit, relay):
        is_closed = self.chart.has_tag(credit, "closed")
        return is_closed and relay.route.priority >= credit.refused_priority

    def refund(self, relay, now):
        """Give back the cost of a request that did not run."""
        credit = self.credits.get(relay.organisation)
        if credit is not None and relay.quota_cost and now - relay.arrived_at <= REFUND_S:
            credit.refill(now)
            credit.level += relay.quota_cost
        relay.quota_cost = 0.0

    def count_waiting(self):
        """Return the number of requests that wait for credit."""
        return sum(len(c.waiting) + len(c.asked) for c in self.active.values())

    def _refuse(self, credit, relay, retry_after_s, now, out):
        spread = 1.0 + RETRY_SPREAD * (2.0 * self.node.rng.random() - 1.0)
        version = self.node.fleet.config.version
        reason = f"the quota is used up: cost={relay.quota_cost:g} {credit.describe(version, now)}"
        relay.quota_cost = 0.0
        failure = Failure(ErrorKind.QUOTA_EXCEEDED, reason)
        refuse(relay.request, failure, retry_after_s * spread, out)
        out.emit(relay.measure_refusal(failure, now))

    def handle_caller_disconnected(self, message, now, out):
        """Forget a request whose caller has disconnected."""
        for credit in self.active.values():
            credit.waiting = [
                relay for relay in credit.waiting if relay.request.request_id != message.request_id
            ]
            for relay in credit.asked:
                if relay.request.request_id == message.request_id:
                    relay.is_abandoned = True

    # Credit of this node

    def _find_credit(self, organisation, now):
        """Return the up-to-date `OrganisationCredit`, None without a limit."""
        quota = self.node.fleet.quotas.get(organisation)
        if quota is None:
            return None
        if now >= self.counted_at + COUNT_INTERVAL_S:
            self._count_nodes(now)
        credit = self.credits.get(organisation)
        if credit is None:
            credit = OrganisationCredit(organisation, quota, self.chart.initial, self.since)
            self.credits[organisation] = credit
            credit.set_shares(quota, divide_quota(quota, self.node_count, self.node.settings))
        return credit

    def _apply_config(self, config, now, out):
        self.version = config.version
        if self.since is None:
            is_alone = not set(self.node.fleet.nodes) - {self.node.settings.name}
            self.since = now + LONE_START_S if is_alone else now
        quotas = self.node.fleet.quotas
        for name in [name for name in self.credits if name not in quotas]:
            credit = self.credits.pop(name)
            self._set_due(credit, inf)
            self.stocks.pop(name, None)
            self.pending.pop(name, None)
            for relay in credit.asked + credit.waiting:
                if not relay.is_abandoned:
                    self.node.relays.open(relay, now, out)
        self._set_shares(now)

    def _set_shares(self, now):
        for name, credit in self.credits.items():
            quota = self.node.fleet.quotas[name]
            if credit.shares is not None:
                credit.refill(now)
            credit.set_shares(quota, divide_quota(quota, self.node_count, self.node.settings))

    def _count_nodes(self, now):
        self.counted_at = now
        seen = self.node_seen_at
        for name in self.node.fleet.nodes:
            seen[name] = now
        seen[self.node.settings.name] = now
        for name in [name for name, at in seen.items() if at < now - ABSENT_S]:
            del seen[name]
        if len(seen) != self.node_count:
            self.node_count = len(seen)
            self._set_shares(now)

    def _set_due(self, credit, at):
        credit.due_at = at
        if at < inf:
            self.active[credit.organisation] = credit
        else:
            self.active.pop(credit.organisation, None)

    def _next_serial(self):
        self.serial += 1
        return self.serial

    def ask(self, credit, now, out):
        """Ask the holder for the credit of the requests that wait."""
        room = MAX_ASKED - len(credit.asked)
        credit.asked += credit.waiting[:room]
        credit.waiting = credit.waiting[room:]
        credit.serial = self._next_serial()
        credit.holder = self._choose_holder(credit, now)
        offered = credit.hand_in(now) if now < credit.scarce_until else 0.0
        wanted = [CreditItem(r.route.priority, r.quota_cost) for r in credit.asked]
        own = self.node.settings.name
        request = CreditRequest(own, credit.organisation, credit.serial, offered, wanted)
        self._set_due(credit, now + ANSWER_S)
        if credit.holder == own:
            self._answer_request(request, now, out)
        else:
            out.emit(SendDatagram(self.node.fleet.nodes[credit.holder].address, request))

    def _choose_holder(self, credit, now):
        own = self.node.settings.name
        if len(credit.tried) >= MAX_SILENT_HOLDERS:
            return own
        if now >= credit.ranked_at + RANK_INTERVAL_S:
            credit.ranked_at = now
            credit.ranking = rank_servers(credit.organisation, {*self.node.fleet.nodes, own})
        for name in credit.ranking:
            is_known = name == own or name in self.node.fleet.nodes
            if is_known and self.silent_until.get(name, -inf) <= now:
                return name
        return own

    def _apply_grant(self, grant, now, out):
        credit = self.credits.get(grant.organisation)
        if credit is None or not credit.serial or credit.serial != grant.serial:
            return
        relays, credit.asked = credit.asked, []
        credit.serial = 0
        credit.tried = []
        credit.stock, credit.stock_at = grant.stock, now
        self._set_due(credit, inf)
        amounts = [item.amount for item in grant.granted] + [0.0] * len(relays)
        granted = [r for r, amount in zip(relays, amounts, strict=False) if amount >= r.quota_cost]
        refused = [relay for relay in relays if relay not in granted]
        if refused:
            credit.retry_after_s = min(MAX_RETRY_AFTER_S, max(0.0, grant.retry_after_s))
            credit.refused_priority = min(relay.route.priority for relay in refused)
            self.chart.fire(credit, "refused", self, now, out)
        else:
            self.chart.fire(credit, "granted", self, now, out)
        for relay in granted:
            if relay.is_abandoned:
                self.refund(relay, now)
            else:
                self.node.relays.open(relay, now, out)
        for relay in refused:
            if not relay.is_abandoned:
                self._refuse(credit, relay, credit.retry_after_s, now, out)
        if credit.waiting:
            self.chart.fire(credit, "short", self, now, out)

    def close(self, credit, now, out):
        """Refuse requests at once for a while, also those that have not been asked for."""
        credit.scarce_until = now + SCARCE_S
        self._set_due(credit, now + CLOSED_S)
        waiting, credit.waiting = credit.waiting, []
        for relay in waiting:
            if self._is_closed(credit, relay):
                self._refuse(credit, relay, credit.retry_after_s, now, out)
            else:
                credit.waiting.append(relay)

    # Credit that this node holds

    def handle_datagram(self, message, now, out):
        """Handle the messages of other nodes about credit."""
        method = self.datagram_handlers.get(type(message.body))
        if method is not None:
            method(message.body, now, out)

    def _find_stock(self, organisation, now):
        """Return the up-to-date `CreditStock` with this node's credit, None without a limit."""
        credit = self._find_credit(organisation, now)
        if credit is None:
            return None
        stock = self.stocks.get(organisation)
        if stock is None:
            stock = self.stocks[organisation] = CreditStock(organisation)
        stock.begin(credit.shares, now)
        stock.add(credit.hand_in(now), now)
        return stock

    def _answer_request(self, request, now, out):
        if any(not 0.0 <= item.amount < inf for item in request.wanted):
            return
        stock = self._find_stock(request.organisation, now)
        if stock is None or not stock.accept(request.node, request.serial, now):
            return
        stock.add(request.offered, now)
        ask = CreditAsk(request, now + OFFER_S)
        stock.decide(ask)
        interval_s = CALL_INTERVAL_S if stock.is_low() else FILL_INTERVAL_S
        if not stock.is_full() and now >= stock.called_at + interval_s:
            self._call(stock, now, out)
        if ask.is_decided() or now >= stock.called_at + OFFER_S:
            self._send_grant(stock, ask, now, out)
        else:
            stock.pending.append(ask)
            self.pending[request.organisation] = stock

    def _call(self, stock, now, out):
        """Call in credit of the other nodes, of some of them in a large fleet."""
        stock.called_at = now
        own = self.node.settings.name
        nodes = [node for node in self.node.fleet.nodes.values() if node.name != own]
        if len(nodes) > MAX_CALLED:
            nodes = self.node.rng.sample(nodes, MAX_CALLED)
        call = CreditCall(own, stock.organisation, stock.find_call_amount(len(nodes)))
        for node in nodes:
            out.emit(SendDatagram(node.address, call))

    def _send_grant(self, stock, ask, now, out):
        request = ask.request
        pairs = list(zip(request.wanted, ask.granted, strict=True))
        granted = [
            CreditItem(i.priority, i.amount if is_granted else 0.0) for i, is_granted in pairs
        ]
        refused = sum(item.amount for item, is_granted in pairs if not is_granted)
        if refused:
            stock.record_refused(refused, now)
        grant = CreditGrant(
            self.node.settings.name,
            request.organisation,
            request.serial,
            granted,
            stock.amount,
            stock.estimate_retry_after(now),
        )
        if request.node == self.node.settings.name:
            self._apply_grant(grant, now, out)
        elif request.node in self.node.fleet.nodes:
            out.emit(SendDatagram(self.node.fleet.nodes[request.node].address, grant))

    def _hand_in(self, call, now, out):
        if call.node not in self.node.fleet.nodes:
            return
        credit = self._find_credit(call.organisation, now)
        amount = credit.hand_in(now, call.amount) if credit is not None else 0.0
        if amount > 0.0:
            own = self.node.settings.name
            offer = CreditOffer(own, call.organisation, self._next_serial(), amount)
            out.emit(SendDatagram(self.node.fleet.nodes[call.node].address, offer))

    def _take_offer(self, offer, now, out):
        stock = self.stocks.get(offer.organisation)
        if stock is None or not stock.accept(offer.node, offer.serial, now):
            return
        stock.add(offer.amount, now)
        for ask in stock.decide_pending():
            self._send_grant(stock, ask, now, out)

    # Time

    def tick(self, now, out):
        """Ask another node where the holder is silent, and end refusals at once."""
        for stock in list(self.pending.values()):
            for ask in stock.pop_due(now):
                self._send_grant(stock, ask, now, out)
            if not stock.pending:
                self.pending.pop(stock.organisation, None)
        for credit in [c for c in self.active.values() if c.due_at <= now]:
            if self.chart.has_tag(credit, "closed"):
                self._set_due(credit, inf)
                self.chart.fire(credit, "reopened", self, now, out)
            else:
                self.silent_until[credit.holder] = now + SILENT_S
                credit.tried.append(credit.holder)
                detail = f"node={credit.holder} organisation={credit.organisation}"
                out.emit(LogEvent("credit_holder_silent", detail))
                self.chart.fire(credit, "silent", self, now, out)

    def next_deadline(self):
        """Return the time (s) of the next answer or of the end of a wait."""
        if not self.active and not self.pending:
            return inf
        due = [credit.due_at for credit in self.active.values()]
        due += [stock.pending[0].answer_at for stock in self.pending.values() if stock.pending]
        return min(due, default=inf)
