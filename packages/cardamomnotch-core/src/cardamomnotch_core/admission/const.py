"""Defaults and bounds of admission."""

from typing import Final

DEFAULT_COLD_LIMIT: Final = 2
# Whole answers that a cold upstream gives before its limit grows.
DEFAULT_WARM_UP_COMPLETIONS: Final = 8

# Share of the limit that an overload sign takes away.
OVERLOAD_CUT: Final = 0.5
# Share of the limit that an upstream back in service starts with.
RETURN_SHARE: Final = 0.25
# One slot in so many is kept for interactive work.
RESERVE_DIVISOR: Final = 8
INTERACTIVE_PRIORITY: Final = 0

MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 10.0
COMPLETION_RATE_WINDOW_S: Final = 10.0

# First-token latency: how fast the baseline and the recent mean move.
BASELINE_WEIGHT: Final = 0.02
RECENT_WEIGHT: Final = 0.3
MIN_BASELINE_SAMPLES: Final = 20
SLOW_RATIO: Final = 4.0
