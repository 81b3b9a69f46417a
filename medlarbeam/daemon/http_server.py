"""HTTP front end for callers."""

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

from medlarbeam.classes.effects import AnswerChunk, AnswerEnd, AnswerStart
from medlarbeam.classes.messages import CallerGone, CallerRequest
from medlarbeam.daemon.answer_writers import build_error_response, choose_writer
from medlarbeam.daemon.caller_input import (
    MAX_BODY_BYTES,
    DeadlineLimits,
    read_completion,
    read_service_call,
)
from medlarbeam.daemon.caller_output import AnswerOrigin, round_age
from medlarbeam.daemon.ports import PortService
from medlarbeam.daemon.setting_kinds import join_address
from medlarbeam.exceptions import ErrorKind, Failure, FormatError, SettingsError

__all__ = ["HttpServer", "answer_http_errors", "read_body", "serve_app"]

log = logging.getLogger(__name__)

BODY_TIMEOUT_S = 30.0
# Time beyond the deadline in which the node ends a request itself; then the shell gives up on it.
DEADLINE_GRACE_S = 5.0
OVERDUE_WRITE_S = 1.0
SHUTDOWN_TIMEOUT_S = 60.0  # for callers that read slowly what the node has answered


class Exchange:
    """One request of a caller between its arrival and the end of its answer.

    Parameters
    ----------
    request : Request
    arrived_at : float
        Monotonic time (s).
    """

    __slots__ = (
        "arrived_at",
        "effects",
        "ended",
        "has_text",
        "load_wait_s",
        "model",
        "outcome",
        "request",
        "server",
    )

    def __init__(self, request, arrived_at):
        self.request = request
        self.arrived_at = arrived_at
        self.effects = asyncio.Queue()
        self.model = ""
        self.server = ""
        self.has_text = False
        self.ended = False
        self.outcome = ErrorKind.CANCELLED.value  # until something else is known
        self.load_wait_s = 0.0


