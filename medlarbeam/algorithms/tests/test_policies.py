"""Tests of routing, queueing, load budget, eviction and catalog changes.

The tables contrast the policies with their naive versions, which show the failure in question.
"""

import random

import pytest

from medlarbeam.algorithms.catalog_changes import apply_note, compute_shard
from medlarbeam.algorithms.eviction import AdapterUsage, DecayedUseEviction, NaiveEviction
from medlarbeam.algorithms.fair_queue import FifoQueue, PriorityFairQueue
from medlarbeam.algorithms.load_budget import SharedLoadBudget, UnlimitedLoadBudget
from medlarbeam.algorithms.routing import HashRouting, NaiveRouting, rank_servers
from medlarbeam.classes.catalog import (
    AdapterVersion,
    CatalogHead,
    CatalogShard,
    NoteAction,
    NoteEntry,
    ReleaseNote,
)
from medlarbeam.classes.cells import BackendServer
from medlarbeam.classes.requests import Rank, Request
from medlarbeam.exceptions import ErrorKind, Failure
from medlarbeam.node.component import ServerView

NAMES = [f"e{i}" for i in range(9)]


def make_request(rank=Rank.ORDINARY, models=("a@1",), request_id="r"):
    return Request(request_id, "caller", rank, 10.0, list(models), "prompt")


def make_view(name, queued=0, resident=(), domain="fd1"):
    server = BackendServer(name, "127.0.0.1:1", domain, domain, concurrency=4)
    return ServerView(server, "n1", True, queued, 0, list(resident))


class Attempt:
    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


@pytest.mark.parametrize("lost", NAMES, ids=[f"loss-of-{n}-reorders-others" for n in NAMES])
def test_rendezvous_order_is_stable_after_loss(lost):
    before = [n for n in rank_servers("a@1", NAMES) if n != lost]
    assert rank_servers("a@1", [n for n in NAMES if n != lost]) == before


FIRST, SECOND = rank_servers("a@1", ["e0", "e1"])
ROUTES = [
    (
        "resident-adapter-is-preferred",
        [make_view(SECOND, 1, ["a@1"]), make_view(FIRST)],
        {},
        SECOND,
    ),
    ("first-in-hash-order-loads-adapter", [make_view(SECOND), make_view(FIRST)], {}, FIRST),
    ("loaded-server-is-bypassed", [make_view(SECOND, 1), make_view(FIRST, 9)], {}, SECOND),
    (
        "outdated-load-report-is-corrected",
        [make_view(SECOND), make_view(FIRST)],
        {FIRST: 9},
        SECOND,
    ),
    (
        "local-failure-domain-breaks-tie",
        [make_view(FIRST, 0, ["a@1"], "fd2"), make_view(SECOND, 0, ["a@1"])],
        {},
        SECOND,
    ),
]


@pytest.mark.parametrize(
    ("views", "sent", "expected"), [r[1:] for r in ROUTES], ids=[r[0] for r in ROUTES]
)
def test_route(views, sent, expected):
    route = HashRouting().choose(make_request(), ["a@1"], views, sent, "fd1")
    assert route.view.server.name == expected


@pytest.mark.parametrize("policy", [HashRouting(), NaiveRouting()], ids=["hash", "naive"])
def test_no_server_gives_no_route(policy):
    assert policy.choose(make_request(), ["a@1"], [], {}, "fd1") is None


def test_resident_model_is_preferred():
    request = make_request(models=["cold@1", "warm@1"])
    route = HashRouting().choose(
        request, request.models, [make_view("e0", 0, ["warm@1"])], {}, "fd1"
    )
    assert route.model == "warm@1"


def count_loads(policy, seed):
    """Return how many requests of a skewed workload need an adapter load."""
    rng = random.Random(seed)
    views = [make_view(name) for name in NAMES]
    misses = 0
    for _ in range(600):
        model = f"m{min(int(rng.paretovariate(1.0)), 200)}@1"
        view = policy.choose(make_request(), [model], views, {}, "fd1").view
        view.queued = rng.randrange(4)
        if model not in view.resident:
            misses += 1
            view.resident = [*view.resident, model][-4:]
    return misses


@pytest.mark.parametrize("seed", [1, 2, 3], ids=["seed-1", "seed-2", "seed-3"])
def test_hash_routing_needs_fewer_loads_than_naive(seed):
    assert count_loads(HashRouting(), seed) < count_loads(NaiveRouting(), seed)


PUSHES = [
    ("nothing-is-shed-below-limit", PriorityFairQueue(8), [2] * 8, []),
    ("urgent-displaces-yielding", PriorityFairQueue(8), [2] * 8 + [0], [2]),
    ("yielding-keeps-reserved-capacity", PriorityFairQueue(8), [2] + [0] * 8, [0]),
    ("yielding-overload-sheds-yielding", PriorityFairQueue(8), [2] * 10, [2, 2]),
    ("urgent-overload-leaves-reserve-of-ordinary", PriorityFairQueue(8), [0] * 8 + [1], [0]),
    ("naive-sheds-urgent", FifoQueue(8), [2] * 8 + [0], [0]),
]


@pytest.mark.parametrize(
    ("queue", "ranks", "shed"), [p[1:] for p in PUSHES], ids=[p[0] for p in PUSHES]
)
def test_full_queue_sheds_by_rank(queue, ranks, shed):
    displaced = [queue.push(Attempt(make_request(Rank(r)))) for r in ranks]
    assert [int(d.request.rank) for d in displaced if d is not None] == shed


OVERLOADS = [
    ("urgent-overload-leaves-minimum-shares", PriorityFairQueue, 0.15, 0.05),
    ("naive-starves-lower-ranks", FifoQueue, 0.0, 0.0),
]


