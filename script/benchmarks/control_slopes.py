"""What control costs an entry and a sidecar at rest, by members."""

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

from ._system import MACHINE, VERSION, read_usage
from .report import Report, Row

_REST_S: Final = 20.0
_SETTLE_S: Final = 6.0
# Sidecars and entries of each run; beyond 12 sidecars an entry keeps its budget.
_SIZES: Final = ((3, 1), (6, 1), (12, 1), (30, 1), (3, 6), (3, 12))
_STORE_CALLS: Final = ("kv/range", "kv/txn", "watch", "lease/keepalive")
_CONDITIONS: Final = (
    f"Processes at rest for {_REST_S:.0f} s without a caller; bytes are what a"
    " process reads and writes in all, HTTP included (/proc/<pid>/io). Slopes by"
    f" least squares. {MACHINE}."
)


@attrs.frozen(kw_only=True)
class _Cost:
    """What one process spends a second at rest."""

    members: int
    core_percent: float
    kilobytes: float
    resident_mebibytes: float


@attrs.frozen(kw_only=True)
class _Sample:
    """What one process has spent until now."""

    cpu_s: float
    bytes_moved: int
    resident_bytes: int


def run() -> Report:
    """Measure every size, and give the slopes."""
    entries, sidecars = [], []
    rows: list[Row] = []
    for upstream_vms, entry_count in _SIZES:
        entry, sidecar, store = _measure(upstream_vms, entry_count)
        where = f"{upstream_vms} sidecars, {entry_count} entries"
        rows += _cost_rows(f"{where}: entry", entry)
        rows += _cost_rows(f"{where}: sidecar", sidecar)
        rows.append(Row(what=f"{where}: store calls", value=store, unit="1/s"))
        if entry_count == 1 and upstream_vms <= HEARTBEATS_PER_ENTRY_PER_S:
            entries.append(entry)
        if upstream_vms == _SIZES[0][0]:
            sidecars.append(sidecar)
    rows += _slope_rows("entry, a sidecar more", entries)
    rows += _slope_rows("sidecar, an entry more", sidecars)
    return Report(
        title="Control at rest, by members", conditions=_CONDITIONS, rows=tuple(rows)
    )


def _measure(upstream_vms: int, entries: int) -> tuple[_Cost, _Cost, str]:
    with (
        tempfile.TemporaryDirectory() as directory,
        LocalSystem(Path(directory)) as system,
    ):
        _start(system, upstream_vms, entries)
        time.sleep(_SETTLE_S)
        calls = _store_calls(system)
        before = {name: _sample(system, name) for name in ("entry-0", "engine-0")}
        time.sleep(_REST_S)
        store = (_store_calls(system) - calls) / _REST_S
        entry = _cost(before["entry-0"], _sample(system, "entry-0"), upstream_vms)
        sidecar = _cost(before["engine-0"], _sample(system, "engine-0"), entries)
    return entry, sidecar, f"{store:.2f}"


def _start(system: LocalSystem, upstream_vms: int, entries: int) -> None:
    system.start_platform()
    for index in range(upstream_vms):
        zone = ZONES[index % len(ZONES)]
        system.add_upstream_vm(f"engine-{index}", zone, "engine", [VERSION])
    for index in range(entries):
        system.add_entry(f"entry-{index}", ZONES[index % len(ZONES)])
    system.publish_vm_list()
    system.wait_for(f"{system.store_url}/counts")
    system.run_operator_command("config", "apply", str(CONFIGURATION_PATH))
    for entry in system.entries.values():
        system.wait_for(f"http://{entry.admin_address}/readyz")


def _store_calls(system: LocalSystem) -> int:
    counts = fetch_json(f"{system.store_url}/counts")
    return sum(counts.get(kind, 0) for kind in _STORE_CALLS)


def _sample(system: LocalSystem, name: str) -> _Sample:
    pid = system.process(name).pid
    usage = read_usage(pid)
    lines = Path(f"/proc/{pid}/io").read_text(encoding="ascii").splitlines()
    fields = dict(line.split(": ") for line in lines)
    return _Sample(
        cpu_s=usage.cpu_s,
        bytes_moved=int(fields["rchar"]) + int(fields["wchar"]),
        resident_bytes=usage.resident_bytes,
    )


def _cost(before: _Sample, after: _Sample, members: int) -> _Cost:
    return _Cost(
        members=members,
        core_percent=(after.cpu_s - before.cpu_s) / _REST_S * 100,
        kilobytes=(after.bytes_moved - before.bytes_moved) / _REST_S / 1000,
        resident_mebibytes=after.resident_bytes / 1_048_576,
    )


def _cost_rows(what: str, cost: _Cost) -> list[Row]:
    return [
        Row(what=f"{what}, processor", value=f"{cost.core_percent:.2f}", unit="%"),
        Row(what=f"{what}, traffic", value=f"{cost.kilobytes:.2f}", unit="kB/s"),
        Row(
            what=f"{what}, resident", value=f"{cost.resident_mebibytes:.1f}", unit="MiB"
        ),
    ]


def _slope_rows(what: str, costs: list[_Cost]) -> list[Row]:
    members = [cost.members for cost in costs]
    return [
        Row(what=f"{what}: {name}", value=f"{_slope(members, values):.4f}", unit=unit)
        for name, values, unit in (
            ("processor", [cost.core_percent for cost in costs], "% of a core"),
            ("traffic", [cost.kilobytes for cost in costs], "kB/s"),
            ("resident", [cost.resident_mebibytes for cost in costs], "MiB"),
        )
    ]


def _slope(members: list[int], values: list[float]) -> float:
    return statistics.linear_regression(members, values).slope
