"""Control plane cost of one node as a function of the number of its peers."""

import gc
from typing import Annotated

import cappa

from medlarbeam.bench.fleet import Fleet
from medlarbeam.bench.report import print_report
from medlarbeam.classes.record import Record

__all__ = ["ControlRow", "main", "measure"]

WARM_UP_S = 6.0  # the first cell record and catalog are confirmed within this time
SERVERS_PER_NODE = 4  # about 30 workers per cell of 8 nodes


class ControlRow(Record):
    """Costs of one node per second of simulated time.

    Parameters
    ----------
    peers, cell_size, servers : int
    node_ms, encode_ms, decode_ms, vm_parse_ms : float
        Processor time (ms) of the decisions, of encoding and decoding peer frames, and of parsing
        the VM list.
    messages_in, messages_out, bytes_in, bytes_out : float
        Number and bytes of peer frames.
    kv_bytes, vm_bytes : float
        Bytes of values read from the key-value store and of responses of the VM list service.
    calls : dict of str to float
        Number of calls by kind: `PollServer` calls go to backend servers, all others to the
        platform.
    """

    __slots__ = (
        "peers",
        "cell_size",
        "servers",
        "node_ms",
        "encode_ms",
        "decode_ms",
        "vm_parse_ms",
        "messages_in",
        "messages_out",
        "bytes_in",
        "bytes_out",
        "kv_bytes",
        "vm_bytes",
        "calls",
    )

    def __init__(self, peers, cell_size, servers, meter, seconds):
        self.peers = peers
        self.cell_size = cell_size
        self.servers = servers
        self.node_ms = meter.node.total_ns / seconds / 1e6
        self.encode_ms = meter.encode.total_ns / seconds / 1e6
        self.decode_ms = meter.decode.total_ns / seconds / 1e6
        self.vm_parse_ms = meter.vm_parse.total_ns / seconds / 1e6
        self.messages_in = meter.messages_in / seconds
        self.messages_out = meter.messages_out / seconds
        self.bytes_in = meter.bytes_in / seconds
        self.bytes_out = meter.bytes_out / seconds
        self.kv_bytes = meter.kv_bytes / seconds
        self.vm_bytes = meter.vm_bytes / seconds
        self.calls = {kind: n / seconds for kind, n in sorted(meter.calls.items())}


def measure(seed, peers, cell_size, seconds, real_peers=False):
    """Return the `ControlRow` of a node with `peers` peers."""
    nodes = peers + 1
    servers = nodes * SERVERS_PER_NODE
    fleet = Fleet(seed, nodes, servers, cell_size, 4 * servers, real_peers)
    fleet.run(WARM_UP_S)
    gc.collect()
    gc.freeze()
    fleet.start_measuring()
    fleet.run(seconds)
    gc.unfreeze()
    return ControlRow(peers, min(cell_size, nodes), servers, fleet.meter, seconds)


def main(
    peers: Annotated[list[int], cappa.Arg(long=True, help="Number of peers; repeatable.")] = (
        4,
        7,
        16,
        64,
        128,
    ),
    cell_size: Annotated[int, cappa.Arg(long=True, help="Nodes per small cell.")] = 8,
    seconds: Annotated[float, cappa.Arg(long=True, help="Simulated time per row, s.")] = 10.0,
    seed: Annotated[int, cappa.Arg(long=True)] = 1,
    real_peers: Annotated[bool, cappa.Arg(long=True, help="Run full nodes as peers.")] = False,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure the control plane cost of one node in small cells and in one cell of all nodes."""
    rows = []
    for number in peers:
        for size in (cell_size, number + 1):
            rows.append(measure(seed, number, size, seconds, real_peers))
    print_report("control_cost", seed, rows, as_json)


if __name__ == "__main__":
    cappa.invoke(main)
