"""The node: passes each message to the component that handles it."""

from medlarbeam.classes.messages import PeerMessage
from medlarbeam.classes.platform import KvResult
from medlarbeam.node.component import ComponentHost

__all__ = ["Node"]

PAUSE_S = 1.0  # a node that runs is called each 0.1 s


class Node(ComponentHost):
    """All that an entry node decides, driven by messages.

    Parameters
    ----------
    settings : NodeSettings
    rng : random.Random
        Seeded source of every random choice.
    parts : NodeParts
        Classes of the components.

    Notes
    -----
    Times are monotonic seconds of this node. The methods return the effects for the shell.

    Attributes
    ----------
    woke_at : float
        Time (s) of the first call after a pause of the process, -infinity if there was none.
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
        "rng",
        "runs",
        "settings",
        "woke_at",
    )

    def __init__(self, settings, rng, parts):
        self.settings = settings
        self.active_at = float("inf")
        self.woke_at = float("-inf")
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
        """Note which messages `component` takes."""
        super().register(component)
        for kind, method in component.peer_handlers().items():
            self.peer_handlers.setdefault(kind, []).append(method)
        if component.name:
            self.kv_handlers[component.name] = component.handle_kv

    def dispatch(self, message, now, out):
        """Pass a message to the components that take it."""
        if isinstance(message, PeerMessage):
            for method in self.peer_handlers.get(type(message.body), ()):
                method(message.sender, message.body, now, out)
        elif isinstance(message, KvResult):
            self.kv_handlers[message.call.component](message, now, out)
        else:
            super().dispatch(message, now, out)

    def note_time(self, now):
        """Notice a pause of the process."""
        if now - self.active_at > PAUSE_S:
            self.woke_at = now
        self.active_at = now
