"""Benchmark results and their Markdown report."""

import subprocess
from datetime import UTC, datetime
from pathlib import Path

import attrs

_REPORT_DIRECTORY = Path(__file__).parents[2] / "docs" / "measurements"


@attrs.frozen(kw_only=True)
class Row:
    """One result of a benchmark, with its value already formatted.

    Labels and units appear in the saved reports: they stay the same, so that
    reports of different commits can be compared line by line.
    """

    label: str
    value: str
    unit: str


@attrs.frozen(kw_only=True)
class Report:
    """Results of one benchmark run and the conditions of the run."""

    title: str
    conditions: str
    rows: tuple[Row, ...]

    def as_markdown(self) -> str:
        """Return the report as a Markdown page."""
        lines = [
            f"# {self.title}",
            "",
            f"{datetime.now(UTC):%Y-%m-%d}, commit {_current_commit()}."
            f" {self.conditions}",
            "",
            "| what | value | unit |",
            "| --- | --- | --- |",
        ]
        lines += [f"| {row.label} | {row.value} | {row.unit} |" for row in self.rows]
        return "\n".join(lines) + "\n"

    def save(self, name: str) -> Path:
        """Write the report to docs/measurements and return its path."""
        _REPORT_DIRECTORY.mkdir(exist_ok=True)
        path = _REPORT_DIRECTORY / f"{datetime.now(UTC):%Y-%m-%d}-{name}.md"
        path.write_text(self.as_markdown(), encoding="utf-8")
        return path


def _current_commit() -> str:
    completed = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.strip()
