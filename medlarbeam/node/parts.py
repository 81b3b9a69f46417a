"""The component factories of a node."""

__all__ = ["NodeParts"]


class NodeParts:
    """Component factories of a node, so that tests can replace single components.

    Parameters
    ----------
    ownership, catalog, notes, claims, crashes, requests, runs, operations, lifecycle : callable
        Called with the node; return subclasses of the classes in `medlarbeam.node.component`.
    """

    __slots__ = (
        "catalog",
        "claims",
        "crashes",
        "lifecycle",
        "notes",
        "operations",
        "ownership",
        "requests",
        "runs",
    )

    def __init__(
        self, ownership, catalog, notes, claims, crashes, requests, runs, operations, lifecycle
    ):
        self.ownership = ownership
        self.catalog = catalog
        self.notes = notes
        self.claims = claims
        self.crashes = crashes
        self.requests = requests
        self.runs = runs
        self.operations = operations
        self.lifecycle = lifecycle
