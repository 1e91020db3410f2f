"""Sends proposals to the owners of journal partitions."""

import asyncio

import aiohttp
from aiohttp import web

from cardamomnotch_core.journal.models import PartitionId
from cardamomnotch_protocol.const import PATH_JOURNAL
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalReply,
    JournalRequest,
    JournalResult,
)
from cardamomnotch_runtime.frames import async_call, async_read_frame, frame_response

from .const import NO_OWNER_RETRY_DELAY_S, PROPOSAL_TIMEOUT_S
from .exceptions import JournalUnavailableError
from .owner import PartitionOwner
from .registry import PartitionRegistry

_MAX_TRIES = 2


class JournalClient:
    """Proposes records to the partition's owner, here or at another entry."""

    def __init__(
        self, registry: PartitionRegistry, session: aiohttp.ClientSession
    ) -> None:
        self._registry = registry
        self._session = session
        self._retry_not_before_s: dict[PartitionId, float] = {}

    async def async_propose(
        self,
        partition: PartitionId,
        proposals: tuple[JournalProposal, ...],
        *,
        wait_for_commit: bool,
    ) -> tuple[JournalResult, ...]:
        """Return one result for each of ``proposals``.

        Raises JournalUnavailableError if no owner can be reached. After that,
        proposals fail without a call for NO_OWNER_RETRY_DELAY_S seconds.
        """
        now_s = asyncio.get_running_loop().time()
        if self._retry_not_before_s.get(partition, 0.0) > now_s:
            raise JournalUnavailableError(
                "the partition had no reachable owner; not trying again yet"
            )
        try:
            return await self._async_propose(partition, proposals, wait_for_commit)
        except JournalUnavailableError:
            self._retry_not_before_s[partition] = now_s + NO_OWNER_RETRY_DELAY_S
            raise

    async def _async_propose(
        self,
        partition: PartitionId,
        proposals: tuple[JournalProposal, ...],
        wait_for_commit: bool,
    ) -> tuple[JournalResult, ...]:
        for _ in range(_MAX_TRIES):
            owner = await self._registry.async_find(partition)
            if isinstance(owner, PartitionOwner):
                return await owner.async_propose(
                    proposals, wait_for_commit=wait_for_commit
                )
            results = await self._async_send(
                partition, owner, proposals, wait_for_commit
            )
            if results is not None:
                return results
            self._registry.forget_owner(partition)
        raise JournalUnavailableError("the owner of the partition is changing")

    async def _async_send(
        self,
        partition: PartitionId,
        address: str,
        proposals: tuple[JournalProposal, ...],
        wait_for_commit: bool,
    ) -> tuple[JournalResult, ...] | None:
        """Return the owner's results; None if ``address`` is not the owner."""
        message = JournalRequest(
            partition=partition.name,
            proposals=proposals,
            wait_for_commit=wait_for_commit,
        )
        url = f"http://{address}{PATH_JOURNAL}"
        try:
            reply = await async_call(
                self._session, url, message, 1.5 * PROPOSAL_TIMEOUT_S
            )
        except CardamomnotchError as error:
            self._registry.forget_owner(partition)
            raise JournalUnavailableError(error.detail) from error
        if not isinstance(reply, JournalReply) or not reply.is_owner:
            return None
        if len(reply.results) != len(proposals):
            raise JournalUnavailableError(
                "the owner's reply does not hold one result per proposal"
            )
        return reply.results


class JournalServer:
    """Accepts proposals of other entries for the partitions owned here."""

    def __init__(self, registry: PartitionRegistry) -> None:
        self._registry = registry

    def add_routes(self, app: web.Application) -> None:
        """Add the route for proposals to ``app``."""
        app.router.add_post(PATH_JOURNAL, self._async_propose)

    async def _async_propose(self, request: web.Request) -> web.Response:
        frame = await async_read_frame(request, JournalRequest)
        message = frame.message
        partition = PartitionId.from_name(message.partition)
        try:
            # The store may name this entry as owner although the store's
            # reply to the take-over was lost.
            owner = await self._registry.async_find(partition)
            if not isinstance(owner, PartitionOwner):
                self._registry.forget_owner(partition)
                return frame_response(JournalReply(is_owner=False))
            results = await owner.async_propose(
                message.proposals, wait_for_commit=message.wait_for_commit
            )
        except JournalUnavailableError:
            return web.Response(status=503)
        return frame_response(JournalReply(results=results))
