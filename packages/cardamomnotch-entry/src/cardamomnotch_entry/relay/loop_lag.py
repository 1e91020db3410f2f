"""Measurement of how late the event loop runs what is due."""

import asyncio
import logging
from collections.abc import Callable

from cardamomnotch_runtime.structured_log import log_event

from .const import LOOP_LAG_INTERVAL_S, MAX_LOOP_LAG_S

_LOGGER = logging.getLogger(__name__)


class LoopLag:
    """Measures the event loop's lag, and logs when it becomes large.

    ``record`` is called with each measured lag, in seconds.
    """

    def __init__(self, record: Callable[[float], None]) -> None:
        self._record = record
        self._is_late = False

    async def async_measure(self) -> None:
        """Measure the lag once; called in a loop."""
        clock = asyncio.get_running_loop().time
        due_s = clock() + LOOP_LAG_INTERVAL_S
        await asyncio.sleep(LOOP_LAG_INTERVAL_S)
        lag_s = max(0.0, clock() - due_s)
        self._record(lag_s)
        if (lag_s > MAX_LOOP_LAG_S) is self._is_late:
            return
        self._is_late = not self._is_late
        log_event(
            _LOGGER,
            "event loop is late: requests wait for other work of this process"
            if self._is_late
            else "event loop is on time again",
            logging.WARNING if self._is_late else logging.INFO,
            lag_ms=int(lag_s * 1000),
        )
