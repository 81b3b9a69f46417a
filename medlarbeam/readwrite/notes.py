"""The release note file that operators write, in YAML or JSON.

::

    base_revision: 41          # optional
    entries:
      - {action: add, adapter: eulogy-mi, version: "3", source: lora/eulogy-mi/3}
      - {action: withdraw, adapter: eulogy-mi, version: "2"}

All plain YAML scalars but ``true`` and ``false`` are text, so that a version ``1.10`` stays
``1.10``.
"""

import json
import re

import yaml

from medlarbeam.classes.catalog import AdapterVersion, NoteAction, NoteEntry, ReleaseNote
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.value_kinds import ChoiceKind, FlagKind, NameKind, show

__all__ = ["MAX_NOTE_BYTES", "parse_note"]

MAX_NOTE_BYTES = 1_000_000  # a note is kept in one value of the key-value service
_NOTE_KEYS = {"base_revision", "entries"}
_ENTRY_KEYS = {"action", "adapter", "must_confirm", "source", "version"}
_SOURCE_PATTERN = re.compile(r"[!-~]{1,512}")  # printable ASCII without spaces
_ACTION = ChoiceKind(NoteAction)
_NAME = NameKind()
_FLAG = FlagKind()

# The C parser reads 1 MB in a fraction of the time; it is missing where libyaml is.
_YamlBase = getattr(yaml, "CBaseLoader", yaml.BaseLoader)


class _Loader(_YamlBase):
    """Loader that refuses a key that is given twice."""

    __slots__ = ()

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a node."""
        seen = set()
        for key, _ in node.value:
            if isinstance(key, yaml.ScalarNode) and key.value in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {show(key.value)} is given twice", key.start_mark
                )
            seen.add(key.value if isinstance(key, yaml.ScalarNode) else None)
        return super().construct_mapping(node, deep)


_BOOL_TAG = "tag:yaml.org,2002:bool"
_Loader.add_implicit_resolver(_BOOL_TAG, re.compile(r"(?:true|false)$"), ["t", "f"])
_Loader.add_constructor(_BOOL_TAG, lambda loader, node: loader.construct_scalar(node) == "true")


def _read_pairs(pairs):
    result = {}
    for name, value in pairs:
        if name in result:
            raise FormatError(f"key {show(name)} is given twice")
        result[name] = value
    return result


def _load(data):
    if len(data) > MAX_NOTE_BYTES:
        raise FormatError(f"note of {len(data)} bytes is above the limit of {MAX_NOTE_BYTES}")
    try:
        text = data.decode("utf-8")
        if text.lstrip().startswith("{"):
            return json.loads(text, object_pairs_hook=_read_pairs)
        return yaml.load(text, Loader=_Loader)  # noqa: S506 (builds no objects)
    except UnicodeDecodeError as error:
        raise FormatError(f"note is not UTF-8: {error}") from error
    except yaml.YAMLError as error:
        raise FormatError(f"note is not YAML: {error}") from error
    except RecursionError as error:
        raise FormatError("note is nested too deeply") from error
    except ValueError as error:
        raise FormatError(f"note is not JSON: {error}") from error


def _read_base_revision(value, faults):
    if isinstance(value, str) and re.fullmatch(r"[0-9]{1,18}", value):
        value = int(value)
    if value is not None and (type(value) is not int or not 0 <= value < 10**18):
        faults.append(f"base_revision must be an integer from 0 and is {show(value)}")
    return value


def _read_source(raw, action, place, faults):
    """Return the source; a withdrawal has none, every other entry needs one."""
    if action is NoteAction.WITHDRAW:
        faults += [f"{place}: {k} has no meaning for withdraw" for k in _extra_keys(raw)]
        return ""
    source = raw.get("source")
    if "source" not in raw:
        faults.append(f"{place}: source is missing")
    elif not isinstance(source, str) or not _SOURCE_PATTERN.fullmatch(source):
        faults.append(f"{place}: source {show(source)} does not match {_SOURCE_PATTERN.pattern}")
    return source


def _extra_keys(raw):
    return [key for key in ("source", "must_confirm") if key in raw]


def _read_field(raw, name, kind, place, faults):
    if name not in raw:
        faults.append(f"{place}: {name} is missing")
        return None
    return kind.read(raw[name], f"{place}: {name}", faults)


def _read_entry(raw, place, faults):
    if not isinstance(raw, dict):
        faults.append(f"{place} must be a mapping and is {show(raw)}")
        return None
    unknown = [key for key in raw if key not in _ENTRY_KEYS]
    faults += [f"{place}: {show(key)} is not a known field" for key in unknown]
    action = _read_field(raw, "action", _ACTION, place, faults)
    adapter = _read_field(raw, "adapter", _NAME, place, faults)
    version = _read_field(raw, "version", _NAME, place, faults)
    source = _read_source(raw, action, place, faults)
    must_confirm = _FLAG.read(raw.get("must_confirm", False), f"{place}: must_confirm", faults)
    return NoteEntry(action, AdapterVersion(adapter, version, source, must_confirm))


def _read_entries(raw_entries, faults):
    entries = []
    first_use = {}
    for number, raw in enumerate(raw_entries, start=1):
        before = len(faults)
        entry = _read_entry(raw, f"entry {number}", faults)
        if len(faults) > before:
            continue
        entries.append(entry)
        first = first_use.setdefault(entry.item.model, number)
        if first != number:
            faults.append(f"entry {number}: {entry.item.model} is in entry {first} already")
    return entries


def parse_note(data, note_id, operator):
    """Return the release note in a file.

    Parameters
    ----------
    data : bytes
    note_id : str
        Id of the new note.
    operator : str

    Returns
    -------
    ReleaseNote

    Raises
    ------
    FormatError
        With one line for each fault: the number of the entry, counted from 1, and the reason.
    """
    document = _load(data)
    if not isinstance(document, dict):
        raise FormatError(f"note must be a mapping with 'entries' and is {show(document)}")
    faults = [f"{show(key)} is not a known field" for key in document if key not in _NOTE_KEYS]
    base_revision = _read_base_revision(document.get("base_revision"), faults)
    raw_entries = document.get("entries")
    if not isinstance(raw_entries, list) or not raw_entries:
        faults.append("entries must be a list with at least one entry")
        raw_entries = []
    entries = _read_entries(raw_entries, faults)
    if faults:
        raise FormatError("\n".join(faults))
    return ReleaseNote(note_id, operator, entries, base_revision)
