"""HTTP client of the backend servers: runs, orders and state reports."""

import asyncio
import logging

from aiohttp import (
    ClientOSError,
    ClientPayloadError,
    ClientTimeout,
    ServerDisconnectedError,
)
from aiohttp.web import Response
from orjson import dumps
from yarl import URL

from medlarbeam.algorithms.read_pacing import ReadPacing
from medlarbeam.classes.fleet import UNKNOWN_ORIGIN
from medlarbeam.classes.gateway_effects import (
    CancelFleetRun,
    FetchEngineState,
    PassErrorResponse,
    ProbeServer,
    ServerOrder,
    StartFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    ConfigVersionStated,
    RunCompleted,
    RunErrorResponse,
    RunInterrupted,
    RunRefused,
    RunStarted,
)
from medlarbeam.classes.server_messages import (
    EngineStateResult,
    RunClosed,
    ServerLeaving,
    ServerOrderResult,
)
from medlarbeam.classes.server_starts import (
    AcceptRun,
    CheckServerStart,
    RejectRun,
    RunAnswered,
    RunProgressed,
    ServerStartResult,
    WatchProgress,
)
from medlarbeam.classes.stream_timing import StreamTiming
from medlarbeam.daemon.effect_handlers import EffectHandlerService
from medlarbeam.daemon.http_client import (
    CALL_ERRORS,
    IncompleteResponseError,
    SendGuard,
    apply_send_guard,
    describe_error,
    open_session,
    read_body,
)
from medlarbeam.platform.documents import decode_engine_state, decode_object, decode_start
from medlarbeam.platform.event_splitter import EventSplitter
from medlarbeam.platform.headers import (
    INSTANCE_ID,
    answer_headers,
    parse_config_version,
    parse_leaving,
    parse_load,
    parse_origin,
    response_headers,
    run_headers,
)
from medlarbeam.platform.server_probe import probe_server
from medlarbeam.platform.server_responses import (
    BadResponseError,
    check_response,
    check_status,
    find_answer_source,
    find_pause,
    find_refusal,
)
from medlarbeam.platform.stall_timer import StallTimer

__all__ = ["ServerClient"]

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3  # a reachable backend server accepts within a few ms
# An idle connection may have gone silent without a reset, which only a run that stalls shows. Of
# those that went silent, none is left after this time.
IDLE_TIMEOUT_S = 2.0
# Orders get a response within a few ms, or are carried out late without a response.
ORDER_TIMEOUT_S = 0.05
REPORT_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 2 << 20  # of a response that is passed on as a whole, and of a report
MAX_BLOCK_BYTES = 16 << 10  # of a stream, processed at a time
MAX_REFUSAL_BYTES = 16 << 10  # read so that the connection can be reused
REFUSAL_TIMEOUT_S = 0.1
NO_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


CONNECTION_ERRORS = (
    ClientOSError,
    ClientPayloadError,
    IncompleteResponseError,
    ServerDisconnectedError,
)


