"""The platform's settings file, decoded into the settings of a gateway."""

import tomllib

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError, SettingsError
from medlarbeam.gateway.settings import GatewaySettings
from medlarbeam.platform.documents import take

__all__ = ["PlatformSettings", "read_platform_settings"]

# Share of the time within which a change must be in force that a node waits between two calls of
# the watch: the changes of many heartbeats come with one call then, and calls are priced. The rest
# is for a slow store, whose answer takes up to 0.25 s, and for a call that has to be repeated.
GATHER_SHARE = 0.35
SLOW_CALL_S = 0.6


class PlatformSettings(Record):
    """Settings of the process.

    Parameters
    ----------
    gateway : GatewaySettings
    front, ready, datagrams, metrics, store : str
        ``ip:port`` for callers, the load balancer's check, other nodes and readers of the metrics,
        and of the store.
    gather_s : float
        Pause between two calls of the store's watch.
    """

    __slots__ = ("datagrams", "front", "gather_s", "gateway", "metrics", "ready", "store")

    def __init__(self, gateway, front, ready, datagrams, metrics, store, gather_s):
        self.gather_s = gather_s
        self.metrics = metrics
        self.gateway = gateway
        self.front = front
        self.ready = ready
        self.datagrams = datagrams
        self.store = store


def read_platform_settings(path, incarnation):
    """Return the `PlatformSettings` of the file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read or a setting is missing or wrong.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
        return _read(document, incarnation)
    except (OSError, tomllib.TOMLDecodeError, FormatError, KeyError, IndexError) as error:
        raise SettingsError(f"settings file {path}: {error}") from error


def _read(document, incarnation):
    listen = take(document, "listen", dict)
    bounds = take(document, "bounds", dict)
    ip = take(document, "ip", str)
    # The first and the last of a range of ports that are free for traffic between nodes.
    ports = take(document, "internalPorts", list)
    datagrams = f"{ip}:{ports[0]}"

    def bound(name, default):
        return take(bounds, name, float, default)

    drain_s = bound("drainMs", 2000) / 1000.0
    gather_s = GATHER_SHARE * min(drain_s, bound("configApplyMs", 2000) / 1000.0)
    gateway = GatewaySettings(
        take(document, "nodeName", str),
        take(document, "zone", str),
        datagrams,
        incarnation,
        turn_gap_s=bound("leaseMs", 3000) / 1000.0,
        drain_s=drain_s,
        known_after_s=gather_s + SLOW_CALL_S,
        grace_s=bound("graceS", 8),
        retry_ratio=bound("retryBudgetRatio", 0.2),
        retry_window_s=bound("budgetWindowS", 10),
        retry_extra=bound("retryBudgetExtra", 0),
    )
    return PlatformSettings(
        gateway,
        take(listen, "front", str),
        take(listen, "readyAddr", str),
        datagrams,
        f"{ip}:{ports[-1]}",
        take(take(document, "platform", dict), "address", str),
        gather_s,
    )
