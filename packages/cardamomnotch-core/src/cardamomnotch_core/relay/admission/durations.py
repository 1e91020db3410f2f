"""Usual durations of attempts by service.

Answers plain services, whose requests are so short that a slot is free again before
another entry's notice of it arrives.
"""

from .const import DURATION_STEP, STALE_ATTEMPT_FACTOR, UPSTREAM_QUEUE_S


class AttemptDurations:
    """Follows the mean duration of the complete attempts of each service."""

    def __init__(self) -> None:
        # In seconds, by service.
        self._means_s: dict[str, float] = {}

    def record(self, service: str, duration_s: float) -> None:
        """Record the duration of a complete attempt."""
        mean_s = self._means_s.get(service, duration_s)
        self._means_s[service] = mean_s + DURATION_STEP * (duration_s - mean_s)

    def max_age_s(self, service: str, longest_s: float) -> float:
        """Return the age from which an attempt without an end counts as ended.

        It is ``longest_s`` where there are no complete attempts yet.
        """
        mean_s = self._means_s.get(service)
        if mean_s is None:
            return longest_s
        return min(longest_s, STALE_ATTEMPT_FACTOR * mean_s)

    def queued_at_upstream(self, service: str, slots: int) -> int:
        """Return how many requests beyond its slots an upstream takes in time."""
        mean_s = self._means_s.get(service)
        if not mean_s:
            return 0
        return min(slots, int(slots * UPSTREAM_QUEUE_S / mean_s))
