"""Test helper that reads a streamed completion in the background and checks it."""

import asyncio

import orjson
from aiohttp import ClientError

from medlarbeam.standins.engine_text import completion_tokens

__all__ = ["CompletionStream", "check_all_complete", "wait_all_started"]


class CompletionStream:
    """A streaming request that starts with the object; `done` is set by ``[DONE]``."""

    __slots__ = (
        *("chunks", "cluster", "connection_lost", "done", "error", "expected_text"),
        *("models", "node", "payload", "server", "task"),
    )

    def __init__(self, cluster, node, model, prompt, length):
        self.cluster = cluster
        self.node = node
        self.payload = {"model": model, "prompt": prompt, "stream": True}
        self.expected_text = "".join(completion_tokens(model, prompt, length))
        self.connection_lost = self.done = False
        self.error = None
        self.models = set()
        self.chunks = []
        self.server = ""
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        url = f"http://{self.cluster.addresses[self.node]}/v1/completions"
        try:
            async with self.cluster.session.post(url, json=self.payload) as response:
                self.server = response.headers.get("X-Backend-Server", "")
                if response.status != 200:
                    self.error = orjson.loads(await response.read())["error"]
                    return
                async for line in response.content:
                    self._parse_line(line)
        except ClientError:
            self.connection_lost = True

    def _parse_line(self, line):
        if line.startswith(b"data: [DONE]"):
            self.done = True
        elif line.startswith(b"data: "):
            payload = orjson.loads(line[len(b"data: ") :])
            if "error" in payload:
                self.error = payload["error"]
                return
            self.models.add(payload["model"])
            self.chunks.append(payload["choices"][0]["text"])

    async def wait_started(self):
        """Wait until at least 3 chunks have arrived, and check that the stream has not ended."""

        async def probe():
            return len(self.chunks) >= 3 or self.task.done()

        await self.cluster.wait_until(probe, f"first chunks of a stream through {self.node}")
        assert not self.task.done(), f"stream ended early: {self.describe()}"

    async def check_complete(self):
        """Check that the stream delivered exactly the expected text and ended with ``[DONE]``."""
        await self.task
        assert self.done and not self.connection_lost, self.describe()
        assert "".join(self.chunks) == self.expected_text, self.describe()
        assert self.models == {self.payload["model"]}, self.describe()

    async def check_interrupted(self):
        """Check that the stream ended with an error after a prefix of the expected text."""
        await self.task
        assert not self.done and (self.connection_lost or self.error), self.describe()
        assert self.expected_text.startswith("".join(self.chunks)), self.describe()

    def describe(self):
        text = "".join(self.chunks)
        request = f"through {self.node} at {self.server}, {self.payload}"
        return (
            f"{request}: error {self.error}, connection lost {self.connection_lost}, "
            f"done {self.done}, text {text!r}\nexpected text {self.expected_text!r}"
        )


async def check_all_complete(streams):
    for stream in streams:
        await stream.check_complete()


async def wait_all_started(streams):
    for stream in streams:
        await stream.wait_started()
