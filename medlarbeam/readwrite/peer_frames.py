"""Frames of the peer links: a 4-byte big-endian length and a packed Cap'n Proto message.

The length is that of the packed bytes, without the length field.
"""

from importlib.resources import files

import capnp

from medlarbeam.classes.catalog import AdapterVersion, CatalogHead, CatalogShard
from medlarbeam.classes.cells import BackendServer, CellRecord, Member
from medlarbeam.classes.fleet import AdapterKey, SoftwareVersion, StreamReport, VersionStreams
from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.classes.peer_messages import (
    AdapterDemand,
    AdapterHolding,
    AttemptChunk,
    AttemptEnd,
    CancelAttempt,
    CatalogUpdate,
    CellRecordUpdate,
    ClearanceReport,
    CrashReport,
    CreditCall,
    CreditGrant,
    CreditItem,
    CreditOffer,
    CreditRequest,
    DeathReport,
    EarlyRefusal,
    FetchCatalog,
    FetchCellRecord,
    Forward,
    HoldingReport,
    Leaving,
    LeavingServer,
    LostRun,
    ModelCount,
    PathReport,
    Ping,
    Pong,
    RateLimitReport,
    ServerRate,
    ServerSummary,
    UseReport,
)
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.readwrite.packing import check_packed
from medlarbeam.readwrite.peer_fields import (
    EnumField,
    FloatField,
    ListField,
    MapField,
    OptionalField,
    RecordField,
    StructLayout,
    TextListField,
)

__all__ = [
    "LENGTH_BYTES",
    "MAX_FRAME_BYTES",
    "FrameReader",
    "decode_datagram",
    "encode_datagram",
    "encode_peer_message",
]

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 2 * 1024 * 1024  # without the length field
MAX_MESSAGE_WORDS = 1024 * 1024  # 8 MB; limits the memory for a packed run of zeros
_MAX_NESTING = 16  # the deepest message, CatalogUpdate, has 5 levels of pointers
_MAX_REASON_CHARACTERS = 200

_FRAME = capnp.load(str(files("medlarbeam.readwrite").joinpath("peer.capnp"))).PeerFrame

_FAILURE = StructLayout(
    Failure, "reason", EnumField("kind", ErrorKind), EnumField("run_state", RunState)
)
_MODEL_COUNT = StructLayout(ModelCount, "server model count")
_SUMMARY = StructLayout(ServerSummary, "server live queued running", TextListField("resident"))
_REQUEST = StructLayout(
    Request,
    "request_id caller service path body max_tokens stream non_idempotent key",
    EnumField("rank", Rank),
    FloatField("deadline"),
    TextListField("models"),
)
_MEMBER = StructLayout(Member, "node incarnation reachable")
_SERVER = StructLayout(
    BackendServer, "name address failure_domain cell service slots concurrency fencing"
)
_RECORD = StructLayout(
    CellRecord,
    "cell epoch removed_at_epoch change_id",
    ListField("members", _MEMBER),
    ListField("servers", _SERVER),
    MapField("owners", "server", "node"),
)
_ADAPTER = StructLayout(AdapterVersion, "adapter version source must_confirm")
_HEAD = StructLayout(
    CatalogHead,
    "revision",
    TextListField("shard_keys"),
    TextListField("recent"),
    TextListField("drained"),
)
_KEY = StructLayout(AdapterKey, "model adapter")
_HOLDING = StructLayout(
    AdapterHolding, "version", RecordField("key", _KEY), FloatField("ready_in_s")
)
_LOST_RUN = StructLayout(
    LostRun,
    "fingerprint",
    TextListField("shared_parts"),
    TextListField("served_parts"),
    FloatField("ran_s"),
)
_RATE = StructLayout(ServerRate, "server", FloatField("rate"), FloatField("age_s"))
_LEAVING_SERVER = StructLayout(LeavingServer, "server started_at_ms")
_SOFTWARE = StructLayout(SoftwareVersion, "service software")
_VERSION_STREAMS = StructLayout(
    VersionStreams, "", RecordField("version", _SOFTWARE), TextListField("attempts")
)
_CREDIT_ITEM = StructLayout(CreditItem, "priority", FloatField("amount"))
_SHARD = StructLayout(CatalogShard, "key", ListField("items", _ADAPTER))

