"""Responses that go on until the caller closes the connection, for tests and the soak."""

from itertools import count, repeat

from medlarbeam.standins.worker_framing import build_head, encode_chunk, encode_event

__all__ = ["ENDLESS_RESPONDERS"]

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
REFUSED = b"X-Not-Executed: 1\r\n" + CHUNKED
EVENTS_IN_BLOCK = 500


class EndlessResponse:
    """Sends a head and then blocks of bytes without end.

    Parameters
    ----------
    blocks : callable
        Returns an iterator over the blocks (bytes).
    headers : bytes or None
        Last header lines and the end of the head; None sends no head.
    status : int
    """

    __slots__ = ("blocks", "headers", "status")

    def __init__(self, blocks, headers=None, status=200):
        self.blocks = blocks
        self.headers = headers
        self.status = status

    async def __call__(self, worker, writer, attempt, body_parts):
        """Respond to a request; return False, since the connection is closed."""
        if self.status == 503:  # states that the request did not run
            worker.executed_attempts.remove(attempt)
        if self.headers is not None:
            writer.write(build_head(worker, attempt, self.status, self.headers))
        try:
            for block in self.blocks():
                if writer.is_closing():
                    break
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            pass  # the caller closed the connection, as it should
        return False


def repeat_block(data):
    """Return a function that repeats `data` without end."""
    return lambda: repeat(data)


def generate_events():
    """Yield chunks of well-formed events with consecutive ids."""
    for first in count(1, EVENTS_IN_BLOCK):
        numbers = range(first, first + EVENTS_IN_BLOCK)
        yield encode_chunk(b"".join(encode_event(number) for number in numbers))


HEAD_OF_RESPONSE = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"

ENDLESS_RESPONDERS = {
    "endless_garbage": EndlessResponse(repeat_block(b"\x00\xff no answer " * 512)),
    "endless_head": EndlessResponse(repeat_block(b"X-More: 1\r\n" * 512), b""),
    "endless_status": EndlessResponse(repeat_block(b"HTTP/1.1 100 Continue\r\n\r\n" * 64)),
    "endless_early_hints": EndlessResponse(repeat_block(b"HTTP/1.1 103 X\r\n\r\n" * 4096)),
    "endless_responses": EndlessResponse(
        repeat_block(HEAD_OF_RESPONSE * 2048), CHUNKED + b"0\r\n\r\n"
    ),
    "endless_body": EndlessResponse(repeat_block(encode_chunk(b"x" * 8192)), CHUNKED),
    "endless_small_chunks": EndlessResponse(repeat_block(encode_chunk(b"x") * 8192), CHUNKED),
    "endless_unframed_body": EndlessResponse(
        repeat_block(b"x" * 8192), b"Connection: close\r\n\r\n"
    ),
    "endless_refusal": EndlessResponse(repeat_block(encode_chunk(b"x" * 8192)), REFUSED, 503),
    "endless_line_feeds": EndlessResponse(repeat_block(encode_chunk(b"\n" * 65536)), CHUNKED),
    "endless_events": EndlessResponse(generate_events, CHUNKED),
    "endless_events_without_id": EndlessResponse(
        repeat_block(encode_chunk(b"data: x\n\n" * 4096)), CHUNKED
    ),
}
