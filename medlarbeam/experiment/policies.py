"""Selection of naive policies by name."""

from medlarbeam.algorithms.eviction import NaiveEviction
from medlarbeam.algorithms.fair_queue import FifoQueue
from medlarbeam.algorithms.load_budget import UnlimitedLoadBudget
from medlarbeam.algorithms.retry_budget import TokenRetryBudget
from medlarbeam.algorithms.routing import NaiveRouting
from medlarbeam.exceptions import FormatError
from medlarbeam.node.adapter_loads import AdapterLoads
from medlarbeam.node.assembly import build_parts
from medlarbeam.node.dispatcher import Dispatcher
from medlarbeam.node.request_router import RequestRouter

__all__ = ["POLICIES", "build_policy_parts"]

POLICIES = ("routing", "queue", "budget", "eviction")


def build_policy_parts(naive):
    """Return the `NodeParts` of the daemon with the named policies replaced by naive ones.

    Parameters
    ----------
    naive : collection of str
        Names from `POLICIES`.

    Raises
    ------
    FormatError
        If a name is not in `POLICIES`.
    """
    for name in naive:
        if name not in POLICIES:
            raise FormatError(f"policy {name!r}: expected one of {', '.join(POLICIES)}")
    parts = build_parts()
    if "routing" in naive:
        parts.requests = _build_naive_request_router
    if {"queue", "budget", "eviction"} & set(naive):
        parts.runs = _DispatcherFactory(parts.runs, set(naive))
    return parts


def _build_naive_request_router(node):
    return RequestRouter(node, NaiveRouting(), TokenRetryBudget())


def _build_fifo(settings):
    return FifoQueue(settings.queue_limit)


class _DispatcherFactory:
    """Builds the dispatcher of the daemon with some of its policies replaced by naive ones."""

    __slots__ = ("build", "naive")

    def __init__(self, build, naive):
        self.build = build
        self.naive = naive

    def __call__(self, node):
        dispatcher = self.build(node)
        eviction = NaiveEviction() if "eviction" in self.naive else dispatcher.loads.eviction
        make_queue = _build_fifo if "queue" in self.naive else dispatcher.make_queue
        budget = UnlimitedLoadBudget() if "budget" in self.naive else dispatcher.loads.budget
        return Dispatcher(node, AdapterLoads(node, eviction, budget), make_queue)
