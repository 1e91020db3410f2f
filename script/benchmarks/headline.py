"""The users' headline figures for both deployments of today."""

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
    Call,
    DeployedSystem,
    Deployment,
    async_call,
)
from ._plot import save_service_plot
from ._system import MACHINE
from .report import Report, Row

_CALLS_PER_S: Final = 20
_CLASSES: Final = ("quick", "quick", "quick", "tender")
_ZONE_LEAVES_AT_S: Final = 4.0
_ZONE_RETURNS_AT_S: Final = 10.0
_ZONE_LOAD_S: Final = 14.0
_BAD_VERSION_LOAD_S: Final = 10.0
_POLL_S: Final = 0.1
_BAD: Final = VERSIONS[0]
_BEST: Final = VERSIONS[-1]
_PLOT: Final = Path("docs") / "measurements" / "zone-leaves-and-returns.svg"
_CONDITIONS: Final = (
    f"Both deployments as processes, one after the other, {_CALLS_PER_S} streamed"
    " calls/s, three in four of class quick, one of class tender; an availability"
    f" zone is out from {_ZONE_LEAVES_AT_S:.0f} to {_ZONE_RETURNS_AT_S:.0f} s; then"
    f" all answers of {_BAD} are rated 0. Distances between zones are not"
    f" simulated. {MACHINE}."
)


@attrs.frozen(kw_only=True)
class _ZoneRun:
    """Calls while a zone leaves and returns, and its last new work."""

    calls: tuple[Call, ...]
    last_work_after_s: float
    first_work_after_return_s: float


def run() -> Report:
    """Measure both deployments."""
    rows: list[Row] = []
    series: dict[str, tuple[Call, ...]] = {}
    for deployment in (ASSOCIATION, RIETDAK):
        with tempfile.TemporaryDirectory() as directory:
            system = DeployedSystem(Path(directory), deployment)
            with system:
                system.start_all()
                found, calls = asyncio.run(_async_measure(system, deployment))
        rows += found
        series[deployment.name] = calls
    save_service_plot(_PLOT, series, _ZONE_LEAVES_AT_S, _ZONE_RETURNS_AT_S)
    return Report(
        title="Headline figures of both deployments",
        conditions=_CONDITIONS,
        rows=tuple(rows),
    )


async def _async_measure(
    system: DeployedSystem, deployment: Deployment
) -> tuple[list[Row], tuple[Call, ...]]:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        zone_run = await _async_zone_run(system, session, deployment.zones[0])
        system.set_faults(system.rating_url, scores={_BAD: 0.0})
        bad = await _async_load(system, session, _BAD_VERSION_LOAD_S)
    rows = [
        *_cost_and_latency(zone_run.calls),
        *_service(zone_run),
        *_exposure(bad),
    ]
    named = [attrs.evolve(row, what=f"{deployment.name}: {row.what}") for row in rows]
    return named, zone_run.calls


async def _async_load(
    system: DeployedSystem, session: aiohttp.ClientSession, duration_s: float
) -> tuple[Call, ...]:
    """Make calls at a steady rate, over all entries in turn."""
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    urls = [entry.url for entry in system.entries.values()]
    tasks = []
    for number in range(int(duration_s * _CALLS_PER_S)):
        due_at_s = began_at_s + number / _CALLS_PER_S
        await asyncio.sleep(max(0.0, due_at_s - loop.time()))
        request_class = _CLASSES[number % len(_CLASSES)]
        url = urls[number % len(urls)]
        call = async_call(session, url, request_class, began_at_s, number)
        tasks.append(asyncio.create_task(call))
    return tuple(await asyncio.gather(*tasks))


