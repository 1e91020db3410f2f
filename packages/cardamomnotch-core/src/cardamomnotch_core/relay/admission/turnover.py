"""Rate at which an entry obtains slots of a service that has none free."""

from collections import deque

from .const import MAX_RATE_SLOTS, MIN_RATE_S, MIN_RATE_SLOTS, RATE_WINDOW_S


class SlotTurnover:
    """Counts the slots that waiting requests got since the shortage began.

    Requests that were sent before it say nothing of the rate: a burst fills free slots
    faster than they become free.
    """

    def __init__(self, began_at_s: float) -> None:
        self._began_at_s = began_at_s
        self._taken_at_s: deque[float] = deque(maxlen=MAX_RATE_SLOTS)

    def record_taken(self, now_s: float) -> None:
        """Record that a waiting request got a slot."""
        self._taken_at_s.append(now_s)

    def slots_per_s(self, now_s: float) -> float | None:
        """Return the rate in the last seconds; None if it is not known."""
        start_s = max(self._began_at_s, now_s - RATE_WINDOW_S)
        while self._taken_at_s and self._taken_at_s[0] < start_s:
            self._taken_at_s.popleft()
        if len(self._taken_at_s) == MAX_RATE_SLOTS:
            start_s = self._taken_at_s[0]
        if len(self._taken_at_s) < MIN_RATE_SLOTS:
            return None
        return len(self._taken_at_s) / max(MIN_RATE_S, now_s - start_s)
