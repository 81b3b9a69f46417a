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
    """Outcome of a call to the key-value service."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"  # not sent, or rejected: certainly not applied
    UNKNOWN = "unknown"  # sent, no response: may have been applied


class KvEntry(Record):
    """A key with its value.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        Modification revision of the key, always greater than 0.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class KvGet(Record):
    """Read a key; the result has no entries if the key does not exist."""

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


class KvList(Record):
    """Read at most `limit` keys that start with `prefix`, in descending key order."""

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
        Modification revision that the key must have; 0 if the key must not exist, None for an
        unconditional write.
    ttl_s : float or None
        Seconds until the service deletes the key; None for no expiry.
    """

    __slots__ = ("expected_revision", "key", "ttl_s", "value")

    def __init__(self, key, value, expected_revision=None, ttl_s=None):
        self.key = key
        self.value = value
        self.expected_revision = expected_revision
        self.ttl_s = ttl_s


class KvDelete(Record):
    """Delete a key if its modification revision is `expected_revision`; None deletes any."""

    __slots__ = ("expected_revision", "key")

    def __init__(self, key, expected_revision):
        self.key = key
        self.expected_revision = expected_revision


class KvWatch(Record):
    """Wait until the key's modification revision exceeds `after_revision`, then read the key."""

    __slots__ = ("after_revision", "key")

    def __init__(self, key, after_revision):
        self.key = key
        self.after_revision = after_revision


class KvCall(Record):
    """Effect that calls the key-value service.

    Parameters
    ----------
    component : str
        Name of the node component that receives the result.
    token : str
        Correlation token chosen by that component, returned unchanged with the result.
    op : KvGet, KvList, KvPut, KvDelete or KvWatch
    sent_at : float
        Monotonic time (s) at which the call was issued; the data of a read is not older.
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
    """Message with the result of a `KvCall`.

    Parameters
    ----------
    call : KvCall
    outcome : KvOutcome
    entries : list of KvEntry
        The entries that were read; after an applied put, the new entry; after a conflict, the
        current entry if the service returned it.
    """

    __slots__ = ("call", "entries", "outcome")

    def __init__(self, call, outcome, entries):
        self.call = call
        self.outcome = outcome
        self.entries = entries
