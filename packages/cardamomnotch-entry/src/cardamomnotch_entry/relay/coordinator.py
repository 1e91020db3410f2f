"""Follows the store, and tells it what this entry has seen."""

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable

from cardamomnotch_core.relay.changes import (
    Change,
    DocumentWritten,
    EntryRecord,
    EntryReported,
)
from cardamomnotch_core.relay.models import RouteDocument
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_core.relay.rollout import Rollout, RolloutState
from cardamomnotch_platform.exceptions import (
    HistoryLostError,
    StoreConflictError,
    StoreError,
)
from cardamomnotch_runtime.structured_log import log_event

from .const import (
    MAX_WATCH_PAUSE_S,
    MIN_WATCH_PAUSE_S,
    PUBLISH_RETRY_S,
    RECORD_INTERVAL_S,
    RECORD_RENEWAL_S,
    RECORD_TTL_S,
    RECORD_URGENT_S,
    REPORT_STAGGER_S,
    STORE_OUTAGE_S,
    STORE_RETRY_S,
    WATCH_PAUSE_PER_ENTRY_S,
    WATCH_WAIT_S,
    WATCHES_IN_MAX_AGE,
)
from .feed import StoreFeed
from .route_difference import describe_difference

_LOGGER = logging.getLogger(__name__)


