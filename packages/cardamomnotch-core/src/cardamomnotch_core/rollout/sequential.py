"""Sequential tests on the ratings of a version."""

import math

import attrs

from ..quality.models import RatingSums
from .const import (
    DAYS_PER_FALSE_ALARM,
    DEFAULT_BAD_SHARE,
    INCREASE_BAD_SHARE,
    INCREASE_ERROR_PROBABILITY,
    RATINGS_PER_DAY,
    TESTED_BAD_SHARES,
)

ALARM_THRESHOLD = math.log(
    DAYS_PER_FALSE_ALARM * RATINGS_PER_DAY * len(TESTED_BAD_SHARES)
)
INCREASE_THRESHOLD = math.log(INCREASE_ERROR_PROBABILITY)


def log_likelihood_ratio(
    sums: RatingSums, expected_bad_share: float, tested_bad_share: float
) -> float:
    """Return the log-likelihood ratio of two shares of bad answers.

    Positive values favor ``tested_bad_share`` over ``expected_bad_share``.
    """
    good_answers = sums.ratings - sums.bad
    return sums.bad * math.log(
        tested_bad_share / expected_bad_share
    ) + good_answers * math.log((1 - tested_bad_share) / (1 - expected_bad_share))


@attrs.define
class BadVersionTest:
    """Detects a version that is bad or becomes bad at any later time.

    CUSUM test (Page, 1954) with one cumulative sum for each share of bad
    answers. Each sum is the maximum of the log-likelihood ratios over all
    possible change points, so the probability of a false alarm within n
    answers is at most n / exp(threshold) for each sum (Wald, 1945; Lorden,
    1971). Adding answers in batches can only lower the sums, so the bound
    also holds for pooled ratings.
    """

    _sums: dict[float, float] = attrs.field(factory=dict)

    @property
    def alarm_level(self) -> float:
        """Return the highest sum as a share of the alarm threshold."""
        return max(self._sums.values(), default=0.0) / ALARM_THRESHOLD

    @property
    def is_alarm_raised(self) -> bool:
        """Return whether the alarm threshold has been reached."""
        return self.alarm_level >= 1

    def add(
        self, sums: RatingSums, expected_bad_share: float = DEFAULT_BAD_SHARE
    ) -> None:
        """Add ratings of a class.

        ``expected_bad_share`` is the share of bad answers of a good version.
        """
        for share in TESTED_BAD_SHARES:
            if share <= expected_bad_share:
                continue
            log_ratio = log_likelihood_ratio(sums, expected_bad_share, share)
            self._sums[share] = max(0.0, self._sums.get(share, 0.0) + log_ratio)


@attrs.define
class ShareIncreaseTest:
    """Decides when a rollout's traffic share may increase.

    Uses the lower threshold of a sequential probability ratio test (Wald,
    1945): a version whose share of bad answers is ``INCREASE_BAD_SHARE``
    passes with a probability of at most ``INCREASE_ERROR_PROBABILITY``.
    """

    _log_likelihood_ratio: float = 0.0

    @property
    def is_passed(self) -> bool:
        """Return whether the ratings allow a larger traffic share."""
        return self._log_likelihood_ratio <= INCREASE_THRESHOLD

    def add(
        self, sums: RatingSums, expected_bad_share: float = DEFAULT_BAD_SHARE
    ) -> None:
        """Add ratings received since the traffic share last changed."""
        tested_bad_share = max(INCREASE_BAD_SHARE, 2 * expected_bad_share)
        self._log_likelihood_ratio += log_likelihood_ratio(
            sums, expected_bad_share, tested_bad_share
        )
