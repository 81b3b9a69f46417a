"""JSON encoding of the claims of non-idempotent requests that the platform stores."""

import orjson

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.node.component import ClaimOutcome

__all__ = ["CLAIM_FORMAT", "MAX_STORED_BODY_BYTES", "ClaimValue", "decode_claim", "encode_claim"]

CLAIM_FORMAT = 1
# 200 outcomes of this size per second cause 13 MB/s of writes, and a value stays well below the
# platform's limit of 1 MB.
MAX_STORED_BODY_BYTES = 65536

_CLAIM_FIELDS = {"format", "claim_id", "body_digest", "outcome"}
_OUTCOME_FIELDS = {
    "status": int,
    "body": str,
    "model": str,
    "server": str,
    "truncated": bool,
    "failure": (dict, type(None)),
}
_FAILURE_FIELDS = {"kind": str, "reason": str, "run_state": str}


class ClaimValue(Record):
    """A claim as the platform stores it.

    Parameters
    ----------
    claim_id : str
        Unique across all nodes and their restarts.
    body_digest : str
        Digest of the request body.
    outcome : ClaimOutcome or None
        None until the request has ended.
    """

    __slots__ = ("body_digest", "claim_id", "outcome")

    def __init__(self, claim_id, body_digest, outcome=None):
        self.claim_id = claim_id
        self.body_digest = body_digest
        self.outcome = outcome


def encode_claim(value):
    """Return a `ClaimValue` as bytes."""
    outcome = value.outcome
    return orjson.dumps(
        {
            "format": CLAIM_FORMAT,
            "claim_id": value.claim_id,
            "body_digest": value.body_digest,
            "outcome": None if outcome is None else _outcome_to_json(outcome),
        }
    )


def _outcome_to_json(outcome):
    failure = outcome.failure
    return {
        "status": outcome.status,
        "body": outcome.body,
        "model": outcome.model,
        "server": outcome.server,
        "truncated": outcome.truncated,
        "failure": (
            None
            if failure is None
            else {
                "kind": failure.kind.value,
                "reason": failure.reason,
                "run_state": failure.run_state.value,
            }
        ),
    }


def decode_claim(data):
    """Return the `ClaimValue` encoded in `data`.

    Raises
    ------
    FormatError
        If the bytes are not a claim in a known format.
    """
    try:
        document = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise FormatError(f"claim is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise FormatError("claim must be a JSON object")
    if document.get("format") != CLAIM_FORMAT:
        raise FormatError(f"claim has the unknown format {document.get('format')!r}")
    if set(document) != _CLAIM_FIELDS:
        raise FormatError(f"claim has fields {sorted(document)}, expected {sorted(_CLAIM_FIELDS)}")
    for field in ("claim_id", "body_digest"):
        if not isinstance(document[field], str) or not document[field]:
            raise FormatError(f"claim: {field} must be a non-empty string, got {document[field]!r}")
    outcome = document["outcome"]
    if outcome is not None:
        outcome = _read_outcome(outcome)
    return ClaimValue(document["claim_id"], document["body_digest"], outcome)


def _check_fields(document, fields, path):
    if not isinstance(document, dict) or set(document) != set(fields):
        raise FormatError(f"claim: {path} must have exactly the fields {sorted(fields)}")
    for field, expected_type in fields.items():
        value = document[field]
        if not isinstance(value, expected_type) or (
            expected_type is int and isinstance(value, bool)
        ):
            raise FormatError(f"claim: {path}.{field} has the wrong type")


def _read_outcome(document):
    _check_fields(document, _OUTCOME_FIELDS, "outcome")
    failure = document["failure"]
    if failure is not None:
        _check_fields(failure, _FAILURE_FIELDS, "outcome.failure")
        try:
            kind, run_state = ErrorKind(failure["kind"]), RunState(failure["run_state"])
        except ValueError as error:
            raise FormatError(f"claim: outcome.failure: {error}") from error
        failure = Failure(kind, failure["reason"], run_state)
    return ClaimOutcome(
        document["status"],
        document["body"],
        document["model"],
        document["server"],
        failure,
        document["truncated"],
    )
