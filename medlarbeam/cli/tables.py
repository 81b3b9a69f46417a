"""Human-readable rendering of the JSON documents returned to operators."""

from io import StringIO

from rich.console import Console
from rich.table import Table

__all__ = ["render_document"]

WIDTH = 160  # characters; fixed, so that the output does not depend on the terminal


def render_document(document):
    """Render a document as text: one line per scalar, one table per list of mappings."""
    console = Console(file=StringIO(), width=WIDTH, color_system=None)
    for key, value in document.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            console.print(_build_table(key, value))
        elif isinstance(value, dict):
            console.print(f"{key}:")
            for name, item in value.items():
                console.print(f"  {name}: {_format(item)}", markup=False)
        else:
            console.print(f"{key}: {_format(value)}", markup=False)
    return console.file.getvalue().rstrip()


def _build_table(title, rows):
    table = Table(title=title, title_justify="left")
    columns = list(dict.fromkeys(name for row in rows for name in row))
    for name in columns:
        table.add_column(name)
    for row in rows:
        table.add_row(*[_format(row.get(name, "")) for name in columns])
    return table


def _format(value):
    if isinstance(value, list):
        return ", ".join(_format(item) for item in value) or "-"
    if isinstance(value, dict):
        return ", ".join(f"{k}={_format(v)}" for k, v in value.items())
    return str(value)
