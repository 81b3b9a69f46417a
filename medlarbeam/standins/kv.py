"""Stand-in for the platform's key-value service: a subset of etcd v3's JSON gateway."""

import asyncio
from functools import partial
from typing import Annotated

import cappa
import orjson
from aiohttp import web

from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import (
    DetachedTasks,
    drop_connection,
    json_response,
    read_json_object,
    serve,
)
from medlarbeam.standins.kv_calls import KvService
from medlarbeam.standins.kv_store import CompactedError, StoreError

__all__ = ["KvHttp", "main"]

_PATHS = {
    "/v3/kv/range": "range",
    "/v3/kv/put": "put",
    "/v3/kv/deleterange": "deleterange",
    "/v3/kv/txn": "txn",
    "/v3/lease/grant": "lease_grant",
    "/v3/lease/keepalive": "lease_keepalive",
    "/v3/lease/revoke": "lease_revoke",
}


class KvHttp:
    """HTTP server of the key-value service.

    Notes
    -----
    A timer expires the leases, so that watchers are notified even if no call arrives.
    """

    __slots__ = ("expiry_timer", "open_watches", "service", "tasks")

    def __init__(self, service):
        self.service = service
        self.open_watches = {}  # watcher -> request
        self.tasks = DetachedTasks()
        self.expiry_timer = None

    def routes(self):
        """Return the route table."""
        calls = [web.post(path, partial(self.call, kind)) for path, kind in _PATHS.items()]
        return [
            *calls,
            web.post("/v3/watch", self.watch),
            web.get("/debug/counts", self.get_counts),
            web.post("/debug/faults", self.set_faults),
        ]

    async def call(self, kind, request):
        """Handle a call of `kind`; it is completed even if the caller disconnects."""
        document = await read_json_object(request)
        response = await self.tasks.run_shielded(self._call_with_delay(kind, document))
        if response.dropped or self.service.faults.down:
            return drop_connection(request)
        return json_response(response.document, response.status)

    async def _call_with_delay(self, kind, document):
        delay_s = self.service.faults.slow_s
        await asyncio.sleep(delay_s / 2)
        response = self.service.call(kind, document, asyncio.get_running_loop().time())
        self._schedule_expiry()
        await asyncio.sleep(delay_s / 2)
        return response

    async def watch(self, request):
        """Handle ``POST /v3/watch`` with a stream of JSON documents, one per line."""
        document = await read_json_object(request)
        if self.service.faults.down:
            return drop_connection(request)
        changed = asyncio.Event()
        now = asyncio.get_running_loop().time()
        try:
            watcher = self.service.watch(document, now, changed.set)
        except CompactedError:
            lines = [self.service.created_document(), self.service.compacted_document()]
            return web.Response(body=b"".join(orjson.dumps(line) + b"\n" for line in lines))
        except (FormatError, StoreError) as error:
            response = self.service.build_error_response(error)
            return json_response(response.document, response.status)
        self.open_watches[watcher] = request
        try:
            return await self._stream(request, watcher, changed)
        finally:
            del self.open_watches[watcher]
            self.service.store.remove_watcher(watcher)

    async def _stream(self, request, watcher, changed):
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await response.write(orjson.dumps(self.service.created_document()) + b"\n")
        while True:
            await changed.wait()
            changed.clear()
            await asyncio.sleep(self.service.faults.slow_s)
            line = orjson.dumps(self.service.changes_document(watcher.take_changes()))
            await response.write(line + b"\n")

    def _schedule_expiry(self):
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
            self.expiry_timer = None
        at = self.service.store.next_expiry()
        if at != float("inf"):
            self.expiry_timer = asyncio.get_running_loop().call_at(at, self._expire)

    def _expire(self):
        self.service.store.expire(asyncio.get_running_loop().time())
        self._schedule_expiry()

    async def get_counts(self, request):
        """Handle ``GET /debug/counts``."""
        open_watches = len(self.open_watches)
        return json_response({**self.service.counts, "open_watches": open_watches})

    async def set_faults(self, request):
        """Handle ``POST /debug/faults``: update `KvFaults`; ``down`` closes the open watches."""
        self.service.faults.update(await read_json_object(request))
        if self.service.faults.down:
            for watch in self.open_watches.values():
                drop_connection(watch)
        return json_response({})


def main(
    listen: Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on; port 0 selects a free port")
    ] = "127.0.0.1:0",
):
    """Run the key-value stand-in."""
    serve("kv", KvHttp(KvService()).routes(), listen, handler_cancellation=True)


if __name__ == "__main__":
    cappa.invoke(main)
