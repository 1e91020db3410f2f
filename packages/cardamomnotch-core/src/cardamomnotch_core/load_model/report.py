"""What callers of a load got, summed up."""

from collections.abc import Callable, Iterable, Sequence

import attrs

from .models import Outcome

_WINDOW_S = 1.0


@attrs.frozen(kw_only=True)
class ReportRow:
    """What the callers of one class, zone or window got; times in seconds."""

    group: str
    requests: int
    # Shares of the requests.
    in_time: float
    good: float
    served: float
    waited_for_lost: float
    first_token_median_s: float
    first_token_p95_s: float


@attrs.frozen(kw_only=True)
class LoadReport:
    """The rows of a load, and the worst second of it."""

    rows: tuple[ReportRow, ...]
    worst_second: ReportRow


def create_report(outcomes: Sequence[Outcome]) -> LoadReport:
    """Sum up what callers got, by class and by zone."""
    rows = [_create_row("all", outcomes)]
    for key in ("request_class", "zone"):
        rows += _create_rows(outcomes, lambda outcome, key=key: getattr(outcome, key))
    windows = _create_rows(
        outcomes, lambda outcome: f"second {int(outcome.arrived_at_s // _WINDOW_S)}"
    )
    return LoadReport(
        rows=tuple(rows), worst_second=min(windows, key=lambda row: row.served)
    )


def format_report(report: LoadReport) -> str:
    """Return a report as a table."""
    columns = [field.name for field in attrs.fields(ReportRow)]
    lines = [columns]
    for row in (*report.rows, report.worst_second):
        values = attrs.astuple(row)
        lines.append(
            [f"{item:.3f}" if isinstance(item, float) else str(item) for item in values]
        )
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            item.rjust(width) for item, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _create_rows(
    outcomes: Iterable[Outcome], group_of: Callable[[Outcome], str]
) -> list[ReportRow]:
    groups: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        groups.setdefault(group_of(outcome), []).append(outcome)
    return [_create_row(name, found) for name, found in sorted(groups.items())]


def _create_row(group: str, outcomes: Sequence[Outcome]) -> ReportRow:
    count = max(1, len(outcomes))
    times_s = sorted(
        outcome.first_token_s
        for outcome in outcomes
        if outcome.first_token_s is not None
    )
    return ReportRow(
        group=group,
        requests=len(outcomes),
        in_time=sum(outcome.is_in_time for outcome in outcomes) / count,
        good=sum(outcome.is_good for outcome in outcomes) / count,
        served=sum(outcome.is_in_time and outcome.is_good for outcome in outcomes)
        / count,
        waited_for_lost=sum(outcome.lost_s > 0 for outcome in outcomes) / count,
        first_token_median_s=_quantile(times_s, 0.5),
        first_token_p95_s=_quantile(times_s, 0.95),
    )


def _quantile(times_s: Sequence[float], fraction: float) -> float:
    return times_s[int(fraction * (len(times_s) - 1))] if times_s else float("nan")
