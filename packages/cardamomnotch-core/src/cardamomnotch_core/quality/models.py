"""Classes of the quality estimates."""

import attrs


@attrs.frozen(order=True)
class RatingKey:
    """A version, as "model/version", with a request class."""

    version: str
    request_class: str


@attrs.frozen(kw_only=True)
class Estimate:
    """Expected score from 0 to 1, with its confidence bounds."""

    mean: float
    lower: float
    upper: float
    ratings: float = 0.0


@attrs.frozen(kw_only=True)
class RatingSums:
    """Ratings taken together; ``bad`` counts scores under the class's bound."""

    ratings: int = 0
    score_sum: float = 0.0
    bad: int = 0

    def plus(self, other: "RatingSums") -> "RatingSums":
        """Return the sums of both."""
        return RatingSums(
            ratings=self.ratings + other.ratings,
            score_sum=self.score_sum + other.score_sum,
            bad=self.bad + other.bad,
        )

    def minus(self, other: "RatingSums") -> "RatingSums":
        """Return what came on top of ``other``."""
        return RatingSums(
            ratings=self.ratings - other.ratings,
            score_sum=self.score_sum - other.score_sum,
            bad=self.bad - other.bad,
        )
