"""Constants of rate limits."""

from typing import Final

# Fraction of the retry budget that all entries together use; the rest covers
# requests that entries count in different windows.
RETRY_BUDGET_FRACTION: Final = 0.8

# Share of the retries allowed to an entry that only requests after failures may use,
# not escalations.
RESERVED_RETRY_SHARE: Final = 0.1

# Fraction of a cold upstream's rate limit that all entries together use; the
# rest covers requests sent in one second that arrive in the next.
COLD_RATE_FRACTION: Final = 0.9

# Time window in which the requests to an upstream that has named a rate limit are
# counted, and the longest one, in seconds.
NAMED_RATE_WINDOW_S: Final = 4.0
MAX_RATE_WINDOW_S: Final = 10.0

# Lowest rate limit, in requests per second: an upstream that names a lower one,
# or none at all, still gets a request now and then that shows its end.
MIN_NAMED_RATE: Final = 1 / MAX_RATE_WINDOW_S
