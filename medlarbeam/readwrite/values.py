"""Formats of the values in the key-value service: JSON objects with a `format` version."""

import orjson

from medlarbeam.classes.catalog import (
    AdapterVersion,
    AuditEntry,
    CatalogHead,
    CatalogShard,
    NoteAction,
    NoteEntry,
    ReleaseNote,
)
from medlarbeam.classes.cells import BackendServer, CellRecord, Member
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, RunState
from medlarbeam.readwrite.value_codecs import (
    BooleanCodec,
    EnumCodec,
    IntegerCodec,
    ListCodec,
    MapCodec,
    NameCodec,
    NumberCodec,
    OptionalCodec,
    RecordCodec,
    StringCodec,
    format_value,
    join_errors,
)

__all__ = [
    "AUDIT_ENTRY",
    "CATALOG_HEAD",
    "CATALOG_SHARD",
    "CELL_RECORD",
    "FAILURE_CODEC",
    "FORMAT_VERSION",
    "MAX_VALUE_BYTES",
    "RELEASE_NOTE",
    "ValueFormat",
]

FORMAT_VERSION = 1
MAX_VALUE_BYTES = 1_000_000  # limit of the key-value service: 1 MB


class ValueFormat:
    """Encoding of one type of value.

    Parameters
    ----------
    label : str
        Name of the value in error messages.
    codec : RecordCodec
    """

    __slots__ = ("codec", "label")

    def __init__(self, label, codec):
        self.label = label
        self.codec = codec

    def encode(self, record):
        """Return `record` as bytes.

        Parameters
        ----------
        record : Record

        Returns
        -------
        bytes

        Raises
        ------
        FormatError
            If the value exceeds the limit of the service or cannot be encoded as JSON.
        """
        try:
            data = orjson.dumps({"format": FORMAT_VERSION, **self.codec.to_json(record)})
        except (TypeError, ValueError, AttributeError) as error:
            raise FormatError(f"{self.label} cannot be encoded: {error}") from error
        if len(data) > MAX_VALUE_BYTES:
            raise FormatError(
                f"{self.label} of {len(data)} bytes exceeds the limit of {MAX_VALUE_BYTES}"
            )
        return data

    def decode(self, data):
        """Return the record encoded in `data`.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Record

        Raises
        ------
        FormatError
            If `data` is invalid; the message names the fields that are missing, unknown or invalid.
        """
        try:
            document = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise FormatError(f"{self.label} is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise FormatError(f"{self.label} must be an object, got {format_value(document)}")
        version = document.pop("format", None)
        if type(version) is not int or version != FORMAT_VERSION:
            raise FormatError(
                f"{self.label}: format is {format_value(version)}, expected {FORMAT_VERSION}"
            )
        errors = []
        record = self.codec.from_json(document, "", errors)
        if errors:
            raise FormatError(f"{self.label}: {join_errors(errors)}")
        return record


_STRING = StringCodec()
_STRINGS = ListCodec(_STRING)
_COUNT = IntegerCodec()
_BOOLEAN = BooleanCodec()
_NAME = NameCodec()

FAILURE_CODEC = RecordCodec(
    Failure, kind=EnumCodec(ErrorKind), reason=_STRING, run_state=EnumCodec(RunState)
)
_MEMBER = RecordCodec(Member, node=_STRING, incarnation=_COUNT, reachable=_BOOLEAN)
_SERVER = RecordCodec(
    BackendServer,
    name=_STRING,
    address=_STRING,
    failure_domain=_STRING,
    cell=_STRING,
    service=_STRING,
    slots=_COUNT,
    concurrency=_COUNT,
    fencing=_BOOLEAN,
)
_ADAPTER = RecordCodec(
    AdapterVersion, adapter=_NAME, version=_NAME, source=_STRING, must_confirm=_BOOLEAN
)

CELL_RECORD = ValueFormat(
    "cell record",
    RecordCodec(
        CellRecord,
        cell=_STRING,
        epoch=_COUNT,
        members=ListCodec(_MEMBER),
        servers=ListCodec(_SERVER),
        owners=MapCodec(_STRING),
        removed_at_epoch=_COUNT,
        change_id=_STRING,
    ),
)
CATALOG_HEAD = ValueFormat(
    "catalog head",
    RecordCodec(
        CatalogHead, revision=_COUNT, shard_keys=_STRINGS, recent=_STRINGS, drained=_STRINGS
    ),
)
CATALOG_SHARD = ValueFormat(
    "catalog shard", RecordCodec(CatalogShard, key=_STRING, items=ListCodec(_ADAPTER))
)
RELEASE_NOTE = ValueFormat(
    "release note",
    RecordCodec(
        ReleaseNote,
        note_id=_NAME,
        operator=_STRING,
        entries=ListCodec(RecordCodec(NoteEntry, action=EnumCodec(NoteAction), item=_ADAPTER)),
        base_revision=OptionalCodec(_COUNT),
        drain=_STRINGS,
        undrain=_STRINGS,
    ),
)
AUDIT_ENTRY = ValueFormat(
    "audit entry",
    RecordCodec(
        AuditEntry,
        entry_id=_STRING,
        time_s=NumberCodec(),
        operator=_STRING,
        action=_STRING,
        subject=_STRING,
        revision_before=_COUNT,
        revision_after=_COUNT,
        outcome=_STRING,
    ),
)
