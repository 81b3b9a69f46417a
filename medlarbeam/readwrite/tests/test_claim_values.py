"""Claim values are read back as written; anything else is an error."""

import orjson
import pytest

from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.node.component import ClaimOutcome
from medlarbeam.readwrite.claim_values import ClaimValue, decode_claim, encode_claim

LOST = Failure(ErrorKind.SERVER_LOST, "broken", RunState.MAY_HAVE_RUN)
VALUES = [
    ("claim-without-outcome", None),
    ("outcome", ClaimOutcome(201, '{"a": "\u00e9\u0000"}', "a@1", "s")),
    ("failed-outcome", ClaimOutcome(0, "", "", "s", LOST)),
    ("truncated-outcome", ClaimOutcome(200, "notice", "", "s", None, True)),
]


@pytest.mark.parametrize("outcome", [v[1] for v in VALUES], ids=[v[0] for v in VALUES])
def test_round_trip(outcome):
    value = ClaimValue("n1:1:1", "ab", outcome)
    assert decode_claim(encode_claim(value)) == value


FAULTS = [
    ("not-json", None, "claim: "),
    ("unknown-format", {"format": 2}, "unknown format 2"),
    ("missing-field", {"claim_id": None, "drop": "claim_id"}, "fields"),
    ("unknown-field", {"more": 1}, "fields"),
    ("empty-claim-id", {"claim_id": ""}, "claim_id"),
    ("digest-of-wrong-type", {"body_digest": 7}, "body_digest"),
    ("outcome-of-wrong-type", {"outcome": []}, "outcome needs"),
    ("status-is-boolean", {"status": True}, "status"),
    ("body-is-null", {"body": None}, "body"),
    ("unknown-failure-kind", {"failure": {"kind": "x", "reason": "", "run_state": "ran"}}, "'x'"),
    ("incomplete-failure", {"failure": {"kind": "internal"}}, "outcome.failure needs"),
]


@pytest.mark.parametrize(("change", "message"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS])
def test_fault_is_reported(change, message):
    data = encode_claim(ClaimValue("n1:1:1", "ab", VALUES[1][1]))
    if change is None:
        data = data[:-1]
    else:
        document = orjson.loads(data)
        for field, value in change.items():
            place = document["outcome"] if field in document["outcome"] else document
            place[field] = value
        if "drop" in document:
            del document[document.pop("drop")]
        data = orjson.dumps(document)
    with pytest.raises(FormatError, match=message):
        decode_claim(data)


@pytest.mark.parametrize(
    "data", [b"[]", b"1", b"", b"\xff"], ids=["list", "number", "empty", "binary"]
)
def test_other_values_are_refused(data):
    with pytest.raises(FormatError):
        decode_claim(data)
