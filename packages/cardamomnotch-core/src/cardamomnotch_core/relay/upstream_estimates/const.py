"""Constants of the estimates of an upstream's times."""

from typing import Final

# Coefficients of the time to the first token before there are samples, and their
# standard deviations: base time in milliseconds, prefill time of a token in
# milliseconds, its increase by each running request as a share, delay by each running
# request in milliseconds, delay by the prompt being read and by prompts that wait, as
# shares of their prefill times. Upstreams read the most urgent prompt first, and
# entries do not know each other's priorities: a waiting prompt is read earlier in
# about half of the cases.
FIRST_TOKEN_PRIOR: Final = (60.0, 0.02, 0.0002, 1.5, 0.9, 0.45)
FIRST_TOKEN_DEVIATIONS: Final = (25.0, 0.03, 0.0003, 1.5, 0.2, 0.15)
FIRST_TOKEN_MINIMUMS: Final = (5.0, 1e-6, 0.0, 0.0, 0.3, 0.1)
FIRST_TOKEN_MAXIMUMS: Final = (1_000.0, 10.0, 0.1, 50.0, 1.2, 1.0)

# The same for the time from the first token to the end: time of a token in
# milliseconds, its increase by each running request in milliseconds, and the delay by
# pending prompts as a share of their prefill times.
DECODING_PRIOR: Final = (10.0, 0.2, 0.5)
DECODING_DEVIATIONS: Final = (15.0, 0.3, 0.4)
DECODING_MINIMUMS: Final = (0.01, 0.0, 0.0)
DECODING_MAXIMUMS: Final = (1_000.0, 50.0, 2.0)

# Standard deviation of the relative error of one observation, and the relative error
# beyond which an observation has only limited weight.
OBSERVATION_DEVIATION: Final = 0.3
MAX_TRUSTED_ERROR: Final = 0.3
EXCESS_EXPONENT: Final = 2

# Variance that a coefficient regains with each observation, as a share of its variance
# before there are samples: observations older than some hundred others are forgotten.
FORGETTING_SHARE: Final = 0.0005

# Upper limits of the load classes' expected waits, in milliseconds; there is one class
# more than limits.
LOAD_LIMITS_MS: Final = (0.5, 50.0, 200.0, 500.0)

# Smallest and largest correction by the median ratio of observed to expected times.
MIN_CORRECTION: Final = 0.5
MAX_CORRECTION: Final = 2.0

# Step of the quantiles of the logarithm of that ratio, and its start: the n-th step is
# at least the start divided by n.
QUANTILE_STEP: Final = 0.02
QUANTILE_FIRST_STEP: Final = 0.1

# Quantile of the ratio that the spread is: four of five observed times stay under it.
SPREAD_QUANTILE: Final = 0.8

# Smoothing factors of the logarithm of an upstream's speed factor: of its usual value,
# and of the recent deviation from it.
USUAL_SPEED_STEP: Final = 0.05
RECENT_SPEED_STEP: Final = 0.12

# Change in the logarithm beyond which each of several observations in the same
# direction has twice the weight of the one before, and the largest weight: a change of
# speed is followed within some answers, while a single late answer has little effect.
CLEAR_SPEED_CHANGE: Final = 0.35
MAX_STREAK_WEIGHT: Final = 8

# Half-life of the recent deviation, in seconds: an upstream that is avoided as slow is
# tried again after some of them.
SPEED_HALF_LIFE_S: Final = 4.0

# Share by which the usual speed returns to that of the service with each observation:
# without it, speeds of all upstreams and the service's coefficients could drift apart.
SPEED_RETURN_SHARE: Final = 0.005

# Largest logarithm of a speed factor, and of the change that one observation can
# suggest: a factor of 12, and of 4.5.
MAX_LOG_SPEED: Final = 2.5
MAX_LOG_SPEED_CHANGE: Final = 1.5

# Added to the observed and the expected time before their ratio is taken, in
# milliseconds, so that short times do not distort it.
SPEED_FLOOR_MS: Final = 50.0

# Least weight of an observation for the speed. The weight is a power of the share of
# the expected time that does not depend on other requests: the rest is uncertain.
MIN_SPEED_WEIGHT: Final = 0.05
SPEED_WEIGHT_EXPONENT: Final = 2

# Time by which a pending prompt must be overdue to be ignored once a later one has been
# answered, in seconds: its answer is lost, or its connection hangs.
STUCK_S: Final = 0.3

# Pairs of service and model that estimates are kept of.
MAX_ESTIMATED_MODELS: Final = 256
