"""Reads the placement, and plans it while this entry holds the lease."""

import logging
import random

from cardamomnotch_core.configuration.models import Configuration
from cardamomnotch_core.nodes import events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.placement.models import Engine, Placement
from cardamomnotch_core.placement.planner import plan_versions, wanted_replicas
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_runtime.runner import NodeRunner

from .lease import PlannerLease
from .store import StoredPlacement, async_read_placement, async_write_placement

_LOGGER = logging.getLogger(__name__)
_INTERVAL_S = 2.0


class PlacementCoordinator:
    """Follows the placement in the store; asks nothing if none is wanted."""

    def __init__(
        self,
        *,
        node: EntryNode,
        runner: NodeRunner,
        store: KeyValueStore,
        lease: PlannerLease,
        random_source: random.Random,
    ) -> None:
        self._node = node
        self._runner = runner
        self._store = store
        self._lease = lease
        self._random = random_source

    def interval_s(self) -> float:
        """Return the seconds to the next step, with jitter."""
        return _INTERVAL_S * self._random.uniform(0.75, 1.25)

    async def async_step(self) -> None:
        """Read, plan if this entry is the planner, and write what changed."""
        record = self._node.configuration.record
        if record is None or not wanted_replicas(record.configuration):
            return
        try:
            held = await self._lease.async_acquire_or_renew()
            stored = await async_read_placement(self._store)
            if held:
                stored = await self._async_plan(record.configuration, stored)
        except StoreError as error:
            _LOGGER.debug("placement not read: %s", error)
            return
        self._runner.dispatch(
            events.PlacementRead(placement=stored.placement, serial=stored.mod_revision)
        )

    async def _async_plan(
        self, configuration: Configuration, stored: StoredPlacement
    ) -> StoredPlacement:
        current = stored.placement
        planned = Placement(
            fencing=self._lease.fencing,
            versions=plan_versions(
                configuration, self._engines(configuration), current.versions
            ),
        )
        if planned == current:
            return stored
        # A planner that was paused finds another revision and writes nothing.
        return await async_write_placement(self._store, planned, stored.mod_revision)

    def _engines(self, configuration: Configuration) -> list[Engine]:
        marks = configuration.marks
        return [
            Engine(vm_id=item.vm_id, zone=item.zone, loaded=item.versions)
            for item in self._node.upstreams
            if item.has_responded
            and not item.services
            and not item.leaving
            and item.zone not in marks.zones_out
            and item.vm_id not in marks.vms_out
        ]
