"""Tables of measured figures."""

import subprocess
from datetime import UTC, datetime
from pathlib import Path

import attrs

_DIRECTORY = Path(__file__).parents[2] / "docs" / "measurements"


@attrs.frozen(kw_only=True)
class Row:
    """One figure; ``value`` is written as it was measured."""

    what: str
    value: str
    unit: str


@attrs.frozen(kw_only=True)
class Report:
    """Figures of one run, and what they were taken with."""

    title: str
    conditions: str
    rows: tuple[Row, ...]

    def as_markdown(self) -> str:
        """Return the report as a page."""
        lines = [
            f"# {self.title}",
            "",
            f"{datetime.now(UTC):%Y-%m-%d}, commit {_commit()}. {self.conditions}",
            "",
            "| what | value | unit |",
            "| --- | --- | --- |",
        ]
        lines += [f"| {row.what} | {row.value} | {row.unit} |" for row in self.rows]
        return "\n".join(lines) + "\n"

    def save(self, name: str) -> Path:
        """Write the page under docs/measurements and return its path."""
        _DIRECTORY.mkdir(exist_ok=True)
        path = _DIRECTORY / f"{datetime.now(UTC):%Y-%m-%d}-{name}.md"
        path.write_text(self.as_markdown(), encoding="utf-8")
        return path


def _commit() -> str:
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout.strip()
