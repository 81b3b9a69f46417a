"""Stand-in for the platform's key-value service: a subset of etcd v3's JSON gateway."""

import asyncio
from functools import partial
from typing import Annotated

import cappa
import orjson
from aiohttp import web

from medlarbeam.exceptions import FormatError
from medlarbeam.standins.http import TaskSet, answer_json, drop_connection, read_document, serve
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
    """HTTP layer of the key-value service.

    Notes
    -----
    Leases run out by a timer, so that watchers are told without a call.
    """

    __slots__ = ("open_watches", "service", "tasks", "timer")

    def __init__(self, service):
        self.service = service
        self.open_watches = {}  # request by watcher
        self.tasks = TaskSet()
        self.timer = None

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
        """Answer a call of `kind`; a caller that has gone doesn't stop it."""
        document = await read_document(request)
        reply = await self.tasks.finish(self._call_slowly(kind, document))
        if reply.lost or self.service.faults.down:
            return drop_connection(request)
        return answer_json(reply.document, reply.status)

    async def _call_slowly(self, kind, document):
        delay_s = self.service.faults.slow_s
        await asyncio.sleep(delay_s / 2)
        reply = self.service.call(kind, document, asyncio.get_running_loop().time())
        self._arm_timer()
        await asyncio.sleep(delay_s / 2)
        return reply

    async def watch(self, request):
        """Answer ``POST /v3/watch`` with a stream of JSON documents, one a line."""
        document = await read_document(request)
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
            reply = self.service.refuse(error)
            return answer_json(reply.document, reply.status)
        self.open_watches[watcher] = request
        try:
            return await self._stream(request, watcher, changed)
        finally:
            del self.open_watches[watcher]
            self.service.store.unwatch(watcher)

    async def _stream(self, request, watcher, changed):
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await response.write(orjson.dumps(self.service.created_document()) + b"\n")
        while True:
            await changed.wait()
            changed.clear()
            await asyncio.sleep(self.service.faults.slow_s)
            line = orjson.dumps(self.service.changes_document(watcher.take()))
            await response.write(line + b"\n")

    def _arm_timer(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at = self.service.store.next_expiry()
        if at != float("inf"):
            self.timer = asyncio.get_running_loop().call_at(at, self._expire)

    def _expire(self):
        self.service.store.expire(asyncio.get_running_loop().time())
        self._arm_timer()

    async def get_counts(self, request):
        """Answer ``GET /debug/counts``."""
        open_watches = len(self.open_watches)
        return answer_json({**self.service.counts, "open_watches": open_watches})

    async def set_faults(self, request):
        """Take the fields of `KvFaults`; going down breaks the open watches."""
        self.service.faults.update(await read_document(request))
        if self.service.faults.down:
            for watch in self.open_watches.values():
                drop_connection(watch)
        return answer_json({})


def main(
    listen: Annotated[str, cappa.Arg(long=True, help="ip:port, port 0 for any")] = "127.0.0.1:0",
):
    """Run the key-value stand-in."""
    serve("kv", KvHttp(KvService()).routes(), listen, handler_cancellation=True)


if __name__ == "__main__":
    cappa.invoke(main)
