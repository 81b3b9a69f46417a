"""How an answer goes back to a caller: as one JSON document, as events, or as a plain body."""

from abc import ABC, abstractmethod

from aiohttp.web import Response, StreamResponse
from orjson import dumps

from medlarbeam.daemon.caller_output import (
    DONE,
    build_completion,
    build_error,
    build_headers,
    format_chunk,
    format_error,
    format_last_chunk,
)
from medlarbeam.exceptions import ANSWERS

__all__ = [
    "AnswerWriter",
    "CompletionWriter",
    "EventWriter",
    "PlainWriter",
    "build_error_response",
    "choose_writer",
]


def build_error_response(failure, origin):
    """Return the HTTP response of a `Failure`."""
    return Response(
        status=ANSWERS[failure.kind].status,
        body=dumps(build_error(failure, origin)),
        content_type="application/json",
        headers=build_headers(origin),
    )


class AnswerWriter(ABC):
    """Writes one answer.

    Parameters
    ----------
    http_request : aiohttp.web.Request
    created : float
        Wall clock time, seconds since the epoch.
    """

    __slots__ = ("created", "http_request", "pieces")

    def __init__(self, http_request, created):
        self.http_request = http_request
        self.created = created
        self.pieces = []

    async def write(self, text, origin):
        """Take a piece of the answer; kept until the end unless the caller wants a stream."""
        self.pieces.append(text)

    @abstractmethod
    async def finish(self, status, origin):
        """Return the response of a complete answer."""

    async def fail(self, failure, origin):
        """Return the response of a failed request."""
        return build_error_response(failure, origin)


class CompletionWriter(AnswerWriter):
    """One JSON document."""

    __slots__ = ()

    async def finish(self, status, origin):
        """Return the completion document."""
        document = build_completion("".join(self.pieces), origin, self.created)
        return Response(
            status=status,
            body=dumps(document),
            content_type="application/json",
            headers=build_headers(origin),
        )


class PlainWriter(AnswerWriter):
    """The body of a plain service, unchanged; the origin is in the headers."""

    __slots__ = ()

    async def finish(self, status, origin):
        """Return the body with the status of the plain service."""
        return Response(
            status=status,
            body="".join(self.pieces).encode("utf-8"),
            content_type="application/json",
            headers=build_headers(origin),
        )


class EventWriter(AnswerWriter):
    """Server-sent events, begun with the first piece of text.

    Notes
    -----
    A failure before the first piece is an HTTP error; a later one is an ``error`` event.
    """

    __slots__ = ("response",)

    def __init__(self, http_request, created):
        super().__init__(http_request, created)
        self.response = None

    async def write(self, text, origin):
        """Send a piece of text."""
        await self._begin(origin)
        await self.response.write(format_chunk(text, origin, self.created))

    async def finish(self, status, origin):
        """Send the last events."""
        await self._begin(origin)
        await self.response.write(format_last_chunk(origin, self.created) + DONE)
        await self.response.write_eof()
        return self.response

    async def fail(self, failure, origin):
        """Send an ``error`` event, or an HTTP error where nothing was sent yet."""
        if self.response is None:
            return build_error_response(failure, origin)
        await self.response.write(format_error(failure, origin))
        await self.response.write_eof()
        return self.response

    async def _begin(self, origin):
        if self.response is None:
            self.response = StreamResponse(headers=build_headers(origin))
            self.response.content_type = "text/event-stream"
            self.response.headers["Cache-Control"] = "no-store"
            await self.response.prepare(self.http_request)


def choose_writer(request, http_request, created):
    """Return the `AnswerWriter` of a `Request`."""
    if request.service:
        return PlainWriter(http_request, created)
    writer = EventWriter if request.stream else CompletionWriter
    return writer(http_request, created)
