"""Baseline of the first-token latency of one upstream."""

from .const import (
    BASELINE_SAMPLE_WEIGHT,
    MIN_BASELINE_SAMPLES,
    OVERLOAD_LATENCY_RATIO,
    RECENT_SAMPLE_WEIGHT,
)


class LatencyBaseline:
    """Compares recent first-token latencies with their long-term mean.

    Two exponentially weighted moving averages, as in the round-trip estimate
    of RFC 6298. The baseline includes slow samples, so that an upstream
    that has become slower for good regains its full limit.
    """

    def __init__(self) -> None:
        self._samples = 0
        self._baseline_ms = 0.0
        self._recent_ms = 0.0

    @property
    def baseline_ms(self) -> float:
        """Return the long-term mean first-token latency."""
        return self._baseline_ms

    @property
    def is_slow(self) -> bool:
        """Return whether recent latencies are far above the baseline."""
        has_baseline = self._samples >= MIN_BASELINE_SAMPLES
        return (
            has_baseline
            and self._recent_ms > OVERLOAD_LATENCY_RATIO * self._baseline_ms
        )

    def add(self, latency_ms: float) -> None:
        """Add the first-token latency of one response."""
        self._samples += 1
        if self._samples == 1:
            self._baseline_ms = self._recent_ms = latency_ms
            return
        # The first samples have equal weights, so that an early outlier does
        # not dominate the baseline.
        weight = max(BASELINE_SAMPLE_WEIGHT, 1 / self._samples)
        self._baseline_ms += weight * (latency_ms - self._baseline_ms)
        self._recent_ms += RECENT_SAMPLE_WEIGHT * (latency_ms - self._recent_ms)
