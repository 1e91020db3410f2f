"""Memory and processor time of each binary: at rest, a request, a token."""

import asyncio
import statistics
import subprocess
import sys
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
    Usage,
    read_usage,
    start_bench_system,
)
from .report import Report, Row

_FLOOR_SOURCE: Final = (
    "import aiohttp, aiomisc, attrs, uvloop; print(flush=True); input()"
)
_BINARIES: Final = {"entry": ENTRY, "sidecar": ENGINE}
_IDLE_S: Final = 5.0
_LOAD_S: Final = 4.0
_TOKEN_INTERVAL_S: Final = 0.005
_REQUEST_RATES_PER_S: Final = (10, 40, 80)
_TOKENS_A_REQUEST: Final = (2, 100, 200)
_RATE_WITH_TOKENS_PER_S: Final = 10
_CONDITIONS: Final = (
    "One entry before one engine stand-in, streamed calls at a steady rate,"
    f" {_LOAD_S:.0f} s a rate; slopes by least squares over"
    f" {', '.join(map(str, _REQUEST_RATES_PER_S))} requests/s of"
    f" {_TOKENS_A_REQUEST[0]} tokens, and over"
    f" {', '.join(map(str, _TOKENS_A_REQUEST))} tokens a request at"
    f" {_RATE_WITH_TOKENS_PER_S} requests/s. {MACHINE}."
)


@attrs.frozen(kw_only=True)
class _Load:
    """Processor time of each binary under one steady load."""

    requests_per_s: float
    tokens_per_s: float
    cores: dict[str, float]


def run() -> Report:
    """Measure the floor, the rest and the slopes in one run."""
    rows = [
        Row(
            what="a bare process with uvloop, aiohttp, attrs, aiomisc: resident",
            value=_mebibytes(_floor_bytes()),
            unit="MiB",
        )
    ]
    with (
        tempfile.TemporaryDirectory() as directory,
        start_bench_system(Path(directory), token_s=_TOKEN_INTERVAL_S) as system,
    ):
        rows += asyncio.run(_async_measure(system))
    return Report(
        title="Footprint of the binaries", conditions=_CONDITIONS, rows=tuple(rows)
    )


def _floor_bytes() -> int:
    """Return the resident memory of a process that only imports libraries."""
    with subprocess.Popen(
        [sys.executable, "-c", _FLOOR_SOURCE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        process.stdout.readline()
        resident_bytes = read_usage(process.pid).resident_bytes
        process.communicate(b"\n")
    return resident_bytes


async def _async_measure(system: LocalSystem) -> list[Row]:
    rows = await _async_rest(system)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = StreamCaller(session, system.entries[ENTRY].url)
        await caller.async_warm_up(max(_REQUEST_RATES_PER_S) // 2)
        by_rate = [
            await _async_load(system, caller, rate, _TOKENS_A_REQUEST[0])
            for rate in _REQUEST_RATES_PER_S
        ]
        by_tokens = [
            await _async_load(system, caller, _RATE_WITH_TOKENS_PER_S, tokens)
            for tokens in _TOKENS_A_REQUEST
        ]
    for name, process in _BINARIES.items():
        rows += _slopes(name, by_rate, by_tokens)
        resident_bytes = _usage(system, process).resident_bytes
        rows.append(
            Row(
                what=f"{name}, after the load: resident",
                value=_mebibytes(resident_bytes),
                unit="MiB",
            )
        )
    return rows


async def _async_rest(system: LocalSystem) -> list[Row]:
    before = {name: _usage(system, item) for name, item in _BINARIES.items()}
    await asyncio.sleep(_IDLE_S)
    rows = []
    for name, process in _BINARIES.items():
        usage = _usage(system, process)
        cpu_share = (usage.cpu_s - before[name].cpu_s) / _IDLE_S
        rows += [
            Row(
                what=f"{name}, at rest: resident",
                value=_mebibytes(usage.resident_bytes),
                unit="MiB",
            ),
            Row(
                what=f"{name}, at rest: processor",
                value=f"{cpu_share * 100:.2f}",
                unit="% of a core",
            ),
        ]
    return rows


async def _async_load(
    system: LocalSystem, caller: StreamCaller, requests_per_s: int, tokens: int
) -> _Load:
    """Offer a steady load and return what the binaries spent on it."""
    count = int(requests_per_s * _LOAD_S)
    loop = asyncio.get_running_loop()
    before = {name: _usage(system, item) for name, item in _BINARIES.items()}
    started_at_s = loop.time()
    async with asyncio.TaskGroup() as group:
        for index in range(count):
            due_at_s = started_at_s + index / requests_per_s
            await asyncio.sleep(max(0.0, due_at_s - loop.time()))
            group.create_task(_async_whole_stream(caller, tokens))
    elapsed_s = loop.time() - started_at_s
    return _Load(
        requests_per_s=count / elapsed_s,
        tokens_per_s=count * tokens / elapsed_s,
        cores={
            name: (_usage(system, item).cpu_s - before[name].cpu_s) / elapsed_s
            for name, item in _BINARIES.items()
        },
    )


async def _async_whole_stream(caller: StreamCaller, tokens: int) -> None:
    if await caller.async_stream(tokens) is None:
        raise RuntimeError("a stream broke")


def _slopes(name: str, by_rate: list[_Load], by_tokens: list[_Load]) -> list[Row]:
    """Return processor time a token, and a request without its tokens."""
    token_s = statistics.linear_regression(
        [item.tokens_per_s / item.requests_per_s for item in by_tokens],
        [item.cores[name] / item.requests_per_s for item in by_tokens],
    ).slope
    request_s = statistics.linear_regression(
        [item.requests_per_s for item in by_rate],
        [item.cores[name] for item in by_rate],
    ).slope
    return [
        Row(
            what=f"{name}, processor a request of no tokens",
            value=f"{(request_s - token_s * _TOKENS_A_REQUEST[0]) * 1000:.2f}",
            unit="ms",
        ),
        Row(
            what=f"{name}, processor a token",
            value=f"{token_s * 1_000_000:.0f}",
            unit="µs",
        ),
    ]


def _usage(system: LocalSystem, process: str) -> Usage:
    return read_usage(system.process(process).pid)


def _mebibytes(count: int) -> str:
    return f"{count / 1_048_576:.1f}"
