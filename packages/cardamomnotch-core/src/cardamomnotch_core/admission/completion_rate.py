"""Rate at which an upstream completes work."""

import math

from .const import (
    COMPLETION_RATE_WINDOW_S,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
)


class CompletionRate:
    """Exponentially decayed number of completions per second.

    Estimates when a refused attempt may find a free slot: the attempts refused
    so far are treated as a queue that advances by one per completion.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at_s = 0.0
        self._refused_waiting = 0

    def add_completion(self, now_s: float) -> None:
        """Record one completion, which frees a slot for a refused attempt."""
        self._decay(now_s)
        self._rate_per_s += 1 / COMPLETION_RATE_WINDOW_S
        self._refused_waiting = max(0, self._refused_waiting - 1)

    def retry_after_s(self, now_s: float, default_s: float) -> float:
        """Record one refusal and return its retry delay in seconds.

        Returns ``default_s`` while too few completions have been recorded.
        """
        self._decay(now_s)
        self._refused_waiting += 1
        if self._rate_per_s < 1 / MAX_RETRY_AFTER_S / COMPLETION_RATE_WINDOW_S:
            return default_s
        wait_s = self._refused_waiting / self._rate_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._rate_per_s *= math.exp(-elapsed_s / COMPLETION_RATE_WINDOW_S)
        # All refused attempts have been due for their retry by now.
        if elapsed_s > MAX_RETRY_AFTER_S:
            self._refused_waiting = 0
        self._updated_at_s = now_s
