"""Checks of code conventions: classes declare slots, no dataclasses, no relative imports."""

import ast
from pathlib import Path

import pytest

import medlarbeam

ROOT = Path(medlarbeam.__file__).parent
FILES = sorted(p for p in ROOT.rglob("*.py") if "tests" not in p.parts)
BASES_WITHOUT_SLOTS = ("Error", "Exception", "Enum", "Service")


def has_slots(cls):
    targets = [t for item in cls.body if isinstance(item, ast.Assign) for t in item.targets]
    return any(getattr(t, "id", "") == "__slots__" for t in targets)


def is_exempt(cls):
    names = [getattr(b, "attr", getattr(b, "id", "")) for b in cls.bases]
    return any(name.endswith(BASES_WITHOUT_SLOTS) for name in names)


def find_violations(tree):
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            if not has_slots(node) and not is_exempt(node):
                yield f"line {node.lineno}: class {node.name} declares no __slots__"
            if any("dataclass" in ast.dump(d) for d in node.decorator_list):
                yield f"line {node.lineno}: class {node.name} is a dataclass"
        elif isinstance(node, ast.ImportFrom) and node.level:
            yield f"line {node.lineno}: relative import"


@pytest.mark.parametrize("path", FILES, ids=[str(p.relative_to(ROOT)) for p in FILES])
def test_module_follows_conventions(path):
    assert list(find_violations(ast.parse(path.read_text(encoding="utf-8")))) == []


INVALID_SOURCES = [
    ("class-without-slots", "class A:\n    pass\n"),
    ("dataclass", "@dataclass\nclass A:\n    __slots__ = ()\n"),
    ("relative-import", "from . import a\n"),
]


@pytest.mark.parametrize(
    "source", [s[1] for s in INVALID_SOURCES], ids=[s[0] for s in INVALID_SOURCES]
)
def test_violation_is_detected(source):
    assert list(find_violations(ast.parse(source)))
