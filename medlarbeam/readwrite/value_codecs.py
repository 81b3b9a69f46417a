"""Codecs of JSON values, with strict reading that collects all errors with their paths."""

import re
from abc import ABC, abstractmethod
from math import isfinite

__all__ = [
    "NAME_PATTERN",
    "BooleanCodec",
    "EnumCodec",
    "IntegerCodec",
    "ListCodec",
    "MapCodec",
    "NameCodec",
    "NumberCodec",
    "OptionalCodec",
    "RecordCodec",
    "StringCodec",
    "ValueCodec",
    "format_value",
    "join_errors",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
_MAX_INTEGER = 2**64 - 1
_MAX_SHOWN_CHARACTERS = 60
_MAX_LISTED_ERRORS = 20  # a value of 1 MB may have thousands of errors


def format_value(value):
    """Return a short form of `value` for error messages."""
    if isinstance(value, str):
        if len(value) > _MAX_SHOWN_CHARACTERS:
            return f"{value[:_MAX_SHOWN_CHARACTERS]!r}... ({len(value)} characters)"
        return repr(value)
    if value is None:
        return "null"
    if isinstance(value, bool | int | float):
        return str(value).lower()[:_MAX_SHOWN_CHARACTERS]
    return "a list" if isinstance(value, list) else "an object"


def join_errors(errors):
    """Return the first errors as one line."""
    more = len(errors) - _MAX_LISTED_ERRORS
    return "; ".join(errors[:_MAX_LISTED_ERRORS] + ([f"{more} more errors"] if more > 0 else []))


class ValueCodec(ABC):
    """Codec of one type of value."""

    __slots__ = ()

    @abstractmethod
    def from_json(self, value, path, errors):
        """Return the value for a parsed JSON value.

        Parameters
        ----------
        value : object
        path : str
            Path of the value for error messages.
        errors : list of str
            Receives one line for each error; the returned value is then meaningless.
        """

    def to_json(self, value):
        """Return the JSON value for `value`."""
        return value


class StringCodec(ValueCodec):
    """Any string."""

    __slots__ = ()

    def from_json(self, value, path, errors):
        """Return the string."""
        if not isinstance(value, str):
            errors.append(f"{path} must be a string, got {format_value(value)}")
        return value


class NameCodec(ValueCodec):
    """Name of an adapter or version."""

    __slots__ = ()

    def from_json(self, value, path, errors):
        """Return the name."""
        if not isinstance(value, str):
            errors.append(f"{path} must be a string, got {format_value(value)}")
        elif not NAME_PATTERN.fullmatch(value):
            errors.append(f"{path} {format_value(value)} does not match {NAME_PATTERN.pattern}")
        return value


class IntegerCodec(ValueCodec):
    """Integer from `minimum` to the greatest unsigned 64-bit number."""

    __slots__ = ("minimum",)

    def __init__(self, minimum=0):
        self.minimum = minimum

    def from_json(self, value, path, errors):
        """Return the integer."""
        if isinstance(value, bool) or not isinstance(value, int):
            errors.append(f"{path} must be an integer, got {format_value(value)}")
        elif not self.minimum <= value <= _MAX_INTEGER:
            errors.append(
                f"{path} must be {self.minimum} to {_MAX_INTEGER}, got {format_value(value)}"
            )
        return value


class NumberCodec(ValueCodec):
    """Finite number."""

    __slots__ = ()

    def from_json(self, value, path, errors):
        """Return the number as a float."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            errors.append(f"{path} must be a number, got {format_value(value)}")
            return 0.0
        if isinstance(value, float) and not isfinite(value):
            errors.append(f"{path} must be finite, got {format_value(value)}")
        return float(value)

    def to_json(self, value):
        """Return the number; raise ValueError if it is not finite, as JSON cannot encode it."""
        if not isfinite(value):
            raise ValueError(f"{value} is not finite")
        return float(value)


class BooleanCodec(ValueCodec):
    """Boolean."""

    __slots__ = ()

    def from_json(self, value, path, errors):
        """Return the boolean."""
        if not isinstance(value, bool):
            errors.append(f"{path} must be true or false, got {format_value(value)}")
        return value


class EnumCodec(ValueCodec):
    """Member of an enumeration, encoded as its value."""

    __slots__ = ("members",)

    def __init__(self, enum):
        self.members = {member.value: member for member in enum}

    def from_json(self, value, path, errors):
        """Return the member."""
        member = self.members.get(value) if isinstance(value, str) else None
        if member is None:
            errors.append(f"{path} {format_value(value)} is not one of {', '.join(self.members)}")
        return member

    def to_json(self, value):
        """Return the value of the member."""
        return value.value


class OptionalCodec(ValueCodec):
    """Null or a value of another codec."""

    __slots__ = ("codec",)

    def __init__(self, codec):
        self.codec = codec

    def from_json(self, value, path, errors):
        """Return None or the value."""
        return None if value is None else self.codec.from_json(value, path, errors)

    def to_json(self, value):
        """Return None or the JSON value."""
        return None if value is None else self.codec.to_json(value)


class ListCodec(ValueCodec):
    """List of values of one codec."""

    __slots__ = ("codec",)

    def __init__(self, codec):
        self.codec = codec

    def from_json(self, value, path, errors):
        """Return the list."""
        if not isinstance(value, list):
            errors.append(f"{path} must be a list, got {format_value(value)}")
            return []
        return [self.codec.from_json(item, f"{path}[{i}]", errors) for i, item in enumerate(value)]

    def to_json(self, value):
        """Return the list of JSON values."""
        return [self.codec.to_json(item) for item in value]


class MapCodec(ValueCodec):
    """Object with arbitrary keys and values of one codec."""

    __slots__ = ("codec",)

    def __init__(self, codec):
        self.codec = codec

    def from_json(self, value, path, errors):
        """Return the dictionary."""
        if not isinstance(value, dict):
            errors.append(f"{path} must be an object, got {format_value(value)}")
            return {}
        return {
            key: self.codec.from_json(item, f"{path}[{format_value(key)}]", errors)
            for key, item in value.items()
        }

    def to_json(self, value):
        """Return the dictionary of JSON values."""
        return {key: self.codec.to_json(item) for key, item in value.items()}


class RecordCodec(ValueCodec):
    """Object whose keys are the slots of a record class.

    Parameters
    ----------
    record_class : type
    **codecs : ValueCodec
        Codec of each slot; all keys are required and no others are allowed.
    """

    __slots__ = ("codecs", "record_class")

    def __init__(self, record_class, **codecs):
        if sorted(codecs) != sorted(record_class.__slots__):
            raise TypeError(
                f"codecs of {record_class.__name__} do not match its slots: {sorted(codecs)}"
            )
        self.record_class = record_class
        self.codecs = codecs

    def from_json(self, value, path, errors):
        """Return the record, or None after an error."""
        if not isinstance(value, dict):
            errors.append(f"{path or 'the document'} must be an object, got {format_value(value)}")
            return None
        prefix = f"{path}." if path else ""
        error_count = len(errors)
        fields = {}
        for name, codec in self.codecs.items():
            if name in value:
                fields[name] = codec.from_json(value[name], prefix + name, errors)
            else:
                errors.append(f"{prefix}{name} is missing")
        if len(value) > len(fields):
            unknown = [key for key in value if key not in self.codecs]
            errors += [f"{prefix}{format_value(key)} is an unknown field" for key in unknown]
        return self.record_class(**fields) if len(errors) == error_count else None

    def to_json(self, value):
        """Return the object."""
        return {name: codec.to_json(getattr(value, name)) for name, codec in self.codecs.items()}
