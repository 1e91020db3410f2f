"""Estimates of each version's quality for each request class."""

import math

import attrs

from ..configuration.models import Version
from .const import CONFIDENCE_Z_SCORE, MAX_RATINGS_WEIGHT
from .models import QualityEstimate, RatingKey, RatingSums


@attrs.define
class _WeightedRatings:
    weight: float = 0.0
    score_sum: float = 0.0


class QualityEstimator:
    """Combines the configured quality with scores of the rating service."""

    def __init__(self) -> None:
        self._ratings: dict[RatingKey, _WeightedRatings] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a counter that increases whenever the ratings change."""
        return self._generation

    def add(self, key: RatingKey, sums: RatingSums) -> None:
        """Add ratings.

        If the total weight for ``key`` exceeds ``MAX_RATINGS_WEIGHT``, all
        ratings are scaled down to it, so older ones lose weight.
        """
        if not sums.ratings:
            return
        ratings = self._ratings.setdefault(key, _WeightedRatings())
        ratings.weight += sums.ratings
        ratings.score_sum += sums.score_sum
        if ratings.weight > MAX_RATINGS_WEIGHT:
            decay_factor = MAX_RATINGS_WEIGHT / ratings.weight
            ratings.weight *= decay_factor
            ratings.score_sum *= decay_factor
        self._generation += 1

    def remove_version(self, version: str) -> None:
        """Remove the ratings of a version that is out of service.

        If it returns to service, its estimate starts from the configuration.
        """
        for key in [key for key in self._ratings if key.version == version]:
            del self._ratings[key]
        self._generation += 1

    def estimate(
        self, full_name: str, version: Version, class_name: str
    ) -> QualityEstimate | None:
        """Return the estimate, or None without a configured quality.

        The configured quality counts as ``quality_answers`` ratings. The
        bounds are those of the Wilson score interval (Wilson, 1927).
        """
        configured = version.quality.get(class_name)
        if configured is None:
            return None
        ratings = self._ratings.get(RatingKey(full_name, class_name))
        ratings_weight = ratings.weight if ratings else 0.0
        score_sum = ratings.score_sum if ratings else 0.0
        weight = version.quality_answers + ratings_weight
        mean = (version.quality_answers * configured + score_sum) / weight
        return _estimate_with_bounds(min(1.0, max(0.0, mean)), weight, ratings_weight)


def _estimate_with_bounds(
    mean: float, weight: float, ratings_weight: float
) -> QualityEstimate:
    z_squared = CONFIDENCE_Z_SCORE**2
    center = mean + z_squared / (2 * weight)
    margin = CONFIDENCE_Z_SCORE * math.sqrt(
        mean * (1 - mean) / weight + z_squared / (4 * weight**2)
    )
    scale = 1 + z_squared / weight
    return QualityEstimate(
        mean=mean,
        lower=(center - margin) / scale,
        upper=(center + margin) / scale,
        ratings=ratings_weight,
    )
