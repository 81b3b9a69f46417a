"""Scenario files: what callers ask for and what happens meanwhile."""

from importlib.resources import files
from pathlib import Path

import yaml

from medlarbeam.classes.record import Record
from medlarbeam.classes.requests import Rank
from medlarbeam.exceptions import FormatError

__all__ = ["Engine", "Event", "Scenario", "Traffic", "list_scenarios", "load_scenario"]

_PACKAGE = "medlarbeam.experiment"


class Engine(Record):
    """What the engines can do.

    Parameters
    ----------
    workers, slots, concurrency : int
    step_s, run_step_s, adapter_step_s, prefill_token_s : float
        Duration of a step: fixed, for each run, distinct adapter and prefill token in it.
    prefill_tokens : int
        Prefill tokens that one step takes at most.
    report_lag_s : float
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
    """One stream of requests with random arrivals.

    Parameters
    ----------
    rank : Rank
    rate : float
        Requests a second.
    start_s, stop_s : float
        Counted from the start of the measurement; the stream also warms up if it starts at 0.
    deadline_s : float
    prompt_tokens, answer_tokens : int
        Mean lengths; each length is spread evenly from half to one and a half of the mean.
    ask_factor : float
        Allowance asked for, as a multiple of the tokens used.
    choices : int
        Acceptable adapters of a request.
    callers : int
        Callers that share the stream evenly.
    caller : str
        Prefix of the callers' names.
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
    """Something that happens at `at_s` (s) of the measurement.

    Parameters
    ----------
    at_s : float
    kind : str
        ``shift_popularity`` or ``restart_engines``.
    share : float
        Share of the engines that restart.
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
        Exponent of the popularity of the adapters.
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


_POSITIVE = {"rate", "deadline_s", "prompt_tokens", "answer_tokens", "callers", "choices"}
_POSITIVE |= {"adapters", "zipf", "measure_s", "workers", "slots", "concurrency", "step_s"}
_WHOLE = {"prompt_tokens", "answer_tokens", "callers", "choices", "adapters", "workers", "slots"}
_WHOLE |= {"concurrency", "prefill_tokens"}
_EVENT_KINDS = ("restart_engines", "shift_popularity")


def list_scenarios():
    """Return the sorted names of the scenarios in the package."""
    folder = files(_PACKAGE).joinpath("scenarios")
    return sorted(f.name[: -len(".yaml")] for f in folder.iterdir() if f.name.endswith(".yaml"))


def load_scenario(name):
    """Return the `Scenario` called `name` in the package, or of the file with that path.

    Raises
    ------
    FormatError
        Names the file and the field.
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
        raise FormatError("traffic: no stream is given")
    fields["traffic"] = [_read_traffic(s, f"traffic[{i}]") for i, s in enumerate(streams)]
    events = _read_list(fields, "events")
    fields["events"] = [_read_event(e, f"events[{i}]") for i, e in enumerate(events)]
    fields["engine"] = Engine(**_read_fields(fields.get("engine", {}), Engine, "engine"))
    if "title" not in fields:
        raise FormatError("title: missing")
    scenario = Scenario(name, **fields)
    widest = max(t.choices for t in scenario.traffic)
    if widest > scenario.adapters:
        raise FormatError(f"choices: {widest} is more than the {scenario.adapters} adapters")
    return scenario


def _read_list(fields, key):
    value = fields.get(key, [])
    if not isinstance(value, list):
        raise FormatError(f"{key}: expected a list")
    return value


def _read_traffic(document, where):
    fields = _read_fields(document, Traffic, where)
    names = [r.name.lower() for r in Rank]
    if fields.get("rank") not in names:
        raise FormatError(f"{where}.rank: expected one of {', '.join(names)}")
    if "rate" not in fields:
        raise FormatError(f"{where}.rate: missing")
    fields["rank"] = Rank[fields["rank"].upper()]
    return Traffic(**fields)


def _read_event(document, where):
    fields = _read_fields(document, Event, where)
    if fields.get("kind") not in _EVENT_KINDS:
        raise FormatError(f"{where}.kind: expected one of {', '.join(_EVENT_KINDS)}")
    if "at_s" not in fields:
        raise FormatError(f"{where}.at_s: missing")
    return Event(**fields)


def _read_fields(document, kind, where, reserved=()):
    if not isinstance(document, dict):
        raise FormatError(f"{where}: expected a mapping")
    known = set(kind.__slots__) - set(reserved)
    for key, value in document.items():
        if key not in known:
            raise FormatError(f"{where}.{key}: unknown field")
        if key in _TEXTS:
            if not isinstance(value, str):
                raise FormatError(f"{where}.{key}: expected a text")
        elif key not in _PARTS:
            _check_number(value, key, f"{where}.{key}")
    return dict(document)


_TEXTS = {"title", "rank", "kind", "caller"}
_PARTS = {"traffic", "events", "engine"}


def _check_number(value, key, where):
    kinds = (int,) if key in _WHOLE else (int, float)
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise FormatError(f"{where}: expected a {'whole ' if key in _WHOLE else ''}number")
    if not 0 <= value < float("inf") or (key in _POSITIVE and value == 0):
        raise FormatError(f"{where}: {value} is out of range")
