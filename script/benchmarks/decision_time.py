"""Time of one routing decision, and how it grows."""

import random
import statistics
import time

from cardamomnotch_core.configuration.models import (
    Configuration,
    ConfigurationRecord,
    Model,
    Plan,
    PlanModel,
    RequestClass,
    Version,
    Workspace,
)
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.membership.table import UpstreamTable
from cardamomnotch_core.routing.models import Demand
from cardamomnotch_core.routing.router import Router
from cardamomnotch_protocol.models import HeartbeatReply, Load

from .report import Report, Row

_ZONES = ("a", "b", "c")
_LIMIT = 64
_DECISIONS = 4_000
_REPEATS = 5
_SIZES = ((19, 20), (190, 20), (19, 200), (190, 200))


def _record(versions: int) -> ConfigurationRecord:
    """Return lists in which a quarter of the versions meets the target."""
    configuration = Configuration(
        models=tuple(
            Model(
                name=f"model-{index:03}",
                versions=(
                    Version(
                        name="v1",
                        cost_per_1k_tokens=1.0 + index,
                        quality={"quick": 0.5 + 0.49 * index / versions},
                    ),
                ),
            )
            for index in range(versions)
        ),
        classes=(RequestClass(name="quick", quality_target=0.85),),
        plans=(
            Plan(
                name="all",
                models=tuple(
                    PlanModel(model=f"model-{index:03}") for index in range(versions)
                ),
            ),
        ),
        workspaces=(Workspace(name="w", plan="all"),),
    )
    return ConfigurationRecord(revision=1, change_id="c", configuration=configuration)


def _table(versions: int, upstreams: int) -> UpstreamTable:
    """Return a table with ``upstreams`` for each version."""
    names = {
        f"vm-{version:03}-{index:03}": f"model-{version:03}/v1"
        for version in range(versions)
        for index in range(upstreams)
    }
    table = UpstreamTable()
    table.take_vm_list(
        Vm(
            vm_id=vm_id,
            address="10.0.0.1:1",
            zone=_ZONES[index % len(_ZONES)],
            role="upstream",
        )
        for index, vm_id in enumerate(names)
    )
    source = random.Random(1)
    for vm_id, name in names.items():
        reply = HeartbeatReply(
            vm_id=vm_id,
            zone="",
            incarnation="i",
            revision=1,
            accepting=True,
            versions=(name,),
            load=Load(in_flight=source.randrange(_LIMIT // 2), limit=_LIMIT),
        )
        table.take_heartbeat(vm_id, reply, 0.0)
    return table


def _measure_us(router: Router, record: ConfigurationRecord) -> float:
    """Return microseconds a decision, loads and ends noted as in service."""
    open_vm_ids: list[str] = []
    started_s = time.perf_counter()
    for index in range(_DECISIONS):
        demand = Demand(
            workspace="w", model="auto", request_class="quick", request_id=str(index)
        )
        vm_id = router.choose(record, demand, (), 0.0).upstream.vm_id
        router.loads.note_started(vm_id)
        open_vm_ids.append(vm_id)
        if len(open_vm_ids) > _LIMIT:
            router.loads.note_ended(open_vm_ids.pop(0))
    return (time.perf_counter() - started_s) / _DECISIONS * 1e6


def run() -> Report:
    """Return the time of a decision at each size."""
    rows = []
    for versions, upstreams in _SIZES:
        record = _record(versions)
        router = Router("a", _table(versions, upstreams), random.Random(1))
        figures = sorted(_measure_us(router, record) for _ in range(_REPEATS))
        rows.append(
            Row(
                what=f"{versions} versions by {upstreams} upstreams each",
                value=f"{statistics.median(figures):.1f}"
                f" ({figures[0]:.1f} to {figures[-1]:.1f})",
                unit="µs a decision",
            )
        )
    return Report(
        title="Time of a routing decision",
        conditions=(
            f"One thread, {_DECISIONS} decisions, median of {_REPEATS} runs with the"
            " range; 10 cores, shared with other work."
        ),
        rows=tuple(rows),
    )
