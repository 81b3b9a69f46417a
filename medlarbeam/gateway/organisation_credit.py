"""Credit of an organisation at a node, and the stock of it at the node that holds it."""

from math import exp, inf

__all__ = ["MAX_RETRY_AFTER_S", "CreditAsk", "CreditStock", "OrganisationCredit"]

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
# The stock's capacity is kept from requests of this priority; what is kept from more urgent ones is
# in proportion.
LEAST_URGENT = 9
LOW_SHARE = 0.25  # of the capacity, below which the holder needs the credit of the other nodes
FULL_SHARE = 0.75  # of the capacity, above which it does without
CALL_FACTOR = 2.0  # by which the holder asks for more than it needs, since some nodes have none
# The stock of a node that is no longer asked belongs to a holder that was replaced.
IDLE_S = 2.0
SERIAL_S = 1.0  # in which a message may arrive again, or after a later one


class OrganisationCredit:
    """What this node may spend on requests of an organisation.

    Parameters
    ----------
    organisation : str
    quota : Quota
    state : str
        State of the chart ``organisation_credit``.
    since : float
        Time (s) from which credit accrues.

    Attributes
    ----------
    shares : QuotaShares
    level : float
        Credit at `refilled_at` (s), negative if it was spent in advance.
    waiting : list of Relay
        Requests that have not been asked for yet, the oldest first.
    asked : list of Relay
        Requests in the message to the holder.
    holder : str
        Node that was asked last.
    serial : int
        Serial of the message whose answer is awaited, 0 for none.
    tried : list of str
        Nodes that have not answered for the requests that wait.
    due_at : float
        Time (s) at which the holder counts as silent, or requests are no longer refused at once.
    scarce_until : float
        Time (s) until which the holder decides on each request, so that small ones do not use up
        the credit of which large ones need much.
    stock, stock_at : float
        Credit that the holder had left, and when (s) it said so.
    retry_after_s : float
        Time (s) after which callers may find credit, as the holder said.
    refused_priority : int
        Most urgent priority that the holder has refused.
    ranking, ranked_at
        Names of the nodes in the order in which they are asked, and its time (s).
    """

    __slots__ = (
        "asked",
        "due_at",
        "holder",
        "level",
        "organisation",
        "quota",
        "ranked_at",
        "ranking",
        "refilled_at",
        "refused_priority",
        "retry_after_s",
        "scarce_until",
        "serial",
        "shares",
        "state",
        "stock",
        "stock_at",
        "tried",
        "waiting",
    )

    def __init__(self, organisation, quota, state, since):
        self.organisation = organisation
        self.quota = quota
        self.state = state
        self.shares = None
        self.level = 0.0
        self.refilled_at = since
        self.waiting = []
        self.asked = []
        self.holder = ""
        self.serial = 0
        self.tried = []
        self.due_at = inf
        self.scarce_until = -inf
        self.stock = 0.0
        self.stock_at = -inf
        self.retry_after_s = MIN_RETRY_AFTER_S
        self.refused_priority = 0
        self.ranking = []
        self.ranked_at = -inf

    def set_shares(self, quota, shares):
        """Apply a changed quota or number of nodes."""
        self.quota = quota
        self.shares = shares
        self.level = min(self.level, shares.capacity)

    def refill(self, now):
        """Add what has accrued; credit of requests that did not run may exceed the capacity."""
        elapsed = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        if self.level < self.shares.capacity:
            self.level = min(self.shares.capacity, self.level + elapsed * self.shares.rate)

    def try_spend(self, cost, now):
        """Return whether the node may admit a request by itself, and count it if so."""
        self.refill(now)
        if now < self.scarce_until or self.level + self.shares.debt < cost:
            return False
        self.level -= cost
        return True

    def hand_in(self, now, limit=inf):
        """Return the credit of this node, up to `limit`; it does not have it any more then."""
        self.refill(now)
        amount = max(0.0, min(limit, self.level))
        self.level -= amount
        return amount

    def describe(self, config_version, now):
        """Return as text by which figures a request is refused."""
        heard = f"{now - self.stock_at:.3f}" if self.stock_at > -inf else "never"
        return (
            f"organisation={self.organisation} limit_per_s={self.quota.rate:g} "
            f"burst={self.quota.burst:g} config={config_version} own_credit={self.level:.0f} "
            f"holder={self.holder} holder_credit={self.stock:.0f} heard_s={heard}"
        )


