"""Peer frames: nothing is lost on the way, and bad bytes are a FormatError and nothing else."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from medlarbeam.classes import handshake, peer_messages
from medlarbeam.classes.peer_messages import Chunk, FetchCatalog, NoteSpread, Ping, Pong
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.peer_frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    FrameReader,
    encode_peer_message,
)
from medlarbeam.readwrite.tests.samples import FUZZ, PEER_MESSAGES, PONG, SHARD

FRAMES = [encode_peer_message(body) for body in PEER_MESSAGES]
PARTS_OF_MESSAGES = {"AdapterHolding", "ModelCount", "ServerSummary"}


def with_length(payload):
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


@pytest.mark.parametrize("body", PEER_MESSAGES, ids=lambda b: f"{type(b).__name__}-loses-a-field")
def test_message_survives(body):
    assert FrameReader().feed(encode_peer_message(body)) == [body]


@pytest.mark.parametrize("module", [peer_messages, handshake], ids=["no-sample", "no-hello"])
def test_every_class_has_a_sample(module):
    sampled = {type(body).__name__ for body in PEER_MESSAGES}
    assert set(module.__all__) - PARTS_OF_MESSAGES <= sampled


@pytest.mark.parametrize("size", [1, 3, 64, 10**6], ids="pieces-of-{}-bytes-lose-a-frame".format)
def test_stream_in_pieces(size):
    stream = b"".join(FRAMES)
    reader = FrameReader()
    pieces = [stream[i : i + size] for i in range(0, len(stream), size)]
    assert [body for piece in pieces for body in reader.feed(piece)] == PEER_MESSAGES
    assert reader.buffer == b""


LARGE = [
    ("several-segments", Chunk("n1-1-1", 1, 0, "é" * 500_000)),
    ("many-list-items", NoteSpread(PEER_MESSAGES[14].head, [SHARD] * 5000)),
]


@pytest.mark.parametrize("body", [c[1] for c in LARGE], ids=[c[0] for c in LARGE])
def test_large_message_survives(body):
    assert FrameReader().feed(encode_peer_message(body)) == [body]


def pack_words(words):
    """Return a packed message of one segment; `words` are integers."""
    packed = b""
    for word in [len(words) << 32, *words]:
        data = word.to_bytes(8, "little")
        tag = sum(1 << i for i in range(8) if data[i])
        packed += bytes([tag]) + data.replace(b"\0", b"") + (b"\0" if tag in (0, 255) else b"")
    return packed


# Root with the member pong, whose second pointer is a list of 2**20 items without content.
PONG_OF_EMPTY_ITEMS = [1 << 48 | 1 << 32, 5, 3 << 48, 0, 7 << 32 | 5, 0, 2**22]
PING, END = FRAMES[3][LENGTH_BYTES:], FRAMES[9][LENGTH_BYTES:]
NAN = encode_peer_message(Pong(1, 2, "", 0, 0, float("nan"), [], []))
BAD = [
    ("zero-length", b"\0\0\0\0", "frame of 0 bytes"),
    ("oversize", (MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "frame of 2097153 bytes"),
    ("text-instead-of-frames", b"GET / HTTP/1.1\r\n", "bytes"),
    ("trailing-byte", with_length(PING + b"\1"), "truncated"),
    ("trailing-zeros", with_length(PING + b"\0\0"), "states"),
    ("trailing-message", with_length(PING + PING), "states"),
    ("truncated", with_length(PING[:-1]), "truncated"),
    ("truncated-at-a-word", with_length(b"\x10\x05\x50\x01\x01"), "states 5 words"),
    # The C++ reader ends the process on this one: the second of two segments is missing.
    ("several-segments", with_length(b"\x11\x01\x01\x01\x50\0\0"), "more than one segment"),
    ("zero-bomb", with_length(b"\x60\x01\x10" + b"\0\xff" * 4097), "above the limit"),
    ("all-zero-message", with_length(b"\x10\x01\0\0"), "none.*is not a message"),
    (
        "unknown-member",
        with_length(pack_words([1 << 48 | 1 << 32, 99, 0])),
        "unknown to this version",
    ),
    ("unknown-error-kind", with_length(END.replace(b"overload", b"overlord")), "overlord"),
    ("not-utf-8", with_length(END.replace(b"overload", b"over\xff\xfead")), "utf-8"),
    ("empty-items-without-end", with_length(pack_words(PONG_OF_EMPTY_ITEMS)), "limit"),
    ("age-not-a-number", NAN, "confirm_age_s is not a number"),
]


@pytest.mark.parametrize(("data", "reason"), [b[1:] for b in BAD], ids=[b[0] for b in BAD])
def test_bad_frame_is_refused(data, reason):
    with pytest.raises(FormatError, match=reason):
        FrameReader().feed(data)


NOT_SENT = [
    ("negative", Chunk("r", -1, 0, ""), "Chunk cannot be encoded"),
    ("beyond-64-bits", Ping(2**64, "a", 0), "Ping cannot be encoded"),
    ("no-text", FetchCatalog(1, [None]), "FetchCatalog cannot be encoded"),
    ("lone-surrogate", Chunk("r", 1, 0, "\ud800"), "surrogates"),
    ("missing-record", NoteSpread(None, []), "NoteSpread cannot be encoded"),
    ("too-long-packed", Chunk("r", 1, 0, "x" * MAX_FRAME_BYTES), "Chunk of"),
    ("too-long-unpacked", Chunk("r", 1, 0, "\0" * 9_000_000), "above the limit"),
    ("foreign-class", SHARD, "CatalogShard is not a peer message"),
]


@pytest.mark.parametrize(
    ("body", "reason"), [c[1:] for c in NOT_SENT], ids=[c[0] for c in NOT_SENT]
)
def test_bad_message_is_not_encoded(body, reason):
    with pytest.raises(FormatError, match=reason):
        encode_peer_message(body)


def read_all(data):
    """Feed bytes to a reader; any exception but FormatError fails the test."""
    try:
        return FrameReader().feed(data)
    except FormatError as error:
        assert str(error)
        return None


@pytest.mark.parametrize("frame", FRAMES, ids=lambda f: f"damage-of-frame-{FRAMES.index(f)}")
@FUZZ
@given(data=st.data())
def test_damaged_frame(frame, data):
    payload = bytearray(frame[LENGTH_BYTES:])
    for _ in range(data.draw(st.integers(1, 4))):
        payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(payload)))
    read_all(with_length(bytes(payload)))
    read_all(with_length(bytes(payload[:cut])))
    read_all(with_length(bytes(payload[:cut]) + data.draw(st.binary(max_size=20))))


@pytest.mark.parametrize("prefix", [b"", b"\x10\x02"], ids=["any-bytes", "one-segment"])
@FUZZ
@given(data=st.binary(max_size=400))
@example(data=b"\0")
def test_garbage(prefix, data):
    read_all(data)
    read_all(with_length(prefix + data))


@pytest.mark.parametrize("body", [PONG], ids=["infinite-age-is-cut"])
def test_infinity(body):
    assert FrameReader().feed(encode_peer_message(body))[0].confirm_age_s == float("inf")
