"""Interpreter of state charts."""

from medlarbeam.exceptions import ChartError

__all__ = ["Chart", "Transition"]


class Transition:
    """A transition that an event triggers, unless its guard prevents it.

    Parameters
    ----------
    target : str or None
        Next state; None keeps the state and runs no exit and entry actions.
    guard : str or None
        Name of the handler method that must return a true value.
    actions : tuple of str
        Names of the handler methods to call, in order.
    """

    __slots__ = ("actions", "guard", "target")

    def __init__(self, target, guard, actions):
        self.target = target
        self.guard = guard
        self.actions = actions


class Chart:
    """A validated state chart; see `medlarbeam.charts.loader`.

    Parameters
    ----------
    name : str
    initial : str
        Initial state of a subject.
    events : list of str
    leaves : dict
        Flattened leaf states by name, with `name`, `tags`, `entry` and `exit`.
    table : dict
        Tuple of `Transition` by (state, event); empty where the event is ignored.
    """

    __slots__ = ("entry", "events", "exit", "initial", "name", "table", "tags")

    def __init__(self, name, initial, events, leaves, table):
        self.name = name
        self.initial = initial
        self.events = events
        self.tags = {leaf.name: leaf.tags for leaf in leaves.values()}
        self.entry = {leaf.name: tuple(leaf.entry) for leaf in leaves.values()}
        self.exit = {leaf.name: tuple(leaf.exit) for leaf in leaves.values()}
        self.table = table

    def has_tag(self, subject, tag):
        """Return whether the state of `subject` has the tag `tag`."""
        return tag in self.tags[subject.state]

    def fire(self, subject, event, handler=None, *args):
        """Dispatch an event to `subject` and update its `state`.

        The first transition whose guard returns true is executed.

        Parameters
        ----------
        subject : object
            Object with an attribute `state`.
        event : str
        handler : object or None
            Object with the guards and actions as methods, called as ``method(subject, *args)``.

        Returns
        -------
        bool
            Whether a transition was executed.

        Raises
        ------
        ChartError
            If the chart does not declare the event or the state.
        """
        transitions = self.table.get((subject.state, event))
        if transitions is None:
            raise ChartError(
                f"chart {self.name}: undeclared event {event!r} in state {subject.state!r}"
            )
        for transition in transitions:
            if transition.guard and not getattr(handler, transition.guard)(subject, *args):
                continue
            self._execute(subject, transition, handler, args)
            return True
        return False

    def _execute(self, subject, transition, handler, args):
        if transition.target is None:
            names = transition.actions
        else:
            names = self.exit[subject.state] + transition.actions + self.entry[transition.target]
            # The state changes before the actions run, so that an action may fire another event.
            subject.state = transition.target
        for name in names:
            getattr(handler, name)(subject, *args)