_LAYOUTS = {
    "hello": StructLayout(Hello, "node incarnation peer nonce"),
    "challenge": StructLayout(Challenge, "node incarnation nonce mac"),
    "proof": StructLayout(Proof, "mac"),
    "ping": StructLayout(Ping, "seq cell epoch"),
    "pong": StructLayout(
        Pong,
        "seq incarnation cell epoch revision leaving home_cell",
        FloatField("confirm_age_s"),
        ListField("foreign_runs", _MODEL_COUNT),
        ListField("summaries", _SUMMARY),
    ),
    "forward": StructLayout(
        Forward,
        "attempt server model position prefix",
        FloatField("remaining_s"),
        RecordField("request", _REQUEST),
    ),
    "chunk": StructLayout(AttemptChunk, "request_id attempt position text"),
    "end": StructLayout(
        AttemptEnd,
        "request_id attempt chunks model server status",
        OptionalField("failure", _FAILURE),
        FloatField("load_wait_s"),
    ),
    "cancel": StructLayout(CancelAttempt, "request_id attempt"),
    "recordSpread": StructLayout(CellRecordUpdate, "", RecordField("record", _RECORD)),
    "fetchRecord": StructLayout(FetchCellRecord, "cell"),
    "fetchCatalog": StructLayout(FetchCatalog, "revision", TextListField("shard_keys")),
    "noteSpread": StructLayout(
        CatalogUpdate, "", RecordField("head", _HEAD), ListField("shards", _SHARD)
    ),
    "crashReport": StructLayout(
        CrashReport, "fingerprint strikes server death_id", FloatField("remaining_s")
    ),
    "leaving": StructLayout(Leaving, "node"),
    "adapterDemand": StructLayout(
        AdapterDemand, "node server priority", RecordField("key", _KEY), FloatField("due_in_s")
    ),
    "holdingReport": StructLayout(
        HoldingReport,
        "node server fence serial spare is_partial running prompt_tokens",
        ListField("holdings", _HOLDING),
        ListField("removed", _KEY),
    ),
    "earlyRefusal": StructLayout(EarlyRefusal, "node server", RecordField("key", _KEY)),
    "useReport": StructLayout(
        UseReport, "node server serial running prompt_tokens", ListField("keys", _KEY)
    ),
    "deathReport": StructLayout(
        DeathReport,
        "node death_id is_retracted",
        FloatField("age_s"),
        FloatField("served_age_s"),
        ListField("runs", _LOST_RUN),
    ),
    "rateLimitReport": StructLayout(
        RateLimitReport,
        "node",
        ListField("limits", _RATE),
        ListField("leaving", _LEAVING_SERVER),
    ),
    "streamReport": StructLayout(StreamReport, "node", ListField("streams", _VERSION_STREAMS)),
    "pathReport": StructLayout(PathReport, "node config_version", TextListField("lost")),
    "clearanceReport": StructLayout(ClearanceReport, "node", TextListField("fingerprints")),
    "creditRequest": StructLayout(
        CreditRequest,
        "node organisation serial",
        FloatField("offered"),
        ListField("wanted", _CREDIT_ITEM),
    ),
    "creditGrant": StructLayout(
        CreditGrant,
        "node organisation serial",
        ListField("granted", _CREDIT_ITEM),
        FloatField("stock"),
        FloatField("retry_after_s"),
    ),
    "creditCall": StructLayout(CreditCall, "node organisation", FloatField("amount")),
    "creditOffer": StructLayout(CreditOffer, "node organisation serial", FloatField("amount")),
}
_MEMBERS = {layout.record_class: member for member, layout in _LAYOUTS.items()}


