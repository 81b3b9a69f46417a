"""Stand-in for a model engine: OpenAI-compatible completions, vLLM's adapter commands."""

import asyncio
import os
from typing import Annotated

import cappa
import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from medlarbeam.exceptions import FormatError
from medlarbeam.standins.engine_state import EngineOptions, EngineState, Refusal
from medlarbeam.standins.http import (
    TaskSet,
    answer_json,
    drop_connection,
    new_incarnation,
    read_document,
    require_type,
    serve,
    take_number,
)

__all__ = ["EngineHttp", "main"]

_CRASH_STATUS = 70
_FETCH_TIMEOUT_S = 60.0  # above any queue of the weight store that the tests build up


def _refuse(refusal):
    error = {"message": refusal.reason, "type": "refused", "code": refusal.status}
    return answer_json({"error": error}, refusal.status, {"X-Not-Run": "true"})


def _event(run, text, finish_reason=None):
    choice = {"index": 0, "text": text, "logprobs": None, "finish_reason": finish_reason}
    return {
        "id": run.run_id,
        "object": "text_completion",
        "model": run.label,
        "choices": [choice],
    }


def _read_fencing(request):
    text = request.headers.get("X-Fencing-Number")
    if text is None:
        return None
    if not text.isdecimal():
        raise FormatError(f"header X-Fencing-Number is {text!r}, expected a number")
    return int(text)


