"""Applies store changes to the node and publishes the node's state."""

import asyncio
import logging
import math
import random
from collections import Counter
from collections.abc import Callable, Container, Sequence

from cardamomnotch_core.change_feed.models import FeedPart, StoreChange
from cardamomnotch_core.change_feed.outages import OutageDetector
from cardamomnotch_core.membership.rendezvous import rendezvous_hash
from cardamomnotch_core.relay.crashes.const import CRASH_RETENTION_S
from cardamomnotch_core.relay.models import RouteDocument
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_core.relay.rollouts.rollout import Rollout, RolloutState
from cardamomnotch_core.relay.store_changes.changes import (
    Change,
    DocumentWritten,
    EntryRecord,
    EntryReported,
    UpstreamUnlisted,
)
from cardamomnotch_platform.exceptions import (
    CompactedError,
    StoreConflictError,
    StoreError,
    StoreRestoredError,
)
from cardamomnotch_platform.store.budget import StoreBudgetError
from cardamomnotch_protocol.store_position import StorePosition
from cardamomnotch_runtime.structured_log import log_event

from .const import (
    CRASH_REPORT_INTERVAL_S,
    LISTING_IDLE_INTERVAL_S,
    LISTING_PAUSE_PER_ENTRY_S,
    MAX_FEED_WAIT_S,
    MAX_RESTORE_READ_SPREAD_S,
    MAX_RESTORE_WRITE_SPREAD_S,
    MAX_VALUE_INTERVAL_FRACTION,
    MAX_WATCH_PAUSE_S,
    MIN_PREFIX_WATCH_PAUSE_S,
    MIN_STORE_OUTAGE_S,
    MIN_VALUE_INTERVAL_S,
    MIN_WATCH_PAUSE_S,
    MIN_WATCHES_PER_MAX_AGE,
    PUBLISH_RETRY_DELAY_S,
    READER_RETRY_DELAY_S,
    RECORD_RENEWAL_INTERVAL_S,
    RECORD_TTL_S,
    RECORD_WRITE_INTERVAL_S,
    REPORT_DELAY_STEP_S,
    RESTORE_READ_SPREAD_PER_ENTRY_S,
    RESTORE_WRITE_SPREAD_PER_ENTRY_S,
    STORE_RETRY_DELAY_S,
    URGENT_RECORD_WRITE_INTERVAL_S,
    VALUE_INTERVAL_PER_ENTRY_S,
    WATCH_PAUSE_PER_ENTRY_S,
    WATCH_WAIT_S,
)
from .relay_store import RelayStore, StoreReading
from .route_difference import describe_difference
from .value_reader import ValueReader

_LOGGER = logging.getLogger(__name__)


