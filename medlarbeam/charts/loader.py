"""Loader and validator of state chart files.

A chart file is a YAML mapping::

    chart: name
    initial: state
    events: [event, ...]
    states:
      state:
        tags: [tag, ...]            # queried by code with `has_tag`
        entry: [action, ...]
        exit: [action, ...]
        final: true                 # all events are ignored
        ignore: [event, ...]
        on:
          event: target             # or a mapping, or a list of mappings with guards
          event: {target: state, if: guard, do: [action, ...]}
        states: {...}               # nested states inherit `on`, `ignore` and `tags`
        initial: state              # of the nested states

Nested states are flattened. The definitions of a nested state take precedence over those that it
inherits from its parents.
"""

from importlib.resources import files

import yaml

from medlarbeam.charts.interpreter import Chart, Transition
from medlarbeam.exceptions import ChartError

__all__ = ["load_chart", "parse_chart"]

_STATE_KEYS = {"tags", "entry", "exit", "final", "ignore", "on", "states", "initial"}
_TRANSITION_KEYS = {"target", "if", "do"}


class _Mapping(dict):
    """YAML mapping that records the line number of each key."""

    __slots__ = ("lines",)

    def __init__(self):
        super().__init__()
        self.lines = {}


class _Loader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """Safe YAML loader that rejects duplicate keys and reads `on` as a string.

    The parser in C reads all charts in 0.03 s of processor time, that in Python in 0.16 s. PyYAML
    lacks the former where it was built without libyaml.
    """

    __slots__ = ()


def _construct_mapping(loader, node):
    result = _Mapping()
    for key_node, value_node in node.value:
        key = loader.construct_object(key_node, deep=True)
        line = key_node.start_mark.line + 1
        if key in result:
            raise ChartError(f"line {line}: duplicate key {key!r}")
        result[key] = loader.construct_object(value_node, deep=True)
        result.lines[key] = line
    return result


