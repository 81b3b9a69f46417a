"""State of the key-value stand-in: keys, revisions, leases and watchers."""

from collections import deque

from sortedcontainers import SortedDict

from medlarbeam.classes.record import Record

__all__ = ["Change", "CompactedError", "KeyValue", "KvLease", "KvStore", "KvWatcher", "StoreError"]

_HISTORY_LIMIT = 10_000  # changes; a watch that starts earlier is rejected as compacted


class StoreError(Exception):
    """A rejected call, with the gRPC status code of its response."""

    def __init__(self, code, reason):
        super().__init__(reason)
        self.code = code
        self.reason = reason


class CompactedError(StoreError):
    """A watch whose start revision is older than the retained history."""


class KeyValue(Record):
    """A key with its value and metadata; immutable, each put creates a new instance.

    Parameters
    ----------
    key, value : bytes
    create_revision, mod_revision, version : int
        As in etcd; `version` is the number of puts since the key was created.
    lease : int
        Lease id, 0 for none.
    """

    __slots__ = ("create_revision", "key", "lease", "mod_revision", "value", "version")

    def __init__(self, key, value, create_revision, mod_revision, version, lease):
        self.key = key
        self.value = value
        self.create_revision = create_revision
        self.mod_revision = mod_revision
        self.version = version
        self.lease = lease


class Change(Record):
    """A put of `key` at `revision`, or a deletion if `key_value` is None."""

    __slots__ = ("key", "key_value", "revision")

    def __init__(self, key, revision, key_value):
        self.key = key
        self.revision = revision
        self.key_value = key_value


class KvLease:
    """A lease and the keys attached to it.

    Parameters
    ----------
    lease_id : int
    ttl : int
        Time to live (s).
    expires_at : float
        Monotonic time (s).
    """

    __slots__ = ("expires_at", "keys", "lease_id", "ttl")

    def __init__(self, lease_id, ttl, expires_at):
        self.lease_id = lease_id
        self.ttl = ttl
        self.expires_at = expires_at
        self.keys = set()


class KvWatcher:
    """A watch on a key, or on the keys from `key` up to but excluding `range_end`.

    Parameters
    ----------
    key, range_end : bytes
    start_revision : int
        Earlier changes are not delivered.
    on_change : callable
        Called without arguments after each addition to `changes`.
    """

    __slots__ = ("changes", "key", "on_change", "range_end", "start_revision")

    def __init__(self, key, range_end, start_revision, on_change):
        self.key = key
        self.range_end = range_end
        self.start_revision = start_revision
        self.on_change = on_change
        self.changes = []

    def enqueue(self, change):
        """Add a change to the undelivered ones if the watch covers it."""
        if change.revision < self.start_revision:
            return
        if is_in_range(change.key, self.key, self.range_end):
            self.changes.append(change)
            self.on_change()

    def take_changes(self):
        """Return the changes since the previous call, oldest first."""
        changes, self.changes = self.changes, []
        return changes


def is_in_range(key, first, range_end):
    """Return whether `key` lies in a range as etcd defines it."""
    if not range_end:
        return key == first
    return key >= first and (range_end == b"\0" or key < range_end)


