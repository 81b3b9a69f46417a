"""Encoding of the values in the platform's key-value service (JSON)."""

import orjson

from medlarbeam.classes.cells import BackendServer, CellRecord, Member
from medlarbeam.exceptions import FormatError

__all__ = ["decode_cell_record", "encode_cell_record"]


def encode_cell_record(record):
    """Return the JSON bytes of a `CellRecord`."""
    document = {slot: getattr(record, slot) for slot in CellRecord.__slots__}
    return orjson.dumps(document, default=_to_mapping, option=orjson.OPT_SORT_KEYS)


def decode_cell_record(data):
    """Return the `CellRecord` in JSON bytes.

    Raises
    ------
    FormatError
        If the bytes are not a cell record.
    """
    try:
        document = orjson.loads(data)
        document["members"] = [Member(**item) for item in document["members"]]
        document["servers"] = [BackendServer(**item) for item in document["servers"]]
        return CellRecord(**document)
    except (ValueError, TypeError, KeyError) as error:
        raise FormatError(f"not a cell record: {error}") from error


def _to_mapping(value):
    return {slot: getattr(value, slot) for slot in value.__slots__}
