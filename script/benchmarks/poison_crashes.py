"""Counts upstream crashes by one request, with and without attribution."""

import asyncio
from unittest.mock import patch

import aiohttp
from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import ZONES

from cardamomnotch_core.quarantine.crash_tracker import CrashTracker

from .report import Report, Row

_ENTRY_COUNT = 3
_ENGINE_COUNT = 6
_CALLER_COUNT = 24
_DURATION_S = 10.0
_RESEND_INTERVAL_S = 1.0
_QUARANTINED_CODE = 312
_HEADERS = {"Authorization": "Bearer member-key"}


class _CallerCounts:
    """Requests that the callers sent, and how those without poison ended."""

    def __init__(self) -> None:
        self.normal_completed = 0
        self.normal_failed = 0
        self.normal_quarantined = 0
        self.poison_sent = 0


async def _async_call(session: aiohttp.ClientSession, url: str, prompt: str) -> dict:
    body = {
        "model": "auto",
        "max_tokens": 20,
        "messages": [{"role": "user", "content": prompt}],
    }
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=_HEADERS
    ) as response:
        return await response.json()


async def _async_send_normal_requests(
    session: aiohttp.ClientSession, url: str, name: str, counts: _CallerCounts
) -> None:
    number = 0
    while True:
        number += 1
        data = await _async_call(session, url, f"draft {name} {number}")
        code = data.get("error", {}).get("code", 0)
        counts.normal_completed += not code
        counts.normal_failed += bool(code)
        counts.normal_quarantined += code == _QUARANTINED_CODE
        if code:
            await asyncio.sleep(0.1)


async def _async_send_poison_requests(
    session: aiohttp.ClientSession, url: str, delay_s: float, counts: _CallerCounts
) -> None:
    await asyncio.sleep(delay_s)
    while True:
        counts.poison_sent += 1
        await _async_call(session, url, "poison")
        await asyncio.sleep(_RESEND_INTERVAL_S)


async def _async_run_system() -> tuple[int, _CallerCounts]:
    system = InProcessSystem()
    await system.async_start_platform()
    for index in range(_ENGINE_COUNT):
        engine = await system.async_add_engine(f"engine-{index}", ZONES[index % 3])
        engine.faults.active["crash_on"] = "poison"
    for index in range(_ENTRY_COUNT):
        await system.async_add_entry(f"entry-{index}", ZONES[index])
    await system.async_wait_until_ready()
    urls = [entry.url for entry in system.entries.values()]
    counts = _CallerCounts()
    async with aiohttp.ClientSession() as session:
        calls = [
            _async_send_normal_requests(
                session, urls[index % _ENTRY_COUNT], str(index), counts
            )
            for index in range(_CALLER_COUNT)
        ]
        calls += [
            _async_send_poison_requests(session, url, 0.3 + 0.33 * index, counts)
            for index, url in enumerate(urls)
        ]
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(_DURATION_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    crashes = sum(
        upstream_vm.stand_in.faults.counts.get("crashes", 0)
        for upstream_vm in system.upstream_vms.values()
    )
    await system.async_stop()
    return crashes, counts


def _rows(name: str) -> list[Row]:
    crashes, counts = asyncio.run(_async_run_system())
    results = (
        ("poison sent", counts.poison_sent, "requests"),
        ("crashes", crashes, "crashes"),
        ("innocent completed", counts.normal_completed, "requests"),
        ("innocent refused or failed", counts.normal_failed, "requests"),
        ("innocent quarantined", counts.normal_quarantined, "requests"),
    )
    return [
        Row(label=f"{name}: {label}", value=str(value), unit=unit)
        for label, value, unit in results
    ]


def run() -> Report:
    """Send a crashing request to every entry under load.

    Run once with crash attribution and once without.
    """
    rows = _rows("with attribution")
    with patch.object(CrashTracker, "end", lambda *_, **__: ()):
        rows += _rows("without")
    return Report(
        title="Crashes caused by one request",
        conditions=(
            f"One loop on loopback, 10 cores shared with other work: {_ENTRY_COUNT} "
            f"entries, {_ENGINE_COUNT} engines, {_CALLER_COUNT} callers; each "
            f"entry gets the same poison each {_RESEND_INTERVAL_S:.0f} s "
            f"for {_DURATION_S:.0f} s."
        ),
        rows=tuple(rows),
    )
