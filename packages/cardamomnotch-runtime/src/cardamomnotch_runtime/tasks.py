"""Background tasks of one process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

_LOGGER = logging.getLogger(__name__)
_CONDITION_POLL_S = 0.05


class TaskGroup:
    """Owns tasks, so that none is lost and all end at unload."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run ``coroutine`` until it ends or the group is unloaded."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def repeat(
        self, interval_s: Callable[[], float], step: Callable[[], Awaitable[None]]
    ) -> asyncio.Task:
        """Run ``step`` again and again, ``interval_s()`` seconds apart."""
        return self.start(_async_repeat(interval_s, step))

    async def async_unload(self) -> None:
        """Cancel every task and wait until all have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("background task failed", exc_info=task.exception())


async def _async_repeat(
    interval_s: Callable[[], float], step: Callable[[], Awaitable[None]]
) -> None:
    while True:
        await step()
        await asyncio.sleep(interval_s())


async def async_wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Return whether ``condition()`` came true within ``timeout_s`` seconds."""
    loop = asyncio.get_running_loop()
    give_up_at_s = loop.time() + timeout_s
    while True:
        if condition():
            return True
        if loop.time() >= give_up_at_s:
            return False
        await asyncio.sleep(_CONDITION_POLL_S)
