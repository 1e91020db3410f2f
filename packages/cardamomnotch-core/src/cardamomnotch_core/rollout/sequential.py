"""Sequential tests on a version's rated answers."""

import math

import attrs

from ..quality.models import RatingSums
from .const import (
    BAD_SHARES,
    DAYS_PER_FALSE_ALARM,
    DEFAULT_BAD_SHARE,
    GROWTH_BAD_SHARE,
    GROWTH_ERROR,
    RATINGS_PER_DAY,
)

ALARM_THRESHOLD = math.log(DAYS_PER_FALSE_ALARM * RATINGS_PER_DAY * len(BAD_SHARES))
GROWTH_THRESHOLD = math.log(GROWTH_ERROR)


def log_likelihood_ratio(sums: RatingSums, good: float, bad: float) -> float:
    """Return how much ``sums`` speak for a share ``bad`` rather than ``good``."""
    fine = sums.ratings - sums.bad
    return sums.bad * math.log(bad / good) + fine * math.log((1 - bad) / (1 - good))


@attrs.define
class BadVersionTest:
    """Raises an alarm when a version turns bad, whenever that is.

    Page's cumulative sums (Page, 1954), one for each share of bad answers.
    Each sum is a maximum of likelihood ratios over the possible starts, so
    the chance of a false alarm within n answers is at most n / exp(threshold)
    for each (Wald, 1945; Lorden, 1971). Answers taken in batches only lower
    the sums, so pooled counts keep the bound.
    """

    _sums: dict[float, float] = attrs.field(factory=dict)

    @property
    def level(self) -> float:
        """Return the highest sum as a part of the threshold."""
        return max(self._sums.values(), default=0.0) / ALARM_THRESHOLD

    @property
    def is_alarmed(self) -> bool:
        """Return whether the version is taken for bad."""
        return self.level >= 1

    def add(self, sums: RatingSums, good: float = DEFAULT_BAD_SHARE) -> None:
        """Take ratings of a class whose good versions fail a share ``good``."""
        for share in BAD_SHARES:
            if share <= good:
                continue
            ratio = log_likelihood_ratio(sums, good, share)
            self._sums[share] = max(0.0, self._sums.get(share, 0.0) + ratio)


@attrs.define
class GrowthTest:
    """Says when a roll-out may take a larger share.

    The lower half of a sequential probability ratio test (Wald, 1945): a
    version as bad as ``GROWTH_BAD_SHARE`` passes with a chance of at most
    ``GROWTH_ERROR``.
    """

    _ratio: float = 0.0

    @property
    def is_passed(self) -> bool:
        """Return whether enough good answers have been seen."""
        return self._ratio <= GROWTH_THRESHOLD

    def add(self, sums: RatingSums, good: float = DEFAULT_BAD_SHARE) -> None:
        """Take ratings given since the share last grew."""
        bad = max(GROWTH_BAD_SHARE, 2 * good)
        self._ratio += log_likelihood_ratio(sums, good, bad)
