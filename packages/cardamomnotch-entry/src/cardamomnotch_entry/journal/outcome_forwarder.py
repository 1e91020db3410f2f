"""Forwards outcomes to the journal until it has committed them."""

import asyncio
import logging
import random
from typing import Any

import aiohttp
import attrs

from cardamomnotch_core.journal.batches import first_batch
from cardamomnotch_core.journal.models import PartitionId, ProposalOutcome
from cardamomnotch_core.journal.outcomes import partition_of_record, with_answer
from cardamomnotch_core.nodes import actions
from cardamomnotch_protocol.const import PATH_OUTCOMES
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalRecord,
    JournalResult,
    Outcomes,
    OutcomesCommitted,
)
from cardamomnotch_runtime.frames import async_call, async_fetch
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..caller.server import CallerServer
from .client import JournalClient
from .const import (
    ACKNOWLEDGEMENT_TIMEOUT_S,
    APPEND_RETRY_DELAY_S,
    COMMIT_CHECK_INTERVAL_S,
    MAX_BUFFERED_OUTCOMES,
    PROPOSAL_TIMEOUT_S,
)
from .exceptions import JournalUnavailableError

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _BufferedOutcome:
    """An outcome that is not committed yet.

    ``address`` is the sidecar to notify of the commit, if not empty.
    """

    record: JournalRecord
    recorded_at_s: float
    address: str
    acknowledged: asyncio.Event = attrs.field(factory=asyncio.Event)


