"""The catalogue of adapters, release notes and audit entries."""

from enum import Enum

from medlarbeam.classes.record import Record

__all__ = [
    "AdapterVersion",
    "AuditEntry",
    "CatalogHead",
    "CatalogShard",
    "NoteAction",
    "NoteEntry",
    "ReleaseNote",
]


class NoteAction(Enum):
    """What an entry of a release note does with an adapter version."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


class AdapterVersion(Record):
    """One version of an adapter; its weights never change.

    Parameters
    ----------
    adapter : str
    version : str
    source : str
        Path of the weights in the weight store.
    must_confirm : bool
        Refuse the version on a node that is out of touch with the catalogue.
    """

    __slots__ = ("adapter", "must_confirm", "source", "version")

    def __init__(self, adapter, version, source, must_confirm=False):
        self.adapter = adapter
        self.version = version
        self.source = source
        self.must_confirm = must_confirm

    @property
    def model(self):
        """Model name at the engine, ``adapter@version``."""
        return f"{self.adapter}@{self.version}"


class NoteEntry(Record):
    """One line of a release note.

    Parameters
    ----------
    action : NoteAction
    item : AdapterVersion
        For a withdrawal only `adapter` and `version` count.
    """

    __slots__ = ("action", "item")

    def __init__(self, action, item):
        self.action = action
        self.item = item


class ReleaseNote(Record):
    """A set of changes to the catalogue that takes effect as a whole.

    Parameters
    ----------
    note_id : str
        Unique id, made by the operator's tool.
    operator : str
    entries : list of NoteEntry
    base_revision : int or None
        Revision that the operator looked at; None applies to whatever is the latest.
    drain, undrain : list of str
        Names of backend servers that stop or resume taking new work.
    """

    __slots__ = ("base_revision", "drain", "entries", "note_id", "operator", "undrain")

    def __init__(self, note_id, operator, entries, base_revision=None, drain=(), undrain=()):
        self.note_id = note_id
        self.operator = operator
        self.entries = entries
        self.base_revision = base_revision
        self.drain = list(drain)
        self.undrain = list(undrain)

    def has_content_of(self, other):
        """Return whether both notes make the same changes, whoever applies them."""
        return (self.entries, self.drain, self.undrain) == (
            other.entries,
            other.drain,
            other.undrain,
        )


class CatalogHead(Record):
    """The value that says which shards make up the catalogue.

    Parameters
    ----------
    revision : int
        Number of accepted notes.
    shard_keys : list of str
        Platform key of each shard's present value, "" for an empty shard.
    recent : list of str
        Note ids of the latest revisions, newest last; the newest is that of `revision`.
    drained : list of str
        Backend servers that take no new work by an operator's order.
    """

    __slots__ = ("drained", "recent", "revision", "shard_keys")

    def __init__(self, revision, shard_keys, recent, drained=()):
        self.revision = revision
        self.shard_keys = shard_keys
        self.recent = recent
        self.drained = list(drained)


class CatalogShard(Record):
    """The versions of the adapters whose names hash to one shard.

    Parameters
    ----------
    key : str
        Platform key under which this immutable value is kept.
    items : list of AdapterVersion
    """

    __slots__ = ("items", "key")

    def __init__(self, key, items):
        self.key = key
        self.items = items


class AuditEntry(Record):
    """One line of the audit trail.

    Parameters
    ----------
    entry_id : str
    time_s : float
        Wall clock time, seconds since the epoch.
    operator : str
    action : str
        For example ``apply_note`` or ``drain``.
    subject : str
        Note id or backend server name.
    revision_before, revision_after : int
    outcome : str
        ``accepted``, or the error kind and reason of a refusal.
    """

    __slots__ = (
        "action",
        "entry_id",
        "operator",
        "outcome",
        "revision_after",
        "revision_before",
        "subject",
        "time_s",
    )

    def __init__(
        self, entry_id, time_s, operator, action, subject, revision_before, revision_after, outcome
    ):
        self.entry_id = entry_id
        self.time_s = time_s
        self.operator = operator
        self.action = action
        self.subject = subject
        self.revision_before = revision_before
        self.revision_after = revision_after
        self.outcome = outcome
