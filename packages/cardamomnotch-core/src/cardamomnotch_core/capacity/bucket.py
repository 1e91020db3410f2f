"""Token buckets for rate limits."""

import attrs


@attrs.define
class TokenBucket:
    """Token bucket that fills by ``rate`` per second up to ``burst``.

    ``charge`` may reduce the level below zero.
    """

    rate: float
    burst: float
    level: float
    filled_at_s: float

    @classmethod
    def full(cls, rate: float, burst: float, now_s: float) -> "TokenBucket":
        """Return a bucket that is full at ``now_s``."""
        return cls(rate, burst, burst, now_s)

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Set another rate and burst from ``now_s`` on."""
        self._fill(now_s)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the seconds until ``amount`` is available; 0 if it is now."""
        self._fill(now_s)
        return max(0.0, (min(amount, self.burst) - self.level) / self.rate)

    def charge(self, amount: float) -> None:
        """Take ``amount`` from the bucket, or add it if it is negative."""
        self.level = min(self.burst, self.level - amount)

    def _fill(self, now_s: float) -> None:
        refill = self.rate * max(0.0, now_s - self.filled_at_s)
        self.level = min(self.burst, self.level + refill)
        self.filled_at_s = max(self.filled_at_s, now_s)
