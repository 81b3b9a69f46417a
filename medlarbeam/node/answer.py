"""Puts the chunks of an answer in order."""

__all__ = ["Answer"]

PENDING_LIMIT = 1024  # chunks


class Answer:
    """Text of an answer as far as it is complete, and the chunks that came too early.

    Attributes
    ----------
    position : int
        Number of chunks that were put in order so far; the position of the next one.
    """

    __slots__ = ("parts", "pending", "position", "taken")

    def __init__(self):
        self.parts = []
        self.pending = {}
        self.position = 0
        self.taken = 0

    def add(self, position, text):
        """Add a chunk; a repeated one is dropped.

        Returns
        -------
        bool
            False if too many chunks wait for an earlier one.
        """
        if position < self.position:
            return True
        self.pending.setdefault(position, text)
        while self.position in self.pending:
            self.parts.append(self.pending.pop(self.position))
            self.position += 1
        return len(self.pending) <= PENDING_LIMIT

    def take_ready(self):
        """Return the text that is in order and was not taken yet."""
        text = "".join(self.parts[self.taken :])
        self.taken = len(self.parts)
        return text

    def is_whole(self, chunks):
        """Return whether all of `chunks` chunks have arrived."""
        return self.position >= chunks

    def drop_pending(self):
        """Forget the chunks that came too early, before another attempt."""
        self.pending.clear()

    def text(self):
        """Return the text that is in order."""
        return "".join(self.parts)
