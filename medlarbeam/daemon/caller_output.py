"""Documents and headers of the answers to callers."""

from orjson import dumps

from medlarbeam.classes.record import Record
from medlarbeam.classes.requests import split_model
from medlarbeam.daemon.event_stream import format_event

__all__ = [
    "DONE",
    "AnswerOrigin",
    "build_completion",
    "build_error",
    "build_headers",
    "format_chunk",
    "format_error",
    "format_last_chunk",
]

DONE = format_event(b"[DONE]")


class AnswerOrigin(Record):
    """Where an answer comes from, as far as it is known.

    Parameters
    ----------
    request_id : str
    revision : int
        Revision of the catalogue in force.
    age_s : float
        Seconds since that revision was known to be the latest.
    model, server : str
    attempts : int
    load_wait_s : float
    replayed : bool
    """

    __slots__ = (
        "age_s",
        "attempts",
        "load_wait_s",
        "model",
        "replayed",
        "request_id",
        "revision",
        "server",
    )

    def __init__(
        self,
        request_id,
        revision,
        age_s,
        model="",
        server="",
        attempts=0,
        load_wait_s=0.0,
        replayed=False,
    ):
        self.request_id = request_id
        self.revision = revision
        self.age_s = age_s
        self.model = model
        self.server = server
        self.attempts = attempts
        self.load_wait_s = load_wait_s
        self.replayed = replayed

    def build_document(self):
        """Return the JSON document that each answer and each error carries."""
        adapter, version = split_model(self.model)
        return {
            "request_id": self.request_id,
            "adapter": adapter,
            "version": version,
            "server": self.server,
            "attempts": self.attempts,
            "catalog_revision": self.revision,
            "catalog_age_s": round_age(self.age_s),
            "load_wait_s": round(self.load_wait_s, 3),
            "replayed": self.replayed,
        }


def round_age(age_s):
    """Return an age for JSON, which has no infinity: None where nothing was ever confirmed."""
    return round(age_s, 3) if age_s < 1e12 else None


def build_headers(origin):
    """Return the answer headers that name the origin."""
    age = round_age(origin.age_s)
    return {
        "X-Request-Id": origin.request_id,
        "X-Model": origin.model,
        "X-Backend-Server": origin.server,
        "X-Attempts": str(origin.attempts),
        "X-Catalog-Revision": str(origin.revision),
        "X-Catalog-Age-S": "unconfirmed" if age is None else str(age),
        "X-Replayed": str(origin.replayed).lower(),
    }


def build_error(failure, origin):
    """Return the JSON document of a `Failure`."""
    return {
        "error": {
            "kind": failure.kind.value,
            "reason": failure.reason,
            "run_state": failure.run_state.value,
        },
        "medlarbeam": origin.build_document(),
    }


def build_completion(text, origin, created):
    """Return the JSON document of a completion; `created` is in seconds since the epoch.

    The end of a run carries no reason, so that "stop" also stands for a spent allowance.
    """
    document = build_piece(text, origin, created, "stop")
    document["medlarbeam"] = origin.build_document()
    return document


def build_piece(text, origin, created, finish_reason=None):
    """Return the JSON document of a piece of a completion, without its origin."""
    return {
        "id": origin.request_id,
        "object": "text_completion",
        "created": int(created),
        "model": origin.model,
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
    }


def format_chunk(text, origin, created):
    """Return the event of a piece of text."""
    return format_event(dumps(build_piece(text, origin, created)))


def format_last_chunk(origin, created):
    """Return the event behind the last piece of text."""
    return format_event(dumps(build_completion("", origin, created)))


def format_error(failure, origin):
    """Return the event that ends a stream that failed part way."""
    return format_event(dumps(build_error(failure, origin)), name="error")
