"""Measures the main service figures of both users' present deployments."""

import asyncio
import statistics
import tempfile
import tomllib
from collections import Counter
from pathlib import Path
from typing import Final

import aiohttp
import attrs
from tests.fixtures.local_system import CONFIGURATION_PATH

from ._deployment import (
    ASSOCIATION,
    RIETDAK,
    VERSIONS,
    CallResult,
    DeployedSystem,
    Deployment,
    async_call,
)
from ._plot import save_answer_rate_plot
from ._system import MACHINE_CONDITIONS
from .report import Report, Row

_CALLS_PER_S: Final = 20
_REQUEST_CLASSES: Final = ("quick", "quick", "quick", "tender")
_ZONE_DISABLED_AT_S: Final = 4.0
_ZONE_ENABLED_AT_S: Final = 10.0
_ZONE_RUN_DURATION_S: Final = 14.0
_BAD_VERSION_RUN_DURATION_S: Final = 10.0
_POLL_INTERVAL_S: Final = 0.1
_BAD_VERSION: Final = VERSIONS[0]
_BEST_VERSION: Final = VERSIONS[-1]
_PLOT_PATH: Final = Path("docs") / "measurements" / "zone-leaves-and-returns.svg"
_CONDITIONS: Final = (
    f"Both deployments as processes, one after the other, {_CALLS_PER_S} streamed"
    " calls/s, three in four of class quick, one of class tender; an availability"
    f" zone is out from {_ZONE_DISABLED_AT_S:.0f} to {_ZONE_ENABLED_AT_S:.0f} s; then"
    f" all answers of {_BAD_VERSION} are rated 0. Distances between zones are not"
    f" simulated. {MACHINE_CONDITIONS}."
)


@attrs.frozen(kw_only=True)
class _ZoneOutageResult:
    """Calls around a zone outage, and the delays of its effect on the zone.

    The delays run from the return of the operator's command to the last, or
    first, call that an engine in the zone started.
    """

    calls: tuple[CallResult, ...]
    last_start_after_disable_s: float
    first_start_after_enable_s: float


def run() -> Report:
    """Measure both deployments and save the plot of the zone outage."""
    rows: list[Row] = []
    calls_by_deployment: dict[str, tuple[CallResult, ...]] = {}
    for deployment in (ASSOCIATION, RIETDAK):
        with tempfile.TemporaryDirectory() as directory:
            system = DeployedSystem(Path(directory), deployment)
            with system:
                system.start_all()
                deployment_rows, calls = asyncio.run(_async_measure(system, deployment))
        rows += deployment_rows
        calls_by_deployment[deployment.name] = calls
    save_answer_rate_plot(
        _PLOT_PATH, calls_by_deployment, _ZONE_DISABLED_AT_S, _ZONE_ENABLED_AT_S
    )
    return Report(
        title="Headline figures of both deployments",
        conditions=_CONDITIONS,
        rows=tuple(rows),
    )


async def _async_measure(
    system: DeployedSystem, deployment: Deployment
) -> tuple[list[Row], tuple[CallResult, ...]]:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        zone_outage = await _async_run_zone_outage(system, session, deployment.zones[0])
        system.set_faults(system.rating_url, scores={_BAD_VERSION: 0.0})
        bad_version_calls = await _async_run_load(
            system, session, _BAD_VERSION_RUN_DURATION_S
        )
    rows = [
        *_cost_and_latency_rows(zone_outage.calls),
        *_zone_outage_rows(zone_outage),
        *_bad_version_rows(bad_version_calls),
    ]
    labelled_rows = [
        attrs.evolve(row, label=f"{deployment.name}: {row.label}") for row in rows
    ]
    return labelled_rows, zone_outage.calls


async def _async_run_load(
    system: DeployedSystem, session: aiohttp.ClientSession, duration_s: float
) -> tuple[CallResult, ...]:
    """Make calls at a constant rate, over all entries in turn."""
    loop = asyncio.get_running_loop()
    load_started_at_s = loop.time()
    urls = [entry.url for entry in system.entries.values()]
    tasks = []
    for number in range(int(duration_s * _CALLS_PER_S)):
        due_at_s = load_started_at_s + number / _CALLS_PER_S
        await asyncio.sleep(max(0.0, due_at_s - loop.time()))
        request_class = _REQUEST_CLASSES[number % len(_REQUEST_CLASSES)]
        url = urls[number % len(urls)]
        call = async_call(session, url, request_class, load_started_at_s, number)
        tasks.append(asyncio.create_task(call))
    return tuple(await asyncio.gather(*tasks))


