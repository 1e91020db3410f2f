"""Data classes of ratings and quality estimates."""

import attrs


@attrs.frozen(order=True)
class RatingKey:
    """Key of ratings: a version as "model/version" and a request class."""

    version: str
    request_class: str


@attrs.frozen(kw_only=True)
class QualityEstimate:
    """Estimated mean score from 0 to 1 with its confidence bounds.

    ``ratings`` is the weight of the ratings that went into the estimate.
    """

    mean: float
    lower: float
    upper: float
    ratings: float = 0.0


@attrs.frozen(kw_only=True)
class RatingSums:
    """Aggregated ratings.

    ``bad`` counts the scores below the request class's ``bad_below``.
    """

    ratings: int = 0
    score_sum: float = 0.0
    bad: int = 0

    def plus(self, other: "RatingSums") -> "RatingSums":
        """Return the sums of both sets of ratings."""
        return RatingSums(
            ratings=self.ratings + other.ratings,
            score_sum=self.score_sum + other.score_sum,
            bad=self.bad + other.bad,
        )

    def minus(self, other: "RatingSums") -> "RatingSums":
        """Return the difference from the earlier sums ``other``."""
        return RatingSums(
            ratings=self.ratings - other.ratings,
            score_sum=self.score_sum - other.score_sum,
            bad=self.bad - other.bad,
        )
