"""Time of one plan over the engines, where every slot is taken."""

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

from ._system import MACHINE
from .report import Report, Row

_SIZES: Final = (120, 1_200, 2_400, 12_000)
_VERSIONS: Final = 19
_ZONES: Final = 15
_CONCURRENT_LOADS: Final = 8
_CONDITIONS: Final = (
    f"{_VERSIONS} versions, {_ZONES} zones, one slot an engine, all taken; a new"
    f" version wants its share, {_CONCURRENT_LOADS} loads at once. {MACHINE}."
)


def run() -> Report:
    """Measure each size once."""
    rows = [
        Row(
            what=f"{engines} engines: one plan",
            value=f"{_plan_s(engines) * 1000:.1f}",
            unit="ms of processor",
        )
        for engines in _SIZES
    ]
    return Report(title="Time of a plan", conditions=_CONDITIONS, rows=tuple(rows))


def _plan_s(engine_count: int) -> float:
    replicas = engine_count // _VERSIONS
    configuration = Configuration(
        models=(
            Model(
                name="drafter",
                versions=tuple(
                    Version(name=f"v{n}", cost_per_1k_tokens=1.0, replicas=replicas)
                    for n in range(_VERSIONS)
                ),
            ),
        ),
        placement=PlacementRules(
            versions_per_engine=1, concurrent_loads=_CONCURRENT_LOADS
        ),
    )
    # The last version is new: no engine holds it yet.
    engines = [
        Engine(
            vm_id=f"engine-{n}",
            zone=f"zone-{n % _ZONES}",
            loaded=frozenset({f"drafter/v{n % (_VERSIONS - 1)}"}),
        )
        for n in range(engine_count)
    ]
    started_s = time.process_time()
    plan_versions(configuration, engines, {})
    return time.process_time() - started_s
