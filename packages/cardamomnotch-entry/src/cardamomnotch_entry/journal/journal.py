"""The parts of the journal at one entry, wired."""

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
from .claims import ClaimPerformer
from .client import JournalClient, JournalServer
from .const import FLUSH_S, OWNER_RENEWAL_S
from .outcomes import OutcomeKeeper
from .registry import PartitionRegistry


class Journal:
    """Owns partitions, claims requests and keeps outcomes."""

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
        ClaimPerformer(client, runner, tasks)
        self._server = JournalServer(self._registry)
        self._keeper = OutcomeKeeper(
            client=client,
            runner=runner,
            callers=callers,
            session=session,
            tasks=tasks,
            random_source=random_source,
        )
        callers.before_last_byte = self._keeper.async_wait_for_receipt

    @property
    def outcomes_held(self) -> int:
        """Return how many outcomes are not committed yet."""
        return self._keeper.held

    def add_routes(self, app: web.Application) -> None:
        """Serve other entries."""
        self._server.add_routes(app)

    def start(self) -> None:
        """Keep the lease of the partitions that this entry owns."""
        self._tasks.repeat(lambda: OWNER_RENEWAL_S, self._registry.async_renew)

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "partitions": self._registry.diagnostics(),
            "outcomes": self._keeper.diagnostics(),
        }

    async def async_unload(self) -> None:
        """Bring on what is held, and give partitions to others at once."""
        await async_wait_until(lambda: not self._keeper.held, FLUSH_S)
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_S):
                await self._registry.async_unload()
