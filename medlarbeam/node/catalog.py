"""A node's replica of the catalog, updated from the platform and from peers."""

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.catalog import CatalogHead
from medlarbeam.classes.effects import LogEvent, SendPeer
from medlarbeam.classes.key_value import KvCall, KvGet, KvOutcome
from medlarbeam.classes.peer_messages import CatalogUpdate, FetchCatalog, Pong
from medlarbeam.exceptions import ErrorKind, Failure, FormatError
from medlarbeam.node.component import Catalog
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD

__all__ = ["HEAD_KEY", "CatalogReplica", "make_empty_head"]

HEAD_KEY = "catalog/head"
READ_INTERVAL_S = 1.0  # interval at which one node of a cell reads the head
FETCH_TIMEOUT_S = 3.0
MESSAGE_ITEMS = 500  # adapter versions per message; decoding 2,700 blocked the loop for 50 ms


def make_empty_head(shards):
    """Return the head of a catalog without adapters."""
    return CatalogHead(0, [""] * shards, [])


class CatalogReplica(Catalog):
    """Replica of the catalog; its revision only grows.

    Attributes
    ----------
    head : CatalogHead or None
        Head in force at this node.
    confirmed_at : float
        Last time (s) at which `head` is known to have been the latest one.
    next_head : CatalogHead or None
        Newer head whose shards are not all present yet.
    next_head_at : float
        Last time (s) at which `next_head` is known to have been the latest one.
    shards, staged : dict
        Shards of `head`, and those received for a later head, by key.
    index : dict
        `AdapterVersion` by model.
    fetch_deadlines : dict
        Time (s) until which the read of a shard is awaited, by key.
    peer_revision : int
        Greatest revision in a pong.
    peer_confirmed_at : float
        Last time (s) at which `peer_revision` is known to have been the latest one.
    """

    __slots__ = (
        "confirmed_at",
        "fetch_deadlines",
        "head",
        "index",
        "next_head",
        "next_head_at",
        "next_read",
        "peer_confirmed_at",
        "peer_revision",
        "shards",
        "staged",
    )

    name = "catalog"

    def __init__(self, node):
        super().__init__(node)
        self.head = None
        self.confirmed_at = float("-inf")
        self.next_head = None
        self.next_head_at = float("-inf")
        self.shards = {}
        self.staged = {}
        self.index = {}
        self.fetch_deadlines = {}
        self.next_read = 0.0
        self.peer_revision = 0
        self.peer_confirmed_at = float("-inf")

    def peer_handlers(self):
        """Return the handlers by peer message class."""
        return {
            Pong: self.handle_pong,
            FetchCatalog: self.handle_fetch,
            CatalogUpdate: self.handle_update,
        }

    # Queries of other components

    def is_known(self):
        """Return whether this node has a catalog."""
        return self.head is not None

    def check(self, model, now):
        """Return None if `model` may be served, else a `Failure`."""
        if self.head is None:
            return Failure(
                ErrorKind.CATALOG_UNCONFIRMED, "this node has not received a catalog yet"
            )
        item = self.index.get(model)
        if item is None:
            return Failure(ErrorKind.UNKNOWN_ADAPTER, f"{model} is not in the catalog")
        if item.must_confirm and self.confirm_age(now) > self.node.settings.confirm_limit_s:
            reason = f"the catalog was last confirmed {self.confirm_age(now):.0f} s ago"
            return Failure(ErrorKind.CATALOG_UNCONFIRMED, f"{model}: {reason}")
        return None

    def get_source(self, model):
        """Return the path of the model's weights, "" if it is unknown."""
        item = self.index.get(model)
        return item.source if item is not None else ""

    def is_drained(self, server):
        """Return whether an operator drains `server`, so that it gets no new work."""
        return self.head is not None and server in self.head.drained

    def revision(self):
        """Return the revision in force at this node, 0 for none."""
        return self.head.revision if self.head is not None else 0

    def confirm_age(self, now):
        """Return the time (s) since the revision was last known to be the latest."""
        return now - self.confirmed_at

    # Adoption

    def offer_head(self, head, now, out, known_at):
        """Adopt a newer head once its shards are present.

        Parameters
        ----------
        known_at : float
            Time (s) at which `head` was the latest one, -infinity if that is not known.
        """
        if self.head is not None and head.revision <= self.head.revision:
            if head.revision == self.head.revision:
                self.confirm(known_at)
            return
        if self.next_head is None or head.revision > self.next_head.revision:
            self.next_head = head
            self.next_head_at = known_at
        else:
            self.next_head_at = max(self.next_head_at, known_at)
        self._adopt_if_complete(now, out)

    def confirm(self, known_at):
        """Record that the head in force was the latest one at `known_at` (s)."""
        self.confirmed_at = max(self.confirmed_at, known_at)

    def stage_shard(self, shard):
        """Stage a shard for a head that is not adopted yet."""
        self.staged[shard.key] = shard

    def missing_keys(self):
        """Return the keys of the shards that are missing for the next head."""
        if self.next_head is None:
            return []
        keys = [k for k in self.next_head.shard_keys if k]
        return [k for k in keys if k not in self.shards and k not in self.staged]

    def _adopt_if_complete(self, now, out):
        if self.next_head is None or self.missing_keys():
            return
        head = self.next_head
        available = {**self.shards, **self.staged}
        self._replace_shards({k: available[k] for k in head.shard_keys if k})
        changed = set(head.drained) ^ set(self.head.drained if self.head else ())
        self.head = head
        self.confirmed_at = self.next_head_at
        self.next_head = None
        self.staged = {}
        self.fetch_deadlines = {}
        for server in sorted(changed):
            self.node.runs.drain(server, server in head.drained, now, out)
        out.emit(LogEvent("catalog_adopted", f"revision {head.revision}"))

    def _replace_shards(self, shards):
        """Replace the shards and update the index of those that differ.

        Notes
        -----
        Shards are immutable, so an unchanged key has the same items. The cost of a full rebuild
        would grow with the catalog instead of with the note.
        """
        removed = [shard for key, shard in self.shards.items() if key not in shards]
        new = [shard for key, shard in shards.items() if key not in self.shards]
        for shard in removed:
            for item in shard.items:
                self.index.pop(item.model, None)
        for shard in new:
            for item in shard.items:
                self.index[item.model] = item
        self.shards = shards

    # Peers

    def handle_pong(self, sender, pong, now, out):
        """Fetch a newer revision from a peer, or confirm the present one."""
        self._record_peer_revision(sender, pong)
        if pong.revision > self.revision() or (self.head is None and pong.confirm_age_s < 1e9):
            waiting = self.next_head is not None and self.next_head.revision >= pong.revision
            if not waiting or self.missing_keys():
                out.emit(SendPeer(sender, FetchCatalog(self.revision(), sorted(self.shards))))
        elif self.head is not None and pong.revision == self.revision():
            self.confirm(self.peer_confirmed_at)

    def _record_peer_revision(self, sender, pong):
        sent_at = self.node.ownership.ping_sent_at(sender, pong.seq)
        if sent_at is None or pong.revision < self.peer_revision:
            return
        # The age counts from the send time of the ping, so a slow pong cannot make it too low.
        known_at = sent_at - pong.confirm_age_s
        if pong.revision == self.peer_revision:
            known_at = max(known_at, self.peer_confirmed_at)
        self.peer_revision = pong.revision
        self.peer_confirmed_at = known_at

    def handle_fetch(self, sender, fetch, now, out):
        """Send the head and the shards that a peer is missing."""
        if self.head is not None:
            self.send_to_peer(sender, set(fetch.shard_keys), out)

    def send_to_peer(self, peer, known_keys, out):
        """Send the head, and the shards whose keys are not in `known_keys`, to a peer."""
        batch = []
        items = 0
        for key in self.shards:
            if key in known_keys:
                continue
            batch.append(self.shards[key])
            items += len(self.shards[key].items)
            if items >= MESSAGE_ITEMS:
                out.emit(SendPeer(peer, CatalogUpdate(self.head, batch)))
                batch, items = [], 0
        out.emit(SendPeer(peer, CatalogUpdate(self.head, batch)))

    def handle_update(self, sender, update, now, out):
        """Handle a head and shards from a peer."""
        if self.head is not None and update.head.revision <= self.head.revision:
            return
        for shard in update.shards:
            self.stage_shard(shard)
        confirmed = update.head.revision == self.peer_revision
        self.offer_head(
            update.head, now, out, self.peer_confirmed_at if confirmed else float("-inf")
        )

    # Platform

    def next_deadline(self):
        """Return the time (s) of the next read of the head."""
        return self.next_read

    def tick(self, now, out):
        """Read missing shards, and the head if this node is the reader of its cell."""
        self.next_read = now + READ_INTERVAL_S
        if self.head is None or self._is_head_reader(now):
            self._call("head", KvGet(HEAD_KEY), now, out)
        self._fetch_missing(now, out)

    def _is_head_reader(self, now):
        """Return whether this node reads the head for its cell; a second reader does no harm."""
        names = self.node.ownership.list_reachable_members()
        return not names or rank_servers(HEAD_KEY, names)[0] == self.node.settings.name

    def _fetch_missing(self, now, out):
        for key in self.missing_keys():
            if self.fetch_deadlines.get(key, float("-inf")) <= now:
                self.fetch_deadlines[key] = now + FETCH_TIMEOUT_S
                self._call("shard", KvGet(key), now, out)

    def _call(self, token, op, now, out):
        out.emit(KvCall(self.name, token, op, now))

    def handle_kv(self, result, now, out):
        """Handle the head or a shard read from the platform."""
        if result.outcome is not KvOutcome.APPLIED:
            self.fetch_deadlines.pop(result.call.op.key, None)
            return
        try:
            if result.call.token == "head":
                self._handle_head(result, now, out)
            else:
                self._handle_shard(result, now, out)
        except FormatError as error:
            out.emit(LogEvent("bad_platform_value", str(error), level="error"))

    def _handle_head(self, result, now, out):
        if result.entries:
            head = CATALOG_HEAD.decode(result.entries[0].value)
        else:
            head = make_empty_head(self.node.settings.catalog_shards)
        self.offer_head(head, now, out, result.call.sent_at)
        self._fetch_missing(now, out)

    def _handle_shard(self, result, now, out):
        for entry in result.entries:
            shard = CATALOG_SHARD.decode(entry.value)
            if shard.key in self.missing_keys():
                self.stage_shard(shard)
        self._adopt_if_complete(now, out)
