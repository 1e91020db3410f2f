"""One partition that this entry owns."""

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
    APPEND_RETRY_S,
    FLUSH_S,
    PROPOSAL_TIMEOUT_S,
)
from .exceptions import JournalUnavailableError

_LOGGER = logging.getLogger(__name__)


class PartitionOwner:
    """Takes proposals for one partition and appends them to its log."""

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
        self._tickets = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[JournalResult]] = {}
        self._work = asyncio.Event()

    @property
    def is_lost(self) -> bool:
        """Return whether another entry owns the partition now."""
        return self._log.is_lost

    @property
    def log(self) -> PartitionLog:
        """Return the log, for diagnostics."""
        return self._log

    async def async_propose(
        self, proposals: tuple[JournalProposal, ...], *, wait_for_commit: bool
    ) -> tuple[JournalResult, ...]:
        """Return what became of ``proposals``.

        Raises JournalUnavailableError if their commit takes too long.
        """
        results = [self._propose(proposal, wait_for_commit) for proposal in proposals]
        self._work.set()
        waiting = [item for item in results if isinstance(item, asyncio.Future)]
        if waiting:
            await asyncio.wait(waiting, timeout=PROPOSAL_TIMEOUT_S)
        return tuple(_result_of(item) for item in results)

    def _propose(
        self, proposal: JournalProposal, wait_for_commit: bool
    ) -> JournalResult | asyncio.Future[JournalResult]:
        proposal_id = next(self._tickets)
        result = self._log.propose(proposal, proposal_id, time.time())
        if result.committed or result.record is None or not wait_for_commit:
            return result
        future = asyncio.get_running_loop().create_future()
        self._waiting[proposal_id] = future
        return future

    async def async_run(self) -> None:
        """Append until the partition is lost."""
        while not self._log.is_lost:
            pending = self._log.next_append(time.monotonic())
            if pending is not None:
                await self._async_put(pending)
            elif self._log.has_work:
                await self._async_wait(self._log.due_at_s - time.monotonic())
            else:
                await self._async_wait(None)

    async def _async_wait(self, timeout_s: float | None) -> None:
        """Wait for a proposal, at most ``timeout_s``."""
        self._work.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._work.wait()

    async def async_flush(self) -> None:
        """Wait until nothing is left to append."""
        await async_wait_until(
            lambda: self._log.is_lost or not self._log.has_work, FLUSH_S
        )

    async def _async_put(self, pending: PendingAppend) -> None:
        try:
            holds = await self._store.async_append(
                self._partition.name, pending.sequence, pending.value
            )
        except StoreError as error:
            self._note_failure(error)
            self._settle(self._log.record_append_failure())
            await asyncio.sleep(self._random.uniform(0.1, 1.0) * APPEND_RETRY_S)
            return
        if not holds:
            self.lose()
            return
        self._settle(self._log.record_commit())
        if self._log.checkpoint_is_due:
            await self._async_checkpoint()

    def _note_failure(self, error: StoreError) -> None:
        if not self._log.is_failing:
            _LOGGER.warning("partition %s: %s", self._partition.name, error)

    def lose(self) -> None:
        """Stop owning; whoever waits is told that nothing is certain."""
        if not self._log.is_lost:
            _LOGGER.info("partition %s lost", self._partition.name)
        self._settle(self._log.record_ownership_loss())
        self._work.set()

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
                self.lose()
                return
            self._checkpoint_revision = revision
            size = len(head) + sum(len(chunk) for chunk in chunks)
            self._log.record_checkpoint(size)
            await self._store.async_delete_before(name, sequence)
        except StoreError as error:
            _LOGGER.debug("partition %s: no checkpoint: %s", name, error)

    def _settle(self, settled: list[ResolvedProposal]) -> None:
        for item in settled:
            future = self._waiting.pop(item.proposal_id, None)
            if future is not None and not future.done():
                future.set_result(item.result)


def _result_of(item: JournalResult | asyncio.Future[JournalResult]) -> JournalResult:
    if isinstance(item, JournalResult):
        return item
    if not item.done():
        raise JournalUnavailableError("the store is slow")
    return item.result()
