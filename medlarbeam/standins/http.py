"""HTTP helpers shared by the stand-ins."""

import asyncio
import os
import signal
import time

import orjson
from aiohttp import web

from medlarbeam.exceptions import FormatError

__all__ = [
    "DetachedTasks",
    "drop_connection",
    "json_response",
    "new_incarnation",
    "parse_address",
    "read_field",
    "read_json_object",
    "read_non_negative",
    "serve",
]


class DetachedTasks:
    """Tasks that continue when the handler that started them is cancelled."""

    __slots__ = ("tasks",)

    def __init__(self):
        self.tasks = set()  # the event loop keeps only weak references to its tasks

    async def run_shielded(self, coroutine):
        """Return the result of a coroutine that is not cancelled along with the caller."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)


def parse_address(text):
    """Return ``(host, port)`` of ``ip:port``; raise `FormatError` otherwise."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise FormatError(f"address {text!r} is not ip:port")
    return host, int(port)


def read_field(document, key, expected_type, default=None):
    """Return ``document[key]``, or `default` if it is absent, after checking its type.

    Raises
    ------
    FormatError
        If the value is not an instance of `expected_type`, or is absent without a default.
    """
    value = document.get(key, default)
    has_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if not isinstance(value, expected_type) or has_unexpected_bool:
        raise FormatError(f"field {key!r} is {value!r}, expected {expected_type}")
    return value


def read_non_negative(document, key, default):
    """Return the non-negative number ``document[key]``, or `default` if it is absent."""
    value = read_field(document, key, (int, float), default)
    if value < 0:
        raise FormatError(f"field {key!r} is {value!r}, expected a non-negative number")
    return value


def new_incarnation():
    """Return an identifier that differs with each start of a process."""
    return f"{time.time_ns()}-{os.getpid()}"


async def read_json_object(request):
    """Return the JSON object in the body of a request; raise `FormatError` otherwise."""
    body = await request.read()
    try:
        document = orjson.loads(body or b"{}")
    except orjson.JSONDecodeError as error:
        raise FormatError(f"request body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise FormatError("request body is not a JSON object")
    return document


def json_response(document, status=200, headers=None):
    """Return a response with a JSON body."""
    return web.Response(
        body=orjson.dumps(document),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def drop_connection(request):
    """Close the connection of a request without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


@web.middleware
async def _handle_format_errors(request, handler):
    try:
        return await handler(request)
    except FormatError as error:
        document = {"error": {"message": str(error), "type": "invalid_request", "code": 400}}
        return json_response(document, 400, {"X-Not-Run": "true"})


async def _run(name, routes, listen, drain, handler_cancellation):
    app = web.Application(middlewares=[_handle_format_errors], client_max_size=8 << 20)
    app.add_routes(routes)
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=0.2,  # s; only watches are still open at this point
    )
    await runner.setup()
    host, port = parse_address(listen)
    await web.TCPSite(runner, host, port).start()
    host, port = runner.addresses[0][:2]
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    print(orjson.dumps({"name": name, "listen": f"{host}:{port}"}).decode(), flush=True)
    await stop.wait()
    if drain is not None:
        await drain()
    await runner.cleanup()


def serve(name, routes, listen, drain=None, handler_cancellation=False):
    """Serve until SIGTERM or SIGINT, after printing a JSON line with the bound address.

    Parameters
    ----------
    name : str
    routes : list of aiohttp.web.RouteDef
    listen : str
        ``ip:port``; port 0 selects a free port.
    drain : coroutine function or None
        Awaited after the signal, while requests are still served.
    handler_cancellation : bool
        Whether a handler is cancelled when its caller disconnects.
    """
    asyncio.run(_run(name, routes, listen, drain, handler_cancellation))
