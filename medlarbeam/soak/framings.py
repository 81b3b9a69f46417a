"""Framings of the responses of the soak's workers."""

from abc import ABC, abstractmethod

from medlarbeam.standins.worker_framing import build_head, encode_chunk

__all__ = ["FRAMINGS", "Framing"]

UNFRAMED_SHARE = 0.3  # of the responses of `MixedFraming`


class Framing(ABC):
    """How a response states where it ends.

    Attributes
    ----------
    keeps_open : bool
        Whether the connection is used again after a response.
    """

    __slots__ = ()

    name = ""
    keeps_open = True

    def choose(self, rng, is_stream):
        """Return the framing of one response.

        Parameters
        ----------
        rng : random.Random
        is_stream : bool
        """
        return self

    @abstractmethod
    def build_headers(self, length):
        """Return the header lines, with the blank line, for a body of `length` bytes."""

    def encode(self, piece):
        """Return a piece of the body as sent."""
        return piece

    def build_end(self):
        """Return the bytes after the last piece."""
        return b""

    def write_head(self, worker, writer, attempt, length):
        """Write the status line and the headers of a response."""
        headers = self.build_headers(length)
        if worker.rate_limit is not None:
            headers = b"Server-Limit: %.1f\r\n" % worker.rate_limit + headers
        writer.write(build_head(worker, attempt, headers=headers))

    async def send(self, worker, writer, attempt, pieces):
        """Send a complete response at once; return whether the connection stays open."""
        self.write_head(worker, writer, attempt, sum(len(piece) for piece in pieces))
        writer.write(b"".join(self.encode(piece) for piece in pieces) + self.build_end())
        await writer.drain()
        return self.keeps_open


class ChunkedFraming(Framing):
    """Chunked transfer encoding."""

    __slots__ = ()
    name = "chunked"

    def build_headers(self, length):
        """See `Framing.build_headers`."""
        return b"Transfer-Encoding: chunked\r\n\r\n"

    def encode(self, piece):
        """Return a chunk; an empty one would end the body."""
        return encode_chunk(piece) if piece else b""

    def build_end(self):
        """Return the last chunk."""
        return b"0\r\n\r\n"


class LengthFraming(Framing):
    """``Content-Length``; streams, whose length is not known, stay chunked."""

    __slots__ = ()
    name = "length"

    def choose(self, rng, is_stream):
        """See `Framing.choose`."""
        return FRAMINGS["chunked"] if is_stream else self

    def build_headers(self, length):
        """See `Framing.build_headers`."""
        return b"Content-Length: %d\r\n\r\n" % length


class UnframedFraming(Framing):
    """Neither a length nor chunks: the end of the connection ends the response."""

    __slots__ = ()
    name = "unframed"
    keeps_open = False

    def build_headers(self, length):
        """See `Framing.build_headers`."""
        return b"Connection: close\r\n\r\n"


class MixedFraming(ChunkedFraming):
    """A share of the responses is unframed, the others have chunks."""

    __slots__ = ()
    name = "mixed"

    def choose(self, rng, is_stream):
        """See `Framing.choose`."""
        return FRAMINGS["unframed" if rng.random() < UNFRAMED_SHARE else "chunked"]


FRAMINGS = {
    framing.name: framing
    for framing in (ChunkedFraming(), LengthFraming(), UnframedFraming(), MixedFraming())
}
