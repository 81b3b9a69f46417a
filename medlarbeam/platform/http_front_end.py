"""HTTP front end that receives requests from the platform's callers."""

import asyncio
import logging
from math import inf

from aiohttp.web import Response, Server, StreamResponse
from orjson import dumps
from xxhash import xxh3_64_intdigest

from medlarbeam.classes.fleet import DEFAULT_MAX_HEADER_BYTES
from medlarbeam.classes.gateway_effects import (
    AbortResponse,
    CloseIdleConnections,
    RefuseRequest,
    StopListening,
)
from medlarbeam.classes.gateway_messages import (
    CallerConnections,
    CallerDisconnected,
    GatewayRequest,
)
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.exceptions import ERROR_RESPONSES, ErrorKind, FormatError, RunState
from medlarbeam.platform.caller_account import CallerAccount, CallerLimits
from medlarbeam.platform.caller_listener import CallerListener
from medlarbeam.platform.config_client import CONFIG_PATH
from medlarbeam.platform.headers import (
    ATTEMPT_ID,
    NOT_RUN,
    RUNS_ELSEWHERE,
    TOKENS,
    answer_headers,
    find_token_problem,
    forwarded_headers,
    parse_adapter_key,
    parse_counted,
    parse_credential,
    parse_deadline_s,
    parse_last_event,
    parse_origin,
    parse_prompt_tokens,
    parse_resumed_attempt,
    parse_runs_elsewhere,
    parse_shared_parts,
    parse_tokens,
    replace_invalid,
)
from medlarbeam.platform.request_checks import check_request

__all__ = ["Exchange", "HttpFrontEnd", "parse_address"]

log = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 30.0  # for requests without a deadline
FALLBACK_MAX_BODY_BYTES = 4 << 20  # until a configuration is received
# Statuses that tell the caller that the request was not run; other failures before a run get 503.
NOT_RUN_STATUSES = {400, 401, 404, 413, 429, 503}


