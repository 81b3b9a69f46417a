"""Stand-in for a model engine with OpenAI's completions API and vLLM's adapter endpoints."""

import asyncio
import os
from typing import Annotated

import cappa
import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from medlarbeam.exceptions import FormatError
from medlarbeam.standins.engine_state import EngineOptions, EngineState, Rejection
from medlarbeam.standins.http import (
    DetachedTasks,
    drop_connection,
    json_response,
    new_incarnation,
    read_field,
    read_json_object,
    read_non_negative,
    serve,
)

__all__ = ["EngineHttp", "main"]

_CRASH_STATUS = 70
_FETCH_TIMEOUT_S = 60.0  # longer than any queueing delay at the weight store in the tests


def _rejection_response(rejection):
    error = {"message": rejection.reason, "type": "refused", "code": rejection.status}
    return json_response({"error": error}, rejection.status, {"X-Not-Run": "true"})


def _build_completion(run, text, finish_reason=None):
    choice = {"index": 0, "text": text, "logprobs": None, "finish_reason": finish_reason}
    return {
        "id": run.run_id,
        "object": "text_completion",
        "model": run.reported_model,
        "choices": [choice],
    }


def _read_fencing_token(request):
    text = request.headers.get("X-Fencing-Number")
    if text is None:
        return None
    if not text.isdecimal():
        raise FormatError(f"header X-Fencing-Number is {text!r}, expected a non-negative integer")
    return int(text)


class EngineHttp:
    """HTTP server of an engine.

    Parameters
    ----------
    state : EngineState
    weight_store : str
        ``ip:port``, or "" to load adapters without fetching weights.
    token_delay_s : float
        Time to generate one token (s).
    """

    __slots__ = ("idle", "state", "tasks", "token_delay_s", "weight_store")

    def __init__(self, state, weight_store, token_delay_s):
        self.state = state
        self.weight_store = weight_store
        self.token_delay_s = token_delay_s
        self.idle = asyncio.Event()
        self.tasks = DetachedTasks()

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
        """Handle ``POST /v1/load_lora_adapter``."""
        document = await read_json_object(request)
        model = read_field(document, "lora_name", str)
        source = read_field(document, "lora_path", str)
        residency = self.state.begin_load(model, source, _read_fencing_token(request))
        if isinstance(residency, Rejection):
            return _rejection_response(residency)
        # As in a real engine, the load continues if the caller disconnects.
        if not await self.tasks.run_shielded(self._load(residency)):
            return _rejection_response(Rejection(500, f"failed to load the weights of {model!r}"))
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
                async with session.get(url) as response:
                    await response.read()
                    return response.status == 200
        except (ClientError, TimeoutError, OSError):
            return False

    async def post_unload(self, request):
        """Handle ``POST /v1/unload_lora_adapter``."""
        document = await read_json_object(request)
        model = read_field(document, "lora_name", str)
        rejection = self.state.unload(model, _read_fencing_token(request), self.now())
        if rejection is not None:
            return _rejection_response(rejection)
        return web.Response(text=f"Success: LoRA adapter '{model}' removed successfully.")

    async def post_completion(self, request):
        """Handle ``POST /v1/completions``."""
        document = await read_json_object(request)
        changed = asyncio.Event()
        run = self.state.begin_run(
            read_field(document, "model", str),
            read_field(document, "prompt", str),
            self.now(),
            max_tokens=max(1, read_field(document, "max_tokens", int, 16)),
            priority=read_field(document, "priority", int, 0),
            prefix=read_field(document, "continue_from", str, ""),
            callback=changed.set,
        )
        if isinstance(run, Rejection):
            return _rejection_response(run)
        try:
            if read_field(document, "stream", bool, False):
                return await self._stream(request, run, changed)
            return await self._respond_whole(request, run, changed)
        finally:
            self.state.cancel_run(run, self.now())
            if not self.state.runs:
                self.idle.set()

    async def _generate_tokens(self, run, changed):
        while self.state.is_waiting(run):
            changed.clear()
            await changed.wait()
        changed.clear()
        while True:
            await self._wait_token_delay(changed)
            token = self.state.next_token(run, self.now())
            if self.state.crashed:
                os._exit(_CRASH_STATUS)
            if token is None:
                return
            yield token

    async def _wait_token_delay(self, changed):
        """Wait for the duration of one token, or until the run ends early."""
        try:
            async with asyncio.timeout(self.token_delay_s):
                await changed.wait()
        except TimeoutError:
            pass

    async def _stream(self, request, run, changed):
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        async for token in self._generate_tokens(run, changed):
            await response.write(b"data: " + orjson.dumps(_build_completion(run, token)) + b"\n\n")
        if not self.state.is_completed(run):
            drop_connection(request)
            return response
        reason = "length" if run.length_limited else "stop"
        await response.write(b"data: " + orjson.dumps(_build_completion(run, "", reason)) + b"\n\n")
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _respond_whole(self, request, run, changed):
        text = "".join([token async for token in self._generate_tokens(run, changed)])
        if not self.state.is_completed(run):
            return drop_connection(request)
        return json_response(
            _build_completion(run, text, "length" if run.length_limited else "stop")
        )

    async def get_models(self, request):
        """Handle ``GET /v1/models``."""
        data = [{"id": model, "object": "model"} for model in self.state.models()]
        return json_response({"object": "list", "data": data})

    async def get_load(self, request):
        """Handle ``GET /load``."""
        return json_response(self.state.report(self.now()))

    async def get_journal(self, request):
        """Handle ``GET /debug/journal?after=number``."""
        after = request.query.get("after", "0")
        if not after.isdecimal():
            raise FormatError(f"parameter 'after' is {after!r}, expected a non-negative integer")
        return json_response(self.state.journal_after(int(after)))

    async def set_faults(self, request):
        """Handle ``POST /debug/faults``.

        Notes
        -----
        Every field of the body is optional: ``fail_loads`` and ``mislabel_runs`` are the numbers
        of loads to fail and of runs to report under another model, ``token_delay_ms`` and
        ``report_lag_ms`` replace the settings of the same names.
        """
        document = await read_json_object(request)
        state = self.state
        state.fail_loads = int(read_non_negative(document, "fail_loads", state.fail_loads))
        state.mislabel_runs = int(read_non_negative(document, "mislabel_runs", state.mislabel_runs))
        lag_ms = read_non_negative(document, "report_lag_ms", state.load_report.lag_s * 1000)
        state.load_report.lag_s = lag_ms / 1000
        delay_ms = read_non_negative(document, "token_delay_ms", self.token_delay_s * 1000)
        self.token_delay_s = delay_ms / 1000
        return json_response({})

    async def drain(self):
        """Reject new work and wait until no run is open."""
        while self.state.begin_drain():
            self.idle.clear()
            await self.idle.wait()


