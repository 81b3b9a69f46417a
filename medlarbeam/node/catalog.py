"""The catalogue as a node knows it, kept up to date from the platform and from peers."""

from medlarbeam.algorithms.routing import rank_servers
from medlarbeam.classes.catalog import CatalogHead
from medlarbeam.classes.effects import LogEvent, SendPeer
from medlarbeam.classes.peer_messages import FetchCatalog, NoteSpread, Pong
from medlarbeam.classes.platform import KvCall, KvGet, KvOutcome
from medlarbeam.exceptions import ErrorKind, Failure, FormatError
from medlarbeam.node.component import Catalog
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD

__all__ = ["HEAD_KEY", "CatalogKeeper", "make_empty_head"]

HEAD_KEY = "catalog/head"
READ_INTERVAL_S = 1.0  # one node of a cell reads the head this often
FETCH_TIMEOUT_S = 3.0
SPREAD_ITEMS = 500  # adapter versions in one message; decoding 2,700 took 50 ms of the loop


def make_empty_head(shards):
    """Return the head of a catalogue without adapters."""
    return CatalogHead(0, [""] * shards, [])


class CatalogKeeper(Catalog):
    """Copy of the catalogue; its revision only grows.

    Attributes
    ----------
    head : CatalogHead or None
        The head in force here.
    confirmed_at : float
        Latest time (s) at which that head is known to have been the latest.
    next_head : CatalogHead or None
        A newer head whose shards are still being fetched.
    """

    __slots__ = (
        "confirmed_at",
        "fetching",
        "head",
        "heard_at",
        "heard_revision",
        "index",
        "next_head",
        "next_head_at",
        "next_read",
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
        self.fetching = {}  # time until which a shard's read is awaited, by key
        self.next_read = 0.0
        self.heard_revision = 0  # greatest revision in a pong, known to be the latest at heard_at
        self.heard_at = float("-inf")

    def peer_handlers(self):
        """Return the methods by peer message class."""
        return {Pong: self.take_pong, FetchCatalog: self.take_fetch, NoteSpread: self.take_spread}

    # What other components ask

    def is_known(self):
        """Return whether this node has a catalogue."""
        return self.head is not None

    def check(self, model, now):
        """Return None if `model` may be served, else a `Failure`."""
        if self.head is None:
            return Failure(ErrorKind.CATALOG_UNCONFIRMED, "this node has no catalogue yet")
        item = self.index.get(model)
        if item is None:
            return Failure(ErrorKind.UNKNOWN_ADAPTER, f"the catalogue has no {model}")
        if item.must_confirm and self.confirm_age(now) > self.node.settings.confirm_limit_s:
            reason = f"the catalogue was last confirmed {self.confirm_age(now):.0f} s ago"
            return Failure(ErrorKind.CATALOG_UNCONFIRMED, f"{model}: {reason}")
        return None

    def source_of(self, model):
        """Return the path of the model's weights, "" if it is unknown."""
        item = self.index.get(model)
        return item.source if item is not None else ""

    def is_drained(self, server):
        """Return whether an operator's order keeps new work from `server`."""
        return self.head is not None and server in self.head.drained

    def revision(self):
        """Return the revision in force here, 0 for none."""
        return self.head.revision if self.head is not None else 0

    def confirm_age(self, now):
        """Return the seconds since the revision was known to be the latest."""
        return now - self.confirmed_at

    # Adoption

    def offer(self, head, now, out, known_at):
        """Take a head that was the latest at `known_at` (s), -infinity if that is not known."""
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
        """Note that the head in force was the latest at `known_at` (s)."""
        self.confirmed_at = max(self.confirmed_at, known_at)

    def keep_shard(self, shard):
        """Keep a shard value for a head that is to be adopted."""
        self.staged[shard.key] = shard

    def missing_keys(self):
        """Return the keys of the shards that the next head still needs."""
        if self.next_head is None:
            return []
        keys = [k for k in self.next_head.shard_keys if k]
        return [k for k in keys if k not in self.shards and k not in self.staged]

    def _adopt_if_complete(self, now, out):
        if self.next_head is None or self.missing_keys():
            return
        head = self.next_head
        held = {**self.shards, **self.staged}
        self._exchange_shards({k: held[k] for k in head.shard_keys if k})
        changed = set(head.drained) ^ set(self.head.drained if self.head else ())
        self.head = head
        self.confirmed_at = self.next_head_at
        self.next_head = None
        self.staged = {}
        self.fetching = {}
        for server in sorted(changed):
            self.node.runs.drain(server, server in head.drained, now, out)
        out.emit(LogEvent("catalog_adopted", f"revision {head.revision}"))

    def _exchange_shards(self, shards):
        """Replace the shards; only those that differ are indexed again.

        Notes
        -----
        The values are immutable, so a key that stays has the same items. Building the whole index
        for each note grows with the catalogue and not with the note.
        """
        gone = [shard for key, shard in self.shards.items() if key not in shards]
        new = [shard for key, shard in shards.items() if key not in self.shards]
        for shard in gone:
            for item in shard.items:
                self.index.pop(item.model, None)
        for shard in new:
            for item in shard.items:
                self.index[item.model] = item
        self.shards = shards

    # Peers

    def take_pong(self, sender, pong, now, out):
        """Learn a newer revision, or that the present one is the latest."""
        self._note_heard(sender, pong)
        if pong.revision > self.revision() or (self.head is None and pong.confirm_age_s < 1e9):
            waiting = self.next_head is not None and self.next_head.revision >= pong.revision
            if not waiting or self.missing_keys():
                out.emit(SendPeer(sender, FetchCatalog(self.revision(), sorted(self.shards))))
        elif self.head is not None and pong.revision == self.revision():
            self.confirm(self.heard_at)

    def _note_heard(self, sender, pong):
        sent_at = self.node.ownership.ping_sent_at(sender, pong.seq)
        if sent_at is None or pong.revision < self.heard_revision:
            return
        # The age counts from the ping's own send time, so a slow answer looks older, not younger.
        known_at = sent_at - pong.confirm_age_s
        if pong.revision == self.heard_revision:
            known_at = max(known_at, self.heard_at)
        self.heard_revision = pong.revision
        self.heard_at = known_at

    def take_fetch(self, sender, fetch, now, out):
        """Send the head and the shards that the peer lacks."""
        if self.head is not None:
            self.spread(sender, set(fetch.shard_keys), out)

    def spread(self, peer, known_keys, out):
        """Send the head, and the shards whose keys are not in `known_keys`, to a peer."""
        batch = []
        items = 0
        for key in self.shards:
            if key in known_keys:
                continue
            batch.append(self.shards[key])
            items += len(self.shards[key].items)
            if items >= SPREAD_ITEMS:
                out.emit(SendPeer(peer, NoteSpread(self.head, batch)))
                batch, items = [], 0
        out.emit(SendPeer(peer, NoteSpread(self.head, batch)))

    def take_spread(self, sender, spread, now, out):
        """Take a head and shards from a peer."""
        if self.head is not None and spread.head.revision <= self.head.revision:
            return
        for shard in spread.shards:
            self.keep_shard(shard)
        heard = spread.head.revision == self.heard_revision
        self.offer(spread.head, now, out, self.heard_at if heard else float("-inf"))

    # Platform

    def next_deadline(self):
        """Return the time of the next read of the head."""
        return self.next_read

    def tick(self, now, out):
        """Read the head if this node is the reader of its cell, and missing shards."""
        self.next_read = now + READ_INTERVAL_S
        if self.head is None or self._is_reader(now):
            self._call("head", KvGet(HEAD_KEY), now, out)
        self._fetch_missing(now, out)

    def _is_reader(self, now):
        """Return whether this node reads the head; two readers at once do no harm."""
        names = self.node.ownership.live_members()
        return not names or rank_servers(HEAD_KEY, names)[0] == self.node.settings.name

    def _fetch_missing(self, now, out):
        for key in self.missing_keys():
            if self.fetching.get(key, float("-inf")) <= now:
                self.fetching[key] = now + FETCH_TIMEOUT_S
                self._call("shard", KvGet(key), now, out)

    def _call(self, token, op, now, out):
        out.emit(KvCall(self.name, token, op, now))

    def handle_kv(self, result, now, out):
        """Take the head or a shard from the platform."""
        if result.outcome is not KvOutcome.APPLIED:
            self.fetching.pop(result.call.op.key, None)
            return
        try:
            if result.call.token == "head":
                self._take_head(result, now, out)
            else:
                self._take_shard(result, now, out)
        except FormatError as error:
            out.emit(LogEvent("bad_platform_value", str(error), level="error"))

    def _take_head(self, result, now, out):
        if result.entries:
            head = CATALOG_HEAD.decode(result.entries[0].value)
        else:
            head = make_empty_head(self.node.settings.catalog_shards)
        self.offer(head, now, out, result.call.sent_at)
        self._fetch_missing(now, out)

    def _take_shard(self, result, now, out):
        for entry in result.entries:
            shard = CATALOG_SHARD.decode(entry.value)
            if shard.key in self.missing_keys():
                self.keep_shard(shard)
        self._adopt_if_complete(now, out)
