"""Finds and takes ownership of journal partitions."""

import asyncio
import logging
import random
import uuid
from typing import Any

from cardamomnotch_core.journal.models import PartitionId
from cardamomnotch_core.journal.partition import PartitionLog
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.journal import JournalStore, StoredOwner
from cardamomnotch_runtime.tasks import TaskGroup

from .const import OWNER_LEASE_TTL_S
from .exceptions import JournalUnavailableError
from .owner import PartitionOwner
from .reader import async_read_partition

_LOGGER = logging.getLogger(__name__)
_MAX_RECOVERY_TRIES = 3


class PartitionRegistry:
    """Finds the owners of partitions, and takes those that have no owner."""

    def __init__(
        self,
        store: StoreClient,
        address: str,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._store_client = store
        self._journal_store = JournalStore(store)
        self._address = address
        # Each process start is a new owner.
        self._owner_id = uuid.uuid4().hex
        self._tasks = tasks
        self._random = random_source
        self._owned_partitions: dict[PartitionId, PartitionOwner] = {}
        self._remote_addresses: dict[PartitionId, str] = {}
        self._locks: dict[PartitionId, asyncio.Lock] = {}
        self._lease_lock = asyncio.Lock()
        self._lease_id = 0

    def get_owned(self, partition: PartitionId) -> PartitionOwner | None:
        """Return the partition's owner if it is this entry, else None."""
        owner = self._owned_partitions.get(partition)
        if owner is not None and owner.is_lost:
            del self._owned_partitions[partition]
            return None
        return owner

    def diagnostics(self) -> dict[str, Any]:
        """Return the partitions' part of the state dump."""
        return {
            "owner_id": self._owner_id,
            "owned": {
                partition.name: {
                    "sequence": owner.log.sequence,
                    "keys": len(owner.log.state),
                    "failing": owner.log.is_failing,
                }
                for partition, owner in sorted(self._owned_partitions.items())
            },
            "remote": {
                item.name: address for item, address in self._remote_addresses.items()
            },
        }

    async def async_find(self, partition: PartitionId) -> PartitionOwner | str:
        """Return the owner object, or the address of the entry that owns it.

        Takes the partition if it has no owner. Raises
        JournalUnavailableError if that fails.
        """
        lock = self._locks.setdefault(partition, asyncio.Lock())
        async with lock:
            owned = self.get_owned(partition)
            if owned is not None:
                return owned
            if partition in self._remote_addresses:
                return self._remote_addresses[partition]
            try:
                return await self._async_find_or_take_ownership(partition)
            except StoreError as error:
                raise JournalUnavailableError(str(error)) from error

    def forget_owner(self, partition: PartitionId) -> None:
        """Discard the known owner, so that the next use looks it up again."""
        self._remote_addresses.pop(partition, None)

    async def _async_find_or_take_ownership(
        self, partition: PartitionId
    ) -> PartitionOwner | str:
        current_owner = await self._journal_store.async_read_owner(partition.name)
        if current_owner.mod_revision and current_owner.address != self._address:
            self._remote_addresses[partition] = current_owner.address
            return current_owner.address
        # No owner, or an earlier process of this entry at the same address.
        candidate = StoredOwner(
            address=self._address,
            owner_id=self._owner_id,
            mod_revision=current_owner.mod_revision,
        )
        lease_id = await self._async_get_lease()
        actual_owner = await self._journal_store.async_take_ownership(
            partition.name, candidate, lease_id
        )
        if actual_owner.owner_id != self._owner_id:
            self._remote_addresses[partition] = actual_owner.address
            return actual_owner.address
        return await self._async_recover(partition)

    async def _async_get_lease(self) -> int:
        async with self._lease_lock:
            if not self._lease_id:
                lease = await self._store_client.async_grant_lease(OWNER_LEASE_TTL_S)
                self._lease_id = lease.lease_id
            return self._lease_id

    async def _async_recover(self, partition: PartitionId) -> PartitionOwner:
        """Read the partition, then append to fence off its former owner."""
        for _ in range(_MAX_RECOVERY_TRIES):
            stored = await async_read_partition(self._journal_store, partition)
            log = PartitionLog(
                partition, self._owner_id, stored.checkpoint, stored.appends
            )
            first_append = log.next_append(0.0)
            if await self._journal_store.async_append(
                partition.name, first_append.sequence, first_append.value
            ):
                log.record_commit()
                return self._start_owner(partition, log, stored.head_revision)
        raise JournalUnavailableError(
            f"partition {partition.name}: its former owner still appends"
        )

    def _start_owner(
        self, partition: PartitionId, log: PartitionLog, checkpoint_revision: int
    ) -> PartitionOwner:
        owner = PartitionOwner(
            partition, log, self._journal_store, checkpoint_revision, self._random
        )
        self._owned_partitions[partition] = owner
        self._tasks.start(owner.async_run())
        _LOGGER.info(
            "partition %s: ownership taken at sequence %d", partition.name, log.sequence
        )
        return owner

    async def async_renew_lease(self) -> None:
        """Renew the lease; give up all partitions if it has expired."""
        if not self._lease_id:
            return
        try:
            remaining_s = await self._store_client.async_renew_lease(self._lease_id)
        except StoreError:
            # While the store is unreachable, no other entry can become an
            # owner.
            return
        if remaining_s:
            return
        self._lease_id = 0
        for owner in self._owned_partitions.values():
            owner.record_ownership_loss()
        self._owned_partitions.clear()

    async def async_unload(self) -> None:
        """Append the remaining records, then release all partitions."""
        await asyncio.gather(
            *(owner.async_flush() for owner in self._owned_partitions.values())
        )
        if not self._lease_id:
            return
        try:
            await self._store_client.async_revoke_lease(self._lease_id)
        except StoreError as error:
            _LOGGER.debug(
                "cannot revoke the partition lease; it expires on its own: %s", error
            )
