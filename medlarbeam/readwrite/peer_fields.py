"""Conversion of the fields of records to and from Cap'n Proto structs."""

from abc import ABC, abstractmethod
from math import isnan

from medlarbeam.exceptions import FormatError

__all__ = [
    "EnumField",
    "FloatField",
    "ListField",
    "MapField",
    "OptionalField",
    "PeerField",
    "PlainField",
    "RecordField",
    "StructLayout",
    "TextListField",
]


def _camel_case(name):
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


class PeerField(ABC):
    """Converter of one field of a record.

    Parameters
    ----------
    name : str
        Attribute of the record; the field of the struct has the same name in camel case.

    Notes
    -----
    Fields are read with ``reader._get(name)``: 0.7 us of processor time in place of 1.4 us for the
    attribute of the same name. A gateway decodes some hundred datagrams a second.
    """

    __slots__ = ("name", "wire_name")

    def __init__(self, name):
        self.name = name
        self.wire_name = _camel_case(name)

    @abstractmethod
    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""

    @abstractmethod
    def read(self, reader):
        """Return the value of the field of a struct reader."""


class PlainField(PeerField):
    """Text, bytes, integer or boolean."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        setattr(builder, self.wire_name, value)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        return reader._get(self.wire_name)


class FloatField(PlainField):
    """Floating-point number, possibly infinite; NaN is rejected, as it passes any limit check."""

    __slots__ = ()

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        value = reader._get(self.wire_name)
        if isnan(value):
            raise FormatError(f"{self.name} is not a number")
        return value


class EnumField(PeerField):
    """Member of `enum_class`, encoded as its value."""

    __slots__ = ("enum_class",)

    def __init__(self, name, enum_class):
        super().__init__(name)
        self.enum_class = enum_class

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        setattr(builder, self.wire_name, value.value)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        return self.enum_class(reader._get(self.wire_name))


class TextListField(PeerField):
    """List of strings."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        setattr(builder, self.wire_name, value)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        return list(reader._get(self.wire_name))


class RecordField(PeerField):
    """Required record."""

    __slots__ = ("layout",)

    def __init__(self, name, layout):
        super().__init__(name)
        self.layout = layout

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        self.layout.write(builder.init(self.wire_name), value)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        if not reader._has(self.wire_name):
            raise FormatError(f"{self.name} is missing")
        return self.layout.read(reader._get(self.wire_name))


class OptionalField(RecordField):
    """Optional record; None is encoded as a null pointer."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        if value is not None:
            super().write(builder, value)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        return super().read(reader) if reader._has(self.wire_name) else None


class ListField(RecordField):
    """List of records."""

    __slots__ = ()

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        items = builder.init(self.wire_name, len(value))
        for i, item in enumerate(value):
            self.layout.write(items[i], item)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        return [self.layout.read(item) for item in reader._get(self.wire_name)]


class MapField(PeerField):
    """Dictionary of str to str, as a list of structs.

    Parameters
    ----------
    name : str
    key, value : str
        Fields of the structs that hold the key and the value of an item.
    """

    __slots__ = ("key", "value")

    def __init__(self, name, key, value):
        super().__init__(name)
        self.key = key
        self.value = value

    def write(self, builder, value):
        """Set the field of a struct builder to `value`."""
        items = builder.init(self.wire_name, len(value))
        for i, (key, item) in enumerate(value.items()):
            setattr(items[i], self.key, key)
            setattr(items[i], self.value, item)

    def read(self, reader):
        """Return the value of the field of a struct reader."""
        items = reader._get(self.wire_name)
        result = {getattr(item, self.key): getattr(item, self.value) for item in items}
        if len(result) != len(items):
            raise FormatError(f"{self.name} has a duplicate {self.key}")
        return result


class StructLayout:
    """Converters of all fields of a record class.

    Parameters
    ----------
    record_class : type
        Its constructor takes the fields as keyword arguments.
    plain_names : str
        Names of the `PlainField` fields, separated by spaces.
    *other_fields : PeerField
        Converters of the remaining fields.
    """

    __slots__ = ("fields", "record_class")

    def __init__(self, record_class, plain_names, *other_fields):
        self.record_class = record_class
        self.fields = [*map(PlainField, plain_names.split()), *other_fields]
        names = sorted(field.name for field in self.fields)
        if names != sorted(record_class.__slots__):
            raise TypeError(f"layout of {record_class.__name__} does not match its slots: {names}")

    def write(self, builder, record):
        """Set all fields of a struct builder from `record`."""
        for field in self.fields:
            field.write(builder, getattr(record, field.name))

    def read(self, reader):
        """Return the record in a struct reader."""
        return self.record_class(**{field.name: field.read(reader) for field in self.fields})
