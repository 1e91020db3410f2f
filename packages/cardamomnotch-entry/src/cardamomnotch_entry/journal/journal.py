"""Connects the journal components of one entry."""

import asyncio
import random
from contextlib import suppress
from typing import Any

import aiohttp
from aiohttp import web

from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup, async_wait_until

from ..caller.server import CallerServer
from .claim_handler import ClaimHandler
from .client import JournalClient, JournalServer
from .const import FLUSH_TIMEOUT_S, OWNER_LEASE_RENEWAL_INTERVAL_S
from .outcome_forwarder import OutcomeForwarder
from .registry import PartitionRegistry


class Journal:
    """Owns partitions, claims requests and records outcomes."""

    def __init__(
        self,
        *,
        store: StoreClient,
        address: str,
        runner: NodeRunner,
        callers: CallerServer,
        session: aiohttp.ClientSession,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._tasks = tasks
        self._registry = PartitionRegistry(store, address, tasks, random_source)
        client = JournalClient(self._registry, session)
        ClaimHandler(client, runner, tasks)
        self._server = JournalServer(self._registry)
        self._outcome_forwarder = OutcomeForwarder(
            client=client,
            runner=runner,
            callers=callers,
            session=session,
            tasks=tasks,
            random_source=random_source,
        )
        callers.before_completion = (
            self._outcome_forwarder.async_wait_for_acknowledgement
        )

    @property
    def outcomes_held(self) -> int:
        """Return the number of outcomes that are not committed yet."""
        return self._outcome_forwarder.buffered_count

    def add_routes(self, app: web.Application) -> None:
        """Add the routes for other entries to ``app``."""
        self._server.add_routes(app)

    def start(self) -> None:
        """Start to renew the lease of the partitions that this entry owns."""
        self._tasks.repeat(
            lambda: OWNER_LEASE_RENEWAL_INTERVAL_S, self._registry.async_renew_lease
        )

    def diagnostics(self) -> dict[str, Any]:
        """Return the journal's part of the state dump."""
        return {
            "partitions": self._registry.diagnostics(),
            "outcomes": self._outcome_forwarder.diagnostics(),
        }

    async def async_unload(self) -> None:
        """Wait for outcomes to be committed, then release the partitions.

        Both waits are limited by FLUSH_TIMEOUT_S.
        """
        await async_wait_until(
            lambda: not self._outcome_forwarder.buffered_count, FLUSH_TIMEOUT_S
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._registry.async_unload()