_Loader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)
# YAML 1.1 parses the key `on` as a boolean; the charts need it as a string.
_Loader.yaml_implicit_resolvers = {
    first: [r for r in resolvers if r[0] != "tag:yaml.org,2002:bool"]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


class _LeafState:
    """A leaf state, flattened with the definitions of its parents."""

    __slots__ = ("entry", "exit", "final", "ignore", "line", "name", "on", "tags")

    def __init__(self, name, line, final, parents, body):
        self.name = name
        self.line = line
        self.final = final
        bodies = [*parents, body]
        self.entry = [a for b in bodies for a in b.get("entry", ())]
        self.exit = [a for b in reversed(bodies) for a in b.get("exit", ())]
        self.tags = frozenset(t for b in bodies for t in b.get("tags", ()))
        self.ignore = set(body.get("ignore", ()))
        self.on = {}
        for b in reversed(bodies):
            for event, definition in b.get("on", {}).items():
                if event not in self.on and event not in self.ignore:
                    self.on[event] = (definition, b["on"].lines[event])
            self.ignore |= {e for e in b.get("ignore", ()) if e not in self.on}


class _ChartReader:
    """Collects the states of a chart and the errors in its file."""

    __slots__ = ("errors", "file", "initial_by_parent", "leaves", "lines")

    def __init__(self, file):
        self.file = file
        self.errors = []
        self.leaves = {}
        self.initial_by_parent = {}
        self.lines = {}

    def add_error(self, line, state, text):
        self.errors.append(f"{self.file}:{line}: state {state!r}: {text}")

    def read_states(self, states, parents):
        for name, body in states.items():
            line = states.lines[name]
            body = body if body is not None else _Mapping()
            for key in body:
                if key not in _STATE_KEYS:
                    self.add_error(body.lines[key], name, f"unknown key {key!r}")
            if name in self.leaves or name in self.initial_by_parent:
                self.add_error(line, name, "is declared more than once")
            if "states" in body:
                self.initial_by_parent[name] = body.get("initial")
                self.lines[name] = line
                self.read_states(body["states"], [*parents, body])
            else:
                final = bool(body.get("final"))
                self.leaves[name] = _LeafState(name, line, final, parents, body)

    def resolve(self, target):
        visited = set()
        while target in self.initial_by_parent and target not in visited:
            visited.add(target)
            target = self.initial_by_parent[target]
        return target if target in self.leaves else None


def _as_list(definition):
    if isinstance(definition, list):
        return definition
    return [definition]


def _read_transition(reader, leaf, event, definition, line, handler):
    if isinstance(definition, str):
        definition = {"target": definition}
    for key in definition:
        if key not in _TRANSITION_KEYS:
            reader.add_error(line, leaf.name, f"event {event!r}: unknown key {key!r}")
    target = None
    if "target" in definition:
        target = reader.resolve(definition["target"])
        if target is None:
            reader.add_error(
                line, leaf.name, f"event {event!r}: unknown target {definition['target']!r}"
            )
    guard = definition.get("if")
    actions = tuple(definition.get("do", ()))
    _check_names(reader, leaf, line, handler, "guard", [guard] if guard else [])
    _check_names(reader, leaf, line, handler, "action", actions)
    return Transition(target, guard, actions)


def _check_names(reader, leaf, line, handler, role, names):
    for name in names:
        if handler is not None and not callable(getattr(handler, name, None)):
            reader.add_error(line, leaf.name, f"{handler.__name__} has no {role} {name!r}")


def _build_table(reader, events, handler):
    table = {}
    for leaf in reader.leaves.values():
        for event in sorted(leaf.ignore | set(leaf.on)):
            if event not in events:
                reader.add_error(leaf.line, leaf.name, f"event {event!r} is not declared")
        for event in events:
            if event in leaf.on:
                definitions, line = leaf.on[event]
                table[leaf.name, event] = tuple(
                    _read_transition(reader, leaf, event, definition, line, handler)
                    for definition in _as_list(definitions)
                )
            elif event in leaf.ignore or leaf.final:
                table[leaf.name, event] = ()
            else:
                reader.add_error(leaf.line, leaf.name, f"event {event!r} has no handler")
        _check_names(reader, leaf, leaf.line, handler, "action", [*leaf.entry, *leaf.exit])
    return table


def _check_reachable(reader, initial, table):
    reachable = set()
    pending = [initial]
    while pending:
        state = pending.pop()
        if state in reachable:
            continue
        reachable.add(state)
        for (source, _), transitions in table.items():
            if source == state:
                pending += [t.target for t in transitions if t.target is not None]
    for name, leaf in reader.leaves.items():
        if name not in reachable:
            reader.add_error(leaf.line, name, "is unreachable from the initial state")


def parse_chart(text, file, handler=None):
    """Parse and validate a chart in YAML.

    Parameters
    ----------
    text : str
    file : str
        File name for error messages.
    handler : type or None
        Class with a method for each guard and action; None disables the check of their names.

    Returns
    -------
    Chart

    Raises
    ------
    ChartError
        If the chart is invalid. The message has one line for each error, with file, line, state and
        cause.
    """
    try:
        document = yaml.load(text, Loader=_Loader)  # noqa: S506 (a SafeLoader)
    except yaml.YAMLError as error:
        raise ChartError(f"{file}: {error}") from error
    except ChartError as error:
        raise ChartError(f"{file}: {error}") from error
    if not isinstance(document, dict) or not isinstance(document.get("states"), dict):
        raise ChartError(f"{file}:1: a chart must be a mapping with a mapping 'states'")
    reader = _ChartReader(file)
    reader.read_states(document["states"], [])
    events = list(document.get("events", ()))
    initial = reader.resolve(document.get("initial"))
    if initial is None:
        raise ChartError(f"{file}:1: unknown initial state {document.get('initial')!r}")
    for name, nested in reader.initial_by_parent.items():
        if reader.resolve(name) is None:
            reader.add_error(reader.lines[name], name, f"unknown initial state {nested!r}")
    table = _build_table(reader, events, handler)
    _check_reachable(reader, initial, table)
    if reader.errors:
        raise ChartError("\n".join(reader.errors))
    return Chart(document.get("chart", file), initial, events, reader.leaves, table)


def load_chart(name, handler=None):
    """Return the packaged chart ``charts/<name>.yaml``; see `parse_chart`."""
    file = f"{name}.yaml"
    text = files("medlarbeam.charts").joinpath(file).read_text(encoding="utf-8")
    return parse_chart(text, file, handler)
