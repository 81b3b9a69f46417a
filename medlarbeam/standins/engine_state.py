"""State of the engine stand-in, without sockets or clock."""

from collections import deque

from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.record import Record
from medlarbeam.standins.engine_text import answer_tokens, remaining_tokens
from medlarbeam.standins.history import LaggedValue

__all__ = ["EngineOptions", "EngineState", "JournalEntry", "Refusal", "Residency", "Run"]

_JOURNAL_LIMIT = 200_000  # entries; the oldest are dropped, the counters stay


class EngineOptions(Record):
    """Settings of an engine.

    Parameters
    ----------
    slots : int
        Adapters held at once, those being loaded included.
    concurrency : int
        Runs in a batch; further runs wait by priority.
    fencing : bool
        Refuse orders whose fencing number is lower than the highest seen.
    crash_word : str
        A prompt with this word makes the engine crash in mid-answer; "" for none.
    answer_length : int
        Tokens of an answer, unless the caller allows fewer.
    report_lag_s : float
    base_model : str
        Always resident, takes no slot.
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


class Refusal(Record):
    """An order or request that had no effect, with its HTTP status."""

    __slots__ = ("reason", "status")

    def __init__(self, status, reason):
        self.status = status
        self.reason = reason


class JournalEntry(Record):
    """One event at the engine.

    Parameters
    ----------
    number : int
        Counts from 1.
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
    """An adapter that is loaded or being loaded; driven by the chart ``standin_residency``."""

    __slots__ = ("model", "source", "state")

    def __init__(self, model, source, state):
        self.model = model
        self.source = source
        self.state = state


class Run:
    """A completion; driven by the chart ``standin_run``.

    Parameters
    ----------
    run_id, model, prompt : str
    label : str
        Model that the answer names; differs from `model` only by an injected fault.
    tokens : list of str
        What is left to be answered.
    priority : int
        The smallest goes first, as in vLLM.
    limited : bool
        The caller's allowance ends the answer.
    state : str
    on_change : callable
        Called when the run may go on, or was cut.
    """

    __slots__ = (
        "label",
        "limited",
        "model",
        "on_change",
        "position",
        "priority",
        "prompt",
        "run_id",
        "state",
        "tokens",
    )

    def __init__(self, run_id, model, prompt, label, tokens, priority, limited, state, on_change):
        self.run_id = run_id
        self.model = model
        self.prompt = prompt
        self.label = label
        self.tokens = tokens
        self.priority = priority
        self.limited = limited
        self.state = state
        self.on_change = on_change
        self.position = 0


