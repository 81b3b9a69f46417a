"""A model of the platform's store: transactions, leases, history and set-backs."""

from medlarbeam.classes.fleet import OrderRight
from medlarbeam.classes.gateway_messages import EntryDeleted, EntryUpdated
from medlarbeam.classes.record import Record

__all__ = ["ModelStore", "Transaction"]


class Transaction(Record):
    """A conditional write of one entry.

    Parameters
    ----------
    expected : dict of str to int
        Required revision of each key, 0 for a key that does not exist.
    key : str
    value : Record
        The revision of an `OrderRight` is filled in by the store.
    lease : int
        Lease of the entry, 0 for none.
    """

    __slots__ = ("expected", "key", "lease", "value")

    def __init__(self, expected, key, value, lease=0):
        self.expected = expected
        self.key = key
        self.value = value
        self.lease = lease


class ModelStore:
    """Entries, leases and history of the store.

    Attributes
    ----------
    entries : dict of str to EntryUpdated
    leases : dict of int to float
        Time (s) at which each lease expires.
    bound : dict of str to int
        Lease of each key that has one.
    history : list of EntryUpdated and EntryDeleted
    history_from : int
        Revision from which the history is complete; an earlier watch gets a snapshot.
    saved : ModelStore or None
        Copy to which the store may be set back.
    """

    __slots__ = (
        "bound",
        "entries",
        "era",
        "history",
        "history_from",
        "leases",
        "next_lease",
        "revision",
        "saved",
    )

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.entries = {}
        self.leases = {}
        self.bound = {}
        self.next_lease = 1
        self.history = []
        self.history_from = 0
        self.saved = None

    def copy(self):
        """Return an independent copy; entries are shared, since they are never changed."""
        new = ModelStore.__new__(ModelStore)
        new.era = self.era
        new.revision = self.revision
        new.entries = dict(self.entries)
        new.leases = dict(self.leases)
        new.bound = dict(self.bound)
        new.next_lease = self.next_lease
        new.history = list(self.history)
        new.history_from = self.history_from
        new.saved = self.saved
        return new

    def find_revision(self, key):
        """Return the revision of `key`, 0 if it does not exist."""
        entry = self.entries.get(key)
        return entry.revision if entry is not None else 0

    def write(self, transaction):
        """Carry out a `Transaction`; return its revision, 0 if it was refused."""
        if transaction.lease and transaction.lease not in self.leases:
            return 0
        for key, revision in transaction.expected.items():
            if self.find_revision(key) != revision:
                return 0
        self.revision += 1
        value = transaction.value
        if isinstance(value, OrderRight):
            value = OrderRight(value.server, value.node, self.revision, value.era)
        entry = EntryUpdated(transaction.key, value, self.revision)
        self.entries[entry.key] = entry
        self.bound.pop(entry.key, None)
        if transaction.lease:
            self.bound[entry.key] = transaction.lease
        self.history.append(entry)
        return self.revision

    def remove(self, key):
        """Delete an entry."""
        self.revision += 1
        del self.entries[key]
        self.bound.pop(key, None)
        self.history.append(EntryDeleted(key, self.revision))

    def grant_lease(self, expires_at):
        """Return the number of a new lease that ends at `expires_at` (s)."""
        number = self.next_lease
        self.next_lease += 1
        self.leases[number] = expires_at
        return number

    def renew_lease(self, number, expires_at):
        """Extend a lease to `expires_at` (s); return False if it has ended."""
        if number not in self.leases:
            return False
        self.leases[number] = max(expires_at, self.leases[number])
        return True

    def expire_leases(self, now):
        """Remove the leases that have ended at `now` (s), and their entries."""
        for number in [n for n, expires_at in self.leases.items() if expires_at <= now]:
            del self.leases[number]
            for key in [key for key, lease in self.bound.items() if lease == number]:
                self.remove(key)

    def list_changes(self, after):
        """Return the changes after a revision, or None if the history does not reach back."""
        if after < self.history_from:
            return None
        return [message for message in self.history if message.revision > after]

    def forget_history(self, revision):
        """Drop the history up to `revision`, which no node needs any more."""
        self.history = [message for message in self.history if message.revision > revision]

    def save_copy(self):
        """Keep a copy of the present state for `set_back`."""
        self.saved = self.copy()

    def set_back(self, now, ttl_s):
        """Return to the saved copy in a new era; its leases begin anew at `now` (s)."""
        saved = self.saved
        self.era += 1
        self.revision = saved.revision
        self.entries = dict(saved.entries)
        self.bound = dict(saved.bound)
        self.leases = dict.fromkeys(saved.leases, now + ttl_s)
        self.next_lease = saved.next_lease
        self.history = []
        self.history_from = saved.revision
        self.saved = None
