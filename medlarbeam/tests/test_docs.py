"""Checks that tables in the documentation match the code and that its links resolve."""

import ast
import re
from pathlib import Path

import pytest

from medlarbeam.daemon.metrics import Metrics
from medlarbeam.exceptions import ERROR_RESPONSES
from medlarbeam.platform.metrics import GatewayMetrics

PACKAGE = Path(__file__).parents[1]
DOCS = PACKAGE.parent / "docs"
SOURCES = [p for p in PACKAGE.rglob("*.py") if not {"tests", "standins"} & set(p.parts)]
PAGES = [*DOCS.glob("*.md"), DOCS.parent / "README.md", DOCS.parent / "CONTRIBUTING.md"]
NAME_COLUMN = r"^\| (`\w+`(?:, `\w+`)*) \|"


def find_event_nodes(function):
    """Yield the expressions in a function that give the name of a log event.

    If a variable gives the name, these include the values that are assigned to it.
    """
    for node in ast.walk(function):
        called = getattr(node, "func", None)
        if getattr(called, "id", getattr(called, "attr", "")) in ("LogEvent", "count_event"):
            yield node.args[0]
            variable = getattr(node.args[0], "id", None)
            assigned = [a for a in ast.walk(function) if isinstance(a, ast.Assign)]
            yield from (a.value for a in assigned if getattr(a.targets[0], "id", "") == variable)
        elif isinstance(node, ast.Dict):
            pairs = zip(node.keys, node.values, strict=True)
            yield from (v for k, v in pairs if getattr(k, "value", "") == "event")


def list_events():
    trees = [ast.parse(p.read_text(encoding="utf-8")) for p in SOURCES]
    functions = [f for t in trees for f in ast.walk(t) if "FunctionDef" in type(f).__name__]
    nodes = [n for f in functions for n in find_event_nodes(f) if not isinstance(n, ast.Call)]
    return {c.value for n in nodes for c in ast.walk(n) if isinstance(c, ast.Constant)}


ERRORS = [
    (f"{k.value}` | {a.status} | `{a.run_state.value}", a) for k, a in ERROR_RESPONSES.items()
]
ERRORS = [f"{text}` | {'yes' if a.retryable else 'no'}" for text, a in ERRORS]
METRICS = [*Metrics().registry.collectors, *GatewayMetrics().registry.collectors]
CHARTS = [p.stem for p in (PACKAGE / "charts").glob("*.yaml")]
TABLES = {
    "error-table-is-outdated": ("callers", r"^\| `(\w+` \| \d+ \| `\w+` \| \w+) \|", ERRORS),
    "event-table-is-outdated": ("metrics", NAME_COLUMN + r" \w+ \| (?:yes|no) \|", list_events()),
    "metric-table-is-outdated": ("metrics", r"^\| `(medlarbeam_\w+)` \|", METRICS),
    "chart-table-is-outdated": ("design", NAME_COLUMN + r" [^|]+ \|$", CHARTS),
}


@pytest.mark.parametrize(("page", "pattern", "rows"), TABLES.values(), ids=TABLES)
def test_table_matches_code(page, pattern, rows):
    found = re.findall(pattern, (DOCS / f"{page}.md").read_text(encoding="utf-8"), re.M)
    assert sorted(name.strip("`") for row in found for name in row.split(", ")) == sorted(rows)


@pytest.mark.parametrize("page", PAGES, ids=[f"link-in-{p.stem}-is-broken" for p in PAGES])
def test_links_resolve(page):
    links = re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8"))
    assert [link for link in links if not (page.parent / link).exists()] == []
