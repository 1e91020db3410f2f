"""Measures the time of one placement plan when no engine slot is free."""

import time
from typing import Final

from cardamomnotch_core.configuration.models import (
    Configuration,
    Model,
    PlacementRules,
    Version,
)
from cardamomnotch_core.placement.models import Engine
from cardamomnotch_core.placement.planner import plan_versions

from ._system import MACHINE_CONDITIONS
from .report import Report, Row

_ENGINE_COUNTS: Final = (120, 1_200, 2_400, 12_000)
_VERSION_COUNT: Final = 19
_ZONE_COUNT: Final = 15
_CONCURRENT_LOADS: Final = 8
_CONDITIONS: Final = (
    f"{_VERSION_COUNT} versions, {_ZONE_COUNT} zones, one slot per engine, all in use;"
    f" a new version needs replicas, {_CONCURRENT_LOADS} concurrent loads."
    f" {MACHINE_CONDITIONS}."
)


def run() -> Report:
    """Measure one plan for each number of engines."""
    rows = [
        Row(
            label=f"{engines} engines: one plan",
            value=f"{_measure_plan_s(engines) * 1000:.1f}",
            unit="ms of processor",
        )
        for engines in _ENGINE_COUNTS
    ]
    return Report(title="Time of a plan", conditions=_CONDITIONS, rows=tuple(rows))


def _measure_plan_s(engine_count: int) -> float:
    """Return the processor time of one plan, in seconds."""
    replicas = engine_count // _VERSION_COUNT
    configuration = Configuration(
        models=(
            Model(
                name="drafter",
                versions=tuple(
                    Version(
                        name=f"v{number}", cost_per_1k_tokens=1.0, replicas=replicas
                    )
                    for number in range(_VERSION_COUNT)
                ),
            ),
        ),
        placement=PlacementRules(
            versions_per_engine=1, concurrent_loads=_CONCURRENT_LOADS
        ),
    )
    # The last version is new: no engine has loaded it yet.
    engines = [
        Engine(
            vm_id=f"engine-{number}",
            zone=f"zone-{number % _ZONE_COUNT}",
            loaded=frozenset({f"drafter/v{number % (_VERSION_COUNT - 1)}"}),
        )
        for number in range(engine_count)
    ]
    started_s = time.process_time()
    plan_versions(configuration, engines, {})
    return time.process_time() - started_s
