"""The page of proofs names tests that exist."""

import ast
import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).parents[2]
_PAGE = _ROOT / "docs" / "PROOFS.md"
_TEST_ID = re.compile(r"`(tests/[\w/]+\.py)::(\w+)")
_INVARIANTS = 12
_FAILURES = 9
_PAIRS = 10
_IDS = sorted(set(_TEST_ID.findall(_PAGE.read_text(encoding="utf-8"))))


def _rows(title: str) -> list[str]:
    """Return the table rows under the heading ``title``."""
    text = _PAGE.read_text(encoding="utf-8")
    section = text.partition(f"## {title}\n")[2].partition("\n## ")[0]
    return [line for line in section.splitlines() if line.startswith("| ")][2:]


def _functions(path: Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    functions = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    assigned = {
        target.id
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    named = {node.name for node in ast.walk(tree) if isinstance(node, functions)}
    return named | assigned


@pytest.mark.parametrize(("path", "name"), _IDS, ids=[name for _, name in _IDS])
def test_named_test_exists(path, name):
    """A test that the page names can be found in its file."""
    assert name in _functions(_ROOT / path)


@pytest.mark.parametrize(
    ("title", "least"),
    [
        ("What must always hold", _INVARIANTS),
        ("What fails", _FAILURES),
        ("Two failures at once", _PAIRS),
    ],
    ids=["invariants", "failures", "pairs"],
)
def test_page_has_a_row_for_each_statement(title, least):
    """Every statement has a row, and every row names a test or its lack."""
    rows = _rows(title)
    assert len(rows) >= least
    assert all("`tests/" in row or "not proved" in row for row in rows)
