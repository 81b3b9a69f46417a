"""Stand-in for a plain service: a ledger or till that charges every time it is asked."""

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
    """A charge that took effect at `at` (monotonic s)."""

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
        Differs with each start of the process.

    Notes
    -----
    The service doesn't recognise repeats, so a request that is passed on twice charges twice.
    """

    __slots__ = (
        "charges",
        "cut_answers",
        "delay_s",
        "incarnation",
        "draining",
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
        """Append a charge and return the answer as a JSON document."""
        account = read_field(document, "account", str)
        amount = read_field(document, "amount_cents", int)
        reference = read_field(document, "reference", str, "")
        if not account or amount <= 0:
            raise FormatError("a charge needs an account and an amount_cents above 0")
        self.charges.append(Charge(account, amount, reference, now))
        return {"charged": amount, "count": len(self.charges)}

    def read_stock(self, item):
        """Return the stock of an item; the same item always has the same stock."""
        self.stock_reads += 1
        return {"item": item, "in_stock": xxhash.xxh64_intdigest(item.encode()) % 100}

    def begin_request(self, path):
        """Note that a request for `path` runs; return False if the service takes none."""
        if self.draining:
            return False
        self.running[path] = self.running.get(path, 0) + 1
        return True

    def end_request(self, path):
        """Note that a request for `path` is complete."""
        self.running[path] -= 1
        if not self.running[path]:
            del self.running[path]

    def consume_cut_answer(self):
        """Return whether the present answer has to be cut off."""
        cut = self.cut_answers > 0
        self.cut_answers -= cut
        return cut

    def report(self):
        """Return the answer to ``GET /load``; it runs no models, so requests count by path."""
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
    """HTTP layer of a plain service."""

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
        """Answer ``POST /charge``."""
        document = await read_json_object(request)
        return await self._run(request, lambda now: self.state.charge(document, now))

    async def get_stock(self, request):
        """Answer ``GET /stock?item=...``."""
        item = request.query.get("item", "")
        return await self._run(request, lambda now: self.state.read_stock(item))

    async def post_stock(self, request):
        """Answer ``POST /stock`` with ``{"item": ...}``."""
        item = read_field(await read_json_object(request), "item", str, "")
        return await self._run(request, lambda now: self.state.read_stock(item))

    async def _run(self, request, operation):
        if not self.state.begin_request(request.path):
            return json_response({"error": "leaving"}, 503, {"X-Not-Run": "true"})
        try:
            # Half of the delay comes before the effect: a caller may give up on either side.
            await asyncio.sleep(self.state.delay_s / 2)
            document = operation(asyncio.get_running_loop().time())
            await asyncio.sleep(self.state.delay_s / 2)
        finally:
            self.state.end_request(request.path)
            if not self.state.running:
                self.idle.set()
        if self.state.consume_cut_answer():
            return drop_connection(request)
        return json_response(document)

    async def get_load(self, request):
        """Answer ``GET /load``."""
        return json_response(self.state.report())

    async def get_journal(self, request):
        """Answer ``GET /debug/journal``."""
        return json_response(self.state.journal())

    async def set_faults(self, request):
        """Take ``{"cut_answers": n, "delay_ms": ms}``."""
        document = await read_json_object(request)
        self.state.cut_answers = int(
            read_non_negative(document, "cut_answers", self.state.cut_answers)
        )
        self.state.delay_s = (
            read_non_negative(document, "delay_ms", self.state.delay_s * 1000) / 1000
        )
        return json_response({})

    async def drain(self):
        """Take no new requests and wait for those that run."""
        self.state.draining = True
        while self.state.running:
            self.idle.clear()
            await self.idle.wait()


def main(
    listen: Annotated[str, cappa.Arg(long=True, help="ip:port, port 0 for any")] = "127.0.0.1:0",
    name: Annotated[str, cappa.Arg(long=True, help="name in the first line")] = "ledger",
    incarnation: Annotated[str, cappa.Arg(long=True, help="default: from the process id")] = "",
):
    """Run the plain service stand-in."""
    http_server = PlainServiceHttp(PlainService(incarnation or new_incarnation()))
    serve(name, http_server.routes(), listen, http_server.drain)


if __name__ == "__main__":
    cappa.invoke(main)
