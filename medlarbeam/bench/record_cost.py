"""Cost of cell records and of the VM list as a function of the number of known cells."""

import gc
import tracemalloc
from random import Random
from typing import Annotated

import cappa

from medlarbeam.bench.platform import BenchPlatform
from medlarbeam.bench.report import Stopwatch, print_report
from medlarbeam.bench.samples import make_catalog, make_cells
from medlarbeam.classes.cells import CellRecord
from medlarbeam.classes.messages import PeerMessage, VmList
from medlarbeam.classes.peer_messages import CellRecordUpdate
from medlarbeam.classes.record import Record
from medlarbeam.node.assembly import build_node
from medlarbeam.node.settings import NodeSettings
from medlarbeam.readwrite.peer_frames import FrameReader, encode_peer_message
from medlarbeam.readwrite.vm_list import parse_vm_list

__all__ = ["RecordRow", "main", "measure"]

CELL_SIZE = 8
SERVERS_PER_CELL = 30
CHANGE_COUNT = 20


class RecordRow(Record):
    """Costs of the records of `cells` cells in one node.

    Attributes
    ----------
    frame_bytes, encode_us, decode_us : float
        Size of the peer frame of one record (bytes), and processor time (us) to encode and decode
        it.
    known_bytes : float
        Size of the Python objects per known record, measured by `tracemalloc`.
    adopt_us : float
        Processor time (us) to adopt a new record of a cell.
    vm_bytes : int
        Size of one response of the VM list service.
    vm_parse_ms, vm_take_ms : float
        Processor time (ms) to parse that response, and for the node to process it.
    """

    __slots__ = (
        "cells",
        "frame_bytes",
        "encode_us",
        "decode_us",
        "known_bytes",
        "adopt_us",
        "vm_bytes",
        "vm_parse_ms",
        "vm_take_ms",
    )

    def __init__(self, cells):
        self.cells = cells


def _measure_frames(row, records):
    encode, decode = Stopwatch(), Stopwatch()
    frames = []
    for record in records:
        with encode:
            frames.append(encode_peer_message(CellRecordUpdate(record)))
    tracemalloc.start()
    decoded = [FrameReader().feed(frame)[0].record for frame in frames]
    row.known_bytes = tracemalloc.get_traced_memory()[0] / len(records)
    tracemalloc.stop()
    for frame in frames:
        with decode:
            FrameReader().feed(frame)
    row.frame_bytes = sum(map(len, frames)) / len(frames)
    row.encode_us = encode.mean_us()
    row.decode_us = decode.mean_us()
    return decoded


def _measure_adoption(row, node, records, rng):
    for record in records:
        node.handle(PeerMessage("n1", CellRecordUpdate(record)), 1.0)
    watch = Stopwatch()
    for number in range(CHANGE_COUNT):
        old = rng.choice(records[1:] or records)
        epoch = old.epoch + 1 + number
        new = CellRecord(old.cell, epoch, old.members, old.servers, old.owners, 0, f"c{number}")
        with watch:
            node.handle(PeerMessage("n1", CellRecordUpdate(new)), 1.0)
    row.adopt_us = watch.mean_us()


def _measure_vm_list(row, node, document):
    parse, apply = Stopwatch(), Stopwatch()
    for number in range(CHANGE_COUNT):
        with parse:
            vms = parse_vm_list(document)
        with apply:
            node.handle(VmList(2.0 + number, vms), 2.0 + number)
    row.vm_bytes = len(document)
    row.vm_parse_ms = parse.mean_us() / 1000
    row.vm_take_ms = apply.mean_us() / 1000


def measure(seed, cells):
    """Return the `RecordRow` of a node that knows `cells` cells of 8 nodes and 30 engines."""
    row = RecordRow(cells)
    records = make_cells(CELL_SIZE * cells, SERVERS_PER_CELL * cells, CELL_SIZE)
    document = BenchPlatform(records, make_catalog(1)).vm_document
    gc.collect()
    gc.freeze()
    known = _measure_frames(row, records)
    rng = Random(seed)
    node = build_node(NodeSettings("n0", 1, "cell0", "cell0", ["n1"]), rng)
    node.tick(0.0)
    _measure_adoption(row, node, known, rng)
    _measure_vm_list(row, node, document)
    gc.unfreeze()
    return row


def main(
    cells: Annotated[list[int], cappa.Arg(long=True, help="Number of cells; repeatable.")] = (
        1,
        16,
        64,
        338,
    ),
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure the cost of knowing all cells in one node."""
    print_report("record_cost", seed, [measure(seed, n) for n in cells], as_json)


if __name__ == "__main__":
    cappa.invoke(main)
