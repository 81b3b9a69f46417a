"""Effect of a release note on the catalogue."""

from xxhash import xxh3_64_intdigest

from medlarbeam.classes.catalog import CatalogHead, CatalogShard, NoteAction
from medlarbeam.classes.record import Record
from medlarbeam.exceptions import ErrorKind, Failure

__all__ = ["RECENT_LIMIT", "CatalogChange", "apply_note", "find_shard", "touched_shards"]

RECENT_LIMIT = 64  # note ids in the head; a lost answer is resolved within far fewer notes


class CatalogChange(Record):
    """A new head with the shard values that it needs.

    Parameters
    ----------
    head : CatalogHead
    shards : list of CatalogShard
    """

    __slots__ = ("head", "shards")

    def __init__(self, head, shards):
        self.head = head
        self.shards = shards


def find_shard(adapter, shards):
    """Return the number of the shard that holds `adapter` among `shards` shards."""
    return xxh3_64_intdigest(adapter.encode()) % shards


def touched_shards(note, head):
    """Return the sorted numbers of the shards that `note` changes."""
    count = len(head.shard_keys)
    return sorted({find_shard(entry.item.adapter, count) for entry in note.entries})


def apply_note(note, head, shards, suffix):
    """Return the `CatalogChange` of a note, or the `Failure` that says why it is refused.

    Parameters
    ----------
    note : ReleaseNote
    head : CatalogHead
    shards : dict of str to CatalogShard
        Values of the shards that the note touches, by key.
    suffix : str
        Unique end of the keys of the new shard values.
    """
    if note.base_revision is not None and note.base_revision != head.revision:
        winner = head.recent[-1] if head.recent else "none"
        return Failure(
            ErrorKind.NOTE_CONFLICT,
            f"note is based on revision {note.base_revision}, but note {winner} made "
            f"revision {head.revision}",
        )
    items = _read_items(note, head, shards)
    faults = [f for f in (_apply_entry(items, i, e) for i, e in enumerate(note.entries, 1)) if f]
    faults += _find_drain_faults(note, head)
    if faults:
        return Failure(ErrorKind.NOTE_INVALID, "; ".join(faults))
    return _build_change(note, head, items, suffix)


def _read_items(note, head, shards):
    items = {}
    for number in touched_shards(note, head):
        key = head.shard_keys[number]
        for item in shards[key].items if key else ():
            items[item.model] = item
    return items


def _apply_entry(items, number, entry):
    """Change `items`; return what is wrong with the entry, or None."""
    model = entry.item.model
    present = model in items
    if entry.action is NoteAction.ADD and present:
        return f"entry {number}: {model} exists already"
    if entry.action is not NoteAction.ADD and not present:
        return f"entry {number}: {model} does not exist"
    if entry.action is NoteAction.WITHDRAW:
        del items[model]
        return None
    if entry.action is NoteAction.CHANGE and entry.item.source != items[model].source:
        # An answer must come from the version that was asked for, so weights never change.
        return f"entry {number}: the source of {model} cannot change; add a new version"
    items[model] = entry.item
    return None


def _find_drain_faults(note, head):
    faults = [f"{s} is drained already" for s in note.drain if s in head.drained]
    return faults + [f"{s} is not drained" for s in note.undrain if s not in head.drained]


def _build_change(note, head, items, suffix):
    shard_keys = list(head.shard_keys)
    values = []
    for number in touched_shards(note, head):
        held = [i for i in items.values() if find_shard(i.adapter, len(shard_keys)) == number]
        key = f"catalog/shard/{number}/{suffix}" if held else ""
        shard_keys[number] = key
        if held:
            values.append(CatalogShard(key, sorted(held, key=lambda item: item.model)))
    recent = [*head.recent, note.note_id][-RECENT_LIMIT:]
    drained = sorted((set(head.drained) | set(note.drain)) - set(note.undrain))
    return CatalogChange(CatalogHead(head.revision + 1, shard_keys, recent, drained), values)
