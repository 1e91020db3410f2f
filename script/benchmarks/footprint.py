"""Measures memory and processor time of the entry and the sidecar process."""

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
    MACHINE_CONDITIONS,
    ProcessUsage,
    StreamingClient,
    read_usage,
    start_benchmark_system,
)
from .report import Report, Row

_BASELINE_SOURCE: Final = (
    "import aiohttp, aiomisc, attrs, uvloop; print(flush=True); input()"
)
_PROCESS_NAMES: Final = {"entry": ENTRY, "sidecar": ENGINE}
_IDLE_S: Final = 5.0
_LOAD_S: Final = 4.0
_TOKEN_INTERVAL_S: Final = 0.005
_REQUEST_RATES_PER_S: Final = (10, 40, 80)
_TOKENS_PER_REQUEST: Final = (2, 100, 200)
_TOKEN_RUN_REQUESTS_PER_S: Final = 10
_CONDITIONS: Final = (
    "One entry before one engine stand-in, streamed calls at a steady rate,"
    f" {_LOAD_S:.0f} s per rate; slopes by least squares over"
    f" {', '.join(map(str, _REQUEST_RATES_PER_S))} requests/s of"
    f" {_TOKENS_PER_REQUEST[0]} tokens, and over"
    f" {', '.join(map(str, _TOKENS_PER_REQUEST))} tokens a request at"
    f" {_TOKEN_RUN_REQUESTS_PER_S} requests/s. {MACHINE_CONDITIONS}."
)


@attrs.frozen(kw_only=True)
class _LoadCost:
    """Processor time of each process under one constant load."""

    requests_per_s: float
    tokens_per_s: float
    cpu_cores: dict[str, float]


def run() -> Report:
    """Measure a bare process, idle processes and the slopes under load."""
    rows = [
        Row(
            label="a bare process with uvloop, aiohttp, attrs, aiomisc: resident",
            value=_format_mebibytes(_measure_baseline_bytes()),
            unit="MiB",
        )
    ]
    with (
        tempfile.TemporaryDirectory() as directory,
        start_benchmark_system(Path(directory), token_s=_TOKEN_INTERVAL_S) as system,
    ):
        rows += asyncio.run(_async_measure(system))
    return Report(
        title="Footprint of the binaries", conditions=_CONDITIONS, rows=tuple(rows)
    )


def _measure_baseline_bytes() -> int:
    """Return the resident memory of a process that only imports libraries."""
    with subprocess.Popen(
        [sys.executable, "-c", _BASELINE_SOURCE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        process.stdout.readline()
        resident_bytes = read_usage(process.pid).resident_bytes
        process.communicate(b"\n")
    return resident_bytes


async def _async_measure(system: LocalSystem) -> list[Row]:
    rows = await _async_measure_idle(system)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = StreamingClient(session, system.entries[ENTRY].url)
        await client.async_warm_up(max(_REQUEST_RATES_PER_S) // 2)
        by_rate = [
            await _async_run_load(system, client, rate, _TOKENS_PER_REQUEST[0])
            for rate in _REQUEST_RATES_PER_S
        ]
        by_tokens = [
            await _async_run_load(system, client, _TOKEN_RUN_REQUESTS_PER_S, tokens)
            for tokens in _TOKENS_PER_REQUEST
        ]
    for name, process in _PROCESS_NAMES.items():
        rows += _slope_rows(name, by_rate, by_tokens)
        resident_bytes = _read_process_usage(system, process).resident_bytes
        rows.append(
            Row(
                label=f"{name}, after the load: resident",
                value=_format_mebibytes(resident_bytes),
                unit="MiB",
            )
        )
    return rows


async def _async_measure_idle(system: LocalSystem) -> list[Row]:
    before = {
        name: _read_process_usage(system, item) for name, item in _PROCESS_NAMES.items()
    }
    await asyncio.sleep(_IDLE_S)
    rows = []
    for name, process in _PROCESS_NAMES.items():
        usage = _read_process_usage(system, process)
        cpu_share = (usage.cpu_s - before[name].cpu_s) / _IDLE_S
        rows += [
            Row(
                label=f"{name}, at rest: resident",
                value=_format_mebibytes(usage.resident_bytes),
                unit="MiB",
            ),
            Row(
                label=f"{name}, at rest: processor",
                value=f"{cpu_share * 100:.2f}",
                unit="% of a core",
            ),
        ]
    return rows


async def _async_run_load(
    system: LocalSystem, client: StreamingClient, requests_per_s: int, tokens: int
) -> _LoadCost:
    """Send requests at a constant rate and return what they cost."""
    count = int(requests_per_s * _LOAD_S)
    loop = asyncio.get_running_loop()
    before = {
        name: _read_process_usage(system, item) for name, item in _PROCESS_NAMES.items()
    }
    started_at_s = loop.time()
    async with asyncio.TaskGroup() as group:
        for index in range(count):
            due_at_s = started_at_s + index / requests_per_s
            await asyncio.sleep(max(0.0, due_at_s - loop.time()))
            group.create_task(_async_complete_stream(client, tokens))
    elapsed_s = loop.time() - started_at_s
    return _LoadCost(
        requests_per_s=count / elapsed_s,
        tokens_per_s=count * tokens / elapsed_s,
        cpu_cores={
            name: (_read_process_usage(system, item).cpu_s - before[name].cpu_s)
            / elapsed_s
            for name, item in _PROCESS_NAMES.items()
        },
    )


async def _async_complete_stream(client: StreamingClient, tokens: int) -> None:
    if await client.async_stream(tokens) is None:
        raise RuntimeError("a streamed call under load was incomplete")


def _slope_rows(
    name: str, by_rate: list[_LoadCost], by_tokens: list[_LoadCost]
) -> list[Row]:
    """Return the processor time per token and per request without tokens."""
    token_s = statistics.linear_regression(
        [item.tokens_per_s / item.requests_per_s for item in by_tokens],
        [item.cpu_cores[name] / item.requests_per_s for item in by_tokens],
    ).slope
    request_s = statistics.linear_regression(
        [item.requests_per_s for item in by_rate],
        [item.cpu_cores[name] for item in by_rate],
    ).slope
    return [
        Row(
            label=f"{name}, processor a request of no tokens",
            value=f"{(request_s - token_s * _TOKENS_PER_REQUEST[0]) * 1000:.2f}",
            unit="ms",
        ),
        Row(
            label=f"{name}, processor a token",
            value=f"{token_s * 1_000_000:.0f}",
            unit="µs",
        ),
    ]


def _read_process_usage(system: LocalSystem, process: str) -> ProcessUsage:
    return read_usage(system.process(process).pid)


def _format_mebibytes(count: int) -> str:
    return f"{count / 1_048_576:.1f}"