def _pack(message, member):
    builder = _FRAME.new_message()
    _LAYOUTS[member].write(builder.init(member), message)
    words = builder.total_size.word_count
    if words > MAX_MESSAGE_WORDS:
        raise FormatError(f"message of {words} words exceeds the limit of {MAX_MESSAGE_WORDS}")
    payload = builder.to_bytes_packed()
    if payload[0] & 0x0F:
        # The receiver rejects several segments; the additional word is for the root pointer.
        copy = builder.as_reader().as_builder(num_first_segment_words=words + 1)
        payload = copy.to_bytes_packed()
    return payload


def encode_datagram(message):
    """Return a message as the bytes of one datagram; see `encode_peer_message`."""
    return encode_peer_message(message)[LENGTH_BYTES:]


def decode_datagram(data):
    """Return the message in a datagram; raise FormatError if it is invalid."""
    return _decode(data)


def encode_peer_message(message):
    """Return the frame of a message, with its length field.

    Parameters
    ----------
    message : Record
        Instance of a class of `medlarbeam.classes.peer_messages` or `handshake`.

    Returns
    -------
    bytes

    Raises
    ------
    FormatError
        If the message is too long or the schema does not allow the value of a field.
    """
    name = type(message).__name__
    member = _MEMBERS.get(type(message))
    if member is None:
        raise FormatError(f"{name} is not a peer message")
    try:
        payload = _pack(message, member)
    except (capnp.KjException, ValueError, OverflowError, TypeError, AttributeError) as error:
        raise FormatError(f"{name} cannot be encoded: {_shorten_error(error)}") from error
    except FormatError as error:
        raise FormatError(f"{name} cannot be encoded: {error}") from error
    if len(payload) > MAX_FRAME_BYTES:
        raise FormatError(f"{name} of {len(payload)} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def _shorten_error(error):
    # An error message may quote text of the frame, which can be as long as the frame.
    return str(error).partition("\n")[0][:_MAX_REASON_CHARACTERS]


def _read_union_member(frame):
    try:
        return frame._which_str()  # takes a quarter of the time of `which`
    except capnp.KjException as error:
        # pycapnp reports "non-union type" for a member that the schema does not have.
        raise FormatError("union member is unknown to this version") from error


def _decode(payload):
    words = check_packed(payload, MAX_MESSAGE_WORDS)
    member = None
    try:
        # Every value is read once, so that a valid message stays below twice its size. With a fixed
        # limit, a frame of 18 bytes could declare a list of a million empty items.
        frame = _FRAME.from_bytes_packed(
            payload, traversal_limit_in_words=2 * words, nesting_limit=_MAX_NESTING
        )
        member = _read_union_member(frame)
        layout = _LAYOUTS.get(member)
        if layout is None:
            raise FormatError("union member is not a message")
        if not frame._has(member):
            raise FormatError("message has no content")
        return layout.read(frame._get(member))
    except (capnp.KjException, ValueError, FormatError) as error:
        raise FormatError(f"{member or 'root'}: {_shorten_error(error)}") from error


class FrameReader:
    """Splits a byte stream into frames and decodes their messages.

    Parameters
    ----------
    max_frame_bytes : int
        Maximum frame size, without the length field; may be changed between frames.
    """

    __slots__ = ("buffer", "max_frame_bytes")

    def __init__(self, max_frame_bytes=MAX_FRAME_BYTES):
        self.buffer = bytearray()
        self.max_frame_bytes = max_frame_bytes

    def feed(self, data):
        """Return a list of the messages that `data` completes; see `messages`."""
        return list(self.messages(data))

    def messages(self, data):
        """Yield each message that `data` completes.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        FormatError
            At the first invalid frame; the reader must not be used afterwards.
        """
        self.buffer += data
        position = 0
        try:
            while len(self.buffer) - position >= LENGTH_BYTES:
                start = position + LENGTH_BYTES
                length = int.from_bytes(self.buffer[position:start], "big")
                if not 0 < length <= self.max_frame_bytes:
                    raise FormatError(
                        f"frame of {length} bytes is not within 1 to {self.max_frame_bytes} bytes"
                    )
                if len(self.buffer) < start + length:
                    return
                payload = bytes(self.buffer[start : start + length])
                position = start + length
                yield _decode(payload)
        finally:
            del self.buffer[:position]
