"""Reassembly of a response from chunks that may arrive out of order."""

__all__ = ["ChunkReorderBuffer"]

PENDING_LIMIT = 1024  # chunks that wait for an earlier one; bounds the memory of a response


class ChunkReorderBuffer:
    """Reorder buffer of the chunks of one response.

    Attributes
    ----------
    parts : list of str
        Contiguous chunks received so far.
    pending : dict
        Chunks that arrived before an earlier one, by position.
    position : int
        Position of the next contiguous chunk.
    returned_parts : int
        Number of `parts` that `take_ready` has returned.
    """

    __slots__ = ("parts", "pending", "position", "returned_parts")

    def __init__(self):
        self.parts = []
        self.pending = {}
        self.position = 0
        self.returned_parts = 0

    def add(self, position, text):
        """Add a chunk; a duplicate is dropped.

        Returns
        -------
        bool
            False if more than `PENDING_LIMIT` chunks wait for an earlier one.
        """
        if position < self.position:
            return True
        self.pending.setdefault(position, text)
        while self.position in self.pending:
            self.parts.append(self.pending.pop(self.position))
            self.position += 1
        return len(self.pending) <= PENDING_LIMIT

    def take_ready(self):
        """Return the contiguous text that was not returned before."""
        text = "".join(self.parts[self.returned_parts :])
        self.returned_parts = len(self.parts)
        return text

    def is_complete(self, chunks):
        """Return whether all of `chunks` chunks have arrived."""
        return self.position >= chunks

    def drop_pending(self):
        """Discard the out-of-order chunks, before another attempt."""
        self.pending.clear()

    def text(self):
        """Return the contiguous text."""
        return "".join(self.parts)
