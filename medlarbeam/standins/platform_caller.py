"""Stand-in for the callers of one gateway, who send requests at given times."""

import asyncio
from collections import Counter

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

__all__ = ["PlatformCaller"]

DEADLINE_S = 5.0


class PlatformCaller:
    """Sends requests to a gateway and counts the statuses of the responses.

    Parameters
    ----------
    front_address : str

    Attributes
    ----------
    statuses : collections.Counter
        Number of responses by status, ``error`` for none.
    """

    __slots__ = ("front_address", "statuses", "tasks")

    def __init__(self, front_address):
        self.front_address = front_address
        self.statuses = Counter()
        self.tasks = set()

    async def run(self, requests, begin):
        """Send requests, each at its time after `begin` (s, of the loop); wait for the last one.

        Parameters
        ----------
        requests : list of tuple
            ``(time, GatewayRequest)``.
        begin : float
        """
        loop = asyncio.get_running_loop()
        timeout = ClientTimeout(total=DEADLINE_S + 1.0)
        async with ClientSession(timeout=timeout, connector=TCPConnector(limit=0)) as session:
            for at, request in requests:
                await asyncio.sleep(max(0.0, begin + at - loop.time()))
                task = asyncio.create_task(self._call(session, request))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.gather(*self.tasks)

    async def _call(self, session, request):
        url = f"http://{self.front_address}{request.path}"
        try:
            async with session.post(url, headers=build_headers(request), data=b"order") as response:
                await response.read()
                self.statuses[str(response.status)] += 1
        except (ClientError, TimeoutError):
            self.statuses["error"] += 1


def build_headers(request):
    """Return the headers of a `GatewayRequest` as its caller sends them."""
    headers = {
        "Host": request.host,
        "X-Attempt-Id": request.attempt_id,
        "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    if request.key is not None:
        parts = [*request.shared_parts, f"{int(request.request_id[1:]):08x}"]
        headers["X-Model"] = f"{request.key.model}/{request.key.adapter}"
        headers["X-Token-Usage"] = f"{request.prompt_tokens},{request.tokens}"
        headers["X-Prompt-Prefix"] = ",".join(f"{part}:100" for part in parts)
    return headers
