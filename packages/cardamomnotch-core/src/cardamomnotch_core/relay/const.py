"""Limits and weights of the relay."""

from typing import Final

# An answer below this confidence, from 0 to 100, is asked of a larger model.
DEFAULT_CONFIDENCE_FLOOR: Final = 50

# Shares of a version in roll-out, at first and once it has been seen, as parts
# of the bound on exposure. The bound counts the whole roll-out: over the first
# two stages the version gets 0.55 * 0.53 + 0.2 * 2 = 0.69 of the bound.
ROLLOUT_FIRST_STAGE_FACTOR: Final = 0.53
ROLLOUT_SECOND_STAGE_FACTOR: Final = 2.0
# Sessions whose version is remembered; the least recently served are forgotten.
MAX_SESSIONS: Final = 20_000
# Added to the time that a session goes on, in seconds: the end of a request at
# another entry is told of this much later at most.
SESSION_END_MARGIN_S: Final = 0.5

# An upstream that could not be reached is tried last for this time, in
# seconds; it is doubled with each further failure.
PENALTY_S: Final = 1.0
MAX_PENALTY_S: Final = 8.0

# Part of the platform's retry budget that the entries use together; the rest
# covers requests counted in different windows.
RETRY_BUDGET_FRACTION: Final = 0.8

# Part of the bound on a cold upstream's rate that the entries use together;
# the rest covers requests that were sent in one second and arrive in the next.
COLD_RATE_FRACTION: Final = 0.9

# Time that an upstream missing from the list is kept after the store has been
# away, in seconds: live upstreams register again within two seconds.
REREGISTRATION_GRACE_S: Final = 2.5

# How often a request may crash an upstream before it is refused.
MAX_CRASHES: Final = 2
# Time that such a request stays refused, in seconds.
QUARANTINE_S: Final = 60.0

# Time that one token of a prompt takes to be read, in milliseconds, for a
# model of which nothing has been seen.
DEFAULT_PREFILL_MS_PER_TOKEN: Final = 0.02
# Time by which one running request delays another one's first token, in ms.
RUNNING_REQUEST_DELAY_MS: Final = 8.0
# What a kilobyte sent to another availability zone counts as, in ms.
CROSS_ZONE_MS_PER_KB: Final = 2.5
# Tokens of prompts that an upstream's cache is expected to hold.
CACHED_PROMPT_TOKENS: Final = 300_000

# Time to the first token of a prompt that need not be read, in milliseconds,
# until it has been learned.
DEFAULT_FIRST_TOKEN_BASE_MS: Final = 60.0
# Prompts with more tokens to be read tell a model's speed, others the rest.
MIN_PREFILL_SAMPLE_TOKENS: Final = 700
# Samples whose mean is taken before a quantile is followed.
FIRST_TOKEN_MEAN_SAMPLES: Final = 4
# Largest wait of a request that still counts as having found its upstream
# idle, in milliseconds.
MAX_IDLE_WAIT_MS: Final = 20.0
# Quantile of the times to the first token that stands for an idle upstream.
FIRST_TOKEN_QUANTILE: Final = 0.3
# Relative step with which a model's speed is learned.
FIRST_TOKEN_STEP: Final = 0.08
# Step with which an upstream's slowdown follows the answers, and its bounds.
SLOWDOWN_STEP: Final = 0.3
MAX_SLOWDOWN: Final = 8.0
# Time after which half of a slowdown is expected still, in seconds.
SLOWDOWN_HALF_LIFE_S: Final = 2.0
# Added to both times when they are compared, in milliseconds.
SLOWDOWN_FLOOR_MS: Final = 50.0
# A first token that is waited for longer than this is not told of any more.
MAX_FIRST_TOKEN_WAIT_S: Final = 15.0
# Part of the target latency by which a larger model's first token must be
# expected for a request to go on to it.
ESCALATION_LATENCY_FRACTION: Final = 0.8
# A request of another entry of which no end was heard counts this long, in
# seconds.
MAX_ATTEMPT_S: Final = 20.0

# Time that the end of an attempt waits for another notice to go with, in
# seconds: what runs at an upstream weighs little, what waits there much.
ENDED_NOTICE_DELAY_S: Final = 0.2

# Part of the greatest age of what is known after which an entry is not ready.
READY_AGE_FRACTION: Final = 0.6
# When to come back to an entry that is cut off from the store, in seconds: at
# once if other entries serve, later if they do not either.
RETRY_OTHER_ENTRY_S: Final = 0.05
RETRY_STORE_OUTAGE_S: Final = 1.0
# Time in which another entry was heard or has begun a request, in seconds.
PEER_ACTIVITY_WINDOW_S: Final = 1.0

# Upstreams that are compared for one request where there are more.
MAX_COMPARED_UPSTREAMS: Final = 24
# Upstreams that are remembered to have read one beginning of a prompt, and
# beginnings that are remembered.
MAX_PREFIX_UPSTREAMS: Final = 8
MAX_PREFIXES: Final = 20_000