class CreditAsk:
    """A `CreditRequest` that is being answered.

    Attributes
    ----------
    granted : list of bool or None
        Decision on each item, None while it waits for credit.
    """

    __slots__ = ("answer_at", "granted", "request")

    def __init__(self, request, answer_at):
        self.request = request
        self.answer_at = answer_at
        self.granted = [None] * len(request.wanted)

    def is_decided(self):
        """Return whether all items are granted."""
        return None not in self.granted


class CreditStock:
    """Credit of an organisation that nodes have handed in to this one, which grants it.

    Parameters
    ----------
    organisation : str

    Attributes
    ----------
    amount : float
        Negative while a large request is paid off.
    pending : list of CreditAsk
    called_at : float
        Time (s) of the last call for the credit of the other nodes.
    used_at : float
        Time (s) of the last request.
    refused, received : float
        What was refused and handed in lately, with a time constant of a second.
    serials : dict
        Serial and time (s) of the last message of each node.
    """

    __slots__ = (
        "amount",
        "called_at",
        "organisation",
        "pending",
        "received",
        "received_at",
        "refused",
        "refused_at",
        "serials",
        "shares",
        "used_at",
    )

    def __init__(self, organisation):
        self.organisation = organisation
        self.shares = None
        self.amount = 0.0
        self.pending = []
        self.called_at = -inf
        self.used_at = -inf
        self.received = 0.0
        self.received_at = 0.0
        self.refused = 0.0
        self.refused_at = 0.0
        self.serials = {}

    def begin(self, shares, now):
        """Apply the shares in force, and forget the stock if it has not been used for a while."""
        self.shares = shares
        if now - self.used_at > IDLE_S:
            self.amount = 0.0
        self.amount = min(self.amount, CALL_FACTOR * shares.stock_capacity)
        self.used_at = now

    def accept(self, node, serial, now):
        """Return whether a message of `node` has not been seen, nor a later one."""
        last, at = self.serials.get(node, (0, -inf))
        if serial <= last and now - at <= SERIAL_S:
            return False
        self.serials[node] = (serial, now)
        return True

    def add(self, amount, now):
        """Add credit that a node hands in; what exceeds by far what was asked for is lost."""
        if amount > 0.0:
            most = CALL_FACTOR * self.shares.stock_capacity
            self.amount = max(self.amount, min(most, self.amount + amount))
            self.received = _decay(self.received, self.received_at, now) + amount
            self.received_at = now

    def is_low(self):
        """Return whether the credit of the other nodes is needed."""
        return self.amount < LOW_SHARE * self.shares.stock_capacity

    def find_call_amount(self, nodes):
        """Return how much the holder asks each of `nodes` nodes for."""
        missing = self.shares.stock_capacity - self.amount
        return CALL_FACTOR * missing / max(1, nodes)

    def is_full(self):
        """Return whether the credit of the other nodes is better left where it is."""
        return self.amount >= FULL_SHARE * self.shares.stock_capacity

    def decide(self, ask):
        """Grant the items of `ask` for which there is credit, the most urgent first.

        Any credit is enough for a request that costs no more than the debt of the stock, so that
        its chance does not depend on its size.
        """
        items = ask.request.wanted
        for index in sorted(range(len(items)), key=lambda i: items[i].priority):
            item = items[index]
            if ask.granted[index] is None and self._has_credit(item):
                self.amount -= item.amount
                ask.granted[index] = True

    def _has_credit(self, item):
        if not 0.0 <= item.amount <= self.shares.largest:
            return False
        capacity = self.shares.stock_capacity
        kept = min(item.priority, LEAST_URGENT) / (LEAST_URGENT + 1) * capacity
        needed = min(item.amount - self.shares.stock_debt, capacity)
        return self.amount > kept and self.amount >= needed

    def decide_pending(self):
        """Decide on the requests that wait, and return those that are decided now."""
        for ask in sorted(self.pending, key=lambda a: min(i.priority for i in a.request.wanted)):
            self.decide(ask)
        decided = [ask for ask in self.pending if ask.is_decided()]
        self.pending = [ask for ask in self.pending if not ask.is_decided()]
        return decided

    def pop_due(self, now):
        """Return the requests that have waited long enough."""
        due = [ask for ask in self.pending if ask.answer_at <= now]
        self.pending = [ask for ask in self.pending if ask.answer_at > now]
        return due

    def record_refused(self, amount, now):
        """Count what is refused."""
        self.refused = _decay(self.refused, self.refused_at, now) + amount
        self.refused_at = now

    def estimate_retry_after(self, now):
        """Return the time (s) in which the credit for what was refused lately is handed in."""
        refused = _decay(self.refused, self.refused_at, now)
        received = max(self.shares.rate, _decay(self.received, self.received_at, now))
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, refused / received))


def _decay(amount, at, now):
    return amount * exp(min(0.0, at - now))
