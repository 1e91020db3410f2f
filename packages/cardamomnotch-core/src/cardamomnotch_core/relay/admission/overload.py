"""Detection of overload by the time that requests spend in the queue.

CoDel (Nichols and Jacobson, 2012): a queue that takes up a burst empties again, one
that stands does not; so the shortest wait within an interval counts, not the length.
"""

from .const import OVERLOAD_INTERVAL_FRACTION, OVERLOAD_TARGET_FRACTION


class OverloadDetector:
    """Detects that the requests of one priority wait too long, all of them."""

    def __init__(self) -> None:
        self._above_since_s: float | None = None
        self._is_overloaded = False

    @property
    def is_overloaded(self) -> bool:
        """Return whether no request waited less than the target for an interval."""
        return self._is_overloaded

    def record_wait(
        self, waited_s: float, target_latency_s: float, now_s: float, *, is_over: bool
    ) -> None:
        """Record the wait of a request that leaves the queue, or of the oldest in it.

        ``is_over`` is whether it got a slot: only that shows that waits are short.
        """
        if waited_s >= OVERLOAD_TARGET_FRACTION * target_latency_s:
            if self._above_since_s is None:
                self._above_since_s = now_s
            interval_s = OVERLOAD_INTERVAL_FRACTION * target_latency_s
            if now_s - self._above_since_s >= interval_s:
                self._is_overloaded = True
        elif is_over:
            self.reset()

    def reset(self) -> None:
        """Record that nothing waits, or that a request waited a short time."""
        self._above_since_s = None
        self._is_overloaded = False
