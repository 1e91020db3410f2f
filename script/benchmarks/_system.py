"""What the measurements of running processes share."""

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
MACHINE: Final = f"{os.cpu_count()} cores, loopback, other work on the machine"
_CAPACITY: Final = 100_000
_MAX_CONCURRENCY: Final = 512
_WARM_UP_ROUNDS: Final = 200
_EVENT_MARK: Final = b"data: "
_BYTES_PER_KIB: Final = 1024
_CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


@attrs.frozen(kw_only=True)
class Usage:
    """What a process has used: processor time and resident memory."""

    cpu_s: float
    resident_bytes: int


@attrs.frozen(kw_only=True)
class StreamTiming:
    """When the events of one whole stream arrived."""

    first_token_s: float
    gaps_s: tuple[float, ...]


def read_usage(pid: int) -> Usage:
    """Return what the process ``pid`` has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").split(") ")[1]
    user_ticks, system_ticks = fields.split()[11:13]
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(
        cpu_s=(int(user_ticks) + int(system_ticks)) / _CLOCK_TICKS_PER_S,
        resident_bytes=int(resident.split()[1]) * _BYTES_PER_KIB,
    )


def start_bench_system(directory: Path, *, token_s: float) -> LocalSystem:
    """Return one entry before one engine, with room in every limit."""
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
        system.activate_configuration(_write_lists(directory))
        system.set_faults(system.upstream_vms[ENGINE].upstream_url, token_s=token_s)
    except BaseException:
        system.stop()
        raise
    return system


def _write_lists(directory: Path) -> Path:
    """Write the example's lists with plans that limit nothing."""
    lists = tomllib.loads(CONFIGURATION_PATH.read_text(encoding="utf-8"))
    for plan in lists["plans"]:
        plan["requests_per_s"] = float(_CAPACITY)
        plan["concurrent_requests"] = _CAPACITY
    path = directory / "lists.toml"
    path.write_text(tomli_w.dumps(lists), encoding="utf-8")
    return path


class StreamCaller:
    """Calls for streams, at the entry or straight at the engine."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/chat/completions"

    async def async_stream(self, tokens: int) -> StreamTiming | None:
        """Return the timing of one stream, or None if it was not whole."""
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
        last = b""
        async with self._session.post(self._url, json=body, headers=headers) as answer:
            async for data in answer.content.iter_any():
                now_s = time.perf_counter()
                arrivals += [now_s] * data.count(_EVENT_MARK)
                last = data
        if answer.status != 200 or not last.endswith(b"[DONE]\n\n"):
            return None
        token_arrivals = arrivals[:tokens]
        return StreamTiming(
            first_token_s=token_arrivals[0] - started_at_s,
            gaps_s=tuple(
                after - before for before, after in itertools.pairwise(token_arrivals)
            ),
        )

    async def async_streams(self, count: int, tokens: int) -> list[StreamTiming]:
        """Return the timings of ``count`` streams at once; raise if one breaks."""
        timings = await asyncio.gather(
            *(self.async_stream(tokens) for _ in range(count))
        )
        if None in timings:
            raise RuntimeError(f"{timings.count(None)} of {count} streams broke")
        return timings

    async def async_warm_up(self, count: int) -> None:
        """Open streams until ``count`` at once are all served."""
        for _ in range(_WARM_UP_ROUNDS):
            timings = await asyncio.gather(
                *(self.async_stream(tokens=2) for _ in range(count))
            )
            if None not in timings:
                return
        raise RuntimeError(f"the system never served {count} streams at once")
