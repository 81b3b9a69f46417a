"""Settings of a gateway, as values."""

from medlarbeam.classes.record import Record

__all__ = ["GatewaySettings"]


class GatewaySettings(Record):
    """What a gateway knows about itself and the bounds that it has to keep.

    Parameters
    ----------
    name, failure_domain : str
    address : str
        ``ip:port`` for datagrams of other nodes.
    incarnation : int
        Grows with each start of the process.
    turn_gap_s : float
        Least time between the orders of two nodes to one backend server.
    drain_s : float
        Time within which a leaving backend server must get no more work.
    known_after_s : float
        Time from a change in the store until this node knows it, at most, while the store answers.
    grace_s : float
        Time from the order to stop until the process is killed.
    retry_ratio, retry_window_s, retry_extra : float
        Repeats that a service may get in a window: a share of its requests, and a number.
    """

    __slots__ = (
        "address",
        "drain_s",
        "failure_domain",
        "grace_s",
        "incarnation",
        "known_after_s",
        "name",
        "retry_extra",
        "retry_ratio",
        "retry_window_s",
        "turn_gap_s",
    )

    def __init__(
        self,
        name,
        failure_domain,
        address,
        incarnation,
        *,
        turn_gap_s,
        drain_s,
        known_after_s,
        grace_s,
        retry_ratio,
        retry_window_s,
        retry_extra,
    ):
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.incarnation = incarnation
        self.turn_gap_s = turn_gap_s
        self.drain_s = drain_s
        self.known_after_s = known_after_s
        self.grace_s = grace_s
        self.retry_ratio = retry_ratio
        self.retry_window_s = retry_window_s
        self.retry_extra = retry_extra
