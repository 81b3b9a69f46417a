"""Report format and measuring tools shared by the benchmarks."""

import platform
import sys
import time
from importlib.metadata import version

import orjson

__all__ = ["Stopwatch", "print_report", "read_rss_bytes"]

_LIBRARIES = ("medlarbeam", "aiohttp", "orjson", "pycapnp", "xxhash")
_PAGE_BYTES = 4096


class Stopwatch:
    """Accumulates the processor time of this process over several time spans.

    Attributes
    ----------
    total_ns : int
        Total processor time (ns), including the cost of two clock readings per span.
    spans : int
        Number of time spans measured.
    """

    __slots__ = ("spans", "started_ns", "total_ns")

    def __init__(self):
        self.total_ns = 0
        self.spans = 0
        self.started_ns = 0

    def __enter__(self):
        self.started_ns = time.process_time_ns()
        return self

    def __exit__(self, *_):
        self.total_ns += time.process_time_ns() - self.started_ns
        self.spans += 1

    def mean_us(self):
        """Return the mean processor time (us) per span, 0 if there was none."""
        return self.total_ns / self.spans / 1000 if self.spans else 0.0


def read_rss_bytes(pid="self"):
    """Return the resident set size (bytes) of a process, from ``/proc/<pid>/statm``."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def print_report(name, seed, rows, as_json):
    """Print the rows of a benchmark with its seed and the versions of Python and libraries.

    Parameters
    ----------
    name : str
    seed : int
    rows : list of Record
        Rows of one class, whose slots are the columns.
    as_json : bool
        Whether to print one JSON document instead of a table.
    """
    versions = {"python": platform.python_version()}
    versions.update({library: version(library) for library in _LIBRARIES})
    columns = rows[0].__slots__
    if as_json:
        values = [{c: getattr(row, c) for c in columns} for row in rows]
        document = {"bench": name, "seed": seed, "versions": versions, "rows": values}
        sys.stdout.write(orjson.dumps(document).decode() + "\n")
        return
    print(f"{name}: seed {seed}; " + ", ".join(f"{k} {v}" for k, v in versions.items()))
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    for row in rows:
        print("| " + " | ".join(_format(getattr(row, c)) for c in columns) + " |")


def _format(value):
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 100 else f"{value:.0f}"
    return str(value)
