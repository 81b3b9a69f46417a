"""Canonical encoding of a state: times and revisions relative to the present ones."""

from math import inf

from orjson import dumps
from xxhash import xxh3_128_intdigest

from medlarbeam.checking.world import TAKEOVER_WAIT_S
from medlarbeam.classes.fleet import FleetConfig, NodeRegistration, OrderRight
from medlarbeam.classes.node_records import SettledEra
from medlarbeam.gateway.fleet_state import OUTAGE_RELEVANCE_S
from medlarbeam.gateway.order_rights import (
    LEASE_TTL_S,
    REVISION_BITS,
    RIGHT_VALIDITY_S,
)

__all__ = ["describe_state", "hash_state"]

# Ages above these change no decision any more; the encoding merges them.
AGE_CAP_S = TAKEOVER_WAIT_S + 0.5


def hash_state(world):
    """Return a 128-bit hash of the canonical encoding of a `World`."""
    return xxh3_128_intdigest(dumps(describe_state(world)))


def describe_state(world):
    """Return the canonical encoding of a `World` as nested lists.

    Notes
    -----
    Two states with the same encoding allow the same events and decisions: the code compares
    times with the present one, and revisions with each other and with 0.
    """
    encoder = StateEncoder(world.now, world.store.revision)
    return [
        encoder.encode_store(world.store),
        [encoder.encode_gateway(gateway) for gateway in world.gateways.values()],
        [
            [encoder.token(log.highest_fence), log.node, encoder.age(log.at, LEASE_TTL_S * 2)]
            for log in world.logs.values()
        ],
        list(world.faults.values()),
        sorted(dumps(encoder.encode_write(write)).decode() for write in world.late_writes),
    ]


class StateEncoder:
    """Encodes the parts of a state relative to a time (s) and a revision."""

    __slots__ = ("now", "revision")

    def __init__(self, now, revision):
        self.now = now
        self.revision = revision

    def age(self, time, cap=AGE_CAP_S):
        """Return the age (s) of a past time, at most `cap`."""
        return None if time is None else min(round(self.now - time, 4), cap)

    def remaining(self, time):
        """Return the time (s) that is left until `time`, 0 if it has passed."""
        return None if time is None else max(round(time - self.now, 4), 0.0)

    def offset(self, revision):
        """Return how far a revision is behind the store, and none for 0."""
        return self.revision - revision if revision else None

    def token(self, fence):
        """Return the era of a fencing token and the offset of its revision."""
        revision = fence & ((1 << REVISION_BITS) - 1)
        return [fence >> REVISION_BITS, self.offset(revision)]

    def value(self, value):
        """Return what decides in an entry's value."""
        if isinstance(value, NodeRegistration):
            return [value.name, value.incarnation]
        if isinstance(value, OrderRight):
            return [value.node, self.offset(value.revision), value.era]
        if isinstance(value, FleetConfig):
            return value.version
        if isinstance(value, SettledEra):
            return value.era
        return value.draining

    def entries(self, entries):
        """Return the encoding of entries of the store, sorted by key."""
        return [
            [key, self.offset(entry.revision), self.value(entry.value)]
            for key, entry in sorted(entries.items())
        ]

    def times(self, times, encode):
        """Return a dict of times, sorted by key."""
        return [[key, encode(time)] for key, time in sorted(times.items())]

    def encode_store(self, store):
        """Return the encoding of the store."""
        saved = store.saved
        return [
            store.era,
            self.entries(store.entries),
            self.times(store.leases, self.remaining),
            sorted(store.bound.items()),
            store.next_lease,
            self.offset(store.history_from),
            [
                [message.key, self.offset(message.revision), hasattr(message, "value")]
                + ([self.value(message.value)] if hasattr(message, "value") else [])
                for message in store.history
            ],
            saved
            and [
                self.offset(saved.revision),
                self.entries(saved.entries),
                sorted(saved.leases),
                sorted(saved.bound.items()),
                saved.next_lease,
            ],
        ]

    def encode_write(self, write):
        """Return the encoding of a `Transaction`."""
        expected = [[key, self.offset(r)] for key, r in sorted(write.expected.items())]
        return [expected, write.key, self.value(write.value), write.lease]

    def encode_gateway(self, gateway):
        """Return the encoding of a `CheckedGateway`."""
        return [
            gateway.is_cut,
            gateway.is_frozen,
            gateway.is_mute,
            gateway.settings.incarnation,
            self.encode_session(gateway.session),
            self.encode_fleet(gateway.fleet),
            self.encode_rights(gateway.rights),
        ]

    def encode_session(self, session):
        """Return the encoding of a `StoreSession`."""
        answer = session.late_answer
        return [
            session.era,
            self.offset(session.known_revision),
            session.lease,
            session.is_registered,
            self.offset(session.registration_revision),
            answer and [self.age(answer.sent_at), answer.is_new, self.offset(answer.revision)],
        ]

    def encode_fleet(self, fleet):
        """Return the encoding of the copy of the store."""
        return [
            fleet.era,
            self.offset(fleet.revision),
            fleet.is_set_back,
            fleet.settled_era,
            self.offset(fleet.registration_revision),
            sorted(fleet.left),
            fleet.config and fleet.config.version,
            self.entries(fleet.keys),
            sorted(fleet.nodes),
            self.entries_of_rights(fleet.rights),
            self.times(fleet.node_missing_since, self.age),
            self.times(fleet.doubtful_until, self.remaining),
            self.age(fleet.store_unavailable_at, OUTAGE_RELEVANCE_S),
            [
                [
                    name,
                    self.remaining(known.stop_at),
                    (
                        known.missing_since
                        if known.missing_since == inf
                        else self.age(known.missing_since)
                    ),
                    known.draining,
                    known.entry.draining,
                ]
                for name, known in sorted(fleet.servers.items())
            ],
        ]

    def entries_of_rights(self, rights):
        """Return the encoding of the rights that a node knows."""
        return [[name, self.value(right)] for name, right in sorted(rights.items())]

    def encode_rights(self, rights):
        """Return the encoding of the state of `OrderRights`."""
        return [
            self.age(rights.confirmed_at, RIGHT_VALIDITY_S),
            self.age(rights.synced_at, RIGHT_VALIDITY_S),
            self.age(rights.record_era_at, 0.0),
            self.offset(rights.registered_revision),
            self.remaining(rights.settled_at),
            sorted(rights.holders.items()),
            self.times(rights.usable_at, self.remaining),
            sorted(rights.carried),
            sorted(rights.acquiring),
            self.times(rights.acquire_after, self.remaining),
        ]
