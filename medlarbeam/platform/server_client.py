"""Client of the backend servers: runs, orders and reports."""

import asyncio

from aiohttp import ClientOSError, ClientTimeout
from aiohttp.web import Response
from orjson import dumps
from yarl import URL

from medlarbeam.classes.gateway_effects import (
    PassAnswer,
    ReadState,
    ServerOrder,
    StartFleetRun,
    StopFleetRun,
)
from medlarbeam.classes.gateway_messages import (
    OrderAnswered,
    RunAnswered,
    RunBroken,
    RunEnded,
    RunRefused,
    RunStarted,
    StateRead,
)
from medlarbeam.daemon.http_client import CallGuard, describe_error, guard_call, open_session
from medlarbeam.daemon.ports import PortService
from medlarbeam.exceptions import FormatError
from medlarbeam.platform.documents import read_engine_state, read_object
from medlarbeam.platform.event_cutter import EventCutter
from medlarbeam.platform.headers import (
    ATTEMPT_ID,
    NOT_RUN,
    STAMP,
    answer_headers,
    read_load,
    run_headers,
)
from medlarbeam.platform.stall_watch import StallWatch

__all__ = ["ServerClient"]

CONNECT_S = 0.3  # a backend server in reach accepts within some ms
ORDER_S = 0.05  # an order is answered within some ms, or carried out late without an answer
REPORT_S = 0.5
MAX_ANSWER_BYTES = 8 << 20
SKIPPED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class BadAnswerError(Exception):
    """Bytes that are not the answer to the request that was sent."""


