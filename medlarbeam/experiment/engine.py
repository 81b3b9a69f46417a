"""Simulated inference engine with continuous batching."""

from medlarbeam.classes.messages import (
    EngineChunk,
    EngineEnd,
    EngineFailure,
    EngineReport,
    LoadResult,
    UnloadResult,
)
from medlarbeam.classes.peer_messages import ModelCount
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.standins.lagged_value import LaggedValue

__all__ = ["TOKEN", "Delivery", "EngineRun", "TimedEngine"]

TOKEN = "w "


class Delivery:
    """A message addressed to the node named `node`."""

    __slots__ = ("message", "node")

    def __init__(self, node, message):
        self.node = node
        self.message = message


class EngineRun:
    """A run in the batch of an engine.

    Parameters
    ----------
    node : str
        Name of the node that started it.
    effect : RunOnServer
    """

    __slots__ = ("effect", "node", "prefill_remaining", "sent", "tokens")

    def __init__(self, node, effect):
        generated = len(effect.prefix) // len(TOKEN)
        self.node = node
        self.effect = effect
        self.prefill_remaining = effect.request.prompt_tokens + generated
        self.tokens = min(effect.request.answer_tokens, effect.request.max_tokens) - generated
        self.sent = 0


class TimedEngine:
    """State of an engine; the driver calls `begin_step` and `end_step` at the simulated times.

    Parameters
    ----------
    server : BackendServer
    spec : Engine

    Attributes
    ----------
    steps, step_runs, tokens, loads, evictions, evicted_in_use : int
        Cumulative counters, read by the driver.
    """

    __slots__ = (
        "evicted_in_use",
        "evictions",
        "incarnation",
        "loads",
        "reported_state",
        "resident",
        "runs",
        "server",
        "spec",
        "step_runs",
        "stepping",
        "steps",
        "tokens",
    )

    def __init__(self, server, spec):
        self.server = server
        self.spec = spec
        self.incarnation = 1
        self.resident = set()
        self.runs = {}
        self.stepping = False
        self.reported_state = LaggedValue(self._build_report(), spec.report_lag_s)
        self.steps = self.step_runs = self.tokens = 0
        self.loads = self.evictions = self.evicted_in_use = 0

    def _build_report(self):
        counts = {}
        for run in self.runs.values():
            counts[run.effect.model] = counts.get(run.effect.model, 0) + 1
        running = [ModelCount(self.server.name, m, n) for m, n in sorted(counts.items())]
        name = self.server.name
        return EngineReport(name, 0.0, str(self.incarnation), sorted(self.resident), running)

    def _record_state(self, now):
        self.reported_state.record(self._build_report(), now)

    # Runs

    def add_run(self, node, effect, now):
        """Add a run to the batch; return None, or the `Failure` if it is refused."""
        if effect.model not in self.resident:
            return Failure(ErrorKind.SERVER_REFUSED, f"{effect.model} is not loaded")
        self.runs[effect.run_id] = EngineRun(node, effect)
        self._record_state(now)
        return None

    def cancel(self, run_id, now):
        """Remove a run from the batch, if it is still in it."""
        if self.runs.pop(run_id, None) is not None:
            self._record_state(now)

    def begin_step(self):
        """Start the next step with all current runs.

        Returns
        -------
        float
            Duration of the step (s), 0 if there are no runs.
        """
        if not self.runs:
            self.stepping = False
            return 0.0
        self.stepping = True
        batch = list(self.runs.values())
        prefill_budget = self.spec.prefill_tokens
        # The prefill budget goes to runs of higher rank first, as engines honor priorities.
        for run in sorted(batch, key=lambda r: r.effect.request.rank):
            prefilled = min(prefill_budget, run.prefill_remaining)
            run.prefill_remaining -= prefilled
            prefill_budget -= prefilled
        self.steps += 1
        self.step_runs += len(batch)
        spec = self.spec
        adapters = len({run.effect.model for run in batch})
        fixed_s = spec.step_s + spec.run_step_s * len(batch) + spec.adapter_step_s * adapters
        return fixed_s + spec.prefill_token_s * (spec.prefill_tokens - prefill_budget)

    def end_step(self, started, now):
        """Return the list of `Delivery` produced by a step that began with the runs `started`."""
        deliveries = []
        for run_id in started:
            run = self.runs.get(run_id)
            if run is None or run.prefill_remaining:
                continue
            model = run.effect.model
            if run.tokens > 0:
                self.tokens += 1
                chunk = EngineChunk(run_id, run.sent, TOKEN, model)
                deliveries.append(Delivery(run.node, chunk))
                run.sent += 1
            if run.sent >= run.tokens:
                del self.runs[run_id]
                deliveries.append(Delivery(run.node, EngineEnd(run_id, run.sent, model)))
                self._record_state(now)
        return deliveries

    def restart(self, now):
        """Restart without adapters; return a list with a `Delivery` for each broken connection."""
        lost = Failure(ErrorKind.SERVER_LOST, "the connection to the engine was lost")
        broken = [Delivery(r.node, EngineFailure(i, lost)) for i, r in self.runs.items()]
        self.incarnation += 1
        self.resident.clear()
        self.runs.clear()
        # The reporting delay starts anew: a new process has no earlier state to report.
        self.reported_state = LaggedValue(self._build_report(), self.spec.report_lag_s)
        return broken

    # Adapters

    def load(self, effect, incarnation, now):
        """Complete a load ordered from the incarnation `incarnation`; return the `LoadResult`."""
        failure = None
        if incarnation != self.incarnation:
            failure = Failure(ErrorKind.SERVER_REFUSED, "the engine restarted during the load")
        elif len(self.resident) >= self.server.slots and effect.model not in self.resident:
            failure = Failure(ErrorKind.SERVER_REFUSED, "no free adapter slot")
        else:
            self.loads += 1
            self.resident.add(effect.model)
            self._record_state(now)
        return LoadResult(self.server.name, effect.model, failure)

    def unload(self, effect, now):
        """Unload a model; return the `UnloadResult`."""
        self.evicted_in_use += any(r.effect.model == effect.model for r in self.runs.values())
        self.evictions += 1
        self.resident.discard(effect.model)
        self._record_state(now)
        return UnloadResult(self.server.name, effect.model)

    def report(self, requested_at, now):
        """Return the `EngineReport` of the state one report lag before `now` (s)."""
        old = self.reported_state.read(now)
        return EngineReport(
            old.server, requested_at, old.incarnation, list(old.resident), list(old.running)
        )
