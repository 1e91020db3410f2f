"""Time from accepted to in force at all, over the watch and over peers."""

import asyncio
import statistics
import time

from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import ZONES

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)

from script.benchmarks.report import Report, Row

_CHANGES = 200
_POLL_S = 0.005
_DROP_FOR_S = 1.0
_SETTLE_S = 3.0
_GIVE_UP_AFTER_S = 30.0


async def _async_start() -> InProcessSystem:
    system = InProcessSystem()
    await system.async_start_platform()
    for index in range(9):
        await system.async_add_engine(f"engine-{index}", ZONES[index % 3])
    for index, zone in enumerate(ZONES):
        await system.async_add_entry(f"entry-{index}", zone)
    await system.async_wait_until_ready()
    return system


async def _async_hang(*_):
    await asyncio.sleep(3600)
    yield


async def _async_lose_watches(system: InProcessSystem) -> None:
    """Leave one entry whose watch works."""
    for vm_id in ("entry-1", "entry-2"):
        system.entries[vm_id].entry.store.async_watch = _async_hang
    # Every watch looks for this fault several times a second.
    system.store.faults.active["drop_watches"] = True
    await asyncio.sleep(_DROP_FOR_S)
    system.store.faults.active["drop_watches"] = False
    await asyncio.sleep(_SETTLE_S)


def _nodes(system: InProcessSystem) -> list:
    entries = [item.entry.node for item in system.entries.values()]
    return entries + [gate.sidecar.node for gate in system.upstream_vms.values()]


async def _async_change(system: InProcessSystem, revision: int) -> float:
    nodes = _nodes(system)
    lists = nodes[0].configuration.record.configuration
    changed = set_out_of_service(lists, OutOfServiceKind.VM, f"vm-{revision}", out=True)
    started_s = time.perf_counter()
    system.set_configuration(changed, revision=revision)
    while any(node.configuration.revision < revision for node in nodes):
        if time.perf_counter() - started_s > _GIVE_UP_AFTER_S:
            raise TimeoutError(f"revision {revision} is not in force")
        await asyncio.sleep(_POLL_S)
    return time.perf_counter() - started_s


async def _async_measure(*, watches: bool) -> list[float]:
    system = await _async_start()
    if not watches:
        await _async_lose_watches(system)
    first = _nodes(system)[0].configuration.revision + 1
    taken = [
        await _async_change(system, revision)
        for revision in range(first, first + _CHANGES)
    ]
    await system.async_stop()
    return taken


def _rows(name: str, taken: list[float]) -> tuple[Row, ...]:
    cuts = statistics.quantiles(taken, n=100)
    return tuple(
        Row(what=f"{name}, {label}", value=f"{value:.3f}", unit="s")
        for label, value in (("p50", cuts[49]), ("p99", cuts[98]), ("max", max(taken)))
    )


def run() -> Report:
    """Measure both."""
    with_watch = asyncio.run(_async_measure(watches=True))
    with_peers = asyncio.run(_async_measure(watches=False))
    return Report(
        title="From accepted to in force in every process",
        conditions=(
            f"{_CHANGES} changes each, 3 entries and 9 sidecars in one loop on"
            " loopback, 10 cores shared with other work."
        ),
        rows=(
            *_rows("watch at every entry", with_watch),
            *_rows("watch at one entry of three", with_peers),
        ),
    )
