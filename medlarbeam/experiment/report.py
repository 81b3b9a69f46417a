"""Text tables of the measurements of one or more runs, side by side."""

from io import StringIO

from rich.console import Console
from rich.table import Table

__all__ = ["render_runs"]

WIDTH = 140  # characters; fixed, so that the output does not depend on the terminal


def render_runs(document):
    """Render a document of `run_scenario` as a table with one column for each run."""
    console = Console(file=StringIO(), width=WIDTH, color_system=None)
    title = f"{document['scenario']}, {document['deployment']}, seed {document['seed']}"
    table = Table(title=title, title_justify="left")
    table.add_column("figure")
    rows = {}
    for run in document["runs"]:
        table.add_column(run["policies"], justify="right")
        for rank, figures in run["ranks"].items():
            _add_rows(rows, rank, figures, run["policies"])
        _add_rows(rows, "total", run["totals"], run["policies"])
    for label, values in rows.items():
        table.add_row(label, *[values.get(r["policies"], "-") for r in document["runs"]])
    console.print(table)
    return console.file.getvalue().rstrip()


def _add_rows(rows, prefix, figures, column):
    for name, value in figures.items():
        if isinstance(value, dict):
            _add_rows(rows, f"{prefix} {name}", value, column)
        else:
            rows.setdefault(f"{prefix} {name}", {})[column] = str(value)
