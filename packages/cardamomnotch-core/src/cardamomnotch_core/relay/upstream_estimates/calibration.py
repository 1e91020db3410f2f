"""Ratio of observed to expected times, for one model at one load."""

import math

import attrs

from ..placement.const import DEFAULT_SPREAD
from .const import (
    MAX_CORRECTION,
    MIN_CORRECTION,
    QUANTILE_FIRST_STEP,
    QUANTILE_STEP,
    SPREAD_QUANTILE,
)


@attrs.define
class Calibration:
    """Median and high quantile of the ratio, each as a logarithm.

    ``correction`` is the factor on the expected wait with which half of the observed
    times are longer than expected. It does not change the time without other requests:
    an upstream must not seem faster because it is in a class of longer waits.
    ``median`` and ``spread`` are quantiles of the ratio to the corrected times.
    """

    correction: float = 1.0
    spread: float = DEFAULT_SPREAD
    samples: int = 0
    _log_median: float = 0.0
    _log_spread: float = math.log(DEFAULT_SPREAD)

    @property
    def median(self) -> float:
        """Return the median ratio to the corrected times."""
        return math.exp(self._log_median)

    def update(
        self, idle_ms: float, waiting_ms: float, expected_ms: float, observed_ms: float
    ) -> None:
        """Update the quantiles with an observed time.

        ``idle_ms`` is the expected time without other requests, ``waiting_ms`` the
        expected wait before the correction, and ``expected_ms`` their sum after it.
        """
        self.samples += 1
        step = max(QUANTILE_STEP, QUANTILE_FIRST_STEP / (self.samples + 1))
        is_late = observed_ms > idle_ms + waiting_ms * self.correction
        correction = self.correction * math.exp(step * (0.5 if is_late else -0.5))
        self.correction = min(MAX_CORRECTION, max(MIN_CORRECTION, correction))
        ratio = math.log(max(1e-3, observed_ms / max(1.0, expected_ms)))
        self._log_median += step * (0.5 if ratio > self._log_median else -0.5)
        above = ratio > self._log_spread
        self._log_spread += step * (SPREAD_QUANTILE if above else SPREAD_QUANTILE - 1)
        self.spread = math.exp(self._log_spread)
