"""Splits a byte stream after a delimiter."""

from medlarbeam.exceptions import FormatError

__all__ = ["DelimitedBuffer"]


class DelimitedBuffer:
    """Holds back the bytes after the last delimiter of a byte stream.

    Parameters
    ----------
    delimiter : bytes
    limit : int
        Maximum size (bytes) of what is held back.
    name : str
        What the delimiter ends, for messages.

    Notes
    -----
    Each byte is searched once, so a peer that sends a long record in small blocks does not make the
    work grow with the square of its length.
    """

    __slots__ = ("delimiter", "limit", "name", "rest")

    def __init__(self, delimiter, limit, name):
        self.delimiter = delimiter
        self.limit = limit
        self.name = name
        self.rest = bytearray()

    def feed(self, block):
        """Add a block and return the bytes up to the last delimiter, ``b""`` if there is none.

        Raises
        ------
        FormatError
            If more than `limit` bytes follow the last delimiter.
        """
        searched = max(0, len(self.rest) - len(self.delimiter) + 1)
        self.rest += block
        start = self.rest.rfind(self.delimiter, searched)
        end = start + len(self.delimiter) if start >= 0 else 0
        complete = bytes(self.rest[:end])
        del self.rest[:end]
        if len(self.rest) > self.limit:
            raise FormatError(f"{self.name} exceeds the limit of {self.limit} bytes")
        return complete
