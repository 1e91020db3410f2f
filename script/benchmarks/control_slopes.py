"""Measures how the cost of idle processes grows with their number."""

import statistics
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs
from tests.fixtures.local_system import (
    CONFIGURATION_PATH,
    ZONES,
    LocalSystem,
    fetch_json,
)

from cardamomnotch_core.membership.const import HEARTBEATS_PER_ENTRY_PER_S

from ._system import MACHINE_CONDITIONS, VERSION, read_usage
from .report import Report, Row

_IDLE_S: Final = 20.0
_SETTLE_TIME_S: Final = 6.0
# (sidecars, entries) of each run. Above 12 sidecars an entry sends no more
# heartbeats per second than before.
_SIZES: Final = ((3, 1), (6, 1), (12, 1), (30, 1), (3, 6), (3, 12))
_STORE_CALL_KINDS: Final = ("kv/range", "kv/txn", "watch", "lease/keepalive")
_CONDITIONS: Final = (
    f"Processes idle for {_IDLE_S:.0f} s without a caller; bytes are all that a"
    " process reads and writes, HTTP included (/proc/<pid>/io). Slopes by"
    f" least squares. {MACHINE_CONDITIONS}."
)


@attrs.frozen(kw_only=True)
class _IdleCost:
    """Resources that one idle process uses.

    ``peer_count`` is the number of sidecars for an entry, and of entries for a
    sidecar.
    """

    peer_count: int
    core_percent: float
    kilobytes_per_s: float
    resident_mebibytes: float


@attrs.frozen(kw_only=True)
class _ResourceSample:
    """Resources of one process at one moment.

    Processor time and bytes count from the start of the process.
    """

    cpu_s: float
    bytes_moved: int
    resident_bytes: int


def run() -> Report:
    """Measure every size and the slopes over the sizes."""
    entry_costs, sidecar_costs = [], []
    rows: list[Row] = []
    for sidecar_count, entry_count in _SIZES:
        entry, sidecar, store_calls_per_s = _measure_idle(sidecar_count, entry_count)
        size_label = f"{sidecar_count} sidecars, {entry_count} entries"
        rows += _cost_rows(f"{size_label}: entry", entry)
        rows += _cost_rows(f"{size_label}: sidecar", sidecar)
        rows.append(
            Row(label=f"{size_label}: store calls", value=store_calls_per_s, unit="1/s")
        )
        if entry_count == 1 and sidecar_count <= HEARTBEATS_PER_ENTRY_PER_S:
            entry_costs.append(entry)
        if sidecar_count == _SIZES[0][0]:
            sidecar_costs.append(sidecar)
    rows += _slope_rows("entry, a sidecar more", entry_costs)
    rows += _slope_rows("sidecar, an entry more", sidecar_costs)
    return Report(
        title="Control at rest, by members", conditions=_CONDITIONS, rows=tuple(rows)
    )


def _measure_idle(
    sidecar_count: int, entry_count: int
) -> tuple[_IdleCost, _IdleCost, str]:
    """Return the costs of entry and sidecar, and store calls per second."""
    with (
        tempfile.TemporaryDirectory() as directory,
        LocalSystem(Path(directory)) as system,
    ):
        _start_system(system, sidecar_count, entry_count)
        time.sleep(_SETTLE_TIME_S)
        calls_before = _count_store_calls(system)
        before = {name: _take_sample(system, name) for name in ("entry-0", "engine-0")}
        time.sleep(_IDLE_S)
        store_calls_per_s = (_count_store_calls(system) - calls_before) / _IDLE_S
        entry = _cost_between(
            before["entry-0"], _take_sample(system, "entry-0"), sidecar_count
        )
        sidecar = _cost_between(
            before["engine-0"], _take_sample(system, "engine-0"), entry_count
        )
    return entry, sidecar, f"{store_calls_per_s:.2f}"


def _start_system(system: LocalSystem, sidecar_count: int, entry_count: int) -> None:
    system.start_platform()
    for index in range(sidecar_count):
        zone = ZONES[index % len(ZONES)]
        system.add_upstream_vm(f"engine-{index}", zone, "engine", [VERSION])
    for index in range(entry_count):
        system.add_entry(f"entry-{index}", ZONES[index % len(ZONES)])
    system.publish_vm_list()
    system.wait_for(f"{system.store_url}/counts")
    system.run_operator_command("config", "apply", str(CONFIGURATION_PATH))
    for entry in system.entries.values():
        system.wait_for(f"http://{entry.admin_address}/readyz")


def _count_store_calls(system: LocalSystem) -> int:
    counts = fetch_json(f"{system.store_url}/counts")
    return sum(counts.get(kind, 0) for kind in _STORE_CALL_KINDS)


def _take_sample(system: LocalSystem, name: str) -> _ResourceSample:
    pid = system.process(name).pid
    usage = read_usage(pid)
    lines = Path(f"/proc/{pid}/io").read_text(encoding="ascii").splitlines()
    io_fields = dict(line.split(": ") for line in lines)
    return _ResourceSample(
        cpu_s=usage.cpu_s,
        bytes_moved=int(io_fields["rchar"]) + int(io_fields["wchar"]),
        resident_bytes=usage.resident_bytes,
    )


def _cost_between(
    before: _ResourceSample, after: _ResourceSample, peer_count: int
) -> _IdleCost:
    return _IdleCost(
        peer_count=peer_count,
        core_percent=(after.cpu_s - before.cpu_s) / _IDLE_S * 100,
        kilobytes_per_s=(after.bytes_moved - before.bytes_moved) / _IDLE_S / 1000,
        resident_mebibytes=after.resident_bytes / 1_048_576,
    )


def _cost_rows(label: str, cost: _IdleCost) -> list[Row]:
    return [
        Row(label=f"{label}, processor", value=f"{cost.core_percent:.2f}", unit="%"),
        Row(
            label=f"{label}, traffic", value=f"{cost.kilobytes_per_s:.2f}", unit="kB/s"
        ),
        Row(
            label=f"{label}, resident",
            value=f"{cost.resident_mebibytes:.1f}",
            unit="MiB",
        ),
    ]


def _slope_rows(label: str, costs: list[_IdleCost]) -> list[Row]:
    peer_counts = [cost.peer_count for cost in costs]
    return [
        Row(
            label=f"{label}: {name}",
            value=f"{_slope(peer_counts, values):.4f}",
            unit=unit,
        )
        for name, values, unit in (
            ("processor", [cost.core_percent for cost in costs], "% of a core"),
            ("traffic", [cost.kilobytes_per_s for cost in costs], "kB/s"),
            ("resident", [cost.resident_mebibytes for cost in costs], "MiB"),
        )
    ]


def _slope(peer_counts: list[int], values: list[float]) -> float:
    return statistics.linear_regression(peer_counts, values).slope
