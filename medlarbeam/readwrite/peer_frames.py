"""Frames of the links between nodes: a 4-byte length and a packed Cap'n Proto message.

The length counts the packed bytes, most significant byte first.
"""

from importlib.resources import files

import capnp

from medlarbeam.classes.catalog import AdapterVersion, CatalogHead, CatalogShard
from medlarbeam.classes.cells import BackendServer, CellRecord, Member
from medlarbeam.classes.fleet import AdapterKey
from medlarbeam.classes.handshake import Challenge, Hello, Proof
from medlarbeam.classes.peer_messages import (
    AdapterDemand,
    AdapterHolding,
    Cancel,
    Chunk,
    CrashReport,
    EarlyRefusal,
    End,
    FetchCatalog,
    FetchRecord,
    Forward,
    HoldingReport,
    Leaving,
    ModelCount,
    NoteSpread,
    Ping,
    Pong,
    RecordSpread,
    ServerSummary,
    UseReport,
)
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.readwrite.packing import check_packed
from medlarbeam.readwrite.peer_fields import (
    EnumField,
    Layout,
    ListField,
    MapField,
    NumberField,
    OptionalField,
    RecordField,
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
MAX_FRAME_BYTES = 2 * 1024 * 1024  # without the length
MAX_MESSAGE_WORDS = 1024 * 1024  # 8 MB; bounds the memory that a packed run of zeros asks for
_NESTING = 16  # the deepest message, NoteSpread, has 5 levels of pointers
_MAX_REASON = 200

_FRAME = capnp.load(str(files("medlarbeam.readwrite").joinpath("peer.capnp"))).PeerFrame

_FAILURE = Layout(Failure, "reason", EnumField("kind", ErrorKind), EnumField("run_state", RunState))
_MODEL_COUNT = Layout(ModelCount, "server model count")
_SUMMARY = Layout(ServerSummary, "server live queued running", TextListField("resident"))
_REQUEST = Layout(
    Request,
    "request_id caller service path body max_tokens stream non_idempotent key",
    EnumField("rank", Rank),
    NumberField("deadline"),
    TextListField("models"),
)
_MEMBER = Layout(Member, "node incarnation reachable")
_SERVER = Layout(
    BackendServer, "name address failure_domain cell service slots concurrency fencing"
)
_RECORD = Layout(
    CellRecord,
    "cell epoch removed_at_epoch change_id",
    ListField("members", _MEMBER),
    ListField("servers", _SERVER),
    MapField("owners", "server", "node"),
)
_ADAPTER = Layout(AdapterVersion, "adapter version source must_confirm")
_HEAD = Layout(
    CatalogHead,
    "revision",
    TextListField("shard_keys"),
    TextListField("recent"),
    TextListField("drained"),
)
_KEY = Layout(AdapterKey, "model adapter")
_HOLDING = Layout(AdapterHolding, "version", RecordField("key", _KEY), NumberField("ready_in_s"))
_SHARD = Layout(CatalogShard, "key", ListField("items", _ADAPTER))

_LAYOUTS = {
    "hello": Layout(Hello, "node incarnation peer nonce"),
    "challenge": Layout(Challenge, "node incarnation nonce mac"),
    "proof": Layout(Proof, "mac"),
    "ping": Layout(Ping, "seq cell epoch"),
    "pong": Layout(
        Pong,
        "seq incarnation cell epoch revision leaving home_cell",
        NumberField("confirm_age_s"),
        ListField("foreign_runs", _MODEL_COUNT),
        ListField("summaries", _SUMMARY),
    ),
    "forward": Layout(
        Forward,
        "attempt server model position prefix",
        NumberField("remaining_s"),
        RecordField("request", _REQUEST),
    ),
    "chunk": Layout(Chunk, "request_id attempt position text"),
    "end": Layout(
        End,
        "request_id attempt chunks model server status",
        OptionalField("failure", _FAILURE),
        NumberField("load_wait_s"),
    ),
    "cancel": Layout(Cancel, "request_id attempt"),
    "recordSpread": Layout(RecordSpread, "", RecordField("record", _RECORD)),
    "fetchRecord": Layout(FetchRecord, "cell"),
    "fetchCatalog": Layout(FetchCatalog, "revision", TextListField("shard_keys")),
    "noteSpread": Layout(NoteSpread, "", RecordField("head", _HEAD), ListField("shards", _SHARD)),
    "crashReport": Layout(
        CrashReport, "fingerprint strikes server death_id", NumberField("remaining_s")
    ),
    "leaving": Layout(Leaving, "node"),
    "adapterDemand": Layout(
        AdapterDemand, "node server priority", RecordField("key", _KEY), NumberField("due_in_s")
    ),
    "holdingReport": Layout(
        HoldingReport,
        "node server fence serial spare is_partial running",
        ListField("holdings", _HOLDING),
        ListField("removed", _KEY),
    ),
    "earlyRefusal": Layout(EarlyRefusal, "node server", RecordField("key", _KEY)),
    "useReport": Layout(UseReport, "node server serial running", ListField("keys", _KEY)),
}
_MEMBER_OF = {layout.kind: member for member, layout in _LAYOUTS.items()}


def _pack(body, member):
    message = _FRAME.new_message()
    _LAYOUTS[member].write(message.init(member), body)
    words = message.total_size.word_count
    if words > MAX_MESSAGE_WORDS:
        raise FormatError(f"message of {words} words is above the limit of {MAX_MESSAGE_WORDS}")
    payload = message.to_bytes_packed()
    if payload[0] & 0x0F:
        # More than one segment, which the receiver refuses; one more word holds the root pointer.
        copy = message.as_reader().as_builder(num_first_segment_words=words + 1)
        payload = copy.to_bytes_packed()
    return payload


def encode_datagram(body):
    """Return the bytes of a message that is sent as one datagram; see `encode_peer_message`."""
    return encode_peer_message(body)[LENGTH_BYTES:]


def decode_datagram(data):
    """Return the message of a datagram; raise FormatError if it is none."""
    return _decode(data)


def encode_peer_message(body):
    """Return the whole frame of a message.

    Parameters
    ----------
    body : Record
        Instance of a class of `medlarbeam.classes.peer_messages` or `handshake`.

    Returns
    -------
    bytes

    Raises
    ------
    FormatError
        If the message is too long or a field has a value that the schema does not allow.
    """
    name = type(body).__name__
    member = _MEMBER_OF.get(type(body))
    if member is None:
        raise FormatError(f"{name} is not a peer message")
    try:
        payload = _pack(body, member)
    except (capnp.KjException, ValueError, OverflowError, TypeError, AttributeError) as error:
        raise FormatError(f"{name} cannot be encoded: {_first_line(error)}") from error
    except FormatError as error:
        raise FormatError(f"{name} cannot be encoded: {error}") from error
    if len(payload) > MAX_FRAME_BYTES:
        raise FormatError(f"{name} of {len(payload)} bytes is above the limit of {MAX_FRAME_BYTES}")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def _first_line(error):
    # A message may quote a text of the frame, which can be as long as the frame.
    return str(error).partition("\n")[0][:_MAX_REASON]


def _which(frame):
    try:
        return str(frame.which())
    except capnp.KjException as error:
        # pycapnp says "non-union type" of a member that the schema does not have.
        raise FormatError("union member is unknown to this version") from error


def _decode(payload):
    words = check_packed(payload, MAX_MESSAGE_WORDS)
    member = None
    try:
        # Every value is read once, so a good message stays below twice its size. A fixed limit let
        # a frame of 18 bytes state a list of a million empty items.
        frame = _FRAME.from_bytes_packed(
            payload, traversal_limit_in_words=2 * words, nesting_limit=_NESTING
        )
        member = _which(frame)
        layout = _LAYOUTS.get(member)
        if layout is None:
            raise FormatError("union member is not a message")
        if not frame._has(member):
            raise FormatError("body is missing")
        return layout.read(getattr(frame, member))
    except (capnp.KjException, ValueError, FormatError) as error:
        raise FormatError(f"{member or 'root'}: {_first_line(error)}") from error


class FrameReader:
    """Cuts a byte stream into frames and decodes them.

    Parameters
    ----------
    limit : int
        Longest frame in bytes, without its length; may be changed between frames.
    """

    __slots__ = ("buffer", "limit")

    def __init__(self, limit=MAX_FRAME_BYTES):
        self.buffer = bytearray()
        self.limit = limit

    def feed(self, data):
        """Return the list of messages that `data` completes; see `messages`."""
        return list(self.messages(data))

    def messages(self, data):
        """Yield each message that `data` completes.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        FormatError
            At the first bad frame; the reader must not be used any more.
        """
        self.buffer += data
        position = 0
        try:
            while len(self.buffer) - position >= LENGTH_BYTES:
                start = position + LENGTH_BYTES
                length = int.from_bytes(self.buffer[position:start], "big")
                if not 0 < length <= self.limit:
                    raise FormatError(f"frame of {length} bytes; 1 to {self.limit} are allowed")
                if len(self.buffer) < start + length:
                    return
                payload = bytes(self.buffer[start : start + length])
                position = start + length
                yield _decode(payload)
        finally:
            del self.buffer[:position]
