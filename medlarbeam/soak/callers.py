"""Callers that reuse their connections and record every response."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout, ServerDisconnectedError, TraceConfig

from medlarbeam.soak.deployment import ADAPTERS, HOST
from medlarbeam.soak.records import INCOMPLETE, RequestRecord

__all__ = ["Caller"]

ROUTES = ("read", "pay", "chat", "draft")
DEADLINE_S = 3.0
MEAN_PAUSE_S = 0.03


class Caller:
    """Sends requests sequentially to one gateway and switches when it cannot connect to it.

    Parameters
    ----------
    name : str
    gateways : list of GatewayProcess
    rng : random.Random
    records : list
        List to which a `RequestRecord` is appended for each request.
    shared_parts : tuple of str
        Parts that the prompts of the caller share with those of others.
    """

    __slots__ = ("gateways", "name", "records", "rng", "sent_count", "shared_parts")

    def __init__(self, name, gateways, rng, records, shared_parts=("5e5e",)):
        self.shared_parts = shared_parts
        self.name = name
        self.gateways = gateways
        self.rng = rng
        self.records = records
        self.sent_count = 0

    async def run(self, end):
        """Send requests until the event loop's clock reaches `end.at` (s)."""
        loop = asyncio.get_running_loop()
        timeout = ClientTimeout(total=DEADLINE_S + 1.0, connect=1.0)
        trace = TraceConfig()
        trace.on_request_headers_sent.append(_mark_headers_sent)
        gateway = self.rng.choice(self.gateways)
        async with ClientSession(timeout=timeout, trace_configs=[trace]) as session:
            while loop.time() < end.at:
                record = await self._call(session, gateway)
                self.records.append(record)
                if record.status == INCOMPLETE and not record.headers_sent:
                    gateway = self.rng.choice(self.gateways)
                await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def _call(self, session, gateway):
        loop = asyncio.get_running_loop()
        self.sent_count += 1
        attempt = f"{self.name}-{self.sent_count}"
        route = self.rng.choice(ROUTES)
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if route in ("chat", "draft"):
            parts = [*self.shared_parts, attempt.encode().hex()]
            headers["X-Prompt-Prefix"] = ",".join(f"{part}:10" for part in parts)
            headers["X-Model"] = f"m0/a{min(self.rng.randrange(ADAPTERS) for _ in range(2))}"
        sent_at = loop.time()
        status, body, sent = INCOMPLETE, b"", []
        try:
            async with session.request(
                "GET" if route == "read" else "POST",
                f"http://{gateway.front_address}/{route}/x",
                headers=headers,
                data=b"order",
                trace_request_ctx=sent,
            ) as response:
                body = await response.read()
                status = response.status
        except (ClientError, TimeoutError, ServerDisconnectedError):
            body = b""  # recorded as an incomplete response
        ended_at = loop.time()
        return RequestRecord(
            attempt, route, gateway.name, sent_at, ended_at, status, body, bool(sent)
        )


async def _mark_headers_sent(session, context, params):
    context.trace_request_ctx.append(True)
