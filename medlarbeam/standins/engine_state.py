"""State of the engine stand-in, without network access or clock."""

from collections import deque

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.record import Record
from medlarbeam.standins.engine_text import completion_tokens, remaining_tokens
from medlarbeam.standins.lagged_value import LaggedValue

__all__ = ["EngineOptions", "EngineState", "JournalEntry", "Rejection", "Residency", "Run"]

_JOURNAL_LIMIT = 200_000  # entries; the oldest are dropped, the counters are not affected


class EngineOptions(Record):
    """Settings of an engine.

    Parameters
    ----------
    slots : int
        Maximum number of adapters, including those being loaded.
    concurrency : int
        Maximum number of runs in the batch; further runs wait in order of priority.
    fencing : bool
        Reject orders whose fencing token is lower than the highest one seen.
    crash_word : str
        Word that makes the engine crash halfway through the completion when the prompt contains
        it; "" for none.
    answer_length : int
        Length of a completion (tokens), unless the caller allows fewer.
    report_lag_s : float
        Age of the load report (s).
    base_model : str
        Model that is always resident and occupies no adapter slot.
    """

    __slots__ = (
        "answer_length",
        "base_model",
        "concurrency",
        "crash_word",
        "fencing",
        "report_lag_s",
        "slots",
    )

    def __init__(
        self,
        slots=4,
        concurrency=8,
        fencing=False,
        crash_word="",
        answer_length=12,
        report_lag_s=0.0,
        base_model="base",
    ):
        self.slots = slots
        self.concurrency = concurrency
        self.fencing = fencing
        self.crash_word = crash_word
        self.answer_length = answer_length
        self.report_lag_s = report_lag_s
        self.base_model = base_model


class Rejection(Record):
    """Rejection of an order or request that had no effect, with the HTTP status."""

    __slots__ = ("reason", "status")

    def __init__(self, status, reason):
        self.status = status
        self.reason = reason


class JournalEntry(Record):
    """One entry of the engine's journal.

    Parameters
    ----------
    number : int
        Sequence number, starting at 1.
    at : float
        Monotonic time (s).
    kind : str
        ``run_start``, ``run_end``, ``load``, ``load_failed``, ``unload`` or ``violation``.
    model, detail, run_id, prompt : str
    """

    __slots__ = ("at", "detail", "kind", "model", "number", "prompt", "run_id")

    def __init__(self, number, at, kind, model, detail="", run_id="", prompt=""):
        self.number = number
        self.at = at
        self.kind = kind
        self.model = model
        self.detail = detail
        self.run_id = run_id
        self.prompt = prompt

    def document(self):
        """Return the entry as a JSON document."""
        return {key: getattr(self, key) for key in self.__slots__}


class Residency:
    """An adapter that is resident or being loaded; driven by the chart ``standin_residency``."""

    __slots__ = ("model", "source", "state")

    def __init__(self, model, source, state):
        self.model = model
        self.source = source
        self.state = state


class Run:
    """A run of a completion; driven by the chart ``standin_run``.

    Parameters
    ----------
    run_id, model, prompt : str
    reported_model : str
        Model named in the response; differs from `model` only when a fault is injected.
    tokens : list of str
        Tokens to generate.
    priority : int
        The smallest value runs first, as in vLLM.
    length_limited : bool
        Whether ``max_tokens`` ends the completion.
    state : str
        State in the chart.
    on_change : callable
        Called without arguments when the run starts or ends.
    """

    __slots__ = (
        "length_limited",
        "model",
        "on_change",
        "position",
        "priority",
        "prompt",
        "reported_model",
        "run_id",
        "state",
        "tokens",
    )

    def __init__(
        self,
        run_id,
        model,
        prompt,
        reported_model,
        tokens,
        priority,
        length_limited,
        state,
        on_change,
    ):
        self.run_id = run_id
        self.model = model
        self.prompt = prompt
        self.reported_model = reported_model
        self.tokens = tokens
        self.priority = priority
        self.length_limited = length_limited
        self.state = state
        self.on_change = on_change
        self.position = 0


