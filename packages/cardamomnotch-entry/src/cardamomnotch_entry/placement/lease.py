"""The planner's lease in the store."""

from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.interface import KeyValueStore

PLANNER_KEY = "cardamomnotch/planner"
_LEASE_TTL_S = 10


class PlannerLease:
    """Lease that makes one entry at a time the planner.

    Each holder has a higher fencing number than the holders before it,
    independent of clocks: the number is the store's revision at which the
    holder put the key.
    """

    def __init__(self, store: KeyValueStore, holder: str) -> None:
        self._store = store
        self._holder = holder
        self._lease_id = 0
        self._fencing = 0

    @property
    def fencing(self) -> int:
        """Return the fencing number; 0 while this entry has no lease."""
        return self._fencing

    async def async_acquire_or_renew(self) -> bool:
        """Renew the lease, or acquire it if it is free.

        Returns whether this entry holds the lease. Raises StoreError if the
        store is unavailable.
        """
        if self._fencing:
            if await self._store.async_renew_lease(self._lease_id):
                return True
            self._fencing = 0
        granted = await self._store.async_grant_lease(_LEASE_TTL_S)
        put = await self._store.async_put_if(
            PLANNER_KEY, self._holder.encode(), 0, lease_id=granted.lease_id
        )
        if not put.succeeded:
            await self._store.async_revoke_lease(granted.lease_id)
            return False
        self._lease_id, self._fencing = granted.lease_id, put.revision
        return True

    async def async_release(self) -> None:
        """Revoke the lease, so that another entry can acquire it at once."""
        if not self._fencing:
            return
        self._fencing = 0
        try:
            await self._store.async_revoke_lease(self._lease_id)
        except StoreError:
            # The lease expires after its time to live.
            return
