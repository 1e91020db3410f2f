"""Measures the time of one routing decision at several table sizes."""

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
_UPSTREAM_LIMIT = 64
_DECISION_COUNT = 4_000
_INTERVAL_S = 0.0001
_MAX_OPEN_ATTEMPTS = 64
_REPEAT_COUNT = 5
# (versions, upstreams of each version) of each run.
_SIZES = ((19, 20), (190, 20), (19, 200), (190, 200))


def _create_record(versions: int) -> ConfigurationRecord:
    """Return a configuration; a quarter of its versions meets the target."""
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


def _create_table(versions: int, upstreams: int) -> UpstreamTable:
    """Return a table with ``upstreams`` upstreams for each version."""
    version_by_vm = {
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
            for index, vm_id in enumerate(version_by_vm)
        )
    )
    rng = random.Random(1)
    for vm_id, name in version_by_vm.items():
        reply = HeartbeatReply(
            vm_id=vm_id,
            zone="",
            incarnation="i",
            revision=1,
            accepting=True,
            versions=(name,),
            load=Load(
                in_flight=rng.randrange(_UPSTREAM_LIMIT // 2), limit=_UPSTREAM_LIMIT
            ),
        )
        table.record_heartbeat_reply(vm_id, reply, 0.0)
    return table


class SimulatedCaller:
    """Routes requests one after the other and records their load reports."""

    def __init__(self, versions: int, upstreams: int) -> None:
        self._record = _create_record(versions)
        self._table = _create_table(versions, upstreams)
        self._router = Router("a", self._table, random.Random(1))
        self._open_attempts: deque[str] = deque()
        self._now_s = 0.0

    def measure_us(self) -> float:
        """Return the mean time of a decision, in µs."""
        spent_s = 0.0
        for index in range(_DECISION_COUNT):
            self._now_s += _INTERVAL_S
            request = RoutingRequest(
                workspace="w",
                model="auto",
                request_class="quick",
                request_id=str(index),
                routing_key=str(index),
            )
            started_s = time.perf_counter()
            route = self._router.choose(self._record, request, (), self._now_s)
            spent_s += time.perf_counter() - started_s
            self._start_attempt(route.upstream.vm_id)
        return spent_s / _DECISION_COUNT * 1e6

    def _start_attempt(self, vm_id: str) -> None:
        self._router.loads.record_attempt_start(vm_id)
        self._open_attempts.append(vm_id)
        if len(self._open_attempts) <= _MAX_OPEN_ATTEMPTS:
            return
        ended_vm_id = self._open_attempts.popleft()
        self._router.loads.record_attempt_end(ended_vm_id)
        in_flight = self._open_attempts.count(ended_vm_id)
        load = Load(in_flight=in_flight, limit=_UPSTREAM_LIMIT)
        self._table.record_load(ended_vm_id, load, self._now_s)


def run() -> Report:
    """Measure the decisions at each size."""
    rows = []
    for versions, upstreams in _SIZES:
        caller = SimulatedCaller(versions, upstreams)
        durations_us = sorted(caller.measure_us() for _ in range(_REPEAT_COUNT))
        rows.append(
            Row(
                label=f"{versions} versions by {upstreams} upstreams each",
                value=f"{statistics.median(durations_us):.1f}"
                f" ({durations_us[0]:.1f} to {durations_us[-1]:.1f})",
                unit="µs a decision",
            )
        )
    return Report(
        title="Time of a routing decision",
        conditions=(
            f"One thread, {_DECISION_COUNT} decisions, median of {_REPEAT_COUNT} runs"
            " with the range; 10 cores, shared with other work."
        ),
        rows=tuple(rows),
    )
