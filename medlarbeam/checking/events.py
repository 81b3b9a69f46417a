"""The events of the search; between two of them nothing happens."""

from abc import ABC, abstractmethod
from math import inf

from medlarbeam.checking.gateway_model import server_key
from medlarbeam.checking.store_model import Transaction
from medlarbeam.checking.world import CONFIG_KEY, make_config, make_server
from medlarbeam.classes.gateway_messages import AcquireRightResult
from medlarbeam.classes.record import Record
from medlarbeam.gateway.order_rights import LEASE_TTL_S

__all__ = ["EVENT_KINDS", "Event", "find_event", "list_events", "play"]

STEP_S = 1.0  # a pause that usually ends before the next deadline


class Event(Record, ABC):
    """A kind of event and the node, server or number that it concerns.

    Parameters
    ----------
    subject : str
        Name of a node or of a backend server, "" for none.
    """

    __slots__ = ("subject",)

    fault = ""  # kind of limited event of which this uses up one, "" for none

    def __init__(self, subject=""):
        self.subject = subject

    def describe(self):
        """Return the event as text; `find_event` is the inverse."""
        return f"{type(self).__name__} {self.subject}".strip()

    def is_enabled(self, world):
        """Return whether the event may occur in `world`."""
        return True

    @abstractmethod
    def apply(self, world):
        """Change `world`."""


class NodeEvent(Event):
    """An event at a node."""

    __slots__ = ()

    @classmethod
    def list_subjects(cls, world):
        """Return the names of the nodes."""
        return world.gateways

    def is_enabled(self, world):
        """Return whether the node runs and is in touch with the store."""
        return world.gateways[self.subject].is_in_touch()


class GlobalEvent(Event):
    """An event that concerns no single node."""

    __slots__ = ()

    @classmethod
    def list_subjects(cls, world):
        """Return one empty name."""
        return [""]


class Renew(NodeEvent):
    """A node renews its lease or registers, and gets the response at once."""

    __slots__ = ()

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).renew(world.own_store(), world.now)


class RenewAnswerLate(NodeEvent):
    """A node renews its lease or registers; the response is on its way."""

    __slots__ = ()

    fault = "late"

    def is_enabled(self, world):
        """Return whether no other renewal is on its way."""
        gateway = world.gateways[self.subject]
        return gateway.is_in_touch() and gateway.session.late_answer is None

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).renew(world.own_store(), world.now, is_late=True)


class Answer(NodeEvent):
    """The late response to a renewal arrives."""

    __slots__ = ()

    def is_enabled(self, world):
        """Return whether a response is on its way to a process that runs."""
        gateway = world.gateways[self.subject]
        return gateway.session.late_answer is not None and not gateway.is_frozen

    def apply(self, world):
        """Change `world`."""
        gateway = world.own_gateway(self.subject)
        answer = gateway.session.late_answer
        gateway.session.late_answer = None
        gateway.deliver(answer, world.now)


class RegisterLate(NodeEvent):
    """A node registers; the store carries this out later and the response is lost."""

    __slots__ = ()

    fault = "late"

    def is_enabled(self, world):
        """Return whether the node is about to register in the known era."""
        gateway = world.gateways[self.subject]
        session = gateway.session
        return (
            gateway.is_in_touch()
            and not session.is_registered
            and session.late_answer is None
            and session.era in (0, world.store.era)
        )

    def apply(self, world):
        """Change `world`."""
        gateway = world.own_gateway(self.subject)
        gateway.session.era = world.store.era
        effect = gateway.decide_renewal(world.now)
        write = gateway.prepare_registration(world.own_store(), world.now, effect.ttl_s)
        world.late_writes.append(write)
        gateway.lose_calls(world.now)


class Watch(NodeEvent):
    """A node reads the changes of the store, or all entries after a gap."""

    __slots__ = ()

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).watch(world.own_store(), world.now)


class Acquire(NodeEvent):
    """A node acquires the rights that it believes to be free."""

    __slots__ = ()

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).acquire(world.own_store(), world.now)


class AcquireLate(NodeEvent):
    """A node acquires rights; the store carries this out later and the responses are lost."""

    __slots__ = ()

    fault = "late"

    def is_enabled(self, world):
        """Return whether the process runs; it may have lost the store just now."""
        return not world.gateways[self.subject].is_frozen

    def apply(self, world):
        """Change `world`."""
        gateway = world.own_gateway(self.subject)
        for server, write in gateway.decide_acquisitions(world.now).items():
            world.late_writes.append(write)
            gateway.deliver(AcquireRightResult(server, 0), world.now)


class CarryOut(Event):
    """The store carries out a call whose sender has given up; `subject` is its number."""

    __slots__ = ()

    @classmethod
    def list_subjects(cls, world):
        """Return the numbers of the pending calls."""
        return [str(number) for number in range(len(world.late_writes))]

    def is_enabled(self, world):
        """Return whether there is such a call."""
        return int(self.subject) < len(world.late_writes)

    def apply(self, world):
        """Change `world`."""
        world.own_store().write(world.late_writes.pop(int(self.subject)))


class LoseStore(NodeEvent):
    """The store stops responding to a node."""

    __slots__ = ()

    fault = "losses"

    def is_enabled(self, world):
        """Return whether the store responds to the node."""
        return not world.gateways[self.subject].is_cut

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).is_cut = True


class FindStore(NodeEvent):
    """The store responds to a node again."""

    __slots__ = ()

    def is_enabled(self, world):
        """Return whether the store does not respond to the node."""
        return world.gateways[self.subject].is_cut

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).is_cut = False


