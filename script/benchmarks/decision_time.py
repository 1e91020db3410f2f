"""Time of one routing decision, and how it grows."""

import random
import statistics
import time
from collections import deque

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
from cardamomnotch_core.routing.models import RoutingRequest
from cardamomnotch_core.routing.router import Router
from cardamomnotch_protocol.models import HeartbeatReply, Load

from .report import Report, Row

_ZONES = ("a", "b", "c")
_LIMIT = 64
_DECISIONS = 4_000
_INTERVAL_S = 0.0001
_OPEN = 64
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
    table.update_from_vm_list(
        tuple(
            Vm(
                vm_id=vm_id,
                address="10.0.0.1:1",
                zone=_ZONES[index % len(_ZONES)],
                role="upstream",
            )
            for index, vm_id in enumerate(names)
        )
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
        table.record_heartbeat_reply(vm_id, reply, 0.0)
    return table


class _Caller:
    """Sends requests one after the other; answers bring load reports."""

    def __init__(self, versions: int, upstreams: int) -> None:
        self._record = _record(versions)
        self._table = _table(versions, upstreams)
        self._router = Router("a", self._table, random.Random(1))
        self._open: deque[str] = deque()
        self._now_s = 0.0

    def measure_us(self) -> float:
        """Return microseconds a decision."""
        spent_s = 0.0
        for index in range(_DECISIONS):
            self._now_s += _INTERVAL_S
            demand = RoutingRequest(
                workspace="w",
                model="auto",
                request_class="quick",
                request_id=str(index),
                routing_key=str(index),
            )
            started_s = time.perf_counter()
            route = self._router.choose(self._record, demand, (), self._now_s)
            spent_s += time.perf_counter() - started_s
            self._start(route.upstream.vm_id)
        return spent_s / _DECISIONS * 1e6

    def _start(self, vm_id: str) -> None:
        self._router.loads.record_attempt_start(vm_id)
        self._open.append(vm_id)
        if len(self._open) <= _OPEN:
            return
        ended = self._open.popleft()
        self._router.loads.record_attempt_end(ended)
        in_flight = self._open.count(ended)
        load = Load(in_flight=in_flight, limit=_LIMIT)
        self._table.record_load(ended, load, self._now_s)


def run() -> Report:
    """Return the time of a decision at each size."""
    rows = []
    for versions, upstreams in _SIZES:
        caller = _Caller(versions, upstreams)
        figures = sorted(caller.measure_us() for _ in range(_REPEATS))
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