class ServerClient(EffectHandlerService):
    """Carries out effects on backend servers.

    Parameters
    ----------
    driver : NodeDriver
    settings : PlatformSettings
    exchanges : dict of str to Exchange
    """

    def __init__(self, driver, settings, exchanges):
        super().__init__(driver)
        self.settings = settings
        self.exchanges = exchanges
        self.runs = {}
        self.held_runs = {}  # future of the decision on each response that is held back, by run id
        self.watched_runs = set()
        self.session = None
        self.unpooled_session = None

    async def on_start(self):
        """Open one session with a connection pool and one without."""
        timeout = ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        self.session = await self.add_async_context(
            open_session(timeout, idle_timeout_s=IDLE_TIMEOUT_S, read_clock=self.driver.read_clock)
        )
        self.unpooled_session = await self.add_async_context(
            open_session(timeout, keep_alive=False, read_clock=self.driver.read_clock)
        )

    def effects(self):
        """Return the handlers of effects that concern backend servers."""
        return {
            StartFleetRun: self.start_run,
            CancelFleetRun: self.cancel_run,
            PassErrorResponse: self.send_error_response,
            ServerOrder: lambda effect: self.spawn(self._send_order(effect)),
            ProbeServer: lambda effect: self.spawn(self._probe(effect)),
            FetchEngineState: lambda effect: self.spawn(self._fetch_state(effect)),
            CheckServerStart: lambda effect: self.spawn(self._check_start(effect)),
            AcceptRun: lambda effect: self._decide(effect.run_id, effect),
            RejectRun: lambda effect: self._decide(effect.run_id, effect),
            WatchProgress: lambda effect: self.watched_runs.update(
                self.runs.keys() & effect.run_ids
            ),
        }

    def start_run(self, effect):
        """Start a run as a task."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            self.driver.deliver(RunRefused(effect.run_id, 0, "the caller disconnected", None))
            return
        self.runs[effect.run_id] = self.spawn(self._run(effect, exchange))

    def cancel_run(self, effect):
        """Cancel a run and close its connection."""
        task = self.runs.pop(effect.run_id, None)
        if task is not None:
            task.cancel()

    def send_error_response(self, effect):
        """Send the buffered error response of a run to the caller."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.finish(exchange.error_responses[effect.run_id])

    # Runs

    async def _run(self, effect, exchange):
        # `yarl.URL` drops the question mark of an empty query.
        target = exchange.http_request.raw_path
        guard = SendGuard(target=target if target.endswith("?") else None)
        try:
            with apply_send_guard(guard):
                message = await self._send_and_relay(effect, exchange, guard)
        except Exception as error:  # every run must end with exactly one message
            has_partial_response = exchange.stream is not None
            reason = describe_error(error)
            if guard.sent:
                message = RunInterrupted(
                    effect.run_id,
                    reason,
                    exchange.last_event,
                    has_partial_response,
                    is_connection_lost=isinstance(error, CONNECTION_ERRORS),
                )
            else:
                message = RunRefused(effect.run_id, 0, f"nothing was sent: {reason}", None)
        finally:
            self.runs.pop(effect.run_id, None)
            self.watched_runs.discard(effect.run_id)
        self.driver.deliver(message)

    async def _send_and_relay(self, effect, exchange, guard):
        now = self.driver.read_clock()
        if effect.is_stream and exchange.timing is None:
            exchange.timing = StreamTiming(now)
        session = self.unpooled_session if effect.needs_new_connection else self.session
        resume_after = exchange.last_event if exchange.stream is not None else 0
        with StallTimer(self.driver, effect, exchange) as timer:
            async with session.request(
                exchange.http_request.method,
                URL(
                    f"http://{effect.server.address}{exchange.http_request.raw_path}", encoded=True
                ),
                headers=run_headers(exchange.headers, effect, resume_after, now),
                data=exchange.body or None,
                skip_auto_headers=NO_AUTO_HEADERS,
                allow_redirects=False,
            ) as response:
                load = parse_load(response.headers)
                refusal = find_refusal(response, exchange)
                source = find_answer_source(response, refusal, effect.is_stream)
                self._report_leaving(effect.server, response, effect.request_id, source)
                if effect.forwarded_runs is not None:
                    version = parse_config_version(response.headers)
                    self.driver.deliver(ConfigVersionStated(effect.server.name, version))
                if refusal:
                    await discard_body(response)
                    attempt_id = exchange.request.attempt_id
                    pause = find_pause(response, attempt_id, effect.server.name)
                    return RunRefused(effect.run_id, response.status, refusal, load, pause)
                check_response(response, exchange)
                if effect.is_stream and response.status == 200:
                    origin = effect.server.software_version()
                    if effect.needs_acceptance:
                        origin = await self._wait_for_acceptance(effect, guard)
                    headers = build_answer_headers(response, exchange, origin)
                    await self._relay_stream(effect, exchange, response, headers, timer, guard)
                    timer.pause()
                    await self._confirm_end(effect, response)
                    exchange.finish(exchange.stream)
                    return RunCompleted(effect.run_id, response.status, load, exchange.timing)
                body = await read_body(response, MAX_RESPONSE_BYTES)
                timer.pause()
                await self._confirm_end(effect, response)
        if exchange.stream is not None and 200 <= response.status < 300:
            raise BadResponseError(f"HTTP {response.status} in place of the rest of a stream")
        buffered = Response(
            status=response.status,
            body=body,
            headers=build_answer_headers(response, exchange),
        )
        if 200 <= response.status < 300:
            exchange.finish(buffered)
            return RunCompleted(effect.run_id, response.status, load)
        exchange.error_responses[effect.run_id] = buffered
        return RunErrorResponse(effect.run_id, response.status, load)

    async def _wait_for_acceptance(self, effect, guard):
        """Return the version that has written a response, once that may be passed on."""
        answer = await self._ask(RunAnswered(effect.run_id, guard.connected_at))
        if isinstance(answer, RejectRun):
            raise BadResponseError(answer.reason)
        return answer.origin or UNKNOWN_ORIGIN

    async def _confirm_end(self, effect, response):
        """Wait until it is known that the end of a connection is that of its response."""
        if response.is_framed():
            return
        answer = await self._ask(RunClosed(effect.run_id))
        if isinstance(answer, RejectRun):
            raise IncompleteResponseError(answer.reason)

    async def _ask(self, message):
        """Deliver a message about a run and return the decision on it."""
        decision = asyncio.get_running_loop().create_future()
        self.held_runs[message.run_id] = decision
        try:
            self.driver.deliver(message)
            return await decision
        finally:
            del self.held_runs[message.run_id]

    def _decide(self, run_id, effect):
        decision = self.held_runs.get(run_id)
        if decision is not None and not decision.done():
            decision.set_result(effect)

    async def _relay_stream(self, effect, exchange, response, headers, timer, guard):
        protocol = response.connection.protocol if response.connection else None
        splitter = EventSplitter(exchange.last_event)
        timing = exchange.timing
        pacing = ReadPacing(self.driver.read_clock())
        received_before = protocol.received_bytes if protocol is not None else 0
        is_first = True
        async for chunk in response.content.iter_chunked(MAX_BLOCK_BYTES):
            event_count = splitter.event_count
            data = splitter.feed(chunk)
            now = self.driver.read_clock()
            # The protocol is missing if the whole response came with its head.
            received = protocol.received_bytes - received_before if protocol is not None else 0
            event_count = splitter.event_count - event_count
            wait_s = pacing.record(event_count, len(chunk), received, now)
            if effect.run_id in self.watched_runs and protocol is not None:
                self.watched_runs.discard(effect.run_id)
                self.driver.deliver(RunProgressed(effect.run_id, protocol.received_at))
            if not data:  # no progress for the stall timer
                await asyncio.sleep(wait_s)
                continue
            timing.record_event(exchange.last_event, now)
            if exchange.stream is None:
                await exchange.begin_stream(response.status, headers)
            # Recorded before the write, which waits while the caller does not read: a run that is
            # cancelled meanwhile has passed these events on.
            exchange.last_event = splitter.last_event
            if is_first:
                is_first = False
                is_forwarded = effect.forwarded_runs is not None
                origin = parse_origin(response.headers) if is_forwarded else None
                load = parse_load(response.headers)
                self.driver.deliver(RunStarted(effect.run_id, load, origin, guard.connected_at))
            timer.pause()
            await exchange.stream.write(data)
            timing.record_write(self.driver.read_clock() - now)
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            timer.resume()
        if splitter.is_inside_event():
            raise IncompleteResponseError("the stream ended inside an event")
        response.check_end()
        await exchange.begin_stream(response.status, headers)

    def _report_leaving(self, server, response, request_id, source):
        """Deliver the statement that `server` leaves as soon as the head of a response is read."""
        value = parse_leaving(response.headers)
        if not value:
            return
        name = response.headers.get(INSTANCE_ID, server.name)
        if name != server.name:
            log.info(
                "a response from %s at %s is of %s, which leaves",
                server.name,
                server.address,
                name,
                extra={"event": "leaving_unattributed"},
            )
            return
        self.driver.deliver(
            ServerLeaving(server.name, server.started_at_ms, request_id, source, value)
        )

    # Probes, orders and state reports

    async def _probe(self, effect):
        self.driver.deliver(await probe_server(self.unpooled_session, effect))

    async def _send_order(self, effect):
        document = {
            "op": "load" if effect.is_load else "unload",
            "model": effect.key.model,
            "expected": effect.orders,
            "holder": self.settings.gateway.name,
            "fence": effect.fence,
        }
        if effect.key.adapter:
            document["adapter"] = effect.key.adapter
        if effect.version:
            document["version"] = effect.version
        headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": effect.server.name,
        }
        guard = SendGuard()
        try:
            with apply_send_guard(guard):
                async with asyncio.timeout(ORDER_TIMEOUT_S):
                    async with self.session.post(
                        f"http://{effect.server.address}/order",
                        data=dumps(document),
                        headers=headers,
                        allow_redirects=False,
                    ) as response:
                        self._report_leaving(effect.server, response, "", "order")
                        await discard_body(response)
            pause = find_pause(response, "", effect.server.name)
            message = ServerOrderResult(effect, response.status, "", pause)
        except Exception as error:  # every order must result in exactly one message
            message = ServerOrderResult(effect, 0, describe_error(error))
        self.driver.deliver(message)

    async def _read_report(self, server):
        """Return the response to a request for the report of a server, and its body."""
        with apply_send_guard(SendGuard(allow_resend=True)):
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                async with self.session.get(
                    f"http://{server.address}/report",
                    headers={"X-Expect-Instance": server.name},
                    allow_redirects=False,
                ) as response:
                    self._report_leaving(server, response, "", "report")
                    return response, await read_body(response, MAX_RESPONSE_BYTES)

    async def _check_start(self, effect):
        sent_at = self.driver.read_clock()
        started_at_ms, reason = None, ""
        try:
            response, text = await self._read_report(effect.server)
            if response.status != 404:  # which a server without reports responds
                check_status(response)
                started_at_ms = decode_start(decode_object(text))
        except Exception as error:  # every check must result in exactly one message
            reason = describe_error(error)
        self.driver.deliver(ServerStartResult(effect.server, started_at_ms, sent_at, reason))

    async def _fetch_state(self, effect):
        name = effect.server.name
        pause = None
        try:
            response, text = await self._read_report(effect.server)
            pause = find_pause(response, "", name)
            check_status(response)
            message = EngineStateResult(name, decode_engine_state(decode_object(text)), "")
        except Exception as error:  # every state request must result in exactly one message
            message = EngineStateResult(name, None, describe_error(error), pause)
        self.driver.deliver(message)


async def discard_body(response):
    """Read and discard a short body; close the connection if it is long or slow."""
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            await read_body(response, MAX_REFUSAL_BYTES)
    except CALL_ERRORS as error:
        log.debug("response discarded: %s", error, extra={"event": "response_discarded"})
        response.close()


def build_answer_headers(response, exchange, origin=None):
    """Return the headers of an answer for the caller, or for the node that forwards its request."""
    headers = response_headers(response.headers, response.status)
    if exchange.request.runs_elsewhere is not None:
        headers += answer_headers(exchange.read_config_version(), origin)
    return headers
