"""Time from a zone marked out to the last new work there, and requests cut."""

import asyncio
import time

import aiohttp
from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES
from tests.stand_ins.engine import EngineStandIn

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_entry.cli.documents import load_configuration

from .report import Report, Row

_CALLERS = 30
_ROUNDS = 5
_BEFORE_S = 1.0
_AFTER_S = 3.5
_HEADERS = {"Authorization": "Bearer member-key"}
_DONE = b"data: [DONE]\n\n"


class _WatchedEngine(EngineStandIn):
    """Notes when it last took new work."""

    last_work_s = 0.0

    def _note_concurrency(self) -> None:
        self.last_work_s = time.monotonic()
        super()._note_concurrency()


async def _async_call(
    session: aiohttp.ClientSession, url: str, ends: list[bytes]
) -> None:
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": 20,
        "messages": [{"role": "user", "content": "x"}],
    }
    while True:
        async with session.post(
            f"{url}/v1/chat/completions", json=body, headers=_HEADERS
        ) as response:
            data = await response.read()
        ends.append(data[-len(_DONE) :])


async def _async_round(system: InProcessSystem, revision: int) -> float:
    """Mark the zone out and in; return seconds from the mark to the last work."""
    await asyncio.sleep(_BEFORE_S)
    lists = load_configuration(CONFIGURATION_PATH)
    marked_at_s = time.monotonic()
    marked = set_out_of_service(lists, OutOfServiceKind.ZONE, ZONES[0], out=True)
    system.set_configuration(marked, revision=revision)
    await asyncio.sleep(_AFTER_S)
    last_s = max(
        gate.stand_in.last_work_s
        for gate in system.upstream_vms.values()
        if gate.settings.node.zone == ZONES[0]
    )
    system.set_configuration(lists, revision=revision + 1)
    return last_s - marked_at_s


async def _async_run() -> tuple[float, int, int]:
    system = InProcessSystem()
    await system.async_start_platform()
    for index in range(6):
        engine = await system.async_add_engine(f"engine-{index}", ZONES[index % 3])
        engine.__class__ = _WatchedEngine
        engine.faults.active["token_s"] = 0.01
    for index in range(2):
        await system.async_add_entry(f"entry-{index}", ZONES[index])
    await system.async_wait_until_ready()
    urls = [entry.url for entry in system.entries.values()]
    ends: list[bytes] = []
    async with aiohttp.ClientSession() as session:
        tasks = [
            asyncio.create_task(_async_call(session, urls[index % 2], ends))
            for index in range(_CALLERS)
        ]
        latest_s = [
            await _async_round(system, revision)
            for revision in range(2, 2 + 2 * _ROUNDS, 2)
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    await system.async_stop()
    return max(latest_s), sum(end != _DONE for end in ends), len(ends)


def run() -> Report:
    """Mark one of three zones out under load."""
    last_s, cut, whole = asyncio.run(_async_run())
    rows = (
        Row(
            what="mark written to last new work, longest",
            value=f"{last_s:.3f}",
            unit="s",
        ),
        Row(what="requests not whole", value=str(cut), unit="requests"),
        Row(what="requests ended", value=str(whole), unit="requests"),
    )
    return Report(
        title="A zone taken out under load",
        conditions=(
            f"One loop on loopback, 10 cores shared with other work: 2 entries, "
            f"6 engines in 3 zones, {_CALLERS} callers with streams of 20 tokens, "
            f"{_ROUNDS} rounds; negative: no work began after the mark."
        ),
        rows=rows,
    )
