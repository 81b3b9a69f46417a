"""Settings of a node."""

from medlarbeam.classes.record import Record

__all__ = ["NodeSettings"]


class NodeSettings(Record):
    """Identity, intervals and limits of a node.

    Parameters
    ----------
    name : str
        Name of the node and its VM.
    incarnation : int
        Increases with each start of the process.
    cell, failure_domain : str
    peers : list of str
        Names of the other nodes to which this node has links.
    ping_interval_s : float
    pledge_s : float
        Duration of a pledge, counted from the send time of the ping.
    margin_s : float
        Part at the end of a pledge that is left unused, for clock drift and orders in flight.
    report_lag_s : float
        Maximum age of the state in an engine report when it is sent.
    poll_interval_s, vm_list_interval_s : float
    confirm_limit_s : float
        Age of the catalog's confirmation above which the catalog counts as stale.
    catalog_shards : int
    claim_retention_s : float
    loads_per_s : float
        Loads per second that the weight store allows for the whole deployment.
    loads_in_flight : int
        Loads in flight that the weight store allows for the whole deployment.
    queue_limit : int
        Maximum number of requests that wait for one backend server.
    max_attempts : int
        Maximum number of attempts of an idempotent request.
    """

    __slots__ = (
        "catalog_shards",
        "cell",
        "claim_retention_s",
        "confirm_limit_s",
        "failure_domain",
        "incarnation",
        "loads_in_flight",
        "loads_per_s",
        "margin_s",
        "max_attempts",
        "name",
        "peers",
        "ping_interval_s",
        "pledge_s",
        "poll_interval_s",
        "queue_limit",
        "report_lag_s",
        "vm_list_interval_s",
    )

    def __init__(
        self,
        name,
        incarnation,
        cell,
        failure_domain,
        peers,
        *,
        ping_interval_s=1.0,
        pledge_s=3.0,
        margin_s=0.5,
        report_lag_s=2.0,
        poll_interval_s=1.0,
        vm_list_interval_s=2.0,
        confirm_limit_s=10.0,
        catalog_shards=64,
        claim_retention_s=86400.0,
        loads_per_s=7.0,
        loads_in_flight=24,
        queue_limit=64,
        max_attempts=3,
    ):
        self.name = name
        self.incarnation = incarnation
        self.cell = cell
        self.failure_domain = failure_domain
        self.peers = list(peers)
        self.ping_interval_s = ping_interval_s
        self.pledge_s = pledge_s
        self.margin_s = margin_s
        self.report_lag_s = report_lag_s
        self.poll_interval_s = poll_interval_s
        self.vm_list_interval_s = vm_list_interval_s
        self.confirm_limit_s = confirm_limit_s
        self.catalog_shards = catalog_shards
        self.claim_retention_s = claim_retention_s
        self.loads_per_s = loads_per_s
        self.loads_in_flight = loads_in_flight
        self.queue_limit = queue_limit
        self.max_attempts = max_attempts
