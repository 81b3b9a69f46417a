"""Minimal reverse proxy to one engine, the baseline of the relay benchmark."""

import asyncio
import os
import signal
import sys
from typing import Annotated

import cappa
from aiohttp import ClientSession, ClientTimeout, TCPConnector, web

from medlarbeam.standins.http import parse_address

__all__ = ["BareRelay", "main"]


class BareRelay:
    """Forwards completion requests to one engine and streams its responses back.

    Parameters
    ----------
    engine : str
        ``ip:port``.
    """

    __slots__ = ("engine", "session")

    def __init__(self, engine):
        self.engine = engine
        self.session = None

    async def open(self, app):
        """Open the client session to the engine; it is closed with the application."""
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=ClientTimeout(total=60)) as session:
            self.session = session
            yield

    async def pass_completion(self, request):
        """Handle ``POST /v1/completions``."""
        body = await request.read()
        url = f"http://{self.engine}/v1/completions"
        async with self.session.post(url, data=body) as upstream_response:
            headers = {"Content-Type": upstream_response.headers.get("Content-Type", "")}
            response = web.StreamResponse(status=upstream_response.status, headers=headers)
            await response.prepare(request)
            async for piece in upstream_response.content.iter_any():
                await response.write(piece)
            await response.write_eof()
            return response


async def _serve(engine, listen):
    relay = BareRelay(engine)
    app = web.Application()
    app.cleanup_ctx.append(relay.open)
    app.add_routes([web.post("/v1/completions", relay.pass_completion)])
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    host, port = parse_address(listen)
    await web.TCPSite(runner, host, port, backlog=2048).start()
    host, port = runner.addresses[0][:2]
    print(f'{{"listen":"{host}:{port}","pid":{os.getpid()}}}', flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def main(
    engine: Annotated[str, cappa.Arg(long=True, help="ip:port of the engine")],
    listen: Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on; port 0 selects a free port")
    ] = "127.0.0.1:0",
):
    """Run the relay until SIGTERM or SIGINT."""
    sys.exit(asyncio.run(_serve(engine, listen)))


if __name__ == "__main__":
    cappa.invoke(main)
