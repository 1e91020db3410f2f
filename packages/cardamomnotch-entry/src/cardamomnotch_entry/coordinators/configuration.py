"""Watches the configuration in the store."""

import asyncio
import logging
import math
import random
from collections.abc import Callable

from cardamomnotch_core.configuration.document import record_from_message
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.budget import BackOff
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.configuration import (
    CONFIGURATION_KEY,
    StoredConfiguration,
    async_read_configuration,
    decode_stored_configuration,
)
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..const import (
    MAX_WATCH_RETRY_DELAY_S,
    MIN_WATCH_S,
    WATCH_RENEWAL_INTERVAL_S,
    WATCH_RETRY_DELAY_S,
)

_LOGGER = logging.getLogger(__name__)


class ConfigurationCoordinator:
    """Reads the configuration, then watches it for changes."""

    def __init__(
        self,
        store: StoreClient,
        runner: NodeRunner,
        random_source: random.Random,
        *,
        holder: ConfigurationHolder,
        tasks: TaskGroup,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._runner = runner
        self._random = random_source
        self._holder = holder
        self._tasks = tasks
        self._clock = clock
        self._store_available = True
        self._back_off = BackOff(
            WATCH_RETRY_DELAY_S, MAX_WATCH_RETRY_DELAY_S, random_source
        )
        runner.register(actions.RefreshConfiguration, self._refresh)

    async def async_read_and_watch(self) -> None:
        """Read the configuration, then watch it until the watch is renewed."""
        watched_from_s = math.inf
        try:
            stored = await self._async_read()
            watched_from_s = self._clock()
            async with asyncio.timeout(self._jittered(WATCH_RENEWAL_INTERVAL_S)):
                await self._async_watch(stored.mod_revision + 1)
        except TimeoutError:
            self._back_off.reset()
            return
        except StoreError:
            self._log_store_availability(available=False)
            self._runner.dispatch(events.StoreUnreachable())
        if self._clock() - watched_from_s >= MIN_WATCH_S:
            self._back_off.reset()
        # Also waits after the store has closed the watch: a restart of the
        # store closes the watches of all entries, which must not all
        # reconnect at once.
        await asyncio.sleep(self._back_off.next_delay_s())

    async def _async_read(self) -> StoredConfiguration:
        revision_when_asked, asked_at_s = self._holder.revision, self._clock()
        stored = await async_read_configuration(self._store)
        self._log_store_availability(available=True)
        self._runner.dispatch(
            events.StoreAnswered(
                revision=stored.message.revision if stored.message else 0,
                revision_when_asked=revision_when_asked,
                asked_at_s=asked_at_s,
            )
        )
        self._offer_configuration(stored)
        return stored

    def _refresh(self, action: actions.RefreshConfiguration) -> None:
        self._tasks.start(self._async_refresh())

    async def _async_refresh(self) -> None:
        try:
            await self._async_read()
        except StoreError:
            self._runner.dispatch(events.StoreUnreachable())

    async def _async_watch(self, from_revision: int) -> None:
        async for entry in self._store.async_watch(CONFIGURATION_KEY, from_revision):
            self._offer_configuration(decode_stored_configuration(entry))

    def _offer_configuration(self, stored: StoredConfiguration) -> None:
        if stored.message is None:
            return
        try:
            record = record_from_message(stored.message)
        except CardamomnotchError as error:
            _LOGGER.error("invalid configuration in the store ignored: %s", error)
            return
        self._runner.dispatch(
            events.ConfigurationOffered(record=record, source="the store")
        )

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(0.8, 1.2)

    def _log_store_availability(self, *, available: bool) -> None:
        if available == self._store_available:
            return
        self._store_available = available
        _LOGGER.warning("store %s", "available again" if available else "unavailable")
