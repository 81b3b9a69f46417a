"""HTTP server for callers, health probes and metrics."""

import asyncio
import logging

from aiohttp.web import (
    Application,
    AppRunner,
    HTTPException,
    HTTPRequestEntityTooLarge,
    RequestPayloadError,
    Response,
    TCPSite,
    json_response,
    middleware,
    route,
)

from medlarbeam.classes.effects import ResponseChunk, ResponseEnd, ResponseStart
from medlarbeam.classes.messages import CallerDisconnected, CallerRequest
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.request_parser import (
    MAX_BODY_BYTES,
    DeadlineLimits,
    parse_completion,
    parse_service_request,
)
from medlarbeam.daemon.response_documents import ResponseMetadata, round_age
from medlarbeam.daemon.response_writers import build_error_response, choose_writer
from medlarbeam.daemon.setting_types import format_address
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, SettingsError

__all__ = ["HttpServer", "read_body", "render_http_errors", "serve_app"]

log = logging.getLogger(__name__)

BODY_TIMEOUT_S = 30.0
# The node ends each request by itself within this time after its deadline. A request that is still
# open then is failed by the HTTP server.
DEADLINE_GRACE_S = 5.0
OVERDUE_WRITE_TIMEOUT_S = 1.0
SHUTDOWN_TIMEOUT_S = 60.0  # for callers that read a finished response slowly


class Exchange:
    """An open request of a caller, from its arrival to the end of its response.

    Parameters
    ----------
    request : Request
    arrived_at : float
        Monotonic time (s).
    """

    __slots__ = (
        "arrived_at",
        "effect_queue",
        "ended",
        "first_chunk_seen",
        "load_wait_s",
        "model",
        "outcome",
        "request",
        "server",
    )

    def __init__(self, request, arrived_at):
        self.request = request
        self.arrived_at = arrived_at
        self.effect_queue = asyncio.Queue()
        self.model = ""
        self.server = ""
        self.first_chunk_seen = False
        self.ended = False
        self.outcome = ErrorKind.CANCELLED.value  # until the node ends the request
        self.load_wait_s = 0.0


