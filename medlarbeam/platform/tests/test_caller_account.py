"""Account of what callers hold, without sockets.

Guards against memory that grows with what a caller sends, and against refusals of honest callers.
"""

import pytest

from medlarbeam.platform.caller_account import CallerAccount, CallerLimits, PieceReport

PIECE = 8192
LIMITS = CallerLimits(head_bytes=16384, body_bytes=4 << 20, account_bytes=32 << 20)
BODY_STARTS = [PieceReport(300, 1, 0, False)]


def chunks_of_one_byte(count):
    """Return the pieces of `count` bytes in chunks of one byte, 6 bytes each."""
    return [PieceReport(PIECE, 0, n * PIECE // 6, False) for n in range(1, count * 6 // PIECE + 1)]


CALLERS = [
    ("head-of-the-maximum-is-refused", [PieceReport(PIECE, 0, 0, True)] * 2, None),
    ("head-grows-without-end", [PieceReport(PIECE, 0, 0, True)] * 4, "head"),
    (
        "heads-of-many-requests-are-added-up",
        [PieceReport(PIECE, 0, 0, True), PieceReport(PIECE, 1, 0, True)] * 4,
        None,
    ),
    ("body-in-chunks-of-one-byte-is-refused", BODY_STARTS + chunks_of_one_byte(4 << 20), None),
    (
        "body-that-the-parser-left-over-is-taken-for-framing",
        [*BODY_STARTS, PieceReport(PIECE, 0, 0, False), PieceReport(0, 0, PIECE, False)] * 3,
        None,
    ),
    (
        "trailer-grows-without-end",
        BODY_STARTS + [PieceReport(PIECE, 0, 8000, False)] * 5,
        "trailers",
    ),
    (
        "extensions-grow-with-little-payload",
        BODY_STARTS + [PieceReport(PIECE, 0, n, False) for n in range(1, 9)],
        "framing",
    ),
]


@pytest.mark.parametrize(
    ("pieces", "reason"), [c[1:] for c in CALLERS], ids=[c[0] for c in CALLERS]
)
def test_limits_of_a_connection(pieces, reason):
    account = CallerAccount(lambda: LIMITS)
    usage = account.open(None)
    refusals = [r for p in pieces if (r := account.record_piece(usage, p)) is not None]
    assert len(refusals) == (reason is not None)
    assert all(reason in refusal.failure.reason for refusal in refusals)
    account.close(usage)
    assert account.held_bytes == 0


HALF = 17 << 20
CROWDS = [
    ("small-request-is-closed-for-large-ones", [(1000, False), (HALF, False), (HALF, False)], [1]),
    ("request-in-service-is-closed", [(HALF, True), (HALF, True), (1000, False)], [2]),
    ("room-is-made-without-need", [(HALF, False), (1000, False)], []),
    ("large-request-leaves-no-room-for-small-ones", [(25 << 20, False), (1000, False)], [0]),
    ("requests-in-service-are-closed", [(HALF, True), (HALF, True)], []),
]


@pytest.mark.parametrize(("sizes", "closed"), [c[1:] for c in CROWDS], ids=[c[0] for c in CROWDS])
def test_connections_closed_to_make_room(sizes, closed):
    account = CallerAccount(lambda: LIMITS)
    usages = [account.open(index) for index in range(len(sizes))]
    for usage, (size, is_complete) in zip(usages, sizes, strict=True):
        account.record_piece(usage, PieceReport(0, 1, 0, False))
        account.record_piece(usage, PieceReport(size, 0, size, is_complete))
    seen = []
    while (excess := account.select_excess()) is not None:
        seen.append(excess[0].connection)
        assert excess[1].is_answerable
    assert seen == closed


def test_idle_connections_are_closed_when_the_account_is_full_of_them():
    account = CallerAccount(lambda: CallerLimits(10, 10, 3 * 12_288))
    usages = [account.open(index) for index in range(5)]
    closed = []
    while (excess := account.select_excess()) is not None:
        closed.append(excess[0])
        assert not excess[1].is_answerable
    assert closed == usages[:2]


ANSWERS = [
    ("answer-precedes-that-of-an-earlier-request", [PieceReport(100, 1, 0, True)], False),
    ("incomplete-request-gets-no-answer", [], True),
]


@pytest.mark.parametrize(
    ("earlier", "expected"), [a[1:] for a in ANSWERS], ids=[a[0] for a in ANSWERS]
)
def test_refusal_is_answerable_if_it_is_next(earlier, expected):
    account = CallerAccount(lambda: LIMITS)
    usage = account.open(None)
    for piece in earlier + BODY_STARTS:
        assert account.record_piece(usage, piece) is None
    assert account.refuse(usage, "reason").is_answerable is expected
