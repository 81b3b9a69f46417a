"""Checks that no unload order arrives at an engine during a run of that model."""

__all__ = ["EngineChecker"]

HISTORY_S = 30.0


class EngineChecker:
    """Runs in progress at all engines, by time (s) of arrival at the engine."""

    __slots__ = ("ended", "running", "runs", "unloads", "violations")

    def __init__(self):
        self.running = {}  # (server, model) -> {run id: (arrival, text)}
        self.ended = {}  # server -> list of (arrival, end, model)
        self.violations = []
        self.runs = 0
        self.unloads = 0

    def run_arrives(self, time, server, model, run_id, origin):
        self.runs += 1
        self.running.setdefault((server, model), {})[run_id] = (time, origin)

    def run_ends(self, time, server, model, run_id):
        arrival, _ = self.running[server, model].pop(run_id)
        past = self.ended.setdefault(server, [])
        past.append((arrival, time, model))
        while past and past[0][1] < time - HISTORY_S:
            past.pop(0)

    def unload_arrives(self, time, server, model, origin):
        self.unloads += 1
        for run_id, (arrival, runner) in self.running.get((server, model), {}).items():
            self.violations.append(
                f"{time:.3f}: {origin} unloads {model} on {server} during run {run_id} of {runner} "
                f"since {arrival:.3f}"
            )

    def count_running(self, server, at):
        """Return ``{model: number of runs}`` in progress on `server` at a past time `at` (s)."""
        counts = {}
        for (name, model), runs in self.running.items():
            active = sum(arrival <= at for arrival, _ in runs.values())
            if name == server and active:
                counts[model] = counts.get(model, 0) + active
        for arrival, end, model in self.ended.get(server, ()):
            if arrival <= at < end:
                counts[model] = counts.get(model, 0) + 1
        return counts
