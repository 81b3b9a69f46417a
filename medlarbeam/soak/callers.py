"""Callers that reuse their connections and record every response."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout, ServerDisconnectedError, TraceConfig
from yarl import URL

from medlarbeam.soak.deployment import ADAPTERS, HOST, PUBLIC_ROUTE
from medlarbeam.soak.records import INCOMPLETE, RequestRecord, SentRequest

__all__ = ["PUBLIC_ROUTE", "ROUTES", "Caller"]

ROUTES = ("read", "pay", "chat", "draft")
DEADLINE_S = 3.0
MEAN_PAUSE_S = 0.03
UNAUTHORISED = 401


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
    key_ring : KeyRing or None
        Keys that the operator gives out, None for a deployment without organisations.

    Attributes
    ----------
    key : str or None
        Key of the caller. It asks for another one of its organisation when the key is refused.
    """

    __slots__ = (
        "gateways",
        "key",
        "key_ring",
        "name",
        "records",
        "rng",
        "sent_count",
        "shared_parts",
    )

    def __init__(self, name, gateways, rng, records, shared_parts=("5e5e",), key_ring=None):
        self.key_ring = key_ring
        self.key = key_ring.choose_held(rng) if key_ring is not None else None
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
                record = await self.call(session, gateway)
                self.records.append(record)
                gateway = self.choose_gateway(gateway, record)
                if record.status == UNAUTHORISED and record.sent.find_key() == self.key:
                    organisation = self.key_ring.find_holder(self.key)
                    self.key = self.key_ring.choose_held(self.rng, organisation)
                await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))

    def choose_gateway(self, gateway, record):
        """Return the gateway of the next request, after `record` at `gateway`."""
        if record.status == INCOMPLETE and not record.headers_sent:
            return self.rng.choice(self.gateways)
        return gateway

    def build_request(self, attempt):
        """Return the route and the `SentRequest` of the next request."""
        route = self.rng.choice(ROUTES)
        return route, self.compose(attempt, route, [] if self.key is None else [self.key])

    def compose(self, attempt, route, keys):
        """Return the `SentRequest` of a proper request but for its keys."""
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", str(int(DEADLINE_S * 1000))),
            *(("X-Key", key) for key in keys),
        ]
        if route in ("chat", "draft"):
            parts = [*self.shared_parts, attempt.encode().hex()]
            headers.append(("X-Prompt-Prefix", ",".join(f"{part}:10" for part in parts)))
            adapter = min(self.rng.randrange(ADAPTERS) for _ in range(2))
            headers.append(("X-Model", f"m0/a{adapter}"))
        method = "GET" if route in ("read", PUBLIC_ROUTE) else "POST"
        return SentRequest(method, f"/{route}/x", headers, b"order")

    async def call(self, session, gateway):
        """Send the next request to a gateway; return its `RequestRecord`."""
        loop = asyncio.get_running_loop()
        self.sent_count += 1
        attempt = f"{self.name}-{self.sent_count}"
        route, request = self.build_request(attempt)
        sent_at = loop.time()
        status, body, marks = INCOMPLETE, b"", []
        try:
            async with session.request(
                request.method,
                URL(f"http://{gateway.front_address}{request.target}", encoded=True),
                headers=request.headers,
                data=request.body,
                trace_request_ctx=marks,
            ) as response:
                body = await response.read()
                status = response.status
        except (ClientError, TimeoutError, ServerDisconnectedError):
            body = b""  # recorded as an incomplete response
        ended_at = loop.time()
        return RequestRecord(
            attempt, route, gateway.name, sent_at, ended_at, status, body, bool(marks), request
        )


async def _mark_headers_sent(session, context, params):
    context.trace_request_ctx.append(True)
