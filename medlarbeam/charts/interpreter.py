"""Interpreter of state charts."""

from medlarbeam.exceptions import ChartError

__all__ = ["Chart", "Transition"]


class Transition:
    """One reaction to an event.

    Parameters
    ----------
    target : str or None
        Next state; None stays without exit and entry actions.
    guard : str or None
        Method of the handler that has to return a true value.
    actions : tuple of str
        Methods of the handler, called in order.
    """

    __slots__ = ("actions", "guard", "target")

    def __init__(self, target, guard, actions):
        self.target = target
        self.guard = guard
        self.actions = actions


class Chart:
    """A checked state chart; build it with `medlarbeam.charts.loader`.

    Parameters
    ----------
    name : str
    initial : str
        State of a new subject.
    events : list of str
    leaves : dict
        Flattened states by name, with `tags`, `entry` and `exit`.
    table : dict
        Tuple of `Transition` by state and event; empty where the event is ignored.
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
        """Return whether the state of `subject` carries `tag`."""
        return tag in self.tags[subject.state]

    def fire(self, subject, event, handler=None, *args):
        """Pass an event to `subject`, whose `state` attribute is updated.

        Parameters
        ----------
        subject : object
            Has the attribute `state`.
        event : str
        handler : object or None
            Has the guards and actions as methods, called as ``method(subject, *args)``.

        Returns
        -------
        bool
            True if a transition was taken.

        Raises
        ------
        ChartError
            If the chart does not declare the event.
        """
        transitions = self.table.get((subject.state, event))
        if transitions is None:
            raise ChartError(f"chart {self.name}: no event {event!r} in state {subject.state!r}")
        for transition in transitions:
            if transition.guard and not getattr(handler, transition.guard)(subject, *args):
                continue
            self._take(subject, transition, handler, args)
            return True
        return False

    def _take(self, subject, transition, handler, args):
        if transition.target is None:
            names = transition.actions
        else:
            names = self.exit[subject.state] + transition.actions + self.entry[transition.target]
            # The state changes first, so that an action may pass a further event.
            subject.state = transition.target
        for name in names:
            getattr(handler, name)(subject, *args)
