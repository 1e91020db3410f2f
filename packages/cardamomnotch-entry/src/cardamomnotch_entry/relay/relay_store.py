"""The relay's data in a key-value store."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from cardamomnotch_core.change_feed.listing import ListingOrder
from cardamomnotch_core.change_feed.models import StoreChange
from cardamomnotch_core.change_feed.watch_scope import WatchScope
from cardamomnotch_core.relay.crashes.detection import Crash
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.rollouts.rollout import Rollout, RolloutState
from cardamomnotch_core.relay.store_changes.changes import (
    Change,
    EntryRecord,
    RolloutReported,
)
from cardamomnotch_platform.exceptions import (
    LeaseExpiredError,
    ReplyTooLargeError,
    StoreConflictError,
    StoreError,
    StoreRestoredError,
)
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_platform.store.models import Lease, StoreEntry, StoreView
from cardamomnotch_protocol.store_position import StorePosition

from .const import (
    CRASH_LEASE_REUSE_S,
    MAX_PAGE_WAIT_S,
    MAX_READING_AGE_S,
    MAX_WATCH_REPLY_BYTES,
    PAGE_WAIT_STEP_S,
)
from .interfaces import StoreCodec


@attrs.frozen(kw_only=True)
class StoreReading:
    """What was read of everything in the store."""

    changes: list[Change]
    # All changes after this position have to be watched for.
    position: StorePosition
    # When the first page was asked for, in seconds.
    began_at_s: float
    is_complete: bool = True


@attrs.define
class _Reading:
    """A listing that is being read."""

    order: ListingOrder
    began_at_s: float
    # Whether it leaves out the route document.
    skips_document: bool = False
    position: StorePosition | None = None
    # Entries that have not been returned yet.
    entries: list[StoreEntry] = attrs.field(factory=list)
    # Failed calls since the last page.
    failures: int = 0


def _store_change(entry: StoreEntry) -> StoreChange:
    return StoreChange(
        key=entry.key,
        position=entry.position,
        value=None if entry.is_deleted else entry.value,
    )


class RelayStore:
    """Reads changes, maintains this entry's record, and reports on rollouts.

    Every method raises StoreError if the store did not respond; a write may
    have taken effect nevertheless.
    """

    def __init__(
        self,
        store: KeyValueStore,
        store_codec: StoreCodec,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._store_codec = store_codec
        self._clock = clock
        self._random = random.Random()
        self._reading: _Reading | None = None
        self._watch_scope = WatchScope()
        self._lease: Lease | None = None
        self._crash_lease: Lease | None = None
        self._crash_lease_until_s = 0.0

    @property
    def reads_document_apart(self) -> bool:
        """Return whether watches leave the route document out, and do not wait."""
        return self._watch_scope.is_apart(self._clock())

    @property
    def has_unread(self) -> bool:
        """Return whether a part of the last reading is still to be read."""
        reading = self._reading
        return reading is not None and reading.order.is_sufficient

    async def async_read_all(self, *, skips_document: bool = False) -> StoreReading:
        """Read what an entry needs at first; the rest by ``async_read_rest``.

        After a failure the next call goes on with the page that failed. The route
        document, which may take long to arrive, is left out if ``skips_document``.
        """
        now_s = self._clock()
        reading = self._reading
        if (
            reading is None
            or reading.order.is_sufficient
            or reading.skips_document != skips_document
            or now_s - reading.began_at_s > MAX_READING_AGE_S
        ):
            order = ListingOrder(self._store_codec.upstreams_prefix, self._random)
            reading = self._reading = _Reading(order, now_s, skips_document)
        if skips_document and reading.position is None:
            await self._async_read_small_values(reading)
        while not reading.order.is_sufficient:
            await self._async_read_page(reading)
        return self._take_read(reading)

    async def async_read_rest(self) -> StoreReading:
        """Read one more page of the last reading; only while it has unread ones."""
        assert self._reading is not None
        await self._async_read_page(self._reading)
        return self._take_read(self._reading)

    async def _async_read_small_values(self, reading: "_Reading") -> None:
        """Read all keys but the route document and the upstreams."""
        upstreams_prefix = self._store_codec.upstreams_prefix
        views = await asyncio.gather(
            *(
                self._store.async_read(prefix)
                for prefix in self._store_codec.small_value_prefixes
                if prefix != upstreams_prefix
            )
        )
        if len({view.position.era for view in views}) > 1:
            raise StoreRestoredError(
                "the store came back from a copy while it was read"
            )
        reading.position = min(view.position for view in views)
        reading.entries.extend(entry for view in views for entry in view.entries)

    async def _async_read_page(self, reading: "_Reading") -> None:
        prefix = self._store_codec.upstreams_prefix if reading.skips_document else ""
        wait_s = min(MAX_PAGE_WAIT_S, PAGE_WAIT_STEP_S * reading.failures)
        try:
            page = await self._store.async_read_page(
                prefix, reading.order.after, wait_s
            )
        except StoreError:
            reading.failures += 1
            raise
        reading.failures = 0
        # The pages are not one snapshot: a watch from the first page's position
        # repeats all changes since then.
        if reading.position is None:
            reading.position = page.position
        if reading.position.era != page.position.era:
            self._reading = None
            raise StoreRestoredError(
                "the store came back from a copy while it was read"
            )
        keys = [entry.key for entry in page.entries]
        reading.order.record_page(keys, page.has_more)
        reading.entries.extend(page.entries)

    def _take_read(self, reading: "_Reading") -> StoreReading:
        assert reading.position is not None
        entries, reading.entries = reading.entries, []
        is_complete = reading.order.is_complete
        if is_complete:
            self._reading = None
        return StoreReading(
            changes=self._decode(entries),
            position=reading.position,
            began_at_s=reading.began_at_s,
            is_complete=is_complete,
        )

    async def async_wait_for_changes(
        self, after: StorePosition, wait_s: float
    ) -> tuple[list[StoreChange], StorePosition]:
        """Return the changes after the position ``after``, and that of the reply.

        Waits up to ``wait_s`` seconds for a change, unless the route document is
        read apart since the changes were too large to be read together; its value may
        be omitted then. Raises CompactedError if the store no longer has the changes,
        and StoreRestoredError if it is in a later era.
        """
        if self.reads_document_apart:
            return await self._async_read_by_prefix(after)
        try:
            result = await self._store.async_wait_for_changes(
                "", after, wait_s, max_bytes=MAX_WATCH_REPLY_BYTES
            )
        except ReplyTooLargeError:
            self._watch_scope.record_large_reply(self._clock())
            return await self._async_read_by_prefix(after)
        return [_store_change(entry) for entry in result.entries], result.position

    async def _async_read_by_prefix(
        self, after: StorePosition
    ) -> tuple[list[StoreChange], StorePosition]:
        """Return the changes after ``after``, read by the prefixes of their keys.

        The value of the route document is omitted if it is large.
        """
        document_key = self._store_codec.document_key
        *views, document_view = await asyncio.gather(
            *(
                self._store.async_wait_for_changes(prefix, after, 0.0)
                for prefix in self._store_codec.watch_prefixes
            ),
            self._async_read_document_changes(after),
        )
        if document_view is None or document_view.entries:
            self._watch_scope.record_large_value_changed(self._clock())
        if document_view is not None:
            views.append(document_view)
        # What the store had in all of these calls; the next watch brings the rest.
        last = min(view.position for view in views)
        found = [
            _store_change(entry)
            for view in views
            for entry in view.entries
            if entry.position <= last
        ]
        found.sort(key=lambda change: change.position)
        if document_view is None:
            document = StoreChange(key=document_key, position=last, is_omitted=True)
            found.append(document)
        return found, last

    async def _async_read_document_changes(
        self, after: StorePosition
    ) -> StoreView | None:
        """Return the route document's changes; None if they are too large."""
        try:
            return await self._store.async_wait_for_changes(
                self._store_codec.document_key,
                after,
                0.0,
                max_bytes=MAX_WATCH_REPLY_BYTES,
            )
        except ReplyTooLargeError:
            return None

    async def async_read_value(self, key: str) -> StoreChange | None:
        """Return the last write of ``key``; None if it has been deleted."""
        entry = await self._store.async_get(key)
        return _store_change(entry) if entry.mod_revision else None

    @property
    def document_key(self) -> str:
        """Return the key of the route document."""
        return self._store_codec.document_key

    def decode(self, store_changes: Iterable[StoreChange]) -> list[Change]:
        """Return the changes that concern the relay."""
        return self._decode(
            StoreEntry(
                key=change.key,
                value=change.value or b"",
                mod_revision=change.position.revision,
                era=change.position.era,
                is_deleted=change.value is None,
            )
            for change in store_changes
        )

    async def async_write_record(self, record: EntryRecord, ttl_s: float) -> None:
        """Write this entry's record under a lease of ``ttl_s`` seconds."""
        lease = self._current(self._lease)
        if lease is None:
            lease = self._lease = await self._store.async_grant_lease(ttl_s)
        key = self._store_codec.record_key(record.entry)
        value = self._store_codec.encode_record(record)
        try:
            await self._async_put_under(lease, key, value)
        except LeaseExpiredError:
            self._lease = None
            raise

    async def async_renew_record(self) -> bool:
        """Renew the record's lease; return False if the lease has expired."""
        lease = self._current(self._lease)
        if lease is not None and await self._store.async_renew_lease(lease.lease_id):
            # The reply may be of a later era, and so of another lease.
            lease = self._current(lease)
            if lease is not None:
                return True
        self._lease = None
        return False

    async def async_delete_record(self) -> None:
        """Delete this entry's record by revoking its lease, if it has one."""
        lease = self._current(self._lease)
        if lease is not None:
            await self._store.async_revoke_lease(lease.lease_id)

    async def async_write_crashes(
        self,
        name: str,
        crashes: Sequence[Crash],
        refutations: Sequence[Refutation],
        ttl_s: float,
    ) -> None:
        """Write a report of crashes, which is deleted after ``ttl_s`` seconds.

        Reports have leases of their own, so they outlive this entry. One that
        shares the lease of an earlier report is deleted with it, up to
        ``CRASH_LEASE_REUSE_S`` sooner.
        """
        now_s = self._clock()
        lease = self._current(self._crash_lease)
        if lease is None or now_s >= self._crash_lease_until_s:
            lease = self._crash_lease = await self._store.async_grant_lease(ttl_s)
            self._crash_lease_until_s = now_s + CRASH_LEASE_REUSE_S
        try:
            await self._async_put_under(
                lease,
                self._store_codec.crashes_key(name),
                self._store_codec.encode_crashes(crashes, refutations),
            )
        except LeaseExpiredError:
            self._crash_lease = None
            raise

    def _current(self, lease: Lease | None) -> Lease | None:
        """Return the lease unless the store has come back from a copy since.

        A restored store may have lost it and given its id to another lease.
        """
        if lease is not None and lease.era == self._store.era:
            return lease
        return None

    async def _async_put_under(self, lease: Lease, key: str, value: bytes) -> None:
        """Write a value under a lease.

        Raises LeaseExpiredError if the lease has expired, or is lost.
        """
        await self._store.async_put(key, value, lease_id=lease.lease_id)
        if self._current(lease) is None:
            raise LeaseExpiredError(
                "store write failed: the store has come back from a copy"
            )

    async def async_report_rollout(self, rollout: Rollout, state: RolloutState) -> None:
        """Write the state of a rollout unless it is already stored.

        Raises StoreConflictError if another entry wrote first, if a final state
        is stored, or if the rollout's order is no longer the one in the store. The
        read before the write also finds an earlier report whose response was lost.
        """
        order, order_id = rollout.order, rollout.order_id
        current = await self._store.async_get(
            self._store_codec.status_key(order.service)
        )
        if current.position > order_id:
            reported = self._decode_report(current)
            # A report of another target is of another order.
            if reported is not None and reported.target == order.target:
                if reported.state is state:
                    return
                if reported.state is not RolloutState.IN_PROGRESS:
                    raise StoreConflictError(
                        f"rollout already reported as {reported.state.value}"
                    )
        # The process may have been suspended since it read the order, or the status.
        write_result = await self._store.async_put_if(
            current.key,
            self._store_codec.encode_status(order.target, state),
            current.mod_revision,
            era=order_id.era,
            unchanged={self._store_codec.order_key(order.service): order_id.revision},
        )
        if not write_result.succeeded:
            raise StoreConflictError(
                "another entry reported on the rollout first, or its order has changed"
            )

    def _decode_report(self, entry: StoreEntry) -> RolloutReported | None:
        change = self._store_codec.decode(entry)
        return change if isinstance(change, RolloutReported) else None

    def _decode(self, entries: Iterable[StoreEntry]) -> list[Change]:
        decoded = (self._store_codec.decode(entry) for entry in entries)
        return [change for change in decoded if change is not None]
