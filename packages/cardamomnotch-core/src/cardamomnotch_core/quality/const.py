"""Constants of the quality estimates."""

from typing import Final

# One-sided 90 % quantile of the normal distribution.
CONFIDENCE_Z_SCORE: Final = 1.2816
# Limit on the total weight of the ratings of one version and request class.
# Above it, older ratings are scaled down.
MAX_RATINGS_WEIGHT: Final = 1000.0
# Longest use of a cached ranking after new ratings have arrived.
RANKING_MAX_AGE_S: Final = 0.5
