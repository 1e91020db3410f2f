"""Timeouts and intervals of the relay."""

from typing import Final

# Timeout for the test connection after a lost response, in seconds.
REACHABILITY_TIMEOUT_S: Final = 0.5

# Keep-alive probes on connections to upstreams: a VM without power is noticed
# after KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S seconds.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# Time that bytes sent to an upstream may stay unacknowledged, in milliseconds.
TCP_USER_TIMEOUT_MS: Final = 3_000

# Time that one watch call waits for a store change, in seconds: the entry's
# data ages by this much between two confirmations.
WATCH_WAIT_S: Final = 0.6
# Largest reply of a watch that is read, in bytes: with a larger one, small changes
# would wait until it has arrived.
MAX_WATCH_REPLY_BYTES: Final = 65_536
# Pause after a watch call that returned changes, in seconds, so that one call
# reads changes in quick succession. Each record write ends the watch of every
# entry, so the pause grows with their number; its maximum leaves more than one
# of the two seconds within which a change must take effect.
MIN_WATCH_PAUSE_S: Final = 0.2
# The same while each step makes one call for each prefix of keys.
MIN_PREFIX_WATCH_PAUSE_S: Final = 0.4
WATCH_PAUSE_PER_ENTRY_S: Final = 0.02
MAX_WATCH_PAUSE_S: Final = 0.6
# Time between two reads of a value that is read on its own, in seconds: at least, per
# entry that reads it, and at most, as a fraction of the time within which a document
# must be in force.
MIN_VALUE_INTERVAL_S: Final = 0.3
VALUE_INTERVAL_PER_ENTRY_S: Final = 0.01
MAX_VALUE_INTERVAL_FRACTION: Final = 0.25
# Watch calls that must fit within the maximum age of the entry's data.
MIN_WATCHES_PER_MAX_AGE: Final = 3
# Pause after a failed read or watch of the store, in seconds, and the same for an
# entry that learns of the store's return from others.
STORE_RETRY_DELAY_S: Final = 0.25
READER_RETRY_DELAY_S: Final = 1.5
# Time after which a reading of everything that failed begins anew, in seconds.
MAX_READING_AGE_S: Final = 5.0
# What each failure in a row adds to the wait for a page of a listing, and the most
# that is added, in seconds: a store that many entries read at once replies late,
# and a page that is asked for again makes it later.
PAGE_WAIT_STEP_S: Final = 0.7
MAX_PAGE_WAIT_S: Final = 2.1
# Pause between two pages of the rest of a listing, per entry that may read at the
# same time, in seconds, so that watches and writes are not held up.
LISTING_PAUSE_PER_ENTRY_S: Final = 0.005
# Pause before it is checked again whether a rest is to be read, in seconds.
LISTING_IDLE_INTERVAL_S: Final = 0.5

# Pause after a failed write to the store, in seconds.
PUBLISH_RETRY_DELAY_S: Final = 0.7
# Time in which no call was answered that counts as an outage of the store, in
# seconds; longer than a confirmation takes over another entry.
MIN_STORE_OUTAGE_S: Final = 2.5
# Longest time before it is checked again whether other entries confirm this one's
# data, in seconds.
MAX_FEED_WAIT_S: Final = 0.5

# Lease time of this entry's record in the store, and the interval at which
# the lease is renewed, in seconds.
RECORD_TTL_S: Final = 6.0
RECORD_RENEWAL_INTERVAL_S: Final = 2.0
# Time over which the entries spread their reads after the store has come back from
# a copy, and the writes of their records, per entry and at most, in seconds.
RESTORE_READ_SPREAD_PER_ENTRY_S: Final = 0.0015
MAX_RESTORE_READ_SPREAD_S: Final = 1.0
RESTORE_WRITE_SPREAD_PER_ENTRY_S: Final = 0.005
MAX_RESTORE_WRITE_SPREAD_S: Final = 3.5
# Minimum interval between two writes of the record, in seconds.
RECORD_WRITE_INTERVAL_S: Final = 4.0
# The same if the record has changes that may affect another entry's decision.
URGENT_RECORD_WRITE_INTERVAL_S: Final = 0.7

# Minimum interval between two reports of crashes, in seconds. Upstreams may
# crash for the same cause until all entries know of it.
CRASH_REPORT_INTERVAL_S: Final = 0.3
# Time for which one lease is used for reports of crashes, in seconds.
CRASH_LEASE_REUSE_S: Final = 60.0

