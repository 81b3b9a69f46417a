"""Values of the key-value service: JSON objects with a `format` version."""

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
from medlarbeam.readwrite.value_kinds import (
    ChoiceKind,
    FlagKind,
    IntegerKind,
    ListKind,
    MapKind,
    NameKind,
    NumberKind,
    OptionalKind,
    RecordKind,
    TextKind,
    join_faults,
    show,
)

__all__ = [
    "AUDIT_ENTRY",
    "CATALOG_HEAD",
    "CATALOG_SHARD",
    "CELL_RECORD",
    "FAILURE_KIND",
    "FORMAT_VERSION",
    "MAX_VALUE_BYTES",
    "RELEASE_NOTE",
    "ValueFormat",
]

FORMAT_VERSION = 1
MAX_VALUE_BYTES = 1_000_000  # the key-value service takes values of 1 MB at most


class ValueFormat:
    """Encoding of one class of values.

    Parameters
    ----------
    label : str
        Name of the value in error messages.
    kind : RecordKind
    """

    __slots__ = ("kind", "label")

    def __init__(self, label, kind):
        self.label = label
        self.kind = kind

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
            If the value is longer than the service takes or cannot be written as JSON.
        """
        try:
            data = orjson.dumps({"format": FORMAT_VERSION, **self.kind.dump(record)})
        except (TypeError, ValueError, AttributeError) as error:
            raise FormatError(f"{self.label} cannot be encoded: {error}") from error
        if len(data) > MAX_VALUE_BYTES:
            raise FormatError(
                f"{self.label} of {len(data)} bytes is above the limit of {MAX_VALUE_BYTES}"
            )
        return data

    def decode(self, data):
        """Return the record in `data`.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Record

        Raises
        ------
        FormatError
            Names each field that is missing, unknown or of the wrong kind.
        """
        try:
            document = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise FormatError(f"{self.label} is not JSON: {error}") from error
        if not isinstance(document, dict):
            raise FormatError(f"{self.label} must be an object and is {show(document)}")
        version = document.pop("format", None)
        if type(version) is not int or version != FORMAT_VERSION:
            raise FormatError(f"{self.label}: format {show(version)} is not {FORMAT_VERSION}")
        faults = []
        record = self.kind.read(document, "", faults)
        if faults:
            raise FormatError(f"{self.label}: {join_faults(faults)}")
        return record


_TEXT = TextKind()
_TEXTS = ListKind(_TEXT)
_COUNT = IntegerKind()
_FLAG = FlagKind()
_NAME = NameKind()

FAILURE_KIND = RecordKind(
    Failure, kind=ChoiceKind(ErrorKind), reason=_TEXT, run_state=ChoiceKind(RunState)
)
_MEMBER = RecordKind(Member, node=_TEXT, incarnation=_COUNT, reachable=_FLAG)
_SERVER = RecordKind(
    BackendServer,
    name=_TEXT,
    address=_TEXT,
    failure_domain=_TEXT,
    cell=_TEXT,
    service=_TEXT,
    slots=_COUNT,
    concurrency=_COUNT,
    fencing=_FLAG,
)
_ADAPTER = RecordKind(
    AdapterVersion, adapter=_NAME, version=_NAME, source=_TEXT, must_confirm=_FLAG
)

CELL_RECORD = ValueFormat(
    "cell record",
    RecordKind(
        CellRecord,
        cell=_TEXT,
        epoch=_COUNT,
        members=ListKind(_MEMBER),
        servers=ListKind(_SERVER),
        owners=MapKind(_TEXT),
        removed_at_epoch=_COUNT,
        change_id=_TEXT,
    ),
)
CATALOG_HEAD = ValueFormat(
    "catalogue head",
    RecordKind(CatalogHead, revision=_COUNT, shard_keys=_TEXTS, recent=_TEXTS, drained=_TEXTS),
)
CATALOG_SHARD = ValueFormat(
    "catalogue shard", RecordKind(CatalogShard, key=_TEXT, items=ListKind(_ADAPTER))
)
RELEASE_NOTE = ValueFormat(
    "release note",
    RecordKind(
        ReleaseNote,
        note_id=_NAME,
        operator=_TEXT,
        entries=ListKind(RecordKind(NoteEntry, action=ChoiceKind(NoteAction), item=_ADAPTER)),
        base_revision=OptionalKind(_COUNT),
        drain=_TEXTS,
        undrain=_TEXTS,
    ),
)
AUDIT_ENTRY = ValueFormat(
    "audit entry",
    RecordKind(
        AuditEntry,
        entry_id=_TEXT,
        time_s=NumberKind(),
        operator=_TEXT,
        action=_TEXT,
        subject=_TEXT,
        revision_before=_COUNT,
        revision_after=_COUNT,
        outcome=_TEXT,
    ),
)
