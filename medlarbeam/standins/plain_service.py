"""Stand-in for a plain service: a ledger that records a charge for every request."""

import asyncio
from typing import Annotated

import cappa
import xxhash
from aiohttp import web

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import (
    drop_connection,
    json_response,
    new_incarnation,
    read_field,
    read_json_object,
    read_non_negative,
    serve,
)

__all__ = ["Charge", "PlainService", "main"]


class Charge(Record):
    """A charge that took effect at the monotonic time `at` (s)."""

    __slots__ = ("account", "amount_cents", "at", "reference")

    def __init__(self, account, amount_cents, reference, at):
        self.account = account
        self.amount_cents = amount_cents
        self.reference = reference
        self.at = at


class PlainService:
    """State of a plain service.

    Parameters
    ----------
    incarnation : str
        Identifier that differs with each start of the process.

    Notes
    -----
    The service does not deduplicate requests: a request forwarded twice is charged twice.
    """

    __slots__ = (
        "charges",
        "cut_answers",
        "delay_s",
        "draining",
        "incarnation",
        "running",
        "stock_reads",
    )

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.charges = []
        self.running = {}
        self.draining = False
        self.stock_reads = 0
        self.cut_answers = 0
        self.delay_s = 0.0

    def charge(self, document, now):
        """Record a charge and return the response as a JSON document."""
        account = read_field(document, "account", str)
        amount = read_field(document, "amount_cents", int)
        reference = read_field(document, "reference", str, "")
        if not account or amount <= 0:
            raise FormatError("a charge requires a non-empty account and a positive amount_cents")
        self.charges.append(Charge(account, amount, reference, now))
        return {"charged": amount, "count": len(self.charges)}

    def read_stock(self, item):
        """Return the stock of an item, which is a function of its name."""
        self.stock_reads += 1
        return {"item": item, "in_stock": xxhash.xxh64_intdigest(item.encode()) % 100}

    def begin_request(self, path):
        """Count a request for `path` as running; return False if the service is draining."""
        if self.draining:
            return False
        self.running[path] = self.running.get(path, 0) + 1
        return True

    def end_request(self, path):
        """Count a request for `path` as complete."""
        self.running[path] -= 1
        if not self.running[path]:
            del self.running[path]

    def consume_cut_response(self):
        """Return whether the current response must be dropped; uses up one injected fault."""
        must_drop = self.cut_answers > 0
        self.cut_answers -= must_drop
        return must_drop

    def report(self):
        """Return the load report of ``GET /load``.

        Notes
        -----
        A plain service has no models, so ``running`` counts the requests by path.
        """
        return {
            "incarnation": self.incarnation,
            "resident": [],
            "running": dict(self.running),
            "leaving": self.draining,
        }

    def journal(self):
        """Return all charges as a JSON document."""
        charges = [{key: getattr(c, key) for key in Charge.__slots__} for c in self.charges]
        return {"charges": charges, "count": len(charges), "stock_reads": self.stock_reads}


class PlainServiceHttp:
    """HTTP server of a plain service."""

    __slots__ = ("idle", "state")

    def __init__(self, state):
        self.state = state
        self.idle = asyncio.Event()

    def routes(self):
        """Return the route table."""
        return [
            web.post("/charge", self.post_charge),
            web.get("/stock", self.get_stock),
            web.post("/stock", self.post_stock),
            web.get("/load", self.get_load),
            web.get("/debug/journal", self.get_journal),
            web.post("/debug/faults", self.set_faults),
        ]

    async def post_charge(self, request):
        """Handle ``POST /charge``."""
        document = await read_json_object(request)
        return await self._run(request, lambda now: self.state.charge(document, now))

    async def get_stock(self, request):
        """Handle ``GET /stock?item=...``."""
        item = request.query.get("item", "")
        return await self._run(request, lambda now: self.state.read_stock(item))

    async def post_stock(self, request):
        """Handle ``POST /stock`` with ``{"item": ...}``."""
        item = read_field(await read_json_object(request), "item", str, "")
        return await self._run(request, lambda now: self.state.read_stock(item))

    async def _run(self, request, operation):
        if not self.state.begin_request(request.path):
            return json_response({"error": "leaving"}, 503, {"X-Not-Run": "true"})
        try:
            # The delay is split so that a caller can time out before or after the effect.
            await asyncio.sleep(self.state.delay_s / 2)
            document = operation(asyncio.get_running_loop().time())
            await asyncio.sleep(self.state.delay_s / 2)
        finally:
            self.state.end_request(request.path)
            if not self.state.running:
                self.idle.set()
        if self.state.consume_cut_response():
            return drop_connection(request)
        return json_response(document)

    async def get_load(self, request):
        """Handle ``GET /load``."""
        return json_response(self.state.report())

    async def get_journal(self, request):
        """Handle ``GET /debug/journal``."""
        return json_response(self.state.journal())

    async def set_faults(self, request):
        """Handle ``POST /debug/faults``.

        Notes
        -----
        Both fields are optional: ``cut_answers`` is the number of responses to drop after the
        request took effect, ``delay_ms`` the duration of each request.
        """
        document = await read_json_object(request)
        self.state.cut_answers = int(
            read_non_negative(document, "cut_answers", self.state.cut_answers)
        )
        self.state.delay_s = (
            read_non_negative(document, "delay_ms", self.state.delay_s * 1000) / 1000
        )
        return json_response({})

    async def drain(self):
        """Reject new requests and wait for the running ones."""
        self.state.draining = True
        while self.state.running:
            self.idle.clear()
            await self.idle.wait()


def main(
    listen: Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on; port 0 selects a free port")
    ] = "127.0.0.1:0",
    name: Annotated[str, cappa.Arg(long=True, help="name printed in the start-up line")] = "ledger",
    incarnation: Annotated[
        str, cappa.Arg(long=True, help="identifier of this start; generated when empty")
    ] = "",
):
    """Run the plain service stand-in."""
    http_server = PlainServiceHttp(PlainService(incarnation or new_incarnation()))
    serve(name, http_server.routes(), listen, http_server.drain)


if __name__ == "__main__":
    cappa.invoke(main)
