"""Placement of versions on engines, from configuration to loaded engines."""

import attrs
import pytest

from cardamomnotch_core.configuration.models import PlacementRules
from cardamomnotch_core.nodes import events
from cardamomnotch_core.placement.models import Placement
from cardamomnotch_entry.cli.configuration_file import load_configuration
from cardamomnotch_entry.placement.lease import PlannerLease
from cardamomnotch_entry.placement.store import (
    async_read_placement,
    async_write_placement,
)
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES

_PLACEMENT_TIMEOUT_S = 25.0


def _configuration_with_replicas(replicas):
    configuration = load_configuration(CONFIGURATION_PATH)
    model = configuration.models[0]
    versions = tuple(
        attrs.evolve(version, replicas=replicas[version.name])
        for version in model.versions
    )
    return attrs.evolve(
        configuration,
        models=(attrs.evolve(model, versions=versions), *configuration.models[1:]),
        placement=PlacementRules(concurrent_loads=2),
    )


@pytest.fixture
async def system():
    """Yield two entries and three engines, one of which ignores fencing."""
    running_system = InProcessSystem()
    await running_system.async_start_platform()
    for index, zone in enumerate(ZONES):
        engine = await running_system.async_add_engine(f"engine-{index}", zone)
        engine.versions = ["drafter/v1"]
        engine.faults.active["ignore_fencing"] = index == 0
    for index in range(2):
        await running_system.async_add_entry(f"entry-{index}", ZONES[index])
    await running_system.async_wait_until_ready()
    yield running_system
    await running_system.async_stop()


def _store(running_system, http_session):
    platform = running_system.entries["entry-0"].settings.platform
    return StoreClient(http_session, platform.store_url)


def _vms_with_version(running_system, version):
    return [
        vm_id
        for vm_id, upstream_vm in running_system.upstream_vms.items()
        if version in upstream_vm.stand_in.versions
    ]


async def _async_place_both_versions(running_system):
    running_system.set_configuration(
        _configuration_with_replicas({"v1": 2, "v2": 2}), revision=2
    )
    assert await async_wait_until(
        lambda: len(_vms_with_version(running_system, "drafter/v2")) == 2,
        _PLACEMENT_TIMEOUT_S,
    )


async def test_configured_replicas_are_loaded(system):
    """The planner has two engines load v2 and keeps the capacity of v1."""
    await _async_place_both_versions(system)
    assert len(_vms_with_version(system, "drafter/v1")) >= 2


async def test_lost_versions_are_loaded_again(system):
    """An engine that lost a version gets the order to load it again."""
    await _async_place_both_versions(system)
    vm_id = _vms_with_version(system, "drafter/v2")[0]
    stand_in = system.upstream_vms[vm_id].stand_in
    stand_in.versions = ["drafter/v1"]
    assert await async_wait_until(
        lambda: "drafter/v2" in stand_in.versions, _PLACEMENT_TIMEOUT_S
    )


async def test_paused_planner_has_no_effect(system, http_session):
    """A planner resumed after a pause changes no engine.

    Neither its write to the store nor a placement that it sends to an entry
    has an effect, because its fencing number is outdated.
    """
    await _async_place_both_versions(system)
    store = _store(system, http_session)
    stored = await async_read_placement(store)
    outdated = Placement(
        fencing=1, versions=dict.fromkeys(system.upstream_vms, ("drafter/v9",))
    )
    stored_after_write = await async_write_placement(
        store, outdated, stored.mod_revision - 1
    )
    assert stored_after_write.placement == stored.placement
    for entry in system.entries.values():
        event = events.PlacementRead(placement=outdated, serial=stored.mod_revision + 9)
        entry.entry._runner.dispatch(event)

    def is_refused_everywhere():
        return all(
            upstream_vm.sidecar.node.diagnostics()["orders"]["obsolete_placements"] > 0
            for upstream_vm in system.upstream_vms.values()
        )

    assert await async_wait_until(is_refused_everywhere, _PLACEMENT_TIMEOUT_S)
    assert _vms_with_version(system, "drafter/v9") == []


async def test_one_planner_at_a_time(system, http_session):
    """A second lease is refused; the next holder gets a higher number."""
    store = _store(system, http_session)
    first, second = PlannerLease(store, "first"), PlannerLease(store, "second")
    assert await first.async_acquire_or_renew()
    fencing = first.fencing
    assert not await second.async_acquire_or_renew()
    await first.async_release()
    assert await second.async_acquire_or_renew()
    assert second.fencing > fencing
