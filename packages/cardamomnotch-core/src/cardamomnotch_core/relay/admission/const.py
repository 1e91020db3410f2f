"""Constants of admission; times in seconds."""

from typing import Final

# Time for which an upstream that refused a request as full counts as full, unless one
# of its known requests ends before: its requests may be other clients'.
FULL_UPSTREAM_S: Final = 0.5

# Wait at an upstream itself up to which a request is sent there rather than kept
# waiting here, in seconds; such a queue has at most as many requests as slots.
UPSTREAM_QUEUE_S: Final = 0.1

# Age, as a multiple of the usual duration of a service's attempts, from which another
# entry's attempt counts as ended although its end notice has not arrived. Lost notices
# would make a service of short requests look full for MAX_ATTEMPT_S, and end notices
# are held back for 0.2 s: a factor of 8 refused requests of 45 ms in a burst.
STALE_ATTEMPT_FACTOR: Final = 3.0

# Smoothing factor of that duration.
DURATION_STEP: Final = 0.1

# Time after the last request that found no free slot for which a service counts as
# short of slots.
SHORTAGE_S: Final = 1.0

# Freed slots out of which one goes to another priority than the most urgent that
# waits; the other priorities get these in turn.
SLOTS_PER_LOWER_PRIORITY: Final = 16

# Waiting requests that are considered for a free slot that those before them may not
# use, since their version or their suspects bind them to other upstreams.
MAX_CONSIDERED: Final = 64

# Time over which the rate of freed slots is measured, and the number of slots and the
# time from which it is known.
RATE_WINDOW_S: Final = 5.0
MIN_RATE_SLOTS: Final = 4
MIN_RATE_S: Final = 0.25
# Most slot times that are kept for each service.
MAX_RATE_SLOTS: Final = 4_096

# Part of the expected wait, and of the expected time to the first token, that must
# exceed the time left for a request to be refused: half of observed times are below
# half of the expected ones under load.
CERTAIN_WAIT_FRACTION: Final = 0.5

# CoDel's target and interval as fractions of the route's target latency: a priority is
# overloaded if for an interval none of its requests waited less than the target.
OVERLOAD_TARGET_FRACTION: Final = 0.25
OVERLOAD_INTERVAL_FRACTION: Final = 1.0

# Retry-After of refused requests: bounds, random factor, and the fraction of the target
# latency for each priority step while the rate of freed slots is unknown.
MIN_RETRY_S: Final = 0.05
MAX_RETRY_S: Final = 10.0
RETRY_JITTER: Final = (0.75, 1.5)
UNKNOWN_RATE_RETRY_FRACTION: Final = 0.1

# Refused requests whose Retry-After time is kept.
MAX_REFUSED_KEPT: Final = 4_096

# Workspaces whose virtual time is kept while they have no waiting requests.
MAX_IDLE_WORKSPACES: Final = 1_024

# Margin by which a workspace's use must exceed its fair share, as a factor, and number
# of requests that is never over the share.
SHARE_MARGIN: Final = 1.25
MIN_SHARE_REQUESTS: Final = 1
# Cost of a slot for a workspace over its share: its use divided by its share, to this
# power, and at most. At twice its share it gets one slot where the others get 16; in
# proportion to its use it would keep more than its share at the entries of others.
SHARE_COST_EXPONENT: Final = 4
MAX_SHARE_COST: Final = 16.0
# Time for which a computed share is used.
SHARE_MAX_AGE_S: Final = 0.1
# Half-life of the rate of a workspace's starts.
START_RATE_HALF_LIFE_S: Final = 5.0

# Hexadecimal digits of a workspace's hash.
WORKSPACE_HASH_DIGITS: Final = 6
