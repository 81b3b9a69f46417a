"""Plays of harmful parts: ``python -m medlarbeam.soak.crashes --seed 1 --way dark``."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import cappa

from medlarbeam.soak.crash_checker import find_broken_rules
from medlarbeam.soak.crash_kinds import REQUEST_KINDS
from medlarbeam.soak.crash_play import CrashConfig, run_crash_play
from medlarbeam.soak.deployment import SOURCE_TREE
from medlarbeam.soak.failure_modes import FAILURE_MODES
from medlarbeam.soak.framings import FRAMINGS
from medlarbeam.soak.run_log import start_run_log

__all__ = ["list_plays", "main"]


def list_plays(way, framing, kind):
    """Return the pairs of a failure mode and a framing to play, by their names.

    Parameters
    ----------
    way : str
        Name of a failure mode, or ``all``.
    framing : str
        Name of a framing; empty for ``chunked``, or with ``all`` for each that `kind` has.
    kind : str
        Name of a kind of requests.

    Raises
    ------
    ValueError
        If a name is unknown.
    """
    for name, known in (
        (way, [*FAILURE_MODES, "all"]),
        (framing, [*FRAMINGS, ""]),
        (kind, REQUEST_KINDS),
    ):
        if name not in known:
            raise ValueError(f"{name!r} is none of {', '.join(n for n in known if n)}")
    if way != "all":
        return [(way, framing or "chunked")]
    # Streams have no length; with that framing they are chunked.
    left_out = "length" if REQUEST_KINDS[kind].is_stream else ""
    framings = [framing] if framing else [name for name in FRAMINGS if name != left_out]
    return [(mode, name) for mode in FAILURE_MODES for name in framings]


def main(
    seed: Annotated[int, cappa.Arg(long=True, help="First seed.")] = 1,
    seeds: Annotated[int, cappa.Arg(long=True, help="Number of consecutive seeds to run.")] = 1,
    way: Annotated[
        str, cappa.Arg(long=True, help="reset, closed, dark, proxied, or all.")
    ] = "closed",
    framing: Annotated[
        str, cappa.Arg(long=True, help="chunked (default), length (calls), unframed or mixed.")
    ] = "",
    kind: Annotated[str, cappa.Arg(long=True, help="stream or call.")] = "stream",
    share: Annotated[
        float, cappa.Arg(long=True, help="Share of the requests with a harmful part.")
    ] = 0.05,
    rate: Annotated[float, cappa.Arg(long=True, help="Requests per second.")] = 55.0,
    workers: Annotated[int, cappa.Arg(long=True, help="Number of workers.")] = 8,
    gateways: Annotated[int, cappa.Arg(long=True, help="Number of gateway processes.")] = 4,
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Time for which harmful requests are sent, s.")
    ] = 15.0,
    back: Annotated[
        float, cappa.Arg(long=True, help="Time from a crash until the worker is back, s.")
    ] = 2.0,
    after: Annotated[
        float, cappa.Arg(long=True, help="Time from the head to the crash, s; below 0: no head.")
    ] = 0.05,
    probability: Annotated[
        float, cappa.Arg(long=True, help="Share of the harmful runs that crash a worker.")
    ] = 1.0,
    parts: Annotated[int, cappa.Arg(long=True, help="Number of harmful parts.")] = 1,
    builds: Annotated[
        str, cappa.Arg(long=True, help="Source trees whose gateways run, with commas.")
    ] = str(SOURCE_TREE),
):
    """Run the plays and print a line for each; exit with status 1 if one breaks a rule."""
    try:
        plays = list_plays(way, framing, kind)
    except ValueError as error:
        raise cappa.Exit(str(error), code=2) from error
    is_broken = False
    for number in range(seed, seed + seeds):
        for mode, name in plays:
            config = CrashConfig(
                way=mode,
                framing=name,
                kind=kind,
                share=share,
                rate=rate,
                workers=workers,
                gateways=gateways,
                seconds=seconds,
                back_s=back,
                after_s=after,
                probability=probability,
                parts=parts,
                builds=tuple(Path(build) for build in builds.split(",")),
            )
            folder = start_run_log("crashes", number)
            result = asyncio.run(run_crash_play(number, config, folder))
            broken = find_broken_rules(result)
            print(
                f"seed={number} way={mode} framing={name} kind={kind} late={result.late} "
                f"arrivals={result.arrivals} crashes={result.crashes} "
                f"before={result.begun_before}/{result.sent_before} "
                f"after={result.begun_after}/{result.sent_after} "
                f"false_complete={result.false_complete} "
                f"broken={','.join(broken) or 'none'} logs={folder}",
                flush=True,
            )
            is_broken = is_broken or bool(broken)
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    cappa.invoke(main)
