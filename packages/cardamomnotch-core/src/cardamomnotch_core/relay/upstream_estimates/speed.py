"""Speed of one run of an upstream, relative to its service."""

import math

import attrs

from .const import (
    MAX_LOG_SPEED,
    MAX_LOG_SPEED_CHANGE,
    RECENT_SPEED_STEP,
    SPEED_FLOOR_MS,
    SPEED_HALF_LIFE_S,
    SPEED_RETURN_SHARE,
    USUAL_SPEED_STEP,
)


@attrs.define
class UpstreamSpeed:
    """Factor by which an upstream's times differ from those of its service.

    It is above 1 for slow upstreams. Follows a usual value, and a recent deviation
    from it that fades, both as logarithms.
    """

    _usual: float = 0.0
    _deviation: float = 0.0
    _updated_at_s: float = 0.0
    _samples: int = 0

    def factor(self, now_s: float) -> float:
        """Return the factor to multiply expected times with."""
        if not self._samples:
            return 1.0
        return math.exp(self._usual + self._recent_deviation(now_s))

    def update(
        self, expected_ms: float, observed_ms: float, weight: float, now_s: float
    ) -> None:
        """Update the speed with an observed time.

        ``expected_ms`` is the time expected of an upstream with factor 1, and
        ``weight`` how much the observation says about the speed, up to 1.
        """
        ratio = (observed_ms + SPEED_FLOOR_MS) / (expected_ms + SPEED_FLOOR_MS)
        deviation = self._recent_deviation(now_s)
        change = math.log(max(1e-3, ratio)) - self._usual - deviation
        change = weight * _limit(change, MAX_LOG_SPEED_CHANGE)
        self._samples += 1
        usual_step = max(USUAL_SPEED_STEP, RECENT_SPEED_STEP / self._samples)
        usual = self._usual * (1 - SPEED_RETURN_SHARE) + usual_step * change
        total = self._usual + deviation + RECENT_SPEED_STEP * change
        self._usual = _limit(usual, MAX_LOG_SPEED)
        self._deviation = _limit(total, MAX_LOG_SPEED) - self._usual
        self._updated_at_s = now_s

    def _recent_deviation(self, now_s: float) -> float:
        half_lives = (now_s - self._updated_at_s) / SPEED_HALF_LIFE_S
        return self._deviation * 0.5 ** max(0.0, half_lives)


def _limit(value: float, limit: float) -> float:
    return min(limit, max(-limit, value))
