"""Kinds of JSON values: strict reading that collects every fault with its place."""

import re
from abc import ABC, abstractmethod
from math import isfinite

__all__ = [
    "NAME_PATTERN",
    "ChoiceKind",
    "FlagKind",
    "IntegerKind",
    "ListKind",
    "MapKind",
    "NameKind",
    "NumberKind",
    "OptionalKind",
    "RecordKind",
    "TextKind",
    "ValueKind",
    "join_faults",
    "show",
]

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,128}")
_MAX_INTEGER = 2**64 - 1
_SHOWN_CHARACTERS = 60
_SHOWN_FAULTS = 20  # a value of 1 MB may have thousands


def show(value):
    """Return a short text for `value` in an error message."""
    if isinstance(value, str):
        if len(value) > _SHOWN_CHARACTERS:
            return f"{value[:_SHOWN_CHARACTERS]!r}... ({len(value)} characters)"
        return repr(value)
    if value is None:
        return "null"
    if isinstance(value, bool | int | float):
        return str(value).lower()[:_SHOWN_CHARACTERS]
    return "a list" if isinstance(value, list) else "an object"


def join_faults(faults):
    """Return the first faults as one line."""
    more = len(faults) - _SHOWN_FAULTS
    return "; ".join(faults[:_SHOWN_FAULTS] + ([f"{more} more faults"] if more > 0 else []))


class ValueKind(ABC):
    """How one value is written as JSON and read again."""

    __slots__ = ()

    @abstractmethod
    def read(self, value, place, faults):
        """Return the value for a parsed JSON value.

        Parameters
        ----------
        value : object
        place : str
            Path of the value for error messages.
        faults : list of str
            Gets one line for each fault; the returned value then means nothing.
        """

    def dump(self, value):
        """Return the JSON value for `value`."""
        return value


class TextKind(ValueKind):
    """Any text."""

    __slots__ = ()

    def read(self, value, place, faults):
        """Return the text."""
        if not isinstance(value, str):
            faults.append(f"{place} must be a text and is {show(value)}")
        return value


class NameKind(ValueKind):
    """Name of an adapter or version."""

    __slots__ = ()

    def read(self, value, place, faults):
        """Return the name."""
        if not isinstance(value, str):
            faults.append(f"{place} must be a text and is {show(value)}")
        elif not NAME_PATTERN.fullmatch(value):
            faults.append(f"{place} {show(value)} does not match {NAME_PATTERN.pattern}")
        return value


class IntegerKind(ValueKind):
    """Integer from `least` to the greatest 64-bit number."""

    __slots__ = ("least",)

    def __init__(self, least=0):
        self.least = least

    def read(self, value, place, faults):
        """Return the integer."""
        if isinstance(value, bool) or not isinstance(value, int):
            faults.append(f"{place} must be an integer and is {show(value)}")
        elif not self.least <= value <= _MAX_INTEGER:
            faults.append(f"{place} must be {self.least} to {_MAX_INTEGER} and is {show(value)}")
        return value


class NumberKind(ValueKind):
    """Finite number."""

    __slots__ = ()

    def read(self, value, place, faults):
        """Return the number as a float."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            faults.append(f"{place} must be a number and is {show(value)}")
            return 0.0
        if isinstance(value, float) and not isfinite(value):
            faults.append(f"{place} must be finite and is {show(value)}")
        return float(value)

    def dump(self, value):
        """Return the number; JSON has none for infinity."""
        if not isfinite(value):
            raise ValueError(f"{value} is not finite")
        return float(value)


class FlagKind(ValueKind):
    """True or false."""

    __slots__ = ()

    def read(self, value, place, faults):
        """Return the flag."""
        if not isinstance(value, bool):
            faults.append(f"{place} must be true or false and is {show(value)}")
        return value


class ChoiceKind(ValueKind):
    """Member of an enumeration, written as its value."""

    __slots__ = ("members",)

    def __init__(self, enum):
        self.members = {member.value: member for member in enum}

    def read(self, value, place, faults):
        """Return the member."""
        member = self.members.get(value) if isinstance(value, str) else None
        if member is None:
            faults.append(f"{place} {show(value)} is none of {', '.join(self.members)}")
        return member

    def dump(self, value):
        """Return the value of the member."""
        return value.value


class OptionalKind(ValueKind):
    """Null or a value of another kind."""

    __slots__ = ("kind",)

    def __init__(self, kind):
        self.kind = kind

    def read(self, value, place, faults):
        """Return None or the value."""
        return None if value is None else self.kind.read(value, place, faults)

    def dump(self, value):
        """Return None or the JSON value."""
        return None if value is None else self.kind.dump(value)


class ListKind(ValueKind):
    """List of values of one kind."""

    __slots__ = ("kind",)

    def __init__(self, kind):
        self.kind = kind

    def read(self, value, place, faults):
        """Return the list."""
        if not isinstance(value, list):
            faults.append(f"{place} must be a list and is {show(value)}")
            return []
        return [self.kind.read(item, f"{place}[{i}]", faults) for i, item in enumerate(value)]

    def dump(self, value):
        """Return the list of JSON values."""
        return [self.kind.dump(item) for item in value]


class MapKind(ValueKind):
    """Object with any keys and values of one kind."""

    __slots__ = ("kind",)

    def __init__(self, kind):
        self.kind = kind

    def read(self, value, place, faults):
        """Return the dictionary."""
        if not isinstance(value, dict):
            faults.append(f"{place} must be an object and is {show(value)}")
            return {}
        return {
            key: self.kind.read(item, f"{place}[{show(key)}]", faults)
            for key, item in value.items()
        }

    def dump(self, value):
        """Return the dictionary of JSON values."""
        return {key: self.kind.dump(item) for key, item in value.items()}


class RecordKind(ValueKind):
    """Object whose keys are the slots of a record class.

    Parameters
    ----------
    record : type
    **kinds : ValueKind
        Kind of each slot; every key has to be present and no other key may be.
    """

    __slots__ = ("kinds", "record")

    def __init__(self, record, **kinds):
        if sorted(kinds) != sorted(record.__slots__):
            raise TypeError(f"the kinds of {record.__name__} are {sorted(kinds)}")
        self.record = record
        self.kinds = kinds

    def read(self, value, place, faults):
        """Return the record, or None after a fault."""
        if not isinstance(value, dict):
            faults.append(f"{place or 'the document'} must be an object and is {show(value)}")
            return None
        prefix = f"{place}." if place else ""
        before = len(faults)
        fields = {}
        for name, kind in self.kinds.items():
            if name in value:
                fields[name] = kind.read(value[name], prefix + name, faults)
            else:
                faults.append(f"{prefix}{name} is missing")
        if len(value) > len(fields):
            unknown = [key for key in value if key not in self.kinds]
            faults += [f"{prefix}{show(key)} is not a known field" for key in unknown]
        return self.record(**fields) if len(faults) == before else None

    def dump(self, value):
        """Return the object."""
        return {name: kind.dump(getattr(value, name)) for name, kind in self.kinds.items()}
