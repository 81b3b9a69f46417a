"""A streamed completion that is read in the background, for tests."""

import asyncio

import orjson
from aiohttp import ClientError

from medlarbeam.standins.engine_text import answer_tokens

__all__ = ["AnswerStream", "begin_all", "check_all"]


class AnswerStream:
    """Reads a stream from its start on; `done` means that ``[DONE]`` came."""

    __slots__ = (
        *("broken", "cluster", "document", "done", "error", "expected"),
        *("models", "node", "pieces", "server", "task"),
    )

    def __init__(self, cluster, node, model, prompt, length):
        self.cluster = cluster
        self.node = node
        self.document = {"model": model, "prompt": prompt, "stream": True}
        self.expected = "".join(answer_tokens(model, prompt, length))
        self.broken = self.done = False
        self.error = None
        self.models = set()
        self.pieces = []
        self.server = ""
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        url = f"http://{self.cluster.addresses[self.node]}/v1/completions"
        try:
            async with self.cluster.session.post(url, json=self.document) as answer:
                self.server = answer.headers.get("X-Backend-Server", "")
                if answer.status != 200:
                    self.error = orjson.loads(await answer.read())["error"]
                    return
                async for line in answer.content:
                    self._take_line(line)
        except ClientError:
            self.broken = True

    def _take_line(self, line):
        if line.startswith(b"data: [DONE]"):
            self.done = True
        elif line.startswith(b"data: "):
            document = orjson.loads(line[len(b"data: ") :])
            if "error" in document:
                self.error = document["error"]
                return
            self.models.add(document["model"])
            self.pieces.append(document["choices"][0]["text"])

    async def wait_begun(self):
        """Wait until some pieces have arrived."""

        async def probe():
            return len(self.pieces) >= 3 or self.task.done()

        await self.cluster.wait_until(probe, f"a stream through {self.node}")
        assert not self.task.done(), f"the stream ended too early: {self.describe()}"

    async def check_whole(self):
        """Check that the whole answer came, and nothing else."""
        await self.task
        assert self.done and not self.broken, self.describe()
        assert "".join(self.pieces) == self.expected, self.describe()
        assert self.models == {self.document["model"]}, self.describe()

    async def check_cut(self):
        """Check that the stream ended visibly, with the beginning of its own answer only."""
        await self.task
        assert not self.done and (self.broken or self.error), self.describe()
        assert self.expected.startswith("".join(self.pieces)), self.describe()

    def describe(self):
        text = "".join(self.pieces)
        place = f"through {self.node} at {self.server}, {self.document}"
        return f"{place}: {self.error} {self.broken} {self.done} {text!r}\n{self.expected!r}"


async def check_all(streams):
    for answer in streams:
        await answer.check_whole()


async def begin_all(streams):
    for answer in streams:
        await answer.wait_begun()
