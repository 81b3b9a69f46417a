"""HTTP front end for the platform's callers."""

import asyncio
import logging
from math import inf

from aiohttp.web import Response, Server, StreamResponse
from orjson import dumps
from xxhash import xxh3_64_intdigest

from medlarbeam.classes.gateway_effects import CutAnswer, RefuseRequest, StopListening
from medlarbeam.classes.gateway_messages import CallerLeft, FleetRequest
from medlarbeam.daemon.ports import PortService
from medlarbeam.exceptions import ANSWERS, RunState
from medlarbeam.platform.headers import (
    ATTEMPT_ID,
    LAST_EVENT,
    forwarded_headers,
    read_adapter_key,
    read_deadline_s,
    read_tokens,
)

__all__ = ["Exchange", "Front", "split_address"]

log = logging.getLogger(__name__)

# Callers bound their idle time by the configuration; the node itself closes much later.
KEEP_ALIVE_S = 120.0
DEFAULT_DEADLINE_S = 30.0  # of a caller that names none
BACKLOG = 1024
MAX_BODY_BYTES = 4 << 20  # while no configuration is known
# Statuses that promise that a request has not run, besides those of bad requests.
NOT_RUN_STATUSES = {400, 404, 413, 429, 503}


def split_address(text):
    """Return ``(host, port)`` of ``ip:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Exchange:
    """A caller's request and the answer to it.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
    body : bytes
    request : FleetRequest

    Attributes
    ----------
    headers : list of tuple
        Headers that are passed on.
    last_event : int
        Id of the last event that the caller has, 0 for none.
    stream : aiohttp.web.StreamResponse or None
        Answer that has begun.
    kept : dict of str to aiohttp.web.Response
        Error answers by the id of their run.
    outcome : asyncio.Future
        Its result is the response, or None if the connection has to be closed.
    """

    __slots__ = ("body", "headers", "http", "kept", "last_event", "outcome", "request", "stream")

    def __init__(self, http, body, request):
        self.http = http
        self.body = body
        self.request = request
        self.headers = forwarded_headers(http.headers)
        text = http.headers.get(LAST_EVENT, "")
        self.last_event = int(text) if text.isascii() and text.isdigit() else 0
        self.stream = None
        self.kept = {}
        self.outcome = asyncio.get_running_loop().create_future()

    def finish(self, response):
        """End the exchange with `response`; None closes the connection."""
        if not self.outcome.done():
            self.outcome.set_result(response)

    async def begin_stream(self, status, headers):
        """Send the head of a stream, once."""
        if self.stream is None:
            stream = StreamResponse(status=status, headers=headers)
            stream.enable_chunked_encoding()
            self.stream = stream
            await stream.prepare(self.http)


class Front(PortService):
    """Takes requests, and answers those that the gateway refuses.

    Parameters
    ----------
    driver : NodeDriver
    settings : PlatformSettings
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.settings = settings
        self.exchanges = {}
        self.busy = set()
        self.prefix = f"{settings.gateway.name}-{settings.gateway.incarnation:x}"
        self.count = 0
        self.server = None
        self.listeners = []
        self.is_leaving = False

    async def on_start(self):
        """Listen for callers and for the load balancer's check."""
        loop = asyncio.get_running_loop()
        self.server = Server(
            self.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_S,
            auto_decompress=False,
            access_log=None,
            max_line_size=16384,
            max_field_size=16384,
        )
        check = Server(self.handle_check, access_log=None)
        for handler, address in (
            (self.server, self.settings.front),
            (check, self.settings.ready),
        ):
            host, port = split_address(address)
            listener = await loop.create_server(handler, host, port, backlog=BACKLOG)
            self.listeners.append(listener)

    async def on_stop(self):
        """Close the listeners and connections."""
        for listener in self.listeners:
            listener.close()
        await super().on_stop()

    def effects(self):
        """Return the handlers of the effects on callers."""
        return {
            RefuseRequest: self.refuse,
            CutAnswer: self.cut,
            StopListening: self.stop_listening,
        }

    async def handle_check(self, http):
        """Answer the load balancer."""
        return Response(status=200 if self.driver.is_ready() else 503)

    async def handle(self, http):
        """Answer a caller."""
        connection = http.protocol
        self.busy.add(connection)
        try:
            return await self._answer(http)
        finally:
            self.busy.discard(connection)

    async def _answer(self, http):
        body = await self._read_body(http)
        if body is None:
            return Response(status=413, headers={"Connection": "close"})
        now = self.driver.read_clock()
        self.count += 1
        request = read_request(http, body, f"{self.prefix}-{self.count}", now)
        exchange = Exchange(http, body, request)
        self.exchanges[request.request_id] = exchange
        try:
            self.driver.deliver(request)
            response = await exchange.outcome
        except asyncio.CancelledError:
            self.driver.deliver(CallerLeft(request.request_id))
            raise
        finally:
            del self.exchanges[request.request_id]
        if response is None:
            if http.transport is not None:
                http.transport.abort()
            return exchange.stream or Response(status=502)
        if not self.driver.is_ready():
            response.force_close()
        return response

    async def _read_body(self, http):
        """Return the body of a request, None if it is longer than the configuration allows."""
        config = self.driver.node.book.config
        limit = config.max_body_bytes if config is not None else MAX_BODY_BYTES
        pieces = []
        size = 0
        async for piece in http.content.iter_any():
            size += len(piece)
            if size > limit:
                log.warning("body above %d bytes", limit, extra={"event": "body_too_long"})
                return None
            pieces.append(piece)
        return b"".join(pieces)

    def refuse(self, effect):
        """Answer with a failure."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.finish(build_refusal(exchange, effect))

    def stop_listening(self, effect):
        """Close the listener of callers and their idle connections."""
        self.listeners[0].close()
        for connection in self.server.connections:
            if connection in self.busy:
                connection.close()  # once its answer is complete
            else:
                connection.force_close()  # `close` would leave an idle one open and unread

    def cut(self, effect):
        """Close the connection of a caller whose answer cannot be completed."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.finish(None)


def read_request(http, body, request_id, now):
    """Return the `FleetRequest` of an HTTP request."""
    wait_s = read_deadline_s(http.headers)
    path = http.raw_path
    return FleetRequest(
        request_id,
        http.headers.get(ATTEMPT_ID, ""),
        http.headers.get("Host", ""),
        path,
        now + (wait_s if wait_s < inf else DEFAULT_DEADLINE_S),
        read_adapter_key(http.headers),
        read_tokens(http.headers),
        xxh3_64_intdigest(path.encode() + b"\n" + body),
    )


def build_refusal(exchange, effect):
    """Return the response to a request that failed."""
    failure = effect.failure
    status = ANSWERS[failure.kind].status
    if failure.run_state is RunState.NOT_RUN and status not in NOT_RUN_STATUSES:
        status = 503
    headers = {ATTEMPT_ID: exchange.request.attempt_id}
    if effect.retry_after_s:
        headers["Retry-After"] = f"{effect.retry_after_s:.3f}"
    body = dumps(
        {"error": failure.kind.value, "reason": failure.reason, "run": failure.run_state.value}
    )
    return Response(status=status, body=body, content_type="application/json", headers=headers)
