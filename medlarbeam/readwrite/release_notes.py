"""Parser of the release note files of operators, in YAML or JSON.

::

    base_revision: 41          # optional
    entries:
      - {action: add, adapter: eulogy-mi, version: "3", source: lora/eulogy-mi/3}
      - {action: withdraw, adapter: eulogy-mi, version: "2"}

Plain YAML scalars other than ``true`` and ``false`` are read as strings, so that the version
``1.10`` does not become the number 1.1.
"""

import json
import re

import yaml

from medlarbeam.classes.catalog import AdapterVersion, NoteAction, NoteEntry, ReleaseNote
from medlarbeam.exceptions import FormatError
from medlarbeam.readwrite.value_codecs import BooleanCodec, EnumCodec, NameCodec, format_value

__all__ = ["MAX_NOTE_BYTES", "parse_note"]

MAX_NOTE_BYTES = 1_000_000  # a note is stored as one value of the key-value service
_NOTE_KEYS = {"base_revision", "entries"}
_ENTRY_KEYS = {"action", "adapter", "must_confirm", "source", "version"}
_SOURCE_PATTERN = re.compile(r"[!-~]{1,512}")  # printable ASCII without spaces
_ACTION = EnumCodec(NoteAction)
_NAME = NameCodec()
_BOOLEAN = BooleanCodec()

# The C loader reads 1 MB in a fraction of the time; PyYAML built without libyaml lacks it.
_BaseLoader = getattr(yaml, "CBaseLoader", yaml.BaseLoader)


class _Loader(_BaseLoader):
    """YAML loader that rejects duplicate keys."""

    __slots__ = ()

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a YAML node."""
        seen_keys = set()
        for key, _ in node.value:
            if isinstance(key, yaml.ScalarNode) and key.value in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key {format_value(key.value)}", key.start_mark
                )
            seen_keys.add(key.value if isinstance(key, yaml.ScalarNode) else None)
        return super().construct_mapping(node, deep)


_BOOL_TAG = "tag:yaml.org,2002:bool"
_Loader.add_implicit_resolver(_BOOL_TAG, re.compile(r"(?:true|false)$"), ["t", "f"])
_Loader.add_constructor(_BOOL_TAG, lambda loader, node: loader.construct_scalar(node) == "true")


def _build_object(pairs):
    result = {}
    for name, value in pairs:
        if name in result:
            raise FormatError(f"duplicate key {format_value(name)}")
        result[name] = value
    return result


def _parse_document(data):
    if len(data) > MAX_NOTE_BYTES:
        raise FormatError(f"note of {len(data)} bytes exceeds the limit of {MAX_NOTE_BYTES}")
    try:
        text = data.decode("utf-8")
        if text.lstrip().startswith("{"):
            return json.loads(text, object_pairs_hook=_build_object)
        return yaml.load(text, Loader=_Loader)  # noqa: S506 (the loader builds no objects)
    except UnicodeDecodeError as error:
        raise FormatError(f"note is not UTF-8: {error}") from error
    except yaml.YAMLError as error:
        raise FormatError(f"note is not YAML: {error}") from error
    except RecursionError as error:
        raise FormatError("note is nested too deeply") from error
    except ValueError as error:
        raise FormatError(f"note is not JSON: {error}") from error


def _read_base_revision(value, errors):
    if isinstance(value, str) and re.fullmatch(r"[0-9]{1,18}", value):
        value = int(value)
    if value is not None and (type(value) is not int or not 0 <= value < 10**18):
        errors.append(f"base_revision must be a non-negative integer, got {format_value(value)}")
    return value


def _read_source(raw, action, path, errors):
    """Return the source; it is required except for a withdrawal, which must not have one."""
    if action is NoteAction.WITHDRAW:
        errors += [f"{path}: {k} is not allowed for withdraw" for k in _extra_keys(raw)]
        return ""
    source = raw.get("source")
    if "source" not in raw:
        errors.append(f"{path}: source is missing")
    elif not isinstance(source, str) or not _SOURCE_PATTERN.fullmatch(source):
        errors.append(
            f"{path}: source {format_value(source)} does not match {_SOURCE_PATTERN.pattern}"
        )
    return source


def _extra_keys(raw):
    return [key for key in ("source", "must_confirm") if key in raw]


def _read_field(raw, name, codec, path, errors):
    if name not in raw:
        errors.append(f"{path}: {name} is missing")
        return None
    return codec.from_json(raw[name], f"{path}: {name}", errors)


def _read_entry(raw, path, errors):
    if not isinstance(raw, dict):
        errors.append(f"{path} must be a mapping, got {format_value(raw)}")
        return None
    unknown = [key for key in raw if key not in _ENTRY_KEYS]
    errors += [f"{path}: {format_value(key)} is an unknown field" for key in unknown]
    action = _read_field(raw, "action", _ACTION, path, errors)
    adapter = _read_field(raw, "adapter", _NAME, path, errors)
    version = _read_field(raw, "version", _NAME, path, errors)
    source = _read_source(raw, action, path, errors)
    must_confirm = _BOOLEAN.from_json(
        raw.get("must_confirm", False), f"{path}: must_confirm", errors
    )
    return NoteEntry(action, AdapterVersion(adapter, version, source, must_confirm))


def _read_entries(raw_entries, errors):
    entries = []
    entry_numbers = {}
    for number, raw in enumerate(raw_entries, start=1):
        error_count = len(errors)
        entry = _read_entry(raw, f"entry {number}", errors)
        if len(errors) > error_count:
            continue
        entries.append(entry)
        first = entry_numbers.setdefault(entry.item.model, number)
        if first != number:
            errors.append(f"entry {number}: {entry.item.model} is already in entry {first}")
    return entries


def parse_note(data, note_id, operator):
    """Return the release note in a note file.

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
        If the file is invalid; the message has one line per error, with the number of the entry,
        counted from 1.
    """
    document = _parse_document(data)
    if not isinstance(document, dict):
        raise FormatError(f"note must be a mapping with 'entries', got {format_value(document)}")
    errors = [
        f"{format_value(key)} is an unknown field" for key in document if key not in _NOTE_KEYS
    ]
    base_revision = _read_base_revision(document.get("base_revision"), errors)
    raw_entries = document.get("entries")
    if not isinstance(raw_entries, list) or not raw_entries:
        errors.append("entries must be a list with at least one entry")
        raw_entries = []
    entries = _read_entries(raw_entries, errors)
    if errors:
        raise FormatError("\n".join(errors))
    return ReleaseNote(note_id, operator, entries, base_revision)