# Time for which the load balancer may still send to an entry that is not
# ready, in seconds: it checks every second and needs two failed checks.
BALANCER_DETECTION_S: Final = 3.0
# Time for a finished response to be flushed to the network, in seconds.
RESPONSE_FLUSH_S: Final = 0.05
# Interval between two checks of this entry's own readiness, in seconds.
READINESS_CHECK_INTERVAL_S: Final = 0.5
# Time for the responses to requests that the end of the grace time has ended, in
# seconds; within the part that is reserved for closing.
LAST_RESPONSES_TIMEOUT_S: Final = 0.4
# Part of the grace time that is reserved for closing, in seconds.
SHUTDOWN_MARGIN_S: Final = 1.0

# Bytes of an answer that are read ahead while it waits, for memory or for its caller.
READ_BUFFER_BYTES: Final = 65_536

# Maximum size of a request line and of a single header line, in bytes.
MAX_LINE_BYTES: Final = 16_384

# Interval between two measurements of the event loop's lag, and the lag from which it
# is logged, in seconds.
LOOP_LAG_INTERVAL_S: Final = 0.25
MAX_LOOP_LAG_S: Final = 0.25
# Receive buffer of a connection to an upstream, in bytes: what has arrived is parsed
# at once, and the event loop waits for it.
RECEIVE_BUFFER_BYTES: Final = 32_768
# Least number of bytes whose processing time is measured: parts of sound streams are
# mostly smaller, and those of an upstream that sends too fast are larger.
MIN_MEASURED_BYTES: Final = 512
# Maximum size of one event of a stream, in bytes.
MAX_EVENT_BYTES: Final = 1_048_576
# Maximum number of bytes of a stream since its last event with data: a comment each
# second, which keeps a slow stream alive, has less in an hour.
MAX_BYTES_WITHOUT_DATA: Final = 65_536

# Maximum number of characters that are logged of a path without a route.
MAX_LOGGED_PATH_CHARS: Final = 80
# Maximum number of names per list of changed keys or routes in a log line.
MAX_LOGGED_NAMES: Final = 10

# Pause before a request that found all upstreams full is placed again, in
# seconds.
CAPACITY_RETRY_INTERVAL_S: Final = 0.1

# Interval between two checks for waiting requests that can no longer be served in
# time, in seconds; free slots wake them at once.
ADMISSION_CHECK_INTERVAL_S: Final = 0.25

# Status by which an upstream refuses a request since it is full.
FULL_STATUS: Final = 503
# Lowest HTTP status that counts as a failure of the upstream.
MIN_SERVER_ERROR_STATUS: Final = 500

# Decimal places of the seconds in Retry-After.
RETRY_AFTER_DECIMALS: Final = 2

# Delay after which twice as many entries report a rollout's state, in seconds, so
# that usually only the first one does.
REPORT_DELAY_STEP_S: Final = 0.4
# Interval between two checks for records and reports to write, in seconds.
PUBLISH_INTERVAL_S: Final = 0.1

# Interval at which load notices are batched into datagrams, in seconds.
NOTICE_BATCH_INTERVAL_S: Final = 0.01
# Maximum number of notices per datagram, which must fit into one packet.
MAX_NOTICES_PER_DATAGRAM: Final = 8
# The same for crashes, refutations and suspected runs, of each.
MAX_REPORTS_PER_DATAGRAM: Final = 12
# Crashes or refutations that are sent in rows of their own; more are grouped.
MAX_SUSPECT_ROWS: Final = 96
# Bytes of suspects in one datagram of a crash that has more of them, and the number of
# such datagrams sent to each entry in one NOTICE_BATCH_INTERVAL_S.
MAX_SUSPECT_BYTES_PER_DATAGRAM: Final = 1_000
MAX_SUSPECT_DATAGRAMS_AT_ONCE: Final = 16
# The same datagrams that wait to be sent; the oldest are dropped, as the store has
# all reports.
MAX_WAITING_SUSPECT_DATAGRAMS: Final = 1_024
# Maximum number of suspects in the state dump, those with most crashes.
MAX_LISTED_SUSPECTS: Final = 200

# Largest priority value, the least urgent, that upstreams accept.
LEAST_URGENT_PRIORITY: Final = 9
# Largest number of attempts that do not count towards a route's limit because
# their upstream's process has ended.
MAX_ENDED_UPSTREAMS: Final = 3
# Largest number of refusals by upstreams that still allows another attempt.
MAX_REFUSALS_PER_REQUEST: Final = 3
