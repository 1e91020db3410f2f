"""From the operators' lists to loaded engines, through planner and sidecars."""

import attrs
import pytest

from cardamomnotch_core.configuration.models import PlacementRules
from cardamomnotch_core.nodes import events
from cardamomnotch_core.placement.models import Placement
from cardamomnotch_entry.cli.documents import load_configuration
from cardamomnotch_entry.placement.lease import PlannerLease
from cardamomnotch_entry.placement.store import (
    async_read_placement,
    async_write_placement,
)
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES

_SETTLE_S = 25.0


def _lists(replicas):
    lists = load_configuration(CONFIGURATION_PATH)
    model = lists.models[0]
    versions = tuple(
        attrs.evolve(version, replicas=replicas[version.name])
        for version in model.versions
    )
    return attrs.evolve(
        lists,
        models=(attrs.evolve(model, versions=versions), *lists.models[1:]),
        placement=PlacementRules(concurrent_loads=2),
    )


@pytest.fixture
async def system():
    """Return two entries before three engines, one of which ignores fencing."""
    running = InProcessSystem()
    await running.async_start_platform()
    for index, zone in enumerate(ZONES):
        engine = await running.async_add_engine(f"engine-{index}", zone)
        engine.versions = ["drafter/v1"]
        engine.faults.active["ignore_fencing"] = index == 0
    for index in range(2):
        await running.async_add_entry(f"entry-{index}", ZONES[index])
    await running.async_wait_until_ready()
    yield running
    await running.async_stop()


def _store(running, http_session):
    platform = running.entries["entry-0"].settings.platform
    return StoreClient(http_session, platform.store_url)


def _loaded(running, version):
    return [
        vm_id
        for vm_id, gate in running.upstream_vms.items()
        if version in gate.stand_in.versions
    ]


async def _async_place(running):
    running.set_configuration(_lists({"v1": 2, "v2": 2}), revision=2)
    assert await async_wait_until(
        lambda: len(_loaded(running, "drafter/v2")) == 2, _SETTLE_S
    )


async def test_wanted_replicas_are_loaded(system):
    """The planner has two engines load v2, and v1 keeps its capacity."""
    await _async_place(system)
    assert len(_loaded(system, "drafter/v1")) >= 2


async def test_lost_versions_are_ordered_again(system):
    """An engine that comes back with less gets its order again."""
    await _async_place(system)
    vm_id = _loaded(system, "drafter/v2")[0]
    stand_in = system.upstream_vms[vm_id].stand_in
    stand_in.versions = ["drafter/v1"]
    assert await async_wait_until(lambda: "drafter/v2" in stand_in.versions, _SETTLE_S)


async def test_paused_planner_has_no_effect(system, http_session):
    """Neither its write nor its word to an entry changes an engine."""
    await _async_place(system)
    store = _store(system, http_session)
    stored = await async_read_placement(store)
    old = Placement(
        fencing=1, versions=dict.fromkeys(system.upstream_vms, ("drafter/v9",))
    )
    after = await async_write_placement(store, old, stored.mod_revision - 1)
    assert after.placement == stored.placement
    for entry in system.entries.values():
        event = events.PlacementRead(placement=old, serial=stored.mod_revision + 9)
        entry.entry._runner.dispatch(event)

    def refused():
        return all(
            gate.sidecar.node.diagnostics()["orders"]["obsolete_placements"] > 0
            for gate in system.upstream_vms.values()
        )

    assert await async_wait_until(refused, _SETTLE_S)
    assert _loaded(system, "drafter/v9") == []


async def test_one_planner_at_a_time(system, http_session):
    """A second lease is refused; the next holder's number is higher."""
    store = _store(system, http_session)
    first, second = PlannerLease(store, "first"), PlannerLease(store, "second")
    assert await first.async_hold()
    fencing = first.fencing
    assert not await second.async_hold()
    await first.async_release()
    assert await second.async_hold()
    assert second.fencing > fencing
