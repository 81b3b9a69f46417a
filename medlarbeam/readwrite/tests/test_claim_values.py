"""Claim values survive a round trip, and any other bytes raise a FormatError."""

import orjson
import pytest

from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.node.component import ClaimOutcome
from medlarbeam.readwrite.claim_values import ClaimValue, decode_claim, encode_claim

SERVER_LOST_FAILURE = Failure(ErrorKind.SERVER_LOST, "broken", RunState.MAY_HAVE_RUN)
VALUES = [
    ("claim-without-outcome", None),
    ("outcome", ClaimOutcome(201, '{"a": "\u00e9\u0000"}', "a@1", "s")),
    ("failed-outcome", ClaimOutcome(0, "", "", "s", SERVER_LOST_FAILURE)),
    ("truncated-outcome", ClaimOutcome(200, "notice", "", "s", None, True)),
]


@pytest.mark.parametrize("outcome", [v[1] for v in VALUES], ids=[v[0] for v in VALUES])
def test_round_trip(outcome):
    value = ClaimValue("n1:1:1", "ab", outcome)
    assert decode_claim(encode_claim(value)) == value


INVALID_CLAIMS = [
    ("not-json", None, "claim is not JSON: "),
    ("unknown-format", {"format": 2}, "unknown format 2"),
    ("missing-field", {"claim_id": None, "drop": "claim_id"}, "fields"),
    ("unknown-field", {"more": 1}, "fields"),
    ("empty-claim-id", {"claim_id": ""}, "claim_id"),
    ("digest-of-wrong-type", {"body_digest": 7}, "body_digest"),
    ("outcome-of-wrong-type", {"outcome": []}, "outcome must have"),
    ("status-is-boolean", {"status": True}, "status"),
    ("body-is-null", {"body": None}, "body"),
    ("unknown-failure-kind", {"failure": {"kind": "x", "reason": "", "run_state": "ran"}}, "'x'"),
    ("incomplete-failure", {"failure": {"kind": "internal"}}, "outcome.failure must have"),
]


@pytest.mark.parametrize(
    ("changes", "message"), [f[1:] for f in INVALID_CLAIMS], ids=[f[0] for f in INVALID_CLAIMS]
)
def test_invalid_claim_is_rejected(changes, message):
    data = encode_claim(ClaimValue("n1:1:1", "ab", VALUES[1][1]))
    if changes is None:
        data = data[:-1]
    else:
        document = orjson.loads(data)
        for field, value in changes.items():
            target = document["outcome"] if field in document["outcome"] else document
            target[field] = value
        if "drop" in document:
            del document[document.pop("drop")]
        data = orjson.dumps(document)
    with pytest.raises(FormatError, match=message):
        decode_claim(data)


@pytest.mark.parametrize(
    "data", [b"[]", b"1", b"", b"\xff"], ids=["list", "number", "empty", "binary"]
)
def test_non_claims_are_rejected(data):
    with pytest.raises(FormatError):
        decode_claim(data)
