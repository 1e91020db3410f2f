"""Constants of the sequential tests and of traffic shares."""

from typing import Final

# Shares of bad answers that the bad-version test detects, each with a
# separate cumulative sum.
TESTED_BAD_SHARES: Final = (0.05, 0.1, 0.3, 0.8)
# The false alarm rate is bounded to one in this many days of service of good
# versions, at the given number of ratings per day.
DAYS_PER_FALSE_ALARM: Final = 10_000
RATINGS_PER_DAY: Final = 2_000_000

# A rollout's traffic share increases once the ratings exclude a version with
# this share of bad answers, except for this error probability.
INCREASE_BAD_SHARE: Final = 0.05
INCREASE_ERROR_PROBABILITY: Final = 0.01
SHARE_INCREASE_FACTOR: Final = 2.0

# Entries reach the same conclusion at about the same time. Each waits for a
# random time up to this limit, so that usually only the first one writes.
MAX_CHANGE_DELAY_S: Final = 2.0

# At this share of the alarm threshold every answer of a version is rated.
RATE_ALL_LEVEL: Final = 0.2

# At this share of the alarm threshold a version is suspect: it receives only
# the given share of requests while other versions can serve the rest.
SUSPECT_LEVEL: Final = 0.4
SUSPECT_TRAFFIC_SHARE: Final = 0.25

# Used for ratings of a request class that is not configured.
DEFAULT_BAD_BELOW: Final = 0.5
DEFAULT_BAD_SHARE: Final = 0.01
