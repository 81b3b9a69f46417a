"""Caller requests, their ranks and the names of models."""

from enum import IntEnum

from medlarbeam.classes.record import Record

__all__ = ["Rank", "Request", "join_model", "split_model"]


class Rank(IntEnum):
    """Priority class of a request; a smaller number is served first."""

    URGENT = 0
    ORDINARY = 1
    YIELDING = 2


def join_model(adapter, version):
    """Return the model name used by engines, ``adapter@version``."""
    return f"{adapter}@{version}"


def split_model(model):
    """Return ``(adapter, version)`` of a model name."""
    adapter, _, version = model.rpartition("@")
    return adapter, version


class Request(Record):
    """A request from a caller.

    Parameters
    ----------
    request_id : str
        Unique across all nodes and their restarts.
    caller : str
        Identity of the caller.
    rank : Rank
    deadline : float
        Monotonic time (s) on this node's clock by which the response must be complete.
    models : list of str
        Acceptable ``adapter@version`` names in order of preference; empty for plain services.
    service : str
        Name of the plain service, "" for a model engine.
    path : str
        Request path at the plain service, "" for a model engine.
    body : str
        The prompt, or the JSON body for a plain service.
    max_tokens : int
        Maximum number of tokens to generate.
    stream : bool
        Whether the response is streamed to the caller.
    non_idempotent : bool
    key : str
        Idempotency key, "" if the caller sent none.
    """

    __slots__ = (
        "body",
        "caller",
        "deadline",
        "key",
        "max_tokens",
        "models",
        "non_idempotent",
        "path",
        "rank",
        "request_id",
        "service",
        "stream",
    )

    def __init__(
        self,
        request_id,
        caller,
        rank,
        deadline,
        models,
        body,
        *,
        service="",
        path="",
        max_tokens=256,
        stream=False,
        non_idempotent=False,
        key="",
    ):
        self.request_id = request_id
        self.caller = caller
        self.rank = rank
        self.deadline = deadline
        self.models = models
        self.body = body
        self.service = service
        self.path = path
        self.max_tokens = max_tokens
        self.stream = stream
        self.non_idempotent = non_idempotent
        self.key = key
