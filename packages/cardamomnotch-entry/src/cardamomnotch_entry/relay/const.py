"""Timeouts and intervals of the relay."""

from typing import Final

# Longest wait for a connection to an upstream, in seconds: many times the
# round trip between availability zones.
CONNECT_TIMEOUT_S: Final = 0.3
# Longest wait for the connection that shows whether an upstream is still up.
REACHABILITY_TIMEOUT_S: Final = 0.5

# Keep-alive probes on connections to upstreams: a VM without power is noticed
# after KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S seconds.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# Time that sent bytes may stay unacknowledged, in milliseconds.
TCP_USER_TIMEOUT_MS: Final = 3_000

# Time that a watch of the store waits for a change, in seconds: the age of
# what is known grows by this much between two confirmations.
WATCH_WAIT_S: Final = 0.7
# Pause after a watch that brought changes, in seconds, so that changes which
# follow each other closely are read by one call. Each entry's record wakes all
# entries, so it grows with their number; the longest leaves more than a second
# of the two within which changes have to be in force.
MIN_WATCH_PAUSE_S: Final = 0.2
WATCH_PAUSE_PER_ENTRY_S: Final = 0.02
MAX_WATCH_PAUSE_S: Final = 0.6
# Watches that follow each other within the greatest age of what is known.
MIN_WATCHES_PER_MAX_AGE: Final = 3
# Pause after a call to the store has failed, in seconds.
STORE_RETRY_DELAY_S: Final = 0.25
# Pause after a write to the store has failed, in seconds.
PUBLISH_RETRY_DELAY_S: Final = 0.7
# An outage shorter than this, in seconds, removes no upstream from the list.
MIN_STORE_OUTAGE_S: Final = 1.0

# Life of this entry's record in the store without a renewal, in seconds.
RECORD_TTL_S: Final = 6.0
RECORD_RENEWAL_INTERVAL_S: Final = 2.0
# Shortest time between two writes of the record, in seconds.
RECORD_WRITE_INTERVAL_S: Final = 4.0
# The same if the record holds news that may change a decision.
URGENT_RECORD_WRITE_INTERVAL_S: Final = 0.7

# Time after SIGTERM in which the balancer may still send, in seconds: it asks
# every second and needs two misses.
BALANCER_DETECTION_S: Final = 3.0
# Time in which an answer that was just ended leaves the process, in seconds.
RESPONSE_FLUSH_S: Final = 0.05
# Pause between two looks at whether this entry is ready, in seconds.
READINESS_CHECK_INTERVAL_S: Final = 0.5
# Time kept at the end of the grace time for closing, in seconds.
SHUTDOWN_MARGIN_S: Final = 1.0

# Largest request line and largest single header line, in bytes.
MAX_LINE_BYTES: Final = 16_384

# Characters of an unknown path that are logged.
MAX_LOGGED_PATH_CHARS: Final = 80
# Keys and routes that one log line names as added or removed.
MAX_LOGGED_NAMES: Final = 10

# Attempts of a request that waits for a cold upstream, seconds apart.
CAPACITY_RETRY_INTERVAL_S: Final = 0.1

# Statuses of upstreams' own failures begin here.
MIN_SERVER_ERROR_STATUS: Final = 500

# Decimal places of the seconds in Retry-After.
RETRY_AFTER_DECIMALS: Final = 2

# Time that each entry leaves a report to the one before it, in seconds.
REPORT_DELAY_PER_ENTRY_S: Final = 0.4
# Pause between two looks at what has to be written, in seconds.
PUBLISH_INTERVAL_S: Final = 0.1

# Time in which notices of load are gathered into one datagram, in seconds.
NOTICE_BATCH_INTERVAL_S: Final = 0.01
# Notices in one datagram, which has to fit a packet.
MAX_NOTICES_PER_DATAGRAM: Final = 8

# The least urgent rank that upstreams know.
LEAST_URGENT_PRIORITY: Final = 9
# Upstreams that may refuse one request before it is refused for good.
MAX_REFUSALS_PER_REQUEST: Final = 3
