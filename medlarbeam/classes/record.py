"""Base class of all data classes."""

__all__ = ["Record"]


class Record:
    """Plain class with slots; equality and ``repr`` use the values of the slots.

    Notes
    -----
    Subclasses declare ``__slots__`` and define ``__init__``. Instances are not hashable.
    """

    __slots__ = ()

    def __eq__(self, other):
        if type(self) is not type(other):
            return NotImplemented
        return all(getattr(self, s) == getattr(other, s) for s in self.__slots__)

    __hash__ = None

    def __repr__(self):
        fields = ", ".join(f"{s}={getattr(self, s)!r}" for s in self.__slots__)
        return f"{type(self).__name__}({fields})"
