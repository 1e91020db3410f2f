"""Checks plays of the users' bench for refusals that break no rule."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import attrs
import click

_JOURNAL: Final = Path(__file__).parents[1] / "journal"
# Most of the requests that may end with 502 or 504 without an attempt, and on
# quiet days with a refusal.
MAX_UNTRIED_SHARE: Final = 1 / 500
MAX_QUIET_REFUSED_SHARE: Final = 1 / 500


@attrs.frozen
class DayCheck:
    """What callers of one played day got beside the rules."""

    site: str
    day: str
    worth: float
    is_quiet: bool
    # Share of the requests that were refused.
    refused: float
    # Requests that failed without an attempt, and all; 0 if not recorded.
    untried: int
    asked: int

    @property
    def problems(self) -> list[str]:
        """Return what is beyond the limits, in words."""
        problems = []
        if self.asked and self.untried > self.asked * MAX_UNTRIED_SHARE:
            problems.append(
                f"{self.untried} of {self.asked} requests ended with 502 or 504 and"
                " reached no upstream"
            )
        if self.is_quiet and self.refused > MAX_QUIET_REFUSED_SHARE:
            problems.append(f"{self.refused:.2%} of the requests were refused")
        return problems


def check_entry(entry: dict[str, Any]) -> Iterator[DayCheck]:
    """Yield the checks of a journal entry's days."""
    site = entry.get("site") or "?"
    asked = _count_asked(entry.get("digest") or "")
    for day in entry.get("days") or ():
        name = day["name"]
        yield DayCheck(
            site=site,
            day=name,
            worth=day["G"],
            is_quiet=day.get("slot") == "quiet",
            refused=day.get("refused") or 0.0,
            untried=day.get("untried_502") or 0,
            # Only the digest of a single day has the numbers of requests.
            asked=asked if len(entry["days"]) == 1 else 0,
        )


def _count_asked(digest: str) -> int:
    """Return the sum of the column "asked" of a digest's table of classes."""
    total, is_table = 0, False
    for line in digest.splitlines():
        if line.startswith("class") and "asked" in line:
            is_table = True
        elif is_table:
            fields = line.split()
            if len(fields) < 2 or not fields[1].isdigit():
                break
            total += int(fields[1])
    return total


@click.command()
@click.argument("entries", nargs=-1, type=click.Path(exists=True, path_type=Path))
def main(entries: tuple[Path, ...]) -> None:
    """Print each day's refusals, and the problems that break no rule.

    ENTRIES are files of the journal; without any, the newest one is checked.
    Exits with 1 if there is a problem.
    """
    paths = entries or (max(_JOURNAL.glob("*.json")),)
    failed = False
    for path in paths:
        for check in check_entry(json.loads(path.read_text())):
            click.echo(
                f"{check.site} {check.day}: worth {check.worth:.3f},"
                f" refused {check.refused:.2%}, failed untried {check.untried}"
            )
            for problem in check.problems:
                click.echo(f"  problem: {problem}")
                failed = True
    sys.exit(int(failed))


if __name__ == "__main__":
    main()
