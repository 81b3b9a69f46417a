"""Reading from connections in bounded pieces, so that no peer takes the event loop for itself."""

__all__ = ["PIECE_BYTES", "PacedReading"]

# Bytes that are read and parsed at once. An asyncio transport reads up to 256 KB, whose parsing
# takes about 60 ms in chunks of one byte.
PIECE_BYTES = 8192
# Bytes of a piece that are neither small nor mostly payload make the piece costly to parse.
COSTLY_BYTES = 2048


class PacedReading:
    """Mixin of protocols whose connections take turns while their bytes are costly to parse.

    It comes before a protocol of aiohttp and `asyncio.BufferedProtocol`, whose other methods must
    not replace those of aiohttp. Subclasses have these attributes:

    Attributes
    ----------
    buffer : memoryview
        Receives the bytes of each read; all connections of a loop may share it.
    turns : ReadTurns
    waits_for_turn : bool
        Whether reading is paused until the turn of this connection.
    """

    __slots__ = ()

    def get_buffer(self, sizehint):
        """Return the buffer for the next read, which bounds its size."""
        return self.buffer

    def buffer_updated(self, nbytes):
        """Parse the bytes that were read."""
        self.data_received(bytes(self.buffer[:nbytes]))

    def record_piece(self, size, payload_size):
        """Wait for a turn after a piece of `size` bytes, `payload_size` of them payload."""
        if size - payload_size > max(COSTLY_BYTES, payload_size):
            self._wait_for_turn()

    def _wait_for_turn(self):
        if not self.waits_for_turn and self.transport is not None:
            self.waits_for_turn = True
            self._pause_transport_reading()
            self.turns.add(self._resume_in_turn)

    def _resume_in_turn(self):
        self.waits_for_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self):
        if not self.waits_for_turn:
            super()._resume_transport_reading()
