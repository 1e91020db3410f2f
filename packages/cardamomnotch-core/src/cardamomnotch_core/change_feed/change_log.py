"""The last changes of the store, for other entries."""

from collections import deque
from collections.abc import Iterable

import attrs

from cardamomnotch_protocol.store_position import StorePosition

from .const import MAX_INLINE_BYTES, MAX_LOG_BYTES, MAX_LOG_CHANGES
from .models import StoreChange


class ChangeLog:
    """Keeps the changes between two positions of one era, as far as they fit."""

    def __init__(self) -> None:
        self._changes: deque[StoreChange] = deque()
        self._bytes = 0
        # The log has all changes of the era after this position.
        self._floor: StorePosition | None = None
        self._position: StorePosition | None = None

    @property
    def position(self) -> StorePosition | None:
        """Return the last position; None before the first read."""
        return self._position

    def reset(self, position: StorePosition) -> None:
        """Start anew after everything has been read as of ``position``."""
        self._changes.clear()
        self._bytes = 0
        self._floor = self._position = position

    def append(self, changes: Iterable[StoreChange], position: StorePosition) -> None:
        """Add the changes up to ``position``; older ones are ignored."""
        assert self._position is not None
        for change in changes:
            if change.position <= self._position:
                continue
            if change.value is not None and len(change.value) > MAX_INLINE_BYTES:
                change = attrs.evolve(change, value=None, is_omitted=True)
            self._changes.append(change)
            self._bytes += change.size
        self._position = max(self._position, position)
        while len(self._changes) > MAX_LOG_CHANGES or self._bytes > MAX_LOG_BYTES:
            oldest = self._changes.popleft()
            self._bytes -= oldest.size
            self._floor = max(self._floor, oldest.position)

    def since(self, position: StorePosition) -> tuple[StoreChange, ...] | None:
        """Return the changes after ``position``, those without a value first.

        The position of an omitted value is only known to be not before its write. A
        reader that gets the others up to any position therefore has to know of it,
        since it may go on with the log of another entry.

        Returns None if some are not in the log, as for a position of another era.
        """
        if self._floor is None or not self._floor.is_continued_by(position):
            return None
        newer = [change for change in self._changes if change.position > position]
        omitted = {change.key: change for change in newer if change.is_omitted}
        return *omitted.values(), *(change for change in newer if not change.is_omitted)
