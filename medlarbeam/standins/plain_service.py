"""Stand-in for a plain service: a ledger or till that charges every time it is asked."""

import asyncio
from typing import Annotated

import cappa
import xxhash
from aiohttp import web

from medlarbeam.classes.record import Record
from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import (
    answer_json,
    drop_connection,
    new_incarnation,
    read_document,
    require_type,
    serve,
    take_number,
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
        "leaving",
        "running",
        "stock_reads",
    )

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.charges = []
        self.running = {}
        self.leaving = False
        self.stock_reads = 0
        self.cut_answers = 0
        self.delay_s = 0.0

    def charge(self, document, now):
        """Append a charge and return the answer as a JSON document."""
        account = require_type(document, "account", str)
        amount = require_type(document, "amount_cents", int)
        reference = require_type(document, "reference", str, "")
        if not account or amount <= 0:
            raise FormatError("a charge needs an account and an amount_cents above 0")
        self.charges.append(Charge(account, amount, reference, now))
        return {"charged": amount, "count": len(self.charges)}

    def read_stock(self, item):
        """Return the stock of an item; the same item always has the same stock."""
        self.stock_reads += 1
        return {"item": item, "in_stock": xxhash.xxh64_intdigest(item.encode()) % 100}

    def begin(self, path):
        """Note that a request for `path` runs; return False if the service takes none."""
        if self.leaving:
            return False
        self.running[path] = self.running.get(path, 0) + 1
        return True

    def end(self, path):
        """Note that a request for `path` is complete."""
        self.running[path] -= 1
        if not self.running[path]:
            del self.running[path]

    def take_cut(self):
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
            "leaving": self.leaving,
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
        document = await read_document(request)
        return await self._run(request, lambda now: self.state.charge(document, now))

    async def get_stock(self, request):
        """Answer ``GET /stock?item=...``."""
        item = request.query.get("item", "")
        return await self._run(request, lambda now: self.state.read_stock(item))

    async def post_stock(self, request):
        """Answer ``POST /stock`` with ``{"item": ...}``."""
        item = require_type(await read_document(request), "item", str, "")
        return await self._run(request, lambda now: self.state.read_stock(item))

    async def _run(self, request, work):
        if not self.state.begin(request.path):
            return answer_json({"error": "leaving"}, 503, {"X-Not-Run": "true"})
        try:
            # Half of the delay comes before the effect: a caller may give up on either side.
            await asyncio.sleep(self.state.delay_s / 2)
            document = work(asyncio.get_running_loop().time())
            await asyncio.sleep(self.state.delay_s / 2)
        finally:
            self.state.end(request.path)
            if not self.state.running:
                self.idle.set()
        if self.state.take_cut():
            return drop_connection(request)
        return answer_json(document)

    async def get_load(self, request):
        """Answer ``GET /load``."""
        return answer_json(self.state.report())

    async def get_journal(self, request):
        """Answer ``GET /debug/journal``."""
        return answer_json(self.state.journal())

    async def set_faults(self, request):
        """Take ``{"cut_answers": n, "delay_ms": ms}``."""
        document = await read_document(request)
        self.state.cut_answers = int(take_number(document, "cut_answers", self.state.cut_answers))
        self.state.delay_s = take_number(document, "delay_ms", self.state.delay_s * 1000) / 1000
        return answer_json({})

    async def drain(self):
        """Take no new requests and wait for those that run."""
        self.state.leaving = True
        while self.state.running:
            self.idle.clear()
            await self.idle.wait()


def main(
    listen: Annotated[str, cappa.Arg(long=True, help="ip:port, port 0 for any")] = "127.0.0.1:0",
    name: Annotated[str, cappa.Arg(long=True, help="name in the first line")] = "ledger",
    incarnation: Annotated[str, cappa.Arg(long=True, help="default: from the process id")] = "",
):
    """Run the plain service stand-in."""
    layer = PlainServiceHttp(PlainService(incarnation or new_incarnation()))
    serve(name, layer.routes(), listen, layer.drain)


if __name__ == "__main__":
    cappa.invoke(main)
