"""Limits of the quality estimates."""

from typing import Final

# One-sided 90 % quantile of the normal distribution.
CONFIDENCE_Z: Final = 1.2816
# Older ratings are scaled down once a cell holds more than this many.
MAX_RATINGS_WEIGHT: Final = 1000.0
# Ratings wait this long before they reorder the versions.
RANKING_MAX_AGE_S: Final = 0.5
