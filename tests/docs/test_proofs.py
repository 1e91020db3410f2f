"""Tests that PROOFS.md names existing tests for every statement."""

import ast
import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).parents[2]
_PAGE = _ROOT / "docs" / "PROOFS.md"
_TEST_ID = re.compile(r"`(tests/[\w/]+\.py)::(\w+)")
_MIN_INVARIANTS = 12
_MIN_FAILURES = 9
_MIN_DOUBLE_FAILURES = 10
_TEST_IDS = sorted(set(_TEST_ID.findall(_PAGE.read_text(encoding="utf-8"))))


def _rows(title: str) -> list[str]:
    """Return the rows of the table under the heading ``title``."""
    text = _PAGE.read_text(encoding="utf-8")
    section = text.partition(f"## {title}\n")[2].partition("\n## ")[0]
    return [line for line in section.splitlines() if line.startswith("| ")][2:]


def _defined_names(path: Path) -> set[str]:
    """Return the functions, classes and variables that a file defines."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    definitions = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    assigned = {
        target.id
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    defined = {node.name for node in ast.walk(tree) if isinstance(node, definitions)}
    return defined | assigned


@pytest.mark.parametrize(
    ("path", "name"), _TEST_IDS, ids=[name for _, name in _TEST_IDS]
)
def test_named_test_exists(path, name):
    """A test that the page names is defined in the file that it names."""
    assert name in _defined_names(_ROOT / path)


@pytest.mark.parametrize(
    ("title", "min_rows"),
    [
        ("What must always hold", _MIN_INVARIANTS),
        ("What fails", _MIN_FAILURES),
        ("Two failures at once", _MIN_DOUBLE_FAILURES),
    ],
    ids=["invariants", "failures", "double failures"],
)
def test_page_has_a_row_for_each_statement(title, min_rows):
    """Every statement has a row, which names a test or says "not proved"."""
    rows = _rows(title)
    assert len(rows) >= min_rows
    assert all("`tests/" in row or "not proved" in row for row in rows)