class StoreCoordinator:
    """Watches the store; writes this entry's record and rollout reports."""

    def __init__(
        self,
        node: RelayNode,
        relay_store: RelayStore,
        clock: Callable[[], float],
        observe_document_delay: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self._node = node
        # Called with the longest time that a new document may have waited, in seconds.
        self._observe_document_delay = observe_document_delay
        self._relay_store = relay_store
        self._clock = clock
        self._outages = OutageDetector()
        self._value_reader = ValueReader(
            relay_store,
            clock,
            lambda: self._store_retry_delay_s,
            lambda: self._value_interval_s,
            self._apply_value,
        )
        self._woken = asyncio.Event()
        self._is_store_available = False
        self._random = random.Random()
        # Whether another entry has a newer route document than the store.
        self._is_document_lost = False
        # Era of the store when everything was read last.
        self._era: int | None = None
        # When the last call was sent that the store has answered itself.
        self._own_confirmed_at_s = -math.inf
        self._record: EntryRecord | None = None
        self._record_written_at_s = -math.inf
        self._record_renewed_at_s = -math.inf
        self._crashes_written_at_s = -math.inf
        self._crash_reports = 0
        self._publish_after_s = -math.inf
        self._has_write_failed = False
        self._reported_states: dict[str, tuple[StorePosition, RolloutState]] = {}
        self._report_due_at_s: dict[tuple[str, StorePosition, RolloutState], float] = {}

    async def async_apply_changes(self) -> None:
        """Apply the changes of one store read, if one is due; called in a loop."""
        feed = self._node.feed
        if not feed.needs_store(self._clock()):
            await self._async_wait_until_needed()
            return
        requested_at_s = self._clock()
        position = feed.position
        try:
            if position is None:
                await self._async_read_all()
                return
            found, position = await self._relay_store.async_wait_for_changes(
                position, self._watch_wait_s
            )
        except CompactedError as error:
            log_event(
                _LOGGER,
                "store history lost; reading everything again",
                position=str(position),
                detail=error.detail,
            )
            feed.forget()
            if isinstance(error, StoreRestoredError):
                await asyncio.sleep(
                    self._spread_s(
                        RESTORE_READ_SPREAD_PER_ENTRY_S, MAX_RESTORE_READ_SPREAD_S
                    )
                )
            return
        except StoreBudgetError as error:
            # The store was not asked, so nothing is known of its availability.
            log_event(
                _LOGGER,
                "store not read: this entry's own limit on calls is used up",
                logging.WARNING,
                detail=error.detail,
            )
            await asyncio.sleep(self._store_retry_delay_s)
            return
        except StoreError as error:
            self._mark_store_unavailable(error)
            await asyncio.sleep(self._store_retry_delay_s)
            return
        self._mark_store_available()
        self._own_confirmed_at_s = requested_at_s
        self._note_outage(self._outages.record_reply(requested_at_s, self._clock()))
        self._apply(feed.record_watched(found, position, requested_at_s))
        self._confirm_routes(requested_at_s)
        if found or self._relay_store.reads_document_apart:
            await asyncio.sleep(self._watch_pause_s)

    async def _async_read_all(self) -> None:
        """Read everything; the route document on its own if there is an older one."""
        skips_document = self._node.routes.document is not None
        reading = await self._relay_store.async_read_all(skips_document=skips_document)
        document_key = self._relay_store.document_key
        self._apply_reading(reading, left_out={document_key} if skips_document else ())
        if skips_document:
            document = StoreChange(
                key=document_key,
                position=reading.position,
                is_omitted=True,
            )
            self._apply([document])
        self._confirm_routes(reading.began_at_s)

    def apply_part(self, entry: str, part: FeedPart) -> None:
        """Apply what another entry has read from the store."""
        feed = self._node.feed
        update = feed.handle_part(entry, part)
        if update is None:
            if feed.needs_store(self._clock()):
                self._woken.set()
            return
        if update.confirmed_at_s is not None:
            self._note_outage(
                self._outages.record_confirmation(update.confirmed_at_s, self._clock())
            )
        self._apply(update.changes)
        if update.confirmed_at_s is not None:
            self._confirm_routes(update.confirmed_at_s)

    async def _async_wait_until_needed(self) -> None:
        """Wait while others confirm this entry's data."""
        self._woken.clear()
        needed_in_s = self._node.feed.store_needed_in_s(self._clock())
        try:
            async with asyncio.timeout(min(needed_in_s, MAX_FEED_WAIT_S)):
                await self._woken.wait()
        except TimeoutError:
            return

    async def async_read_rest(self) -> None:
        """Read the next page of a long listing, after a pause; called in a loop."""
        if not self._relay_store.has_unread:
            await asyncio.sleep(LISTING_IDLE_INTERVAL_S)
            return
        entries = len(self._node.entries)
        await asyncio.sleep(LISTING_PAUSE_PER_ENTRY_S * entries)
        if not self._relay_store.has_unread:
            return
        try:
            reading = await self._relay_store.async_read_rest()
        except StoreError as error:
            # The watch logs that the store is unavailable, and its return.
            log_event(
                _LOGGER,
                "a page of the store's listing could not be read",
                logging.DEBUG,
                detail=error.detail,
            )
            await asyncio.sleep(STORE_RETRY_DELAY_S)
            return
        self._node.apply_rest(
            reading.changes, self._clock(), is_complete=reading.is_complete
        )
        if reading.is_complete:
            log_event(_LOGGER, "store read completely", upstreams=len(self._node.fleet))

    def _apply_reading(self, reading: StoreReading, left_out: Container[str]) -> None:
        """Apply everything that is needed at first, as of the reading's begin."""
        self._mark_store_available()
        now_s = self._clock()
        self._note_outage(self._outages.record_reply(reading.began_at_s, now_s))
        previous = self._node.routes.document
        self._value_reader.record_all_read(reading.position, left_out)
        is_restored = self._era is not None and reading.position.era > self._era
        self._era = reading.position.era
        self._node.apply_listing(
            reading.changes,
            now_s,
            is_complete=reading.is_complete,
            is_restored=is_restored,
        )
        if is_restored:
            self._log_restore()
            self._write_record_again(now_s)
        self._log_full_read(reading)
        self._log_routes(previous)
        self._own_confirmed_at_s = reading.began_at_s
        self._node.feed.record_read(reading.position, reading.began_at_s)

    def _write_record_again(self, now_s: float) -> None:
        """Write this entry's record soon, since a restored store may have lost it."""
        self._record = None
        self._record_written_at_s = -math.inf
        self._publish_after_s = now_s + self._spread_s(
            RESTORE_WRITE_SPREAD_PER_ENTRY_S, MAX_RESTORE_WRITE_SPREAD_S
        )

    def _spread_s(self, per_entry_s: float, most_s: float) -> float:
        """Return a random pause, so that the entries do not call at the same time."""
        return self._random.uniform(
            0.0, min(most_s, per_entry_s * len(self._node.entries))
        )

    def _confirm_routes(self, asked_at_s: float) -> None:
        """Confirm the route document, unless a newer one is yet to be read."""
        routes = self._node.routes
        if self._value_reader.is_reading(self._relay_store.document_key):
            return
        routes.confirm(asked_at_s)
        if routes.is_lost != self._is_document_lost:
            self._is_document_lost = routes.is_lost
            log_event(
                _LOGGER,
                "the store has lost the route document that another entry uses"
                if routes.is_lost
                else "the route document is as new as that of the other entries",
                logging.WARNING if routes.is_lost else logging.INFO,
                version=routes.version,
            )

    def _apply_value(
        self, key: str, change: StoreChange | None, asked_at_s: float
    ) -> None:
        """Apply a value that was read on its own, by a call sent at ``asked_at_s``."""
        if change is not None:
            self._apply_complete([change])
        if key == self._relay_store.document_key:
            self._node.routes.confirm(asked_at_s)

    def _apply(self, found: Sequence[StoreChange]) -> None:
        """Apply changes of the store, and read the values that they omit."""
        self._apply_complete(self._value_reader.read_omitted(found))
        position = self._node.feed.position
        if position is not None:
            self._value_reader.forget_until(position)

    def _apply_complete(self, found: Sequence[StoreChange]) -> None:
        """Apply changes with their values, and log them."""
        now_s = self._clock()
        previous = self._node.routes.document
        store_changes = self._relay_store.decode(found)
        for change in store_changes:
            self._node.apply(change, now_s)
        self._log_changes(store_changes)
        self._log_routes(previous)

    @property
    def _store_retry_delay_s(self) -> float:
        """Return how long to pause after a failed call, in seconds.

        The sources of the zone call often, and tell the others when the store is
        back; an entry without data, or without sources that answer, does not wait
        for them. A source whose data the other one confirms calls as seldom: the
        store rejects this entry only.
        """
        feed, now_s = self._node.feed, self._clock()
        is_confirmed = (
            feed.confirmed_at_s > self._own_confirmed_at_s
            and feed.store_needed_in_s(now_s) > 0
        )
        if feed.position is None or (feed.is_source(now_s) and not is_confirmed):
            return STORE_RETRY_DELAY_S
        return READER_RETRY_DELAY_S

    @property
    def _value_interval_s(self) -> float:
        """Return the time between two reads of a value that changes often, in seconds.

        All entries read it, so the interval grows with their number, up to a part of
        the time within which a change must be in force.
        """
        most_s = self._node.limits.activation_ms / 1000 * MAX_VALUE_INTERVAL_FRACTION
        interval_s = VALUE_INTERVAL_PER_ENTRY_S * len(self._node.entries)
        return min(most_s, max(MIN_VALUE_INTERVAL_S, interval_s))

    @property
    def _watch_pause_s(self) -> float:
        """Return how long to pause before the next watch, in seconds."""
        pause_s = WATCH_PAUSE_PER_ENTRY_S * len(self._node.entries)
        least_s = (
            MIN_PREFIX_WATCH_PAUSE_S
            if self._relay_store.reads_document_apart
            else MIN_WATCH_PAUSE_S
        )
        return min(MAX_WATCH_PAUSE_S, max(least_s, pause_s))

    @property
    def _watch_wait_s(self) -> float:
        """Return how long a watch waits for a change, in seconds.

        The entry's data ages while a watch waits, so several watches must fit
        its maximum age. While the store is unavailable the wait is 0, so that
        a call without a response fails soon and recovery is detected soon.
        """
        if not self._is_store_available:
            return 0.0
        max_age_s = self._node.limits.refusal_max_age_s
        return min(WATCH_WAIT_S, max_age_s / MIN_WATCHES_PER_MAX_AGE)

    async def async_publish(self) -> None:
        """Write this entry's record and due reports; called in a loop.

        Pauses after a failure, since the store also counts refused calls.
        """
        now_s = self._clock()
        for change in self._node.apply_lost(now_s):
            self._log_change(change, is_lost=True)
        for rollout in self._node.versions.rollouts:
            rollout.evaluate(now_s)
        if now_s < self._publish_after_s:
            return
        try:
            await self._async_publish_crashes()
            await self._async_publish_record()
            for rollout in self._node.versions.rollouts:
                await self._async_report(rollout)
        except StoreError as error:
            self._publish_after_s = self._clock() + PUBLISH_RETRY_DELAY_S
            self._mark_write_failed(error)
            return
        if self._has_write_failed:
            self._has_write_failed = False
            log_event(_LOGGER, "entry record and reports are written again")

    async def async_unload(self) -> None:
        """Store the last crashes, and delete this entry's record."""
        await self._value_reader.async_unload()
        try:
            await self._async_write_crashes()
            await self._relay_store.async_delete_record()
        except StoreError as error:
            log_event(
                _LOGGER,
                "last crashes not stored or entry record not deleted",
                detail=error.detail,
            )

    def _log_restore(self) -> None:
        log_event(
            _LOGGER,
            "store has come back from a copy",
            era=self._era,
            kept=list(map(str, self._node.lost_items.pending)),
        )

    def _log_full_read(self, reading: StoreReading) -> None:
        kinds = Counter(type(change).__name__ for change in reading.changes)
        log_event(
            _LOGGER,
            "store read",
            position=str(reading.position),
            complete=reading.is_complete,
            version=self._node.routes.version,
            found=dict(kinds),
        )

    def _log_changes(self, store_changes: list[Change]) -> None:
        for change in store_changes:
            match change:
                case EntryReported() | DocumentWritten():
                    continue
                case UpstreamUnlisted():
                    is_kept = self._node.fleet.get(change.upstream_id) is not None
                    self._log_change(change, is_kept=is_kept)
                case _:
                    self._log_change(change)

    def _log_change(self, change: Change, **fields: object) -> None:
        kind = type(change).__name__
        log_event(_LOGGER, "store change", kind=kind, change=str(change), **fields)

    def _log_routes(self, previous: RouteDocument | None) -> None:
        """Log how a newly applied route document differs from ``previous``."""
        document = self._node.routes.document
        if document is None or document is previous:
            return
        # The store had nothing newer when it confirmed the previous document.
        delay_s = self._clock() - self._node.routes.confirmed_at_s
        is_delay_known = previous is not None and math.isfinite(delay_s)
        if is_delay_known:
            self._observe_document_delay(delay_s)
        log_event(
            _LOGGER,
            "routes in force",
            version=document.version,
            before=previous.version if previous else 0,
            delay_ms=int(delay_s * 1000) if is_delay_known else -1,
            **(describe_difference(previous, document) if previous else {}),
        )

    def _note_outage(self, unanswered_s: float) -> None:
        """Note the end of an outage, before changes are applied."""
        if unanswered_s <= max(MIN_STORE_OUTAGE_S, self._node.limits.feed_max_age_s):
            return
        self._node.fleet.record_store_returned(self._clock())
        log_event(
            _LOGGER,
            "store has returned after an outage",
            seconds=round(unanswered_s, 2),
        )

    def _mark_store_available(self) -> None:
        if not self._is_store_available:
            self._is_store_available = True
            log_event(_LOGGER, "store is available")

    def _mark_store_unavailable(self, error: StoreError) -> None:
        if self._is_store_available:
            self._is_store_available = False
            log_event(
                _LOGGER,
                "store is unavailable",
                logging.WARNING,
                code=int(error.code),
                detail=error.detail,
            )

    def _mark_write_failed(self, error: StoreError) -> None:
        if not self._has_write_failed:
            self._has_write_failed = True
            log_event(
                _LOGGER,
                "entry record or report could not be written",
                logging.WARNING,
                code=int(error.code),
                detail=error.detail,
            )

    async def _async_publish_crashes(self) -> None:
        now_s = self._clock()
        if now_s - self._crashes_written_at_s >= CRASH_REPORT_INTERVAL_S:
            await self._async_write_crashes()

    async def _async_write_crashes(self) -> None:
        """Store the crashes and refutations that are not stored yet, if any."""
        quarantine = self._node.quarantine
        crashes = quarantine.unreported
        refutations = quarantine.unreported_refutations
        if not crashes and not refutations:
            return
        identity = self._node.identity
        name = f"{identity.name}-{identity.incarnation}-{self._crash_reports}"
        await self._relay_store.async_write_crashes(
            name, crashes, refutations, CRASH_RETENTION_S
        )
        quarantine.mark_reported(crashes, refutations)
        self._crash_reports += 1
        self._crashes_written_at_s = self._clock()

    async def _async_publish_record(self) -> None:
        now_s = self._clock()
        record = self._node.entry_record(now_s)
        if now_s - self._record_written_at_s >= self._min_write_interval_s(record):
            await self._relay_store.async_write_record(record, RECORD_TTL_S)
            self._record = record
            self._record_written_at_s = now_s
            self._node.set_recorded_until(now_s + RECORD_TTL_S)
        if now_s - self._record_renewed_at_s >= RECORD_RENEWAL_INTERVAL_S:
            renewed_at_s = self._clock()
            if await self._relay_store.async_renew_record():
                self._node.set_recorded_until(renewed_at_s + RECORD_TTL_S)
            else:
                self._record = None
            self._record_renewed_at_s = now_s

    def _min_write_interval_s(self, record: EntryRecord) -> float:
        """Return the minimum time between the last write and ``record``.

        Each write ends every entry's watch, so only changes that may affect a
        decision are written soon. Result in seconds.
        """
        if self._record is None or record.is_urgent_after(self._record):
            return URGENT_RECORD_WRITE_INTERVAL_S
        return RECORD_WRITE_INTERVAL_S if record != self._record else math.inf

    async def _async_report(self, rollout: Rollout) -> None:
        now_s = self._clock()
        state = rollout.next_state(now_s)
        service = rollout.order.service
        reported = self._reported_states.get(service)
        if reported == (
            rollout.order_id,
            state,
        ) or self._node.versions.is_final_state_stored(rollout):
            return
        due_at_s = self._report_due_at_s.setdefault(
            (service, rollout.order_id, state),
            now_s + self._report_delay_s(rollout),
        )
        if now_s < due_at_s:
            return
        # An entry that was suspended may have missed what speaks against it.
        is_behind = self._node.feed.store_needed_in_s(now_s) <= 0.0
        if state is RolloutState.COMPLETED and is_behind:
            return
        new, old = rollout.combined_stats(now_s)
        try:
            await self._relay_store.async_report_rollout(rollout, state)
        except (StoreConflictError, StoreRestoredError) as error:
            # The watch brings what has been written meanwhile.
            self._report_due_at_s[service, rollout.order_id, state] = (
                self._clock() + PUBLISH_RETRY_DELAY_S
            )
            log_event(
                _LOGGER,
                "roll-out not reported",
                service=service,
                target=rollout.order.target,
                state=state.value,
                detail=error.detail,
            )
            return
        self._reported_states[service] = (rollout.order_id, state)
        log_event(
            _LOGGER,
            "roll-out reported",
            service=service,
            target=rollout.order.target,
            state=state.value,
            new=str(new),
            old=str(old),
        )

    def _report_delay_s(self, rollout: Rollout) -> float:
        """Return how long this entry delays a report, in seconds.

        The entries are in an order of their own for each rollout: the first one
        reports at once, then two, then four, and so on, if none has before.
        """
        name = self._node.identity.name
        order_id = rollout.order_id
        order = f"{rollout.order.service}\x00{order_id.era}.{order_id.revision}"
        own = rendezvous_hash(order, name)
        before = sum(
            rendezvous_hash(order, entry) > own
            for entry in self._node.entries
            if entry != name
        )
        return ((before + 1).bit_length() - 1) * REPORT_DELAY_STEP_S
