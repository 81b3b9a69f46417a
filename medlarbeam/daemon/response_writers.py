"""Writers of responses: one JSON document, server-sent events, or the body of a plain service."""

from abc import ABC, abstractmethod

from aiohttp.web import Response, StreamResponse
from orjson import dumps

from medlarbeam.daemon.response_documents import (
    DONE_EVENT,
    build_completion_document,
    build_error_document,
    build_headers,
    format_chunk,
    format_error,
    format_last_chunk,
)
from medlarbeam.exceptions import ERROR_RESPONSES

__all__ = [
    "CompletionWriter",
    "EventStreamWriter",
    "PlainServiceWriter",
    "ResponseWriter",
    "build_error_response",
    "choose_writer",
]


def build_error_response(failure, metadata):
    """Return the HTTP response of a `Failure`."""
    return Response(
        status=ERROR_RESPONSES[failure.kind].status,
        body=dumps(build_error_document(failure, metadata)),
        content_type="application/json",
        headers=build_headers(metadata),
    )


class ResponseWriter(ABC):
    """Writes one response.

    Parameters
    ----------
    http_request : aiohttp.web.Request
    created : float
        Creation time of the response (s since the epoch).
    """

    __slots__ = ("chunks", "created", "http_request")

    def __init__(self, http_request, created):
        self.http_request = http_request
        self.created = created
        self.chunks = []

    async def write(self, text, metadata):
        """Add a chunk of text; subclasses that do not stream buffer it until `finish`."""
        self.chunks.append(text)

    @abstractmethod
    async def finish(self, status, metadata):
        """Complete the response and return it."""

    async def fail(self, failure, metadata):
        """Return the error response of a failed request."""
        return build_error_response(failure, metadata)


class CompletionWriter(ResponseWriter):
    """Writes a completion as one JSON document."""

    __slots__ = ()

    async def finish(self, status, metadata):
        """Return the response with the completion document."""
        document = build_completion_document("".join(self.chunks), metadata, self.created)
        return Response(
            status=status,
            body=dumps(document),
            content_type="application/json",
            headers=build_headers(metadata),
        )


class PlainServiceWriter(ResponseWriter):
    """Writes the body of a plain service unchanged, with the metadata in the headers."""

    __slots__ = ()

    async def finish(self, status, metadata):
        """Return the response with the body and the status of the plain service."""
        return Response(
            status=status,
            body="".join(self.chunks).encode("utf-8"),
            content_type="application/json",
            headers=build_headers(metadata),
        )


class EventStreamWriter(ResponseWriter):
    """Writes a completion as server-sent events, starting with the first chunk of text.

    Notes
    -----
    A failure before the first chunk is sent as an HTTP error, a later one as an ``error`` event.
    """

    __slots__ = ("response",)

    def __init__(self, http_request, created):
        super().__init__(http_request, created)
        self.response = None

    async def write(self, text, metadata):
        """Send a chunk of text."""
        await self._prepare_response(metadata)
        await self.response.write(format_chunk(text, metadata, self.created))

    async def finish(self, status, metadata):
        """Send the last events and close the stream."""
        await self._prepare_response(metadata)
        await self.response.write(format_last_chunk(metadata, self.created) + DONE_EVENT)
        await self.response.write_eof()
        return self.response

    async def fail(self, failure, metadata):
        """Send an ``error`` event, or an HTTP error if nothing was sent yet."""
        if self.response is None:
            return build_error_response(failure, metadata)
        await self.response.write(format_error(failure, metadata))
        await self.response.write_eof()
        return self.response

    async def _prepare_response(self, metadata):
        if self.response is None:
            self.response = StreamResponse(headers=build_headers(metadata))
            self.response.content_type = "text/event-stream"
            self.response.headers["Cache-Control"] = "no-store"
            await self.response.prepare(self.http_request)


def choose_writer(request, http_request, created):
    """Return the `ResponseWriter` for a `Request`."""
    if request.service:
        return PlainServiceWriter(http_request, created)
    writer = EventStreamWriter if request.stream else CompletionWriter
    return writer(http_request, created)
