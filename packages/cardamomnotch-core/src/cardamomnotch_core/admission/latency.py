"""Learnt first-token latency of one upstream."""

from .const import (
    BASELINE_WEIGHT,
    MIN_BASELINE_SAMPLES,
    RECENT_WEIGHT,
    SLOW_RATIO,
)


class LatencyBaseline:
    """Compares recent first-token latencies with their long-term mean.

    Two exponentially weighted moving averages, as in the round-trip estimate
    of RFC 6298. The baseline keeps following slow samples, so that a change
    of the upstream's nature does not hold the limit down for good.
    """

    def __init__(self) -> None:
        self._samples = 0
        self._baseline_ms = 0.0
        self._recent_ms = 0.0

    @property
    def baseline_ms(self) -> float:
        """Return the long-term mean."""
        return self._baseline_ms

    @property
    def is_slow(self) -> bool:
        """Return whether recent latencies lie far above the baseline."""
        learnt = self._samples >= MIN_BASELINE_SAMPLES
        return learnt and self._recent_ms > SLOW_RATIO * self._baseline_ms

    def add(self, latency_ms: float) -> None:
        """Take the latency of one answer."""
        self._samples += 1
        if self._samples == 1:
            self._baseline_ms = self._recent_ms = latency_ms
            return
        # The first samples count alike, so that one outlier does not remain.
        weight = max(BASELINE_WEIGHT, 1 / self._samples)
        self._baseline_ms += weight * (latency_ms - self._baseline_ms)
        self._recent_ms += RECENT_WEIGHT * (latency_ms - self._recent_ms)