class EngineState:
    """State of an engine.

    Parameters
    ----------
    options : EngineOptions
    incarnation : str
        Differs with each start of the process.

    Notes
    -----
    Times are monotonic seconds, passed in by the caller.
    """

    __slots__ = (
        "adapters",
        "crashed",
        "cut_runs",
        "fail_loads",
        "highest_fencing",
        "incarnation",
        "journal",
        "leaving",
        "mislabel_runs",
        "next_number",
        "next_run",
        "options",
        "reported",
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
        self.reported = LaggedValue({"resident": [], "running": {}}, options.report_lag_s)
        self.journal = deque(maxlen=_JOURNAL_LIMIT)
        self.next_number = 1
        self.next_run = 1
        self.highest_fencing = -1
        self.violations = 0
        self.cut_runs = 0
        self.leaving = False
        self.crashed = False
        self.fail_loads = 0
        self.mislabel_runs = 0

    # Orders

    def begin_load(self, model, source, fencing):
        """Take a load order; return the `Residency` in progress, or a `Refusal`."""
        refusal = self._check_order(fencing)
        if refusal is not None:
            return refusal
        if model in self.adapters or model == self.options.base_model:
            return Refusal(400, f"The lora adapter '{model}' has already been loaded.")
        if len(self.adapters) >= self.options.slots:
            return Refusal(409, f"all {self.options.slots} adapter slots are taken")
        residency = Residency(model, source, self.residency_chart.initial)
        self.adapters[model] = residency
        return residency

    def end_load(self, residency, fetched, now):
        """Note that the weights arrived or not; return whether the adapter is resident."""
        if self.fail_loads > 0:
            self.fail_loads -= 1
            fetched = False
        event = "fetched" if fetched else "fetch_failed"
        self._fire_residency(residency, event, now)
        return self.residency_chart.has_tag(residency, "usable")

    def unload(self, model, fencing, now):
        """Take an unload order; return None, or a `Refusal`."""
        refusal = self._check_order(fencing)
        if refusal is not None:
            return refusal
        if model not in self.adapters:
            return Refusal(404, f"The lora adapter '{model}' cannot be found.")
        self._fire_residency(self.adapters[model], "unload", now)
        return None

    def _check_order(self, fencing):
        if self.leaving:
            return Refusal(503, "the engine shuts down")
        if not self.options.fencing:
            return None
        if fencing is None:
            return Refusal(412, "the order carries no fencing number")
        if fencing < self.highest_fencing:
            return Refusal(412, f"fencing number {fencing} is below {self.highest_fencing}")
        self.highest_fencing = fencing
        return None

    def _fire_residency(self, residency, event, now):
        self.residency_chart.fire(residency, event, self, now)
        if not self.residency_chart.has_tag(residency, "occupies_slot"):
            # An adapter that was unloaded while it was fetched may have been ordered again.
            if self.adapters.get(residency.model) is residency:
                del self.adapters[residency.model]
        self._record_report(now)

    def note_loaded(self, residency, now):
        """Chart action."""
        self._note(now, "load", residency.model, residency.source)

    def note_load_failed(self, residency, now):
        """Chart action."""
        self._note(now, "load_failed", residency.model, residency.source)

    def note_unloaded(self, residency, now):
        """Chart action."""
        self._note(now, "unload", residency.model)

    def break_runs(self, residency, now):
        """Chart action: break the open runs of an adapter that was unloaded."""
        runs = [run for run in self.runs.values() if run.model == residency.model]
        if runs:
            self.violations += 1
            self._note(now, "violation", residency.model, f"unloaded under {len(runs)} runs")
        # Waiting runs go first; otherwise the room left by a cut run would start them.
        for run in sorted(runs, key=self.is_waiting, reverse=True):
            self._fire_run(run, "adapter_unloaded", now)

    # Completions

    def is_resident(self, model):
        """Return whether completions for `model` are taken."""
        if model == self.options.base_model:
            return True
        residency = self.adapters.get(model)
        return residency is not None and self.residency_chart.has_tag(residency, "usable")

    def begin_run(self, model, prompt, now, *, max_tokens=16, priority=0, prefix="", wake=None):
        """Take a completion.

        Parameters
        ----------
        model, prompt : str
        now : float
        max_tokens : int
            Allowance for the whole answer, `prefix` included.
        priority : int
        prefix : str
            Text that the caller has already.
        wake : callable or None
            Called without arguments when the run may go on, or was cut.

        Returns
        -------
        Run or Refusal
        """
        if self.leaving:
            return Refusal(503, "the engine shuts down")
        if not self.is_resident(model):
            return Refusal(404, f"The model `{model}` does not exist.")
        length = min(max_tokens, self.options.answer_length)
        tokens = remaining_tokens(answer_tokens(model, prompt, length), prefix)
        if tokens is None:
            self.violations += 1
            self._note(now, "violation", model, "continue_from is not a prefix", prompt=prompt)
            return Refusal(400, "the answer doesn't start with the text in continue_from")
        run = self._make_run(model, prompt, tokens, priority, max_tokens, wake)
        self.runs[run.run_id] = run
        self._start_waiting(now)
        return run

    def _make_run(self, model, prompt, tokens, priority, max_tokens, wake):
        label = model
        if self.mislabel_runs > 0:
            self.mislabel_runs -= 1
            label = f"{model}-other"
        run_id = f"cmpl-{self.incarnation}-{self.next_run}"
        self.next_run += 1
        limited = max_tokens < self.options.answer_length
        state = self.run_chart.initial
        on_change = wake if wake is not None else _do_nothing
        return Run(run_id, model, prompt, label, tokens, priority, limited, state, on_change)

    def next_token(self, run, now):
        """Return the next token of a run that is in the batch, or None.

        Notes
        -----
        None means that the run has ended or is cut, or that the engine crashed (`crashed`).
        """
        if not self.run_chart.has_tag(run, "running"):
            return None
        if self._crashes_at(run):
            self.crashed = True
            return None
        if run.position == len(run.tokens):
            self._fire_run(run, "complete", now)
            return None
        token = run.tokens[run.position]
        run.position += 1
        return token

    def _crashes_at(self, run):
        word = self.options.crash_word
        if not word or word not in run.prompt.split():
            return False
        return run.position >= len(run.tokens) // 2

    def is_waiting(self, run):
        """Return whether a run waits for room in the batch."""
        return self.run_chart.has_tag(run, "waiting")

    def is_broken(self, run):
        """Return whether a run was cut off."""
        return self.run_chart.has_tag(run, "broken")

    def is_complete(self, run):
        """Return whether a run gave its whole answer."""
        return self.run_chart.has_tag(run, "complete")

    def cancel_run(self, run, now):
        """Drop a run whose caller has gone; ignored if it has ended."""
        self._fire_run(run, "cancel", now)

    def _fire_run(self, run, event, now):
        self.run_chart.fire(run, event, self, now)
        if not self.run_chart.has_tag(run, "open") and self.runs.pop(run.run_id, None):
            self._start_waiting(now)
            run.on_change()

    def _start_waiting(self, now):
        running = sum(not self.is_waiting(run) for run in self.runs.values())
        waiting = [run for run in self.runs.values() if self.is_waiting(run)]
        # The sort is stable, so equal priorities keep the order of arrival.
        waiting.sort(key=_priority_of)
        for run in waiting[: max(0, self.options.concurrency - running)]:
            self._fire_run(run, "start", now)
        self._record_report(now)

    def note_started(self, run, now):
        """Chart action."""
        self._note(now, "run_start", run.model, run_id=run.run_id, prompt=run.prompt)
        run.on_change()

    def note_completed(self, run, now):
        """Chart action."""
        self._note(now, "run_end", run.model, "completed", run.run_id, run.prompt)

    def note_cancelled(self, run, now):
        """Chart action."""
        self._note(now, "run_end", run.model, "cancelled", run.run_id, run.prompt)

    def note_cut(self, run, now):
        """Chart action."""
        self.cut_runs += 1
        self._note(now, "run_end", run.model, "cut", run.run_id, run.prompt)

    # Reports

    def leave(self):
        """Take no new work; return whether runs are left to finish."""
        self.leaving = True
        return bool(self.runs)

    def report(self, now):
        """Return the answer to ``GET /load``; residency and runs are as old as the report lag."""
        return {
            "incarnation": self.incarnation,
            **self.reported.read(now),
            "leaving": self.leaving,
        }

    def models(self):
        """Return the models that completions may name."""
        return [self.options.base_model, *filter(self.is_resident, self.adapters)]

    def journal_after(self, number):
        """Return the journal entries behind entry `number`, and the counters."""
        entries = [entry.document() for entry in self.journal if entry.number > number]
        return {
            "incarnation": self.incarnation,
            "violations": self.violations,
            "cut_runs": self.cut_runs,
            "entries": entries,
        }

    def _record_report(self, now):
        running = {}
        for run in self.runs.values():
            running[run.model] = running.get(run.model, 0) + 1
        resident = [model for model in self.adapters if self.is_resident(model)]
        self.reported.record({"resident": resident, "running": running}, now)

    def _note(self, now, kind, model, detail="", run_id="", prompt=""):
        entry = JournalEntry(self.next_number, now, kind, model, detail, run_id, prompt)
        self.journal.append(entry)
        self.next_number += 1


def _do_nothing():
    pass


def _priority_of(run):
    return run.priority
