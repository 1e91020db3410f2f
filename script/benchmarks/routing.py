"""Replays of the recorded traces against two baselines, over several seeds."""

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
_BAD_SCENARIOS = ("bad-5", "bad-30", "bad-100")


def _with_spread(figures: Iterable[float], places: int = 3) -> str:
    ordered = sorted(figures)
    middle = statistics.median(ordered)
    return f"{middle:.{places}f} ({ordered[0]:.{places}f} to {ordered[-1]:.{places}f})"


def _first_token_ms(outcome: ReplayResult, percent: int) -> float:
    cuts = statistics.quantiles(outcome.first_token_s, n=100)
    return cuts[percent - 1] * 1000


def _service_rows(deployment: str, scenario: str, policy: str) -> list[Row]:
    runs = [
        Replay(deployment, scenario, _POLICIES[policy](), seed).run() for seed in _SEEDS
    ]
    best = [Replay(deployment, scenario, always_best, seed).run() for seed in _SEEDS]
    name = f"{deployment}, {scenario}, {policy}"
    costs = (
        (run.cost / run.served) / (other.cost / other.served)
        for run, other in zip(runs, best, strict=True)
    )
    p95 = _with_spread((_first_token_ms(run, 95) for run in runs), 0)
    return [
        Row(what=f"{name}: cost", value=_with_spread(costs), unit="of always best"),
        Row(
            what=f"{name}: under target",
            value=_with_spread(run.under_target_share for run in runs),
            unit="share of answers",
        ),
        Row(
            what=f"{name}: refused",
            value=_with_spread(
                run.refused / (run.served + run.refused) for run in runs
            ),
            unit="share of requests",
        ),
        Row(
            what=f"{name}: first token p50",
            value=_with_spread((_first_token_ms(run, 50) for run in runs), 0),
            unit="ms, modelled",
        ),
        Row(what=f"{name}: first token p95", value=p95, unit="ms, modelled"),
    ]


def _exposure_rows(deployment: str, scenario: str) -> list[Row]:
    runs = [Replay(deployment, scenario, seed=seed).run() for seed in _SEEDS]
    out = sum("drafter/v1" in run.withdrawn for run in runs)
    name = f"{deployment}, {scenario}, ours"
    return [
        Row(
            what=f"{name}: answers of the version until out",
            value=_with_spread((run.answers_while_bad for run in runs), 0),
            unit="answers",
        ),
        Row(
            what=f"{name}: bad answers shown",
            value=_with_spread((run.bad_answers for run in runs), 0),
            unit="answers",
        ),
        Row(what=f"{name}: out within the minute", value=f"{out}", unit="of 5 seeds"),
    ]


def run() -> Report:
    """Return the figures of every deployment and scenario."""
    rows: list[Row] = []
    for deployment in sorted(ENGINES):
        for scenario in _SCENARIOS:
            for policy in _POLICIES:
                rows += _service_rows(deployment, scenario, policy)
        for scenario in _BAD_SCENARIOS:
            rows += _exposure_rows(deployment, scenario)
    return Report(
        title="Routing against two baselines, by replay",
        conditions=(
            f"Seeds {_SEEDS[0]} to {_SEEDS[-1]}, median with the range; a minute of"
            " arrivals each. Engines are modelled; every answer is rated a second"
            " after its end. First-token times come from the model, not a clock."
        ),
        rows=tuple(rows),
    )
