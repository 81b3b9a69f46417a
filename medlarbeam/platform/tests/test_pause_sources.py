"""Only a 503 of the server itself, for a request that was not run, is read as a pause."""

import re

import pytest
from multidict import CIMultiDict

from medlarbeam.platform import headers, server_responses
from medlarbeam.platform.server_responses import find_pause
from medlarbeam.platform.tests import test_headers


class FakeResponse:
    """Status and headers of a response."""

    __slots__ = ("headers", "status")

    def __init__(self, status, fields):
        self.status = status
        self.headers = CIMultiDict({"Retry-After": "2", **fields})


NOT_RUN = {"X-Not-Executed": "1"}
STATUSES = [
    ("refusal-of-a-request-that-was-not-run", 503, NOT_RUN, True),
    ("503-of-a-run", 503, {}, False),
    ("too-many-calls-of-one-kind", 429, NOT_RUN, False),
    ("missing-adapter", 421, NOT_RUN, False),
    ("error-of-a-run", 500, {}, False),
    ("success", 200, {}, False),
]


def check_status(status, fields, is_pause):
    assert (find_pause(FakeResponse(status, fields), "id-1", "w1") is not None) is is_pause


@pytest.mark.parametrize(
    ("status", "fields", "is_pause"), [s[1:] for s in STATUSES], ids=[s[0] for s in STATUSES]
)
def test_status_decides_whether_a_response_asks_for_a_pause(status, fields, is_pause):
    check_status(status, fields, is_pause)


def check_source(fields):
    test_headers.test_pause_counts_only_from_the_server_that_was_asked(fields, None, True)


MUTANTS = [
    (
        "earlier-refusal-counts",
        headers,
        "ATTEMPT_ID",
        "X-None",
        lambda: check_source({"X-Attempt-Id": "id-0"}),
    ),
    (
        "other-instance-counts",
        headers,
        "INSTANCE_ID",
        "X-None",
        lambda: check_source({"X-Instance-Id": "w2"}),
    ),
    (
        "any-text-is-a-number",
        headers,
        "DECIMAL",
        re.compile(".*"),
        lambda: test_headers.test_pause_is_parsed(["-1"], None),
    ),
    (
        "request-that-ran-counts",
        server_responses,
        "NOT_RUN",
        "Retry-After",
        lambda: check_status(503, {}, False),
    ),
]


@pytest.mark.parametrize(
    ("owner", "name", "value", "check"), [m[1:] for m in MUTANTS], ids=[m[0] for m in MUTANTS]
)
def test_mutant_is_caught(monkeypatch, owner, name, value, check):
    """A rule without which no test fails could be lost in a later change."""
    check()
    monkeypatch.setattr(owner, name, value)
    with pytest.raises(AssertionError):
        check()
