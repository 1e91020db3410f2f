"""Estimates of each version's quality for each class."""

import math

import attrs

from ..configuration.models import Version
from .const import CONFIDENCE_Z, MAX_RATINGS_WEIGHT
from .models import Estimate, RatingKey, RatingSums


@attrs.define
class _Cell:
    weight: float = 0.0
    score_sum: float = 0.0


class QualityEstimator:
    """Blends the operators' figures with what the rating service found."""

    def __init__(self) -> None:
        self._cells: dict[RatingKey, _Cell] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that rises with every rating."""
        return self._generation

    def add(self, key: RatingKey, sums: RatingSums) -> None:
        """Take ratings; older ones lose weight over the cell's limit."""
        if not sums.ratings:
            return
        cell = self._cells.setdefault(key, _Cell())
        cell.weight += sums.ratings
        cell.score_sum += sums.score_sum
        if cell.weight > MAX_RATINGS_WEIGHT:
            scale = MAX_RATINGS_WEIGHT / cell.weight
            cell.weight *= scale
            cell.score_sum *= scale
        self._generation += 1

    def forget(self, version: str) -> None:
        """Drop the ratings of a version, which is about to be new again."""
        for key in [item for item in self._cells if item.version == version]:
            del self._cells[key]
        self._generation += 1

    def estimate(
        self, full_name: str, version: Version, class_name: str
    ) -> Estimate | None:
        """Return the estimate; None if the lists give no figure to start from.

        The operators' figure counts as ``quality_answers`` ratings. The bounds
        are Wilson's score interval (Wilson, 1927).
        """
        listed = version.quality.get(class_name)
        if listed is None:
            return None
        cell = self._cells.get(RatingKey(full_name, class_name))
        rated = cell.weight if cell else 0.0
        score_sum = cell.score_sum if cell else 0.0
        weight = version.quality_answers + rated
        mean = (version.quality_answers * listed + score_sum) / weight
        return _with_bounds(min(1.0, max(0.0, mean)), weight, rated)


def _with_bounds(mean: float, weight: float, rated: float) -> Estimate:
    z_squared = CONFIDENCE_Z**2
    centre = mean + z_squared / (2 * weight)
    spread = CONFIDENCE_Z * math.sqrt(
        mean * (1 - mean) / weight + z_squared / (4 * weight**2)
    )
    scale = 1 + z_squared / weight
    return Estimate(
        mean=mean,
        lower=(centre - spread) / scale,
        upper=(centre + spread) / scale,
        ratings=rated,
    )
