"""Constants of the relay's decisions."""

from typing import Final

# Answers whose confidence, from 0 to 100, is below this value are retried on a
# larger model.
DEFAULT_CONFIDENCE_FLOOR: Final = 50

# Share of a smallest model's answers with low confidence, until there are answers, and
# below which it is always asked first.
DEFAULT_LOW_CONFIDENCE_SHARE: Final = 0.5
MIN_LOW_CONFIDENCE_SHARE: Final = 0.25
# Fraction of the time allowed for both models that they may take on idle upstreams
# without a look at the load.
IDLE_TIME_FRACTION: Final = 0.7
# Longest expected wait at an upstream that is asked the largest model at once, in
# milliseconds.
MAX_WAIT_OF_LARGEST_MS: Final = 60.0
# Smoothing factor of that share.
CONFIDENCE_SHARE_STEP: Final = 0.05

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

# Time for which an upstream that could not be reached is only used as a last
# resort, in seconds; doubled with each further failure in a row.
PENALTY_S: Final = 1.0
MAX_PENALTY_S: Final = 8.0
# The same for an upstream whose process has ended, in seconds: the store lists
# its end after three heartbeats.
ENDED_PROCESS_PENALTY_S: Final = 4.0

# Fraction of the retry budget that all entries together use; the rest covers
# requests that entries count in different windows.
RETRY_BUDGET_FRACTION: Final = 0.8

# Fraction of a cold upstream's rate limit that all entries together use; the
# rest covers requests sent in one second that arrive in the next.
COLD_RATE_FRACTION: Final = 0.9

# Time before the end of the lease of an entry's record from which the entry uses no
# part of what entries share, in seconds: its last requests arrive before it ends.
RECORD_LOST_MARGIN_S: Final = 1.0

# Difference between two announced ends of an upstream's cold phase, in seconds,
# below which they count as the same.
COLD_END_TOLERANCE_S: Final = 0.25

# Time window in which the requests to an upstream that has named a rate limit are
# counted, and the longest one, in seconds.
NAMED_RATE_WINDOW_S: Final = 4.0
MAX_RATE_WINDOW_S: Final = 10.0
# Lowest rate limit, in requests per second: an upstream that names a lower one,
# or none at all, still gets a request now and then that shows its end.
MIN_NAMED_RATE: Final = 1 / MAX_RATE_WINDOW_S

# Time for which an upstream missing from the store is kept after a store
# outage, in seconds: live upstreams register again within two seconds.
REREGISTRATION_GRACE_S: Final = 2.5
# Part of the event loop's time that a response may always use, and that all of them may
# use beyond it; the time in seconds that may be used at once of each.
LOOP_OWN_SHARE: Final = 0.002
LOOP_OWN_BURST_S: Final = 0.02
LOOP_EXCESS_SHARE: Final = 0.2
LOOP_EXCESS_BURST_S: Final = 0.02
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