class HttpServer(EffectHandlerService):
    """Passes callers' requests to the node and writes the responses.

    Parameters
    ----------
    driver : NodeDriver
    settings : DaemonSettings
    metrics : Metrics
    extra_routes : list of aiohttp.web.RouteDef
        Routes of other interfaces that are served on the same address.
    """

    def __init__(self, driver, settings, metrics, extra_routes=()):
        super().__init__(driver)
        self.settings = settings
        self.metrics = metrics
        self.extra_routes = list(extra_routes)
        self.deadline_limits = DeadlineLimits(settings.default_deadline_s, settings.max_deadline_s)
        self.request_counter = 0
        self.open_exchanges = {}
        self.runner = None

    async def on_start(self):
        """Start to listen on the address for callers."""
        app = Application(client_max_size=MAX_BODY_BYTES, middlewares=[render_http_errors])
        app.add_routes(
            [
                route("POST", "/v1/completions", self.handle_completion),
                route("POST", "/v1/services/{service}/{path:(?s:.+)}", self.handle_service_request),
                route("GET", "/healthz", self.handle_health),
                route("GET", "/readyz", self.handle_readiness),
                route("GET", "/metrics", self.handle_metrics),
                *self.extra_routes,
            ]
        )
        self.runner = await serve_app(app, self.settings.http_listen)

    async def on_stop(self):
        """Write the responses of ended requests, then close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    def effects(self):
        """Return the handlers of the effects that write responses."""
        return {
            ResponseStart: self._queue_effect,
            ResponseChunk: self._queue_effect,
            ResponseEnd: self._queue_effect,
        }

    def _queue_effect(self, effect):
        exchange = self.open_exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.ended = exchange.ended or isinstance(effect, ResponseEnd)
            exchange.effect_queue.put_nowait(effect)

    async def handle_completion(self, http_request):
        """Handle ``POST /v1/completions``."""

        def parse(body, request_id, now):
            return parse_completion(
                http_request.headers, body, request_id, now, self.deadline_limits
            )

        return await self._serve(http_request, parse)

    async def handle_service_request(self, http_request):
        """Handle ``POST /v1/services/{service}/{path}``."""

        def parse(body, request_id, now):
            return parse_service_request(
                http_request.headers,
                http_request.match_info["service"],
                http_request.match_info["path"],
                http_request.query_string,
                body,
                request_id,
                now,
                self.deadline_limits,
            )

        return await self._serve(http_request, parse)

    async def _serve(self, http_request, parse):
        node = self.settings.node
        self.request_counter += 1
        request_id = f"{node.name}-{node.incarnation}-{self.request_counter}"
        try:
            body = await read_body(http_request)
            now = self.driver.read_clock()
            request = parse(body, request_id, now)
        except FormatError as error:
            failure = Failure(ErrorKind.INVALID_REQUEST, str(error))
            return build_error_response(failure, self._build_metadata(request_id))
        exchange = self.open_exchanges[request_id] = Exchange(request, now)
        try:
            return await self._respond(http_request, exchange)
        finally:
            del self.open_exchanges[request_id]
            self.metrics.count_response(request.rank, exchange.outcome, exchange.load_wait_s)
            if not exchange.ended:
                self.driver.deliver(CallerDisconnected(request_id))

    async def _respond(self, http_request, exchange):
        request = exchange.request
        writer = choose_writer(request, http_request, self.driver.read_wall_clock())
        timeout_s = request.deadline - exchange.arrived_at + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                self.driver.deliver(CallerRequest(request))
                return await self._relay_effects(exchange, writer)
        except TimeoutError:
            return await self._fail_overdue(http_request, exchange, writer)

    async def _fail_overdue(self, http_request, exchange, writer):
        """Fail a request that the node did not end or whose caller does not read the response."""
        self.metrics.count_event("answer_overdue")
        exchange.outcome = ErrorKind.INTERNAL.value
        failure = Failure(ErrorKind.INTERNAL, "the response was not complete by the deadline")
        metadata = self._build_metadata(
            exchange.request.request_id, exchange.model, exchange.server
        )
        try:
            async with asyncio.timeout(OVERDUE_WRITE_TIMEOUT_S):
                return await writer.fail(failure, metadata)
        except TimeoutError:
            if http_request.transport is not None:
                http_request.transport.abort()
            return build_error_response(failure, metadata)

    async def _relay_effects(self, exchange, writer):
        """Pass effects to the writer until `ResponseEnd`; return the HTTP response."""
        while True:
            effect = await exchange.effect_queue.get()
            if isinstance(effect, ResponseEnd):
                return await self._finish_response(exchange, effect, writer)
            if isinstance(effect, ResponseStart):
                exchange.model, exchange.server = effect.model, effect.server
                continue
            if not exchange.first_chunk_seen:
                exchange.first_chunk_seen = True
                elapsed_s = self.driver.read_clock() - exchange.arrived_at
                self.metrics.observe_first_token(exchange.request.rank, elapsed_s)
            metadata = self._build_metadata(effect.request_id, exchange.model, exchange.server)
            await writer.write(effect.text, metadata)

    async def _finish_response(self, exchange, end, writer):
        exchange.outcome = end.failure.kind.value if end.failure is not None else "ok"
        exchange.load_wait_s = end.load_wait_s
        metadata = self._build_metadata(
            end.request_id,
            end.model or exchange.model,
            end.server or exchange.server,
            attempts=end.attempts,
            load_wait_s=end.load_wait_s,
            replayed=end.replayed,
        )
        if end.failure is not None:
            return await writer.fail(end.failure, metadata)
        return await writer.finish(end.status, metadata)

    def _build_metadata(self, request_id, model="", server="", **fields):
        revision, age_s = self.driver.catalog_revision(), self.driver.confirm_age()
        return ResponseMetadata(request_id, revision, age_s, model, server, **fields)

    async def handle_health(self, http_request):
        """Handle ``GET /healthz``: the event loop of the process is running."""
        return json_response({"healthy": True})

    async def handle_readiness(self, http_request):
        """Handle ``GET /readyz``: whether the node accepts new requests."""
        ready = self.driver.is_ready()
        document = {
            "ready": ready,
            "catalog_revision": self.driver.catalog_revision(),
            "catalog_age_s": round_age(self.driver.confirm_age()),
        }
        return json_response(document, status=200 if ready else 503)

    async def handle_metrics(self, http_request):
        """Handle ``GET /metrics``."""
        body, headers = self.metrics.render(
            len(self.open_exchanges),
            self.driver.catalog_revision(),
            self.driver.confirm_age(),
            http_request.headers.getall("Accept", []),
        )
        return Response(body=body, headers=headers)


@middleware
async def render_http_errors(http_request, handler):
    """Convert errors of the HTTP library, such as an unknown path, to the error document.

    Other exceptions are logged here, because the library truncates its own log lines.
    """
    try:
        return await handler(http_request)
    except HTTPException as error:
        kind = ErrorKind.NOT_FOUND if error.status == 404 else ErrorKind.INVALID_REQUEST
        document = {"error": {"kind": kind.value, "reason": error.reason, "run_state": "not_run"}}
        allow = {"Allow": error.headers["Allow"]} if "Allow" in error.headers else {}
        return json_response(document, status=error.status, headers=allow)
    except ConnectionError:
        raise  # the caller disconnected
    except Exception:
        log.exception("request handler failed", extra={"event": "handler_failed"})
        error = {"kind": "internal", "reason": "internal error", "run_state": "may_have_run"}
        return json_response({"error": error}, status=500)


async def read_body(http_request):
    """Return the body of a request; raise FormatError if it is too large, late or malformed."""
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await http_request.read()
    except HTTPRequestEntityTooLarge:
        raise FormatError(f"body: larger than the limit of {MAX_BODY_BYTES} bytes") from None
    except TimeoutError:
        raise FormatError(f"body: not received completely within {BODY_TIMEOUT_S:g} s") from None
    except RequestPayloadError as error:
        raise FormatError(f"body: {error}") from None


async def serve_app(app, address):
    """Start to serve an application on an `Address`; return its runner.

    Handlers are cancelled when their caller disconnects.
    """
    runner = AppRunner(
        app, handler_cancellation=True, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    try:
        await TCPSite(runner, address.ip, address.port).start()
    except OSError as error:
        await runner.cleanup()
        address_text = format_address(address)
        raise SettingsError(f"cannot listen on {address_text}: {error.strerror}") from error
    return runner
