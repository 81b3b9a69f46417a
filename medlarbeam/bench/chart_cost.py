"""Processor time per event in the state chart interpreter."""

import statistics
from typing import Annotated

import cappa

from medlarbeam.bench.report import Stopwatch, print_report
from medlarbeam.charts.loader import load_chart
from medlarbeam.classes.record import Record

__all__ = ["ChartRow", "main", "measure"]

EVENT_CYCLE = ("gained", "settled", "lost")


class StatefulObject:
    """Minimal subject of a chart: a state and no actions."""

    __slots__ = ("state",)

    def __init__(self, state):
        self.state = state


class ChartRow(Record):
    """Processor time (us) of `Chart.fire` and `Chart.has_tag`: median over the rounds."""

    __slots__ = ("chart", "fire_us", "has_tag_us", "rounds")

    def __init__(self, chart, fire_us, has_tag_us, rounds):
        self.chart = chart
        self.fire_us = fire_us
        self.has_tag_us = has_tag_us
        self.rounds = rounds


def _time_calls(events, call):
    watch = Stopwatch()
    with watch:
        for number in range(events):
            call(number)
    return watch.total_ns / 1000 / events


def measure(events, rounds):
    """Return the `ChartRow` of the chart ``ownership``; loop overhead is included."""
    chart = load_chart("ownership")
    subject = StatefulObject(chart.initial)
    size = len(EVENT_CYCLE)
    fires = [
        _time_calls(events, lambda n: chart.fire(subject, EVENT_CYCLE[n % size]))
        for _ in range(rounds)
    ]
    tags = [_time_calls(events, lambda n: chart.has_tag(subject, "owned")) for _ in range(rounds)]
    return ChartRow(chart.name, statistics.median(fires), statistics.median(tags), rounds)


def main(
    events: Annotated[int, cappa.Arg(long=True, help="Events per round.")] = 100_000,
    rounds: Annotated[int, cappa.Arg(long=True)] = 5,
    seed: Annotated[
        int, cappa.Arg(long=True, help="Printed in the report only; nothing is random.")
    ] = 1,
    as_json: Annotated[bool, cappa.Arg(long="--json")] = False,
):
    """Measure the state chart interpreter."""
    print_report("chart_cost", seed, [measure(events, rounds)], as_json)


if __name__ == "__main__":
    cappa.invoke(main)