class HttpServer(PortService):
    """Takes callers' requests and writes their answers.

    Parameters
    ----------
    driver : NodeDriver
    settings : DaemonSettings
    metrics : Metrics
    more_routes : list of aiohttp.web.RouteDef
        Routes of other parts that share the address.
    """

    def __init__(self, driver, settings, metrics, more_routes=()):
        super().__init__(driver)
        self.settings = settings
        self.metrics = metrics
        self.more_routes = list(more_routes)
        self.limits = DeadlineLimits(settings.default_deadline_s, settings.max_deadline_s)
        self.counter = 0
        self.open = {}
        self.runner = None

    async def on_start(self):
        """Listen on the callers' address."""
        app = Application(client_max_size=MAX_BODY_BYTES, middlewares=[answer_http_errors])
        app.add_routes(
            [
                route("POST", "/v1/completions", self.handle_completion),
                route("POST", "/v1/services/{service}/{path:(?s:.+)}", self.handle_service_call),
                route("GET", "/healthz", self.handle_health),
                route("GET", "/readyz", self.handle_readiness),
                route("GET", "/metrics", self.handle_metrics),
                *self.more_routes,
            ]
        )
        self.runner = await serve_app(app, self.settings.http_listen)

    async def on_stop(self):
        """Write the answers that have ended, then close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    def effects(self):
        """Return the handlers of the effects on answers."""
        return {
            AnswerStart: self._queue_effect,
            AnswerChunk: self._queue_effect,
            AnswerEnd: self._queue_effect,
        }

    def _queue_effect(self, effect):
        exchange = self.open.get(effect.request_id)
        if exchange is not None:
            exchange.ended = exchange.ended or isinstance(effect, AnswerEnd)
            exchange.effects.put_nowait(effect)

    async def handle_completion(self, http_request):
        """Answer ``POST /v1/completions``."""

        def read(body, request_id, now):
            return read_completion(http_request.headers, body, request_id, now, self.limits)

        return await self._serve(http_request, read)

    async def handle_service_call(self, http_request):
        """Answer ``POST /v1/services/{service}/{path}``."""

        def read(body, request_id, now):
            return read_service_call(
                http_request.headers,
                http_request.match_info["service"],
                http_request.match_info["path"],
                http_request.query_string,
                body,
                request_id,
                now,
                self.limits,
            )

        return await self._serve(http_request, read)

    async def _serve(self, http_request, read):
        node = self.settings.node
        self.counter += 1
        request_id = f"{node.name}-{node.incarnation}-{self.counter}"
        try:
            body = await read_body(http_request)
            now = self.driver.read_clock()
            request = read(body, request_id, now)
        except FormatError as error:
            failure = Failure(ErrorKind.INVALID_REQUEST, str(error))
            return build_error_response(failure, self._origin(request_id))
        exchange = self.open[request_id] = Exchange(request, now)
        try:
            return await self._answer(http_request, exchange)
        finally:
            del self.open[request_id]
            self.metrics.count_answer(request.rank, exchange.outcome, exchange.load_wait_s)
            if not exchange.ended:
                self.driver.deliver(CallerGone(request_id))

    async def _answer(self, http_request, exchange):
        request = exchange.request
        writer = choose_writer(request, http_request, self.driver.read_wall_clock())
        limit_s = request.deadline - exchange.arrived_at + DEADLINE_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                self.driver.deliver(CallerRequest(request))
                return await self._relay(exchange, writer)
        except TimeoutError:
            return await self._fail_overdue(http_request, exchange, writer)

    async def _fail_overdue(self, http_request, exchange, writer):
        """End a request that the node did not end, or whose caller does not read the answer."""
        self.metrics.count_event("answer_overdue")
        exchange.outcome = ErrorKind.INTERNAL.value
        failure = Failure(ErrorKind.INTERNAL, "no end of the answer within the deadline")
        origin = self._origin(exchange.request.request_id, exchange.model, exchange.server)
        try:
            async with asyncio.timeout(OVERDUE_WRITE_S):
                return await writer.fail(failure, origin)
        except TimeoutError:
            if http_request.transport is not None:
                http_request.transport.abort()
            return build_error_response(failure, origin)

    async def _relay(self, exchange, writer):
        """Pass effects to the writer until the end; return the HTTP response."""
        while True:
            effect = await exchange.effects.get()
            if isinstance(effect, AnswerEnd):
                return await self._finish(exchange, effect, writer)
            if isinstance(effect, AnswerStart):
                exchange.model, exchange.server = effect.model, effect.server
                continue
            if not exchange.has_text:
                exchange.has_text = True
                waited_s = self.driver.read_clock() - exchange.arrived_at
                self.metrics.observe_first_token(exchange.request.rank, waited_s)
            origin = self._origin(effect.request_id, exchange.model, exchange.server)
            await writer.write(effect.text, origin)

    async def _finish(self, exchange, end, writer):
        exchange.outcome = end.failure.kind.value if end.failure is not None else "ok"
        exchange.load_wait_s = end.load_wait_s
        origin = self._origin(
            end.request_id,
            end.model or exchange.model,
            end.server or exchange.server,
            attempts=end.attempts,
            load_wait_s=end.load_wait_s,
            replayed=end.replayed,
        )
        if end.failure is not None:
            return await writer.fail(end.failure, origin)
        return await writer.finish(end.status, origin)

    def _origin(self, request_id, model="", server="", **known):
        revision, age_s = self.driver.catalog_revision(), self.driver.confirm_age()
        return AnswerOrigin(request_id, revision, age_s, model, server, **known)

    async def handle_health(self, http_request):
        """Answer ``GET /healthz``: the process serves its loop."""
        return json_response({"healthy": True})

    async def handle_readiness(self, http_request):
        """Answer ``GET /readyz``: whether the node takes new requests."""
        ready = self.driver.is_ready()
        document = {
            "ready": ready,
            "catalog_revision": self.driver.catalog_revision(),
            "catalog_age_s": round_age(self.driver.confirm_age()),
        }
        return json_response(document, status=200 if ready else 503)

    async def handle_metrics(self, http_request):
        """Answer ``GET /metrics``."""
        body, headers = self.metrics.render(
            len(self.open),
            self.driver.catalog_revision(),
            self.driver.confirm_age(),
            http_request.headers.getall("Accept", []),
        )
        return Response(body=body, headers=headers)


@middleware
async def answer_http_errors(http_request, handler):
    """Turn errors of the HTTP library, such as an unknown path, into the error document.

    Other exceptions are logged here, because the log lines of the library are cut short.
    """
    try:
        return await handler(http_request)
    except HTTPException as error:
        kind = ErrorKind.NOT_FOUND if error.status == 404 else ErrorKind.INVALID_REQUEST
        document = {"error": {"kind": kind.value, "reason": error.reason, "run_state": "not_run"}}
        allow = {"Allow": error.headers["Allow"]} if "Allow" in error.headers else {}
        return json_response(document, status=error.status, headers=allow)
    except ConnectionError:
        raise  # the caller is gone
    except Exception:
        log.exception("request handler failed", extra={"event": "handler_failed"})
        error = {"kind": "internal", "reason": "internal error", "run_state": "may_have_run"}
        return json_response({"error": error}, status=500)


async def read_body(http_request):
    """Return the body of a request; raise FormatError if it is too large, late or broken."""
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await http_request.read()
    except HTTPRequestEntityTooLarge:
        raise FormatError(f"body: above {MAX_BODY_BYTES} bytes") from None
    except TimeoutError:
        raise FormatError(f"body: not complete within {BODY_TIMEOUT_S:g} s") from None
    except RequestPayloadError as error:
        raise FormatError(f"body: {error}") from None


async def serve_app(app, address):
    """Serve an application on an `Address`; return its runner.

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
        place = join_address(address)
        raise SettingsError(f"cannot listen on {place}: {error.strerror}") from error
    return runner
