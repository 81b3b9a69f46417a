"""How the fields of a record are written to and read from a Cap'n Proto struct."""

from abc import ABC, abstractmethod
from math import isnan

from medlarbeam.exceptions import FormatError

__all__ = [
    "EnumField",
    "Layout",
    "ListField",
    "MapField",
    "NumberField",
    "OptionalField",
    "PeerField",
    "PlainField",
    "RecordField",
    "TextListField",
]


def _camel_case(name):
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


class PeerField(ABC):
    """One field of a record.

    Parameters
    ----------
    name : str
        Attribute of the record; the field of the struct has the same name in camel case.
    """

    __slots__ = ("name", "wire")

    def __init__(self, name):
        self.name = name
        self.wire = _camel_case(name)

    @abstractmethod
    def write(self, builder, value):
        """Set the field of a struct builder."""

    @abstractmethod
    def read(self, reader):
        """Return the value in a struct reader."""


class PlainField(PeerField):
    """Text, bytes, integer or boolean."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder."""
        setattr(builder, self.wire, value)

    def read(self, reader):
        """Return the value in a struct reader."""
        return getattr(reader, self.wire)


class NumberField(PlainField):
    """Floating-point number that may be infinite; NaN is refused, as it passes every limit."""

    __slots__ = ()

    def read(self, reader):
        """Return the value in a struct reader."""
        value = getattr(reader, self.wire)
        if isnan(value):
            raise FormatError(f"{self.name} is not a number")
        return value


class EnumField(PeerField):
    """Member of the enumeration `kind`, as its value."""

    __slots__ = ("kind",)

    def __init__(self, name, kind):
        super().__init__(name)
        self.kind = kind

    def write(self, builder, value):
        """Set the field of a struct builder."""
        setattr(builder, self.wire, value.value)

    def read(self, reader):
        """Return the value in a struct reader."""
        return self.kind(getattr(reader, self.wire))


class TextListField(PeerField):
    """List of text."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder."""
        setattr(builder, self.wire, value)

    def read(self, reader):
        """Return the value in a struct reader."""
        return list(getattr(reader, self.wire))


class RecordField(PeerField):
    """Record that has to be present."""

    __slots__ = ("layout",)

    def __init__(self, name, layout):
        super().__init__(name)
        self.layout = layout

    def write(self, builder, value):
        """Set the field of a struct builder."""
        self.layout.write(builder.init(self.wire), value)

    def read(self, reader):
        """Return the value in a struct reader."""
        if not reader._has(self.wire):
            raise FormatError(f"{self.name} is missing")
        return self.layout.read(getattr(reader, self.wire))


class OptionalField(RecordField):
    """Record or None."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder."""
        if value is not None:
            super().write(builder, value)

    def read(self, reader):
        """Return the value in a struct reader."""
        return super().read(reader) if reader._has(self.wire) else None


class ListField(RecordField):
    """List of records."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder."""
        items = builder.init(self.wire, len(value))
        for i, item in enumerate(value):
            self.layout.write(items[i], item)

    def read(self, reader):
        """Return the value in a struct reader."""
        return [self.layout.read(item) for item in getattr(reader, self.wire)]


class MapField(PeerField):
    """Dictionary of text to text, as a list of structs with the fields `key` and `value`."""

    __slots__ = ("key", "value")

    def __init__(self, name, key, value):
        super().__init__(name)
        self.key = key
        self.value = value

    def write(self, builder, value):
        """Set the field of a struct builder."""
        items = builder.init(self.wire, len(value))
        for i, (key, item) in enumerate(value.items()):
            setattr(items[i], self.key, key)
            setattr(items[i], self.value, item)

    def read(self, reader):
        """Return the value in a struct reader."""
        items = getattr(reader, self.wire)
        result = {getattr(item, self.key): getattr(item, self.value) for item in items}
        if len(result) != len(items):
            raise FormatError(f"{self.name} names a {self.key} twice")
        return result


class Layout:
    """All fields of a record class; the constructor takes them as keyword arguments.

    Parameters
    ----------
    kind : type
    plain : str
        Names of the `PlainField` fields, separated by spaces.
    others : PeerField
    """

    __slots__ = ("fields", "kind")

    def __init__(self, kind, plain, *others):
        self.kind = kind
        self.fields = [*map(PlainField, plain.split()), *others]
        names = sorted(field.name for field in self.fields)
        if names != sorted(kind.__slots__):
            raise TypeError(f"the layout of {kind.__name__} has the fields {names}")

    def write(self, builder, record):
        """Set all fields of a struct builder."""
        for field in self.fields:
            field.write(builder, getattr(record, field.name))

    def read(self, reader):
        """Return the record in a struct reader."""
        return self.kind(**{field.name: field.read(reader) for field in self.fields})
