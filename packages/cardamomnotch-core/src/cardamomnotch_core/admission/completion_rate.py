"""Rate at which an upstream completes work."""

import math

from .const import (
    COMPLETION_RATE_WINDOW_S,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
)


class CompletionRate:
    """Exponentially decayed count of completions a second.

    Estimates when a refused attempt may find a slot: the refusals since the
    last completion are thought to stand in line, one completion each.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at_s = 0.0
        self._refused = 0

    def add_completion(self, now_s: float) -> None:
        """Count one completion."""
        self._decay(now_s)
        self._rate_per_s += 1 / COMPLETION_RATE_WINDOW_S
        self._refused = max(0, self._refused - 1)

    def retry_after_s(self, now_s: float, default_s: float) -> float:
        """Count one refusal and return when to come back."""
        self._decay(now_s)
        self._refused += 1
        if self._rate_per_s < 1 / MAX_RETRY_AFTER_S / COMPLETION_RATE_WINDOW_S:
            return default_s
        wait_s = self._refused / self._rate_per_s
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._rate_per_s *= math.exp(-elapsed_s / COMPLETION_RATE_WINDOW_S)
        # Whoever was told to come back by now no longer stands in line.
        if elapsed_s > MAX_RETRY_AFTER_S:
            self._refused = 0
        self._updated_at_s = now_s
