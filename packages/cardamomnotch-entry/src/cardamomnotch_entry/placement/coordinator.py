"""Reads the placement, and plans it while this entry is the planner."""

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
_STEP_INTERVAL_S = 2.0


class PlacementCoordinator:
    """Keeps the node's placement current with the store.

    The store is not read if the configuration asks for no replicas.
    """

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
        return _STEP_INTERVAL_S * self._random.uniform(0.75, 1.25)

    async def async_step(self) -> None:
        """Read the placement; as the planner, also plan and write it."""
        record = self._node.configuration.record
        if record is None or not wanted_replicas(record.configuration):
            return
        try:
            is_planner = await self._lease.async_acquire_or_renew()
            stored = await async_read_placement(self._store)
            if is_planner:
                stored = await self._async_plan_and_write(record.configuration, stored)
        except StoreError as error:
            _LOGGER.debug("placement not read or planned, store unavailable: %s", error)
            return
        self._runner.dispatch(
            events.PlacementRead(placement=stored.placement, serial=stored.mod_revision)
        )

    async def _async_plan_and_write(
        self, configuration: Configuration, stored: StoredPlacement
    ) -> StoredPlacement:
        current = stored.placement
        planned = Placement(
            fencing=self._lease.fencing,
            versions=plan_versions(
                configuration, self._placeable_engines(configuration), current.versions
            ),
        )
        if planned == current:
            return stored
        # The compare-and-swap keeps a planner that was paused from overwriting
        # the placement of its successor.
        return await async_write_placement(self._store, planned, stored.mod_revision)

    def _placeable_engines(self, configuration: Configuration) -> list[Engine]:
        marks = configuration.marks
        return [
            Engine(vm_id=upstream.vm_id, zone=upstream.zone, loaded=upstream.versions)
            for upstream in self._node.upstreams
            if upstream.has_responded
            and not upstream.services
            and not upstream.leaving
            and upstream.zone not in marks.zones_out
            and upstream.vm_id not in marks.vms_out
        ]