class LoseWatch(NodeEvent):
    """The store stops responding to watches and reads of a node, but not to its other calls."""

    __slots__ = ()

    fault = "mutes"

    def is_enabled(self, world):
        """Return whether the store responds to watches of the node."""
        return not world.gateways[self.subject].is_mute

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).is_mute = True


class FindWatch(NodeEvent):
    """The store responds to watches and reads of a node again."""

    __slots__ = ()

    def is_enabled(self, world):
        """Return whether the store does not respond to watches of the node."""
        return world.gateways[self.subject].is_mute

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).is_mute = False


class Freeze(NodeEvent):
    """A process stops running."""

    __slots__ = ()

    fault = "freezes"

    def is_enabled(self, world):
        """Return whether the process runs."""
        return not world.gateways[self.subject].is_frozen

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).is_frozen = True


class Thaw(NodeEvent):
    """A process runs again."""

    __slots__ = ()

    def is_enabled(self, world):
        """Return whether the process does not run."""
        return world.gateways[self.subject].is_frozen

    def apply(self, world):
        """Change `world`."""
        world.own_gateway(self.subject).is_frozen = False


class Restart(NodeEvent):
    """A process is killed and started again."""

    __slots__ = ()

    fault = "restarts"

    def is_enabled(self, world):
        """Return True."""
        return True

    def apply(self, world):
        """Change `world`."""
        world.gateways[self.subject] = world.gateways[self.subject].restart()
        world.owned.add(self.subject)


class Lapse(GlobalEvent):
    """All leases end."""

    __slots__ = ()

    fault = "lapses"

    def is_enabled(self, world):
        """Return whether there is a lease."""
        return bool(world.store.leases)

    def apply(self, world):
        """Change `world`."""
        world.own_store().expire_leases(inf)


class SaveCopy(GlobalEvent):
    """The store's state is copied, so that it can be set back to it."""

    __slots__ = ()

    def is_enabled(self, world):
        """Return whether a set-back may follow."""
        return world.store.saved is None and world.faults["set_backs"] > 0

    def apply(self, world):
        """Change `world`."""
        world.own_store().save_copy()


class SetBack(GlobalEvent):
    """The store loses all changes since the copy and gives their revisions out again."""

    __slots__ = ()

    fault = "set_backs"

    def is_enabled(self, world):
        """Return whether there is a copy."""
        return world.store.saved is not None

    def apply(self, world):
        """Change `world`."""
        world.own_store().set_back(world.now, LEASE_TTL_S)
        world.late_writes.clear()


class LoseHistory(GlobalEvent):
    """The store discards its history, so that watches of older revisions get 410."""

    __slots__ = ()

    fault = "compactions"

    def is_enabled(self, world):
        """Return whether a watch needs the history."""
        return bool(world.store.history)

    def apply(self, world):
        """Change `world`."""
        store = world.own_store()
        store.history = []
        store.history_from = store.revision


class Configure(GlobalEvent):
    """The operator writes a newer configuration, which the store confirms."""

    __slots__ = ()

    fault = "configs"

    def apply(self, world):
        """Change `world`."""
        version = 10 - world.faults["configs"]  # rises with each one, also after a set-back
        world.own_store().write(Transaction({}, CONFIG_KEY, make_config(version)))


class Leave(Event):
    """A backend server announces that it leaves."""

    __slots__ = ()

    fault = "leaves"

    @classmethod
    def list_subjects(cls, world):
        """Return the names of the backend servers."""
        return world.logs

    def is_enabled(self, world):
        """Return whether it has not announced that before."""
        return not world.store.entries[server_key(self.subject)].value.draining

    def apply(self, world):
        """Change `world`."""
        value = make_server(self.subject, draining=True)
        world.own_store().write(Transaction({}, server_key(self.subject), value))


class Wait(GlobalEvent):
    """Time passes until the next decision may change; nodes in touch go on undisturbed."""

    __slots__ = ()

    def apply(self, world):
        """Change `world`."""
        world.pass_time(inf)


class Step(GlobalEvent):
    """Up to a second passes in which nodes in touch go on undisturbed."""

    __slots__ = ()

    fault = "steps"

    def apply(self, world):
        """Change `world`."""
        world.pass_time(STEP_S)


EVENT_KINDS = [
    Wait,
    Renew,
    Watch,
    Acquire,
    LoseStore,
    FindStore,
    LoseWatch,
    FindWatch,
    Lapse,
    SaveCopy,
    SetBack,
    Restart,
    Freeze,
    Thaw,
    RenewAnswerLate,
    Answer,
    RegisterLate,
    AcquireLate,
    CarryOut,
    LoseHistory,
    Configure,
    Leave,
    Step,
]


def list_events(world):
    """Return the events that may occur in `world`."""
    events = []
    for kind in EVENT_KINDS:
        if kind.fault and not world.faults[kind.fault]:
            continue
        for subject in kind.list_subjects(world):
            event = kind(subject)
            if event.is_enabled(world):
                events.append(event)
    return events


def find_event(text):
    """Return the event that `Event.describe` wrote as `text`.

    Raises
    ------
    ValueError
        If there is no such kind of event.
    """
    name, _, subject = text.partition(" ")
    for kind in EVENT_KINDS:
        if kind.__name__ == name:
            return kind(subject)
    raise ValueError(f"event {text!r} is of no known kind")


def play(world, event):
    """Return the state after `event`; orders of the event are in its `orders`."""
    after = world.copy()
    if event.fault:
        after.spend(event.fault)
    event.apply(after)
    after.send_orders()
    after.forget_history()
    return after