class StoreCoordinator:
    """One watch on everything, one record, and the reports on roll-outs."""

    def __init__(
        self, node: RelayNode, feed: StoreFeed, clock: Callable[[], float]
    ) -> None:
        self._node = node
        self._feed = feed
        self._clock = clock
        self._cursor: int | None = None
        self._reached_at_s: float | None = None
        self._available = False
        self._record: EntryRecord | None = None
        self._written_at_s = -math.inf
        self._kept_at_s = -math.inf
        self._publish_after_s = -math.inf
        self._unwritten = False
        self._states: dict[str, tuple[int, RolloutState]] = {}
        self._due_at_s: dict[tuple[str, int, RolloutState], float] = {}

    async def async_follow(self) -> None:
        """Take over what has changed; called again and again."""
        asked_at_s = self._clock()
        whole = self._cursor is None
        try:
            if whole:
                found, cursor = await self._feed.async_read_all()
            else:
                found, cursor = await self._feed.async_wait(
                    self._cursor, self._watch_wait_s
                )
        except HistoryLostError:
            log_event(_LOGGER, "store history lost", cursor=self._cursor)
            self._cursor = None
            return
        except StoreError as error:
            self._note_unavailable(error)
            await asyncio.sleep(STORE_RETRY_S)
            return
        now_s = self._clock()
        self._note_available(now_s)
        self._cursor = cursor
        before = self._node.routes.document
        if whole:
            self._node.apply_listing(found, now_s)
            self._log_listing(found, cursor)
            self._log_routes(before)
        else:
            for change in found:
                self._node.apply(change, now_s)
            self._log_changes(found)
            self._log_routes(before)
        self._node.routes.confirm(asked_at_s)
        if found:
            await asyncio.sleep(self._watch_pause_s)

    @property
    def _watch_pause_s(self) -> float:
        """Return how long to let changes gather."""
        pause_s = WATCH_PAUSE_PER_ENTRY_S * len(self._node.entries)
        return min(MAX_WATCH_PAUSE_S, max(MIN_WATCH_PAUSE_S, pause_s))

    @property
    def _watch_wait_s(self) -> float:
        """Return how long to wait for a change.

        Knowledge ages while a watch waits, so several fit its greatest age. A
        store that was away is asked for an answer at once: a silent call then
        ends soon, and its return is noticed soon.
        """
        if not self._available:
            return 0.0
        max_age_s = self._node.limits.document_max_age_s
        return min(WATCH_WAIT_S, max_age_s / WATCHES_IN_MAX_AGE)

    async def async_publish(self) -> None:
        """Write this entry's record and due reports; called again and again.

        After a failure it pauses, since refused calls count as well.
        """
        now_s = self._clock()
        if now_s < self._publish_after_s:
            return
        try:
            await self._async_publish_record()
            for rollout in self._node.versions.rollouts:
                await self._async_report(rollout)
        except StoreConflictError:
            return
        except StoreError as error:
            self._publish_after_s = self._clock() + PUBLISH_RETRY_S
            self._note_unwritten(error)
            return
        if self._unwritten:
            self._unwritten = False
            log_event(_LOGGER, "record is written again")

    async def async_unload(self) -> None:
        """Take this entry's record back."""
        try:
            await self._feed.async_drop_record()
        except StoreError as error:
            log_event(_LOGGER, "record not dropped", detail=error.detail)

    def _log_listing(self, found: list[Change], cursor: int) -> None:
        kinds = Counter(type(change).__name__ for change in found)
        log_event(
            _LOGGER,
            "store read",
            cursor=cursor,
            version=self._node.routes.version,
            found=dict(kinds),
        )

    def _log_changes(self, found: list[Change]) -> None:
        for change in found:
            match change:
                case EntryReported() | DocumentWritten():
                    continue
                case _:
                    kind = type(change).__name__
                    log_event(_LOGGER, "store change", kind=kind, change=str(change))

    def _log_routes(self, before: RouteDocument | None) -> None:
        """Log what has changed with the version that is now in force."""
        document = self._node.routes.document
        if document is None or document is before:
            return
        log_event(
            _LOGGER,
            "routes in force",
            version=document.version,
            before=before.version if before else 0,
            **(describe_difference(before, document) if before else {}),
        )

    def _note_available(self, now_s: float) -> None:
        reached_at_s = self._reached_at_s
        if reached_at_s is not None and now_s - reached_at_s > (
            WATCH_WAIT_S + STORE_OUTAGE_S
        ):
            self._node.fleet.record_store_returned(now_s)
        self._reached_at_s = now_s
        if not self._available:
            self._available = True
            log_event(_LOGGER, "store is available")

    def _note_unavailable(self, error: StoreError) -> None:
        if self._available:
            self._available = False
            log_event(
                _LOGGER, "store is unavailable", logging.WARNING, detail=error.detail
            )

    def _note_unwritten(self, error: StoreError) -> None:
        if not self._unwritten:
            self._unwritten = True
            log_event(
                _LOGGER, "record is not written", logging.WARNING, detail=error.detail
            )

    async def _async_publish_record(self) -> None:
        now_s = self._clock()
        record = self._node.record(now_s)
        if now_s - self._written_at_s >= self._record_wait_s(record):
            await self._feed.async_write_record(record, RECORD_TTL_S)
            self._record = record
            self._written_at_s = now_s
        if now_s - self._kept_at_s >= RECORD_RENEWAL_S:
            if not await self._feed.async_keep_record():
                self._record = None
            self._kept_at_s = now_s

    def _record_wait_s(self, record: EntryRecord) -> float:
        """Return the least time between the last write and one of ``record``.

        Each write wakes every entry, so only what may change a decision is
        written soon.
        """
        if self._record is None or record.is_urgent_after(self._record):
            return RECORD_URGENT_S
        return RECORD_INTERVAL_S if record != self._record else math.inf

    async def _async_report(self, rollout: Rollout) -> None:
        now_s = self._clock()
        state = rollout.next_state(now_s)
        service = rollout.order.service
        known = self._states.get(service)
        if known == (rollout.order_id, state) or rollout.state is state is not (
            RolloutState.IN_PROGRESS
        ):
            return
        due_at_s = self._due_at_s.setdefault(
            (service, rollout.order_id, state), now_s + self._stagger_s()
        )
        if now_s < due_at_s:
            return
        new, old = rollout.combined_stats()
        await self._feed.async_report_rollout(rollout, state)
        self._states[service] = (rollout.order_id, state)
        log_event(
            _LOGGER,
            "roll-out reported",
            service=service,
            target=rollout.order.target,
            state=state.value,
            new=str(new),
            old=str(old),
        )

    def _stagger_s(self) -> float:
        """Return how long to leave a report to the entries before this one."""
        entries = self._node.entries
        return entries.index(self._node.identity.name) * REPORT_STAGGER_S
