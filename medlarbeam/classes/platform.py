"""Operations on the platform's key-value service and their results."""

from enum import Enum

from medlarbeam.classes.record import Record

__all__ = [
    "KvCall",
    "KvDelete",
    "KvEntry",
    "KvGet",
    "KvList",
    "KvOutcome",
    "KvPut",
    "KvResult",
    "KvWatch",
]


class KvOutcome(Enum):
    """What is known about a call to the key-value service."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"  # not sent, or refused: surely without effect
    UNKNOWN = "unknown"  # sent, no answer: may have taken effect


class KvEntry(Record):
    """A key with its value.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        Modification revision of the key, always above 0.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class KvGet(Record):
    """Read one key; the result has no entry where the key is absent."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class KvList(Record):
    """Read keys that start with `prefix`, in descending key order, `limit` at most."""

    __slots__ = ("limit", "prefix")

    def __init__(self, prefix, limit):
        self.prefix = prefix
        self.limit = limit


class KvPut(Record):
    """Write a key.

    Parameters
    ----------
    key : str
    value : bytes
    expected_revision : int or None
        0 for "the key is absent", None for no comparison.
    ttl_s : float or None
        Seconds until the service deletes the key; None keeps it.
    """

    __slots__ = ("expected_revision", "key", "ttl_s", "value")

    def __init__(self, key, value, expected_revision=None, ttl_s=None):
        self.key = key
        self.value = value
        self.expected_revision = expected_revision
        self.ttl_s = ttl_s


class KvDelete(Record):
    """Delete a key whose modification revision is `expected_revision`, None for any."""

    __slots__ = ("expected_revision", "key")

    def __init__(self, key, expected_revision):
        self.key = key
        self.expected_revision = expected_revision


class KvWatch(Record):
    """Wait until the key's modification revision is above `after_revision`; then read it."""

    __slots__ = ("after_revision", "key")

    def __init__(self, key, after_revision):
        self.key = key
        self.after_revision = after_revision


class KvCall(Record):
    """Effect: call the key-value service.

    Parameters
    ----------
    component : str
        Name of the node component that gets the result.
    token : str
        Meaning of the call to that component, returned unchanged with the result.
    op : KvGet, KvList, KvPut, KvDelete or KvWatch
    sent_at : float
        Monotonic time (s) of the decision; a read is no older than this.
    timeout_s : float
    """

    __slots__ = ("component", "op", "sent_at", "timeout_s", "token")

    def __init__(self, component, token, op, sent_at, timeout_s=2.0):
        self.component = component
        self.token = token
        self.op = op
        self.sent_at = sent_at
        self.timeout_s = timeout_s


class KvResult(Record):
    """Message: the result of a `KvCall`.

    Parameters
    ----------
    call : KvCall
    outcome : KvOutcome
    entries : list of KvEntry
        What was read; after a put that was applied, the new entry; after a conflict, the present
        entry if the service told it.
    """

    __slots__ = ("call", "entries", "outcome")

    def __init__(self, call, outcome, entries):
        self.call = call
        self.outcome = outcome
        self.entries = entries