class KvStore:
    """Keys with revisions, leases and watchers.

    Notes
    -----
    All writes of one call share a revision: `put` and `delete` collect changes, `commit` assigns
    the revision. Times are monotonic seconds, passed in by the caller.
    """

    __slots__ = (
        "history",
        "keys",
        "leases",
        "next_lease_id",
        "oldest_revision",
        "pending",
        "revision",
        "watchers",
    )

    def __init__(self):
        self.keys = SortedDict()
        self.revision = 1
        self.oldest_revision = 1
        self.history = deque()
        self.pending = []
        self.leases = {}
        self.next_lease_id = 7587_000_001
        self.watchers = []

    def find(self, key, range_end=b""):
        """Return the list of `KeyValue` in a range, in key order."""
        if not range_end:
            return [self.keys[key]] if key in self.keys else []
        last = None if range_end == b"\0" else range_end
        return [self.keys[k] for k in self.keys.irange(key, last, inclusive=(True, False))]

    def put(self, key, value, lease_id=0):
        """Write a key; the change takes its revision in the next `commit`."""
        if lease_id and lease_id not in self.leases:
            raise StoreError(5, "etcdserver: requested lease not found")
        old = self.keys.get(key)
        if old is not None and old.lease:
            self.leases[old.lease].keys.discard(key)
        revision = self.revision + 1
        created = old.create_revision if old is not None else revision
        version = old.version + 1 if old is not None else 1
        key_value = KeyValue(key, value, created, revision, version, lease_id)
        self.keys[key] = key_value
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self.pending.append(Change(key, revision, key_value))

    def delete(self, key, range_end=b""):
        """Delete a range, to be followed by `commit`; return the number of deleted keys."""
        found = self.find(key, range_end)
        for key_value in found:
            del self.keys[key_value.key]
            if key_value.lease:
                self.leases[key_value.lease].keys.discard(key_value.key)
            self.pending.append(Change(key_value.key, self.revision + 1, None))
        return len(found)

    def commit(self):
        """Assign one revision to the pending changes and notify the watchers."""
        if not self.pending:
            return
        self.revision += 1
        changes, self.pending = self.pending, []
        for change in changes:
            self.history.append(change)
            for watcher in self.watchers:
                watcher.enqueue(change)
        while len(self.history) > _HISTORY_LIMIT:
            self.oldest_revision = self.history.popleft().revision + 1

    def grant(self, lease_id, ttl, now):
        """Grant a lease; `lease_id` 0 lets the store choose the id."""
        if lease_id in self.leases:
            raise StoreError(9, "etcdserver: lease already exists")
        if ttl <= 0:
            raise StoreError(3, "etcdserver: lease TTL must be greater than 0")
        if not lease_id:
            lease_id = self.next_lease_id
            self.next_lease_id += 1
        self.leases[lease_id] = KvLease(lease_id, ttl, now + ttl)
        return self.leases[lease_id]

    def keep_alive(self, lease_id, now):
        """Renew a lease; return its TTL (s), or 0 if the lease is unknown."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = now + lease.ttl
        return lease.ttl

    def revoke(self, lease_id):
        """Revoke a lease and delete its keys."""
        if lease_id not in self.leases:
            raise StoreError(5, "etcdserver: requested lease not found")
        for key in sorted(self.leases[lease_id].keys):
            self.delete(key)
        del self.leases[lease_id]
        self.commit()

    def expire(self, now):
        """Revoke the expired leases."""
        expired = [lease for lease in self.leases.values() if lease.expires_at <= now]
        for lease in expired:
            self.revoke(lease.lease_id)

    def next_expiry(self):
        """Return the time (s) at which the next lease expires, or infinity without leases."""
        return min((lease.expires_at for lease in self.leases.values()), default=float("inf"))

    def watch(self, key, range_end, start_revision, on_change):
        """Register and return a `KvWatcher`.

        Parameters
        ----------
        key, range_end : bytes
        start_revision : int
            First revision to deliver; 0 for future changes only.
        on_change : callable
            See `KvWatcher`.

        Raises
        ------
        CompactedError
            If `start_revision` is older than the retained history.
        """
        watcher = KvWatcher(key, range_end, start_revision, on_change)
        if start_revision:
            if start_revision < self.oldest_revision:
                reason = "etcdserver: mvcc: required revision has been compacted"
                raise CompactedError(11, reason)
            for change in self.history:
                watcher.enqueue(change)
        self.watchers.append(watcher)
        return watcher

    def remove_watcher(self, watcher):
        """Stop delivering changes to a watcher."""
        self.watchers.remove(watcher)