class OutcomeForwarder:
    """Proposes outcomes to their partitions until they are committed."""

    def __init__(
        self,
        *,
        client: JournalClient,
        runner: NodeRunner,
        callers: CallerServer,
        session: aiohttp.ClientSession,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._client = client
        self._callers = callers
        self._session = session
        self._tasks = tasks
        self._random = random_source
        self._buffered: dict[PartitionId, dict[str, _BufferedOutcome]] = {}
        self._by_request_id: dict[str, _BufferedOutcome] = {}
        self._forwarding_partitions: set[PartitionId] = set()
        self._buffered_count = 0
        self.dropped = 0
        self.expired = 0
        runner.register(actions.RecordOutcome, self._record)
        runner.register(actions.FetchOutcomes, self._fetch)

    @property
    def buffered_count(self) -> int:
        """Return the number of outcomes that are not committed yet."""
        return self._buffered_count

    def diagnostics(self) -> dict[str, Any]:
        """Return the outcome counts for the state dump."""
        return {
            "held": self._buffered_count,
            "dropped": self.dropped,
            "expired": self.expired,
        }

    async def async_wait_for_acknowledgement(self, request_id: str) -> None:
        """Wait until the partition's owner acknowledges the request's outcome.

        Waits at most ACKNOWLEDGEMENT_TIMEOUT_S seconds.
        """
        outcome = self._by_request_id.pop(request_id, None)
        if outcome is None:
            return
        try:
            async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
                await outcome.acknowledged.wait()
        except TimeoutError:
            # This entry and the sidecar both keep the outcome buffered.
            return

    def _record(self, action: actions.RecordOutcome) -> None:
        record = action.record
        exchange = self._callers.exchange(action.request_id)
        if not action.idempotent and exchange is not None:
            record = with_answer(
                record, exchange.status, exchange.content_type, exchange.answer
            )
        now_s = asyncio.get_running_loop().time()
        outcome = self._buffer(
            record, now_s, action.address, idempotent=action.idempotent
        )
        if outcome is not None and exchange is not None:
            self._by_request_id[action.request_id] = outcome

    def _buffer(
        self,
        record: JournalRecord,
        recorded_at_s: float,
        address: str,
        *,
        idempotent: bool,
    ) -> _BufferedOutcome | None:
        if self._buffered_count >= MAX_BUFFERED_OUTCOMES:
            # The sidecar keeps a copy, which is forwarded once the journal
            # accepts outcomes again.
            self.dropped += 1
            return None
        partition = partition_of_record(record, idempotent=idempotent)
        buffered = self._buffered.setdefault(partition, {})
        if record.attempt_id in buffered:
            return buffered[record.attempt_id]
        item = buffered[record.attempt_id] = _BufferedOutcome(
            record, recorded_at_s, address
        )
        self._buffered_count += 1
        if partition not in self._forwarding_partitions:
            self._forwarding_partitions.add(partition)
            self._tasks.start(self._async_forward(partition))
        return item

    async def _async_forward(self, partition: PartitionId) -> None:
        """Propose the outcomes of ``partition`` until all are committed."""
        buffered = self._buffered[partition]
        try:
            while buffered:
                unacknowledged = [
                    item for item in buffered.values() if not item.acknowledged.is_set()
                ]
                if not unacknowledged:
                    await asyncio.sleep(COMMIT_CHECK_INTERVAL_S)
                await self._async_propose(
                    partition, unacknowledged or list(buffered.values())
                )
        finally:
            self._forwarding_partitions.discard(partition)

    async def _async_propose(
        self, partition: PartitionId, items: list[_BufferedOutcome]
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        proposals = first_batch(
            JournalProposal(record=item.record, age_s=now_s - item.recorded_at_s)
            for item in items
        )
        try:
            results = await self._client.async_propose(
                partition, proposals, wait_for_commit=False
            )
        except JournalUnavailableError:
            for item in items:
                # A new owner may not have the outcomes that the former owner
                # acknowledged.
                item.acknowledged.clear()
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * APPEND_RETRY_DELAY_S)
            return
        for item, result in zip(items, results, strict=False):
            self._process_result(partition, item, result)
        if all(result.outcome == ProposalOutcome.UNAVAILABLE for result in results):
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * APPEND_RETRY_DELAY_S)

    def _process_result(
        self, partition: PartitionId, item: _BufferedOutcome, result: JournalResult
    ) -> None:
        if result.outcome == ProposalOutcome.UNAVAILABLE:
            return
        item.acknowledged.set()
        expired = result.outcome == ProposalOutcome.EXPIRED
        if expired:
            self.expired += 1
            _LOGGER.error(
                "outcome of attempt %s arrived after its journal key expired;"
                " it is dropped without being billed again",
                item.record.attempt_id,
            )
        if not (result.committed or expired):
            return
        del self._buffered[partition][item.record.attempt_id]
        self._buffered_count -= 1
        if item.address:
            self._tasks.start(self._async_confirm(item))

    async def _async_confirm(self, item: _BufferedOutcome) -> None:
        url = f"http://{item.address}{PATH_OUTCOMES}"
        message = OutcomesCommitted(attempt_ids=(item.record.attempt_id,))
        try:
            await async_call(self._session, url, message, PROPOSAL_TIMEOUT_S)
        except CardamomnotchError as error:
            # The sidecar sends the outcome again; the journal already has it.
            _LOGGER.debug(
                "cannot confirm a committed outcome to its sidecar: %s", error
            )

    def _fetch(self, action: actions.FetchOutcomes) -> None:
        self._tasks.start(self._async_fetch(action.address))

    async def _async_fetch(self, address: str) -> None:
        url = f"http://{address}{PATH_OUTCOMES}"
        try:
            reply = await async_fetch(self._session, url, PROPOSAL_TIMEOUT_S)
        except CardamomnotchError as error:
            _LOGGER.debug("cannot fetch outcomes from a sidecar: %s", error)
            return
        if not isinstance(reply, Outcomes):
            return
        now_s = asyncio.get_running_loop().time()
        for proposal in reply.proposals:
            # Only outcomes of non-idempotent calls have a fingerprint.
            self._buffer(
                proposal.record,
                now_s - proposal.age_s,
                address,
                idempotent=not proposal.record.fingerprint,
            )
