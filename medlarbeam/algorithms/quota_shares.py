"""Division of an organisation's quota among nodes that do not know what the others spend."""

from medlarbeam.classes.record import Record

__all__ = ["QuotaShares", "divide_quota"]

MIN_IN_HAND_S = 0.5  # of the rate; a smaller burst does not outlast the interval between calls
MIN_STOCK_SHARE = 0.05  # of what nodes have in hand, for a holder without slack
# Shares of the slack: what the nodes may have in hand beyond the burst, what the holder may keep,
# and what it and all nodes together may spend in advance. The rest covers changes that reach the
# nodes one after the other.
IN_HAND_SHARE = 0.55
STOCK_SHARE = 0.1
STOCK_DEBT_SHARE = 0.2
NODE_DEBT_SHARE = 0.1


class QuotaShares(Record):
    """What one node may do with a quota, in the unit of the quota.

    Parameters
    ----------
    rate : float
        Credit per second that accrues at the node.
    capacity : float
        Credit up to which it accrues.
    debt : float
        What the node may spend in advance.
    stock_capacity, stock_debt : float
        The same for the holder, which keeps the credit that nodes hand in.
    largest : float
        Cost above which a request can never be served.
    """

    __slots__ = ("capacity", "debt", "largest", "rate", "stock_capacity", "stock_debt")

    def __init__(self, rate, capacity, debt, stock_capacity, stock_debt, largest):
        self.rate = rate
        self.capacity = capacity
        self.debt = debt
        self.stock_capacity = stock_capacity
        self.stock_debt = stock_debt
        self.largest = largest


def divide_quota(quota, nodes, settings):
    """Return the `QuotaShares` of each of `nodes` nodes.

    What accrues at all nodes together is the rate of the quota, up to its burst and a part of the
    slack, so that they keep both whatever messages are lost.

    The slack is for what nodes do not know of one another. Since credit is only moved between them,
    little of it is needed for that; the rest lets organisations exceed their rate for longer.

    Parameters
    ----------
    quota : Quota
    nodes : int
    settings : GatewaySettings
    """
    window = quota.rate * settings.quota_window_s + quota.burst
    slack = settings.quota_overshoot * window + settings.quota_slack
    in_hand = max(quota.burst, MIN_IN_HAND_S * quota.rate) + IN_HAND_SHARE * slack
    stock_debt = STOCK_DEBT_SHARE * slack
    return QuotaShares(
        quota.rate / nodes,
        in_hand / nodes,
        NODE_DEBT_SHARE * slack / nodes,
        max(STOCK_SHARE * slack, MIN_STOCK_SHARE * in_hand),
        stock_debt,
        in_hand + stock_debt,
    )
