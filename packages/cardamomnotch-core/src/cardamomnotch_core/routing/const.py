"""Limits of the routing decision."""

from typing import Final

# A load report's weight falls to a third after this long.
LOAD_HALF_TRUST_S: Final = 2.0
# Weight of the newest first-token time in an upstream's moving average.
LATENCY_SMOOTHING: Final = 0.2
# Assumed of an upstream whose first-token time is not known yet.
DEFAULT_FIRST_TOKEN_S: Final = 0.3

# An upstream that has just come back gets a growing part of its limit.
RAMP_S: Final = 10.0
RAMP_FLOOR: Final = 0.1

EJECT_AFTER_FAILURES: Final = 3
FIRST_EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 300.0
# With more than this part of a pool ejected, ejection is disregarded.
MAX_EJECTED_SHARE: Final = 0.5

# Random draws before a pool is searched from end to end.
MAX_DRAWS: Final = 6

RETRY_AFTER_S: Final = 1.0
