"""The planner's lease in the store."""

from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.interface import KeyValueStore

PLANNER_KEY = "cardamomnotch/planner"
_TTL_S = 10


class PlannerLease:
    """Held by one entry at a time; its fencing number rises with each holder.

    The number is the store's revision at which the key was taken, so a later
    holder's is always higher, whatever any clock says.
    """

    def __init__(self, store: KeyValueStore, holder: str) -> None:
        self._store = store
        self._holder = holder
        self._lease_id = 0
        self._fencing = 0

    @property
    def fencing(self) -> int:
        """Return the fencing number; 0 while another entry holds the lease."""
        return self._fencing

    async def async_acquire_or_renew(self) -> bool:
        """Renew the lease, or take it if it is free; return whether it is held.

        Raises StoreError if the store does not answer.
        """
        if self._fencing:
            if await self._store.async_renew_lease(self._lease_id):
                return True
            self._fencing = 0
        lease = await self._store.async_grant_lease(_TTL_S)
        taken = await self._store.async_put_if(
            PLANNER_KEY, self._holder.encode(), 0, lease_id=lease.lease_id
        )
        if not taken.succeeded:
            await self._store.async_revoke_lease(lease.lease_id)
            return False
        self._lease_id, self._fencing = lease.lease_id, taken.revision
        return True

    async def async_release(self) -> None:
        """Give the lease back, so that the next planner need not wait."""
        if not self._fencing:
            return
        self._fencing = 0
        try:
            await self._store.async_revoke_lease(self._lease_id)
        except StoreError:
            # It lapses by itself.
            return
