"""Defaults and bounds of admission control."""

from typing import Final

DEFAULT_COLD_LIMIT: Final = 2
# Completed responses after which the limit of a cold upstream may grow.
DEFAULT_WARM_UP_COMPLETIONS: Final = 8

# Factor applied to the limit when the upstream is overloaded.
OVERLOAD_LIMIT_FACTOR: Final = 0.5
# Factor applied to the limit when the upstream returns to service.
RETURN_LIMIT_FACTOR: Final = 0.25
# One slot in this many is reserved for interactive requests.
INTERACTIVE_RESERVE_DIVISOR: Final = 8
INTERACTIVE_PRIORITY: Final = 0

MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 10.0
COMPLETION_RATE_WINDOW_S: Final = 10.0

# Weights of one sample in the moving averages of the first-token latency.
BASELINE_SAMPLE_WEIGHT: Final = 0.02
RECENT_SAMPLE_WEIGHT: Final = 0.3
MIN_BASELINE_SAMPLES: Final = 20
# The upstream counts as overloaded above this multiple of the baseline.
OVERLOAD_LATENCY_RATIO: Final = 4.0
