"""Callers that keep their connections and note every answer."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout, ServerDisconnectedError, TraceConfig

from medlarbeam.soak.deployment import ADAPTERS, HOST
from medlarbeam.soak.records import BROKEN, RequestSeen

__all__ = ["Caller"]

ROUTES = ("read", "pay", "chat", "draft")
WAIT_S = 3.0
PAUSE_S = 0.03


class Caller:
    """Sends one request after another to one gateway, or to another when that one is gone.

    Parameters
    ----------
    name : str
    gateways : list of SoakGateway
    rng : random.Random
    seen : list
        Receives a `RequestSeen` for each request.
    """

    __slots__ = ("count", "gateways", "name", "rng", "seen")

    def __init__(self, name, gateways, rng, seen):
        self.name = name
        self.gateways = gateways
        self.rng = rng
        self.seen = seen
        self.count = 0

    async def run(self, until):
        """Send requests until the loop's time `until` (s)."""
        loop = asyncio.get_running_loop()
        timeout = ClientTimeout(total=WAIT_S + 1.0, connect=1.0)
        trace = TraceConfig()
        trace.on_request_headers_sent.append(_note_sent)
        gateway = self.rng.choice(self.gateways)
        async with ClientSession(timeout=timeout, trace_configs=[trace]) as session:
            while loop.time() < until:
                seen = await self._call(session, gateway)
                self.seen.append(seen)
                if seen.status == BROKEN and not seen.is_read:
                    gateway = self.rng.choice(self.gateways)
                await asyncio.sleep(self.rng.uniform(0, 2 * PAUSE_S))

    async def _call(self, session, gateway):
        loop = asyncio.get_running_loop()
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        route = self.rng.choice(ROUTES)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(WAIT_S * 1000)),
        }
        if route in ("chat", "draft"):
            headers["X-Model"] = f"m0/a{min(self.rng.randrange(ADAPTERS) for _ in range(2))}"
        sent_at = loop.time()
        status, body, sent = BROKEN, b"", []
        try:
            async with session.request(
                "GET" if route == "read" else "POST",
                f"http://{gateway.front}/{route}/x",
                headers=headers,
                data=b"order",
                trace_request_ctx=sent,
            ) as response:
                body = await response.read()
                status = response.status
        except (ClientError, TimeoutError, ServerDisconnectedError):
            body = b""  # the record says that there is no complete answer
        ended_at = loop.time()
        return RequestSeen(
            attempt, route, gateway.name, sent_at, ended_at, status, body, bool(sent)
        )


async def _note_sent(session, context, params):
    context.trace_request_ctx.append(True)
