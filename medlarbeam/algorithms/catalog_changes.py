"""Validation of release notes and their application to the catalog."""

from xxhash import xxh3_64_intdigest

from medlarbeam.classes.catalog import CatalogHead, CatalogShard, NoteAction
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import ErrorKind, Failure

__all__ = [
    "RECENT_NOTES_LIMIT",
    "CatalogChange",
    "apply_note",
    "compute_shard",
    "list_changed_shards",
]

# Number of note ids in the head. The outcome of a write whose response was lost is looked up there,
# and far fewer notes than this are applied in the meantime.
RECENT_NOTES_LIMIT = 64


class CatalogChange(Record):
    """A new catalog head, and the new values of the shards that it refers to.

    Parameters
    ----------
    head : CatalogHead
    shards : list of CatalogShard
    """

    __slots__ = ("head", "shards")

    def __init__(self, head, shards):
        self.head = head
        self.shards = shards


def compute_shard(adapter, shards):
    """Return the index of the shard for `adapter` out of `shards` shards."""
    return xxh3_64_intdigest(adapter.encode()) % shards


def list_changed_shards(note, head):
    """Return the sorted indices of the shards that `note` changes."""
    count = len(head.shard_keys)
    return sorted({compute_shard(entry.item.adapter, count) for entry in note.entries})


def apply_note(note, head, shards, suffix):
    """Return the `CatalogChange` for a note, or a `Failure` with the reason for its refusal.

    Parameters
    ----------
    note : ReleaseNote
    head : CatalogHead
    shards : dict of str to CatalogShard
        Values of the shards that the note changes, by key.
    suffix : str
        Unique last part of the keys of the new shard values.
    """
    if note.base_revision is not None and note.base_revision != head.revision:
        latest_note = head.recent[-1] if head.recent else "none"
        return Failure(
            ErrorKind.NOTE_CONFLICT,
            f"note is based on revision {note.base_revision}, but note {latest_note} created "
            f"the current revision {head.revision}",
        )
    items = _collect_items(note, head, shards)
    errors = [f for f in (_apply_entry(items, i, e) for i, e in enumerate(note.entries, 1)) if f]
    errors += _find_drain_errors(note, head)
    if errors:
        return Failure(ErrorKind.NOTE_INVALID, "; ".join(errors))
    return _build_change(note, head, items, suffix)


def _collect_items(note, head, shards):
    items = {}
    for number in list_changed_shards(note, head):
        key = head.shard_keys[number]
        for item in shards[key].items if key else ():
            items[item.model] = item
    return items


def _apply_entry(items, number, entry):
    """Apply an entry to `items`; return an error message, or None if the entry is valid."""
    model = entry.item.model
    exists = model in items
    if entry.action is NoteAction.ADD and exists:
        return f"entry {number}: {model} already exists"
    if entry.action is not NoteAction.ADD and not exists:
        return f"entry {number}: {model} does not exist"
    if entry.action is NoteAction.WITHDRAW:
        del items[model]
        return None
    if entry.action is NoteAction.CHANGE and entry.item.source != items[model].source:
        # Responses must come from the requested version, so the weights of a version never change.
        return f"entry {number}: the source of {model} cannot change; add a new version"
    items[model] = entry.item
    return None


def _find_drain_errors(note, head):
    errors = [f"{s} is already drained" for s in note.drain if s in head.drained]
    return errors + [f"{s} is not drained" for s in note.undrain if s not in head.drained]


def _build_change(note, head, items, suffix):
    shard_keys = list(head.shard_keys)
    values = []
    for number in list_changed_shards(note, head):
        shard_items = [
            i for i in items.values() if compute_shard(i.adapter, len(shard_keys)) == number
        ]
        key = f"catalog/shard/{number}/{suffix}" if shard_items else ""
        shard_keys[number] = key
        if shard_items:
            values.append(CatalogShard(key, sorted(shard_items, key=lambda item: item.model)))
    recent = [*head.recent, note.note_id][-RECENT_NOTES_LIMIT:]
    drained = sorted((set(head.drained) | set(note.drain)) - set(note.undrain))
    return CatalogChange(CatalogHead(head.revision + 1, shard_keys, recent, drained), values)
