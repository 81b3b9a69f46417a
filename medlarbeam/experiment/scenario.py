"""Scenario files: request traffic, engine parameters and scheduled events."""

from importlib.resources import files
from pathlib import Path

import yaml

from medlarbeam.classes.record import Record
from medlarbeam.classes.requests import Rank
from medlarbeam.exceptions import FormatError

__all__ = ["Engine", "Event", "Scenario", "Traffic", "list_scenarios", "load_scenario"]

_PACKAGE = "medlarbeam.experiment"


class Engine(Record):
    """Number, capacity and step times of the engines.

    Parameters
    ----------
    workers, slots, concurrency : int
    step_s, run_step_s, adapter_step_s, prefill_token_s : float
        Duration of a step (s): a fixed part, and the increments for each run, each distinct
        adapter and each prefill token in it.
    prefill_tokens : int
        Maximum number of prefill tokens in one step.
    report_lag_s : float
        Age (s) of the state that an engine reports.
    """

    __slots__ = (
        "adapter_step_s",
        "concurrency",
        "prefill_token_s",
        "prefill_tokens",
        "report_lag_s",
        "run_step_s",
        "slots",
        "step_s",
        "workers",
    )

    def __init__(
        self,
        workers=9,
        slots=4,
        concurrency=8,
        step_s=0.012,
        run_step_s=0.0008,
        adapter_step_s=0.001,
        prefill_token_s=0.00005,
        prefill_tokens=256,
        report_lag_s=0.5,
    ):
        self.workers = workers
        self.slots = slots
        self.concurrency = concurrency
        self.step_s = step_s
        self.run_step_s = run_step_s
        self.adapter_step_s = adapter_step_s
        self.prefill_token_s = prefill_token_s
        self.prefill_tokens = prefill_tokens
        self.report_lag_s = report_lag_s


class Traffic(Record):
    """A Poisson stream of requests.

    Parameters
    ----------
    rank : Rank
    rate : float
        Mean arrival rate (requests per second).
    start_s, stop_s : float
        Relative to the start of the measurement; a stream with `start_s` 0 also runs during the
        warm-up.
    deadline_s : float
    prompt_tokens, answer_tokens : int
        Mean lengths; lengths are distributed uniformly from 0.5 to 1.5 times the mean.
    ask_factor : float
        Requested maximum of tokens as a multiple of the tokens used.
    choices : int
        Number of adapters that a request accepts.
    callers : int
        Number of callers, to which requests are assigned uniformly at random.
    caller : str
        Prefix of the names of the callers.
    """

    __slots__ = (
        "answer_tokens",
        "ask_factor",
        "caller",
        "callers",
        "choices",
        "deadline_s",
        "prompt_tokens",
        "rank",
        "rate",
        "start_s",
        "stop_s",
    )

    def __init__(
        self,
        rank,
        rate,
        start_s=0.0,
        stop_s=float("inf"),
        deadline_s=15.0,
        prompt_tokens=300,
        answer_tokens=60,
        ask_factor=2.0,
        choices=1,
        callers=20,
        caller="caller",
    ):
        self.rank = rank
        self.rate = rate
        self.start_s = start_s
        self.stop_s = stop_s
        self.deadline_s = deadline_s
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.ask_factor = ask_factor
        self.choices = choices
        self.callers = callers
        self.caller = caller


class Event(Record):
    """An event scheduled `at_s` seconds after the start of the measurement.

    Parameters
    ----------
    at_s : float
    kind : str
        ``shift_popularity`` or ``restart_engines``.
    share : float
        Fraction of the engines that restart.
    """

    __slots__ = ("at_s", "kind", "share")

    def __init__(self, at_s, kind, share=1.0):
        self.at_s = at_s
        self.kind = kind
        self.share = share


class Scenario(Record):
    """A scenario file.

    Parameters
    ----------
    name, title : str
    adapters : int
    zipf : float
        Exponent of the Zipf distribution of adapter popularity.
    warmup_s, measure_s : float
    engine : Engine
    traffic : list of Traffic
    events : list of Event
    """

    __slots__ = (
        "adapters",
        "engine",
        "events",
        "measure_s",
        "name",
        "title",
        "traffic",
        "warmup_s",
        "zipf",
    )

    def __init__(
        self,
        name,
        title,
        traffic,
        events=(),
        engine=None,
        adapters=3000,
        zipf=1.3,
        warmup_s=20.0,
        measure_s=40.0,
    ):
        self.name = name
        self.title = title
        self.traffic = list(traffic)
        self.events = list(events)
        self.engine = engine or Engine()
        self.adapters = adapters
        self.zipf = zipf
        self.warmup_s = warmup_s
        self.measure_s = measure_s


