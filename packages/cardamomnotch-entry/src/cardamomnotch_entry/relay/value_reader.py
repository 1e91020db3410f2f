"""Reading of values that are left out of the store's changes."""

import asyncio
import logging
from collections.abc import Callable, Container, Sequence

from cardamomnotch_core.change_feed.models import StoreChange
from cardamomnotch_core.change_feed.omitted_values import OmittedValues
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_protocol.store_position import StorePosition
from cardamomnotch_runtime.structured_log import log_event
from cardamomnotch_runtime.tasks import TaskGroup

from .relay_store import RelayStore

_LOGGER = logging.getLogger(__name__)


class ValueReader:
    """Reads each omitted value in a task of its own, until it is known.

    A value that changes often is read once in each ``interval_s()`` seconds, which
    bounds the calls and the bytes however often it changes. ``apply`` is called with
    the key, its last write (None if it has been deleted) and the time at which the call
    was sent that read it.
    """

    def __init__(
        self,
        relay_store: RelayStore,
        clock: Callable[[], float],
        retry_delay_s: Callable[[], float],
        interval_s: Callable[[], float],
        apply: Callable[[str, StoreChange | None, float], None],
    ) -> None:
        self._relay_store = relay_store
        self._clock = clock
        self._retry_delay_s = retry_delay_s
        self._interval_s = interval_s
        self._apply = apply
        self._values = OmittedValues()
        self._tasks = TaskGroup()
        # Keys that have a task, which may wait before the next read.
        self._watched: set[str] = set()

    def is_reading(self, key: str) -> bool:
        """Return whether a newer value of ``key`` is yet to be read."""
        return key in self._values

    def read_omitted(self, found: Sequence[StoreChange]) -> Sequence[StoreChange]:
        """Begin to read the omitted values; return the changes to apply."""
        complete, omitted = self._values.record_changes(found)
        for key in omitted:
            if key not in self._watched:
                self._watched.add(key)
                self._tasks.start(self._async_read(key))
        return complete

    def record_all_read(
        self, position: StorePosition, left_out: Container[str] = ()
    ) -> None:
        """Read no value any more: all but those ``left_out`` are known."""
        self._values.record_all_read(position, left_out)

    def forget_until(self, position: StorePosition) -> None:
        """Forget what is no longer needed once all changes up to here are known."""
        self._values.forget_until(position, self._watched)

    async def async_unload(self) -> None:
        """Stop all reads."""
        await self._tasks.async_unload()

    async def _async_read(self, key: str) -> None:
        while (known_position := self._values.position(key)) is not None:
            asked_at_s = self._clock()
            try:
                change = await self._relay_store.async_read_value(key)
            except StoreError as error:
                log_event(
                    _LOGGER,
                    "a value could not be read from the store",
                    key=key,
                    detail=error.detail,
                )
                await asyncio.sleep(self._retry_delay_s())
                continue
            position = change.position if change is not None else known_position
            if self._values.record_read(key, known_position, position):
                self._apply(key, change, asked_at_s)
            elapsed_s = self._clock() - asked_at_s
            await asyncio.sleep(max(0.0, self._interval_s() - elapsed_s))
        self._watched.discard(key)