async def _async_run_zone_outage(
    system: DeployedSystem, session: aiohttp.ClientSession, zone: str
) -> _ZoneOutageResult:
    """Run load while ``zone`` is taken out of service and put back."""
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(_async_run_load(system, session, _ZONE_RUN_DURATION_S))
    await asyncio.sleep(_ZONE_DISABLED_AT_S)
    await asyncio.to_thread(system.run_operator_command, "zone", "out", zone)
    disabled_at_s = loop.time()
    last_start_at_s = disabled_at_s
    started_count = await asyncio.to_thread(system.calls_started_in_zone, zone)
    while loop.time() < disabled_at_s + _ZONE_ENABLED_AT_S - _ZONE_DISABLED_AT_S:
        await asyncio.sleep(_POLL_INTERVAL_S)
        latest_count = await asyncio.to_thread(system.calls_started_in_zone, zone)
        if latest_count > started_count:
            started_count, last_start_at_s = latest_count, loop.time()
    await asyncio.to_thread(system.run_operator_command, "zone", "in", zone)
    enabled_at_s = loop.time()
    while not load.done():
        if await asyncio.to_thread(system.calls_started_in_zone, zone) > started_count:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    first_start_after_s = loop.time() - enabled_at_s
    return _ZoneOutageResult(
        calls=await load,
        last_start_after_disable_s=last_start_at_s - disabled_at_s,
        first_start_after_enable_s=first_start_after_s,
    )


def _cost_and_latency_rows(calls: tuple[CallResult, ...]) -> list[Row]:
    complete_calls = [call for call in calls if call.is_complete]
    costs = _costs_by_version()
    answers_by_version = Counter(call.version for call in complete_calls)
    mean_cost = sum(
        costs[version] * count for version, count in answers_by_version.items()
    ) / len(complete_calls)
    first_tokens_ms = [call.first_token_s * 1000 for call in complete_calls]
    quantiles = statistics.quantiles(first_tokens_ms, n=100, method="inclusive")
    return [
        Row(
            label="cost of an answer at the target, over the best version for all",
            value=f"{mean_cost / costs[_BEST_VERSION]:.2f}",
            unit="ratio",
        ),
        Row(
            label="first token, median, with a zone leaving and returning",
            value=f"{quantiles[49]:.1f}",
            unit="ms",
        ),
        Row(
            label="first token, 95 in 100, with a zone leaving and returning",
            value=f"{quantiles[94]:.1f}",
            unit="ms",
        ),
    ]


def _costs_by_version() -> dict[str, float]:
    configuration = tomllib.loads(CONFIGURATION_PATH.read_text(encoding="utf-8"))
    return {
        f"{model['name']}/{version['name']}": version["cost_per_1k_tokens"]
        for model in configuration["models"]
        for version in model["versions"]
    }


def _zone_outage_rows(zone_outage: _ZoneOutageResult) -> list[Row]:
    calls = zone_outage.calls
    phases = {
        "before the zone leaves": (0.0, _ZONE_DISABLED_AT_S),
        "while the zone is out": (_ZONE_DISABLED_AT_S, _ZONE_ENABLED_AT_S),
        "after the zone's return": (_ZONE_ENABLED_AT_S, _ZONE_RUN_DURATION_S),
    }
    rows = []
    for name, (start_s, end_s) in phases.items():
        phase_calls = [call for call in calls if start_s <= call.started_at_s < end_s]
        complete_count = sum(call.is_complete for call in phase_calls)
        rows.append(
            Row(
                label=f"whole answers {name}",
                value=f"{complete_count}/{len(phase_calls)}",
                unit="",
            )
        )
    return [
        *rows,
        Row(
            label="last new work in the zone, after `zone out` has returned",
            value=f"{zone_outage.last_start_after_disable_s:.1f}",
            unit="s",
        ),
        Row(
            label="first new work in the zone, after `zone in` has returned",
            value=f"{zone_outage.first_start_after_enable_s:.1f}",
            unit="s",
        ),
    ]


def _bad_version_rows(calls: tuple[CallResult, ...]) -> list[Row]:
    bad_version_answers = [
        call for call in calls if call.is_complete and call.version == _BAD_VERSION
    ]
    last_s = max((call.started_at_s for call in bad_version_answers), default=0.0)
    return [
        Row(
            label="answers of a version that turns bad at once, until withdrawn",
            value=f"{len(bad_version_answers)}/{len(calls)}",
            unit="answers",
        ),
        Row(label="last of them after", value=f"{last_s:.1f}", unit="s"),
        Row(
            label="whole answers meanwhile",
            value=f"{sum(call.is_complete for call in calls)}/{len(calls)}",
            unit="",
        ),
    ]