def main(
    listen: Annotated[
        str, cappa.Arg(long=True, help="ip:port to listen on; port 0 selects a free port")
    ] = "127.0.0.1:0",
    name: Annotated[str, cappa.Arg(long=True, help="name printed in the start-up line")] = "engine",
    slots: Annotated[int, cappa.Arg(long=True, help="maximum number of loaded adapters")] = 4,
    concurrency: Annotated[
        int, cappa.Arg(long=True, help="maximum number of runs in the batch")
    ] = 8,
    fencing: Annotated[
        str,
        cappa.Arg(long=True, choices=["yes", "no"], help="reject outdated fencing tokens"),
    ] = "no",
    crash_word: Annotated[
        str, cappa.Arg(long=True, help="word in a prompt that crashes the engine; empty for none")
    ] = "",
    answer_length: Annotated[
        int, cappa.Arg(long=True, help="length of a completion in tokens")
    ] = 12,
    token_delay_ms: Annotated[
        float, cappa.Arg(long=True, help="time to generate one token (ms)")
    ] = 2.0,
    report_lag_ms: Annotated[float, cappa.Arg(long=True, help="age of the load report (ms)")] = 0.0,
    weight_store: Annotated[
        str, cappa.Arg(long=True, help="ip:port of the weight store; empty to fetch no weights")
    ] = "",
    incarnation: Annotated[
        str, cappa.Arg(long=True, help="identifier of this start; generated when empty")
    ] = "",
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
    http_server = EngineHttp(state, weight_store, token_delay_ms / 1000)
    serve(name, http_server.routes(), listen, http_server.drain, handler_cancellation=True)


if __name__ == "__main__":
    cappa.invoke(main)
