"""Command line of the checker: ``python -m medlarbeam.checking --depth 12``."""

import signal
import sys
from pathlib import Path
from time import monotonic
from typing import Annotated

import cappa

from medlarbeam.checking.search import Search, measure_memory_mb
from medlarbeam.checking.trace import render_case, render_table
from medlarbeam.checking.world import make_world

__all__ = ["EXIT_INCOMPLETE", "EXIT_USAGE", "EXIT_VIOLATION", "SearchLimits", "main", "run_search"]

EXIT_VIOLATION = 1
EXIT_USAGE = 2
EXIT_INCOMPLETE = 3  # stopped by a limit or an interrupt before the bounds were searched
MAX_NODES = 4  # each further node multiplies the states by about ten
MAX_SERVERS = 3
MAX_FAULTS = 9  # of one kind; versions of configurations are derived from their number


class SearchLimits:
    """Limits of a search, and its progress line.

    Parameters
    ----------
    seconds : float
        Longest duration.
    memory_mb : float
        Largest resident size of the process.
    """

    __slots__ = ("memory_mb", "seconds", "started_at")

    def __init__(self, seconds, memory_mb):
        self.seconds = seconds
        self.memory_mb = memory_mb
        self.started_at = monotonic()

    def report(self, search):
        """Print one line on the progress of a `Search`."""
        elapsed_s = monotonic() - self.started_at
        states = len(search.parents)
        print(
            f"depth={search.depth} states={states} events={search.transitions} "
            f"seconds={elapsed_s:.0f} states_per_s={states / max(elapsed_s, 0.001):.0f} "
            f"memory_mb={measure_memory_mb():.0f}",
            file=sys.stderr,
            flush=True,
        )

    def find_reason_to_stop(self, search):
        """Return which limit is reached, or ""."""
        if monotonic() - self.started_at > self.seconds:
            return f"limit of {self.seconds:g} s"
        if measure_memory_mb() > self.memory_mb:
            return f"limit of {self.memory_mb:g} MB"
        return ""


def run_search(nodes, servers, faults, depth, limits, case_path):
    """Search, print the result and return the exit status."""
    world = make_world(nodes, servers, faults)
    result = Search(world, limits.report, limits.find_reason_to_stop).run(depth)
    elapsed_s = monotonic() - limits.started_at
    print(
        f"nodes={nodes} servers={servers} depth={result.depth} states={result.states} "
        f"events={result.transitions} seconds={elapsed_s:.1f} "
        f"memory_mb={measure_memory_mb():.0f} all_states={'yes' if result.is_complete else 'no'}"
    )
    if result.violation is not None:
        print(f"violation: {result.violation.reason}")
        print(render_table(make_world(nodes, servers, faults), result.violation.events))
        name = result.violation.reason.partition(":")[0].lower().replace(" ", "-")
        case = render_case(name, nodes, servers, result.violation)
        if case_path:
            Path(case_path).write_text(case)
            print(f"test case written to {case_path}")
        else:
            print(case)
        return EXIT_VIOLATION
    if result.stopped_by:
        print(
            f"stopped by {result.stopped_by}; all orders of {result.depth} events were searched, "
            f"and some of {result.depth + 1}"
        )
        return EXIT_INCOMPLETE
    print(f"no violation in all orders of {result.depth} events")
    return 0


def check_bounds(nodes, servers, depth, faults):
    """Return why the bounds cannot be met, or ""."""
    if not 1 <= nodes <= MAX_NODES:
        return f"--nodes is {nodes}, it must be from 1 to {MAX_NODES}"
    if not 1 <= servers <= MAX_SERVERS:
        return f"--servers is {servers}, it must be from 1 to {MAX_SERVERS}"
    if not 1 <= depth < 1000:
        return f"--depth is {depth}, it must be from 1 to 999"
    for kind, count in faults.items():
        if not 0 <= count <= MAX_FAULTS:
            option = kind.replace("_", "-")
            return f"--{option} is {count}, it must be from 0 to {MAX_FAULTS}"
    return ""


def count_option(text):
    """Return the declaration of an option that bounds the number of events of one kind."""
    return cappa.Arg(long=True, help=text)


def main(
    depth: Annotated[int, cappa.Arg(long=True, help="Number of events in a row.")] = 10,
    nodes: Annotated[int, cappa.Arg(long=True, help="Gateways.")] = 2,
    servers: Annotated[int, cappa.Arg(long=True, help="Backend servers.")] = 1,
    losses: Annotated[int, count_option("Losses of the store by a node.")] = 1,
    set_backs: Annotated[int, count_option("Set-backs of the store.")] = 0,
    restarts: Annotated[int, count_option("Restarts of a process.")] = 0,
    freezes: Annotated[int, count_option("Freezes of a process.")] = 0,
    lapses: Annotated[int, count_option("Times that all leases lapse.")] = 0,
    late: Annotated[int, count_option("Calls or responses that are late.")] = 0,
    compactions: Annotated[int, count_option("Losses of the store's history.")] = 0,
    configs: Annotated[int, count_option("Configurations that the operator writes.")] = 0,
    leaves: Annotated[int, count_option("Backend servers that leave.")] = 0,
    mutes: Annotated[int, count_option("Losses of the watch of a node only.")] = 0,
    steps: Annotated[int, count_option("Pauses of 1 s between deadlines.")] = 0,
    seconds: Annotated[float, cappa.Arg(long=True, help="Longest duration, s.")] = 1800.0,
    memory: Annotated[float, cappa.Arg(long=True, help="Largest size, MB.")] = 4000.0,
    case: Annotated[str, cappa.Arg(long=True, help="File for the test case of a violation.")] = "",
):
    """Search all orders of events around rights, leases and eras of the store.

    Exit status: 0 if no promise is broken, 1 for a violation, 2 for bounds that cannot be met,
    3 if a limit or an interrupt ended the search early.
    """
    faults = {
        "losses": losses,
        "set_backs": set_backs,
        "restarts": restarts,
        "freezes": freezes,
        "lapses": lapses,
        "late": late,
        "compactions": compactions,
        "configs": configs,
        "leaves": leaves,
        "mutes": mutes,
        "steps": steps,
    }
    reason = check_bounds(nodes, servers, depth, faults)
    if reason:
        print(reason, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    # A shell starts background jobs with the signal ignored; an interrupt has to end them as well.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    sys.exit(run_search(nodes, servers, faults, depth, SearchLimits(seconds, memory), case))


if __name__ == "__main__":
    cappa.invoke(main)