class EngineState:
    """State of an engine.

    Parameters
    ----------
    options : EngineOptions
    incarnation : str
        Identifier that differs with each start of the process.

    Notes
    -----
    Times are monotonic seconds, passed in by the caller.
    """

    __slots__ = (
        "aborted_runs",
        "adapters",
        "crashed",
        "draining",
        "fail_loads",
        "highest_fencing_token",
        "incarnation",
        "journal",
        "load_report",
        "mislabel_runs",
        "next_entry_number",
        "next_run_number",
        "options",
        "residency_chart",
        "run_chart",
        "runs",
        "violations",
    )

    def __init__(self, options, incarnation):
        self.options = options
        self.incarnation = incarnation
        self.residency_chart = load_chart("standin_residency", EngineState)
        self.run_chart = load_chart("standin_run", EngineState)
        self.adapters = {}
        self.runs = {}
        self.load_report = LaggedValue({"resident": [], "running": {}}, options.report_lag_s)
        self.journal = deque(maxlen=_JOURNAL_LIMIT)
        self.next_entry_number = 1
        self.next_run_number = 1
        self.highest_fencing_token = -1
        self.violations = 0
        self.aborted_runs = 0
        self.draining = False
        self.crashed = False
        self.fail_loads = 0
        self.mislabel_runs = 0

    # Load and unload orders

    def begin_load(self, model, source, fencing_token):
        """Accept a load order; return the `Residency` in progress, or a `Rejection`."""
        rejection = self._check_order(fencing_token)
        if rejection is not None:
            return rejection
        if model in self.adapters or model == self.options.base_model:
            return Rejection(400, f"The lora adapter '{model}' has already been loaded.")
        if len(self.adapters) >= self.options.slots:
            return Rejection(409, f"all {self.options.slots} adapter slots are in use")
        residency = Residency(model, source, self.residency_chart.initial)
        self.adapters[model] = residency
        return residency

    def end_load(self, residency, fetched, now):
        """Complete a load, successfully if `fetched`; return whether the adapter is resident."""
        if self.fail_loads > 0:
            self.fail_loads -= 1
            fetched = False
        event = "fetched" if fetched else "fetch_failed"
        self._fire_residency(residency, event, now)
        return self.residency_chart.has_tag(residency, "usable")

    def unload(self, model, fencing_token, now):
        """Carry out an unload order; return None, or a `Rejection`."""
        rejection = self._check_order(fencing_token)
        if rejection is not None:
            return rejection
        if model not in self.adapters:
            return Rejection(404, f"The lora adapter '{model}' cannot be found.")
        self._fire_residency(self.adapters[model], "unload", now)
        return None

    def _check_order(self, fencing_token):
        if self.draining:
            return Rejection(503, "the engine is shutting down")
        if not self.options.fencing:
            return None
        if fencing_token is None:
            return Rejection(412, "the order has no fencing token")
        if fencing_token < self.highest_fencing_token:
            return Rejection(
                412, f"fencing token {fencing_token} is below {self.highest_fencing_token}"
            )
        self.highest_fencing_token = fencing_token
        return None

    def _fire_residency(self, residency, event, now):
        self.residency_chart.fire(residency, event, self, now)
        if not self.residency_chart.has_tag(residency, "occupies_slot"):
            # An adapter that was unloaded during its fetch may be loading again by now.
            if self.adapters.get(residency.model) is residency:
                del self.adapters[residency.model]
        self._update_load_report(now)

    def record_load(self, residency, now):
        """Chart action: record a completed load."""
        self._add_entry(now, "load", residency.model, residency.source)

    def record_load_failure(self, residency, now):
        """Chart action: record a load whose weights could not be fetched."""
        self._add_entry(now, "load_failed", residency.model, residency.source)

    def record_unload(self, residency, now):
        """Chart action: record an unload."""
        self._add_entry(now, "unload", residency.model)

    def abort_runs(self, residency, now):
        """Chart action: abort the open runs of an unloaded adapter and record a violation."""
        runs = [run for run in self.runs.values() if run.model == residency.model]
        if runs:
            self.violations += 1
            self._add_entry(
                now, "violation", residency.model, f"unloaded with {len(runs)} open runs"
            )
        # Abort waiting runs first, else the batch slot freed by a running one would start them.
        for run in sorted(runs, key=self.is_waiting, reverse=True):
            self._fire_run(run, "adapter_unloaded", now)

    # Completions

    def is_resident(self, model):
        """Return whether completions for `model` are accepted."""
        if model == self.options.base_model:
            return True
        residency = self.adapters.get(model)
        return residency is not None and self.residency_chart.has_tag(residency, "usable")

    def begin_run(self, model, prompt, now, *, max_tokens=16, priority=0, prefix="", callback=None):
        """Accept a completion.

        Parameters
        ----------
        model, prompt : str
        now : float
        max_tokens : int
            Limit of the whole completion (tokens), including `prefix`.
        priority : int
        prefix : str
            Text that the caller has already received.
        callback : callable or None
            Called without arguments when the run starts or ends.

        Returns
        -------
        Run or Rejection
        """
        if self.draining:
            return Rejection(503, "the engine is shutting down")
        if not self.is_resident(model):
            return Rejection(404, f"The model `{model}` does not exist.")
        length = min(max_tokens, self.options.answer_length)
        tokens = remaining_tokens(completion_tokens(model, prompt, length), prefix)
        if tokens is None:
            self.violations += 1
            self._add_entry(now, "violation", model, "continue_from is not a prefix", prompt=prompt)
            return Rejection(400, "the completion does not start with the text in continue_from")
        run = self._create_run(model, prompt, tokens, priority, max_tokens, callback)
        self.runs[run.run_id] = run
        self._start_waiting(now)
        return run

    def _create_run(self, model, prompt, tokens, priority, max_tokens, callback):
        reported_model = model
        if self.mislabel_runs > 0:
            self.mislabel_runs -= 1
            reported_model = f"{model}-other"
        run_id = f"cmpl-{self.incarnation}-{self.next_run_number}"
        self.next_run_number += 1
        length_limited = max_tokens < self.options.answer_length
        state = self.run_chart.initial
        on_change = callback if callback is not None else _do_nothing
        return Run(
            run_id,
            model,
            prompt,
            reported_model,
            tokens,
            priority,
            length_limited,
            state,
            on_change,
        )

    def next_token(self, run, now):
        """Return the next token of a run in the batch, or None.

        Notes
        -----
        None means that the run was completed, cancelled or aborted, or that the engine crashed
        (`crashed` is set).
        """
        if not self.run_chart.has_tag(run, "running"):
            return None
        if self._must_crash(run):
            self.crashed = True
            return None
        if run.position == len(run.tokens):
            self._fire_run(run, "complete", now)
            return None
        token = run.tokens[run.position]
        run.position += 1
        return token

    def _must_crash(self, run):
        word = self.options.crash_word
        if not word or word not in run.prompt.split():
            return False
        return run.position >= len(run.tokens) // 2

    def is_waiting(self, run):
        """Return whether a run waits to enter the batch."""
        return self.run_chart.has_tag(run, "waiting")

    def is_aborted(self, run):
        """Return whether a run was aborted because its adapter was unloaded."""
        return self.run_chart.has_tag(run, "aborted")

    def is_completed(self, run):
        """Return whether a run generated its whole completion."""
        return self.run_chart.has_tag(run, "completed")

    def cancel_run(self, run, now):
        """Cancel a run whose caller has disconnected; no effect if the run has ended."""
        self._fire_run(run, "cancel", now)

    def _fire_run(self, run, event, now):
        self.run_chart.fire(run, event, self, now)
        if not self.run_chart.has_tag(run, "open") and self.runs.pop(run.run_id, None):
            self._start_waiting(now)
            run.on_change()

    def _start_waiting(self, now):
        running = sum(not self.is_waiting(run) for run in self.runs.values())
        waiting = [run for run in self.runs.values() if self.is_waiting(run)]
        # The sort is stable, so runs of equal priority start in order of arrival.
        waiting.sort(key=_run_priority)
        for run in waiting[: max(0, self.options.concurrency - running)]:
            self._fire_run(run, "start", now)
        self._update_load_report(now)

    def record_run_started(self, run, now):
        """Chart action: record the start of a run and notify its handler."""
        self._add_entry(now, "run_start", run.model, run_id=run.run_id, prompt=run.prompt)
        run.on_change()

    def record_run_completed(self, run, now):
        """Chart action: record a completed run."""
        self._add_entry(now, "run_end", run.model, "completed", run.run_id, run.prompt)

    def record_run_cancelled(self, run, now):
        """Chart action: record a cancelled run."""
        self._add_entry(now, "run_end", run.model, "cancelled", run.run_id, run.prompt)

    def record_run_aborted(self, run, now):
        """Chart action: record a run that ended because its adapter was unloaded."""
        self.aborted_runs += 1
        self._add_entry(now, "run_end", run.model, "cut", run.run_id, run.prompt)

    # Reports

    def begin_drain(self):
        """Reject new work from now on; return whether any runs are still open."""
        self.draining = True
        return bool(self.runs)

    def report(self, now):
        """Return the load report of ``GET /load``.

        Notes
        -----
        Resident adapters and runs are delayed by the report lag; the other fields are current.
        """
        return {
            "incarnation": self.incarnation,
            **self.load_report.read(now),
            "leaving": self.draining,
        }

    def models(self):
        """Return the names of the models that accept completions."""
        return [self.options.base_model, *filter(self.is_resident, self.adapters)]

    def journal_after(self, number):
        """Return the journal entries after entry `number`, and the counters."""
        entries = [entry.document() for entry in self.journal if entry.number > number]
        return {
            "incarnation": self.incarnation,
            "violations": self.violations,
            "cut_runs": self.aborted_runs,
            "entries": entries,
        }

    def _update_load_report(self, now):
        running = {}
        for run in self.runs.values():
            running[run.model] = running.get(run.model, 0) + 1
        resident = [model for model in self.adapters if self.is_resident(model)]
        self.load_report.record({"resident": resident, "running": running}, now)

    def _add_entry(self, now, kind, model, detail="", run_id="", prompt=""):
        entry = JournalEntry(self.next_entry_number, now, kind, model, detail, run_id, prompt)
        self.journal.append(entry)
        self.next_entry_number += 1


def _do_nothing():
    pass


def _run_priority(run):
    return run.priority
