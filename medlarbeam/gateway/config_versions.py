"""Versions of the configuration that other nodes apply, and how this node catches up with them."""

from math import inf

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.effects import LogEvent
from medlarbeam.classes.gateway_effects import FetchConfig, SyncStore
from medlarbeam.classes.gateway_messages import (
    ConfigFetched,
    ConfigVersionStated,
    EntryUpdated,
    NodeDatagram,
    StoreSetBack,
    StoreSnapshot,
)
from medlarbeam.classes.peer_messages import PathReport
from medlarbeam.node.component import Component

__all__ = ["STATED_S", "ConfigVersions"]

# For which a version that another node states counts. A real one is known here sooner.
STATED_S = 10.0
STORE_ANSWER_S = 0.3  # for the store to answer, which takes some ms, or 0.25 s if it is slow
NODE_ANSWER_S = 1.0  # for a node to answer, before another one is asked
REPEAT_S = 0.5  # after which a version is announced once more, since a datagram may be lost


class ConfigVersions(Component):
    """Drives the chart ``config_copy``.

    Nodes read a new configuration at different times, and one that the store turns away does not
    read it at all. Each tells the others when it applies a version.

    Attributes
    ----------
    state : str
    applied_version : int
        Newest version that another node has stated.
    sources : list of str
        Names of the nodes that have stated it.
    ask_at, expires_at : float
        Times (s) at which a node is asked, and until which `applied_version` counts.
    announced_version : int
        Version that the other nodes were told of.
    announce_at : float
        Time (s) at which they are told once more.
    """

    __slots__ = (
        "announce_at",
        "announced_version",
        "applied_version",
        "ask_at",
        "chart",
        "expires_at",
        "sources",
        "state",
    )

    def __init__(self, node):
        super().__init__(node)
        self.chart = load_chart("config_copy", ConfigVersions)
        self.state = self.chart.initial
        self.applied_version = 0
        self.sources = []
        self.ask_at = self.expires_at = self.announce_at = inf
        self.announced_version = 0

    def handlers(self):
        """Return the handler method of each message class."""
        return {
            ConfigFetched: self.handle_fetched,
            ConfigVersionStated: self.handle_stated,
            EntryUpdated: self.handle_store_change,
            NodeDatagram: self.handle_datagram,
            StoreSetBack: self.handle_set_back,
            StoreSnapshot: self.handle_store_change,
        }

    def find_version(self):
        """Return the version of the configuration that this node knows, 0 for none."""
        config = self.node.fleet.config
        return config.version if config is not None else 0

    def find_applied(self):
        """Return the newest version that this node or another one is known to apply."""
        return max(self.find_version(), self.applied_version if self.is_behind() else 0)

    def is_behind(self):
        """Return whether another node is known to apply a newer version."""
        return self.chart.has_tag(self, "behind")

    def handle_datagram(self, message, now, out):
        """Note the version in the report of another node."""
        if isinstance(message.body, PathReport):
            self._note(message.body.config_version, message.body.node, now, out)

    def handle_stated(self, message, now, out):
        """Note the version by which another node has answered."""
        self._note(message.version, message.node, now, out)

    def _note(self, version, name, now, out):
        if version <= self.find_version():
            return
        if version > self.find_applied():
            self.applied_version = version
            self.sources = []
            self.expires_at = now + STATED_S
            self.chart.fire(self, "stated", self, now, out)
        if version == self.applied_version and name not in self.sources:
            self.sources.append(name)

    def ask_store(self, subject, now, out):
        """Read the changes of the store, unless it is known to be away."""
        is_away = self.node.fleet.store_unavailable_since is not None
        self.ask_at = now if is_away else now + STORE_ANSWER_S
        out.emit(SyncStore())

    def ask_node(self, subject, now, out):
        """Ask a node that applies the version for its configuration."""
        self.ask_at = now + NODE_ANSWER_S
        nodes = [self.node.fleet.nodes[n] for n in self.sources if n in self.node.fleet.nodes]
        if nodes:
            out.emit(FetchConfig(self.node.rng.choice(nodes)))

    def handle_fetched(self, message, now, out):
        """Log the answer of another node, which the fleet state has applied."""
        version = message.config.version if message.config is not None else 0
        detail = f"node={message.node} version={version} {message.reason}"
        out.emit(LogEvent("config_fetched", detail))
        self._follow(now, out)

    def handle_store_change(self, message, now, out):
        """Note a version that the store has brought."""
        self._follow(now, out)

    def _follow(self, now, out):
        version = self.find_version()
        if version == self.announced_version:
            return
        is_first = not self.announced_version
        self.announced_version = version
        if not is_first:
            self.announce_at = now + REPEAT_S
            self.node.paths.report(now, out)
        if version >= self.applied_version:
            self.chart.fire(self, "known", self, now, out)

    def handle_set_back(self, message, now, out):
        """Forget a version that the store may have lost."""
        self.chart.fire(self, "expired", self, now, out)

    def tick(self, now, out):
        """Announce a version once more, ask a node, or forget what was stated long ago."""
        if self.announce_at <= now:
            self.announce_at = inf
            self.node.paths.report(now, out)
        if self.is_behind() and self.expires_at <= now:
            self.chart.fire(self, "expired", self, now, out)
        elif self.is_behind() and self.ask_at <= now:
            self.chart.fire(self, "due", self, now, out)

    def next_deadline(self):
        """Return the time (s) of the next step."""
        if not self.is_behind():
            return self.announce_at
        return min(self.announce_at, self.ask_at, self.expires_at)
