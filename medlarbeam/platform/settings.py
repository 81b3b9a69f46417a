"""Decodes the platform's settings file into the settings of a gateway process."""

import tomllib

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError, SettingsError
from medlarbeam.gateway.settings import GatewaySettings
from medlarbeam.platform.documents import read_field

__all__ = ["PlatformSettings", "read_platform_settings"]

# Pause between two watch calls, as a share of the time limit for applying a change. The pause
# batches the changes of many heartbeats into one call, since the platform charges per call. The
# rest of the time limit allows for a slow store, which takes up to 0.25 s to respond, and for one
# retry of the call.
WATCH_PAUSE_SHARE = 0.35
SLOW_CALL_ALLOWANCE_S = 0.6
# A process starts with 50 MB, and the smallest machine has 160 MB. The memory of the process grows
# by up to twice the account, since allocators keep what is freed.
DEFAULT_CALLER_BYTES = 32 << 20
# Parts of the contract that the gateway serves; see "What is not read" in docs/platform.md.
SERVED_CONTRACTS = {
    "base",
    "config",
    "cost",
    "drain",
    "engine",
    "fleet",
    "health",
    "platform",
    "pool",
    "quota",
    "recover",
    "retry",
    "stream",
    "tenants",
}
# Bounds that a setting below follows, or that hold whatever their value is.
SERVED_BOUNDS = {
    "ackMs",
    "againS",
    "budgetWindowS",
    "callerBytes",
    "catchUpS",
    "ceilingWindowS",
    "configApplyMs",
    "contactMs",
    "drainMs",
    "fencingEnforced",
    "graceS",
    "leaseMs",
    "lossSlackMs",
    "maxSkewMs",
    "originOvershoot",
    "passMs",
    "quotaOvershoot",
    "quotaSlack",
    "quotaWindowS",
    "recoverS",
    "retryBudgetExtra",
    "retryBudgetRatio",
    "reuseAfterS",
    "rollbackSlackMs",
    "seedLagS",
    "thawMs",
    "version_ms",
}


class PlatformSettings(Record):
    """Settings of a gateway process.

    Parameters
    ----------
    gateway : GatewaySettings
    front_address, ready_address, datagram_address, metrics_address : str
        ``ip:port`` on which to listen for callers, readiness checks of the load balancer,
        datagrams from other nodes, and scrapes of the metrics.
    store_address : str
        ``ip:port`` of the platform's store.
    watch_pause_s : float
        Pause between two watch calls to the store.
    caller_bytes : int
        Memory (bytes) that all callers may hold; see `CallerLimits`.
    unserved : list of str
        Contracts and bounds in the settings file that this build does not serve, as text.
    """

    __slots__ = (
        "caller_bytes",
        "datagram_address",
        "front_address",
        "gateway",
        "metrics_address",
        "ready_address",
        "store_address",
        "unserved",
        "watch_pause_s",
    )

    def __init__(
        self,
        gateway,
        front_address,
        ready_address,
        datagram_address,
        metrics_address,
        store_address,
        watch_pause_s,
        caller_bytes=DEFAULT_CALLER_BYTES,
        unserved=(),
    ):
        self.unserved = list(unserved)
        self.caller_bytes = caller_bytes
        self.watch_pause_s = watch_pause_s
        self.metrics_address = metrics_address
        self.gateway = gateway
        self.front_address = front_address
        self.ready_address = ready_address
        self.datagram_address = datagram_address
        self.store_address = store_address


def read_platform_settings(path, incarnation):
    """Read the settings file at `path`.

    Parameters
    ----------
    path : str
    incarnation : int
        Incarnation of this process.

    Returns
    -------
    PlatformSettings

    Raises
    ------
    SettingsError
        If the file cannot be read, or a setting is missing or invalid.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
        return _decode(document, incarnation)
    except (OSError, tomllib.TOMLDecodeError, FormatError, KeyError, IndexError) as error:
        raise SettingsError(f"settings file {path}: {error}") from error


def _decode(document, incarnation):
    listen = read_field(document, "listen", dict)
    bounds = read_field(document, "bounds", dict)
    ip = read_field(document, "ip", str)
    # First and last port of the range reserved for traffic between nodes.
    ports = read_field(document, "internalPorts", list)
    datagram_address = f"{ip}:{ports[0]}"

    def read_bound(name, default):
        return read_field(bounds, name, float, default)

    drain_s = read_bound("drainMs", 2000) / 1000.0
    watch_pause_s = WATCH_PAUSE_SHARE * min(drain_s, read_bound("configApplyMs", 2000) / 1000.0)
    gateway = GatewaySettings(
        read_field(document, "nodeName", str),
        read_field(document, "zone", str),
        datagram_address,
        incarnation,
        order_gap_s=read_bound("leaseMs", 3000) / 1000.0,
        drain_s=drain_s,
        max_store_lag_s=watch_pause_s + SLOW_CALL_ALLOWANCE_S,
        grace_s=read_bound("graceS", 8),
        retry_ratio=read_bound("retryBudgetRatio", 0.2),
        retry_window_s=read_bound("budgetWindowS", 10),
        retry_extra=read_bound("retryBudgetExtra", 0),
        heartbeat_s=read_field(document, "heartbeatMs", float, 1200) / 1000.0,
        is_first_start=read_field(document, "bootstrap", bool, False),
        quota_window_s=read_bound("quotaWindowS", 8),
        quota_overshoot=read_bound("quotaOvershoot", 0.1),
        quota_slack=read_bound("quotaSlack", 0),
    )
    return PlatformSettings(
        gateway,
        read_field(listen, "front", str),
        read_field(listen, "readyAddr", str),
        datagram_address,
        f"{ip}:{ports[-1]}",
        read_field(read_field(document, "platform", dict), "address", str),
        watch_pause_s,
        read_field(bounds, "callerBytes", int, DEFAULT_CALLER_BYTES),
        list_unserved(read_field(document, "contracts", list, []), bounds),
    )


def list_unserved(contracts, bounds):
    """Return the contracts and bounds of a settings file that this build does not serve, as text.

    Parameters
    ----------
    contracts : list of str
    bounds : dict
    """
    unserved = [f"contract={name}" for name in contracts if name not in SERVED_CONTRACTS]
    return unserved + [f"bound={name}" for name in bounds if name not in SERVED_BOUNDS]
