"""Constants that several of the relay's concerns use."""

from typing import Final

# Time for which an upstream that could not be reached is only used as a last
# resort, in seconds; doubled with each further failure in a row.
PENALTY_S: Final = 1.0
MAX_PENALTY_S: Final = 8.0

# The same for an upstream whose process has ended, in seconds: the store lists
# its end after three heartbeats.
ENDED_PROCESS_PENALTY_S: Final = 4.0

# Time before the end of the lease of an entry's record from which the entry uses no
# part of what entries share, in seconds: its last requests arrive before it ends.
RECORD_LOST_MARGIN_S: Final = 1.0

# Difference between two announced ends of an upstream's cold phase, in seconds,
# below which they count as the same.
COLD_END_TOLERANCE_S: Final = 0.25

# Time for which an upstream missing from the store is kept after a store
# outage, in seconds: live upstreams register again within two seconds.
REREGISTRATION_GRACE_S: Final = 2.5

# Part of the event loop's time that a response may always use, and that all of them may
# use beyond it; the time in seconds that may be used at once of each.
LOOP_OWN_SHARE: Final = 0.002
LOOP_OWN_BURST_S: Final = 0.02
LOOP_EXCESS_SHARE: Final = 0.2
LOOP_EXCESS_BURST_S: Final = 0.02

# Parts of a prompt that estimates and notices regard, the first ones: all tables that
# have an item for each part of a request grow with it.
MAX_PROMPT_PARTS: Final = 32

# Largest number of tokens that a caller can state, more than any model can read;
# larger ones are taken as this.
MAX_TOKENS: Final = 10_000_000

# Longest name from a caller that is a key of tables as it is, in characters; longer
# ones are hashed.
MAX_KEY_CHARS: Final = 64

# Longest pause of a response that uses more, in seconds.
MAX_LOOP_PAUSE_S: Final = 5.0

# Time for which an order of the operators that the store has lost in a restore stays
# in force unless they write it again, in seconds.
LOST_ORDER_RETENTION_S: Final = 60.0

# The same for an entry's record: the lease time of records, after which an entry that
# does not write its record again uses no part of a shared limit.
LOST_RECORD_RETENTION_S: Final = 6.0

# Time for which an upstream that had been removed before a restore is not used although
# the copy lists it, in seconds: the lease of its registration ends by then.
REMOVED_UPSTREAM_RETENTION_S: Final = 6.0

# Time for which the processes of removed upstreams are known, in seconds.
REMOVED_UPSTREAM_MEMORY_S: Final = 60.0

# Time between the announcement of a run that has to be alone and its begin, in
# seconds: other entries' announcements of the same time arrive in it.
RUN_ANNOUNCEMENT_S: Final = 0.05

# Longest time that a request waits for a run of its own, in seconds, and the same
# for a stream that was broken off: its caller cannot repeat it as a whole.
MAX_ISOLATION_WAIT_S: Final = 2.0
MAX_RESUMED_ISOLATION_WAIT_S: Final = 3.0

# Longest expected wait, in milliseconds, with which a request still counts as
# sent to an idle upstream.
MAX_IDLE_WAIT_MS: Final = 20.0

# Fraction of the route's target latency within which a larger model's first
# token must be expected for the request to be escalated to that model.
ESCALATION_LATENCY_FRACTION: Final = 0.8

# Time after which an attempt without an end notice counts as ended, in
# seconds.
MAX_ATTEMPT_S: Final = 20.0

# Time for which the notice of an attempt's end is held back to be sent with
# another notice, in seconds: running requests affect placement little, those
# that wait for their first token much.
ENDED_NOTICE_DELAY_S: Final = 0.2

# Time for which failed connections count as evidence of a loss, and for which
# upstreams are avoided at least after the last of them, at most twice as long, in
# seconds.
UNREACHABLE_WINDOW_S: Final = 2.0
MIN_AVOIDED_S: Final = 1.5

# Timeout for connecting to an upstream, in seconds: many times the round trip
# between availability zones.
CONNECT_TIMEOUT_S: Final = 0.3

# Number of entries that have to report failed connections, and of upstreams of an
# availability zone for which they have to, for all of the zone to be avoided.
MIN_REPORTERS: Final = 2
MIN_UNREACHABLE_IN_ZONE: Final = 3

# Fraction of the maximum age of the routes document above which an entry
# reports that it is not ready.
READY_AGE_FRACTION: Final = 0.6

# Retry-After values of an entry that cannot reach the store, in seconds: short
# if other entries serve requests, longer if they do not either.
RETRY_OTHER_ENTRY_S: Final = 0.05
RETRY_STORE_OUTAGE_S: Final = 1.0

# Time for which a notice or a request start of another entry counts as recent,
# in seconds.
PEER_ACTIVITY_WINDOW_S: Final = 1.0
