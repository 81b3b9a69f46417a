"""Read and check state chart files.

A chart file is a YAML mapping::

    chart: name
    initial: state
    events: [event, ...]
    states:
      state:
        tags: [tag, ...]            # what code may ask about the state
        entry: [action, ...]
        exit: [action, ...]
        final: true                 # no event is handled
        ignore: [event, ...]
        on:
          event: target             # or a mapping, or a list of mappings with guards
          event: {target: state, if: guard, do: [action, ...]}
        states: {...}               # nested states inherit `on`, `ignore` and `tags`
        initial: state              # of the nested states

Nested states are flattened: a nested state's own entries go before those of its parents.
"""

from importlib.resources import files

import yaml

from medlarbeam.charts.interpreter import Chart, Transition
from medlarbeam.exceptions import ChartError

__all__ = ["load_chart", "parse_chart"]

_STATE_KEYS = {"tags", "entry", "exit", "final", "ignore", "on", "states", "initial"}
_TRANSITION_KEYS = {"target", "if", "do"}


class _Mapping(dict):
    """YAML mapping that remembers the line of each key."""

    __slots__ = ("lines",)

    def __init__(self):
        super().__init__()
        self.lines = {}


class _Loader(yaml.SafeLoader):
    __slots__ = ()


def _construct_mapping(loader, node):
    result = _Mapping()
    for key_node, value_node in node.value:
        key = loader.construct_object(key_node, deep=True)
        line = key_node.start_mark.line + 1
        if key in result:
            raise ChartError(f"line {line}: {key!r} is given twice")
        result[key] = loader.construct_object(value_node, deep=True)
        result.lines[key] = line
    return result


