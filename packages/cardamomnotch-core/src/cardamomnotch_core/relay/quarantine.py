"""Requests that crash the upstreams which run them."""

from .const import MAX_CRASHES, QUARANTINE_S


class CrashCounts:
    """Counts confirmed crashes by request fingerprint, over all entries."""

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, float]] = {}
        self._others: dict[str, dict[str, int]] = {}

    @property
    def own_counts(self) -> dict[str, int]:
        """Return this entry's counts, to be shared with the others."""
        return {fingerprint: count for fingerprint, (count, _) in self._own.items()}

    def record_crash(self, fingerprint: str, now_s: float) -> None:
        """Count an upstream that went down while it ran the request."""
        count, _ = self._own.get(fingerprint, (0, 0.0))
        self._own[fingerprint] = (count + 1, now_s + QUARANTINE_S)

    def set_counts(self, entry: str, counts: dict[str, int]) -> None:
        """Take over the counts of another entry."""
        self._others[entry] = counts

    def forget_entry(self, entry: str) -> None:
        """Drop the counts of an entry that has left."""
        self._others.pop(entry, None)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must not run again."""
        return self.crashes(fingerprint, now_s) >= MAX_CRASHES

    def crashes(self, fingerprint: str, now_s: float) -> int:
        """Return how many upstreams the request has crashed."""
        self._expire(now_s)
        own, _ = self._own.get(fingerprint, (0, 0.0))
        return own + sum(counts.get(fingerprint, 0) for counts in self._others.values())

    def _expire(self, now_s: float) -> None:
        for fingerprint, (_, until_s) in tuple(self._own.items()):
            if now_s >= until_s:
                del self._own[fingerprint]