class EngineHttp:
    """HTTP layer of an engine.

    Parameters
    ----------
    state : EngineState
    weight_store : str
        ``ip:port``, or "" to load without fetching weights.
    token_delay_s : float
    """

    __slots__ = ("idle", "state", "tasks", "token_delay_s", "weight_store")

    def __init__(self, state, weight_store, token_delay_s):
        self.state = state
        self.weight_store = weight_store
        self.token_delay_s = token_delay_s
        self.idle = asyncio.Event()
        self.tasks = TaskSet()

    def routes(self):
        """Return the route table."""
        return [
            web.post("/v1/completions", self.post_completion),
            web.post("/v1/load_lora_adapter", self.post_load),
            web.post("/v1/unload_lora_adapter", self.post_unload),
            web.get("/v1/models", self.get_models),
            web.get("/load", self.get_load),
            web.get("/debug/journal", self.get_journal),
            web.post("/debug/faults", self.set_faults),
        ]

    def now(self):
        """Return the monotonic time (s)."""
        return asyncio.get_running_loop().time()

    async def post_load(self, request):
        """Answer ``POST /v1/load_lora_adapter``."""
        document = await read_document(request)
        model = require_type(document, "lora_name", str)
        source = require_type(document, "lora_path", str)
        residency = self.state.begin_load(model, source, _read_fencing(request))
        if isinstance(residency, Refusal):
            return _refuse(residency)
        # The load goes on when the caller closes the connection, as in a real engine.
        if not await self.tasks.finish(self._load(residency)):
            return _refuse(Refusal(500, f"the weights of {model!r} could not be loaded"))
        return web.Response(text=f"Success: LoRA adapter '{model}' added successfully.")

    async def _load(self, residency):
        fetched = await self._fetch(residency.source)
        return self.state.end_load(residency, fetched, self.now())

    async def _fetch(self, source):
        if not self.weight_store:
            return True
        url = f"http://{self.weight_store}/weights/{source.lstrip('/')}"
        try:
            async with ClientSession(timeout=ClientTimeout(total=_FETCH_TIMEOUT_S)) as session:
                async with session.get(url) as answer:
                    await answer.read()
                    return answer.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    async def post_unload(self, request):
        """Answer ``POST /v1/unload_lora_adapter``."""
        document = await read_document(request)
        model = require_type(document, "lora_name", str)
        refusal = self.state.unload(model, _read_fencing(request), self.now())
        if refusal is not None:
            return _refuse(refusal)
        return web.Response(text=f"Success: LoRA adapter '{model}' removed successfully.")

    async def post_completion(self, request):
        """Answer ``POST /v1/completions``."""
        document = await read_document(request)
        changed = asyncio.Event()
        run = self.state.begin_run(
            require_type(document, "model", str),
            require_type(document, "prompt", str),
            self.now(),
            max_tokens=max(1, require_type(document, "max_tokens", int, 16)),
            priority=require_type(document, "priority", int, 0),
            prefix=require_type(document, "continue_from", str, ""),
            wake=changed.set,
        )
        if isinstance(run, Refusal):
            return _refuse(run)
        try:
            if require_type(document, "stream", bool, False):
                return await self._stream(request, run, changed)
            return await self._answer_whole(request, run, changed)
        finally:
            self.state.cancel_run(run, self.now())
            if not self.state.runs:
                self.idle.set()

    async def _tokens(self, run, changed):
        while self.state.is_waiting(run):
            changed.clear()
            await changed.wait()
        changed.clear()
        while True:
            await self._wait_token_time(changed)
            token = self.state.next_token(run, self.now())
            if self.state.crashed:
                os._exit(_CRASH_STATUS)
            if token is None:
                return
            yield token

    async def _wait_token_time(self, changed):
        """Wait for the time of a token, or until the run is cut."""
        try:
            async with asyncio.timeout(self.token_delay_s):
                await changed.wait()
        except TimeoutError:
            pass

    async def _stream(self, request, run, changed):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for token in self._tokens(run, changed):
            await response.write(b"data: " + orjson.dumps(_event(run, token)) + b"\n\n")
        if not self.state.is_complete(run):
            drop_connection(request)
            return response
        reason = "length" if run.limited else "stop"
        await response.write(b"data: " + orjson.dumps(_event(run, "", reason)) + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _answer_whole(self, request, run, changed):
        text = "".join([token async for token in self._tokens(run, changed)])
        if not self.state.is_complete(run):
            return drop_connection(request)
        return answer_json(_event(run, text, "length" if run.limited else "stop"))

    async def get_models(self, request):
        """Answer ``GET /v1/models``."""
        data = [{"id": model, "object": "model"} for model in self.state.models()]
        return answer_json({"object": "list", "data": data})

    async def get_load(self, request):
        """Answer ``GET /load``."""
        return answer_json(self.state.report(self.now()))

    async def get_journal(self, request):
        """Answer ``GET /debug/journal?after=number``."""
        after = request.query.get("after", "0")
        if not after.isdecimal():
            raise FormatError(f"after is {after!r}, expected a number")
        return answer_json(self.state.journal_after(int(after)))

    async def set_faults(self, request):
        """Take ``{"fail_loads", "mislabel_runs": n, "token_delay_ms", "report_lag_ms": ms}``."""
        document = await read_document(request)
        state = self.state
        state.fail_loads = int(take_number(document, "fail_loads", state.fail_loads))
        state.mislabel_runs = int(take_number(document, "mislabel_runs", state.mislabel_runs))
        lag_ms = take_number(document, "report_lag_ms", state.reported.lag_s * 1000)
        state.reported.lag_s = lag_ms / 1000
        delay_ms = take_number(document, "token_delay_ms", self.token_delay_s * 1000)
        self.token_delay_s = delay_ms / 1000
        return answer_json({})

    async def drain(self):
        """Take no new work and wait for the runs in progress."""
        while self.state.leave():
            self.idle.clear()
            await self.idle.wait()


def main(
    listen: Annotated[str, cappa.Arg(long=True, help="ip:port, port 0 for any")] = "127.0.0.1:0",
    name: Annotated[str, cappa.Arg(long=True, help="name in the first line")] = "engine",
    slots: Annotated[int, cappa.Arg(long=True, help="adapters held at once")] = 4,
    concurrency: Annotated[int, cappa.Arg(long=True, help="runs in a batch")] = 8,
    fencing: Annotated[
        str, cappa.Arg(long=True, choices=["yes", "no"], help="refuse old fencing numbers")
    ] = "no",
    crash_word: Annotated[str, cappa.Arg(long=True, help="word that crashes the engine")] = "",
    answer_length: Annotated[int, cappa.Arg(long=True, help="tokens of an answer")] = 12,
    token_delay_ms: Annotated[float, cappa.Arg(long=True, help="time of a token")] = 2.0,
    report_lag_ms: Annotated[float, cappa.Arg(long=True, help="age of the load report")] = 0.0,
    weight_store: Annotated[str, cappa.Arg(long=True, help="ip:port, empty for none")] = "",
    incarnation: Annotated[str, cappa.Arg(long=True, help="default: from the process id")] = "",
):
    """Run the engine stand-in."""
    options = EngineOptions(
        slots=slots,
        concurrency=concurrency,
        fencing=fencing == "yes",
        crash_word=crash_word,
        answer_length=answer_length,
        report_lag_s=report_lag_ms / 1000,
    )
    state = EngineState(options, incarnation or new_incarnation())
    layer = EngineHttp(state, weight_store, token_delay_ms / 1000)
    serve(name, layer.routes(), listen, layer.drain, handler_cancellation=True)


if __name__ == "__main__":
    cappa.invoke(main)
