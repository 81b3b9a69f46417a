"""JSON documents, server-sent events and headers of the responses to callers."""

from orjson import dumps

from medlarbeam.classes.record import Record
from medlarbeam.classes.requests import split_model
from medlarbeam.daemon.event_stream import format_event

__all__ = [
    "DONE_EVENT",
    "ResponseMetadata",
    "build_completion_document",
    "build_error_document",
    "build_headers",
    "format_chunk",
    "format_error",
    "format_last_chunk",
]

DONE_EVENT = format_event(b"[DONE]")


class ResponseMetadata(Record):
    """Metadata of a response, as far as it is known.

    Parameters
    ----------
    request_id : str
    revision : int
        Revision of the current catalog.
    age_s : float
        Time since that revision was last confirmed to be the latest (s).
    model, server : str
        Empty until the model and the backend server are known.
    attempts : int
    load_wait_s : float
        Time that the request waited for its adapter to be loaded (s).
    replayed : bool
        Whether this is the stored response to an earlier request with the same idempotency key.
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
        """Return the metadata as the JSON document that completions and errors include."""
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
    """Return an age for JSON, which has no infinity: None if never confirmed."""
    return round(age_s, 3) if age_s < 1e12 else None


def build_headers(metadata):
    """Return the response headers that carry the metadata."""
    age = round_age(metadata.age_s)
    return {
        "X-Request-Id": metadata.request_id,
        "X-Model": metadata.model,
        "X-Backend-Server": metadata.server,
        "X-Attempts": str(metadata.attempts),
        "X-Catalog-Revision": str(metadata.revision),
        "X-Catalog-Age-S": "unconfirmed" if age is None else str(age),
        "X-Replayed": str(metadata.replayed).lower(),
    }


def build_error_document(failure, metadata):
    """Return the JSON document of a `Failure`."""
    return {
        "error": {
            "kind": failure.kind.value,
            "reason": failure.reason,
            "run_state": failure.run_state.value,
        },
        "medlarbeam": metadata.build_document(),
    }


def build_completion_document(text, metadata, created):
    """Return the JSON document of a completion; `created` is in seconds since the epoch.

    The end of a run has no reason, so "stop" is also reported when ``max_tokens`` is exhausted.
    """
    document = build_chunk(text, metadata, created, "stop")
    document["medlarbeam"] = metadata.build_document()
    return document


def build_chunk(text, metadata, created, finish_reason=None):
    """Return the JSON document of a chunk of a completion, without the metadata."""
    return {
        "id": metadata.request_id,
        "object": "text_completion",
        "created": int(created),
        "model": metadata.model,
        "choices": [{"index": 0, "text": text, "finish_reason": finish_reason}],
    }


def format_chunk(text, metadata, created):
    """Return the event of a chunk of text."""
    return format_event(dumps(build_chunk(text, metadata, created)))


def format_last_chunk(metadata, created):
    """Return the event that follows the last chunk of text."""
    return format_event(dumps(build_completion_document("", metadata, created)))


def format_error(failure, metadata):
    """Return the event that ends a stream that failed after its first chunk."""
    return format_event(dumps(build_error_document(failure, metadata)), name="error")
