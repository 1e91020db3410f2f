"""Latency that entry and sidecar add to a direct call of the engine."""

import asyncio
import statistics
import tempfile
from pathlib import Path
from typing import Final

import aiohttp
import attrs
from tests.fixtures.local_system import LocalSystem

from ._system import (
    ENGINE,
    ENTRY,
    MACHINE,
    StreamCaller,
    StreamTiming,
    read_usage,
    start_bench_system,
)
from .report import Report, Row

_STREAM_COUNTS: Final = (1, 64)
_ROUNDS: Final = {1: 10, 64: 4}
_TOKENS: Final = 50
_TOKEN_INTERVAL_S: Final = 0.02
_CONDITIONS: Final = (
    f"One client process, one entry, one sidecar, one engine stand-in that gives a"
    f" token each {_TOKEN_INTERVAL_S * 1000:.0f} ms, {_TOKENS} tokens a stream;"
    f" direct calls and calls through the system take turns. {MACHINE}."
)


@attrs.frozen(kw_only=True)
class _Sample:
    """Timings of one way to the engine."""

    first_tokens_s: tuple[float, ...]
    gaps_s: tuple[float, ...]


def run() -> Report:
    """Measure both ways in one run."""
    with (
        tempfile.TemporaryDirectory() as directory,
        start_bench_system(Path(directory), token_s=_TOKEN_INTERVAL_S) as system,
    ):
        rows = asyncio.run(_async_measure(system))
    return Report(
        title="Added latency of entry and sidecar", conditions=_CONDITIONS, rows=rows
    )


async def _async_measure(system: LocalSystem) -> tuple[Row, ...]:
    rows: list[Row] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct = StreamCaller(session, system.upstream_vms[ENGINE].upstream_url)
        through = StreamCaller(session, system.entries[ENTRY].url)
        for streams in _STREAM_COUNTS:
            await direct.async_warm_up(streams)
            await through.async_warm_up(streams)
            rows += await _async_compare(system, direct, through, streams)
    return tuple(rows)


async def _async_compare(
    system: LocalSystem, direct: StreamCaller, through: StreamCaller, streams: int
) -> list[Row]:
    timings: dict[str, list[StreamTiming]] = {"direct": [], "through": []}
    engine_pid = system.process(f"{ENGINE}-upstream").pid
    loop = asyncio.get_running_loop()
    started_at_s, cpu_before_s = loop.time(), read_usage(engine_pid).cpu_s
    for _ in range(_ROUNDS[streams]):
        timings["direct"] += await direct.async_streams(streams, _TOKENS)
        timings["through"] += await through.async_streams(streams, _TOKENS)
    engine_share = (read_usage(engine_pid).cpu_s - cpu_before_s) / (
        loop.time() - started_at_s
    )
    samples = {name: _sample(items) for name, items in timings.items()}
    return [
        *_rows(
            f"{streams} streams, first token",
            samples["direct"].first_tokens_s,
            samples["through"].first_tokens_s,
        ),
        *_rows(
            f"{streams} streams, between tokens",
            samples["direct"].gaps_s,
            samples["through"].gaps_s,
        ),
        Row(
            what=f"{streams} streams, the engine stand-in's own processor",
            value=f"{engine_share:.3f}",
            unit="core",
        ),
    ]


def _sample(timings: list[StreamTiming]) -> _Sample:
    return _Sample(
        first_tokens_s=tuple(item.first_token_s for item in timings),
        gaps_s=tuple(gap for item in timings for gap in item.gaps_s),
    )


def _rows(
    what: str, direct: tuple[float, ...], through: tuple[float, ...]
) -> list[Row]:
    rows = []
    for name, percent in (("median", 50), ("95 in 100", 95)):
        direct_s, through_s = _quantile(direct, percent), _quantile(through, percent)
        rows += [
            Row(
                what=f"{what}, {name}, through the system",
                value=f"{through_s * 1000:.2f}",
                unit="ms",
            ),
            Row(
                what=f"{what}, {name}, added",
                value=f"{(through_s - direct_s) * 1000:.2f}",
                unit="ms",
            ),
            Row(
                what=f"{what}, {name}, through over direct",
                value=f"{through_s / direct_s:.3f}",
                unit="ratio",
            ),
        ]
    return rows


def _quantile(values: tuple[float, ...], percent: int) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
