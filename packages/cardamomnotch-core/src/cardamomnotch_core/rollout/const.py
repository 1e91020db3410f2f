"""Error bounds of the tests on versions."""

from typing import Final

# Shares of bad answers that the test looks for; one statistic for each.
BAD_SHARES: Final = (0.05, 0.1, 0.3, 0.8)
# Bound on false alarms: good versions' days to one, at this many ratings a day.
DAYS_PER_FALSE_ALARM: Final = 10_000
RATINGS_PER_DAY: Final = 2_000_000

# A roll-out grows once a version this bad is ruled out, with this error.
GROWTH_BAD_SHARE: Final = 0.05
GROWTH_ERROR: Final = 0.01
GROWTH_FACTOR: Final = 2.0

# Entries find the same at about the same time; the first to write spares the rest.
STAGGER_S: Final = 2.0

# From this part of the alarm threshold on every answer is to be rated.
SUSPICION_LEVEL: Final = 0.2

# From this part on the version takes only a share, while others can serve.
HOLD_BACK_LEVEL: Final = 0.4
SUSPECT_SHARE: Final = 0.25

DEFAULT_BAD_BELOW: Final = 0.5
DEFAULT_BAD_SHARE: Final = 0.01
