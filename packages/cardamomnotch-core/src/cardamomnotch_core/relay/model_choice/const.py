"""Constants of the choice of a model."""

from typing import Final

# Answers whose confidence, from 0 to 100, is below this value are retried on a
# larger model.
DEFAULT_CONFIDENCE_FLOOR: Final = 50

# Share of a smallest model's answers with low confidence, until there are answers, and
# below which it is always asked first.
DEFAULT_LOW_CONFIDENCE_SHARE: Final = 0.5
MIN_LOW_CONFIDENCE_SHARE: Final = 0.25

# Fraction of the time allowed for both models that they may take on idle upstreams
# without a look at the load.
IDLE_TIME_FRACTION: Final = 0.7

# Longest expected wait at an upstream that is asked the largest model at once, in
# milliseconds.
MAX_WAIT_OF_LARGEST_MS: Final = 60.0

# Smoothing factor of that share.
CONFIDENCE_SHARE_STEP: Final = 0.05
