"""The node: passes each message to the component that handles it."""

from medlarbeam.classes.messages import PeerMessage
from medlarbeam.classes.platform import KvResult
from medlarbeam.node.component import Outbox

__all__ = ["Node"]

PAUSE_S = 1.0  # a node that runs is called each 0.1 s


class Node:
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
        "components",
        "crashes",
        "kv_handlers",
        "lifecycle",
        "message_handlers",
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
        self.components = [
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
        self.message_handlers = {}
        self.peer_handlers = {}
        self.kv_handlers = {}
        for component in self.components:
            self._register(component)

    def _register(self, component):
        for kind, method in component.handlers().items():
            self.message_handlers.setdefault(kind, []).append(method)
        for kind, method in component.peer_handlers().items():
            self.peer_handlers.setdefault(kind, []).append(method)
        if component.name:
            self.kv_handlers[component.name] = component.handle_kv

    def handle(self, message, now):
        """Take one message and return the list of effects."""
        out = Outbox()
        self._note_time(now)
        if isinstance(message, PeerMessage):
            for method in self.peer_handlers.get(type(message.body), ()):
                method(message.sender, message.body, now, out)
        elif isinstance(message, KvResult):
            self.kv_handlers[message.call.component](message, now, out)
        else:
            for method in self.message_handlers.get(type(message), ()):
                method(message, now, out)
        return out.effects

    def _note_time(self, now):
        if now - self.active_at > PAUSE_S:
            self.woke_at = now
        self.active_at = now

    def tick(self, now):
        """Do what is due and return the list of effects."""
        out = Outbox()
        self._note_time(now)
        for component in self.components:
            if component.next_deadline() <= now:
                component.tick(now, out)
        return out.effects

    def next_deadline(self):
        """Return the time (s) at which `tick` has to be called next."""
        return min(component.next_deadline() for component in self.components)
