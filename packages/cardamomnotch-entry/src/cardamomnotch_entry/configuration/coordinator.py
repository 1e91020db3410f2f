"""Writes the configuration changes that this entry decides on."""

import asyncio
import logging
import random

from cardamomnotch_core.nodes import actions
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.budget import BackOff
from cardamomnotch_platform.store.configuration import RevisionConflictError
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from .writer import async_apply_change

_LOGGER = logging.getLogger(__name__)
_FIRST_RETRY_DELAY_S = 0.2
_MAX_RETRY_DELAY_S = 5.0


class ConfigurationChangeCoordinator:
    """Handles ``ChangeConfiguration``; retries if the store is unavailable."""

    def __init__(
        self,
        store: KeyValueStore,
        runner: NodeRunner,
        tasks: TaskGroup,
        random_source: random.Random,
    ) -> None:
        self._store = store
        self._tasks = tasks
        self._random = random_source
        runner.register(actions.ChangeConfiguration, self._start_write)

    def _start_write(self, action: actions.ChangeConfiguration) -> None:
        self._tasks.start(self._async_write(action))

    async def _async_write(self, action: actions.ChangeConfiguration) -> None:
        back_off = BackOff(_FIRST_RETRY_DELAY_S, _MAX_RETRY_DELAY_S, self._random)
        while True:
            try:
                revision = await async_apply_change(self._store, action.change)
            except (StoreError, RevisionConflictError):
                await asyncio.sleep(back_off.next_delay_s())
                continue
            except CardamomnotchError as error:
                _LOGGER.error("configuration change rejected: %s", error)
                return
            _LOGGER.info(
                "configuration revision %d accepted: %s", revision, action.reason
            )
            return
