"""The incrementally updated index of the catalog equals one that is built from scratch."""

from random import Random

import pytest

from medlarbeam.algorithms.catalog_changes import apply_note
from medlarbeam.classes.catalog import NoteAction, NoteEntry, ReleaseNote
from medlarbeam.node.assembly import build_node
from medlarbeam.node.catalog import make_empty_head
from medlarbeam.node.component import Outbox
from medlarbeam.node.settings import NodeSettings
from medlarbeam.node.tests.world_setup import make_note
from medlarbeam.readwrite.values import CATALOG_SHARD


def copy(shard):
    return CATALOG_SHARD.decode(CATALOG_SHARD.encode(shard))


def make_change(rng, number, index):
    if index and rng.random() < 0.5:
        items = rng.sample(sorted(index), min(len(index), rng.randint(1, 6)))
        entries = [NoteEntry(NoteAction.WITHDRAW, index[model]) for model in items]
        return ReleaseNote(f"note{number}", "kira", entries)
    return make_note(f"note{number}", [f"a{number}x{i}@1" for i in range(rng.randint(1, 6))])


@pytest.mark.parametrize(
    ("seed", "skips", "resent"),
    [
        pytest.param(1, 0.0, 0.0, id="withdrawn-version-stays-in-the-index"),
        pytest.param(2, 0.5, 0.0, id="skipped-revision-leaves-stale-entries"),
        pytest.param(3, 0.3, 0.5, id="shard-sent-again-by-a-peer-leaves-stale-entries"),
    ],
)
def test_index_follows_the_shards(seed, skips, resent):
    """The index has entries of removed shards, or lacks those of new ones."""
    print("seed", seed)
    rng = Random(seed)
    replica = build_node(NodeSettings("n1", 1, "c", "d", []), Random(seed)).catalog
    head, shards = make_empty_head(8), {}
    for number in range(60):
        index = {i.model: i for s in shards.values() for i in s.items}
        change = apply_note(make_change(rng, number, index), head, shards, f"v{number}")
        head = change.head
        shards.update({s.key: s for s in change.shards})
        shards = {k: shards[k] for k in head.shard_keys if k}
        if rng.random() < skips:
            continue
        for key, shard in shards.items():
            if key not in replica.shards or rng.random() < resent:
                replica.stage_shard(copy(shard))
        replica.offer_head(head, float(number), Outbox(), 0.0)
        assert replica.index == {i.model: i for s in shards.values() for i in s.items}
    assert replica.revision() > 0
