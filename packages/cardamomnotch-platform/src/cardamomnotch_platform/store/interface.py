"""Interface of a key-value store client, independent of its protocol."""

import math
from collections.abc import Mapping
from typing import Protocol

from cardamomnotch_protocol.store_position import StorePosition

from .models import NO_CONDITIONS, Lease, StoreEntry, StorePage, StoreView, WriteResult


class KeyValueStore(Protocol):
    """A store of keys with revisions, compare-and-swap, leases and watches.

    Every method raises StoreError if the call fails; a write may have taken
    effect nevertheless.
    """

    @property
    def era(self) -> int:
        """Return the last era of the store that is known; 0 if it states none."""

    async def async_get(self, key: str) -> StoreEntry:
        """Return the entry of ``key``; absent keys have ``mod_revision`` 0."""

    async def async_read(self, prefix: str) -> StoreView:
        """Return the entries under ``prefix`` and the position of the read."""

    async def async_read_page(
        self, prefix: str, after: str, extra_wait_s: float = 0.0
    ) -> StorePage:
        """Return the first entries under ``prefix`` whose keys follow ``after``.

        Waits ``extra_wait_s`` seconds longer than usual for the reply.
        """

    async def async_wait_for_changes(
        self,
        prefix: str,
        after: StorePosition,
        wait_s: float,
        *,
        max_bytes: float = math.inf,
    ) -> StoreView:
        """Return the changes under ``prefix`` after the position ``after``.

        Waits up to ``wait_s`` seconds for a change; without one the entries
        are empty. Raises CompactedError if the store has compacted them,
        StoreRestoredError if it is in a later era, and ReplyTooLargeError if the
        store returns many changes in one reply that is larger than ``max_bytes``.
        """

    async def async_put(self, key: str, value: bytes, *, lease_id: int = 0) -> None:
        """Write ``value`` regardless of the key's current value.

        Raises LeaseExpiredError if the lease has expired.
        """

    async def async_put_if(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        lease_id: int = 0,
        era: int | None = None,
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> WriteResult:
        """Write ``value`` if ``key`` is still at ``mod_revision``.

        A ``mod_revision`` of 0 requires that the key is absent. The keys of
        ``unchanged`` must be at their revisions too. ``era`` is that of the
        revisions; None if none was ever read. Raises LeaseExpiredError if the lease
        has expired, and StoreRestoredError if the store is in a later era; it may
        have written then if it entered that during the call.
        """

    async def async_delete(self, key: str) -> None:
        """Delete ``key`` if it exists."""

    async def async_grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease of ``ttl_s`` seconds."""

    async def async_renew_lease(self, lease_id: int) -> float:
        """Return the lease's new lifetime in seconds; 0 if it has expired."""

    async def async_revoke_lease(self, lease_id: int) -> None:
        """Revoke the lease; the store deletes the keys attached to it."""
