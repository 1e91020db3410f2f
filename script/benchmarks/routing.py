"""Compares routing with two baselines by replaying recorded traces."""

import statistics
from collections.abc import Callable, Iterable

from tests.fixtures.replay import (
    ENGINES,
    Policy,
    Replay,
    ReplayResult,
    always_best,
    round_robin,
    router_choice,
)

from .report import Report, Row

_SEEDS = range(1, 6)
_POLICIES: dict[str, Callable[[], Policy]] = {
    "ours": lambda: router_choice,
    "round robin": round_robin,
    "always best": lambda: always_best,
}
_SCENARIOS = ("ordinary", "rush", "zone-out-and-back", "pools-run-out")
_BAD_VERSION_SCENARIOS = ("bad-5", "bad-30", "bad-100")


def _median_with_range(values: Iterable[float], decimals: int = 3) -> str:
    ordered = sorted(values)
    median = statistics.median(ordered)
    return (
        f"{median:.{decimals}f} ({ordered[0]:.{decimals}f}"
        f" to {ordered[-1]:.{decimals}f})"
    )


def _first_token_percentile_ms(outcome: ReplayResult, percent: int) -> float:
    percentiles = statistics.quantiles(outcome.first_token_s, n=100)
    return percentiles[percent - 1] * 1000


def _service_rows(deployment: str, scenario: str, policy: str) -> list[Row]:
    runs = [
        Replay(deployment, scenario, _POLICIES[policy](), seed).run() for seed in _SEEDS
    ]
    always_best_runs = [
        Replay(deployment, scenario, always_best, seed).run() for seed in _SEEDS
    ]
    name = f"{deployment}, {scenario}, {policy}"
    costs = (
        (run.cost / run.served) / (other.cost / other.served)
        for run, other in zip(runs, always_best_runs, strict=True)
    )
    first_token_p95 = _median_with_range(
        (_first_token_percentile_ms(run, 95) for run in runs), 0
    )
    return [
        Row(
            label=f"{name}: cost",
            value=_median_with_range(costs),
            unit="of always best",
        ),
        Row(
            label=f"{name}: under target",
            value=_median_with_range(run.under_target_share for run in runs),
            unit="share of answers",
        ),
        Row(
            label=f"{name}: refused",
            value=_median_with_range(
                run.refused / (run.served + run.refused) for run in runs
            ),
            unit="share of requests",
        ),
        Row(
            label=f"{name}: first token p50",
            value=_median_with_range(
                (_first_token_percentile_ms(run, 50) for run in runs), 0
            ),
            unit="ms, modelled",
        ),
        Row(
            label=f"{name}: first token p95", value=first_token_p95, unit="ms, modelled"
        ),
    ]


def _bad_version_rows(deployment: str, scenario: str) -> list[Row]:
    runs = [Replay(deployment, scenario, seed=seed).run() for seed in _SEEDS]
    withdrawn_count = sum("drafter/v1" in run.withdrawn for run in runs)
    name = f"{deployment}, {scenario}, ours"
    return [
        Row(
            label=f"{name}: answers of the version until out",
            value=_median_with_range((run.answers_while_bad for run in runs), 0),
            unit="answers",
        ),
        Row(
            label=f"{name}: bad answers shown",
            value=_median_with_range((run.bad_answers for run in runs), 0),
            unit="answers",
        ),
        Row(
            label=f"{name}: out within the minute",
            value=f"{withdrawn_count}",
            unit="of 5 seeds",
        ),
    ]


def run() -> Report:
    """Replay every scenario of every deployment."""
    rows: list[Row] = []
    for deployment in sorted(ENGINES):
        for scenario in _SCENARIOS:
            for policy in _POLICIES:
                rows += _service_rows(deployment, scenario, policy)
        for scenario in _BAD_VERSION_SCENARIOS:
            rows += _bad_version_rows(deployment, scenario)
    return Report(
        title="Routing against two baselines, by replay",
        conditions=(
            f"Seeds {_SEEDS[0]} to {_SEEDS[-1]}, median with the range; a minute of"
            " arrivals each. Engines are modelled; every answer is rated a second"
            " after its end. First-token times come from the model, not a clock."
        ),
        rows=tuple(rows),
    )
