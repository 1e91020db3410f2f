"""Holds outcomes until the journal has committed them."""

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
    APPEND_RETRY_S,
    COMMIT_CHECK_S,
    MAX_HELD_OUTCOMES,
    PROPOSAL_TIMEOUT_S,
    RECEIPT_WAIT_S,
)
from .exceptions import JournalUnavailableError

_LOGGER = logging.getLogger(__name__)


@attrs.define
class _Held:
    record: JournalRecord
    since_s: float
    address: str
    received: asyncio.Event = attrs.field(factory=asyncio.Event)


class OutcomeKeeper:
    """Brings outcomes to their partitions, again until they are committed."""

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
        self._held: dict[PartitionId, dict[str, _Held]] = {}
        self._by_request: dict[str, _Held] = {}
        self._active: set[PartitionId] = set()
        self._count = 0
        self.dropped = 0
        self.expired = 0
        runner.register(actions.RecordOutcome, self._record)
        runner.register(actions.FetchOutcomes, self._fetch)

    @property
    def held(self) -> int:
        """Return how many outcomes are not committed yet."""
        return self._count

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {"held": self._count, "dropped": self.dropped, "expired": self.expired}

    async def async_wait_for_receipt(self, request_id: str) -> None:
        """Wait until the owner has the request's outcome, for a bounded time."""
        held = self._by_request.pop(request_id, None)
        if held is None:
            return
        try:
            async with asyncio.timeout(RECEIPT_WAIT_S):
                await held.received.wait()
        except TimeoutError:
            # This entry and the sidecar hold it meanwhile.
            return

    def _record(self, action: actions.RecordOutcome) -> None:
        record = action.record
        exchange = self._callers.exchange(action.request_id)
        if not action.idempotent and exchange is not None:
            record = with_answer(
                record, exchange.status, exchange.content_type, exchange.answer
            )
        now_s = asyncio.get_running_loop().time()
        held = self._hold(record, now_s, action.address, idempotent=action.idempotent)
        if held is not None and exchange is not None:
            self._by_request[action.request_id] = held

    def _hold(
        self, record: JournalRecord, since_s: float, address: str, *, idempotent: bool
    ) -> _Held | None:
        if self._count >= MAX_HELD_OUTCOMES:
            # The sidecar's copy is brought once the journal takes some again.
            self.dropped += 1
            return None
        partition = partition_of_record(record, idempotent=idempotent)
        held = self._held.setdefault(partition, {})
        if record.attempt_id in held:
            return held[record.attempt_id]
        item = held[record.attempt_id] = _Held(record, since_s, address)
        self._count += 1
        if partition not in self._active:
            self._active.add(partition)
            self._tasks.start(self._async_bring(partition))
        return item

    async def _async_bring(self, partition: PartitionId) -> None:
        """Propose what is held for ``partition`` until nothing is left."""
        held = self._held[partition]
        try:
            while held:
                fresh = [item for item in held.values() if not item.received.is_set()]
                if not fresh:
                    await asyncio.sleep(COMMIT_CHECK_S)
                await self._async_propose(partition, fresh or list(held.values()))
        finally:
            self._active.discard(partition)

    async def _async_propose(self, partition: PartitionId, items: list[_Held]) -> None:
        now_s = asyncio.get_running_loop().time()
        proposals = first_batch(
            JournalProposal(record=item.record, age_s=now_s - item.since_s)
            for item in items
        )
        try:
            results = await self._client.async_propose(
                partition, proposals, wait_for_commit=False
            )
        except JournalUnavailableError:
            for item in items:
                # A new owner has no receipt that the former one gave.
                item.received.clear()
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * APPEND_RETRY_S)
            return
        for item, result in zip(items, results, strict=False):
            self._take_result(partition, item, result)
        if all(result.outcome == ProposalOutcome.UNAVAILABLE for result in results):
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * APPEND_RETRY_S)

    def _take_result(
        self, partition: PartitionId, item: _Held, result: JournalResult
    ) -> None:
        if result.outcome == ProposalOutcome.UNAVAILABLE:
            return
        item.received.set()
        expired = result.outcome == ProposalOutcome.EXPIRED
        if expired:
            self.expired += 1
            _LOGGER.error(
                "outcome of attempt %s came after its key was forgotten;"
                " it is not billed again",
                item.record.attempt_id,
            )
        if not (result.committed or expired):
            return
        del self._held[partition][item.record.attempt_id]
        self._count -= 1
        if item.address:
            self._tasks.start(self._async_confirm(item))

    async def _async_confirm(self, item: _Held) -> None:
        url = f"http://{item.address}{PATH_OUTCOMES}"
        message = OutcomesCommitted(attempt_ids=(item.record.attempt_id,))
        try:
            await async_call(self._session, url, message, PROPOSAL_TIMEOUT_S)
        except CardamomnotchError as error:
            # The sidecar hands it out again, and the journal knows it.
            _LOGGER.debug("commit not confirmed: %s", error)

    def _fetch(self, action: actions.FetchOutcomes) -> None:
        self._tasks.start(self._async_fetch(action.address))

    async def _async_fetch(self, address: str) -> None:
        url = f"http://{address}{PATH_OUTCOMES}"
        try:
            reply = await async_fetch(self._session, url, PROPOSAL_TIMEOUT_S)
        except CardamomnotchError as error:
            _LOGGER.debug("outcomes not fetched: %s", error)
            return
        if not isinstance(reply, Outcomes):
            return
        now_s = asyncio.get_running_loop().time()
        for proposal in reply.proposals:
            # Outcomes of calls that may not be repeated carry a fingerprint.
            self._hold(
                proposal.record,
                now_s - proposal.age_s,
                address,
                idempotent=not proposal.record.fingerprint,
            )
