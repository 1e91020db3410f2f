"""Background tasks of one process."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

_LOGGER = logging.getLogger(__name__)
# Pause after a background step that failed unexpectedly, in seconds.
FAILED_STEP_PAUSE_S: Final = 1.0
_CONDITION_POLL_INTERVAL_S = 0.05


class TaskGroup:
    """Holds references to running tasks and cancels them at unload.

    Failures of tasks are logged.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Run ``coroutine`` as a task; the group cancels it at unload."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def repeat(
        self, interval_s: Callable[[], float], step: Callable[[], Awaitable[None]]
    ) -> asyncio.Task:
        """Run ``step`` repeatedly, ``interval_s()`` seconds apart.

        A step that fails unexpectedly is logged and repeated after a pause.
        """
        return self.start(_async_repeat(interval_s, step))

    async def async_unload(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error(
                "background task ended with an unhandled exception",
                exc_info=task.exception(),
            )


async def _async_repeat(
    interval_s: Callable[[], float], step: Callable[[], Awaitable[None]]
) -> None:
    while True:
        try:
            await step()
        except Exception:
            # Ending the task would leave the process running without this work.
            _LOGGER.exception("background step failed; it is repeated")
            await asyncio.sleep(FAILED_STEP_PAUSE_S)
        else:
            await asyncio.sleep(interval_s())


async def async_wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until ``condition()`` is true; return False after ``timeout_s``.

    The condition is polled. The timeout is in seconds.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        if condition():
            return True
        if loop.time() >= deadline_s:
            return False
        await asyncio.sleep(_CONDITION_POLL_INTERVAL_S)
