"""Quarantine of requests that crash upstreams."""

from collections import Counter

from .const import MAX_CRASHES, QUARANTINE_S


class CrashCounts:
    """Counts the confirmed crashes of all entries by request fingerprint."""

    def __init__(self) -> None:
        # Count and expiry time by fingerprint.
        self._local_counts: dict[str, tuple[int, float]] = {}
        # Counts by fingerprint of the other entries, by entry name.
        self._remote_counts: dict[str, dict[str, int]] = {}

    @property
    def own_counts(self) -> dict[str, int]:
        """Return this entry's counts, which it shares with the others."""
        return {
            fingerprint: count for fingerprint, (count, _) in self._local_counts.items()
        }

    @property
    def totals(self) -> dict[str, int]:
        """Return the counts of all entries by fingerprint."""
        totals = Counter(self.own_counts)
        for counts in self._remote_counts.values():
            totals.update(counts)
        return dict(totals)

    def record_crash(self, fingerprint: str, now_s: float) -> None:
        """Count an upstream that crashed while it ran the request."""
        count, _ = self._local_counts.get(fingerprint, (0, 0.0))
        self._local_counts[fingerprint] = (count + 1, now_s + QUARANTINE_S)

    def set_counts(self, entry: str, counts: dict[str, int]) -> None:
        """Replace the counts of another entry."""
        self._remote_counts[entry] = counts

    def forget_entry(self, entry: str) -> None:
        """Delete the counts of an entry that is gone."""
        self._remote_counts.pop(entry, None)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must be refused."""
        return self.crashes(fingerprint, now_s) >= MAX_CRASHES

    def crashes(self, fingerprint: str, now_s: float) -> int:
        """Return how many upstreams the request has crashed."""
        self._expire(now_s)
        own, _ = self._local_counts.get(fingerprint, (0, 0.0))
        return own + sum(
            counts.get(fingerprint, 0) for counts in self._remote_counts.values()
        )

    def _expire(self, now_s: float) -> None:
        for fingerprint, (_, expires_at_s) in tuple(self._local_counts.items()):
            if now_s >= expires_at_s:
                del self._local_counts[fingerprint]
