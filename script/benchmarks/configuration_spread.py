"""Measures how long a configuration change takes to reach every process."""

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

_CHANGE_COUNT = 200
_POLL_INTERVAL_S = 0.005
_DROP_WATCHES_FOR_S = 1.0
_SETTLE_TIME_S = 3.0
_CHANGE_TIMEOUT_S = 30.0


async def _async_start_system() -> InProcessSystem:
    system = InProcessSystem()
    await system.async_start_platform()
    for index in range(9):
        await system.async_add_engine(f"engine-{index}", ZONES[index % 3])
    for index, zone in enumerate(ZONES):
        await system.async_add_entry(f"entry-{index}", zone)
    await system.async_wait_until_ready()
    return system


async def _async_watch_without_changes(*_):
    """Stand in for a store watch that never reports a change."""
    await asyncio.sleep(3600)
    yield


async def _async_break_watches(system: InProcessSystem) -> None:
    """Break the store watch of every entry but entry-0."""
    for vm_id in ("entry-1", "entry-2"):
        system.entries[vm_id].entry.store.async_watch = _async_watch_without_changes
    # Every open store watch checks for this fault several times a second.
    system.store.faults.active["drop_watches"] = True
    await asyncio.sleep(_DROP_WATCHES_FOR_S)
    system.store.faults.active["drop_watches"] = False
    await asyncio.sleep(_SETTLE_TIME_S)


def _nodes(system: InProcessSystem) -> list:
    entries = [item.entry.node for item in system.entries.values()]
    return entries + [
        upstream_vm.sidecar.node for upstream_vm in system.upstream_vms.values()
    ]


async def _async_apply_change(system: InProcessSystem, revision: int) -> float:
    """Write a change; return the seconds until every node has activated it."""
    nodes = _nodes(system)
    previous = nodes[0].configuration.record.configuration
    changed = set_out_of_service(
        previous, OutOfServiceKind.VM, f"vm-{revision}", out=True
    )
    started_s = time.perf_counter()
    system.set_configuration(changed, revision=revision)
    while any(node.configuration.revision < revision for node in nodes):
        if time.perf_counter() - started_s > _CHANGE_TIMEOUT_S:
            raise TimeoutError(
                f"not every node has activated configuration revision {revision}"
            )
        await asyncio.sleep(_POLL_INTERVAL_S)
    return time.perf_counter() - started_s


async def _async_measure(*, all_watches: bool) -> list[float]:
    system = await _async_start_system()
    if not all_watches:
        await _async_break_watches(system)
    first_revision = _nodes(system)[0].configuration.revision + 1
    durations_s = [
        await _async_apply_change(system, revision)
        for revision in range(first_revision, first_revision + _CHANGE_COUNT)
    ]
    await system.async_stop()
    return durations_s


def _rows(name: str, durations_s: list[float]) -> tuple[Row, ...]:
    percentiles = statistics.quantiles(durations_s, n=100)
    return tuple(
        Row(label=f"{name}, {label}", value=f"{value:.3f}", unit="s")
        for label, value in (
            ("p50", percentiles[49]),
            ("p99", percentiles[98]),
            ("max", max(durations_s)),
        )
    )


def run() -> Report:
    """Measure with a working watch at every entry, then at one entry only."""
    watch_durations_s = asyncio.run(_async_measure(all_watches=True))
    peer_durations_s = asyncio.run(_async_measure(all_watches=False))
    return Report(
        title="From accepted to in force in every process",
        conditions=(
            f"{_CHANGE_COUNT} changes each, 3 entries and 9 sidecars in one loop on"
            " loopback, 10 cores shared with other work."
        ),
        rows=(
            *_rows("watch at every entry", watch_durations_s),
            *_rows("watch at one entry of three", peer_durations_s),
        ),
    )
