"""Limits of admission at an entry."""

from typing import Final

# Seconds of a plan's rate that a workspace may use in a burst.
BURST_S: Final = 1.0
# At this upstream load and above, workspaces are limited to equal shares.
FAIR_SHARE_LOAD_THRESHOLD: Final = 0.8
# Upstream load at which the lowest-priority class is shed; the thresholds of
# the other classes lie evenly between here and full load.
SHEDDING_LOAD_THRESHOLD: Final = 0.85
# How long the sum of the upstreams' loads is cached.
LOAD_CACHE_TTL_S: Final = 0.1
# Shed requests get a random retry time from this range, to spread retries.
SHED_RETRY_AFTER_RANGE_S: Final = (1.0, 3.0)
# Retry time sent when a workspace has too many requests in flight.
CONCURRENCY_RETRY_AFTER_S: Final = 1.0

# Retries allowed per first attempt, and how many unused ones accumulate.
RETRIES_PER_FIRST_ATTEMPT: Final = 0.2
MAX_AVAILABLE_RETRIES: Final = 50.0
