"""Policies of routing, queueing, loading and eviction, against their naive versions."""

import random

import pytest

from medlarbeam.algorithms.catalog_changes import apply_note, find_shard
from medlarbeam.algorithms.eviction import AdapterUse, DecayedUseEviction, NaiveEviction
from medlarbeam.algorithms.load_budget import SharedLoadBudget, UnlimitedLoadBudget
from medlarbeam.algorithms.rank_queue import FifoQueue, RankQueue
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


class Waiting:
    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


@pytest.mark.parametrize("gone", NAMES, ids=[f"without-{n}-others-stay" for n in NAMES])
def test_rendezvous_order_survives_a_loss(gone):
    before = [n for n in rank_servers("a@1", NAMES) if n != gone]
    assert rank_servers("a@1", [n for n in NAMES if n != gone]) == before


HOME, NEXT = rank_servers("a@1", ["e0", "e1"])
ROUTES = [
    ("resident-copy-goes-first", [make_view(NEXT, 1, ["a@1"]), make_view(HOME)], {}, NEXT),
    ("home-takes-a-cold-adapter", [make_view(NEXT), make_view(HOME)], {}, HOME),
    ("load-spills-to-the-next", [make_view(NEXT, 1), make_view(HOME, 9)], {}, NEXT),
    ("old-load-report-is-corrected", [make_view(NEXT), make_view(HOME)], {HOME: 9}, NEXT),
    (
        "own-failure-domain-on-ties",
        [make_view(HOME, 0, ["a@1"], "fd2"), make_view(NEXT, 0, ["a@1"])],
        {},
        NEXT,
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


def test_choice_among_models_prefers_resident():
    request = make_request(models=["cold@1", "warm@1"])
    route = HashRouting().choose(
        request, request.models, [make_view("e0", 0, ["warm@1"])], {}, "fd1"
    )
    assert route.model == "warm@1"


def count_loads(policy, seed):
    """Return how often an adapter is not resident where a skewed load is routed."""
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
def test_hash_routing_loads_less_than_naive(seed):
    assert count_loads(HashRouting(), seed) < count_loads(NaiveRouting(), seed)


PUSHES = [
    ("room-for-all", RankQueue(8), [2] * 8, []),
    ("urgent-displaces-yielding", RankQueue(8), [2] * 8 + [0], [2]),
    ("yielding-keeps-its-reserve", RankQueue(8), [2] + [0] * 8, [0]),
    ("yielding-flood-sheds-itself", RankQueue(8), [2] * 10, [2, 2]),
    ("ordinary-gets-its-reserve-in-an-urgent-flood", RankQueue(8), [0] * 8 + [1], [0]),
    ("naive-sheds-urgent", FifoQueue(8), [2] * 8 + [0], [0]),
]


@pytest.mark.parametrize(
    ("queue", "ranks", "shed"), [p[1:] for p in PUSHES], ids=[p[0] for p in PUSHES]
)
def test_full_queue_sheds(queue, ranks, shed):
    displaced = [queue.push(Waiting(make_request(Rank(r)))) for r in ranks]
    assert [int(d.request.rank) for d in displaced if d is not None] == shed


FLOODS = [
    ("urgent-flood-leaves-the-floors", RankQueue, 0.15, 0.05),
    ("naive-serves-late-ranks-never", FifoQueue, 0.0, 0.0),
]


@pytest.mark.parametrize(
    ("kind", "ordinary", "yielding"), [f[1:] for f in FLOODS], ids=[f[0] for f in FLOODS]
)
def test_floor_of_each_rank(kind, ordinary, yielding):
    queue = kind(5000)
    for rank in [0] * 1000 + [1] * 1000 + [2] * 1000:
        queue.push(Waiting(make_request(Rank(rank))))
    served = [queue.pop(lambda a: True).request.rank for _ in range(400)]
    assert served.count(Rank.ORDINARY) == pytest.approx(400 * ordinary, rel=0.2)
    assert served.count(Rank.YIELDING) == pytest.approx(400 * yielding, rel=0.2)


TURNS = [("callers-take-turns", RankQueue, 5), ("naive-serves-the-flooding-caller", FifoQueue, 0)]


@pytest.mark.parametrize(("kind", "served"), [t[1:] for t in TURNS], ids=[t[0] for t in TURNS])
def test_one_caller_does_not_keep_others_waiting(kind, served):
    queue = kind(100)
    for caller in ["flooder"] * 50 + ["other"] * 5:
        attempt = Waiting(make_request())
        attempt.request.caller = caller
        queue.push(attempt)
    callers = [queue.pop(lambda a: True).request.caller for _ in range(11)]
    assert callers.count("other") == served


RESERVES = [("urgent-takes-it", Rank.URGENT, True), ("yielding-leaves-it", Rank.YIELDING, False)]


@pytest.mark.parametrize(("rank", "taken"), [r[1:] for r in RESERVES], ids=[r[0] for r in RESERVES])
def test_last_load_is_kept_for_urgent_work(rank, taken):
    budget = SharedLoadBudget(7.0, 24)
    assert budget.try_take(1 / 9, 0, Rank.YIELDING, 0.0)
    assert budget.try_take(1 / 9, 0, rank, budget.find_wait(1 / 9, Rank.URGENT)) == taken


BUDGETS = [
    ("nine-shares-keep-the-store-rate", lambda: SharedLoadBudget(7.0, 24), True),
    ("naive-exceeds-the-store-rate", UnlimitedLoadBudget, False),
]


@pytest.mark.parametrize(("make", "kept"), [b[1:] for b in BUDGETS], ids=[b[0] for b in BUDGETS])
def test_loads_a_second(make, kept):
    budgets = [make() for _ in NAMES]
    taken = sum(
        b.try_take(1 / 9, 0, Rank.URGENT, step / 10) for step in range(600) for b in budgets
    )
    assert (taken <= 7 * 60 + len(NAMES)) == kept


USES = [
    ("least-used-first", DecayedUseEviction(), "rare"),
    ("naive-evicts-the-busiest", NaiveEviction(), "busy"),
]


@pytest.mark.parametrize(("policy", "first"), [u[1:] for u in USES], ids=[u[0] for u in USES])
def test_eviction_order(policy, first):
    uses = [AdapterUse("busy"), AdapterUse("rare")]
    for now in range(10):
        uses[0].count(float(now))
    uses[1].count(9.0)
    assert policy.order(uses, 10.0)[0].model == first


def make_note(action, version="1", source="w", **options):
    entry = NoteEntry(action, AdapterVersion("a", version, source))
    return ReleaseNote("n2", "op", [entry], **options)


def make_catalog():
    number = find_shard("a", 4)
    keys = [""] * 4
    keys[number] = "k"
    shard = CatalogShard("k", [AdapterVersion("a", "1", "w")])
    return CatalogHead(1, keys, ["n1"], ["e3"]), {"k": shard}


INVALID, CONFLICT = ErrorKind.NOTE_INVALID, ErrorKind.NOTE_CONFLICT
NOTES = [
    ("add-twice", make_note(NoteAction.ADD), INVALID),
    ("withdraw-unknown", make_note(NoteAction.WITHDRAW, "9"), INVALID),
    ("change-of-weights", make_note(NoteAction.CHANGE, source="other"), INVALID),
    ("old-base", make_note(NoteAction.ADD, "2", base_revision=0), CONFLICT),
    ("drain-twice", ReleaseNote("n2", "op", [], drain=["e3"]), INVALID),
    ("undrain-not-drained", ReleaseNote("n2", "op", [], undrain=["e4"]), INVALID),
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
