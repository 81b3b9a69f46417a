"""Builds a node from its components."""

from medlarbeam.algorithms.eviction import DecayedUseEviction
from medlarbeam.algorithms.fair_queue import PriorityFairQueue
from medlarbeam.algorithms.load_budget import SharedLoadBudget
from medlarbeam.algorithms.retry_budget import TokenRetryBudget
from medlarbeam.algorithms.routing import HashRouting
from medlarbeam.node.adapter_loads import AdapterLoads
from medlarbeam.node.catalog import CatalogReplica
from medlarbeam.node.claims import ClaimManager
from medlarbeam.node.crashes import CrashTracker
from medlarbeam.node.dispatcher import Dispatcher
from medlarbeam.node.lifecycle import Lifecycle
from medlarbeam.node.membership import Membership
from medlarbeam.node.node import Node
from medlarbeam.node.notes import NoteApplier
from medlarbeam.node.operations import Operations
from medlarbeam.node.parts import NodeParts
from medlarbeam.node.request_router import RequestRouter

__all__ = ["build_node", "build_parts"]


def _build_request_router(node):
    return RequestRouter(node, HashRouting(), TokenRetryBudget())


def _build_queue(settings):
    return PriorityFairQueue(settings.queue_limit)


def _build_dispatcher(node):
    settings = node.settings
    budget = SharedLoadBudget(settings.loads_per_s, settings.loads_in_flight)
    return Dispatcher(node, AdapterLoads(node, DecayedUseEviction(), budget), _build_queue)


def build_parts():
    """Return the `NodeParts` of the daemon."""
    return NodeParts(
        ownership=Membership,
        catalog=CatalogReplica,
        notes=NoteApplier,
        claims=ClaimManager,
        crashes=CrashTracker,
        requests=_build_request_router,
        runs=_build_dispatcher,
        operations=Operations,
        lifecycle=Lifecycle,
    )


def build_node(settings, rng):
    """Return a `Node` with the components of the daemon.

    Parameters
    ----------
    settings : NodeSettings
    rng : random.Random
    """
    return Node(settings, rng, build_parts())