# Upstream crashes that a request or a prompt part may have caused before it is
# quarantined.
MAX_CRASHES: Final = 2
# Time within which an upstream crashes after the answer to the request that
# crashes it has begun, in seconds.
CRASH_ONSET_S: Final = 1.0
# Time for which a request or a prompt part that was answered is suspected less
# than others, in seconds.
ANSWER_RETENTION_S: Final = 60.0
# Time for which a request waits for other entries' reports of a crash before
# it is refused for that crash, in seconds.
CRASH_REPORT_SPREAD_S: Final = 1.0
# Time within which the ends of several processes belong to one moment, in
# seconds: what ends them together is noticed at slightly different times.
END_MOMENT_S: Final = 0.3
# Processes that may end at the same moment for unrelated reasons.
MAX_UNRELATED_ENDS: Final = 3
# Time before and after a suspect's crashes in which ends of other processes speak
# for an outside cause, in seconds.
OUTSIDE_ENDS_WINDOW_S: Final = 10.0
# Time between the announcement of a run that has to be alone and its begin, in
# seconds: other entries' announcements of the same time arrive in it.
RUN_ANNOUNCEMENT_S: Final = 0.05
# Time after which a run is forgotten if its end was not received, in seconds.
ISOLATED_RUN_EXPIRY_S: Final = 5.0
# Time after repeated crashes in which the only upstream of a service that is left
# gets no suspected requests, in seconds.
LAST_UPSTREAM_PROTECTION_S: Final = 10.0
# Longest time that a request waits for a run of its own, in seconds, and the same
# for a stream that was broken off: its caller cannot repeat it as a whole.
MAX_ISOLATION_WAIT_S: Final = 2.0
MAX_RESUMED_ISOLATION_WAIT_S: Final = 3.0
# Time after its last crash until a quarantined request or prompt part is tried
# once more, alone, in seconds, and the factor by which it grows with each
# failed trial.
QUARANTINE_S: Final = 10.0
QUARANTINE_GROWTH: Final = 4
# Time after its last crash for which a request's crashes are counted, in
# seconds.
CRASH_RETENTION_S: Final = 600.0
# Time within which an upstream's end in the store is attributed to requests
# that it has left unanswered, in seconds: the store lists a process that sends
# no heartbeats for a while.
CRASH_NOTICE_S: Final = 8.0
# Crashes in one report, which must fit into one value of the store.
MAX_REPORTED_CRASHES: Final = 5_000
# Requests whose crashes are counted; the one with the oldest crash is evicted.
MAX_SUSPECTS: Final = 10_000

# Prefill time per prompt token for a model without samples, in milliseconds.
DEFAULT_PREFILL_MS_PER_TOKEN: Final = 0.02
# Delay of a request's first token per running request, in milliseconds.
RUNNING_REQUEST_DELAY_MS: Final = 8.0
# Cost of a kilobyte sent to another availability zone, in milliseconds.
CROSS_ZONE_MS_PER_KB: Final = 2.5
# Estimated size of an upstream's prompt cache, in tokens.
CACHED_PROMPT_TOKENS: Final = 300_000

# Time to the first token without prefill until there are samples, in
# milliseconds.
DEFAULT_FIRST_TOKEN_BASE_MS: Final = 60.0
# Requests with at least this many tokens to prefill update the model's time
# per token; all others update the base time.
MIN_PREFILL_SAMPLE_TOKENS: Final = 700
# Number of first samples that are averaged before a quantile is tracked.
FIRST_TOKEN_MEAN_SAMPLES: Final = 4
# Longest expected wait, in milliseconds, with which a request still counts as
# sent to an idle upstream.
MAX_IDLE_WAIT_MS: Final = 20.0
# Quantile of the times to the first token that represents an idle upstream.
FIRST_TOKEN_QUANTILE: Final = 0.3
# Relative step of the quantile estimate.
FIRST_TOKEN_STEP: Final = 0.08
# Smoothing factor of an upstream's slowdown, and its upper bound.
SLOWDOWN_STEP: Final = 0.3
MAX_SLOWDOWN: Final = 8.0
# Half-life of a slowdown, in seconds.
SLOWDOWN_HALF_LIFE_S: Final = 2.0
# Added to the observed and the expected time before their ratio is taken, in
# milliseconds, so that short times do not distort it.
SLOWDOWN_FLOOR_MS: Final = 50.0
# Time after which a request that still waits for its first token is dropped
# from the queue estimate, in seconds.
MAX_FIRST_TOKEN_WAIT_S: Final = 15.0
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

# Minimum interval between two messages with an entry's rollout statistics, and
# what each entry of the zone adds to it, in seconds.
MIN_REPORT_INTERVAL_S: Final = 0.3
REPORT_INTERVAL_PER_MEMBER_S: Final = 0.02
# Interval at which unchanged rollout statistics are sent again, in seconds.
REPORT_REFRESH_INTERVAL_S: Final = 2.0

# Entries of another availability zone up to which each gets notices directly.
MAX_DIRECT_ENTRIES: Final = 2

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

# Upstreams compared for one request if there are more candidates.
MAX_COMPARED_UPSTREAMS: Final = 24
# Upstreams stored per prompt prefix that they have read, and number of prompt
# prefixes stored.
MAX_PREFIX_UPSTREAMS: Final = 8
MAX_PREFIXES: Final = 20_000
