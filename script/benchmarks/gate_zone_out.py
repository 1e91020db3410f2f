"""Measures new work in a zone after it is taken out of service under load."""

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
from cardamomnotch_entry.cli.configuration_file import load_configuration

from .report import Report, Row

_CALLER_COUNT = 30
_ROUND_COUNT = 5
_WAIT_BEFORE_S = 1.0
_WAIT_AFTER_S = 3.5
_HEADERS = {"Authorization": "Bearer member-key"}
_STREAM_END = b"data: [DONE]\n\n"


class _TimestampingEngine(EngineStandIn):
    """Engine stand-in that records when it last started a request."""

    last_started_at_s = 0.0

    def _record_concurrency(self) -> None:
        self.last_started_at_s = time.monotonic()
        super()._record_concurrency()


async def _async_call_repeatedly(
    session: aiohttp.ClientSession, url: str, stream_ends: list[bytes]
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
        stream_ends.append(data[-len(_STREAM_END) :])


async def _async_run_round(system: InProcessSystem, revision: int) -> float:
    """Take the zone out of service and back.

    Return the seconds from the change to the last request that started there;
    negative if none started after the change.
    """
    await asyncio.sleep(_WAIT_BEFORE_S)
    configuration = load_configuration(CONFIGURATION_PATH)
    changed_at_s = time.monotonic()
    changed = set_out_of_service(
        configuration, OutOfServiceKind.ZONE, ZONES[0], out=True
    )
    system.set_configuration(changed, revision=revision)
    await asyncio.sleep(_WAIT_AFTER_S)
    last_started_at_s = max(
        upstream_vm.stand_in.last_started_at_s
        for upstream_vm in system.upstream_vms.values()
        if upstream_vm.settings.node.zone == ZONES[0]
    )
    system.set_configuration(configuration, revision=revision + 1)
    return last_started_at_s - changed_at_s


async def _async_run_system() -> tuple[float, int, int]:
    system = InProcessSystem()
    await system.async_start_platform()
    for index in range(6):
        engine = await system.async_add_engine(f"engine-{index}", ZONES[index % 3])
        # The stand-in is already running, so its class is replaced in place.
        engine.__class__ = _TimestampingEngine
        engine.faults.active["token_s"] = 0.01
    for index in range(2):
        await system.async_add_entry(f"entry-{index}", ZONES[index])
    await system.async_wait_until_ready()
    urls = [entry.url for entry in system.entries.values()]
    stream_ends: list[bytes] = []
    async with aiohttp.ClientSession() as session:
        tasks = [
            asyncio.create_task(
                _async_call_repeatedly(session, urls[index % 2], stream_ends)
            )
            for index in range(_CALLER_COUNT)
        ]
        delays_s = [
            await _async_run_round(system, revision)
            for revision in range(2, 2 + 2 * _ROUND_COUNT, 2)
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    await system.async_stop()
    return (
        max(delays_s),
        sum(stream_end != _STREAM_END for stream_end in stream_ends),
        len(stream_ends),
    )


def run() -> Report:
    """Take one of three zones out of service under load, several times."""
    last_delay_s, cut_count, ended_count = asyncio.run(_async_run_system())
    rows = (
        Row(
            label="mark written to last new work, longest",
            value=f"{last_delay_s:.3f}",
            unit="s",
        ),
        Row(label="requests not whole", value=str(cut_count), unit="requests"),
        Row(label="requests ended", value=str(ended_count), unit="requests"),
    )
    return Report(
        title="A zone taken out under load",
        conditions=(
            f"One loop on loopback, 10 cores shared with other work: 2 entries, "
            f"6 engines in 3 zones, {_CALLER_COUNT} callers with streams of 20 tokens, "
            f"{_ROUND_COUNT} rounds; negative: no request started there after "
            "the change."
        ),
        rows=rows,
    )
