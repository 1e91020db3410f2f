"""Speed of one run of an upstream, relative to its service."""

import math

import attrs

from .const import (
    CLEAR_SPEED_CHANGE,
    MAX_LOG_SPEED,
    MAX_LOG_SPEED_CHANGE,
    MAX_STREAK_WEIGHT,
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
    # Clear changes in the same direction in a row; negative if the upstream is faster.
    _streak: int = 0

    def factor(self, now_s: float) -> float:
        """Return the factor to multiply expected times with."""
        if not self._samples:
            return 1.0
        return math.exp(self._usual + self._recent_deviation(now_s))

    @property
    def is_changing(self) -> bool:
        """Return whether the last observations show a change of the speed."""
        return abs(self._streak) > 1

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
        recent_step = RECENT_SPEED_STEP * self._streak_weight(change)
        usual_step = max(USUAL_SPEED_STEP, RECENT_SPEED_STEP / self._samples)
        usual = self._usual * (1 - SPEED_RETURN_SHARE) + usual_step * change
        total = self._usual + deviation + recent_step * change
        self._usual = _limit(usual, MAX_LOG_SPEED)
        self._deviation = _limit(total, MAX_LOG_SPEED) - self._usual
        self._updated_at_s = now_s

    def _streak_weight(self, change: float) -> int:
        """Return the weight of a change, doubled for each clear one before it."""
        if abs(change) < CLEAR_SPEED_CHANGE:
            self._streak = 0
            return 1
        direction = 1 if change > 0 else -1
        is_same = self._streak * direction > 0
        self._streak = self._streak + direction if is_same else direction
        return min(MAX_STREAK_WEIGHT, 1 << min(8, abs(self._streak) - 1))

    def _recent_deviation(self, now_s: float) -> float:
        elapsed_s = now_s - self._updated_at_s
        if elapsed_s <= 0.0:
            return self._deviation
        return self._deviation * 0.5 ** (elapsed_s / SPEED_HALF_LIFE_S)


def _limit(value: float, limit: float) -> float:
    return min(limit, max(-limit, value))
