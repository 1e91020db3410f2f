"""Owns one journal partition: appends records to its log in the store."""

import asyncio
import itertools
import logging
import random
import time
from contextlib import suppress

from cardamomnotch_core.journal.codec import encode_head, encode_records
from cardamomnotch_core.journal.models import PartitionId, ResolvedProposal
from cardamomnotch_core.journal.partition import PartitionLog, PendingAppend
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.journal import JournalStore
from cardamomnotch_protocol.models import JournalProposal, JournalResult
from cardamomnotch_runtime.tasks import async_wait_until

from .const import (
    APPEND_RETRY_DELAY_S,
    FLUSH_TIMEOUT_S,
    PROPOSAL_TIMEOUT_S,
)
from .exceptions import JournalUnavailableError

_LOGGER = logging.getLogger(__name__)


class PartitionOwner:
    """Accepts proposals for one partition and appends them to its log."""

    def __init__(
        self,
        partition: PartitionId,
        log: PartitionLog,
        store: JournalStore,
        checkpoint_revision: int,
        random_source: random.Random,
    ) -> None:
        self._partition = partition
        self._log = log
        self._store = store
        self._checkpoint_revision = checkpoint_revision
        self._random = random_source
        self._proposal_ids = itertools.count(1)
        self._pending_commits: dict[int, asyncio.Future[JournalResult]] = {}
        self._work_available = asyncio.Event()

    @property
    def is_lost(self) -> bool:
        """Return whether another entry owns the partition now."""
        return self._log.is_lost

    @property
    def log(self) -> PartitionLog:
        """Return the partition's log, for diagnostics."""
        return self._log

    async def async_propose(
        self, proposals: tuple[JournalProposal, ...], *, wait_for_commit: bool
    ) -> tuple[JournalResult, ...]:
        """Return one result for each of ``proposals``.

        Raises JournalUnavailableError if a commit takes longer than
        PROPOSAL_TIMEOUT_S seconds.
        """
        results = [self._propose(proposal, wait_for_commit) for proposal in proposals]
        self._work_available.set()
        waiting = [item for item in results if isinstance(item, asyncio.Future)]
        if waiting:
            await asyncio.wait(waiting, timeout=PROPOSAL_TIMEOUT_S)
        return tuple(_commit_result(item) for item in results)

    def _propose(
        self, proposal: JournalProposal, wait_for_commit: bool
    ) -> JournalResult | asyncio.Future[JournalResult]:
        proposal_id = next(self._proposal_ids)
        result = self._log.propose(proposal, proposal_id, time.time())
        if result.committed or result.record is None or not wait_for_commit:
            return result
        future = asyncio.get_running_loop().create_future()
        self._pending_commits[proposal_id] = future
        return future

    async def async_run(self) -> None:
        """Append records to the log until ownership is lost."""
        while not self._log.is_lost:
            pending = self._log.next_append(time.monotonic())
            if pending is not None:
                await self._async_append(pending)
            elif self._log.has_work:
                await self._async_wait_for_work(self._log.due_at_s - time.monotonic())
            else:
                await self._async_wait_for_work(None)

    async def _async_wait_for_work(self, timeout_s: float | None) -> None:
        """Wait for a proposal, at most ``timeout_s`` seconds."""
        self._work_available.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._work_available.wait()

    async def async_flush(self) -> None:
        """Wait until all records are appended or ownership is lost.

        Waits at most FLUSH_TIMEOUT_S seconds.
        """
        await async_wait_until(
            lambda: self._log.is_lost or not self._log.has_work, FLUSH_TIMEOUT_S
        )

    async def _async_append(self, pending: PendingAppend) -> None:
        try:
            is_owner = await self._store.async_append(
                self._partition.name, pending.sequence, pending.value
            )
        except StoreError as error:
            self._log_append_failure(error)
            self._resolve(self._log.record_append_failure())
            await asyncio.sleep(self._random.uniform(0.1, 1.0) * APPEND_RETRY_DELAY_S)
            return
        if not is_owner:
            self.record_ownership_loss()
            return
        self._resolve(self._log.record_commit())
        if self._log.checkpoint_is_due:
            await self._async_checkpoint()

    def _log_append_failure(self, error: StoreError) -> None:
        if not self._log.is_failing:
            _LOGGER.warning(
                "partition %s: append to the journal failed; retrying: %s",
                self._partition.name,
                error,
            )

    def record_ownership_loss(self) -> None:
        """Stop owning the partition; pending proposals end as uncertain."""
        if not self._log.is_lost:
            _LOGGER.info("partition %s: ownership lost", self._partition.name)
        self._resolve(self._log.record_ownership_loss())
        self._work_available.set()

    async def _async_checkpoint(self) -> None:
        checkpoint = self._log.make_checkpoint(time.time())
        chunks = encode_records(checkpoint)
        head = encode_head(checkpoint, len(chunks))
        name, sequence = self._partition.name, checkpoint.sequence
        try:
            revision = await self._store.async_write_checkpoint(
                name, sequence, head, chunks, self._checkpoint_revision
            )
            if not revision:
                self.record_ownership_loss()
                return
            self._checkpoint_revision = revision
            size = len(head) + sum(len(chunk) for chunk in chunks)
            self._log.record_checkpoint(size)
            await self._store.async_delete_before(name, sequence)
        except StoreError as error:
            _LOGGER.debug("partition %s: cannot write a checkpoint: %s", name, error)

    def _resolve(self, resolved: list[ResolvedProposal]) -> None:
        for item in resolved:
            future = self._pending_commits.pop(item.proposal_id, None)
            if future is not None and not future.done():
                future.set_result(item.result)


def _commit_result(
    item: JournalResult | asyncio.Future[JournalResult],
) -> JournalResult:
    if isinstance(item, JournalResult):
        return item
    if not item.done():
        raise JournalUnavailableError("commit of a record timed out")
    return item.result()
