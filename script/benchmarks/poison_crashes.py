"""Upstream crashes that one request causes, with and without attribution."""

import asyncio
from unittest.mock import patch

import aiohttp
from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import ZONES

from cardamomnotch_core.quarantine.crash_tracker import CrashTracker

from .report import Report, Row

_ENTRIES = 3
_ENGINES = 6
_CALLERS = 24
_DURATION_S = 10.0
_RESEND_S = 1.0
_QUARANTINED = 312
_HEADERS = {"Authorization": "Bearer member-key"}


class _Counts:
    """What the callers saw."""

    def __init__(self) -> None:
        self.innocent_ok = 0
        self.innocent_errors = 0
        self.innocent_quarantined = 0
        self.poison_sent = 0


async def _async_ask(session: aiohttp.ClientSession, url: str, text: str) -> dict:
    body = {
        "model": "auto",
        "max_tokens": 20,
        "messages": [{"role": "user", "content": text}],
    }
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=_HEADERS
    ) as response:
        return await response.json()


async def _async_innocent(
    session: aiohttp.ClientSession, url: str, name: str, counts: _Counts
) -> None:
    number = 0
    while True:
        number += 1
        data = await _async_ask(session, url, f"draft {name} {number}")
        code = data.get("error", {}).get("code", 0)
        counts.innocent_ok += not code
        counts.innocent_errors += bool(code)
        counts.innocent_quarantined += code == _QUARANTINED
        if code:
            await asyncio.sleep(0.1)


async def _async_poison(
    session: aiohttp.ClientSession, url: str, delay_s: float, counts: _Counts
) -> None:
    await asyncio.sleep(delay_s)
    while True:
        counts.poison_sent += 1
        await _async_ask(session, url, "poison")
        await asyncio.sleep(_RESEND_S)


async def _async_run() -> tuple[int, _Counts]:
    system = InProcessSystem()
    await system.async_start_platform()
    for index in range(_ENGINES):
        engine = await system.async_add_engine(f"engine-{index}", ZONES[index % 3])
        engine.faults.active["crash_on"] = "poison"
    for index in range(_ENTRIES):
        await system.async_add_entry(f"entry-{index}", ZONES[index])
    await system.async_wait_until_ready()
    urls = [entry.url for entry in system.entries.values()]
    counts = _Counts()
    async with aiohttp.ClientSession() as session:
        calls = [
            _async_innocent(session, urls[index % _ENTRIES], str(index), counts)
            for index in range(_CALLERS)
        ]
        calls += [
            _async_poison(session, url, 0.3 + 0.33 * index, counts)
            for index, url in enumerate(urls)
        ]
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(_DURATION_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    crashes = sum(
        gate.stand_in.faults.counts.get("crashes", 0)
        for gate in system.upstream_vms.values()
    )
    await system.async_stop()
    return crashes, counts


def _rows(name: str) -> list[Row]:
    crashes, counts = asyncio.run(_async_run())
    figures = (
        ("poison sent", counts.poison_sent, "requests"),
        ("crashes", crashes, "crashes"),
        ("innocent completed", counts.innocent_ok, "requests"),
        ("innocent refused or failed", counts.innocent_errors, "requests"),
        ("innocent quarantined", counts.innocent_quarantined, "requests"),
    )
    return [
        Row(what=f"{name}: {what}", value=str(value), unit=unit)
        for what, value, unit in figures
    ]


def run() -> Report:
    """Send poison from every entry under load, with and without attribution."""
    rows = _rows("with attribution")
    with patch.object(CrashTracker, "end", lambda *_, **__: ()):
        rows += _rows("without")
    return Report(
        title="Crashes caused by one request",
        conditions=(
            f"One loop on loopback, 10 cores shared with other work: {_ENTRIES} "
            f"entries, {_ENGINES} engines, {_CALLERS} callers; each entry gets the "
            f"same poison each {_RESEND_S:.0f} s for {_DURATION_S:.0f} s."
        ),
        rows=tuple(rows),
    )
