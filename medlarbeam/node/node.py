"""The node, which dispatches messages to its components."""

from medlarbeam.classes.key_value import KvResult
from medlarbeam.classes.messages import PeerMessage
from medlarbeam.node.component import ComponentHost

__all__ = ["Node"]

PAUSE_S = 1.0  # a running node is called at least every 0.1 s


class Node(ComponentHost):
    """All decisions of an entry node, driven by messages.

    Parameters
    ----------
    settings : NodeSettings
    rng : random.Random
        Source of all random choices.
    parts : NodeParts
        Factories of the components.

    Notes
    -----
    Times are in seconds of this node's monotonic clock. The methods return the effects that the
    shell carries out.

    Attributes
    ----------
    resumed_at : float
        Time (s) of the first call after the last pause of the process, -infinity if there was none.
    """

    __slots__ = (
        "active_at",
        "catalog",
        "claims",
        "crashes",
        "kv_handlers",
        "lifecycle",
        "notes",
        "operations",
        "ownership",
        "peer_handlers",
        "requests",
        "resumed_at",
        "rng",
        "runs",
        "settings",
    )

    def __init__(self, settings, rng, parts):
        self.settings = settings
        self.active_at = float("inf")
        self.resumed_at = float("-inf")
        self.rng = rng
        self.ownership = parts.ownership(self)
        self.catalog = parts.catalog(self)
        self.notes = parts.notes(self)
        self.claims = parts.claims(self)
        self.crashes = parts.crashes(self)
        self.requests = parts.requests(self)
        self.runs = parts.runs(self)
        self.operations = parts.operations(self)
        self.lifecycle = parts.lifecycle(self)
        components = [
            self.ownership,
            self.catalog,
            self.notes,
            self.claims,
            self.crashes,
            self.requests,
            self.runs,
            self.operations,
            self.lifecycle,
        ]
        self.peer_handlers = {}
        self.kv_handlers = {}
        super().__init__(components)

    def register(self, component):
        """Register the message, peer message and platform result handlers of `component`."""
        super().register(component)
        for kind, method in component.peer_handlers().items():
            self.peer_handlers.setdefault(kind, []).append(method)
        if component.name:
            self.kv_handlers[component.name] = component.handle_kv

    def dispatch(self, message, now, out):
        """Pass a message to the components that handle it."""
        if isinstance(message, PeerMessage):
            for method in self.peer_handlers.get(type(message.body), ()):
                method(message.sender, message.body, now, out)
        elif isinstance(message, KvResult):
            self.kv_handlers[message.call.component](message, now, out)
        else:
            super().dispatch(message, now, out)

    def record_time(self, now):
        """Detect a pause of the process."""
        if now - self.active_at > PAUSE_S:
            self.resumed_at = now
        self.active_at = now