_POSITIVE_FIELDS = {"rate", "deadline_s", "prompt_tokens", "answer_tokens", "callers", "choices"}
_POSITIVE_FIELDS |= {"adapters", "zipf", "measure_s", "workers", "slots", "concurrency", "step_s"}
_INTEGER_FIELDS = {
    "prompt_tokens",
    "answer_tokens",
    "callers",
    "choices",
    "adapters",
    "workers",
    "slots",
}
_INTEGER_FIELDS |= {"concurrency", "prefill_tokens"}
_EVENT_KINDS = ("restart_engines", "shift_popularity")


def list_scenarios():
    """Return the sorted names of the built-in scenarios."""
    folder = files(_PACKAGE).joinpath("scenarios")
    return sorted(f.name[: -len(".yaml")] for f in folder.iterdir() if f.name.endswith(".yaml"))


def load_scenario(name):
    """Return the built-in `Scenario` named `name`, or the one in the file at that path.

    Raises
    ------
    FormatError
        If the file is invalid; the message names the file and the field.
    """
    if name in list_scenarios():
        path = files(_PACKAGE).joinpath("scenarios", f"{name}.yaml")
    else:
        path = Path(name)
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
        return _read_scenario(Path(name).stem, document)
    except (OSError, yaml.YAMLError, FormatError) as error:
        raise FormatError(f"scenario {name}: {error}") from None


def _read_scenario(name, document):
    fields = _read_fields(document, Scenario, "scenario", {"name"})
    streams = _read_list(fields, "traffic")
    if not streams:
        raise FormatError("traffic: no streams are defined")
    fields["traffic"] = [_read_traffic(s, f"traffic[{i}]") for i, s in enumerate(streams)]
    events = _read_list(fields, "events")
    fields["events"] = [_read_event(e, f"events[{i}]") for i, e in enumerate(events)]
    fields["engine"] = Engine(**_read_fields(fields.get("engine", {}), Engine, "engine"))
    if "title" not in fields:
        raise FormatError("title: missing")
    scenario = Scenario(name, **fields)
    max_choices = max(t.choices for t in scenario.traffic)
    if max_choices > scenario.adapters:
        raise FormatError(
            f"choices: {max_choices} is more than the {scenario.adapters} adapters of the scenario"
        )
    return scenario


def _read_list(fields, key):
    value = fields.get(key, [])
    if not isinstance(value, list):
        raise FormatError(f"{key}: expected a list")
    return value


def _read_traffic(document, field_path):
    fields = _read_fields(document, Traffic, field_path)
    names = [r.name.lower() for r in Rank]
    if fields.get("rank") not in names:
        raise FormatError(f"{field_path}.rank: expected one of {', '.join(names)}")
    if "rate" not in fields:
        raise FormatError(f"{field_path}.rate: missing")
    fields["rank"] = Rank[fields["rank"].upper()]
    return Traffic(**fields)


def _read_event(document, field_path):
    fields = _read_fields(document, Event, field_path)
    if fields.get("kind") not in _EVENT_KINDS:
        raise FormatError(f"{field_path}.kind: expected one of {', '.join(_EVENT_KINDS)}")
    if "at_s" not in fields:
        raise FormatError(f"{field_path}.at_s: missing")
    return Event(**fields)


def _read_fields(document, kind, field_path, reserved=()):
    if not isinstance(document, dict):
        raise FormatError(f"{field_path}: expected a mapping")
    known = set(kind.__slots__) - set(reserved)
    for key, value in document.items():
        if key not in known:
            raise FormatError(f"{field_path}.{key}: unknown field")
        if key in _TEXT_FIELDS:
            if not isinstance(value, str):
                raise FormatError(f"{field_path}.{key}: expected a string")
        elif key not in _NESTED_FIELDS:
            _check_number(value, key, f"{field_path}.{key}")
    return dict(document)


_TEXT_FIELDS = {"title", "rank", "kind", "caller"}
_NESTED_FIELDS = {"traffic", "events", "engine"}


def _check_number(value, key, field_path):
    kinds = (int,) if key in _INTEGER_FIELDS else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise FormatError(
            f"{field_path}: expected a {'whole ' if key in _INTEGER_FIELDS else ''}number"
        )
    if not 0 <= value < float("inf") or (key in _POSITIVE_FIELDS and value == 0):
        raise FormatError(f"{field_path}: {value} is out of range")
