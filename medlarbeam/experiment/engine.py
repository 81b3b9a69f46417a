"""Engine with continuous batching, in simulated time."""

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
from medlarbeam.standins.history import LaggedValue

__all__ = ["TOKEN", "Delivery", "EngineRun", "TimedEngine"]

TOKEN = "w "


class Delivery:
    """A message to the node called `node`."""

    __slots__ = ("message", "node")

    def __init__(self, node, message):
        self.node = node
        self.message = message


class EngineRun:
    """A run in the batch.

    Parameters
    ----------
    node : str
        Node that started it.
    effect : RunOnServer
    """

    __slots__ = ("effect", "node", "prefill_left", "sent", "tokens")

    def __init__(self, node, effect):
        given = len(effect.prefix) // len(TOKEN)
        self.node = node
        self.effect = effect
        self.prefill_left = effect.request.prompt_tokens + given
        self.tokens = min(effect.request.answer_tokens, effect.request.max_tokens) - given
        self.sent = 0


class TimedEngine:
    """State of an engine; the driver calls `begin_step` and `end_step` at their times.

    Parameters
    ----------
    server : BackendServer
    spec : Engine

    Attributes
    ----------
    steps, step_runs, tokens, loads, evictions, evicted_in_use : int
        Totals for the measures.
    """

    __slots__ = (
        "evicted_in_use",
        "evictions",
        "incarnation",
        "lagged",
        "loads",
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
        self.lagged = LaggedValue(self._take_state(), spec.report_lag_s)
        self.steps = self.step_runs = self.tokens = 0
        self.loads = self.evictions = self.evicted_in_use = 0

    def _take_state(self):
        counts = {}
        for run in self.runs.values():
            counts[run.effect.model] = counts.get(run.effect.model, 0) + 1
        running = [ModelCount(self.server.name, m, n) for m, n in sorted(counts.items())]
        name = self.server.name
        return EngineReport(name, 0.0, str(self.incarnation), sorted(self.resident), running)

    def _note(self, now):
        self.lagged.record(self._take_state(), now)

    # Runs

    def begin(self, node, effect, now):
        """Add a run to the batch; return None, or the `Failure` if it is refused."""
        if effect.model not in self.resident:
            return Failure(ErrorKind.SERVER_REFUSED, f"{effect.model} is not loaded")
        self.runs[effect.run_id] = EngineRun(node, effect)
        self._note(now)
        return None

    def cancel(self, run_id, now):
        """Drop a run."""
        if self.runs.pop(run_id, None) is not None:
            self._note(now)

    def begin_step(self):
        """Take the batch of the next step.

        Returns
        -------
        float
            Duration of the step (s), 0 if there is nothing to do.
        """
        if not self.runs:
            self.stepping = False
            return 0.0
        self.stepping = True
        batch = list(self.runs.values())
        room = self.spec.prefill_tokens
        # Engines honour priorities: prompts of a higher rank are read first.
        for run in sorted(batch, key=lambda r: r.effect.request.rank):
            taken = min(room, run.prefill_left)
            run.prefill_left -= taken
            room -= taken
        self.steps += 1
        self.step_runs += len(batch)
        spec = self.spec
        adapters = len({run.effect.model for run in batch})
        fixed_s = spec.step_s + spec.run_step_s * len(batch) + spec.adapter_step_s * adapters
        return fixed_s + spec.prefill_token_s * (spec.prefill_tokens - room)

    def end_step(self, started, now):
        """Return the list of `Delivery` that a step of the runs `started` made."""
        deliveries = []
        for run_id in started:
            run = self.runs.get(run_id)
            if run is None or run.prefill_left:
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
                self._note(now)
        return deliveries

    def restart(self, now):
        """Restart cold; return the list of `Delivery` of broken connections."""
        lost = Failure(ErrorKind.SERVER_LOST, "the connection broke")
        broken = [Delivery(r.node, EngineFailure(i, lost)) for i, r in self.runs.items()]
        self.incarnation += 1
        self.resident.clear()
        self.runs.clear()
        # A new process has no older state to report.
        self.lagged = LaggedValue(self._take_state(), self.spec.report_lag_s)
        return broken

    # Adapters

    def load(self, effect, incarnation, now):
        """End a load that was ordered in the life `incarnation`; return the `LoadResult`."""
        failure = None
        if incarnation != self.incarnation:
            failure = Failure(ErrorKind.SERVER_REFUSED, "the engine restarted")
        elif len(self.resident) >= self.server.slots and effect.model not in self.resident:
            failure = Failure(ErrorKind.SERVER_REFUSED, "no adapter slot is free")
        else:
            self.loads += 1
            self.resident.add(effect.model)
            self._note(now)
        return LoadResult(self.server.name, effect.model, failure)

    def unload(self, effect, now):
        """Unload a model; return the `UnloadResult`."""
        self.evicted_in_use += any(r.effect.model == effect.model for r in self.runs.values())
        self.evictions += 1
        self.resident.discard(effect.model)
        self._note(now)
        return UnloadResult(self.server.name, effect.model)

    def report(self, asked_at, now):
        """Return the `EngineReport` as of the report lag before `now` (s)."""
        old = self.lagged.read(now)
        return EngineReport(
            old.server, asked_at, old.incarnation, list(old.resident), list(old.running)
        )
