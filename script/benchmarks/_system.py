"""Processes and clients that several benchmarks share."""

import asyncio
import itertools
import os
import time
import tomllib
from pathlib import Path
from typing import Final

import aiohttp
import attrs
import tomli_w
from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES, LocalSystem

CALLER_KEY: Final = "member-key"
ENGINE: Final = "engine-0"
ENTRY: Final = "entry-0"
VERSION: Final = "drafter/v1"
MACHINE_CONDITIONS: Final = (
    f"{os.cpu_count()} cores, loopback, other work on the machine"
)
_PLAN_LIMIT: Final = 100_000
_MAX_CONCURRENCY: Final = 512
_MAX_WARM_UP_ROUNDS: Final = 200
_EVENT_PREFIX: Final = b"data: "
_BYTES_PER_KIB: Final = 1024
_CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


@attrs.frozen(kw_only=True)
class ProcessUsage:
    """Processor time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int


@attrs.frozen(kw_only=True)
class StreamTiming:
    """Timing of the tokens of one complete stream.

    ``first_token_s`` counts from the request, ``token_gaps_s`` are the times
    between consecutive tokens.
    """

    first_token_s: float
    token_gaps_s: tuple[float, ...]


def read_usage(pid: int) -> ProcessUsage:
    """Return the resources that the process ``pid`` has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").split(") ")[1]
    user_ticks, system_ticks = fields.split()[11:13]
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    resident_line = next(
        line for line in status.splitlines() if line.startswith("VmRSS")
    )
    return ProcessUsage(
        cpu_s=(int(user_ticks) + int(system_ticks)) / _CLOCK_TICKS_PER_S,
        resident_bytes=int(resident_line.split()[1]) * _BYTES_PER_KIB,
    )


def start_benchmark_system(directory: Path, *, token_s: float) -> LocalSystem:
    """Start one entry and one engine whose limits no benchmark reaches.

    The engine sends a token every ``token_s``.
    """
    system = LocalSystem(directory)
    try:
        system.start_platform()
        system.add_upstream_vm(
            ENGINE,
            ZONES[0],
            "engine",
            [VERSION],
            max_concurrency=_MAX_CONCURRENCY,
            cold_concurrency=_MAX_CONCURRENCY,
        )
        system.add_entry(ENTRY, ZONES[0])
        system.activate_configuration(_write_configuration(directory))
        system.set_faults(system.upstream_vms[ENGINE].upstream_url, token_s=token_s)
    except BaseException:
        system.stop()
        raise
    return system


def _write_configuration(directory: Path) -> Path:
    """Write the example configuration, its plans with very high limits."""
    configuration = tomllib.loads(CONFIGURATION_PATH.read_text(encoding="utf-8"))
    for plan in configuration["plans"]:
        plan["requests_per_s"] = float(_PLAN_LIMIT)
        plan["concurrent_requests"] = _PLAN_LIMIT
    path = directory / "lists.toml"
    path.write_text(tomli_w.dumps(configuration), encoding="utf-8")
    return path


class StreamingClient:
    """Client for streamed model calls to an entry or directly to an engine."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/chat/completions"

    async def async_stream(self, tokens: int) -> StreamTiming | None:
        """Return the timing of one stream, or None if it was incomplete."""
        body = {
            "model": VERSION,
            "stream": True,
            "max_tokens": tokens,
            "stream_options": {"include_usage": True},
            "messages": [{"role": "user", "content": "How many crates?"}],
        }
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        started_at_s = time.perf_counter()
        arrivals: list[float] = []
        last_chunk = b""
        async with self._session.post(
            self._url, json=body, headers=headers
        ) as response:
            async for chunk in response.content.iter_any():
                now_s = time.perf_counter()
                arrivals += [now_s] * chunk.count(_EVENT_PREFIX)
                last_chunk = chunk
        if response.status != 200 or not last_chunk.endswith(b"[DONE]\n\n"):
            return None
        token_arrivals = arrivals[:tokens]
        return StreamTiming(
            first_token_s=token_arrivals[0] - started_at_s,
            token_gaps_s=tuple(
                after - before for before, after in itertools.pairwise(token_arrivals)
            ),
        )

    async def async_streams(self, count: int, tokens: int) -> list[StreamTiming]:
        """Return the timings of ``count`` concurrent streams.

        Raises RuntimeError if a stream is incomplete.
        """
        timings = await asyncio.gather(
            *(self.async_stream(tokens) for _ in range(count))
        )
        if None in timings:
            raise RuntimeError(
                f"{timings.count(None)} of {count} concurrent streams were incomplete"
            )
        return timings

    async def async_warm_up(self, count: int) -> None:
        """Open ``count`` concurrent streams, repeatedly, until all complete.

        Raises RuntimeError if that does not happen in any of the rounds.
        """
        for _ in range(_MAX_WARM_UP_ROUNDS):
            timings = await asyncio.gather(
                *(self.async_stream(tokens=2) for _ in range(count))
            )
            if None not in timings:
                return
        raise RuntimeError(f"warm-up failed: no round completed all {count} streams")
