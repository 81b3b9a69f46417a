"""Gateways in front of engines that read prompts between the tokens of their streams."""

from collections import deque

from medlarbeam.classes.fleet import AdapterKey, EngineState, OrderRight, RouteKind
from medlarbeam.classes.gateway_effects import FetchEngineState, RenewLease
from medlarbeam.classes.gateway_messages import (
    GatewayRequest,
    LeaseRenewed,
    RunCompleted,
    RunStarted,
    StoreSynced,
)
from medlarbeam.classes.server_messages import EngineStateResult
from medlarbeam.classes.stream_timing import StreamTiming
from medlarbeam.gateway.tests.crash_fleet import CrashFleet
from medlarbeam.gateway.tests.fleet_samples import make_config, make_route, make_server

STEP_S = 0.0068
STEP_PER_RUN_S = 0.00003
CHUNK_TOKENS = 2048  # most prompt tokens that are read in one step
EVENT_TOKENS = 4
MEAN_PROMPT_TOKENS = 1100
MAX_PROMPT_TOKENS = 3800
MEAN_EVENTS = 40
CONCURRENCY = 256
GOAL_S = 0.8  # latency goal of the route
PAUSE_S = 0.3  # longest pause that the route allows


class BatchRun:
    """A run of an engine: prompt tokens to read, and tokens to generate."""

    __slots__ = ("effect", "gateway", "left_tokens", "timing", "unread")

    def __init__(self, effect, gateway, unread, left_tokens, now):
        self.effect = effect
        self.gateway = gateway
        self.unread = unread
        self.left_tokens = left_tokens
        self.timing = StreamTiming(now)


class BatchingEngine:
    """Prompts that an engine has to read, in order, and the runs that generate tokens."""

    __slots__ = ("is_stepping", "prompts", "running", "tokens_per_s")

    def __init__(self, tokens_per_s):
        self.tokens_per_s = tokens_per_s
        self.prompts = deque()
        self.running = []
        self.is_stepping = False


class BatchingFleet(CrashFleet):
    """A `CrashFleet` whose engines batch, each with an adapter of its own.

    Parameters
    ----------
    tokens_per_s : float
        Prompt tokens that an engine reads in a second.

    Attributes
    ----------
    timings : dict of str to StreamTiming
        Timings of the last run of each request by its id.
    """

    __slots__ = ("adapters", "batches", "shapes", "timings", "tokens_per_s")

    def __init__(self, seed, tokens_per_s=22_000.0, **options):
        self.tokens_per_s = tokens_per_s
        self.batches = {}
        self.adapters = {f"w{i}": AdapterKey("m0", f"a{i}") for i in range(options["engines"])}
        self.shapes = {}
        self.timings = {}
        super().__init__(seed, **options)
        route = make_route("chat", RouteKind.STREAM, "llm", resumable=True)
        route.latency_goal_s, route.gap_goal_s = GOAL_S, PAUSE_S
        self.write_entry("op/config", make_config(2, [route]))
        for index, name in enumerate(list(self.engines)):
            holder = list(self.gateways)[index % len(self.gateways)]
            self.write_entry(f"right/{name}", OrderRight(name, holder, 3))

    def _register(self, entry):
        server = make_server(entry.name, "llm", adapters=(self.adapters[entry.name],))
        server.concurrency = CONCURRENCY  # no request is diverted for the number of runs
        super()._register(server)

    def _handlers(self):
        return {
            **super()._handlers(),
            FetchEngineState: self._fetch_state,
            RenewLease: self._renew_lease,
        }

    def _renew_lease(self, name, effect):
        self.call_at(self.now + 0.004, self.deliver, name, LeaseRenewed(self.now, False, 0))
        self.call_at(self.now + 0.004, self.deliver, name, StoreSynced(self.now))

    def _fetch_state(self, name, effect):
        state = EngineState(0, ["m0"], {self.adapters[effect.server.name]: 1}, {}, False)
        result = EngineStateResult(effect.server.name, state, "")
        self.call_at(self.now + 0.002, self.deliver, name, result)

    def schedule_prompts(self, start, end, tokens_per_s):
        """Schedule streams with `tokens_per_s` of prompts in the mean, in small groups."""
        rng, at = self.rng, start
        while (at := at + rng.expovariate(tokens_per_s / MEAN_PROMPT_TOKENS / 2)) < end:
            for _ in range(rng.choice((1, 2, 3))):
                self.call_at(at, self.send_prompt, f"r{next(self.serial)}")

    def send_prompt(self, request_id):
        """Send a stream with a prompt of random length to a random gateway."""
        tokens = min(MAX_PROMPT_TOKENS, 100 + int(self.rng.expovariate(1 / MEAN_PROMPT_TOKENS)))
        self.shapes[request_id] = (tokens, 1 + int(self.rng.expovariate(1 / MEAN_EVENTS)))
        self.sent[request_id] = self.now
        request = GatewayRequest(
            request_id,
            request_id,
            "host",
            "/chat/x",
            self.now + 5.0,
            self.rng.choice(list(self.adapters.values())),
            tokens + 100,
            len(self.sent),
            prompt_tokens=tokens,
        )
        self.deliver(self.rng.choice(list(self.gateways)), request)

    def _start_run(self, name, effect):
        batch = self.batches.setdefault(effect.server.name, BatchingEngine(self.tokens_per_s))
        tokens, events = self.shapes[effect.request_id]
        run = BatchRun(effect, name, tokens, events * EVENT_TOKENS, self.now)
        self.timings[effect.request_id] = run.timing
        batch.prompts.append(run)
        if not batch.is_stepping:
            self._step(batch)

    def _step(self, batch):
        batch.is_stepping = bool(batch.prompts or batch.running)
        if not batch.is_stepping:
            return
        chunk, read = CHUNK_TOKENS, []
        while batch.prompts and chunk:
            run = batch.prompts[0]
            tokens = min(chunk, run.unread)
            run.unread -= tokens
            chunk -= tokens
            if not run.unread:
                read.append(batch.prompts.popleft())
        step_s = STEP_S + STEP_PER_RUN_S * len(batch.running)
        step_s += (CHUNK_TOKENS - chunk) / batch.tokens_per_s
        self.call_at(self.now + step_s, self._end_step, batch, read)

    def _end_step(self, batch, read):
        for run in list(batch.running):
            run.left_tokens -= 1
            if run.left_tokens % EVENT_TOKENS == 0:
                self._pass_event(batch, run)
        batch.running += read
        self._step(batch)

    def _pass_event(self, batch, run):
        is_first = run.timing.first_event_s is None
        run.timing.record_event(0, self.now)
        if is_first:
            self.deliver(run.gateway, RunStarted(run.effect.run_id, None))
        if not run.left_tokens:
            batch.running.remove(run)
            self.deliver(run.gateway, RunCompleted(run.effect.run_id, 200, None, run.timing))

    def measure(self, since):
        """Return the share of the streams since `since` (s) that were in time, without a pause."""
        names = [name for name, at in self.sent.items() if at >= since]
        return sum(1 for name in names if self._is_in_time(name)) / len(names)

    def _is_in_time(self, name):
        timing = self.timings.get(name)
        if timing is None or timing.first_event_s is None:
            return False
        first_at = timing.started_at + timing.first_event_s
        return first_at <= self.sent[name] + GOAL_S and timing.longest_pause_s <= PAUSE_S
