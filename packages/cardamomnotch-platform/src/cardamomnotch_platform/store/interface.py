"""What every key-value store offers, whatever its protocol."""

from typing import Protocol

from .models import Lease, StoreEntry, StoreView, WriteResult


class KeyValueStore(Protocol):
    """Keys with revisions, compare-and-swap, leases and changes since a revision.

    Every method raises StoreError if no answer came; a write may have taken
    effect all the same.
    """

    async def async_get(self, key: str) -> StoreEntry:
        """Return the entry of ``key``; absent keys have ``mod_revision`` 0."""

    async def async_read(self, prefix: str) -> StoreView:
        """Return all entries under ``prefix``, and the revision to go on from."""

    async def async_wait_for_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> StoreView:
        """Return the changes under ``prefix`` after ``revision``.

        Waits up to ``wait_s`` seconds for one. Raises CompactedError if the
        store no longer knows them.
        """

    async def async_put(self, key: str, value: bytes, *, lease_id: int = 0) -> None:
        """Write ``value``, whatever is there.

        Raises LeaseExpiredError if the lease has lapsed.
        """

    async def async_put_if(
        self, key: str, value: bytes, mod_revision: int, *, lease_id: int = 0
    ) -> WriteResult:
        """Write ``value`` if ``key`` is still at ``mod_revision``; 0 is absent."""

    async def async_delete(self, key: str) -> None:
        """Delete ``key``, if it is there."""

    async def async_grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease of ``ttl_s`` seconds."""

    async def async_renew_lease(self, lease_id: int) -> float:
        """Return the seconds that the lease now has; 0 if it has lapsed."""

    async def async_revoke_lease(self, lease_id: int) -> None:
        """Give the lease back, with the keys that hang on it."""