def parse_address(text):
    """Split ``ip:port`` into ``(host, port)``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Exchange:
    """A caller's HTTP request and the response to it.

    Parameters
    ----------
    http_request : aiohttp.web.BaseRequest
    body : bytes
    headers : list of tuple
        Request headers that are forwarded.
    request : GatewayRequest
    driver : NodeDriver

    Attributes
    ----------
    last_event : int
        Id of the last event that the caller received, 0 for none.
    stream : aiohttp.web.StreamResponse or None
        The response, once streaming has started.
    timing : StreamTiming or None
        Times of the events, once a run of a stream was sent.
    error_responses : dict of str to aiohttp.web.Response
        Buffered error responses by run id.
    outcome : asyncio.Future
        Resolves to the response, or to None if the connection must be closed.
    """

    __slots__ = (
        "body",
        "driver",
        "error_responses",
        "headers",
        "http_request",
        "last_event",
        "outcome",
        "request",
        "stream",
        "timing",
    )

    def __init__(self, http_request, body, headers, request, driver):
        self.driver = driver
        self.http_request = http_request
        self.body = body
        self.request = request
        self.headers = headers
        self.last_event = parse_last_event(http_request.headers)
        self.stream = None
        self.timing = None
        self.error_responses = {}
        self.outcome = asyncio.get_running_loop().create_future()

    def finish(self, response):
        """End the exchange with `response`; None closes the connection.

        Once the head of a stream is sent, any other response would stand in the middle of it.
        """
        if self.stream is not None and response is not self.stream:
            response = None
        if not self.outcome.done():
            self.outcome.set_result(response)

    def announce_close(self, response):
        """Announce the close of the connection in a head that is not sent yet, if it is due.

        The connection stays open after a stream whose head did not announce it, since its caller
        may use the connection again; it is closed later, when it is idle.
        """
        if response.prepared:
            return
        if not self.driver.is_ready():
            response.force_close()
        self._keep_connection_options(response)

    def _keep_connection_options(self, response):
        """Add the option ``close`` if it is due; aiohttp adds it only where there is no other."""
        options = response.headers.get("Connection")
        keep_alive = response.keep_alive
        if keep_alive is None:
            keep_alive = self.http_request.keep_alive
        if options is not None and not keep_alive:
            response.headers["Connection"] = f"close, {options}"

    def read_config_version(self):
        """Return the version of the configuration in force, 0 before the first one."""
        return self.driver.node.config_versions.find_version()

    async def begin_stream(self, status, headers):
        """Send the response headers of a stream, unless they were already sent."""
        if self.stream is None:
            stream = StreamResponse(status=status, headers=headers)
            self.announce_close(stream)
            stream.enable_chunked_encoding()
            self.stream = stream
            await stream.prepare(self.http_request)


class HttpFrontEnd(EffectHandlerService):
    """Receives requests from callers and responds to those that the gateway refuses.

    Parameters
    ----------
    driver : NodeDriver
    settings : PlatformSettings
    """

    def __init__(self, driver, settings):
        super().__init__(driver)
        self.settings = settings
        self.exchanges = {}
        self.request_id_prefix = f"{settings.gateway.name}-{settings.gateway.incarnation:x}"
        self.request_count = 0
        self.account = CallerAccount(self.read_limits)
        self.callers = None
        self.nodes = None  # that forward requests of their callers
        self.readiness_listener = None

    async def on_start(self):
        """Listen for callers and for readiness checks of the load balancer."""
        self.callers = CallerListener(self.handle, self.spawn, self.account)
        self.callers.open(*parse_address(self.settings.front_address))
        self.nodes = CallerListener(self.handle_forwarded, self.spawn, self.account)
        self.nodes.open(*parse_address(self.settings.datagram_address))
        host, port = parse_address(self.settings.ready_address)
        self.readiness_listener = await asyncio.get_running_loop().create_server(
            Server(self.handle_readiness, access_log=None), host, port
        )

    async def on_stop(self):
        """Close the listeners and cancel the tasks."""
        for listener in (self.callers, self.nodes):
            if listener is not None:
                listener.close()
        if self.readiness_listener is not None:
            self.readiness_listener.close()
        await super().on_stop()

    def read_limits(self):
        """Return the `CallerLimits` of the configuration in force."""
        config = self.driver.node.fleet.config
        account_bytes = self.settings.caller_bytes
        if config is None:
            return CallerLimits(DEFAULT_MAX_HEADER_BYTES, FALLBACK_MAX_BODY_BYTES, account_bytes)
        return CallerLimits(config.max_header_bytes, config.max_body_bytes, account_bytes)

    def effects(self):
        """Return the handlers of effects that concern callers."""
        return {
            RefuseRequest: self.send_refusal,
            AbortResponse: self.abort_response,
            StopListening: lambda effect: self.callers.close(),
            CloseIdleConnections: self.close_idle_connections,
        }

    async def handle_readiness(self, http_request):
        """Respond to a readiness check of the load balancer."""
        return Response(status=200 if self.driver.is_ready() else 503)

    async def handle(self, http_request):
        """Respond to a request from a caller."""
        try:
            return await self._respond(http_request)
        finally:
            http_request.protocol.end_request(self.driver.read_clock())

    async def handle_forwarded(self, http_request):
        """Respond to a request that another node forwards, or that asks for the configuration."""
        try:
            if http_request.path == CONFIG_PATH and RUNS_ELSEWHERE not in http_request.headers:
                return self._share_config()
            return await self._respond(http_request, parse_runs_elsewhere(http_request.headers))
        finally:
            http_request.protocol.end_request(self.driver.read_clock())

    def _share_config(self):
        config = self.driver.node.fleet.config
        if config is None:
            return Response(status=404)
        return Response(body=config.shared_document, content_type="application/json")

    async def _respond(self, http_request, runs_elsewhere=None):
        body = await self._read_body(http_request)
        if body is None:
            return Response(status=413, headers={"Connection": "close"})
        headers = forwarded_headers(http_request.headers)
        try:
            check_request(http_request, headers)
        except FormatError as error:
            log.info("request refused: %s", error, extra={"event": "request_malformed"})
            return build_bad_request(error, http_request.headers, runs_elsewhere is not None)
        now = self.driver.read_clock()
        self.request_count += 1
        request = parse_request(
            http_request,
            body,
            f"{self.request_id_prefix}-{self.request_count}",
            now,
            runs_elsewhere,
        )
        exchange = Exchange(http_request, body, headers, request, self.driver)
        self.exchanges[request.request_id] = exchange
        try:
            self.driver.deliver(request)
            response = await exchange.outcome
        except asyncio.CancelledError:
            self.driver.deliver(CallerDisconnected(request.request_id))
            raise
        finally:
            del self.exchanges[request.request_id]
        if response is None:
            if http_request.transport is not None:
                http_request.transport.abort()
            return exchange.stream or Response(status=502)
        exchange.announce_close(response)
        return response

    async def _read_body(self, http_request):
        """Return the body of a request, None if it exceeds the configured limit."""
        limit = self.read_limits().body_bytes
        body = bytearray()  # a list of chunks takes eight times the memory of chunks of one byte
        try:
            async for chunk in http_request.content.iter_any():
                if len(body) + len(chunk) > limit:
                    log.warning(
                        "request body exceeds the limit of %d bytes",
                        limit,
                        extra={"event": "body_too_long"},
                    )
                    return None
                body += chunk
        except BaseException:
            # The request refers to the error, whose traceback refers to the body and the request;
            # such a cycle would hold the body until the next garbage collection.
            body.clear()
            raise
        return bytes(body)

    def send_refusal(self, effect):
        """Respond to a request with the failure of a `RefuseRequest`."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.finish(build_refusal(exchange, effect))

    def close_idle_connections(self, effect):
        """Close the idle connections of callers and report how many are left."""
        self.callers.close_idle(self.driver.read_clock(), effect.quiet_s)
        self.driver.deliver(CallerConnections(self.callers.count_connections()))

    def abort_response(self, effect):
        """Close the connection of a caller whose response cannot be completed."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.finish(None)


def parse_request(http_request, body, request_id, now, runs_elsewhere=None):
    """Convert an HTTP request into a `GatewayRequest`."""
    timeout_s = parse_deadline_s(http_request.headers)
    path = http_request.raw_path
    return GatewayRequest(
        request_id,
        http_request.headers.get(ATTEMPT_ID, ""),
        replace_invalid(http_request.headers.get("Host", "")),
        replace_invalid(path),
        now + (timeout_s if timeout_s < inf else DEFAULT_DEADLINE_S),
        parse_adapter_key(http_request.headers),
        parse_tokens(http_request.headers),
        digest_request(http_request.headers, path, body),
        parse_shared_parts(http_request.headers),
        parse_prompt_tokens(http_request.headers),
        parse_last_event(http_request.headers),
        parse_resumed_attempt(http_request.headers),
        runs_elsewhere,
        parse_origin(http_request.headers) if runs_elsewhere is not None else None,
        parse_credential(http_request.headers, runs_elsewhere is not None),
        TOKENS in http_request.headers,
        find_token_problem(http_request.headers),
        runs_elsewhere is not None and parse_counted(http_request.headers),
    )


def digest_request(headers, path, body):
    """Return a digest of what a request asks for, the same for its repeats."""
    names = ("Host", "X-Model", "X-Prompt-Prefix")
    fields = [path, *(headers.get(name, "") for name in names)]
    return xxh3_64_intdigest("\n".join(fields).encode("utf-8", "surrogateescape") + b"\n" + body)


def build_bad_request(error, request_headers, is_from_node):
    """Return the HTTP response to a request that `check_request` has refused."""
    kind = ErrorKind.INVALID_REQUEST
    answer = ERROR_RESPONSES[kind]
    headers = {ATTEMPT_ID: request_headers[ATTEMPT_ID]} if ATTEMPT_ID in request_headers else {}
    if is_from_node:
        headers[NOT_RUN] = "1"
    body = dumps({"error": kind.value, "reason": str(error), "run": answer.run_state.value})
    status = answer.status
    return Response(status=status, body=body, content_type="application/json", headers=headers)


def build_refusal(exchange, effect):
    """Return the HTTP response for a `RefuseRequest` effect."""
    failure = effect.failure
    status = ERROR_RESPONSES[failure.kind].status
    if failure.run_state is RunState.NOT_RUN and status not in NOT_RUN_STATUSES:
        status = 503
    headers = {ATTEMPT_ID: exchange.request.attempt_id}
    if exchange.request.runs_elsewhere is not None:
        headers |= answer_headers(exchange.read_config_version())
    if effect.retry_after_s:
        headers["Retry-After"] = f"{effect.retry_after_s:.3f}"
    if exchange.request.runs_elsewhere is not None and failure.run_state is RunState.NOT_RUN:
        headers[NOT_RUN] = "1"
    body = dumps(
        {"error": failure.kind.value, "reason": failure.reason, "run": failure.run_state.value}
    )
    return Response(status=status, body=body, content_type="application/json", headers=headers)
