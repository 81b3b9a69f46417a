"""Figures and rules of a play of harmful parts, and the plays that a command names."""

import pytest

from medlarbeam.soak.crash_checker import CrashRequest, evaluate, find_broken_rules
from medlarbeam.soak.crashes import list_plays
from medlarbeam.soak.worker import RunRecord

FAULT_SINCE = 10.0
CRASHES = [10.5, 10.1, 10.4, 10.2, 10.3]  # the fifth at 10.5


def make_request(attempt, is_harmful, at, is_begun=True):
    request = CrashRequest(attempt, is_harmful, at)
    request.is_begun = is_begun
    return request


def harmless(at, begun, sent):
    return [make_request(f"{at}-{n}", False, at, n < begun) for n in range(sent)]


# Harmful runs, harmless requests with their times, crashes, and the rules that are broken.
PLAYS = [
    ("three-late-arrivals-are-allowed", [13.6] * 3, [], CRASHES, []),
    ("four-late-arrivals", [13.6] * 4, [], CRASHES, ["BUDGET"]),
    ("arrivals-in-contact-time-are-not-late", [13.4] * 9, [], CRASHES, []),
    ("four-crashes-are-no-evidence", [13.6] * 9, harmless(16.6, 0, 9), CRASHES[:4], []),
    ("half-of-the-share-before", [], harmless(9.0, 8, 10) + harmless(16.6, 4, 10), CRASHES, []),
    (
        "less-than-half-of-it",
        [],
        harmless(9.0, 8, 10) + harmless(16.6, 3, 10),
        CRASHES,
        ["LOST"],
    ),
    ("refusals-before-that-time", [], harmless(9.0, 8, 10) + harmless(16.4, 0, 10), CRASHES, []),
    ("runs-of-harmless-requests-are-not-late", [], harmless(13.6, 9, 9), CRASHES, []),
]


@pytest.mark.parametrize(
    ("runs", "others", "crashes", "broken"), [p[1:] for p in PLAYS], ids=[p[0] for p in PLAYS]
)
def test_rules_of_a_play(runs, others, crashes, broken):
    requests = [make_request(f"h{n}", True, 10.0) for n in range(len(runs))]
    records = [RunRecord(f"h{n}", "engine-0", at) for n, at in enumerate(runs)]
    records += [RunRecord(r.attempt, "engine-0", r.sent_at) for r in others]
    result = evaluate(requests + others, records, crashes, FAULT_SINCE)
    assert find_broken_rules(result) == broken
    assert (result.arrivals, result.crashes) == (len(runs), len(crashes))


COMMANDS = [
    ("default-is-chunked", ("dark", "", "stream"), [("dark", "chunked")]),
    ("one-framing", ("reset", "mixed", "call"), [("reset", "mixed")]),
]


@pytest.mark.parametrize(
    ("names", "plays"), [c[1:] for c in COMMANDS], ids=[c[0] for c in COMMANDS]
)
def test_plays_of_a_command(names, plays):
    assert list_plays(*names) == plays


ALL = [("streams-have-no-length", "stream", 12), ("calls-have-a-length", "call", 16)]


@pytest.mark.parametrize(("kind", "count"), [a[1:] for a in ALL], ids=[a[0] for a in ALL])
def test_all_plays(kind, count):
    plays = list_plays("all", "", kind)
    assert len(set(plays)) == len(plays) == count
    assert len(list_plays("all", "unframed", kind)) == 4


UNKNOWN = [
    ("unknown-way", ("darkk", "", "stream")),
    ("unknown-framing", ("dark", "x", "stream")),
    ("unknown-kind", ("dark", "", "x")),
]


@pytest.mark.parametrize("names", [u[1] for u in UNKNOWN], ids=[u[0] for u in UNKNOWN])
def test_unknown_names_are_no_plays(names):
    with pytest.raises(ValueError):
        list_plays(*names)
