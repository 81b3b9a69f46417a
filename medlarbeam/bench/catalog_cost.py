"""Memory and processor time of the catalog as a function of the number of adapters."""

import gc
import tracemalloc
from random import Random
from typing import Annotated

import cappa

from medlarbeam.algorithms.catalog_changes import apply_note
from medlarbeam.bench.report import Stopwatch, print_report, read_rss_bytes
from medlarbeam.bench.samples import make_catalog, make_note
from medlarbeam.classes.peer_messages import CatalogUpdate
from medlarbeam.classes.record import Record
from medlarbeam.node.assembly import build_node
from medlarbeam.node.component import Outbox
from medlarbeam.node.settings import NodeSettings
from medlarbeam.readwrite.peer_frames import FrameReader, encode_peer_message
from medlarbeam.readwrite.values import CATALOG_HEAD, CATALOG_SHARD

__all__ = ["CatalogRow", "main", "measure"]

CHECK_COUNT = 20_000
NOTE_COUNT = 5
NOTE_ENTRIES = 10


class CatalogRow(Record):
    """Costs of the catalog in one node.

    Parameters
    ----------
    adapters : int

    Attributes
    ----------
    bytes_per_adapter : float
        Size of the Python objects of the shards and the index, measured by `tracemalloc`.
    rss_mb : float
        Growth of the resident set (MB) while the shards are decoded and adopted.
    adopt_us, encode_us, decode_us, frame_encode_us, frame_decode_us : float
        Processor time per adapter (us): adopting the decoded shards, encoding and decoding platform
        values, and encoding and decoding peer frames.
    value_bytes, frame_bytes : float
        Encoded bytes per adapter.
    note_compute_ms, note_adopt_ms : float
        Processor time (ms) of a note with `NOTE_ENTRIES` entries: on the node that applies it, and
        on each node that adopts the result.
    note_bytes : float
        Bytes of the shards that a note writes to the platform and that each node then reads.
    check_us : float
        Processor time of `Catalog.check` (us).
    head_bytes : int
        Encoded bytes of the catalog head.
    """

    __slots__ = (
        "adapters",
        "bytes_per_adapter",
        "rss_mb",
        "adopt_us",
        "encode_us",
        "decode_us",
        "frame_encode_us",
        "frame_decode_us",
        "value_bytes",
        "frame_bytes",
        "note_compute_ms",
        "note_adopt_ms",
        "note_bytes",
        "check_us",
        "head_bytes",
    )

    def __init__(self, adapters):
        self.adapters = adapters


def _make_node():
    return build_node(NodeSettings("n0", 1, "cell0", "fd1", []), Random(1))


def _adopt_catalog(node_catalog, change, shards):
    for shard in shards:
        node_catalog.stage_shard(shard)
    node_catalog.offer_head(change.head, 1.0, Outbox(), 1.0)


def _measure_values(row, change):
    """Measure the encoding of platform values; return the decoded shards."""
    encode, decode = Stopwatch(), Stopwatch()
    with encode:
        values = [CATALOG_SHARD.encode(shard) for shard in change.shards]
    rss = read_rss_bytes()
    with decode:
        shards = [CATALOG_SHARD.decode(value) for value in values]
    row.rss_mb = (read_rss_bytes() - rss) / 1e6
    row.encode_us = encode.total_ns / 1000 / row.adapters
    row.decode_us = decode.total_ns / 1000 / row.adapters
    row.value_bytes = sum(map(len, values)) / row.adapters
    row.head_bytes = len(CATALOG_HEAD.encode(change.head))
    return shards


def _measure_frames(row, change):
    encode, decode = Stopwatch(), Stopwatch()
    size = 0
    for shard in change.shards:
        with encode:
            frame = encode_peer_message(CatalogUpdate(change.head, [shard]))
        with decode:
            FrameReader().feed(frame)
        size += len(frame)
    row.frame_encode_us = encode.total_ns / 1000 / row.adapters
    row.frame_decode_us = decode.total_ns / 1000 / row.adapters
    row.frame_bytes = size / row.adapters


def _measure_notes(row, node_catalog):
    compute, adopt = Stopwatch(), Stopwatch()
    size = 0
    for number in range(NOTE_COUNT):
        note = make_note(f"note-{number + 1}", row.adapters + number * NOTE_ENTRIES, NOTE_ENTRIES)
        with compute:
            change = apply_note(note, node_catalog.head, node_catalog.shards, note.note_id)
            values = [CATALOG_SHARD.encode(shard) for shard in change.shards]
        size += sum(map(len, values))
        with adopt:
            _adopt_catalog(node_catalog, change, [CATALOG_SHARD.decode(value) for value in values])
    row.note_compute_ms = compute.mean_us() / 1000
    row.note_adopt_ms = adopt.mean_us() / 1000
    row.note_bytes = size / NOTE_COUNT


def _measure_memory(row, change):
    values = [CATALOG_SHARD.encode(shard) for shard in change.shards]
    node_catalog = _make_node().catalog
    tracemalloc.start()
    _adopt_catalog(node_catalog, change, [CATALOG_SHARD.decode(value) for value in values])
    row.bytes_per_adapter = tracemalloc.get_traced_memory()[0] / row.adapters
    tracemalloc.stop()


def measure(seed, adapters):
    """Return the `CatalogRow` of a catalog of `adapters` adapters."""
    row = CatalogRow(adapters)
    change = make_catalog(adapters)
    gc.collect()
    gc.freeze()
    shards = _measure_values(row, change)
    node_catalog = _make_node().catalog
    adopt, check = Stopwatch(), Stopwatch()
    rss = read_rss_bytes()
    with adopt:
        _adopt_catalog(node_catalog, change, shards)
    row.rss_mb += (read_rss_bytes() - rss) / 1e6
    row.adopt_us = adopt.total_ns / 1000 / adapters
    rng = Random(seed)
    models = [f"adapter-{rng.randrange(adapters):06}@1" for _ in range(CHECK_COUNT)]
    with check:
        for model in models:
            node_catalog.check(model, 1.0)
    row.check_us = check.total_ns / 1000 / CHECK_COUNT
    _measure_frames(row, change)
    _measure_notes(row, node_catalog)
    del node_catalog, shards
    _measure_memory(row, change)
    gc.unfreeze()
    return row


def main(
    adapters: Annotated[list[int], cappa.Arg(long=True, help="Number of adapters; repeatable.")] = (
        300,
        3_000,
        30_000,
        170_000,
    ),
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure the cost of the catalog in one node."""
    print_report("catalog_cost", seed, [measure(seed, n) for n in adapters], as_json)


if __name__ == "__main__":
    cappa.invoke(main)
