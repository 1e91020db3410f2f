"""Constants of upstream selection, outlier ejection and load estimates."""

from typing import Final

# Time constant of the exponential decay of a load report's weight.
LOAD_REPORT_DECAY_S: Final = 2.0
# Weight of the newest first-token time in the exponential moving average.
FIRST_TOKEN_SMOOTHING_FACTOR: Final = 0.2
# Used for an upstream without a measured first-token time.
DEFAULT_FIRST_TOKEN_S: Final = 0.3

# After a restart or an outage an upstream's share of its concurrency limit
# rises linearly from the minimum to 1 over this time.
SLOW_START_S: Final = 10.0
MIN_SLOW_START_SHARE: Final = 0.1

FAILURES_BEFORE_EJECTION: Final = 3
FIRST_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 300.0
# Ejection is limited to this share of the upstreams. If more of a pool are
# ejected, the selection ignores ejection.
MAX_EJECTED_SHARE: Final = 0.5

# Random draws from a pool before all its upstreams are compared.
MAX_RANDOM_DRAWS: Final = 6

# Retry time sent if no upstream or version can serve a request, or if no
# further retry is allowed.
RETRY_AFTER_S: Final = 1.0