async def _async_zone_run(
    system: DeployedSystem, session: aiohttp.ClientSession, zone: str
) -> _ZoneRun:
    loop = asyncio.get_running_loop()
    load = asyncio.create_task(_async_load(system, session, _ZONE_LOAD_S))
    await asyncio.sleep(_ZONE_LEAVES_AT_S)
    await asyncio.to_thread(system.run_operator_command, "zone", "out", zone)
    marked_out_at_s = loop.time()
    last_work_at_s = marked_out_at_s
    count = await asyncio.to_thread(system.started_in_zone, zone)
    while loop.time() < marked_out_at_s + _ZONE_RETURNS_AT_S - _ZONE_LEAVES_AT_S:
        await asyncio.sleep(_POLL_S)
        latest = await asyncio.to_thread(system.started_in_zone, zone)
        if latest > count:
            count, last_work_at_s = latest, loop.time()
    await asyncio.to_thread(system.run_operator_command, "zone", "in", zone)
    marked_in_at_s = loop.time()
    while not load.done():
        if await asyncio.to_thread(system.started_in_zone, zone) > count:
            break
        await asyncio.sleep(_POLL_S)
    returned_after_s = loop.time() - marked_in_at_s
    return _ZoneRun(
        calls=await load,
        last_work_after_s=last_work_at_s - marked_out_at_s,
        first_work_after_return_s=returned_after_s,
    )


def _cost_and_latency(calls: tuple[Call, ...]) -> list[Row]:
    whole = [call for call in calls if call.is_whole]
    costs = _costs()
    served = Counter(call.version for call in whole)
    mean_cost = sum(costs[version] * count for version, count in served.items()) / len(
        whole
    )
    first_tokens_ms = [call.first_token_s * 1000 for call in whole]
    quantiles = statistics.quantiles(first_tokens_ms, n=100, method="inclusive")
    return [
        Row(
            what="cost of an answer at the target, over the best version for all",
            value=f"{mean_cost / costs[_BEST]:.2f}",
            unit="ratio",
        ),
        Row(
            what="first token, median, with a zone leaving and returning",
            value=f"{quantiles[49]:.1f}",
            unit="ms",
        ),
        Row(
            what="first token, 95 in 100, with a zone leaving and returning",
            value=f"{quantiles[94]:.1f}",
            unit="ms",
        ),
    ]


def _costs() -> dict[str, float]:
    lists = tomllib.loads(CONFIGURATION_PATH.read_text(encoding="utf-8"))
    return {
        f"{model['name']}/{version['name']}": version["cost_per_1k_tokens"]
        for model in lists["models"]
        for version in model["versions"]
    }


def _service(zone_run: _ZoneRun) -> list[Row]:
    calls = zone_run.calls
    phases = {
        "before the zone leaves": (0.0, _ZONE_LEAVES_AT_S),
        "while the zone is out": (_ZONE_LEAVES_AT_S, _ZONE_RETURNS_AT_S),
        "after the zone's return": (_ZONE_RETURNS_AT_S, _ZONE_LOAD_S),
    }
    rows = []
    for name, (start_s, end_s) in phases.items():
        inside = [call for call in calls if start_s <= call.started_at_s < end_s]
        whole = sum(call.is_whole for call in inside)
        rows.append(
            Row(what=f"whole answers {name}", value=f"{whole}/{len(inside)}", unit="")
        )
    return [
        *rows,
        Row(
            what="last new work in the zone, after `zone out` has returned",
            value=f"{zone_run.last_work_after_s:.1f}",
            unit="s",
        ),
        Row(
            what="first new work in the zone, after `zone in` has returned",
            value=f"{zone_run.first_work_after_return_s:.1f}",
            unit="s",
        ),
    ]


def _exposure(calls: tuple[Call, ...]) -> list[Row]:
    exposed = [call for call in calls if call.is_whole and call.version == _BAD]
    last_s = max((call.started_at_s for call in exposed), default=0.0)
    return [
        Row(
            what="answers of a version that turns bad at once, until withdrawn",
            value=f"{len(exposed)}/{len(calls)}",
            unit="answers",
        ),
        Row(what="last of them after", value=f"{last_s:.1f}", unit="s"),
        Row(
            what="whole answers meanwhile",
            value=f"{sum(call.is_whole for call in calls)}/{len(calls)}",
            unit="",
        ),
    ]