@pytest.mark.parametrize(
    ("kind", "ordinary", "yielding"), [o[1:] for o in OVERLOADS], ids=[o[0] for o in OVERLOADS]
)
def test_minimum_share_of_each_rank(kind, ordinary, yielding):
    queue = kind(5000)
    for rank in [0] * 1000 + [1] * 1000 + [2] * 1000:
        queue.push(Attempt(make_request(Rank(rank))))
    served = [queue.pop(lambda a: True).request.rank for _ in range(400)]
    assert served.count(Rank.ORDINARY) == pytest.approx(400 * ordinary, rel=0.2)
    assert served.count(Rank.YIELDING) == pytest.approx(400 * yielding, rel=0.2)


CALLERS = [
    ("callers-share-fairly", PriorityFairQueue, 5),
    ("naive-starves-other-callers", FifoQueue, 0),
]


@pytest.mark.parametrize(("kind", "served"), [c[1:] for c in CALLERS], ids=[c[0] for c in CALLERS])
def test_busy_caller_does_not_starve_others(kind, served):
    queue = kind(100)
    for caller in ["busy"] * 50 + ["other"] * 5:
        attempt = Attempt(make_request())
        attempt.request.caller = caller
        queue.push(attempt)
    callers = [queue.pop(lambda a: True).request.caller for _ in range(11)]
    assert callers.count("other") == served


RESERVES = [
    ("urgent-uses-reserve", Rank.URGENT, True),
    ("yielding-keeps-reserve", Rank.YIELDING, False),
]


@pytest.mark.parametrize(
    ("rank", "is_acquired"), [r[1:] for r in RESERVES], ids=[r[0] for r in RESERVES]
)
def test_last_token_is_reserved_for_urgent_load(rank, is_acquired):
    budget = SharedLoadBudget(7.0, 24)
    assert budget.try_acquire(1 / 9, 0, Rank.YIELDING, 0.0)
    assert (
        budget.try_acquire(1 / 9, 0, rank, budget.time_until_available(1 / 9, Rank.URGENT))
        == is_acquired
    )


BUDGETS = [
    ("nine-shares-stay-within-store-rate", lambda: SharedLoadBudget(7.0, 24), True),
    ("naive-exceeds-the-store-rate", UnlimitedLoadBudget, False),
]


@pytest.mark.parametrize(("make", "is_kept"), [b[1:] for b in BUDGETS], ids=[b[0] for b in BUDGETS])
def test_rate_of_loads(make, is_kept):
    budgets = [make() for _ in NAMES]
    loads = sum(
        b.try_acquire(1 / 9, 0, Rank.URGENT, step / 10) for step in range(600) for b in budgets
    )
    assert (loads <= 7 * 60 + len(NAMES)) == is_kept


USES = [
    ("least-used-adapter-is-evicted", DecayedUseEviction(), "rare"),
    ("naive-evicts-most-used-adapter", NaiveEviction(), "busy"),
]


@pytest.mark.parametrize(("policy", "first"), [u[1:] for u in USES], ids=[u[0] for u in USES])
def test_eviction_order(policy, first):
    usages = [AdapterUsage("busy"), AdapterUsage("rare")]
    for now in range(10):
        usages[0].add_use(float(now))
    usages[1].add_use(9.0)
    assert policy.sort_for_eviction(usages, 10.0)[0].model == first


def make_note(action, version="1", source="w", **options):
    entry = NoteEntry(action, AdapterVersion("a", version, source))
    return ReleaseNote("n2", "op", [entry], **options)


def make_catalog():
    number = compute_shard("a", 4)
    keys = [""] * 4
    keys[number] = "k"
    shard = CatalogShard("k", [AdapterVersion("a", "1", "w")])
    return CatalogHead(1, keys, ["n1"], ["e3"]), {"k": shard}


INVALID, CONFLICT = ErrorKind.NOTE_INVALID, ErrorKind.NOTE_CONFLICT
NOTES = [
    ("add-existing-model", make_note(NoteAction.ADD), INVALID),
    ("withdraw-unknown-model", make_note(NoteAction.WITHDRAW, "9"), INVALID),
    ("change-of-source", make_note(NoteAction.CHANGE, source="other"), INVALID),
    ("outdated-base-revision", make_note(NoteAction.ADD, "2", base_revision=0), CONFLICT),
    ("drain-drained-server", ReleaseNote("n2", "op", [], drain=["e3"]), INVALID),
    ("undrain-server-in-service", ReleaseNote("n2", "op", [], undrain=["e4"]), INVALID),
]


@pytest.mark.parametrize(("note", "kind"), [n[1:] for n in NOTES], ids=[n[0] for n in NOTES])
def test_note_is_refused(note, kind):
    result = apply_note(note, *make_catalog(), "x")
    assert isinstance(result, Failure) and result.kind is kind


ACCEPTED = [
    ("add", make_note(NoteAction.ADD, "2"), ["a@1", "a@2"], ["e3"]),
    ("withdraw", make_note(NoteAction.WITHDRAW), [], ["e3"]),
    ("undrain", ReleaseNote("n2", "op", [], undrain=["e3"]), ["a@1"], []),
]


@pytest.mark.parametrize(
    ("note", "models", "drained"), [a[1:] for a in ACCEPTED], ids=[a[0] for a in ACCEPTED]
)
def test_note_takes_effect(note, models, drained):
    head, shards = make_catalog()
    change = apply_note(note, head, shards, "x")
    held = {**shards, **{s.key: s for s in change.shards}}
    found = [i.model for k in change.head.shard_keys if k for i in held[k].items]
    assert (found, change.head.drained) == (models, drained)
    assert (change.head.revision, change.head.recent) == (2, ["n1", "n2"])
