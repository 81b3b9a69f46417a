"""Parts of the responses of the stand-in for a worker of the users' platform."""

__all__ = ["STAMP_HEADER", "build_head", "encode_chunk", "encode_event"]

STAMP_HEADER = b"X-Server-Stamp: s.1\r\n"


def encode_event(number, padding=0):
    """Encode a server-sent event with `padding` more bytes."""
    return b"id: %d\ndata: x%d%s\n\n" % (number, number, b"." * padding)


def build_head(worker, attempt, status=200, headers=b"", stamp=STAMP_HEADER):
    """Return the status line and the headers of a response."""
    return b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%s%s%s" % (
        status,
        attempt.encode(),
        stamp,
        worker.build_state_headers(),
        headers,
    )


def encode_chunk(data):
    """Encode a chunk of a body in chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)
