"""Constants of placement and of its estimates."""

from typing import Final

# Prefill time per prompt token for a model without samples, in milliseconds.
DEFAULT_PREFILL_MS_PER_TOKEN: Final = 0.02

# Delay of a request's first token per running request, in milliseconds.
RUNNING_REQUEST_DELAY_MS: Final = 8.0

# Cost of a kilobyte sent to another availability zone, in milliseconds.
CROSS_ZONE_MS_PER_KB: Final = 2.5

# Time to the first token without prefill until there are samples, in
# milliseconds.
DEFAULT_FIRST_TOKEN_BASE_MS: Final = 60.0

# Requests with at least this many tokens to prefill update the model's time
# per token; all others update the base time.
MIN_PREFILL_SAMPLE_TOKENS: Final = 700

# Number of first samples that are averaged before a quantile is tracked.
FIRST_TOKEN_MEAN_SAMPLES: Final = 4

# Quantile of the times to the first token that represents an idle upstream.
FIRST_TOKEN_QUANTILE: Final = 0.3

# Relative step of the quantile estimate.
FIRST_TOKEN_STEP: Final = 0.08

# Smoothing factor of an upstream's slowdown, and its upper bound.
SLOWDOWN_STEP: Final = 0.3
MAX_SLOWDOWN: Final = 8.0

# Half-life of a slowdown, in seconds.
SLOWDOWN_HALF_LIFE_S: Final = 2.0

# Added to the observed and the expected time before their ratio is taken, in
# milliseconds, so that short times do not distort it.
SLOWDOWN_FLOOR_MS: Final = 50.0

# Time after which a request that still waits for its first token is dropped
# from the queue estimate, in seconds.
MAX_FIRST_TOKEN_WAIT_S: Final = 15.0

# Upstreams compared for one request if there are more candidates.
MAX_COMPARED_UPSTREAMS: Final = 24

# Factor of the expected time to the first token that four of five observed times stay
# under, where it is not known.
DEFAULT_SPREAD: Final = 1.25
