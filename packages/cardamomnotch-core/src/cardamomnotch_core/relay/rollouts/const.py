"""Constants of rollouts."""

from typing import Final

# Request shares of a new version in the first and second stage of a rollout,
# as factors of the exposure bound. The bound applies to the requests of the
# whole rollout: over the first two stages the version receives
# 0.55 * 0.53 + 0.2 * 2 = 0.69 of the bound.
ROLLOUT_FIRST_STAGE_FACTOR: Final = 0.53
ROLLOUT_SECOND_STAGE_FACTOR: Final = 2.0

# Sessions whose version is stored; the least recently used are evicted.
MAX_SESSIONS: Final = 20_000

# Added to the session TTL, in seconds: the notice that a request has ended at
# another entry arrives at most this much later.
SESSION_END_MARGIN_S: Final = 0.5

# Minimum interval between two messages with an entry's rollout statistics, and
# what each entry of the zone adds to it, in seconds.
MIN_REPORT_INTERVAL_S: Final = 0.3
REPORT_INTERVAL_PER_MEMBER_S: Final = 0.02

# Interval at which unchanged rollout statistics are sent again, in seconds.
REPORT_REFRESH_INTERVAL_S: Final = 2.0
