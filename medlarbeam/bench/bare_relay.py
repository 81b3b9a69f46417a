"""Passes bytes between a caller and one engine; the daemon is compared with it."""

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
    """Passes completions to one engine and its answer back as it comes.

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
        """Open the connections to the engine and close them with the application."""
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=ClientTimeout(total=60)) as session:
            self.session = session
            yield

    async def pass_completion(self, request):
        """Answer ``POST /v1/completions``."""
        body = await request.read()
        url = f"http://{self.engine}/v1/completions"
        async with self.session.post(url, data=body) as answer:
            headers = {"Content-Type": answer.headers.get("Content-Type", "")}
            response = web.StreamResponse(status=answer.status, headers=headers)
            await response.prepare(request)
            async for piece in answer.content.iter_any():
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
    engine: Annotated[str, cappa.Arg(long=True, help="ip:port")],
    listen: Annotated[str, cappa.Arg(long=True, help="ip:port, port 0 for any")] = "127.0.0.1:0",
):
    """Run the relay until SIGTERM."""
    sys.exit(asyncio.run(_serve(engine, listen)))


if __name__ == "__main__":
    cappa.invoke(main)