class ServerClient(PortService):
    """Carries out the effects on backend servers.

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
        self.session = None
        self.single_session = None

    async def on_start(self):
        """Open the sessions."""
        timeout = ClientTimeout(total=None, connect=CONNECT_S)
        self.session = await self.add_async_context(open_session(timeout))
        self.single_session = await self.add_async_context(open_session(timeout, keep_alive=False))

    def effects(self):
        """Return the handlers of the effects on backend servers."""
        return {
            StartFleetRun: self.start_run,
            StopFleetRun: self.stop_run,
            PassAnswer: self.pass_answer,
            ServerOrder: lambda effect: self.spawn(self._order(effect)),
            ReadState: lambda effect: self.spawn(self._read_state(effect)),
        }

    def start_run(self, effect):
        """Start a run as a task."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is None:
            self.driver.deliver(RunRefused(effect.run_id, 0, "the caller has left", None))
            return
        self.runs[effect.run_id] = self.spawn(self._run(effect, exchange))

    def stop_run(self, effect):
        """Close the connection of a run."""
        task = self.runs.pop(effect.run_id, None)
        if task is not None:
            task.cancel()

    def pass_answer(self, effect):
        """Pass a kept error answer to the caller."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            exchange.finish(exchange.kept[effect.run_id])

    # Runs

    async def _run(self, effect, exchange):
        guard = CallGuard()
        try:
            with guard_call(guard):
                message = await self._exchange(effect, exchange)
        except Exception as error:  # each run ends with exactly one message
            served = exchange.stream is not None
            reason = describe_error(error)
            if guard.sent:
                message = RunBroken(effect.run_id, reason, exchange.last_event, served)
            else:
                message = RunRefused(effect.run_id, 0, f"nothing was sent: {reason}", None)
        finally:
            self.runs.pop(effect.run_id, None)
        self.driver.deliver(message)

    async def _exchange(self, effect, exchange):
        now = self.driver.read_clock()
        session = self.single_session if effect.is_once else self.session
        resumed_at = exchange.last_event if exchange.stream is not None else 0
        with StallWatch(self.driver, effect, exchange) as watch:
            async with session.request(
                exchange.http.method,
                URL(f"http://{effect.server.address}{exchange.http.raw_path}", encoded=True),
                headers=run_headers(exchange.headers, effect, resumed_at, now),
                data=exchange.body or None,
                skip_auto_headers=SKIPPED,
                allow_redirects=False,
            ) as response:
                protocol = response.connection.protocol if response.connection else None
                load = read_load(response.headers)
                refusal = find_refusal(response)
                if refusal:
                    await response.read()
                    return RunRefused(effect.run_id, response.status, refusal, load)
                check_answer(response, exchange)
                if effect.is_stream and response.status == 200:
                    await self._relay_stream(effect, exchange, response, load, watch)
                    check_end(response, protocol)
                    exchange.finish(exchange.stream)
                    return RunEnded(effect.run_id, response.status, load)
                body = await response.read()
                check_end(response, protocol)
        answer = Response(
            status=response.status, body=body, headers=answer_headers(response.headers)
        )
        if 200 <= response.status < 300:
            exchange.finish(answer)
            return RunEnded(effect.run_id, response.status, load)
        exchange.kept[effect.run_id] = answer
        return RunAnswered(effect.run_id, response.status, load)

    async def _relay_stream(self, effect, exchange, response, load, watch):
        cutter = EventCutter(exchange.last_event)
        is_first = True
        async for piece in response.content.iter_any():
            data = cutter.feed(piece)
            if not data:
                continue
            watch.hear()
            await exchange.begin_stream(response.status, answer_headers(response.headers))
            await exchange.stream.write(data)
            exchange.last_event = cutter.last_event
            if is_first:
                is_first = False
                self.driver.deliver(RunStarted(effect.run_id, load))
        if cutter.rest:
            raise BadAnswerError("the stream ended inside an event")
        await exchange.begin_stream(response.status, answer_headers(response.headers))

    # Orders and reports

    async def _order(self, effect):
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
        guard = CallGuard()
        try:
            with guard_call(guard):
                async with asyncio.timeout(ORDER_S):
                    async with self.session.post(
                        f"http://{effect.server.address}/order",
                        data=dumps(document),
                        headers=headers,
                        allow_redirects=False,
                    ) as response:
                        await response.read()
            message = OrderAnswered(effect, response.status, "")
        except Exception as error:  # each order has exactly one answer
            message = OrderAnswered(effect, 0, describe_error(error))
        self.driver.deliver(message)

    async def _read_state(self, effect):
        name = effect.server.name
        try:
            with guard_call(CallGuard(resend=True)):
                async with asyncio.timeout(REPORT_S):
                    async with self.session.get(
                        f"http://{effect.server.address}/report",
                        headers={"X-Expect-Instance": name},
                        allow_redirects=False,
                    ) as response:
                        text = await response.read()
            if response.status != 200:
                raise FormatError(f"HTTP {response.status}")
            message = StateRead(name, read_engine_state(read_object(text)), "")
        except Exception as error:  # each report has exactly one message
            message = StateRead(name, None, describe_error(error))
        self.driver.deliver(message)


def find_refusal(response):
    """Return the reason if the backend server says that it did not run the request, else ""."""
    if NOT_RUN in response.headers or response.status in (421, 429):
        return f"refused with HTTP {response.status}"
    return ""


def check_answer(response, exchange):
    """Raise BadAnswerError unless the head is that of the answer to this request."""
    if response.headers.get(ATTEMPT_ID, "") != exchange.request.attempt_id:
        response.close()
        raise BadAnswerError("the answer belongs to another request")
    if "Content-Encoding" in response.headers:
        response.close()
        raise BadAnswerError("the answer is encoded")
    if 200 <= response.status < 300 and STAMP not in response.headers:
        response.close()
        raise BadAnswerError("the answer is not signed")


def check_end(response, protocol):
    """Raise BadAnswerError if an answer without a length ended with a reset.

    The library takes the end of the connection for the end of such an answer, also after a reset.
    """
    headers = response.headers
    if "Content-Length" in headers or "chunked" in headers.get("Transfer-Encoding", "").lower():
        return
    if protocol is not None and isinstance(protocol.exception(), ClientOSError):
        raise BadAnswerError("the connection was reset at the end of an answer without a length")
