"""Run membership schedules and print totals.

Usage: ``python -m medlarbeam.node.tests.run_schedules``
"""

from argparse import ArgumentParser
from collections import Counter
from multiprocessing import Pool

from medlarbeam.node.tests.membership_simulation import MembershipSimulation


def run_seed(seed):
    simulation = MembershipSimulation(seed)
    simulation.run()
    unserved = simulation.recover()
    violations = simulation.checker.violations
    totals = Counter(simulation.counters)
    totals["orders to run that arrived"] = simulation.checker.runs
    totals["orders to unload that arrived"] = simulation.checker.unloads
    totals["process starts"] = simulation.starts
    return seed, violations, unserved, totals


def main():
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--count", type=int, default=100, help="number of seeds")
    parser.add_argument("--processes", type=int, default=4)
    args = parser.parse_args()
    totals = Counter()
    violating = 0
    unrecovered = 0
    with Pool(args.processes) as pool:
        seeds = range(args.first, args.first + args.count)
        for seed, violations, unserved, counts in pool.imap_unordered(
            run_seed, seeds, chunksize=10
        ):
            totals.update(counts)
            violating += bool(violations)
            unrecovered += bool(unserved)
            if unserved:
                print(
                    f"seed {seed}: no node serves {unserved} after the end of all faults",
                    flush=True,
                )
            for line in violations[:1]:
                print(f"seed {seed}: {line}", flush=True)
    print(f"{args.count} schedules from seed {args.first}:")
    print(f"  {violating} with a violation, {unrecovered} that did not return to full service")
    for what, count in sorted(totals.items()):
        print(f"  {what}: {count}")
    return 1 if violating or unrecovered else 0


if __name__ == "__main__":
    raise SystemExit(main())