_Loader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)
# YAML 1.1 reads the key `on` as a boolean; the charts need the plain word.
_Loader.yaml_implicit_resolvers = {
    first: [r for r in resolvers if r[0] != "tag:yaml.org,2002:bool"]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


class _Leaf:
    """A flattened state while the chart is read."""

    __slots__ = ("entry", "exit", "final", "ignore", "line", "name", "on", "tags")

    def __init__(self, name, line, final, parents, body):
        self.name = name
        self.line = line
        self.final = final
        chain = [*parents, body]
        self.entry = [a for b in chain for a in b.get("entry", ())]
        self.exit = [a for b in reversed(chain) for a in b.get("exit", ())]
        self.tags = frozenset(t for b in chain for t in b.get("tags", ()))
        self.ignore = set(body.get("ignore", ()))
        self.on = {}
        for b in reversed(chain):
            for event, spec in b.get("on", {}).items():
                if event not in self.on and event not in self.ignore:
                    self.on[event] = (spec, b["on"].lines[event])
            self.ignore |= {e for e in b.get("ignore", ()) if e not in self.on}


class _Reader:
    """Collects the parts of one chart and its errors."""

    __slots__ = ("errors", "file", "initial_of", "leaves", "lines")

    def __init__(self, file):
        self.file = file
        self.errors = []
        self.leaves = {}
        self.initial_of = {}
        self.lines = {}

    def report(self, line, state, text):
        self.errors.append(f"{self.file}:{line}: state {state!r}: {text}")

    def read_states(self, states, parents):
        for name, body in states.items():
            line = states.lines[name]
            body = body if body is not None else _Mapping()
            for key in body:
                if key not in _STATE_KEYS:
                    self.report(body.lines[key], name, f"unknown key {key!r}")
            if name in self.leaves or name in self.initial_of:
                self.report(line, name, "is declared twice")
            if "states" in body:
                self.initial_of[name] = body.get("initial")
                self.lines[name] = line
                self.read_states(body["states"], [*parents, body])
            else:
                final = bool(body.get("final"))
                self.leaves[name] = _Leaf(name, line, final, parents, body)

    def resolve(self, target):
        seen = set()
        while target in self.initial_of and target not in seen:
            seen.add(target)
            target = self.initial_of[target]
        return target if target in self.leaves else None


def _as_list(spec):
    if isinstance(spec, list):
        return spec
    return [spec]


def _read_transition(reader, leaf, event, spec, line, handler):
    if isinstance(spec, str):
        spec = {"target": spec}
    for key in spec:
        if key not in _TRANSITION_KEYS:
            reader.report(line, leaf.name, f"event {event!r}: unknown key {key!r}")
    target = None
    if "target" in spec:
        target = reader.resolve(spec["target"])
        if target is None:
            reader.report(line, leaf.name, f"event {event!r}: unknown target {spec['target']!r}")
    guard = spec.get("if")
    actions = tuple(spec.get("do", ()))
    _check_names(reader, leaf, line, handler, "guard", [guard] if guard else [])
    _check_names(reader, leaf, line, handler, "action", actions)
    return Transition(target, guard, actions)


def _check_names(reader, leaf, line, handler, what, names):
    for name in names:
        if handler is not None and not callable(getattr(handler, name, None)):
            reader.report(line, leaf.name, f"{handler.__name__} has no {what} {name!r}")


def _read_table(reader, events, handler):
    table = {}
    for leaf in reader.leaves.values():
        for event in sorted(leaf.ignore | set(leaf.on)):
            if event not in events:
                reader.report(leaf.line, leaf.name, f"event {event!r} is not declared")
        for event in events:
            if event in leaf.on:
                specs, line = leaf.on[event]
                table[leaf.name, event] = tuple(
                    _read_transition(reader, leaf, event, spec, line, handler)
                    for spec in _as_list(specs)
                )
            elif event in leaf.ignore or leaf.final:
                table[leaf.name, event] = ()
            else:
                reader.report(leaf.line, leaf.name, f"event {event!r} has no handler")
        _check_names(reader, leaf, leaf.line, handler, "action", [*leaf.entry, *leaf.exit])
    return table


def _check_reachable(reader, initial, table):
    reached = set()
    waiting = [initial]
    while waiting:
        state = waiting.pop()
        if state in reached:
            continue
        reached.add(state)
        for (source, _), transitions in table.items():
            if source == state:
                waiting += [t.target for t in transitions if t.target is not None]
    for name, leaf in reader.leaves.items():
        if name not in reached:
            reader.report(leaf.line, name, "is unreachable")


def parse_chart(text, file, handler=None):
    """Return the chart in a YAML text.

    Parameters
    ----------
    text : str
    file : str
        Name for error messages.
    handler : type or None
        Class that has a method for each guard and action; None leaves the names unchecked.

    Returns
    -------
    Chart

    Raises
    ------
    ChartError
        With one line for each fault: file, line, state and what is wrong.
    """
    try:
        document = yaml.load(text, Loader=_Loader)  # noqa: S506 (a SafeLoader)
    except yaml.YAMLError as error:
        raise ChartError(f"{file}: {error}") from error
    except ChartError as error:
        raise ChartError(f"{file}: {error}") from error
    if not isinstance(document, dict) or not isinstance(document.get("states"), dict):
        raise ChartError(f"{file}:1: a chart needs a mapping with 'states'")
    reader = _Reader(file)
    reader.read_states(document["states"], [])
    events = list(document.get("events", ()))
    initial = reader.resolve(document.get("initial"))
    if initial is None:
        raise ChartError(f"{file}:1: unknown initial state {document.get('initial')!r}")
    for name, nested in reader.initial_of.items():
        if reader.resolve(name) is None:
            reader.report(reader.lines[name], name, f"unknown initial state {nested!r}")
    table = _read_table(reader, events, handler)
    _check_reachable(reader, initial, table)
    if reader.errors:
        raise ChartError("\n".join(reader.errors))
    return Chart(document.get("chart", file), initial, events, reader.leaves, table)


def load_chart(name, handler=None):
    """Return the chart that the package ships as ``charts/<name>.yaml``; see `parse_chart`."""
    file = f"{name}.yaml"
    text = files("medlarbeam.charts").joinpath(file).read_text(encoding="utf-8")
    return parse_chart(text, file, handler)
