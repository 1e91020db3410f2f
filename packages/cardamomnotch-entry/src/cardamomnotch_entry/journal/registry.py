"""Which partitions this entry owns, and who owns the others."""

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

from .const import OWNER_LEASE_S
from .exceptions import JournalUnavailableError
from .owner import PartitionOwner
from .reader import async_read_partition

_LOGGER = logging.getLogger(__name__)
_RECOVERY_TRIES = 3


class PartitionRegistry:
    """Becomes the owner of partitions that have none, when they are needed."""

    def __init__(
        self,
        store: StoreClient,
        address: str,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._client = store
        self._store = JournalStore(store)
        self._address = address
        # Each life of a process is an owner of its own.
        self._owner_id = uuid.uuid4().hex
        self._tasks = tasks
        self._random = random_source
        self._owned: dict[PartitionId, PartitionOwner] = {}
        self._remote: dict[PartitionId, str] = {}
        self._locks: dict[PartitionId, asyncio.Lock] = {}
        self._lease_lock = asyncio.Lock()
        self._lease_id = 0

    def owned(self, partition: PartitionId) -> PartitionOwner | None:
        """Return the partition if this entry owns it."""
        owner = self._owned.get(partition)
        if owner is not None and owner.is_lost:
            del self._owned[partition]
            return None
        return owner

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "owner_id": self._owner_id,
            "owned": {
                partition.name: {
                    "sequence": owner.log.sequence,
                    "keys": len(owner.log.state),
                    "failing": owner.log.is_failing,
                }
                for partition, owner in sorted(self._owned.items())
            },
            "remote": {item.name: address for item, address in self._remote.items()},
        }

    async def async_find(self, partition: PartitionId) -> PartitionOwner | str:
        """Return the owner: this entry's part, or another entry's address.

        Raises JournalUnavailableError if there is none and none can be.
        """
        lock = self._locks.setdefault(partition, asyncio.Lock())
        async with lock:
            owned = self.owned(partition)
            if owned is not None:
                return owned
            if partition in self._remote:
                return self._remote[partition]
            try:
                return await self._async_look_up(partition)
            except StoreError as error:
                raise JournalUnavailableError(str(error)) from error

    def forget(self, partition: PartitionId) -> None:
        """Look the partition's owner up again when it is next needed."""
        self._remote.pop(partition, None)

    async def _async_look_up(self, partition: PartitionId) -> PartitionOwner | str:
        found = await self._store.async_read_owner(partition.name)
        if found.mod_revision and found.address != self._address:
            self._remote[partition] = found.address
            return found.address
        # Nobody, or a former life of this entry under the same address.
        own = StoredOwner(
            address=self._address,
            owner_id=self._owner_id,
            mod_revision=found.mod_revision,
        )
        lease_id = await self._async_lease()
        holder = await self._store.async_take_ownership(partition.name, own, lease_id)
        if holder.owner_id != self._owner_id:
            self._remote[partition] = holder.address
            return holder.address
        return await self._async_recover(partition)

    async def _async_lease(self) -> int:
        async with self._lease_lock:
            if not self._lease_id:
                lease = await self._client.async_grant_lease(OWNER_LEASE_S)
                self._lease_id = lease.lease_id
            return self._lease_id

    async def _async_recover(self, partition: PartitionId) -> PartitionOwner:
        """Read checkpoint and log, then end the former owner's term."""
        for _ in range(_RECOVERY_TRIES):
            stored = await async_read_partition(self._store, partition)
            log = PartitionLog(
                partition, self._owner_id, stored.checkpoint, stored.appends
            )
            first = log.next_append(0.0)
            if await self._store.async_append(
                partition.name, first.sequence, first.value
            ):
                log.record_commit()
                return self._start(partition, log, stored.head_revision)
        raise JournalUnavailableError(f"{partition.name} is still being written")

    def _start(
        self, partition: PartitionId, log: PartitionLog, checkpoint_revision: int
    ) -> PartitionOwner:
        owner = PartitionOwner(
            partition, log, self._store, checkpoint_revision, self._random
        )
        self._owned[partition] = owner
        self._tasks.start(owner.async_run())
        _LOGGER.info("partition %s owned from %d", partition.name, log.sequence)
        return owner

    async def async_renew(self) -> None:
        """Renew the lease; give up every partition if it has lapsed."""
        if not self._lease_id:
            return
        try:
            left_s = await self._client.async_renew_lease(self._lease_id)
        except StoreError:
            # Nobody else can become an owner meanwhile either.
            return
        if left_s:
            return
        self._lease_id = 0
        for owner in self._owned.values():
            owner.lose()
        self._owned.clear()

    async def async_unload(self) -> None:
        """Append what is left, and give the partitions back at once."""
        await asyncio.gather(*(owner.async_flush() for owner in self._owned.values()))
        if not self._lease_id:
            return
        try:
            await self._client.async_revoke_lease(self._lease_id)
        except StoreError as error:
            _LOGGER.debug("lease not given back: %s", error)
