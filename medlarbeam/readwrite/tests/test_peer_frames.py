"""Peer frames: messages survive a round trip, and invalid bytes only raise a FormatError."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from medlarbeam.classes import handshake, peer_messages
from medlarbeam.classes.peer_messages import AttemptChunk, CatalogUpdate, FetchCatalog, Ping, Pong
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.peer_frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    FrameReader,
    encode_peer_message,
)
from medlarbeam.readwrite.tests.samples import FUZZ, PEER_MESSAGES, PONG, SHARD

FRAMES = [encode_peer_message(message) for message in PEER_MESSAGES]
NESTED_CLASSES = {
    "AdapterHolding",
    "CreditItem",
    "LeavingServer",
    "LostRun",
    "ModelCount",
    "ServerRate",
    "ServerSummary",
}


def add_length(payload):
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


@pytest.mark.parametrize(
    "message", PEER_MESSAGES, ids=lambda b: f"{type(b).__name__}-loses-a-field"
)
def test_message_round_trip(message):
    assert FrameReader().feed(encode_peer_message(message)) == [message]


@pytest.mark.parametrize(
    "module",
    [peer_messages, handshake],
    ids=["peer-message-without-sample", "handshake-without-sample"],
)
def test_every_class_has_a_sample(module):
    sampled = {type(message).__name__ for message in PEER_MESSAGES}
    assert set(module.__all__) - NESTED_CLASSES <= sampled


@pytest.mark.parametrize("size", [1, 3, 64, 10**6], ids="chunks-of-{}-bytes-lose-a-frame".format)
def test_stream_in_chunks(size):
    stream = b"".join(FRAMES)
    reader = FrameReader()
    chunks = [stream[i : i + size] for i in range(0, len(stream), size)]
    assert [message for chunk in chunks for message in reader.feed(chunk)] == PEER_MESSAGES
    assert reader.buffer == b""


LARGE_MESSAGES = [
    ("several-segments", AttemptChunk("n1-1-1", 1, 0, "é" * 500_000)),
    ("many-list-items", CatalogUpdate(PEER_MESSAGES[14].head, [SHARD] * 5000)),
]


@pytest.mark.parametrize(
    "message", [c[1] for c in LARGE_MESSAGES], ids=[c[0] for c in LARGE_MESSAGES]
)
def test_large_message_round_trip(message):
    assert FrameReader().feed(encode_peer_message(message)) == [message]


def pack_words(words):
    """Return a packed message of one segment; `words` are integers."""
    packed = b""
    for word in [len(words) << 32, *words]:
        data = word.to_bytes(8, "little")
        tag = sum(1 << i for i in range(8) if data[i])
        packed += bytes([tag]) + data.replace(b"\0", b"") + (b"\0" if tag in (0, 255) else b"")
    return packed


# Root with the member pong, whose second pointer is a list of 2**20 empty items.
PONG_WITH_EMPTY_ITEMS = [1 << 48 | 1 << 32, 5, 3 << 48, 0, 7 << 32 | 5, 0, 2**22]
PING, END = FRAMES[3][LENGTH_BYTES:], FRAMES[9][LENGTH_BYTES:]
NAN = encode_peer_message(Pong(1, 2, "", 0, 0, float("nan"), [], []))
INVALID_FRAMES = [
    ("zero-length", b"\0\0\0\0", "frame of 0 bytes"),
    ("oversize", (MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "frame of 2097153 bytes"),
    ("text-instead-of-frames", b"GET / HTTP/1.1\r\n", "bytes"),
    ("trailing-byte", add_length(PING + b"\1"), "truncated"),
    ("trailing-zeros", add_length(PING + b"\0\0"), "declares"),
    ("trailing-message", add_length(PING + PING), "declares"),
    ("truncated", add_length(PING[:-1]), "truncated"),
    ("truncated-at-a-word", add_length(b"\x10\x05\x50\x01\x01"), "declares 5 words"),
    # The C++ reader aborts the process on this one: the second of two segments is missing.
    ("several-segments", add_length(b"\x11\x01\x01\x01\x50\0\0"), "more than one segment"),
    ("huge-run-of-zeros", add_length(b"\x60\x01\x10" + b"\0\xff" * 4097), "exceeds the limit"),
    ("all-zero-message", add_length(b"\x10\x01\0\0"), "none.*is not a message"),
    (
        "unknown-member",
        add_length(pack_words([1 << 48 | 1 << 32, 99, 0])),
        "unknown to this version",
    ),
    ("unknown-error-kind", add_length(END.replace(b"overload", b"overlord")), "overlord"),
    ("not-utf-8", add_length(END.replace(b"overload", b"over\xff\xfead")), "utf-8"),
    ("million-empty-items", add_length(pack_words(PONG_WITH_EMPTY_ITEMS)), "limit"),
    ("age-not-a-number", NAN, "confirm_age_s is not a number"),
]


@pytest.mark.parametrize(
    ("data", "reason"), [b[1:] for b in INVALID_FRAMES], ids=[b[0] for b in INVALID_FRAMES]
)
def test_invalid_frame_is_rejected(data, reason):
    with pytest.raises(FormatError, match=reason):
        FrameReader().feed(data)


UNENCODABLE_MESSAGES = [
    ("negative", AttemptChunk("r", -1, 0, ""), "AttemptChunk cannot be encoded"),
    ("beyond-64-bits", Ping(2**64, "a", 0), "Ping cannot be encoded"),
    ("no-text", FetchCatalog(1, [None]), "FetchCatalog cannot be encoded"),
    ("lone-surrogate", AttemptChunk("r", 1, 0, "\ud800"), "surrogates"),
    ("missing-record", CatalogUpdate(None, []), "CatalogUpdate cannot be encoded"),
    ("too-long-packed", AttemptChunk("r", 1, 0, "x" * MAX_FRAME_BYTES), "AttemptChunk of"),
    ("too-long-unpacked", AttemptChunk("r", 1, 0, "\0" * 9_000_000), "exceeds the limit"),
    ("foreign-class", SHARD, "CatalogShard is not a peer message"),
]


@pytest.mark.parametrize(
    ("message", "reason"),
    [c[1:] for c in UNENCODABLE_MESSAGES],
    ids=[c[0] for c in UNENCODABLE_MESSAGES],
)
def test_invalid_message_is_not_encoded(message, reason):
    with pytest.raises(FormatError, match=reason):
        encode_peer_message(message)


def assert_reads_or_rejects(data):
    """Feed bytes to a reader; any exception other than FormatError fails the test."""
    try:
        return FrameReader().feed(data)
    except FormatError as error:
        assert str(error)
        return None


@pytest.mark.parametrize("frame", FRAMES, ids=lambda f: f"damaged-frame-{FRAMES.index(f)}")
@FUZZ
@given(data=st.data())
def test_damaged_frame(frame, data):
    payload = bytearray(frame[LENGTH_BYTES:])
    for _ in range(data.draw(st.integers(1, 4))):
        payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
    prefix_size = data.draw(st.integers(0, len(payload)))
    assert_reads_or_rejects(add_length(bytes(payload)))
    assert_reads_or_rejects(add_length(bytes(payload[:prefix_size])))
    assert_reads_or_rejects(
        add_length(bytes(payload[:prefix_size]) + data.draw(st.binary(max_size=20)))
    )


@pytest.mark.parametrize(
    "prefix", [b"", b"\x10\x02"], ids=["random-frame", "random-single-segment-message"]
)
@FUZZ
@given(data=st.binary(max_size=400))
@example(data=b"\0")
def test_random_bytes(prefix, data):
    assert_reads_or_rejects(data)
    assert_reads_or_rejects(add_length(prefix + data))


@pytest.mark.parametrize("message", [PONG], ids=["infinite-age-is-lost"])
def test_infinite_confirm_age(message):
    assert FrameReader().feed(encode_peer_message(message))[0].confirm_age_s == float("inf")
