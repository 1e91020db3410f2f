"""Measures the latency that entry and sidecar add to a call of the engine."""

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
    MACHINE_CONDITIONS,
    StreamingClient,
    StreamTiming,
    read_usage,
    start_benchmark_system,
)
from .report import Report, Row

_STREAM_COUNTS: Final = (1, 64)
_ROUNDS_BY_STREAM_COUNT: Final = {1: 10, 64: 4}
_TOKENS: Final = 50
_TOKEN_INTERVAL_S: Final = 0.02
_CONDITIONS: Final = (
    f"One client process, one entry, one sidecar, one engine stand-in that sends a"
    f" token every {_TOKEN_INTERVAL_S * 1000:.0f} ms, {_TOKENS} tokens a stream;"
    f" direct calls and calls through the system take turns. {MACHINE_CONDITIONS}."
)


@attrs.frozen(kw_only=True)
class _TimingSamples:
    """Timings of one path to the engine: direct, or through the system."""

    first_tokens_s: tuple[float, ...]
    token_gaps_s: tuple[float, ...]


def run() -> Report:
    """Measure direct calls and calls through the system in one run."""
    with (
        tempfile.TemporaryDirectory() as directory,
        start_benchmark_system(Path(directory), token_s=_TOKEN_INTERVAL_S) as system,
    ):
        rows = asyncio.run(_async_measure(system))
    return Report(
        title="Added latency of entry and sidecar", conditions=_CONDITIONS, rows=rows
    )


async def _async_measure(system: LocalSystem) -> tuple[Row, ...]:
    rows: list[Row] = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        direct = StreamingClient(session, system.upstream_vms[ENGINE].upstream_url)
        through_system = StreamingClient(session, system.entries[ENTRY].url)
        for stream_count in _STREAM_COUNTS:
            await direct.async_warm_up(stream_count)
            await through_system.async_warm_up(stream_count)
            rows += await _async_compare(system, direct, through_system, stream_count)
    return tuple(rows)


async def _async_compare(
    system: LocalSystem,
    direct: StreamingClient,
    through_system: StreamingClient,
    stream_count: int,
) -> list[Row]:
    timings: dict[str, list[StreamTiming]] = {"direct": [], "through": []}
    engine_pid = system.process(f"{ENGINE}-upstream").pid
    loop = asyncio.get_running_loop()
    started_at_s, cpu_before_s = loop.time(), read_usage(engine_pid).cpu_s
    for _ in range(_ROUNDS_BY_STREAM_COUNT[stream_count]):
        timings["direct"] += await direct.async_streams(stream_count, _TOKENS)
        timings["through"] += await through_system.async_streams(stream_count, _TOKENS)
    engine_cores = (read_usage(engine_pid).cpu_s - cpu_before_s) / (
        loop.time() - started_at_s
    )
    samples = {
        name: _collect_samples(stream_timings)
        for name, stream_timings in timings.items()
    }
    return [
        *_comparison_rows(
            f"{stream_count} streams, first token",
            samples["direct"].first_tokens_s,
            samples["through"].first_tokens_s,
        ),
        *_comparison_rows(
            f"{stream_count} streams, between tokens",
            samples["direct"].token_gaps_s,
            samples["through"].token_gaps_s,
        ),
        Row(
            label=f"{stream_count} streams, the engine stand-in's own processor",
            value=f"{engine_cores:.3f}",
            unit="core",
        ),
    ]


def _collect_samples(timings: list[StreamTiming]) -> _TimingSamples:
    return _TimingSamples(
        first_tokens_s=tuple(timing.first_token_s for timing in timings),
        token_gaps_s=tuple(
            token_gap_s for timing in timings for token_gap_s in timing.token_gaps_s
        ),
    )


def _comparison_rows(
    label: str, direct: tuple[float, ...], through_system: tuple[float, ...]
) -> list[Row]:
    rows = []
    for name, percent in (("median", 50), ("95 in 100", 95)):
        direct_s, through_system_s = (
            _percentile(direct, percent),
            _percentile(through_system, percent),
        )
        rows += [
            Row(
                label=f"{label}, {name}, through the system",
                value=f"{through_system_s * 1000:.2f}",
                unit="ms",
            ),
            Row(
                label=f"{label}, {name}, added",
                value=f"{(through_system_s - direct_s) * 1000:.2f}",
                unit="ms",
            ),
            Row(
                label=f"{label}, {name}, through over direct",
                value=f"{through_system_s / direct_s:.3f}",
                unit="ratio",
            ),
        ]
    return rows


def _percentile(values: tuple[float, ...], percent: int) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
