"""Responses of a stand-in worker whose heads are odd and whose bodies are whole."""

from medlarbeam.standins.worker_framing import STAMP_HEADER, build_head, encode_chunk

__all__ = ["ODD_HEADS"]

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class OddHead:
    """Sends a complete response with odd lines in its head.

    Parameters
    ----------
    lines : bytes
        Header lines that follow those with the attempt id and the stamp.
    stamp : bytes
        Header line with the stamp.
    """

    __slots__ = ("lines", "stamp")

    def __init__(self, lines, stamp=STAMP_HEADER):
        self.lines = lines
        self.stamp = stamp

    async def __call__(self, worker, writer, attempt, body_parts):
        """Respond to a request; return True, since the connection stays open."""
        writer.write(build_head(worker, attempt, headers=self.lines, stamp=self.stamp))
        writer.write(b"".join(encode_chunk(piece) for piece in body_parts) + b"0\r\n\r\n")
        await writer.drain()
        return True


ODD_HEADS = {
    "control_character": OddHead(b"X-A: a\x01b\r\n" + CHUNKED),
    "two_stamps": OddHead(b"X-Server-Stamp: s.2\r\n" + CHUNKED),
    "empty_stamp": OddHead(CHUNKED, b"X-Server-Stamp: \r\n"),
    "two_attempt_ids": OddHead(b"X-Attempt-Id: other\r\n" + CHUNKED),
    "options": OddHead(b"Connection: X-Server-Stamp, X-Attempt-Id\r\n" + CHUNKED),
    "organisation": OddHead(b"X-Tenant: acme\r\nX-Key: k\r\n" + CHUNKED),
}
