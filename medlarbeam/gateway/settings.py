"""Settings of a gateway."""

from medlarbeam.classes.record import Record

__all__ = ["GatewaySettings"]


class GatewaySettings(Record):
    """Identity of a gateway and the limits that it has to keep.

    Parameters
    ----------
    name, failure_domain : str
    address : str
        ``ip:port`` at which it receives datagrams of other nodes.
    incarnation : int
        Increases with each start of the process.
    order_gap_s : float
        Minimum time between orders of two nodes to one backend server.
    drain_s : float
        Time after which a draining backend server must get no new work.
    max_store_lag_s : float
        Maximum time from a change in the store until this node applies it, if the store responds.
    grace_s : float
        Time from the stop signal until the process is killed.
    heartbeat_s : float
        Interval at which backend servers renew their entries in the store.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    retry_ratio, retry_window_s, retry_extra : float
        Retry budget of a service in a window (s): a share of its requests plus a fixed number.
    quota_window_s, quota_overshoot, quota_slack : float
        In a window (s) an organisation may use its quota, a share of it and a fixed amount more.
    """

    __slots__ = (
        "address",
        "drain_s",
        "failure_domain",
        "grace_s",
        "heartbeat_s",
        "incarnation",
        "is_first_start",
        "max_store_lag_s",
        "name",
        "order_gap_s",
        "quota_overshoot",
        "quota_slack",
        "quota_window_s",
        "retry_extra",
        "retry_ratio",
        "retry_window_s",
    )

    def __init__(
        self,
        name,
        failure_domain,
        address,
        incarnation,
        *,
        order_gap_s,
        drain_s,
        max_store_lag_s,
        grace_s,
        retry_ratio,
        retry_window_s,
        retry_extra,
        heartbeat_s=1.2,
        is_first_start=False,
        quota_window_s=8.0,
        quota_overshoot=0.1,
        quota_slack=0.0,
    ):
        self.quota_window_s = quota_window_s
        self.quota_overshoot = quota_overshoot
        self.quota_slack = quota_slack
        self.name = name
        self.failure_domain = failure_domain
        self.address = address
        self.incarnation = incarnation
        self.heartbeat_s = heartbeat_s
        self.is_first_start = is_first_start
        self.order_gap_s = order_gap_s
        self.drain_s = drain_s
        self.max_store_lag_s = max_store_lag_s
        self.grace_s = grace_s
        self.retry_ratio = retry_ratio
        self.retry_window_s = retry_window_s
        self.retry_extra = retry_extra
