"""Requests of callers."""

from enum import IntEnum

from medlarbeam.classes.record import Record

__all__ = ["Rank", "Request", "join_model", "split_model"]


class Rank(IntEnum):
    """Rank of a request; a smaller number is served first."""

    URGENT = 0
    ORDINARY = 1
    YIELDING = 2


def join_model(adapter, version):
    """Return the model name that engines know, ``adapter@version``."""
    return f"{adapter}@{version}"


def split_model(model):
    """Return ``(adapter, version)`` of a model name."""
    adapter, _, version = model.rpartition("@")
    return adapter, version


class Request(Record):
    """One request of a caller.

    Parameters
    ----------
    request_id : str
        Unique over all nodes and their restarts.
    caller : str
        Identity of the caller.
    rank : Rank
    deadline : float
        Monotonic time (s) of this node by which the answer has to be complete.
    models : list of str
        Acceptable ``adapter@version`` names, best first; empty for plain services.
    service : str
        Name of the plain service, or "" for the model engines.
    path : str
        Path at the plain service, "" for the model engines.
    body : str
        The prompt, or the JSON body for a plain service.
    max_tokens : int
        Allowance of tokens that the caller asked for.
    stream : bool
        Whether the caller wants chunks as they come.
    non_idempotent : bool
    key : str
        Idempotency key, "" where there is none.
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
